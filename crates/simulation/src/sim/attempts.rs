//! Requests at proxies, their attempts, and the work of the machines that serve them.

use super::link_faults::LinkState;
use super::queue::{ResponseKind, SimEvent};
use super::setup::CONNECT_TIMEOUT_MS;
use super::{Attempt, ProxyRequest, RequestSource, World};
use crate::model::machine::Admission;
use crate::model::work::{self, WorkDistribution};
use crate::random::uniform;
use hillstall_decision::{BackendId, Event, LoadReport, Outcome};

impl World {
    fn link_delay(&self, proxy: usize, host: usize) -> f64 {
        match self.proxies[proxy].zone == self.hosts[host].zone {
            true => self.parameters.same_zone_delay,
            false => self.parameters.cross_zone_delay,
        }
    }

    /// A request reaches a proxy. `work` is in core milliseconds over this tier and those below; `ttl` is the
    /// time to the deadline, in milliseconds.
    pub(super) fn receive_request(
        &mut self,
        proxy: usize,
        source: RequestSource,
        (class, tenant): (usize, usize),
        work: f64,
        ttl: f64,
    ) {
        let id = self.requests.len();
        // Clients mark their retries: the settings have `marks_retry`.
        let is_retry = matches!(source, RequestSource::Client { attempt_number, .. } if attempt_number > 0);
        self.requests.push(ProxyRequest {
            proxy,
            source,
            class,
            tenant,
            work,
            deadline_at: self.now + ttl,
            attempts: 0,
            in_flight: None,
            answered: false,
            abandoned: false,
        });
        if self.proxies[proxy].policy.needs_true_load() {
            let truth: Vec<(BackendId, f64)> = self.tiers[self.proxies[proxy].tier]
                .iter()
                .map(|h| (*h as u32, self.true_load(*h)))
                .collect();
            self.proxies[proxy].policy.set_true_load(&truth);
        }
        let event = Event::Request {
            id: id as u64,
            key: None,
            class: class as u8,
            tenant: tenant as u16,
            expected_work_ms: None,
            is_retry,
            is_write: false,
            timeout_ms: ttl,
        };
        self.pass_event(proxy, event);
    }

    fn true_load(&self, host: usize) -> f64 {
        let h = &self.hosts[host];
        let capacity = h.machine.capacity(self.now);
        match capacity > 0.0 && !h.unreachable {
            true => (h.machine.requests() + 1) as f64 / capacity,
            false => f64::MAX,
        }
    }

    #[allow(clippy::too_many_lines, reason = "one attempt, in the order of its random draws")]
    pub(super) fn send_attempt(&mut self, request: usize, machine: usize, timeout: f64) {
        let proxy = self.requests[request].proxy;
        let tier = self.proxies[proxy].tier;
        self.totals.record_attempt(self.now, tier);
        if self.hosts[machine].away_notified_at.is_some_and(|notified_at| self.now > notified_at + 2_000.0) {
            self.totals.late_sends += 1;
        }
        let tier_parameters = &self.parameters.tiers[tier];
        let whole_requests = tier_parameters.requests_below.floor();
        let request_count = whole_requests as usize
            + usize::from(uniform(&mut self.network_rng) < tier_parameters.requests_below - whole_requests);
        let phases = request_count + 1;
        let attempt = self.attempts.len();
        let noise = self.parameters.classes[self.requests[request].class].attempt_noise_cv;
        let noise_factor = work::draw(WorkDistribution::Lognormal, 1.0, noise, &mut self.network_rng);
        let (class, work_fraction) = (self.requests[request].class, tier_parameters.work_fraction);
        if tier == 0 && self.requests[request].attempts == 0 {
            self.side_effects.on_admitted(self.now, proxy, class);
        }
        let host = &self.hosts[machine];
        let started = host.started_at.map(|at| (at, self.now - at));
        let failing = host.unreachable || !host.machine.is_responsive();
        self.side_effects.on_sent(
            (proxy, machine),
            failing,
            started,
            self.requests[request].work * noise_factor * work_fraction,
        );
        let proxy_request = &mut self.requests[request];
        self.attempts.push(Attempt {
            request,
            number: proxy_request.attempts,
            machine,
            sent_at: self.now,
            ended: false,
            on_machine: false,
            cancelled: false,
            phases_left: phases,
            phase_work: proxy_request.work * noise_factor * work_fraction / phases as f64,
            request_below: None,
        });
        proxy_request.attempts += 1;
        proxy_request.in_flight = Some(attempt);
        let end = if timeout > 0.0 {
            (self.now + timeout).min(proxy_request.deadline_at)
        } else {
            proxy_request.deadline_at
        };
        let delay = self.link_delay(proxy, machine);
        match self.link_to_machine(proxy, machine) {
            LinkState::Open(extra_delay) => {
                self.queue.schedule(self.now + delay + extra_delay, SimEvent::AttemptArrival { attempt })
            }
            LinkState::Blocked(_) => {
                let outcome = Outcome::ConnectFailed;
                self.queue
                    .schedule(self.now + CONNECT_TIMEOUT_MS, SimEvent::AttemptOutcome { attempt, outcome });
            }
            LinkState::Refused => {
                let outcome = Outcome::ConnectFailed;
                self.queue.schedule(self.now + 2.0 * delay, SimEvent::AttemptOutcome { attempt, outcome });
            }
            LinkState::Broken => {
                let outcome = Outcome::Reset;
                self.queue.schedule(self.now + 2.0 * delay, SimEvent::AttemptOutcome { attempt, outcome });
            }
        }
        self.queue.schedule(end, SimEvent::AttemptTimeout { attempt });
    }

