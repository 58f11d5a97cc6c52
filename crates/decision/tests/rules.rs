//! The safety rules: retries follow the retry safety of the class, new attempts go only to ready backends
//! (or, for a short time, draining ones), each request gets exactly one final answer, and backends in slow
//! start stay within their budget. Each rule is tested alone; all but the last are also checked over random
//! sequences of legal events.

mod common;
use common::*;
use hillstall_decision::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use std::collections::BTreeMap;

const MAY_HAVE_RUN_OUTCOMES: [Outcome; 3] = [Outcome::Error, Outcome::Timeout, Outcome::Reset];
/// The pause that the terms allow the process between a look at its clock and a write, in milliseconds.
const MAX_PAUSE_MS: Millis = 150.0;
const NEVER_RAN_OUTCOMES: [Outcome; 2] = [Outcome::Rejected, Outcome::ConnectFailed];

fn proxy(retry_safety: RetrySafety, scope: DedupScope, list: &[BackendInfo]) -> Proxy {
    Proxy::new(Settings { classes: vec![class(retry_safety, scope)], ..settings() }, list)
}

fn in_zone(id: BackendId, zone: u16) -> BackendInfo {
    BackendInfo { zone, ..backend(id) }
}

#[test]
fn non_idempotent_is_not_retried_or_rejected_after_it_may_have_run() {
    for outcome in MAY_HAVE_RUN_OUTCOMES {
        let mut p = proxy(RetrySafety::NonIdempotent, DedupScope::All, &backends(8));
        let sent = p.send_request(0, 0, 4_000.0).expect("sent");
        p.now += 50.0;
        assert_eq!(p.end(sent, outcome), None, "{outcome:?}");
        assert!(p.failed() && !p.rejected(), "{outcome:?}");
    }
}

#[test]
fn non_idempotent_is_retried_after_proof_that_it_never_ran() {
    for outcome in NEVER_RAN_OUTCOMES {
        let mut p = proxy(RetrySafety::NonIdempotent, DedupScope::All, &backends(8));
        let sent = p.send_request(0, 0, 4_000.0).expect("sent");
        p.now += 50.0;
        assert!(p.end(sent, outcome).is_some(), "{outcome:?}");
    }
}

#[test]
fn retries_with_an_idempotency_key_stay_in_their_dedup_scope() {
    let list: Vec<_> = (1..=24).map(|id| in_zone(id, (id % 3) as u16)).collect();
    for scope in [DedupScope::All, DedupScope::Zone, DedupScope::Cell] {
        for _ in 0..40 {
            let mut p = proxy(RetrySafety::IdempotencyKey, scope, &list);
            let first = p.send_request(0, 0, 4_000.0).expect("sent");
            p.now += 50.0;
            let Some(again) = p.end(first, Outcome::Error) else { continue };
            let (a, b) = (list[first.backend as usize - 1], list[again.backend as usize - 1]);
            match scope {
                DedupScope::All => {}
                DedupScope::Zone => assert_eq!(a.zone, b.zone),
                DedupScope::Cell => assert_eq!(a.cell, b.cell),
            }
        }
    }
}

#[test]
fn with_an_idempotency_key_a_request_fails_after_its_dedup_window() {
    for scope in [DedupScope::All, DedupScope::Zone, DedupScope::Cell] {
        let mut p = proxy(RetrySafety::IdempotencyKey, scope, &backends(8));
        let sent = p.send_request(0, 0, 4_000.0).expect("sent");
        p.now += 2_100.0;
        assert_eq!(p.end(sent, Outcome::Error), None);
        assert!(p.failed());
    }
}

// Guards against a retry that the process, held up before its write, sends after the window.
#[test]
fn with_an_idempotency_key_no_retry_is_sent_when_a_pause_would_take_it_past_its_dedup_window() {
    for (before_end, is_retried) in [(MAX_PAUSE_MS + 1.0, true), (MAX_PAUSE_MS - 1.0, false)] {
        let mut p = proxy(RetrySafety::IdempotencyKey, DedupScope::All, &backends(8));
        let first = p.send_request(0, 0, 4_000.0).expect("sent");
        let window_end = p.now + DEDUP_WINDOW_MS;
        p.now = window_end - before_end;
        assert_eq!(p.end(first, Outcome::Reset).is_some(), is_retried, "{before_end} ms before the end");
        let write_by = p.last.iter().find_map(|action| match action {
            Action::Send { write_by, .. } => *write_by,
            _ => None,
        });
        assert_eq!(write_by, is_retried.then_some(window_end - MAX_PAUSE_MS));
        assert!(is_retried || p.failed());
    }
}

