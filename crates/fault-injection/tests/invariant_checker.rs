//! The invariant checker on histories made by hand: each rule kept, and violated by the smallest possible
//! margin.

use hillstall_decision::BackendState;
use hillstall_fault_injection::history::{
    BackendAttempt, BackendResult, BackendStart, ClientAttempt, ClientLinkFault, ClientResult, HostStall,
    Notification, Observations, ProcessEvent, ProcessEventRecord,
};
use hillstall_fault_injection::host_load_monitor::run_queue_wait_ns;
use hillstall_fault_injection::invariant_checker::{
    check, late_starts_void, request_trace, GroundTruth, Rule, TrueBackend, Verdict,
};
use hillstall_simulation::model::slow_start::SlowStartModel;
use hillstall_simulation::scenarios;
use hillstall_simulation::sim::setup;

const BROWSE: usize = 0;
const PURCHASE: usize = 1;
const REFUND: usize = 2;

fn truth() -> GroundTruth {
    let drawn = setup::draw(&scenarios::find("drill-cut").expect("embedded"), 1);
    let slow_start = SlowStartModel {
        warm_capacity: 2.0,
        start_fraction: 0.33,
        warmup_ms: 4_000.0,
        overload_multiple: 3.0,
        window_ms: 2_000.0,
        tolerance: 100.0,
    };
    let server = |n: usize| TrueBackend { name: format!("s0-{n}"), tier: 0, slow_start };
    GroundTruth {
        settings: drawn.settings(0, 0, 2, 0),
        servers: (0..3).map(server).collect(),
        processes: vec!["front-0".into(), "front-1".into()],
        max_link_delay_ms: 0.0,
    }
}

fn client_attempt(id: &str, class: usize, ended_at: f64, result: ClientResult) -> ClientAttempt {
    ClientAttempt {
        id: id.into(),
        class,
        tenant: 0,
        key: None,
        process: 0,
        written_at: Some(1_000.0),
        timeout_ms: 600.0,
        ended_at,
        result,
        retry_after_ms: None,
    }
}

fn backend_attempt(id: &str, server: usize, at: f64, result: BackendResult) -> BackendAttempt {
    BackendAttempt {
        id: id.into(),
        server,
        process: 0,
        incarnation: 1,
        at,
        work: 50.0,
        ended_at: at + 50.0,
        result,
    }
}

fn violated_rules(observations: &Observations) -> Vec<Rule> {
    check(&truth(), observations).violations().iter().map(|violation| violation.rule).collect()
}

fn process_event(at: f64, event: ProcessEvent) -> ProcessEventRecord {
    ProcessEventRecord { process: 0, at, event }
}

#[test]
fn a_served_request_violates_no_rule() {
    let observations = Observations {
        client_attempts: vec![client_attempt("c1-0", BROWSE, 1_100.0, ClientResult::Served)],
        backend_attempts: vec![backend_attempt("c1-0", 0, 1_010.0, BackendResult::Served)],
        ..Observations::default()
    };
    assert!(matches!(check(&truth(), &observations), Verdict::Passed));
}

#[test]
fn a_missing_response_is_a_violation_unless_the_proxy_or_its_link_failed() {
    for result in [ClientResult::Broken, ClientResult::Unanswered, ClientResult::Invalid("two".into())] {
        let client_attempts = vec![client_attempt("c1-0", BROWSE, 1_700.0, result.clone())];
        let observations =
            Observations { client_attempts: client_attempts.clone(), ..Observations::default() };
        assert_eq!(violated_rules(&observations), [Rule::OneResponse], "{result:?}");
        if matches!(result, ClientResult::Invalid(_)) {
            continue;
        }
        for event in [ProcessEvent::Killed, ProcessEvent::Stopped] {
            let observations = Observations {
                client_attempts: client_attempts.clone(),
                process_events: vec![process_event(1_500.0, event)],
                ..Observations::default()
            };
            assert_eq!(violated_rules(&observations), [], "{event:?} excuses {result:?}");
        }
        let link_fault = ClientLinkFault { process: 0, from: 1_200.0, to: 1_300.0 };
        assert_eq!(
            violated_rules(&Observations {
                client_attempts: client_attempts.clone(),
                client_link_faults: vec![link_fault],
                ..Observations::default()
            }),
            []
        );
    }
    // Answered with 200, although no backend served it.
    let observations = Observations {
        client_attempts: vec![client_attempt("c1-0", BROWSE, 1_100.0, ClientResult::Served)],
        ..Observations::default()
    };
    assert_eq!(violated_rules(&observations), [Rule::OneResponse]);
}

