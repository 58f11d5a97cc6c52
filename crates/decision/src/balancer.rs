//! The balancer: dispatches events to the module of each kind of decision and emits the resulting actions.
//! Its interface is `src/event.rs`, `action.rs`, `settings.rs` and `types.rs`.
//!
//! It follows the platform's reference design: before each send, a request is checked against learned
//! concurrency limits and rejected unsent if it would exceed one; then a backend is drawn at random by
//! weight. Where a module departs from the reference design, its documentation says so.

use crate::admission::{AdmissionControl, TOP_TIER_LATE_RATIO};
use crate::attempt_sample;
use crate::demand::{DemandSkew, SLOW_RISE_CONGESTION_FACTOR};
use crate::endpoints::{DiscoveryBackoff, Endpoints};
use crate::latency::ClassLatency;
use crate::limiter::Sample;
use crate::log_limit::LogLimiter;
use crate::quota::TenantQuotas;
use crate::random::RandomSource;
use crate::request::{Attempt, Completion, PendingRequest};
use crate::retry::{self, RetryBudget};
use crate::selection::{SelectionContext, Selector};
use crate::{Action, BackendInfo, Event, ListKind, Millis, Outcome, RequestId, Settings, UnservedReason};
use hillstall_overload::capacity::AvailableCapacity;
use rustc_hash::FxHashMap;

/// Token of the only timer in use, which polls discovery again.
const POLL_DISCOVERY: u64 = 1;

/// The decision state of one instance. Instances share no state.
pub struct Balancer {
    settings: Settings,
    random: RandomSource,
    now: Millis,
    /// The fraction of the instance's slow start budgets that belongs to this process, from 0 to 1.
    process_fraction: f64,
    endpoints: Endpoints,
    discovery_backoff: DiscoveryBackoff,
    requests: FxHashMap<RequestId, PendingRequest>,
    admission: AdmissionControl,
    /// The fraction of the tier's capacity that answers; the admitted concurrency follows it immediately.
    capacity: AvailableCapacity,
    quotas: TenantQuotas,
    demand: DemandSkew,
    latencies: Vec<ClassLatency>,
    selector: Selector,
    retry_budget: RetryBudget,
    log: LogLimiter,
}

/// The attributes of a new request as the client sent them.
struct Arrival {
    id: RequestId,
    class: usize,
    tenant: usize,
    expected_work: Option<Millis>,
    timeout: Millis,
    is_retry: bool,
}