// Guards against an attempt that is not written in time and is then sent once more, or rejected.
#[test]
fn with_an_idempotency_key_a_request_fails_when_its_retry_was_not_written_in_time() {
    for outcome in [Outcome::NotSent, Outcome::ConnectFailed] {
        let mut p = proxy(RetrySafety::IdempotencyKey, DedupScope::All, &backends(8));
        let first = p.send_request(0, 0, 4_000.0).expect("sent");
        p.now += 300.0;
        let retry = p.end(first, Outcome::Reset).expect("retried within the window");
        p.now += DEDUP_WINDOW_MS - MAX_PAUSE_MS - 300.0;
        assert_eq!(p.end(retry, outcome), None, "{outcome:?}");
        assert!(p.failed(), "{outcome:?}");
    }
}

// Guards against a rejection whose advice makes the client come again after the window.
#[test]
fn with_an_idempotency_key_a_client_is_not_told_to_come_again_after_the_dedup_window() {
    let mut settings =
        Settings { classes: vec![class(RetrySafety::IdempotencyKey, DedupScope::All)], ..settings() };
    settings.permissions.max_attempts = 1;
    settings.permissions.retry_after = true;
    settings.permissions.max_retry_after_ms = 5_000.0;
    let mut rejected = 0;
    for step in 0..185 {
        let mut p = Proxy::new(settings.clone(), &backends(8));
        let sent = p.send_request(0, 0, 4_000.0).expect("sent");
        let window_end = p.now + DEDUP_WINDOW_MS;
        p.now += 10.0 * f64::from(step);
        assert_eq!(p.end(sent, Outcome::Reset), None);
        assert!(p.rejected() || p.failed());
        let advice = p.last.iter().find_map(|action| match action {
            Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
            _ => None,
        });
        rejected += usize::from(advice.is_some());
        assert!(advice.is_none_or(|advice| p.now + advice < window_end - MAX_PAUSE_MS), "{advice:?}");
    }
    assert!(rejected > 0, "requests are rejected early in the window");
}

#[test]
fn with_an_idempotency_key_and_no_backend_left_in_its_dedup_scope_a_request_fails() {
    let mut p = proxy(RetrySafety::IdempotencyKey, DedupScope::Zone, &[in_zone(1, 0), in_zone(2, 1)]);
    let sent = p.send_request(0, 0, 4_000.0).expect("sent");
    let rest: Vec<_> = [in_zone(1, 0), in_zone(2, 1)].into_iter().filter(|b| b.id != sent.backend).collect();
    p.list(ListKind::Full, &rest);
    p.now += 50.0;
    assert_eq!(p.end(sent, Outcome::Reset), None);
    assert!(p.failed() && !p.rejected());
}

#[test]
fn without_a_subscription_draining_and_gone_backends_get_no_new_requests() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut p = proxy(RetrySafety::Idempotent, DedupScope::All, &backends(3));
        p.list(ListKind::Delta, &[BackendInfo { state, ..backend(2) }]);
        for _ in 0..200 {
            let Some(sent) = p.send_request(0, 0, 4_000.0) else { break };
            assert_ne!(sent.backend, 2);
            p.now += 5.0;
            p.end(sent, Outcome::Ok);
        }
    }
}

