//! A minimal proxy for tests: feeds events to a balancer and records the actions that it returns.
#![allow(dead_code)] // each test file uses only some of these items

use hillstall_decision::Balancer;
use hillstall_decision::*;

/// How long backends drop repetitions of a keyed request, in milliseconds.
pub const DEDUP_WINDOW_MS: Millis = 2_000.0;

/// A class of requests with a latency objective of 1 s and a deadline of 4 s.
pub fn class(retry_safety: RetrySafety, scope: DedupScope) -> Class {
    Class {
        name: String::new(),
        latency_objective_ms: 1_000.0,
        objective_per_work_ms: 0.0,
        deadline_ms: 4_000.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.2,
        retry_safety,
        dedup_scope: scope,
        dedup_window_ms: DEDUP_WINDOW_MS,
        streaming: false,
    }
}

/// Objective weights without weights for tenants and availability.
pub fn objective_weights(whole_run: f64, worst_window: f64, worst_class: f64) -> ObjectiveWeights {
    ObjectiveWeights {
        whole_run,
        worst_window,
        worst_class,
        worst_tenant: 0.0,
        availability: 0.0,
        full_at_nines: 3.0,
    }
}

/// A tenant with a quota in requests a second.
pub fn tenant(quota_per_s: f64) -> Tenant {
    Tenant { name: String::new(), quota_per_s, fraction: 0.5 }
}

/// Settings of a single instance with one idempotent class and no tenants.
#[allow(clippy::too_many_lines, reason = "one literal of all settings")]
pub fn settings() -> Settings {
    Settings {
        rank: 0,
        fleet_size: 1,
        zone: 0,
        tier: 0,
        tier_names: ["front", "middle", "back"].map(String::from).to_vec(),
        zones: Vec::new(),
        machine_kinds: Vec::new(),
        service: "chain".into(),
        passes_deadline: true,
        caches_keys: false,
        marks_retry: false,
        must_subscribe: false,
        weight_by_work: false,
        over_quota_weight: 0.05,
        tick_ms: 5.0,
        rating_source: RatingSource::Off,
        report: Vec::new(),
        report_via: ReportVia::Off,
        classes: vec![class(RetrySafety::Idempotent, DedupScope::All)],
        tenants: Vec::new(),
        rules: Rules {
            response_grace_ms: 20.0,
            drain_grace_ms: 250.0,
            poll_interval_ms: 10_000.0,
            warmup_start_fraction: 0.3,
            warmup_ms: 8_000.0,
            overload_multiple: 3.0,
            overload_window_ms: 3_000.0,
        },
        permissions: Permissions {
            cancel: true,
            probe: false,
            parallel: false,
            retry_after: true,
            max_retry_after_ms: 2_000.0,
            max_attempts: 5,
            max_open: 1_000,
            peer_messages: false,
            idle_close_ms: 30_000.0,
            connect_timeout_ms: 250.0,
            streams_per_connection: 1,
            cpu_us_per_s: 500_000.0,
            cpu_us_per_request: 0.0,
        },
        prices: Prices::default(),
        objective_weights: objective_weights(0.7, 0.2, 0.1),
    }
}

/// A ready backend past its slow start, in zone 0 and cell `id / 4`.
pub fn backend(id: BackendId) -> BackendInfo {
    BackendInfo {
        id,
        zone: 0,
        kind: 0,
        cell: (id / 4) as u16,
        state: BackendState::Ready,
        rating: 1.0,
        started_at: None,
    }
}

/// Ready backends with the ids 1 to `n`.
pub fn backends(n: u32) -> Vec<BackendInfo> {
    (1..=n).map(backend).collect()
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sent {
    pub request: RequestId,
    pub attempt: u8,
    pub backend: BackendId,
    pub sent_at: Millis,
    pub timeout_ms: Millis,
}

/// A request event without a routing key and without expected work.
pub fn request(id: RequestId, class: u8, tenant: u16, timeout_ms: Millis) -> Event<'static> {
    Event::Request {
        id,
        key: None,
        class,
        tenant,
        expected_work_ms: None,
        is_retry: false,
        is_write: false,
        timeout_ms,
    }
}

