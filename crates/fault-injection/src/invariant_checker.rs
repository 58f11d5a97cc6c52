//! The invariant checker joins the records of clients, backends and discovery by request id, and checks the
//! whole fleet against the rules of the platform's protocol. It uses only these rules and the fleet's true
//! parameters, nothing of how a proxy makes its decisions.

use crate::history::{
    BackendAttempt, BackendResult, ClientAttempt, ClientResult, HostStall, Observations, ProcessEvent,
};
use crate::platform_rules::SHUTDOWN_GRACE_MS;
use hillstall_decision::{BackendState, RetrySafety, Settings};
use hillstall_simulation::model::slow_start::SlowStartModel;
use std::collections::BTreeMap;
use std::fmt::Write;

/// The tolerance that the platform's protocol grants on every time limit, in milliseconds.
const TOLERANCE_MS: f64 = 50.0;
/// A signal or link fault at most this long before or after an event may be its cause, in milliseconds.
const CAUSE_WINDOW_MS: f64 = 150.0;
/// The longest stall of the host that leaves a run valid, in milliseconds.
const MAX_STALL_MS: f64 = 250.0;
/// The largest fraction of late client requests that leaves a run valid.
const MAX_LATE_FRACTION: f64 = 0.01;
/// A client request that starts more than this after its scheduled time is late, in milliseconds.
const LATE_START_MS: f64 = 60.0;
/// Violations that a report describes one by one, with the trace of their request.
const MAX_REPORTED_VIOLATIONS: usize = 5;

/// A rule that a fleet must keep.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// Every request that a running proxy has accepted gets exactly one final response, in time.
    OneResponse,
    /// A request that may have been executed is retried only where its class permits that.
    UnsafeRetry,
    /// A request has no more attempts than the settings allow.
    AttemptLimit,
    /// No new request reaches a backend once the drain grace has passed since discovery told the proxy that
    /// the backend drains or is gone.
    Drain,
    /// The proxies together never overload a backend that is in slow start.
    SlowStart,
    /// A request is rejected only if it has not been executed, or if its class permits a retry.
    Rejection,
    /// Backends receive only requests that some client sent.
    UnsolicitedRequest,
    /// A proxy process ends only after SIGTERM or SIGKILL.
    Crash,
}

impl Rule {
    /// The rule's name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneResponse => "one final response",
            Rule::UnsafeRetry => "no unsafe retry",
            Rule::AttemptLimit => "attempt limit",
            Rule::Drain => "no new request to a draining server",
            Rule::SlowStart => "no overload in slow start",
            Rule::Rejection => "no rejection after execution",
            Rule::UnsolicitedRequest => "no unsolicited request",
            Rule::Crash => "no crash",
        }
    }
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// What was observed, as text.
    pub description: String,
    /// The id of the request, if the rule is about a single request.
    pub request_id: Option<String>,
}

/// Why a request without a response is no violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// Its proxy was killed or stopped, or the clients' link to the proxy was faulty.
    ProxyOrLinkGone,
    /// The harness or the proxy was ready to run and got no processor time.
    NoProcessorTime,
}

impl Excuse {
    fn name(self) -> &'static str {
        match self {
            Excuse::ProxyOrLinkGone => "proxy killed or stopped, or its link faulty",
            Excuse::NoProcessorTime => "no processor time on the host",
        }
    }
}

/// The true parameters of a backend, whatever proxies have been told about it.
#[derive(Clone, Debug)]
pub struct TrueBackend {
    /// The name in the endpoint list.
    pub name: String,
    /// The tier, from 0.
    pub tier: usize,
    /// The model of how much load it tolerates in slow start, after a restart.
    pub slow_start: SlowStartModel,
}

/// The true parameters of the fleet; a test may have given the proxies wrong settings.
#[derive(Clone, Debug)]
pub struct GroundTruth {
    /// The correct settings of the first tier's proxies.
    pub settings: Settings,
    /// The backends of all tiers, by number.
    pub servers: Vec<TrueBackend>,
    /// The names of the proxy processes, by number.
    pub processes: Vec<String>,
    /// The largest delay injected into any link, per direction, in milliseconds.
    pub max_link_delay_ms: f64,
}

/// The result of checking a run.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// No rule was violated.
    Passed,
    /// At least one rule was violated.
    Violated(Vec<Violation>),
    /// The host gave too little processor time, so the record proves nothing; the text says why.
    Void(String),
}