/// Counts the requests sent to draining backend 2 of 3 in each tenth of its drain grace period.
/// `is_continuous` says whether the list was complete before the drain, and `rejects` whether the backend
/// rejects requests.
fn sent_to_draining(is_continuous: bool, rejects: bool) -> Vec<usize> {
    let subscribed = Settings { must_subscribe: true, ..settings() };
    let grace = subscribed.rules.drain_grace_ms;
    let mut p = Proxy::new(subscribed, &backends(3));
    p.list(ListKind::Delta, &[]);
    if !is_continuous {
        p.list(ListKind::Failed, &[]);
    }
    p.list(ListKind::Delta, &[BackendInfo { state: BackendState::Draining, ..backend(2) }]);
    let drain_start = p.now;
    let mut sent_to = vec![0; 10];
    while p.now - drain_start < grace {
        let Some(sent) = p.send_request(0, 0, 4_000.0) else { break };
        sent_to[((p.now - drain_start) / grace * 10.0) as usize] += usize::from(sent.backend == 2);
        p.now += grace / 1_000.0;
        let is_rejected = rejects && sent.backend == 2;
        if let Some(again) = p.end(sent, if is_rejected { Outcome::Rejected } else { Outcome::Ok }) {
            assert_ne!(again.backend, 2);
            p.end(again, Outcome::Ok);
        }
    }
    sent_to
}

#[test]
fn a_draining_backend_leaves_the_draw_gradually_within_half_of_the_grace_period() {
    let sent_to = sent_to_draining(true, false);
    // An even share is a third of the about 100 requests in each tenth of the grace period.
    assert!(sent_to[0] > 15 && sent_to[4] < sent_to[0] / 2, "{sent_to:?}");
    assert_eq!(sent_to[5..].iter().sum::<usize>(), 0, "{sent_to:?}");
}

#[test]
fn a_draining_backend_gets_no_requests_after_a_rejection_or_if_updates_may_be_missing() {
    assert_eq!(sent_to_draining(true, true).iter().sum::<usize>(), 1);
    assert_eq!(sent_to_draining(false, false).iter().sum::<usize>(), 0);
}

#[test]
fn backends_missing_from_a_full_list_are_gone() {
    let mut p = proxy(RetrySafety::Idempotent, DedupScope::All, &backends(3));
    p.list(ListKind::Full, &[backend(3)]);
    let sent = p.send_request(0, 0, 4_000.0).expect("sent");
    assert_eq!(sent.backend, 3);
}

#[test]
fn without_any_backend_a_request_is_rejected() {
    let mut p = proxy(RetrySafety::NonIdempotent, DedupScope::All, &[]);
    assert_eq!(p.send_request(0, 0, 4_000.0), None);
    assert!(p.rejected());
}

#[test]
fn an_unknown_class_is_rejected() {
    let mut p = proxy(RetrySafety::NonIdempotent, DedupScope::All, &backends(2));
    assert_eq!(p.send_request(200, 0, 4_000.0), None);
    assert!(p.rejected());
}

#[test]
fn late_duplicate_and_unknown_events_do_nothing() {
    let mut p = proxy(RetrySafety::Idempotent, DedupScope::All, &backends(4));
    let sent = p.send_request(0, 0, 4_000.0).expect("sent");
    p.now += 20.0;
    p.end(sent, Outcome::Ok);
    for request in [sent.request, 9_999] {
        assert!(p.event(attempt_ended(request, 0, sent.backend, Outcome::Error, f64::NAN, true)).is_empty());
        assert!(p.event(Event::ClientGone { request }).is_empty());
    }
    assert!(p.event(Event::Timer { token: 77 }).is_empty());
    p.now = f64::NAN;
    assert!(p.send_request(0, 0, 4_000.0).is_some(), "a clock of NaN stands still");
}

#[test]
fn a_backend_in_slow_start_stays_within_its_budget_right_after_its_start() {
    // Guards against a new token bucket that is refilled with a whole window of tokens at its first use.
    let list = [backend(1), backend(2), backend(3), backend(4)];
    let mut p = proxy(RetrySafety::Idempotent, DedupScope::All, &list);
    let count_by_backend = |p: &mut Proxy, ms: f64| {
        let (mut in_slow_start, mut past_slow_start) = (0, 0);
        let end = p.now + ms;
        while p.now < end {
            if let Some(sent) = p.send_request(0, 0, 4_000.0) {
                *(if sent.backend == 5 { &mut in_slow_start } else { &mut past_slow_start }) += 1;
                p.now += 5.0;
                p.end(sent, Outcome::Ok);
            } else {
                p.now += 5.0;
            }
        }
        (in_slow_start, past_slow_start)
    };
    count_by_backend(&mut p, 6_000.0);
    let started_at = Some(p.now);
    p.list(ListKind::Delta, &[BackendInfo { started_at, ..backend(5) }]);
    let (in_slow_start, past_slow_start) = count_by_backend(&mut p, 100.0);
    assert!(
        in_slow_start <= 1,
        "{in_slow_start} requests to the backend in slow start at first, {past_slow_start} to the others"
    );
    // The budget is half of what makes the backend fail in any one window, at its least capacity. The bound
    // has some tolerance: 0.7 times the rate that makes a backend with half of its full capacity fail.
    let (in_slow_start, past_slow_start) = count_by_backend(&mut p, 2_900.0);
    let capacity = f64::from(past_slow_start) / 4.0 * 0.5;
    assert!(
        f64::from(in_slow_start) < 0.7 * 3.0 * capacity,
        "{in_slow_start} requests to the backend in slow start, which can serve {capacity}"
    );
}