#[test]
fn a_proxy_that_shuts_down_must_answer_all_accepted_requests() {
    for result in [ClientResult::Broken, ClientResult::Unanswered] {
        let client_attempts = vec![client_attempt("c1-0", BROWSE, 1_700.0, result)];
        let after_sigterm = |at, more: &[ProcessEventRecord]| Observations {
            client_attempts: client_attempts.clone(),
            process_events: [&[process_event(at, ProcessEvent::SigtermSent)], more].concat(),
            ..Observations::default()
        };
        for at in [900.0, 200.0] {
            assert_eq!(violated_rules(&after_sigterm(at, &[])), [Rule::OneResponse]);
            let ended = [process_event(1_500.0, ProcessEvent::Exited(Some(0)))];
            assert_eq!(violated_rules(&after_sigterm(at, &ended)), [Rule::OneResponse]);
        }
        // SIGKILL excuses requests written up to 0.7 s after the first SIGTERM and none written later, even
        // after a second SIGTERM.
        let killed = process_event(1_500.0, ProcessEvent::Killed);
        assert_eq!(violated_rules(&after_sigterm(301.0, &[killed])), []);
        assert_eq!(violated_rules(&after_sigterm(299.0, &[killed])), [Rule::OneResponse]);
        assert_eq!(
            violated_rules(&after_sigterm(299.0, &[process_event(900.0, ProcessEvent::SigtermSent), killed])),
            [Rule::OneResponse]
        );
    }
}

#[test]
fn a_forwarded_request_must_be_answered_although_its_client_counts_it_as_not_accepted() {
    let not_accepted = ClientAttempt {
        written_at: None,
        ..client_attempt("c1-0", BROWSE, 1_100.0, ClientResult::NotAccepted)
    };
    assert_eq!(
        violated_rules(&Observations {
            client_attempts: vec![not_accepted.clone()],
            ..Observations::default()
        }),
        []
    );
    let observations = Observations {
        client_attempts: vec![not_accepted],
        backend_attempts: vec![backend_attempt("c1-0", 0, 1_010.0, BackendResult::Served)],
        ..Observations::default()
    };
    assert_eq!(violated_rules(&observations), [Rule::OneResponse]);
}

#[test]
fn a_request_that_may_have_been_executed_is_retried_only_if_its_class_permits() {
    let twice = |class, after: f64, first: BackendResult| Observations {
        client_attempts: vec![client_attempt("c1-0", class, 9_000.0, ClientResult::Failed(502))],
        backend_attempts: vec![
            backend_attempt("c1-0", 0, 1_000.0, first),
            backend_attempt("c1-0", 1, 1_000.0 + after, BackendResult::Served),
        ],
        ..Observations::default()
    };
    assert_eq!(violated_rules(&twice(BROWSE, 5_000.0, BackendResult::Lost)), []);
    assert_eq!(violated_rules(&twice(PURCHASE, 2_540.0, BackendResult::Lost)), []);
    assert_eq!(violated_rules(&twice(PURCHASE, 2_560.0, BackendResult::Lost)), [Rule::UnsafeRetry]);
    assert_eq!(violated_rules(&twice(REFUND, 100.0, BackendResult::Cancelled)), [Rule::UnsafeRetry]);
    // A rejected attempt was not executed.
    assert_eq!(violated_rules(&twice(REFUND, 100.0, BackendResult::Rejected)), []);
    let rejected = Observations {
        client_attempts: vec![client_attempt("c1-0", REFUND, 1_100.0, ClientResult::Refused)],
        backend_attempts: vec![backend_attempt("c1-0", 0, 1_000.0, BackendResult::Error)],
        ..Observations::default()
    };
    assert_eq!(violated_rules(&rejected), [Rule::Rejection]);
}