    pub(super) fn attempt_arrives(&mut self, attempt: usize) {
        let (machine, work) = (self.attempts[attempt].machine, self.attempts[attempt].phase_work);
        if self.attempts[attempt].ended {
            return;
        }
        let delay = self.link_delay(self.requests[self.attempts[attempt].request].proxy, machine);
        let host = &mut self.hosts[machine];
        if host.unreachable {
            let outcome = Outcome::ConnectFailed;
            return self
                .queue
                .schedule(self.now + CONNECT_TIMEOUT_MS, SimEvent::AttemptOutcome { attempt, outcome });
        }
        if !host.machine.is_up() {
            let outcome = Outcome::ConnectFailed;
            return self.queue.schedule(self.now + delay, SimEvent::AttemptOutcome { attempt, outcome });
        }
        if host.rejects_new {
            let outcome = Outcome::Rejected;
            return self.queue.schedule(self.now + delay, SimEvent::AttemptOutcome { attempt, outcome });
        }
        match host.machine.offer(self.now, attempt as u64, work, &mut self.completed_jobs) {
            Admission::Accepted => self.attempts[attempt].on_machine = true,
            Admission::QueueFull => {
                let outcome = Outcome::Rejected;
                self.queue.schedule(self.now + delay, SimEvent::AttemptOutcome { attempt, outcome });
            }
        }
        self.continue_completed_work(machine);
    }

    /// Processes the jobs that have completed a phase, and schedules the machine's next change.
    pub(super) fn continue_completed_work(&mut self, machine: usize) {
        while !self.completed_jobs.is_empty() {
            for job in std::mem::take(&mut self.completed_jobs) {
                self.phase_done(job as usize);
            }
        }
        let host = &mut self.hosts[machine];
        host.change_stamp += 1;
        let stamp = host.change_stamp;
        if let Some(due) = host.machine.next_change() {
            self.queue.schedule(due.max(self.now), SimEvent::MachineChange { machine, stamp });
        }
    }

    fn phase_done(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        state.phases_left -= 1;
        if state.phases_left == 0 || state.cancelled {
            return self.finish_attempt(attempt, Outcome::Ok);
        }
        let (machine, request) = (state.machine, state.request);
        let parent = &self.requests[request];
        let (class_and_tenant, work, ttl) =
            ((parent.class, parent.tenant), parent.work, parent.deadline_at - self.now);
        let requests_left = state.phases_left as f64;
        let Some(proxy) = self.hosts[machine].proxy else {
            return self.finish_attempt(attempt, Outcome::Ok);
        };
        // The work at the tiers below is divided by the number of requests sent there.
        let tier = self.hosts[machine].tier;
        let requests_below = self.parameters.tiers[tier].requests_below.max(1.0).max(requests_left);
        self.attempts[attempt].request_below = Some(self.requests.len());
        let work = if self.parameters.independent_tier_work {
            let class = &self.parameters.classes[class_and_tenant.0];
            work::draw(class.work_distribution, class.mean_work_ms, class.work_cv, &mut self.network_rng)
        } else {
            work
        };
        self.receive_request(
            proxy,
            RequestSource::Machine { attempt },
            class_and_tenant,
            work / requests_below,
            ttl.max(0.0),
        );
    }

    /// Ends an attempt at its machine and sends the outcome to the proxy, unless the machine has already lost
    /// it.
    fn finish_attempt(&mut self, attempt: usize, outcome: Outcome) {
        let machine = self.attempts[attempt].machine;
        if !std::mem::take(&mut self.attempts[attempt].on_machine) {
            return;
        }
        let now = self.now;
        self.hosts[machine].machine.release(now, &mut self.completed_jobs);
        let proxy = self.requests[self.attempts[attempt].request].proxy;
        let delay = self.link_delay(proxy, machine);
        if !self.hosts[machine].unreachable {
            match self.link_to_machine(proxy, machine) {
                LinkState::Open(extra_delay) => self
                    .queue
                    .schedule(now + delay + extra_delay, SimEvent::AttemptOutcome { attempt, outcome }),
                // TCP retransmits the response, so it arrives once the link is back.
                LinkState::Blocked(until) => {
                    self.queue.schedule(until + delay, SimEvent::AttemptOutcome { attempt, outcome })
                }
                LinkState::Refused => {
                    self.queue.schedule(now + delay, SimEvent::AttemptOutcome { attempt, outcome })
                }
                LinkState::Broken => {
                    let outcome = Outcome::Reset;
                    self.queue.schedule(now + delay, SimEvent::AttemptOutcome { attempt, outcome });
                }
            }
        }
        self.continue_completed_work(machine);
    }

