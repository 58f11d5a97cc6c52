//! The invariant checker: joins what clients, backends and discovery recorded by request id, and judges the whole fleet
//! by the rules of the platform's protocol. It knows the rules and the true parameters, and not how a proxy decides.

use crate::history::{
    BackendAttempt, BackendResult, ClientAttempt, ClientResult, HostStall, Observations, ProcessEvent,
};
use crate::platform_rules::SHUTDOWN_GRACE_MS;
use hillstall_decision::{BackendState, RetrySafety, Settings};
use hillstall_simulation::model::slow_start::SlowStartModel;
use std::collections::BTreeMap;
use std::fmt::Write;

/// Tolerance on every time limit, as in the platform's protocol, in milliseconds.
const TOLERANCE_MS: f64 = 50.0;
/// A signal or link fault this close to an event may be its cause, in milliseconds.
const CAUSE_WINDOW_MS: f64 = 150.0;
/// A longer stall makes a run void, in milliseconds.
const MAX_STALL_MS: f64 = 250.0;
/// A larger part of late client requests makes a run void;
const MAX_LATE_FRACTION: f64 = 0.01;
/// late is later than this, in milliseconds.
const LATE_START_MS: f64 = 60.0;
/// Violations that are reported in full.
const MAX_REPORTED_VIOLATIONS: usize = 5;

/// A rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Rule {
    /// What a running proxy has accepted gets one final response, in time.
    OneResponse,
    /// What may have run is retried only where its class permits that.
    UnsafeRetry,
    /// A request has no more attempts than the settings allow.
    AttemptLimit,
    /// Nothing new reaches a backend later than the grace after the proxy was notified that it drains or is gone.
    Drain,
    /// All proxies together never overload a backend in slow start.
    SlowStart,
    /// A rejected request has not run, or may be retried.
    Rejection,
    /// Backends receive only requests that a client sent.
    UnsolicitedRequest,
    /// A proxy ends only after a signal.
    Crash,
}

impl Rule {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            Rule::OneResponse => "one final answer",
            Rule::UnsafeRetry => "no barred repeat",
            Rule::AttemptLimit => "attempts of a request",
            Rule::Drain => "nothing new to a draining server",
            Rule::SlowStart => "no cold server pushed over",
            Rule::Rejection => "a refusal is harmless",
            Rule::UnsolicitedRequest => "nothing unasked",
            Rule::Crash => "no crash",
        }
    }
}

/// A violation.
#[derive(Clone, Debug)]
pub struct Violation {
    /// The rule.
    pub rule: Rule,
    /// How it was violated.
    pub description: String,
    /// The request, where it is about one.
    pub request_id: Option<String>,
}

/// Why a request without an answer is no violation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Excuse {
    /// Its proxy was killed or stopped, or the link to it was faulty.
    ProxyOrLinkGone,
    /// The harness or the proxy got no processor time.
    NoProcessorTime,
}

impl Excuse {
    fn name(self) -> &'static str {
        match self {
            Excuse::ProxyOrLinkGone => "its proxy or the link to it was gone",
            Excuse::NoProcessorTime => "there was no processor time",
        }
    }
}

/// True parameters of a backend.
#[derive(Clone, Debug)]
pub struct TrueBackend {
    /// Its name in the endpoint list.
    pub name: String,
    /// Its tier.
    pub tier: usize,
    /// The load it bears after a start.
    pub slow_start: SlowStartModel,
}

/// True parameters of the fleet.
#[derive(Clone, Debug)]
pub struct GroundTruth {
    /// The correct settings.
    pub settings: Settings,
    /// The backends, over all tiers.
    pub servers: Vec<TrueBackend>,
    /// The processes' names.
    pub processes: Vec<String>,
    /// The largest delay injected into links, one way, in milliseconds.
    pub max_link_delay_ms: f64,
}

/// The result of a run.
#[derive(Clone, Debug)]
pub enum Verdict {
    /// No violation.
    Passed,
    /// The violations.
    Violated(Vec<Violation>),
    /// The harness got too little processor time, so the record proves nothing; and why.
    Void(String),
}