impl Verdict {
    /// The violations; empty unless the verdict is [`Verdict::Violated`].
    pub fn violations(&self) -> &[Violation] {
        match self {
            Verdict::Violated(all) => all,
            _ => &[],
        }
    }

    /// Whether a rule was violated.
    pub fn violates(&self, rule: Rule) -> bool {
        self.violations().iter().any(|violation| violation.rule == rule)
    }

    /// Whether the record proves nothing, because the host was overloaded.
    pub fn is_void(&self) -> bool {
        matches!(self, Verdict::Void(_))
    }
}

/// Checks the record of a run against all rules.
pub fn check(truth: &GroundTruth, observations: &Observations) -> Verdict {
    if let Some(why) =
        late_starts_void(&observations.start_delays_ms).or_else(|| stalls_void(&observations.stalls))
    {
        return Verdict::Void(why);
    }
    let checker = Checker::new(truth, observations);
    let mut violations = Vec::new();
    checker.check_responses(&mut violations);
    checker.check_retries(&mut violations);
    checker.check_drains(&mut violations);
    checker.check_slow_start(&mut violations);
    checker.check_crashes(&mut violations);
    match violations.is_empty() {
        true => Verdict::Passed,
        false => Verdict::Violated(violations),
    }
}

/// The reason why late client requests make a run void, if they do. Late requests change the load of the
/// scenario.
pub fn late_starts_void(start_delays_ms: &[f64]) -> Option<String> {
    let late = start_delays_ms.iter().filter(|delay_ms| **delay_ms > LATE_START_MS).count();
    let fraction = late as f64 / start_delays_ms.len().max(1) as f64;
    let worst = start_delays_ms.iter().copied().fold(0.0, f64::max);
    (fraction > MAX_LATE_FRACTION).then(|| {
        format!(
            "{:.1}% of the client requests started over {LATE_START_MS} ms late, the latest by {worst:.0} ms",
            100.0 * fraction
        )
    })
}

/// The reason why stalls of the host make a run void, if they do. During a long stall, queues build up that
/// are not part of the scenario.
pub fn stalls_void(stalls: &[HostStall]) -> Option<String> {
    let worst = stalls.iter().max_by(|a, b| (a.to - a.from).total_cmp(&(b.to - b.from)))?;
    let stalled = worst.process.map_or("the harness".into(), |process| format!("process {process}"));
    let stall_ms = worst.to - worst.from;
    (stall_ms > MAX_STALL_MS)
        .then(|| format!("{stalled} got no processor time for {stall_ms:.0} ms, more than {MAX_STALL_MS} ms"))
}

/// The number of requests without a response that are no violation, by excuse.
pub fn excuses(truth: &GroundTruth, observations: &Observations) -> BTreeMap<Excuse, usize> {
    let checker = Checker::new(truth, observations);
    let written =
        observations.client_attempts.iter().filter_map(|attempt| Some((attempt, attempt.written_at?)));
    let excuses = written.filter_map(|(attempt, written)| checker.excuse(attempt, written));
    let mut counts = BTreeMap::new();
    excuses.for_each(|excuse| *counts.entry(excuse).or_default() += 1);
    counts
}

/// The largest load on any backend in slow start, as a multiple of the load it tolerates; above 1 it is
/// overloaded.
pub fn overshoot(truth: &GroundTruth, observations: &Observations) -> f64 {
    Checker::new(truth, observations)
        .overshoots()
        .into_iter()
        .map(|(_, multiple, _)| multiple)
        .fold(0.0, f64::max)
}

struct Checker<'a> {
    truth: &'a GroundTruth,
    observations: &'a Observations,
    client_attempts_by_id: BTreeMap<&'a str, &'a ClientAttempt>,
    backend_attempts_by_id: BTreeMap<&'a str, Vec<&'a BackendAttempt>>,
}