    /// Sends a proxy's final response to the source of the request. Any further response to a request is
    /// counted as an error.
    pub(super) fn respond(&mut self, request: usize, end: ResponseKind, retry_after: f64) {
        let state = &mut self.requests[request];
        if state.abandoned {
            return;
        }
        if std::mem::replace(&mut state.answered, true) {
            self.totals.response_errors += 1;
            return;
        }
        match state.source {
            RequestSource::Client { client_request, attempt_number } => {
                if end == ResponseKind::Rejected {
                    self.totals.record_rejection_by(state.proxy);
                    self.side_effects.on_rejected(self.now, state.proxy, state.class, state.attempts == 0);
                }
                let at = self.now + self.parameters.client_delay;
                self.queue.schedule(
                    at,
                    SimEvent::ResponseArrival { client_request, attempt_number, end, retry_after },
                );
            }
            RequestSource::Machine { attempt } => {
                let parent = &mut self.attempts[attempt];
                parent.request_below = None;
                let (machine, work) = (parent.machine, parent.phase_work);
                if end != ResponseKind::Served {
                    self.finish_attempt(attempt, Outcome::Error);
                } else if parent.on_machine {
                    let now = self.now;
                    self.hosts[machine].machine.resume(now, attempt as u64, work, &mut self.completed_jobs);
                    self.continue_completed_work(machine);
                }
            }
        }
    }

    pub(super) fn attempt_timed_out(&mut self, attempt: usize) {
        if self.attempts[attempt].ended {
            return;
        }
        self.drop_at_machine(attempt);
        self.end_attempt(attempt, Outcome::Timeout);
    }

    /// Cancels a request's attempt in flight, on behalf of the policy.
    pub(super) fn cancel_attempt(&mut self, request: usize) {
        if let Some(attempt) = self.requests[request].in_flight {
            self.drop_at_machine(attempt);
            self.end_attempt(attempt, Outcome::Cancelled);
        }
    }

    fn drop_at_machine(&mut self, attempt: usize) {
        let delay = self
            .link_delay(self.requests[self.attempts[attempt].request].proxy, self.attempts[attempt].machine);
        self.queue.schedule(self.now + delay, SimEvent::CancelArrival { attempt });
    }

    /// A cancellation reaches the machine: queued work is dropped, running work continues to the end of its
    /// phase.
    pub(super) fn cancel_at_machine(&mut self, attempt: usize) {
        let state = &mut self.attempts[attempt];
        if !state.on_machine || self.hosts[state.machine].unreachable {
            return;
        }
        state.cancelled = true;
        let (machine, below) = (state.machine, state.request_below.take());
        if let Some(request_below) = below {
            self.client_gone(request_below);
            return self.finish_attempt(attempt, Outcome::Cancelled);
        }
        let now = self.now;
        if self.hosts[machine].machine.cancel(now, attempt as u64, &mut self.completed_jobs) {
            self.attempts[attempt].on_machine = false;
        }
        self.continue_completed_work(machine);
    }

    /// Ends an attempt at its proxy. Only the first outcome counts; later ones are ignored.
    pub(super) fn end_attempt(&mut self, attempt: usize, outcome: Outcome) {
        let state = &mut self.attempts[attempt];
        if std::mem::replace(&mut state.ended, true) {
            return;
        }
        let (request, attempt_number, machine, took) =
            (state.request, state.number, state.machine, self.now - state.sent_at);
        self.requests[request].in_flight = None;
        let proxy = self.requests[request].proxy;
        let keeps_connection = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Error);
        self.side_effects.on_ended((proxy, machine), keeps_connection);
        if !self.proxies[proxy].alive {
            return;
        }
        let served = outcome == Outcome::Ok && !self.requests[request].abandoned;
        if served {
            self.respond(request, ResponseKind::Served, 0.0);
        }
        // At the deadline the request fails even if the policy has not given it up.
        let late = self.now >= self.requests[request].deadline_at;
        let event = Event::Outcome {
            request: request as u64,
            attempt: attempt_number as u8,
            backend: machine as u32,
            outcome,
            took_ms: took,
            ended: served || self.requests[request].abandoned,
            report: LoadReport::default(),
        };
        self.pass_event(proxy, event);
        let state = &self.requests[request];
        if late && !state.answered && !state.abandoned && state.in_flight.is_none() {
            self.respond(request, ResponseKind::Failed, 0.0);
        }
    }

    /// Loses all attempts on a machine whose process has died. With `reset` their connections are reset;
    /// otherwise the proxies get no sign of it.
    pub(super) fn lose_attempts_on(&mut self, machine: usize, reset: bool) {
        for attempt in 0..self.attempts.len() {
            let state = &mut self.attempts[attempt];
            if state.machine != machine || !std::mem::take(&mut state.on_machine) {
                continue;
            }
            if let Some(below) = state.request_below.take() {
                self.client_gone(below);
            }
            if reset {
                let delay = self.link_delay(self.requests[self.attempts[attempt].request].proxy, machine);
                let outcome = Outcome::Reset;
                self.queue.schedule(self.now + delay, SimEvent::AttemptOutcome { attempt, outcome });
            }
        }
    }
}