impl Balancer {
    /// Creates a balancer without endpoints or learned state. Equal seeds and events give equal actions.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let classes = settings.classes.len();
        let tenants = settings.tenants.len();
        Balancer {
            random: RandomSource::new(seed),
            now: 0.0,
            process_fraction: 1.0,
            endpoints: Endpoints::default(),
            discovery_backoff: DiscoveryBackoff::default(),
            requests: FxHashMap::default(),
            admission: AdmissionControl::new(classes),
            capacity: AvailableCapacity::default(),
            quotas: TenantQuotas::new(tenants),
            demand: DemandSkew::new(tenants),
            latencies: (0..classes).map(|_| ClassLatency::default()).collect(),
            selector: Selector::default(),
            retry_budget: RetryBudget::new(),
            log: LogLimiter::new(),
            settings,
        }
    }

    /// Handles an event at clock time `now` and appends the resulting actions to `actions`.
    pub fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        // If `now` is in the past or NaN, the clock stands still: state must not run backwards.
        self.now = if now > self.now { now } else { self.now };
        match event {
            Event::EndpointsChanged { kind, backends, .. } => {
                self.on_endpoints_changed(kind, backends, actions);
            }
            Event::Request { id, class, tenant, expected_work_ms, timeout_ms, is_retry, .. } => {
                let arrival = Arrival {
                    id,
                    class: class.into(),
                    tenant: tenant.into(),
                    expected_work: expected_work_ms,
                    timeout: timeout_ms,
                    is_retry,
                };
                if !is_retry {
                    self.demand.record(now, arrival.tenant);
                }
                self.update_demand();
                self.on_request(arrival, actions);
            }
            Event::Outcome { request, outcome, took_ms, ended, report, .. } => {
                let headroom = attempt_sample::headroom(&self.settings, &report);
                self.on_outcome(request, Completion { outcome, took: took_ms, headroom }, ended, actions);
            }
            Event::ClientGone { request } => self.on_client_gone(request, actions),
            Event::ZoneFraction { zone, fraction, age_ms } => {
                self.selector.set_zone_fraction(self.now, zone, fraction, age_ms);
            }
            Event::Timer { token: POLL_DISCOVERY } => actions.push(Action::Subscribe { on: true }),
            _ => {}
        }
    }

    /// Sets how many other processes send for the same instance, as during an upgrade: this balancer then
    /// uses only its share of the instance's slow start budgets.
    pub fn set_sharing_processes(&mut self, others: usize) {
        self.process_fraction = 1.0 / (others + 1) as f64;
    }

    /// Returns the number of listed backends, and how many of them the selection avoids because they are not
    /// ready or are ejected, so that they get little more than half-open probes.
    pub fn backend_counts(&self, now: Millis) -> (usize, usize) {
        self.endpoints.counts(now)
    }

    fn on_endpoints_changed(&mut self, kind: ListKind, list: &[BackendInfo], actions: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => return self.on_discovery_failure(actions),
            ListKind::Cached if self.settings.must_subscribe => {
                actions.push(Action::Subscribe { on: true });
            }
            ListKind::Cached => {}
            ListKind::Delta | ListKind::Full => self.discovery_backoff.reset(),
        }
        self.endpoints.apply(kind, list, self.now, &self.settings, &mut self.random);
        let backends = self.endpoints.all().len();
        // Only at the top tier: a rejection further down wastes the work already done for the request.
        if self.settings.tier > 0 || backends == 0 {
            return;
        }
        if self.admission.set_initial_limits(backends, &self.settings) {
            self.quotas.fill(self.now, &self.settings);
        }
    }

    fn on_discovery_failure(&mut self, actions: &mut Vec<Action>) {
        self.endpoints.on_discovery_failure();
        let poll_interval = self.settings.rules.poll_interval_ms;
        let after_ms = self.discovery_backoff.next_delay(poll_interval, self.random.next_unit());
        actions.push(Action::SetTimer { after_ms, token: POLL_DISCOVERY });
        self.log.write(self.now, actions, || format!("discovery failing: asking again in {after_ms:.0} ms"));
    }

    /// Re-evaluates the answering capacity and the demand skew when that is due. Only the top tier scales its
    /// limits by them.
    fn update_demand(&mut self) {
        if self.settings.tier > 0 || !self.demand.is_due(self.now) {
            return;
        }
        self.capacity.update(self.now, self.endpoints.answering_capacity(self.now, &self.settings.rules));
        let backends_per_instance = self.admission.tier().backends_per_instance();
        let is_congested = self.admission.is_congested(SLOW_RISE_CONGESTION_FACTOR);
        self.demand.evaluate(self.now, &self.settings, backends_per_instance, is_congested);
    }

    fn on_request(&mut self, arrival: Arrival, actions: &mut Vec<Action>) {
        self.retry_budget.earn();
        let Arrival { id, class, tenant, expected_work, timeout, is_retry } = arrival;
        let Some(rules) = self.settings.classes.get(class) else {
            let reason = UnservedReason::UnknownClass;
            return actions.push(Action::Reject { request: id, retry_after_ms: 0.0, reason });
        };
        self.admission.on_request(self.now, class);
        // Below the top tier, if deadlines are not propagated, `timeout` is the full deadline although the
        // client has less time left. If answers after the latency objective earn nothing, nobody waits for
        // them, so the objective bounds the timeout.
        let is_timeout_unknown =
            !self.settings.passes_deadline && self.settings.tier > 0 && rules.late_weight_fraction == 0.0;
        let timeout = if is_timeout_unknown { timeout.min(rules.latency_objective_ms) } else { timeout };
        let backends_per_instance = self.admission.tier().backends_per_instance();
        let skew = self.demand.value();
        let request = PendingRequest {
            class,
            tenant,
            expected_work: expected_work.filter(|work| *work > 0.0 && work.is_finite()).unwrap_or(0.0),
            exceeds_quota: self.quotas.is_exceeded(
                tenant,
                self.now,
                &self.settings,
                backends_per_instance,
                skew,
            ),
            is_client_retry: is_retry,
            deadline: self.now + timeout.max(0.0),
            attempts: 0,
            in_flight: None,
            tried: Vec::new(),
            may_have_run: None,
            client_gone: false,
        };
        self.try_send(id, request, actions);
    }

    /// Checks the limits and sends the request to a selected backend, or gives the final answer if a limit or
    /// the lack of a backend prevents that.
    fn try_send(&mut self, id: RequestId, request: PendingRequest, actions: &mut Vec<Action>) {
        let time_left = request.deadline - self.now;
        let rejection = if self.may_attempt(&request, time_left) {
            self.check_limits(&request)
        } else {
            Some(UnservedReason::NoTimeLeft)
        };
        if let Some(reason) = rejection {
            return self.give_up(id, &request, reason, actions);
        }
        match self.select_backend(&request) {
            Some(index) => self.send(id, request, index, time_left, actions),
            None => self.give_up(id, &request, UnservedReason::NoBackend, actions),
        }
    }

    /// Whether the attempt limit and the time left permit another attempt.
    fn may_attempt(&self, request: &PendingRequest, time_left: Millis) -> bool {
        let is_allowed =
            request.attempts < self.settings.permissions.max_attempts && time_left > self.settings.tick_ms;
        let expected = self.latencies[request.class].expected(request.expected_work);
        is_allowed && (request.attempts > 0 || self.capacity.fits_deadline(time_left, expected))
    }

    /// Returns the reason for which a limiter rejects the request, if one does.
    fn check_limits(&mut self, request: &PendingRequest) -> Option<UnservedReason> {
        let scale = self.demand.value()
            * self.capacity.scale()
            * self.capacity.admitted_fraction(request.is_client_retry);
        self.admission.check(request, scale, self.random.next_unit(), self.settings.fleet_size)
    }

    fn select_backend(&mut self, request: &PendingRequest) -> Option<usize> {
        let tier = self.admission.tier();
        let context = SelectionContext {
            now: self.now,
            settings: &self.settings,
            request,
            mean_latency: self.latencies[request.class].mean,
            saturation: tier.latency_ratio() / TOP_TIER_LATE_RATIO,
            peak_in_flight: tier.peak_in_flight(),
            process_fraction: self.process_fraction,
        };
        self.selector.select(context, &mut self.endpoints, &mut self.random)
    }

    fn send(
        &mut self,
        id: RequestId,
        mut request: PendingRequest,
        index: usize,
        time_left: Millis,
        actions: &mut Vec<Action>,
    ) {
        let class = &self.settings.classes[request.class];
        let timeout_ms = retry::attempt_timeout(&request, class, &self.latencies[request.class], time_left);
        let write_by = retry::write_by(class, request.may_have_run);
        let backend = self.endpoints.at_mut(index);
        backend.on_send(self.now);
        request.attempts += 1;
        request.in_flight = Some(Attempt { backend: backend.info, sent_at: self.now });
        request.tried.push(backend.info.id);
        actions.push(Action::Send { request: id, backend: backend.info.id, timeout_ms, write_by });
        self.admission.on_send(self.now, &request);
        if !request.exceeds_quota && request.attempts == 1 {
            self.quotas.record(request.tenant, self.now, self.demand.value());
        }
        self.requests.insert(id, request);
    }

    /// Gives the final answer to a request without an attempt in flight: a rejection, or a failure if the
    /// client must not send the request again.
    fn give_up(
        &mut self,
        id: RequestId,
        request: &PendingRequest,
        reason: UnservedReason,
        actions: &mut Vec<Action>,
    ) {
        self.log.write(self.now, actions, || format!("not sent: {}", reason.text()));
        let class = &self.settings.classes[request.class];
        if !retry::may_client_retry(class, request.may_have_run, self.now) {
            return actions.push(Action::Fail { request: id, reason });
        }
        let retry_after_ms = retry::retry_after(
            &self.settings.permissions,
            self.settings.tier,
            &self.latencies[request.class],
            || self.random.next_unit(),
        );
        if !retry::may_client_retry(class, request.may_have_run, self.now + retry_after_ms) {
            return actions.push(Action::Fail { request: id, reason });
        }
        actions.push(Action::Reject { request: id, retry_after_ms, reason });
    }

    fn on_client_gone(&mut self, id: RequestId, actions: &mut Vec<Action>) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.client_gone = true;
        if self.settings.permissions.cancel && request.in_flight.is_some() {
            actions.push(Action::Cancel { request: id, attempt: (request.attempts - 1) as u8 });
        }
    }

    fn on_outcome(&mut self, id: RequestId, completion: Completion, ended: bool, actions: &mut Vec<Action>) {
        let Some(mut request) = self.requests.remove(&id) else { return };
        let Some(attempt) = request.in_flight.take() else { return };
        if !completion.outcome.never_ran() && request.may_have_run.is_none() {
            request.may_have_run = Some(attempt);
        }
        self.learn(&request, attempt, completion, actions);
        self.admission.on_attempt_end(&request);
        if ended || request.client_gone {
            return;
        }
        let class = &self.settings.classes[request.class];
        if !retry::may_retry(class, request.may_have_run, completion.outcome, self.now) {
            self.give_up(id, &request, UnservedReason::NotRetryable, actions);
        } else if !self.retry_budget.try_spend() {
            self.give_up(id, &request, UnservedReason::RetryBudget, actions);
        } else {
            self.try_send(id, request, actions);
        }
    }

    /// Updates the learned state after an attempt ended. The attempt must still count as in flight.
    fn learn(
        &mut self,
        request: &PendingRequest,
        attempt: Attempt,
        completion: Completion,
        actions: &mut Vec<Action>,
    ) {
        let Completion { outcome, took, headroom } = completion;
        let took = if took.is_finite() { took.max(0.0) } else { self.now - attempt.sent_at };
        let counts_for_tier = self.learn_backend(request, attempt, outcome, took);
        let completion = Completion { outcome, took, headroom };
        let finished =
            attempt_sample::latency_ratio(&self.settings, request, attempt, completion, counts_for_tier);
        let Some(latency_ratio) = finished else { return };
        let sample = Sample {
            sent_at: attempt.sent_at,
            latency_ratio,
            headroom: if outcome.was_abandoned() { 0.0 } else { headroom },
            scale: self.demand.value() * self.capacity.scale(),
            max_limit_factor: self.capacity.max_limit_factor(),
        };
        // Operators' tools and runbooks quote this line, so its text stays: "gate" is the limiter, "stress"
        // its smoothed latency ratio, "usual" the baseline.
        if self.admission.learn(self.now, sample, &self.settings) {
            let (tier, baseline) = (self.admission.tier(), self.admission.baseline_ratio());
            let (limit, ratio) = (tier.limit(), tier.latency_ratio());
            self.log.write(self.now, actions, || {
                format!("tier gate cut to {limit:.1} in flight, stress {ratio:.2}, usual {baseline:.2}")
            });
        }
    }

    /// Updates the latency statistics and the state of the backend. Returns whether a failure is attributed
    /// to the tier and not only to the backend.
    fn learn_backend(
        &mut self,
        request: &PendingRequest,
        attempt: Attempt,
        outcome: Outcome,
        took: Millis,
    ) -> bool {
        let is_served = outcome == Outcome::Ok;
        let latency = &mut self.latencies[request.class];
        let expected = latency.expected(request.expected_work);
        if is_served {
            self.selector.record_served(self.now);
            latency.record(took, request.expected_work);
        }
        let Some(backend) = self.endpoints.get_mut(attempt.backend.id) else { return true };
        let counts_for_tier = backend.on_attempt_end(self.now, request.class, attempt.sent_at, outcome);
        if is_served && expected > 0.0 {
            backend.record_slowness(took, expected);
        }
        counts_for_tier
    }
}