impl Verdict {
    /// The violations.
    pub fn violations(&self) -> &[Violation] {
        match self {
            Verdict::Violated(all) => all,
            _ => &[],
        }
    }

    /// Whether a rule was violated.
    pub fn violates(&self, rule: Rule) -> bool {
        self.violations().iter().any(|b| b.rule == rule)
    }

    /// Whether the run is void.
    pub fn is_void(&self) -> bool {
        matches!(self, Verdict::Void(_))
    }
}

/// Checks a record.
pub fn check(truth: &GroundTruth, observations: &Observations) -> Verdict {
    if let Some(why) =
        late_starts_void(&observations.start_delays_ms).or_else(|| stalls_void(&observations.stalls))
    {
        return Verdict::Void(why);
    }
    let checker = Checker::new(truth, observations);
    let mut broken = Vec::new();
    checker.check_responses(&mut broken);
    checker.check_retries(&mut broken);
    checker.check_drains(&mut broken);
    checker.check_slow_start(&mut broken);
    checker.check_crashes(&mut broken);
    match broken.is_empty() {
        true => Verdict::Passed,
        false => Verdict::Violated(broken),
    }
}

/// Why late client requests make a run void, if they do.
pub fn late_starts_void(start_delays_ms: &[f64]) -> Option<String> {
    let late = start_delays_ms.iter().filter(|late| **late > LATE_START_MS).count();
    let part = late as f64 / start_delays_ms.len().max(1) as f64;
    let worst = start_delays_ms.iter().copied().fold(0.0, f64::max);
    (part > MAX_LATE_FRACTION).then(|| {
        format!(
            "{:.1}% of the calls set out over {LATE_START_MS} ms late, the latest {worst:.0} ms",
            100.0 * part
        )
    })
}

/// Why stalls make a run void, if they do: in a longer one queues build up that the scenario does not have.
pub fn stalls_void(stalls: &[HostStall]) -> Option<String> {
    let worst = stalls.iter().max_by(|a, b| (a.to - a.from).total_cmp(&(b.to - b.from)))?;
    let (who, long) = (worst.process.map_or("it".into(), |p| format!("process {p}")), worst.to - worst.from);
    (long > MAX_STALL_MS).then(|| format!("{who} got no processor time for {long:.0} ms"))
}

/// How many requests without an answer were excused, by the reason.
pub fn excuses(truth: &GroundTruth, observations: &Observations) -> BTreeMap<Excuse, usize> {
    let checker = Checker::new(truth, observations);
    let written = observations.client_attempts.iter().filter_map(|a_try| Some((a_try, a_try.written_at?)));
    let excuses = written.filter_map(|(a_try, written)| checker.excuse(a_try, written));
    let mut counts = BTreeMap::new();
    excuses.for_each(|excuse| *counts.entry(excuse).or_default() += 1);
    counts
}

/// The largest load on a backend in slow start over what it bears; above 1 it is overloaded.
pub fn overshoot(truth: &GroundTruth, observations: &Observations) -> f64 {
    Checker::new(truth, observations).overshoots().into_iter().map(|(_, part, _)| part).fold(0.0, f64::max)
}

struct Checker<'a> {
    truth: &'a GroundTruth,
    observations: &'a Observations,
    client_attempts_by_id: BTreeMap<&'a str, &'a ClientAttempt>,
    backend_attempts_by_id: BTreeMap<&'a str, Vec<&'a BackendAttempt>>,
}