impl<'a> Checker<'a> {
    fn new(truth: &'a GroundTruth, observations: &'a Observations) -> Checker<'a> {
        let mut backend_attempts_by_id: BTreeMap<&str, Vec<&BackendAttempt>> = BTreeMap::new();
        for attempt in &observations.backend_attempts {
            backend_attempts_by_id.entry(&attempt.id).or_default().push(attempt);
        }
        backend_attempts_by_id
            .values_mut()
            .for_each(|attempts| attempts.sort_by(|a, b| a.at.total_cmp(&b.at)));
        Checker {
            truth,
            observations,
            client_attempts_by_id: observations
                .client_attempts
                .iter()
                .map(|attempt| (attempt.id.as_str(), attempt))
                .collect(),
            backend_attempts_by_id,
        }
    }

    /// Whether a proxy and the clients' link to the proxy were healthy from when a request was written
    /// (`from`) until its attempt ended (`to`). The SIGKILL at the end of a planned restart excuses only
    /// requests that were written before SIGTERM or within [`SHUTDOWN_GRACE_MS`] after it.
    fn was_healthy(&self, process: usize, from: f64, to: f64) -> bool {
        let mut healthy = true;
        let mut sigterm_at = None;
        for change in self
            .observations
            .process_events
            .iter()
            .filter(|change| change.process == process && change.at < to + CAUSE_WINDOW_MS)
        {
            match change.event {
                ProcessEvent::Started => sigterm_at = None,
                // A proxy that shuts down must still answer the requests it has accepted. A second SIGTERM
                // changes nothing.
                ProcessEvent::SigtermSent => sigterm_at = sigterm_at.or(Some(change.at)),
                ProcessEvent::Killed if sigterm_at.is_some_and(|at| from - at > SHUTDOWN_GRACE_MS) => {}
                ProcessEvent::Ready | ProcessEvent::Continued => {
                    // The proxy could not answer in time what arrived while it was stopped.
                    if !healthy && change.at + CAUSE_WINDOW_MS > from {
                        return false;
                    }
                    healthy = true;
                }
                // A proxy that exits without SIGKILL must have answered all requests before.
                ProcessEvent::Exited(_) => {}
                ProcessEvent::Killed | ProcessEvent::Stopped => healthy = false,
            }
        }
        let is_cause = |fault: &&crate::history::ClientLinkFault| {
            fault.process == process && fault.from < to + CAUSE_WINDOW_MS && fault.to + CAUSE_WINDOW_MS > from
        };
        healthy && !self.observations.client_link_faults.iter().any(|fault| is_cause(&fault))
    }

    /// Whether the harness or a proxy got no processor time for a part of a time span. A request that waited
    /// meanwhile is late through no fault of the proxy.
    fn was_starved(&self, process: usize, from: f64, to: f64) -> bool {
        let concerns = |stall: &&HostStall| stall.process.is_none_or(|stalled| stalled == process);
        self.observations.stalls.iter().filter(concerns).any(|stall| stall.from < to && stall.to > from)
    }

    fn check_responses(&self, violations: &mut Vec<Violation>) {
        for attempt in &self.observations.client_attempts {
            let description = match attempt.written_at {
                Some(written) => self.response_fault(attempt, written),
                None => self.unaccepted_fault(attempt),
            };
            let excuse = attempt.written_at.and_then(|written| self.excuse(attempt, written));
            if let Some(description) = description.filter(|_| excuse.is_none()) {
                violations.push(Violation {
                    rule: Rule::OneResponse,
                    description,
                    request_id: Some(attempt.id.clone()),
                });
            }
        }
    }

    /// What is wrong with the result of a request that was written, if anything.
    fn response_fault(&self, attempt: &ClientAttempt, written: f64) -> Option<String> {
        match &attempt.result {
            ClientResult::Invalid(description) => Some(description.clone()),
            ClientResult::Served => {
                // Some backend must have served this request.
                let served = |attempt: &&BackendAttempt| attempt.result == BackendResult::Served;
                let was_served = self
                    .backend_attempts_by_id
                    .get(attempt.id.as_str())
                    .is_some_and(|attempts| attempts.iter().any(served));
                (!was_served).then(|| "answered with 200, but no backend served it".to_string())
            }
            ClientResult::Broken => Some("its connection ended without a response".to_string()),
            ClientResult::Unanswered => {
                Some(format!("no response within {:.0} ms", attempt.ended_at - written))
            }
            _ => None,
        }
    }

    /// The excuse for a request that got no response, if there is one. An invalid response has no excuse.
    fn excuse(&self, attempt: &ClientAttempt, written: f64) -> Option<Excuse> {
        if !matches!(attempt.result, ClientResult::Broken | ClientResult::Unanswered) {
            return None;
        }
        if !self.was_healthy(attempt.process, written, attempt.ended_at) {
            return Some(Excuse::ProxyOrLinkGone);
        }
        let was_late = attempt.result == ClientResult::Unanswered
            && self.was_starved(attempt.process, written, attempt.ended_at);
        was_late.then_some(Excuse::NoProcessorTime)
    }

    /// What is wrong with a request that its client considers not accepted: a backend received it all the
    /// same.
    fn unaccepted_fault(&self, attempt: &ClientAttempt) -> Option<String> {
        let was_forwarded = self.backend_attempts_by_id.contains_key(attempt.id.as_str());
        (attempt.result == ClientResult::NotAccepted && was_forwarded)
            .then(|| "forwarded to a backend, but its connection ended without a response".to_string())
    }

    fn check_retries(&self, violations: &mut Vec<Violation>) {
        let settings = &self.truth.settings;
        for (id, backend_attempts) in &self.backend_attempts_by_id {
            let mut add = |rule, description| {
                violations.push(Violation { rule, description, request_id: Some((*id).to_string()) })
            };
            let Some(client_attempt) = self.client_attempts_by_id.get(id) else {
                add(Rule::UnsolicitedRequest, "a backend received a request that no client sent".into());
                continue;
            };
            let max_attempts = settings.permissions.max_attempts as usize;
            if backend_attempts.len() > max_attempts {
                add(Rule::AttemptLimit, format!("{} attempts, limit {max_attempts}", backend_attempts.len()));
            }
            let class = &settings.classes[client_attempt.class];
            let Some(executed) =
                backend_attempts.iter().find(|attempt| attempt.result != BackendResult::Rejected)
            else {
                continue;
            };
            let permitted = |at: f64| match class.retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::IdempotencyKey => at - executed.at <= class.dedup_window_ms + TOLERANCE_MS,
                RetrySafety::NonIdempotent => false,
            };
            let unsafe_retry =
                backend_attempts.iter().find(|retry| retry.at > executed.at && !permitted(retry.at));
            if let Some(retry) = unsafe_retry {
                let after_ms = retry.at - executed.at;
                add(Rule::UnsafeRetry, format!("retried {after_ms:.0} ms after it may have been executed"));
            }
            if client_attempt.result == ClientResult::Refused && !permitted(client_attempt.ended_at) {
                add(Rule::Rejection, "rejected although it may have been executed".into());
            }
        }
    }

    fn check_drains(&self, violations: &mut Vec<Violation>) {
        let grace_ms = self.truth.settings.rules.drain_grace_ms + TOLERANCE_MS + self.truth.max_link_delay_ms;
        // The notifications by proxy, its incarnation and backend: their times, and whether each says that
        // the backend drains or is gone.
        let mut unavailable: BTreeMap<(usize, u32, usize), Vec<(f64, bool)>> = BTreeMap::new();
        for notification in &self.observations.notifications {
            let key = (notification.process, notification.incarnation, notification.server);
            unavailable
                .entry(key)
                .or_default()
                .push((notification.at, notification.status != BackendState::Ready));
        }
        for attempt in &self.observations.backend_attempts {
            let Some(notifications) =
                unavailable.get(&(attempt.process, attempt.incarnation, attempt.server))
            else {
                continue;
            };
            let mut since = None;
            for (at, is_unavailable) in notifications.iter().filter(|(at, _)| *at <= attempt.at) {
                since = if *is_unavailable { since.or(Some(*at)) } else { None };
            }
            if let Some(since) = since.filter(|since| attempt.at - since > grace_ms) {
                let server = &self.truth.servers[attempt.server].name;
                let description =
                    format!("{server} received it {:.0} ms after the proxy was notified", attempt.at - since);
                violations.push(Violation {
                    rule: Rule::Drain,
                    description,
                    request_id: Some(attempt.id.clone()),
                });
            }
        }
    }

    /// For each restart of a backend: the backend, its largest load as a multiple of the load it tolerates,
    /// and the time of that.
    fn overshoots(&self) -> Vec<(usize, f64, f64)> {
        let each = self.observations.backend_starts.iter().map(|start| {
            let sent_since_start =
                |attempt: &&BackendAttempt| attempt.server == start.server && attempt.at >= start.at;
            let sent: Vec<(f64, f64)> = self
                .observations
                .backend_attempts
                .iter()
                .filter(sent_since_start)
                .map(|attempt| (attempt.at - start.at, attempt.work))
                .collect();
            let (multiple, when) = self.truth.servers[start.server].slow_start.peak_overload(&sent);
            (start.server, multiple, start.at + when)
        });
        each.collect()
    }

    fn check_slow_start(&self, violations: &mut Vec<Violation>) {
        for (server, multiple, when) in self.overshoots() {
            if multiple > 1.0 {
                let name = &self.truth.servers[server].name;
                let description = format!(
                    "{name} was sent {multiple:.2} times the load it tolerates in slow start, at {when:.0} ms"
                );
                violations.push(Violation { rule: Rule::SlowStart, description, request_id: None });
            }
        }
    }

    fn check_crashes(&self, violations: &mut Vec<Violation>) {
        let mut may_end = vec![false; self.truth.processes.len()];
        for change in &self.observations.process_events {
            match change.event {
                ProcessEvent::Started => may_end[change.process] = false,
                ProcessEvent::SigtermSent | ProcessEvent::Killed => may_end[change.process] = true,
                ProcessEvent::Exited(code) if !may_end[change.process] => {
                    let name = &self.truth.processes[change.process];
                    let description =
                        format!("{name} ended unexpectedly at {:.0} ms, exit code {code:?}", change.at);
                    violations.push(Violation { rule: Rule::Crash, description, request_id: None });
                }
                _ => {}
            }
        }
    }
}

