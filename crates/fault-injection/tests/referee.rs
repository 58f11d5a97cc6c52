//! The referee on histories that are made by hand: each rule kept, and broken by as little as can be.

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
    let figures = setup::draw(&scenarios::find("drill-cut").expect("embedded"), 1);
    let slow_start = SlowStartModel {
        able: 2.0,
        from: 0.33,
        warm_after: 4_000.0,
        multiple: 3.0,
        over: 2_000.0,
        slack: 100.0,
    };
    let server = |n: usize| TrueBackend { name: format!("s0-{n}"), tier: 0, slow_start };
    GroundTruth {
        settings: figures.settings(0, 0, 2, 0),
        servers: (0..3).map(server).collect(),
        processes: vec!["front-0".into(), "front-1".into()],
        max_link_delay_ms: 0.0,
    }
}

fn a_try(id: &str, class: usize, ended_at: f64, result: ClientResult) -> ClientAttempt {
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

fn hop(id: &str, server: usize, at: f64, result: BackendResult) -> BackendAttempt {
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

fn broken(seen: &Observations) -> Vec<Rule> {
    check(&truth(), seen).violations().iter().map(|b| b.rule).collect()
}

fn life(at: f64, what: ProcessEvent) -> ProcessEventRecord {
    ProcessEventRecord { process: 0, at, event: what }
}

#[test]
fn a_call_that_was_served_keeps_all_rules() {
    let seen = Observations {
        client_attempts: vec![a_try("c1-0", BROWSE, 1_100.0, ClientResult::Served)],
        backend_attempts: vec![hop("c1-0", 0, 1_010.0, BackendResult::Served)],
        ..Observations::default()
    };
    assert!(matches!(check(&truth(), &seen), Verdict::Passed));
}

#[test]
fn an_answer_is_owed_unless_the_proxy_or_its_link_was_gone() {
    for ended in [ClientResult::Broken, ClientResult::Unanswered, ClientResult::Invalid("two".into())] {
        let tries = vec![a_try("c1-0", BROWSE, 1_700.0, ended.clone())];
        let seen = Observations { client_attempts: tries.clone(), ..Observations::default() };
        assert_eq!(broken(&seen), [Rule::OneResponse], "{ended:?}");
        if matches!(ended, ClientResult::Invalid(_)) {
            continue;
        }
        for what in [ProcessEvent::Killed, ProcessEvent::Stopped] {
            let seen = Observations {
                client_attempts: tries.clone(),
                process_events: vec![life(1_500.0, what)],
                ..Observations::default()
            };
            assert_eq!(broken(&seen), [], "{what:?} excuses {ended:?}");
        }
        let cut = ClientLinkFault { process: 0, from: 1_200.0, to: 1_300.0 };
        assert_eq!(
            broken(&Observations {
                client_attempts: tries.clone(),
                client_link_faults: vec![cut],
                ..Observations::default()
            }),
            []
        );
    }
    // Served with something that no server made.
    let seen = Observations {
        client_attempts: vec![a_try("c1-0", BROWSE, 1_100.0, ClientResult::Served)],
        ..Observations::default()
    };
    assert_eq!(broken(&seen), [Rule::OneResponse]);
}

#[test]
fn a_proxy_that_ends_in_order_owes_all_that_it_has_taken() {
    for ended in [ClientResult::Broken, ClientResult::Unanswered] {
        let tries = vec![a_try("c1-0", BROWSE, 1_700.0, ended)];
        let asked = |at, more: &[ProcessEventRecord]| Observations {
            client_attempts: tries.clone(),
            process_events: [&[life(at, ProcessEvent::SigtermSent)], more].concat(),
            ..Observations::default()
        };
        for at in [900.0, 200.0] {
            assert_eq!(broken(&asked(at, &[])), [Rule::OneResponse]);
            let ended = [life(1_500.0, ProcessEvent::Exited(Some(0)))];
            assert_eq!(broken(&asked(at, &ended)), [Rule::OneResponse]);
        }
        // The kill at the end excuses what came up to 0.7 s after SIGTERM, and nothing later, however often
        // that came.
        let killed = life(1_500.0, ProcessEvent::Killed);
        assert_eq!(broken(&asked(301.0, &[killed])), []);
        assert_eq!(broken(&asked(299.0, &[killed])), [Rule::OneResponse]);
        assert_eq!(
            broken(&asked(299.0, &[life(900.0, ProcessEvent::SigtermSent), killed])),
            [Rule::OneResponse]
        );
    }
}

#[test]
fn what_was_forwarded_is_owed_though_its_client_takes_it_for_unread() {
    let unread =
        ClientAttempt { written_at: None, ..a_try("c1-0", BROWSE, 1_100.0, ClientResult::NotAccepted) };
    assert_eq!(
        broken(&Observations { client_attempts: vec![unread.clone()], ..Observations::default() }),
        []
    );
    let seen = Observations {
        client_attempts: vec![unread],
        backend_attempts: vec![hop("c1-0", 0, 1_010.0, BackendResult::Served)],
        ..Observations::default()
    };
    assert_eq!(broken(&seen), [Rule::OneResponse]);
}

#[test]
fn what_may_have_run_is_repeated_only_where_its_class_permits() {
    let twice = |class, after: f64, first: BackendResult| Observations {
        client_attempts: vec![a_try("c1-0", class, 9_000.0, ClientResult::Failed(502))],
        backend_attempts: vec![
            hop("c1-0", 0, 1_000.0, first),
            hop("c1-0", 1, 1_000.0 + after, BackendResult::Served),
        ],
        ..Observations::default()
    };
    assert_eq!(broken(&twice(BROWSE, 5_000.0, BackendResult::Lost)), []);
    assert_eq!(broken(&twice(PURCHASE, 2_540.0, BackendResult::Lost)), []);
    assert_eq!(broken(&twice(PURCHASE, 2_560.0, BackendResult::Lost)), [Rule::UnsafeRetry]);
    assert_eq!(broken(&twice(REFUND, 100.0, BackendResult::Cancelled)), [Rule::UnsafeRetry]);
    // Turned away unseen, it never ran.
    assert_eq!(broken(&twice(REFUND, 100.0, BackendResult::Rejected)), []);
    let refused = Observations {
        client_attempts: vec![a_try("c1-0", REFUND, 1_100.0, ClientResult::Refused)],
        backend_attempts: vec![hop("c1-0", 0, 1_000.0, BackendResult::Error)],
        ..Observations::default()
    };
    assert_eq!(broken(&refused), [Rule::Rejection]);
}

#[test]
fn attempts_are_bounded_and_nothing_comes_unasked() {
    let many = |count: usize| Observations {
        client_attempts: vec![a_try("c1-0", BROWSE, 1_500.0, ClientResult::Refused)],
        backend_attempts: (0..count)
            .map(|n| hop("c1-0", n % 3, 1_010.0 + n as f64, BackendResult::Rejected))
            .collect(),
        ..Observations::default()
    };
    assert_eq!(broken(&many(6)), []);
    assert_eq!(broken(&many(7)), [Rule::AttemptLimit]);
    let seen = Observations {
        backend_attempts: vec![hop("nobody", 0, 10.0, BackendResult::Served)],
        ..Observations::default()
    };
    assert_eq!(broken(&seen), [Rule::UnsolicitedRequest]);
}

#[test]
fn a_drain_binds_from_its_telling_and_each_proxy_by_itself() {
    let at = |at: f64, told: &[(f64, BackendState, u32)]| Observations {
        client_attempts: vec![a_try("c1-0", BROWSE, at + 100.0, ClientResult::Served)],
        backend_attempts: vec![hop("c1-0", 0, at, BackendResult::Served)],
        notifications: (told.iter())
            .map(|(at, status, life)| Notification {
                process: 0,
                incarnation: *life,
                server: 0,
                status: *status,
                at: *at,
            })
            .collect(),
        ..Observations::default()
    };
    let drains = [(1_000.0, BackendState::Draining, 1)];
    assert_eq!(broken(&at(3_040.0, &drains)), []);
    assert_eq!(broken(&at(3_060.0, &drains)), [Rule::Drain]);
    // What is said again begins nothing anew; what is ready again is.
    let again = [(1_000.0, BackendState::Draining, 1), (2_500.0, BackendState::Gone, 1)];
    assert_eq!(broken(&at(3_060.0, &again)), [Rule::Drain]);
    let back = [(1_000.0, BackendState::Draining, 1), (2_500.0, BackendState::Ready, 1)];
    assert_eq!(broken(&at(3_060.0, &back)), []);
    // An earlier life of the proxy was told, not this one.
    assert_eq!(broken(&at(3_060.0, &[(1_000.0, BackendState::Draining, 0)])), []);
}

#[test]
fn a_cold_server_bears_a_stretch_of_work_and_no_more() {
    let sent = |each: f64| Observations {
        client_attempts: (0..100)
            .map(|n| a_try(&format!("c{n}-0"), BROWSE, 4_000.0, ClientResult::Served))
            .collect(),
        backend_attempts: (0..100)
            .map(|n| BackendAttempt {
                work: each,
                ..hop(&format!("c{n}-0"), 0, 1_000.0 + 10.0 * f64::from(n), BackendResult::Served)
            })
            .collect(),
        backend_starts: vec![BackendStart { server: 0, at: 1_000.0 }],
        ..Observations::default()
    };
    // Over its first two seconds it does 2 * (660 + 335) core milliseconds, bears three times that, and 100
    // more.
    let bears = 3.0 * 2.0 * (0.33 * 2_000.0 + 0.67 * 2_000.0 * 2_000.0 / 8_000.0) + 100.0;
    assert_eq!(broken(&sent(0.99 * bears / 100.0)), []);
    assert_eq!(broken(&sent(1.01 * bears / 100.0)), [Rule::SlowStart]);
}

#[test]
fn a_process_that_ends_untold_has_crashed_and_a_late_rig_says_nothing() {
    let ends = |before: &[ProcessEvent]| Observations {
        process_events: before
            .iter()
            .chain([&ProcessEvent::Exited(None)])
            .map(|what| life(500.0, *what))
            .collect(),
        ..Observations::default()
    };
    assert_eq!(broken(&ends(&[ProcessEvent::Started, ProcessEvent::Ready])), [Rule::Crash]);
    assert_eq!(broken(&ends(&[ProcessEvent::Started, ProcessEvent::SigtermSent])), []);
    assert_eq!(
        broken(&ends(&[ProcessEvent::Killed, ProcessEvent::Started])),
        [Rule::Crash],
        "what was told to an earlier one"
    );
    let mut seen = ends(&[ProcessEvent::Started]);
    seen.start_delays_ms = vec![1.0; 100];
    seen.start_delays_ms.extend([90.0, 90.0]);
    assert!(check(&truth(), &seen).is_void(), "two of a hundred calls were late");
    assert_eq!(late_starts_void(&[1.0, 2.0]), None);
}

#[test]
fn a_proxy_that_got_no_processor_time_is_not_blamed_for_a_late_answer_and_a_long_standstill_says_nothing() {
    let missing = |process, from, to| Observations {
        client_attempts: vec![a_try("c1-0", BROWSE, 1_700.0, ClientResult::Unanswered)],
        stalls: vec![HostStall { process, from, to }],
        ..Observations::default()
    };
    assert_eq!(broken(&missing(Some(0), 1_100.0, 1_200.0)), []);
    assert_eq!(broken(&missing(None, 1_100.0, 1_200.0)), []);
    assert_eq!(broken(&missing(Some(1), 1_100.0, 1_200.0)), [Rule::OneResponse], "another process stood");
    assert_eq!(broken(&missing(Some(0), 700.0, 900.0)), [Rule::OneResponse], "it was over before");
    assert!(check(&truth(), &missing(Some(1), 100.0, 400.0)).is_void());
    assert_eq!(run_queue_wait_ns("143099519 30604902 305\n"), Some(30_604_902));
    assert_eq!(run_queue_wait_ns(""), None);
}

#[test]
fn a_story_joins_both_tiers_in_order_of_time() {
    let mut below = a_try("c1-0.7-0", BROWSE, 1_080.0, ClientResult::Served);
    (below.written_at, below.process) = (Some(1_030.0), 1);
    let seen = Observations {
        client_attempts: vec![
            a_try("c1-0", BROWSE, 1_100.0, ClientResult::Served),
            below,
            a_try("c10-0", BROWSE, 2.0, ClientResult::Abandoned),
        ],
        backend_attempts: vec![
            BackendAttempt { process: 1, ..hop("c1-0.7-0", 2, 1_040.0, BackendResult::Served) },
            hop("c1-0", 0, 1_010.0, BackendResult::Served),
        ],
        ..Observations::default()
    };
    let told = request_trace(&truth(), &seen, "c1-0.7-0");
    let places: Vec<usize> = [
        "c1-0 sent to front-0",
        "c1-0 front-0 -> s0-0",
        "c1-0.7-0 sent to front-1",
        "c1-0.7-0 front-1 -> s0-2",
    ]
    .map(|line| told.find(line).unwrap_or_else(|| panic!("{line} in {told}")))
    .into();
    assert!(places.is_sorted(), "{told}");
    assert!(!told.contains("c10"), "another call is no part of it: {told}");
}