impl<'a> Checker<'a> {
    fn new(truth: &'a GroundTruth, observations: &'a Observations) -> Checker<'a> {
        let mut hops: BTreeMap<&str, Vec<&BackendAttempt>> = BTreeMap::new();
        for hop in &observations.backend_attempts {
            hops.entry(&hop.id).or_default().push(hop);
        }
        hops.values_mut().for_each(|hops| hops.sort_by(|a, b| a.at.total_cmp(&b.at)));
        Checker {
            truth,
            observations: observations,
            client_attempts_by_id: observations.client_attempts.iter().map(|t| (t.id.as_str(), t)).collect(),
            backend_attempts_by_id: hops,
        }
    }

    /// Whether a proxy and the clients' link to it were healthy from when a request was written to when it ended. The
    /// kill at the end of a planned restart excuses only what came before SIGTERM or within a grace after it.
    fn was_healthy(&self, process: usize, from: f64, to: f64) -> bool {
        let mut well = true;
        let mut asked_at = None;
        for life in self
            .observations
            .process_events
            .iter()
            .filter(|l| l.process == process && l.at < to + CAUSE_WINDOW_MS)
        {
            match life.event {
                ProcessEvent::Started => asked_at = None,
                // One that shuts down still has to answer what it has accepted. A second SIGTERM changes nothing.
                ProcessEvent::SigtermSent => asked_at = asked_at.or(Some(life.at)),
                ProcessEvent::Killed if asked_at.is_some_and(|at| from - at > SHUTDOWN_GRACE_MS) => {}
                ProcessEvent::Ready | ProcessEvent::Continued => {
                    // What arrived while it was stopped is late through no fault of its own.
                    if !well && life.at + CAUSE_WINDOW_MS > from {
                        return false;
                    }
                    well = true;
                }
                // An exit without SIGKILL is no excuse.
                ProcessEvent::Exited(_) => {}
                ProcessEvent::Killed | ProcessEvent::Stopped => well = false,
            }
        }
        let cut = |c: &&crate::history::ClientLinkFault| {
            c.process == process && c.from < to + CAUSE_WINDOW_MS && c.to + CAUSE_WINDOW_MS > from
        };
        well && !self.observations.client_link_faults.iter().any(|c| cut(&c))
    }

    /// Whether the harness or a proxy got no processor time in a time span: what waited in it is late through no fault of
    /// the program.
    fn was_starved(&self, process: usize, from: f64, to: f64) -> bool {
        let meant = |stood: &&HostStall| stood.process.is_none_or(|of| of == process);
        self.observations.stalls.iter().filter(meant).any(|stood| stood.from < to && stood.to > from)
    }

    fn check_responses(&self, broken: &mut Vec<Violation>) {
        for a_try in &self.observations.client_attempts {
            let description = match a_try.written_at {
                Some(written) => self.response_fault(a_try, written),
                None => self.unread_fault(a_try),
            };
            let excuse = a_try.written_at.and_then(|written| self.excuse(a_try, written));
            if let Some(description) = description.filter(|_| excuse.is_none()) {
                broken.push(Violation {
                    rule: Rule::OneResponse,
                    description,
                    request_id: Some(a_try.id.clone()),
                });
            }
        }
    }

    /// What is wrong with the end of a request that was written, if anything.
    fn response_fault(&self, a_try: &ClientAttempt, written: f64) -> Option<String> {
        match &a_try.result {
            ClientResult::Invalid(description) => Some(description.clone()),
            ClientResult::Served => {
                // Some backend must have made it, for this request.
                let served = |h: &&BackendAttempt| h.result == BackendResult::Served;
                let is_made = self
                    .backend_attempts_by_id
                    .get(a_try.id.as_str())
                    .is_some_and(|hops| hops.iter().any(served));
                (!is_made).then(|| "served with something that no server made for it".to_string())
            }
            ClientResult::Broken => Some("its connection ended without an answer".to_string()),
            ClientResult::Unanswered => Some(format!("no answer within {:.0} ms", a_try.ended_at - written)),
            _ => None,
        }
    }

    /// Why a request without an answer is owed none, if it isn't. A wrong answer has no excuse.
    fn excuse(&self, a_try: &ClientAttempt, written: f64) -> Option<Excuse> {
        if !matches!(a_try.result, ClientResult::Broken | ClientResult::Unanswered) {
            return None;
        }
        if !self.was_healthy(a_try.process, written, a_try.ended_at) {
            return Some(Excuse::ProxyOrLinkGone);
        }
        let was_late = a_try.result == ClientResult::Unanswered
            && self.was_starved(a_try.process, written, a_try.ended_at);
        was_late.then_some(Excuse::NoProcessorTime)
    }

    /// What is wrong with a request that was not read, as far as its client could see: it was forwarded all the same.
    fn unread_fault(&self, a_try: &ClientAttempt) -> Option<String> {
        let was_forwarded = self.backend_attempts_by_id.contains_key(a_try.id.as_str());
        (a_try.result == ClientResult::NotAccepted && was_forwarded)
            .then(|| "forwarded, and its connection ended without an answer".to_string())
    }

    fn check_retries(&self, broken: &mut Vec<Violation>) {
        let settings = &self.truth.settings;
        for (id, hops) in &self.backend_attempts_by_id {
            let mut found = |rule, description| {
                broken.push(Violation { rule, description, request_id: Some((*id).to_string()) })
            };
            let Some(a_try) = self.client_attempts_by_id.get(id) else {
                found(Rule::UnsolicitedRequest, "a server got a request that nobody made".into());
                continue;
            };
            let most = settings.permissions.max_attempts as usize;
            if hops.len() > most {
                found(Rule::AttemptLimit, format!("{} attempts of {most}", hops.len()));
            }
            let class = &settings.classes[a_try.class];
            let Some(ran) = hops.iter().find(|h| h.result != BackendResult::Rejected) else { continue };
            let permitted = |at: f64| match class.retry_safety {
                RetrySafety::Idempotent => true,
                RetrySafety::IdempotencyKey => at - ran.at <= class.dedup_window_ms + TOLERANCE_MS,
                RetrySafety::NonIdempotent => false,
            };
            let again = hops.iter().find(|h| h.at > ran.at && !permitted(h.at));
            if let Some(again) = again {
                let after = again.at - ran.at;
                found(Rule::UnsafeRetry, format!("sent again {after:.0} ms after it may have run"));
            }
            if a_try.result == ClientResult::Refused && !permitted(a_try.ended_at) {
                found(Rule::Rejection, "refused although it may have run".into());
            }
        }
    }

    fn check_drains(&self, broken: &mut Vec<Violation>) {
        let grace = self.truth.settings.rules.drain_grace_ms + TOLERANCE_MS + self.truth.max_link_delay_ms;
        // By incarnation of a proxy and by backend: the notifications, and whether each excludes the backend.
        let mut away: BTreeMap<(usize, u32, usize), Vec<(f64, bool)>> = BTreeMap::new();
        for told in &self.observations.notifications {
            let place = (told.process, told.incarnation, told.server);
            away.entry(place).or_default().push((told.at, told.status != BackendState::Ready));
        }
        for hop in &self.observations.backend_attempts {
            let Some(said) = away.get(&(hop.process, hop.incarnation, hop.server)) else { continue };
            let mut since = None;
            for (at, is_away) in said.iter().filter(|(at, _)| *at <= hop.at) {
                since = if *is_away { since.or(Some(*at)) } else { None };
            }
            if let Some(since) = since.filter(|since| hop.at - since > grace) {
                let server = &self.truth.servers[hop.server].name;
                let description =
                    format!("{server} got it {:.0} ms after the proxy was told", hop.at - since);
                broken.push(Violation { rule: Rule::Drain, description, request_id: Some(hop.id.clone()) });
            }
        }
    }

    /// For each restart: the backend, its largest load over what it bears, and when that was.
    fn overshoots(&self) -> Vec<(usize, f64, f64)> {
        let each = self.observations.backend_starts.iter().map(|start| {
            let of = |h: &&BackendAttempt| h.server == start.server && h.at >= start.at;
            let sent: Vec<(f64, f64)> = self
                .observations
                .backend_attempts
                .iter()
                .filter(of)
                .map(|h| (h.at - start.at, h.work))
                .collect();
            let (most, when) = self.truth.servers[start.server].slow_start.overshoot(&sent);
            (start.server, most, start.at + when)
        });
        each.collect()
    }

    fn check_slow_start(&self, broken: &mut Vec<Violation>) {
        for (server, part, when) in self.overshoots() {
            if part > 1.0 {
                let name = &self.truth.servers[server].name;
                let description = format!("{name} was sent {part:.2} times what it bears, at {when:.0} ms");
                broken.push(Violation { rule: Rule::SlowStart, description, request_id: None });
            }
        }
    }

    fn check_crashes(&self, broken: &mut Vec<Violation>) {
        let mut told = vec![false; self.truth.processes.len()];
        for life in &self.observations.process_events {
            match life.event {
                ProcessEvent::Started => told[life.process] = false,
                ProcessEvent::SigtermSent | ProcessEvent::Killed => told[life.process] = true,
                ProcessEvent::Exited(code) if !told[life.process] => {
                    let name = &self.truth.processes[life.process];
                    let description = format!("{name} ended by itself at {:.0} ms with {code:?}", life.at);
                    broken.push(Violation { rule: Rule::Crash, description, request_id: None });
                }
                _ => {}
            }
        }
    }
}