#[test]
fn too_many_attempts_and_unsolicited_requests_are_violations() {
    let with_attempts = |count: usize| Observations {
        client_attempts: vec![client_attempt("c1-0", BROWSE, 1_500.0, ClientResult::Refused)],
        backend_attempts: (0..count)
            .map(|n| backend_attempt("c1-0", n % 3, 1_010.0 + n as f64, BackendResult::Rejected))
            .collect(),
        ..Observations::default()
    };
    assert_eq!(violated_rules(&with_attempts(6)), []);
    assert_eq!(violated_rules(&with_attempts(7)), [Rule::AttemptLimit]);
    let observations = Observations {
        backend_attempts: vec![backend_attempt("nobody", 0, 10.0, BackendResult::Served)],
        ..Observations::default()
    };
    assert_eq!(violated_rules(&observations), [Rule::UnsolicitedRequest]);
}

#[test]
fn the_drain_grace_starts_with_the_notification_of_each_proxy_incarnation() {
    let at = |at: f64, notifications: &[(f64, BackendState, u32)]| Observations {
        client_attempts: vec![client_attempt("c1-0", BROWSE, at + 100.0, ClientResult::Served)],
        backend_attempts: vec![backend_attempt("c1-0", 0, at, BackendResult::Served)],
        notifications: (notifications.iter())
            .map(|(at, status, incarnation)| Notification {
                process: 0,
                incarnation: *incarnation,
                server: 0,
                status: *status,
                at: *at,
            })
            .collect(),
        ..Observations::default()
    };
    let drains = [(1_000.0, BackendState::Draining, 1)];
    assert_eq!(violated_rules(&at(3_040.0, &drains)), []);
    assert_eq!(violated_rules(&at(3_060.0, &drains)), [Rule::Drain]);
    // Another notification that the backend is unavailable does not restart the grace; a ready one ends it.
    let again = [(1_000.0, BackendState::Draining, 1), (2_500.0, BackendState::Gone, 1)];
    assert_eq!(violated_rules(&at(3_060.0, &again)), [Rule::Drain]);
    let back = [(1_000.0, BackendState::Draining, 1), (2_500.0, BackendState::Ready, 1)];
    assert_eq!(violated_rules(&at(3_060.0, &back)), []);
    // An earlier incarnation of the proxy was notified, not this one.
    assert_eq!(violated_rules(&at(3_060.0, &[(1_000.0, BackendState::Draining, 0)])), []);
}

#[test]
fn a_backend_in_slow_start_takes_a_limited_amount_of_work() {
    let sent = |each: f64| Observations {
        client_attempts: (0..100)
            .map(|n| client_attempt(&format!("c{n}-0"), BROWSE, 4_000.0, ClientResult::Served))
            .collect(),
        backend_attempts: (0..100)
            .map(|n| BackendAttempt {
                work: each,
                ..backend_attempt(&format!("c{n}-0"), 0, 1_000.0 + 10.0 * f64::from(n), BackendResult::Served)
            })
            .collect(),
        backend_starts: vec![BackendStart { server: 0, at: 1_000.0 }],
        ..Observations::default()
    };
    // In its first two seconds the backend does 2 * (660 + 335) core milliseconds of work. It takes three
    // times that, and 100 more.
    let max_work = 3.0 * 2.0 * (0.33 * 2_000.0 + 0.67 * 2_000.0 * 2_000.0 / 8_000.0) + 100.0;
    assert_eq!(violated_rules(&sent(0.99 * max_work / 100.0)), []);
    assert_eq!(violated_rules(&sent(1.01 * max_work / 100.0)), [Rule::SlowStart]);
}