/// The event for the end of an attempt, without a load report.
pub fn attempt_ended(
    request: RequestId,
    attempt: u8,
    backend: BackendId,
    outcome: Outcome,
    took_ms: Millis,
    ended: bool,
) -> Event<'static> {
    Event::Outcome { request, attempt, backend, outcome, took_ms, ended, report: LoadReport::default() }
}

/// Feeds events to one balancer and counts the attempts of each request.
pub struct Proxy {
    pub balancer: Balancer,
    pub now: Millis,
    pub last: Vec<Action>,
    attempts: std::collections::BTreeMap<RequestId, u8>,
    next: RequestId,
}

impl Proxy {
    pub fn new(settings: Settings, list: &[BackendInfo]) -> Proxy {
        let mut proxy = Proxy {
            balancer: Balancer::new(settings, 7),
            now: 1_000.0,
            last: Vec::new(),
            attempts: Default::default(),
            next: 1,
        };
        proxy.list(ListKind::Cached, list);
        proxy
    }

    pub fn event(&mut self, event: Event<'_>) -> &[Action] {
        self.last.clear();
        self.balancer.handle(self.now, event, &mut self.last);
        &self.last
    }

    pub fn list(&mut self, kind: ListKind, backends: &[BackendInfo]) {
        self.event(Event::EndpointsChanged { kind, version: 1, backends });
    }

    /// Returns the attempt that the last event sent, if any.
    pub fn sent(&mut self) -> Option<Sent> {
        let sent_at = self.now;
        let (request, backend, timeout_ms) = self.last.iter().find_map(|a| match a {
            Action::Send { request, backend, timeout_ms, .. } => Some((*request, *backend, *timeout_ms)),
            _ => None,
        })?;
        let count = self.attempts.entry(request).or_default();
        *count += 1;
        Some(Sent { request, attempt: *count - 1, backend, sent_at, timeout_ms })
    }

    /// Submits a new request and returns its first attempt if one was sent.
    pub fn send_request(&mut self, class: u8, tenant: u16, timeout_ms: Millis) -> Option<Sent> {
        self.send_request_marked(class, tenant, timeout_ms, false)
    }

    /// Like [`Proxy::send_request`]; `is_retry` marks the request as a client's retry.
    pub fn send_request_marked(
        &mut self,
        class: u8,
        tenant: u16,
        timeout_ms: Millis,
        is_retry: bool,
    ) -> Option<Sent> {
        let id = self.next;
        self.next += 1;
        let mut event = request(id, class, tenant, timeout_ms);
        if let Event::Request { is_retry: is_marked, .. } = &mut event {
            *is_marked = is_retry;
        }
        self.event(event);
        self.sent()
    }

    /// Ends an attempt now and returns the next attempt of the request if one was sent.
    pub fn end(&mut self, sent: Sent, outcome: Outcome) -> Option<Sent> {
        let took_ms = self.now - sent.sent_at;
        let ended = outcome == Outcome::Ok;
        self.event(attempt_ended(sent.request, sent.attempt, sent.backend, outcome, took_ms, ended));
        self.sent()
    }

    pub fn rejected(&self) -> bool {
        self.last.iter().any(|a| matches!(a, Action::Reject { .. }))
    }

    pub fn failed(&self) -> bool {
        self.last.iter().any(|a| matches!(a, Action::Fail { .. }))
    }

    /// Runs `rounds` rounds of `concurrency` requests at once, each ended with `outcome` after `took`
    /// milliseconds.
    pub fn run_rounds(&mut self, rounds: usize, concurrency: usize, took: Millis, outcome: Outcome) {
        for _ in 0..rounds {
            let mut out: Vec<Sent> =
                (0..concurrency).filter_map(|_| self.send_request(0, 0, 4_000.0)).collect();
            self.now += took;
            while let Some(sent) = out.pop() {
                out.extend(self.end(sent, outcome).filter(|_| outcome != Outcome::Ok));
            }
        }
    }

    /// Submits `n` requests at once and returns how many are sent; those are answered in time afterwards.
    pub fn admitted(&mut self, n: usize) -> usize {
        let out: Vec<Sent> = (0..n).filter_map(|_| self.send_request(0, 0, 4_000.0)).collect();
        self.now += 100.0;
        out.iter().for_each(|sent| {
            self.end(*sent, Outcome::Ok);
        });
        out.len()
    }
}