/// All records of a request and of its requests to lower tiers, one line each, in order of time.
pub fn request_trace(truth: &GroundTruth, observations: &Observations, id: &str) -> String {
    let root = id.split('.').next().unwrap_or(id);
    let of = |other: &str| other == root || other.starts_with(&format!("{root}."));
    let mut lines: Vec<(f64, String)> = Vec::new();
    for t in observations.client_attempts.iter().filter(|t| of(&t.id)) {
        let (process, class) = (&truth.processes[t.process], &truth.settings.classes[t.class].name);
        if let Some(at) = t.written_at {
            lines.push((at, format!("{} asks {process}: {class}, {:.0} ms", t.id, t.timeout_ms)));
        }
        lines.push((t.ended_at, format!("{} ends at {process}: {:?}", t.id, t.result)));
    }
    for h in observations.backend_attempts.iter().filter(|h| of(&h.id)) {
        let (process, server) = (&truth.processes[h.process], &truth.servers[h.server].name);
        lines.push((h.at, format!("{} {process} -> {server}", h.id)));
        lines.push((h.ended_at, format!("{} {server} ends it: {:?}", h.id, h.result)));
    }
    lines.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut text = String::new();
    for (at, line) in lines {
        let _ = writeln!(text, "    {at:9.1} ms  {line}");
    }
    text
}