/// The state of one request in the reference model.
#[derive(Default)]
struct RequestRecord {
    class: usize,
    deadline: Millis,
    /// The attempts in flight: number, backend and time of the send.
    out: Vec<(u8, BackendId, Millis)>,
    attempts: u8,
    may_have_run: Option<(BackendId, Millis)>,
    answered: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Request { class: u8, tenant: u16, timeout: f64 },
    End { nth: usize, outcome: Outcome },
    Disconnect { nth: usize },
    Wait { ms: f64 },
    ChangeState { id: BackendId, state: BackendState, fresh: bool },
}

fn step() -> impl Strategy<Value = Step> {
    let outcome = prop_oneof![
        4 => Just(Outcome::Ok),
        2 => Just(Outcome::Error),
        1 => Just(Outcome::Rejected),
        1 => Just(Outcome::Timeout),
        1 => Just(Outcome::ConnectFailed),
        1 => Just(Outcome::Reset),
    ];
    let state = prop_oneof![
        2 => Just(BackendState::Ready),
        1 => Just(BackendState::Draining),
        1 => Just(BackendState::Gone),
    ];
    prop_oneof![
        5 => (0..4u8, 0..3u16, 1.0..4_000.0f64).prop_map(|(class, tenant, timeout)| Step::Request { class, tenant, timeout }),
        5 => (0..64usize, outcome).prop_map(|(nth, outcome)| Step::End { nth, outcome }),
        1 => (0..64usize).prop_map(|nth| Step::Disconnect { nth }),
        4 => (0.1..400.0f64).prop_map(|ms| Step::Wait { ms }),
        1 => (1..=9u32, state, any::<bool>()).prop_map(|(id, state, fresh)| Step::ChangeState { id, state, fresh }),
    ]
}

struct ReferenceModel {
    p: Proxy,
    classes: Vec<Class>,
    parallel: bool,
    list: BTreeMap<BackendId, BackendInfo>,
    records: BTreeMap<RequestId, RequestRecord>,
    next: RequestId,
}

impl ReferenceModel {
    fn new(parallel: bool) -> ReferenceModel {
        let scopes = [DedupScope::Zone, DedupScope::Cell];
        let mut classes = vec![
            class(RetrySafety::Idempotent, DedupScope::All),
            class(RetrySafety::NonIdempotent, DedupScope::All),
        ];
        classes.extend(scopes.map(|scope| class(RetrySafety::IdempotencyKey, scope)));
        let mut settings = Settings { classes: classes.clone(), ..settings() };
        settings.permissions.parallel = parallel;
        settings.tenants = vec![tenant(5.0); 2];
        let list: Vec<_> = (1..=9).map(|id| in_zone(id, (id % 3) as u16)).collect();
        let p = Proxy::new(settings, &list);
        let list = list.into_iter().map(|b| (b.id, b)).collect();
        ReferenceModel { p, classes, parallel, list, records: BTreeMap::new(), next: 1 }
    }