/// All records of a client request and of the requests that it caused at lower tiers, one line each, ordered
/// by time. `id` may be that of any of these requests.
pub fn request_trace(truth: &GroundTruth, observations: &Observations, id: &str) -> String {
    let root = id.split('.').next().unwrap_or(id);
    let belongs = |other: &str| other == root || other.starts_with(&format!("{root}."));
    let mut lines: Vec<(f64, String)> = Vec::new();
    for attempt in observations.client_attempts.iter().filter(|attempt| belongs(&attempt.id)) {
        let (process, class) =
            (&truth.processes[attempt.process], &truth.settings.classes[attempt.class].name);
        if let Some(at) = attempt.written_at {
            lines.push((
                at,
                format!("{} sent to {process}: {class}, timeout {:.0} ms", attempt.id, attempt.timeout_ms),
            ));
        }
        lines.push((attempt.ended_at, format!("{} ended at {process}: {:?}", attempt.id, attempt.result)));
    }
    for attempt in observations.backend_attempts.iter().filter(|attempt| belongs(&attempt.id)) {
        let (process, server) = (&truth.processes[attempt.process], &truth.servers[attempt.server].name);
        lines.push((attempt.at, format!("{} {process} -> {server}", attempt.id)));
        lines.push((attempt.ended_at, format!("{} ended at {server}: {:?}", attempt.id, attempt.result)));
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = String::new();
    for (at, line) in lines {
        let _ = writeln!(text, "    {at:9.1} ms  {line}");
    }
    text
}

/// The verdict as text: each violated rule with its count, the first violations with the traces of their
/// requests, and the number of excused requests by excuse.
pub fn report(truth: &GroundTruth, observations: &Observations, verdict: &Verdict) -> String {
    let mut text = verdict_report(truth, observations, verdict);
    for (excuse, count) in excuses(truth, observations) {
        let _ = writeln!(text, "  {count} requests without a response are excused: {}", excuse.name());
    }
    text
}

fn verdict_report(truth: &GroundTruth, observations: &Observations, verdict: &Verdict) -> String {
    match verdict {
        Verdict::Passed => "no violations\n".to_string(),
        Verdict::Void(why) => format!("void: the host was overloaded: {why}\n"),
        Verdict::Violated(all) => {
            let mut counts: BTreeMap<Rule, usize> = BTreeMap::new();
            all.iter().for_each(|violation| *counts.entry(violation.rule).or_default() += 1);
            let mut text = String::from("violations:\n");
            for (rule, count) in counts {
                let _ = writeln!(text, "  {}: {count}", rule.name());
            }
            for violation in all.iter().take(MAX_REPORTED_VIOLATIONS) {
                let id = violation.request_id.as_deref().unwrap_or("");
                let _ = writeln!(text, "  {}: {} {id}", violation.rule.name(), violation.description);
                if !id.is_empty() {
                    text.push_str(&request_trace(truth, observations, id));
                }
            }
            text
        }
    }
}