/// The verdict as text: each violated rule with its count, the first few violations with their records, and how many
/// requests without an answer were excused.
pub fn report(truth: &GroundTruth, observations: &Observations, verdict: &Verdict) -> String {
    let mut text = verdict_report(truth, observations, verdict);
    for (excuse, count) in excuses(truth, observations) {
        let _ = writeln!(text, "  {count} without an answer are excused: {}", excuse.name());
    }
    text
}

fn verdict_report(truth: &GroundTruth, observations: &Observations, verdict: &Verdict) -> String {
    match verdict {
        Verdict::Passed => "rules kept\n".to_string(),
        Verdict::Void(why) => format!("void: the rig was late: {why}\n"),
        Verdict::Violated(all) => {
            let mut counts: BTreeMap<Rule, usize> = BTreeMap::new();
            all.iter().for_each(|b| *counts.entry(b.rule).or_default() += 1);
            let mut text = String::from("rules broken:\n");
            for (rule, count) in counts {
                let _ = writeln!(text, "  {}: {count}", rule.name());
            }
            for broken in all.iter().take(MAX_REPORTED_VIOLATIONS) {
                let id = broken.request_id.as_deref().unwrap_or("");
                let _ = writeln!(text, "  {}: {} {id}", broken.rule.name(), broken.description);
                if !id.is_empty() {
                    text.push_str(&request_trace(truth, observations, id));
                }
            }
            text
        }
    }
}