    /// Carries out the actions of the last event and checks each against the rules.
    #[allow(clippy::too_many_lines, reason = "one scenario with its checks in order")]
    fn check(&mut self) -> Result<(), TestCaseError> {
        for action in self.p.last.clone() {
            match action {
                Action::Send { request, backend, timeout_ms, write_by } => {
                    self.check_send(request, backend, timeout_ms)?;
                    self.check_write_limit(request, write_by)?;
                }
                Action::Reject { request, .. } => {
                    let record = self.records.get_mut(&request).expect("a known request");
                    prop_assert!(!record.answered, "a second final answer");
                    let retry_safety = self.classes[record.class].retry_safety;
                    prop_assert!(
                        retry_safety == RetrySafety::Idempotent || record.may_have_run.is_none(),
                        "a request that must not run twice was rejected although it may have run"
                    );
                    record.answered = true;
                }
                Action::Fail { request, .. } => {
                    let record = self.records.get_mut(&request).expect("a known request");
                    prop_assert!(!record.answered, "a second final answer");
                    record.answered = true;
                }
                _ => {}
            }
        }
        for record in self.records.values() {
            prop_assert!(
                record.answered || !record.out.is_empty(),
                "a request without an attempt in flight and without a final answer"
            );
        }
        Ok(())
    }

    /// Checks that a repetition of a keyed request has to be written so early that a pause of the process doesn't
    /// take it past the window, and that nothing else is limited.
    fn check_write_limit(&self, request: RequestId, write_by: Option<Millis>) -> Result<(), TestCaseError> {
        let record = &self.records[&request];
        let class = &self.classes[record.class];
        let first = record.may_have_run.filter(|_| class.retry_safety == RetrySafety::IdempotencyKey);
        let limit = first.map(|(_, at)| at + class.dedup_window_ms - MAX_PAUSE_MS);
        prop_assert_eq!(write_by, limit);
        prop_assert!(limit.is_none_or(|limit| self.p.now < limit), "sent after the time to write it");
        Ok(())
    }

    /// Checks one send against the rules and records it.
    fn check_send(
        &mut self,
        request: RequestId,
        backend: BackendId,
        timeout_ms: Millis,
    ) -> Result<(), TestCaseError> {
        let record = self.records.get_mut(&request).expect("a known request");
        prop_assert!(!record.answered, "sent after its final answer");
        prop_assert!(self.parallel || record.out.is_empty(), "two attempts in flight");
        prop_assert!(
            self.list[&backend].state == BackendState::Ready,
            "sent to backend {:?}, which is not ready",
            backend
        );
        prop_assert!(timeout_ms > 0.0 && self.p.now + timeout_ms <= record.deadline + 1e-6);
        prop_assert!(record.attempts < 5);
        let class = &self.classes[record.class];
        let may_have_run = record.may_have_run;
        let (a, b) = (may_have_run.map(|r| self.list[&r.0]), self.list[&backend]);
        match (class.retry_safety, may_have_run) {
            (RetrySafety::NonIdempotent, Some(_)) => {
                prop_assert!(false, "a non-idempotent request was retried after it may have run")
            }
            (RetrySafety::IdempotencyKey, Some((_, at))) => {
                prop_assert!(self.p.now - at < class.dedup_window_ms);
                let (a, b) = (a.map(|a| (a.zone, a.cell)), (b.zone, b.cell));
                prop_assert!(class.dedup_scope != DedupScope::Zone || a.map(|a| a.0) == Some(b.0));
                prop_assert!(class.dedup_scope != DedupScope::Cell || a.map(|a| a.1) == Some(b.1));
            }
            _ => {}
        }
        record.out.push((record.attempts, backend, self.p.now));
        record.attempts += 1;
        Ok(())
    }

    fn pending(&self, nth: usize) -> Option<(RequestId, u8)> {
        let all: Vec<_> = self.records.iter().flat_map(|(id, t)| t.out.iter().map(|o| (*id, o.0))).collect();
        (!all.is_empty()).then(|| all[nth % all.len()])
    }

    fn end(&mut self, request: RequestId, attempt: u8, outcome: Outcome) -> Result<(), TestCaseError> {
        let record = self.records.get_mut(&request).expect("a known request");
        let place = record.out.iter().position(|o| o.0 == attempt).expect("an attempt in flight");
        let (_, backend, sent_at) = record.out.remove(place);
        if !outcome.never_ran() && record.may_have_run.is_none() {
            record.may_have_run = Some((backend, sent_at));
        }
        let ended = outcome == Outcome::Ok || record.answered;
        record.answered |= ended;
        self.p.event(attempt_ended(request, attempt, backend, outcome, 10.0, ended));
        self.check()
    }