#[test]
fn an_exit_without_a_signal_is_a_crash_and_late_client_requests_void_the_run() {
    let ends = |before: &[ProcessEvent]| Observations {
        process_events: before
            .iter()
            .chain([&ProcessEvent::Exited(None)])
            .map(|event| process_event(500.0, *event))
            .collect(),
        ..Observations::default()
    };
    assert_eq!(violated_rules(&ends(&[ProcessEvent::Started, ProcessEvent::Ready])), [Rule::Crash]);
    assert_eq!(violated_rules(&ends(&[ProcessEvent::Started, ProcessEvent::SigtermSent])), []);
    assert_eq!(
        violated_rules(&ends(&[ProcessEvent::Killed, ProcessEvent::Started])),
        [Rule::Crash],
        "the signal went to an earlier process"
    );
    let mut observations = ends(&[ProcessEvent::Started]);
    observations.start_delays_ms = vec![1.0; 100];
    observations.start_delays_ms.extend([90.0, 90.0]);
    assert!(check(&truth(), &observations).is_void(), "two of a hundred client requests were late");
    assert_eq!(late_starts_void(&[1.0, 2.0]), None);
}

#[test]
fn a_stall_of_the_host_excuses_a_late_response_and_a_long_stall_voids_the_run() {
    let with_stall = |process, from, to| Observations {
        client_attempts: vec![client_attempt("c1-0", BROWSE, 1_700.0, ClientResult::Unanswered)],
        stalls: vec![HostStall { process, from, to }],
        ..Observations::default()
    };
    assert_eq!(violated_rules(&with_stall(Some(0), 1_100.0, 1_200.0)), []);
    assert_eq!(violated_rules(&with_stall(None, 1_100.0, 1_200.0)), []);
    assert_eq!(
        violated_rules(&with_stall(Some(1), 1_100.0, 1_200.0)),
        [Rule::OneResponse],
        "another process stalled"
    );
    assert_eq!(
        violated_rules(&with_stall(Some(0), 700.0, 900.0)),
        [Rule::OneResponse],
        "the stall ended before the request"
    );
    assert!(check(&truth(), &with_stall(Some(1), 100.0, 400.0)).is_void());
    assert_eq!(run_queue_wait_ns("143099519 30604902 305\n"), Some(30_604_902));
    assert_eq!(run_queue_wait_ns(""), None);
}

#[test]
fn a_request_trace_joins_both_tiers_in_order_of_time() {
    let mut downstream = client_attempt("c1-0.7-0", BROWSE, 1_080.0, ClientResult::Served);
    (downstream.written_at, downstream.process) = (Some(1_030.0), 1);
    let observations = Observations {
        client_attempts: vec![
            client_attempt("c1-0", BROWSE, 1_100.0, ClientResult::Served),
            downstream,
            client_attempt("c10-0", BROWSE, 2.0, ClientResult::Abandoned),
        ],
        backend_attempts: vec![
            BackendAttempt { process: 1, ..backend_attempt("c1-0.7-0", 2, 1_040.0, BackendResult::Served) },
            backend_attempt("c1-0", 0, 1_010.0, BackendResult::Served),
        ],
        ..Observations::default()
    };
    let trace = request_trace(&truth(), &observations, "c1-0.7-0");
    let positions: Vec<usize> = [
        "c1-0 sent to front-0",
        "c1-0 front-0 -> s0-0",
        "c1-0.7-0 sent to front-1",
        "c1-0.7-0 front-1 -> s0-2",
    ]
    .map(|line| trace.find(line).unwrap_or_else(|| panic!("{line} is not in {trace}")))
    .into();
    assert!(positions.is_sorted(), "{trace}");
    assert!(!trace.contains("c10"), "the trace has another request: {trace}");
}