    fn step(&mut self, step: Step) -> Result<(), TestCaseError> {
        match step {
            Step::Request { class, tenant, timeout } => {
                let id = self.next;
                self.next += 1;
                let deadline = self.p.now + timeout;
                self.records
                    .insert(id, RequestRecord { class: class.into(), deadline, ..RequestRecord::default() });
                self.p.event(request(id, class, tenant, timeout));
                self.check()
            }
            Step::End { nth, outcome } => match self.pending(nth) {
                Some((request, attempt)) => self.end(request, attempt, outcome),
                None => Ok(()),
            },
            Step::Disconnect { nth } => {
                let Some((request, _)) = self.pending(nth) else { return Ok(()) };
                self.records.get_mut(&request).expect("a known request").answered = true;
                self.p.event(Event::ClientGone { request });
                self.check()
            }
            Step::Wait { ms } => {
                self.p.now += ms;
                // Attempts time out at their deadline, as in the proxy.
                let late = self.records.iter().filter(|(_, t)| t.deadline <= self.p.now);
                let late: Vec<_> =
                    late.flat_map(|(id, t)| t.out.iter().map(|o| (*id, o.0)).collect::<Vec<_>>()).collect();
                late.into_iter().try_for_each(|(id, attempt)| self.end(id, attempt, Outcome::Timeout))
            }
            Step::ChangeState { id, state, fresh } => {
                let started_at = if fresh { Some(self.p.now) } else { self.list[&id].started_at };
                let info = BackendInfo { state, started_at, ..self.list[&id] };
                self.list.insert(id, info);
                self.p.list(ListKind::Delta, &[info]);
                self.check()
            }
        }
    }
}

#[test]
fn the_rules_hold_over_random_sequences_of_legal_events() {
    let config = Config { cases: 300, failure_persistence: None, ..Config::default() };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[42; 32]);
    let mut runner = TestRunner::new_with_rng(config, rng);
    let steps = (any::<bool>(), prop::collection::vec(step(), 1..250));
    let result = runner.run(&steps, |(parallel, steps)| {
        let mut model = ReferenceModel::new(parallel);
        steps.into_iter().try_for_each(|step| model.step(step))
    });
    result.unwrap_or_else(|e| panic!("{e}"));
}

#[test]
fn equal_seeds_and_events_give_equal_actions() {
    let run = || {
        let mut p = proxy(RetrySafety::Idempotent, DedupScope::All, &backends(12));
        let mut out = Vec::new();
        for n in 0..300 {
            if let Some(sent) = p.send_request(0, 0, 4_000.0) {
                out.push(sent);
                p.now += 7.0;
                p.end(sent, if n % 9 == 0 { Outcome::Error } else { Outcome::Ok });
            }
        }
        out
    };
    assert_eq!(run(), run());
}

#[test]
fn non_idempotent_is_not_retried_after_its_backend_has_left_the_list() {
    for outcome in MAY_HAVE_RUN_OUTCOMES {
        let mut p = proxy(RetrySafety::NonIdempotent, DedupScope::All, &backends(8));
        let sent = p.send_request(0, 0, 4_000.0).expect("sent");
        let rest: Vec<_> = backends(8).into_iter().filter(|b| b.id != sent.backend).collect();
        p.list(ListKind::Full, &rest);
        p.now += 50.0;
        assert_eq!(p.end(sent, outcome), None);
        assert!(p.failed() && !p.rejected(), "{outcome:?}");
    }
}

#[test]
fn minimal_settings_work_at_any_tier() {
    // No tenants, one class, one zone, no reports, no probes, one backend, one instance, at any tier.
    for tier in 0..3 {
        let mut minimal = Settings { tier, ..settings() };
        minimal.objective_weights = objective_weights(0.0, 0.0, 0.0);
        minimal.classes[0].priority_weight = 0.0;
        let mut p = Proxy::new(minimal, &backends(1));
        for _ in 0..50 {
            let sent = p.send_request(0, 0, 4_000.0).expect("sent to the idle backend");
            p.now += 30.0;
            p.end(sent, Outcome::Ok);
        }
    }
}
