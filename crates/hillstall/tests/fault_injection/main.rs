//! Fault injection into fleets of real processes. Each test checks that its fault took effect and that all
//! invariants hold, and then runs the scenario again with the tested mechanism off or an invariant violated
//! on purpose, which must be noticed.

mod harness;
mod soak;

use harness::{
    run_embedded, run_with_options, run_with_script, run_with_settings_fault, sample_transfers,
    service_percent, wait_until_s, TransferSamples, ValidRun,
};
use hillstall_decision::{BackendState, RetrySafety, Settings};
use hillstall_fault_injection::fleet::{LinkEnds, SettingsFault};
use hillstall_fault_injection::history::{BackendResult, ClientResult, ProcessEvent, ProcessEventRecord};
use hillstall_fault_injection::invariant_checker::{self, Rule};
use hillstall_fault_injection::Options;
use hillstall_simulation::stability::ServiceCourse;
use std::rc::Rc;

/// Prints a figure of both runs of a test, visible with `--nocapture` and in failures.
fn print_comparison(figure: &str, with_mechanism: f64, without: f64) {
    println!("{figure}: {with_mechanism:.2}; {without:.2} with the mechanism off");
}

/// A settings fault that gives another retry safety to the classes that are not idempotent.
fn declare_non_idempotent_as(retry_safety: RetrySafety) -> impl Fn(&mut Settings) {
    move |settings| {
        for class in
            settings.classes.iter_mut().filter(|class| class.retry_safety == RetrySafety::NonIdempotent)
        {
            class.retry_safety = retry_safety;
        }
    }
}

/// A settings fault that turns load shedding off: proxies believe that they are not at the entry, and that a
/// latency of a minute meets the objective.
fn disable_load_shedding(settings: &mut Settings) {
    settings.tier = 1;
    settings.classes.iter_mut().for_each(|class| class.latency_objective_ms = 60_000.0);
}

#[test]
fn non_idempotent_requests_are_not_retried_when_responses_are_lost() {
    let samples = TransferSamples::default();
    let shared = samples.clone();
    let normal = run_with_script("drill-one-way", 1, move |fleet| {
        sample_transfers(fleet, shared.clone(), [2.9, 3.1, 4.9], |ends| {
            matches!(ends, LinkEnds::ProxyToBackend { process: 0 | 1, .. })
        })
    });
    normal.assert_invariants_hold();
    let samples = samples.borrow();
    assert!(samples[2].to_target > samples[1].to_target, "requests no longer reach the servers: {samples:?}");
    assert_eq!(samples[2].to_client, samples[1].to_client, "responses still come back");
    let violating =
        run_with_settings_fault("drill-one-way", 1, declare_non_idempotent_as(RetrySafety::IdempotencyKey));
    violating.assert_violates(Rule::UnsafeRetry);
}

#[test]
fn restarted_servers_are_not_overloaded_by_all_proxies_together() {
    let normal = run_embedded("drill-cold", 1);
    normal.assert_invariants_hold();
    assert_eq!(normal.0.observations.backend_starts.len(), 3, "three servers were restarted");
    let attempts_after = |from: f64| {
        let was_restarted =
            |server: usize| normal.0.observations.backend_starts.iter().any(|start| start.server == server);
        normal
            .0
            .observations
            .backend_attempts
            .iter()
            .filter(|attempt| was_restarted(attempt.server) && attempt.at > from)
            .count()
    };
    assert!(attempts_after(4_500.0) > 20, "the restarted servers get too few requests");
    // The endpoint list gives each restarted server thirty times the weight of the others. Proxies without
    // slow start and load shedding follow it.
    let settings_fault: SettingsFault = Rc::new(|settings| {
        (settings.rules.warmup_ms, settings.fleet_size, settings.rank) = (0.0, 1, 0);
        disable_load_shedding(settings);
    });
    let violating = run_with_options("drill-cold", 1, || Options {
        settings_fault: Some(settings_fault.clone()),
        script: Some(Box::new(|fleet| Box::pin(async move { fleet.restarted_weight.set(30.0) }))),
        ..Options::default()
    });
    let overshoot = |run: &ValidRun| invariant_checker::overshoot(&run.0.truth, &run.0.observations);
    print_comparison(
        "largest load on a server in slow start, as a multiple of the load it tolerates",
        overshoot(&normal),
        overshoot(&violating),
    );
    violating.assert_violates(Rule::SlowStart);
}

#[test]
fn a_draining_server_gets_no_new_requests_after_the_grace_period() {
    let normal = run_embedded("drill-release", 1);
    normal.assert_invariants_hold();
    let drains = normal
        .0
        .observations
        .notifications
        .iter()
        .filter(|notification| notification.status == BackendState::Draining)
        .count();
    assert!(drains >= 2 * 4, "not all entry proxies got all draining states: {drains}");
    let violating =
        run_with_settings_fault("drill-release", 1, |settings| settings.rules.drain_grace_ms = 60_000.0);
    violating.assert_violates(Rule::Drain);
}

#[test]
fn service_recovers_after_five_of_seven_entry_proxies_are_killed_at_once() {
    let normal = run_embedded("drill-kill", 1);
    normal.assert_invariants_hold();
    let killed = normal
        .0
        .observations
        .process_events
        .iter()
        .filter(|record| record.event == ProcessEvent::Killed)
        .count();
    assert_eq!(killed, 5, "five of seven entry proxies are killed");
    let broken_attempts = normal
        .0
        .observations
        .client_attempts
        .iter()
        .filter(|attempt| attempt.result == ClientResult::Broken)
        .count();
    assert!(broken_attempts > 0, "no client connection broke");
    // In the last three seconds all proxies run again, without what they had learned before.
    let final_service = |run: &ValidRun| {
        let last = &run.0.summary.seconds[6..];
        let sum = |of: fn(&hillstall_simulation::sim::Second) -> f64| last.iter().map(of).sum::<f64>();
        100.0 * sum(|second| second.served_weight) / sum(|second| second.offered_weight)
    };
    assert!(final_service(&normal) > 85.0, "service is {:.1} after the restarts", final_service(&normal));
    // A process that ends without a request to do so counts as crashed.
    let violating = run_with_script("drill-kill", 1, |fleet| async move {
        wait_until_s(&fleet.history, 2.0).await;
        fleet.kill_unrecorded(6).expect("the supervisor accepts the command");
    });
    violating.assert_violates(Rule::Crash);
}

#[test]
fn graceful_restarts_of_an_overloaded_tier_lose_no_request() {
    let normal = run_embedded("drill-roll", 1);
    normal.assert_invariants_hold();
    let ended = normal
        .0
        .observations
        .process_events
        .iter()
        .filter(|record| matches!(record.event, ProcessEvent::Exited(Some(0))))
        .count();
    assert_eq!(ended, 5, "all five entry proxies shut down gracefully");
    assert!(
        normal.0.summary.rejected > 0.02,
        "the tier is not overloaded: {:.3} rejected",
        normal.0.summary.rejected
    );
    // A process that is killed instead of shut down gracefully loses the requests that it had accepted.
    let violating = run_with_script("drill-roll", 1, |fleet| async move {
        wait_until_s(&fleet.history, 1.5).await;
        let at = fleet.history.now();
        fleet.history.record(|observations| {
            observations.process_events.push(ProcessEventRecord {
                process: 4,
                at,
                event: ProcessEvent::SigtermSent,
            })
        });
        fleet.kill_unrecorded(4).expect("the supervisor accepts the command");
    });
    violating.assert_violates(Rule::OneResponse);
}

#[test]
fn suspended_proxies_resume_with_the_current_endpoint_list() {
    let normal = run_embedded("drill-stop", 1);
    normal.assert_invariants_hold();
    let count = |event: ProcessEvent| {
        normal.0.observations.process_events.iter().filter(|record| record.event == event).count()
    };
    assert_eq!((count(ProcessEvent::Stopped), count(ProcessEvent::Continued)), (2, 2));
    let attempts_by_suspended = |from: f64, to: f64| {
        normal
            .0
            .observations
            .backend_attempts
            .iter()
            .filter(|attempt| attempt.process < 2 && attempt.at > from && attempt.at < to)
            .count()
    };
    assert!(
        attempts_by_suspended(0.0, 2_400.0) > 0 && attempts_by_suspended(6_000.0, 11_000.0) > 0,
        "they send before and after the suspension"
    );
    assert_eq!(attempts_by_suspended(2_700.0, 5_400.0), 0, "they send nothing while suspended");
    let violating =
        run_with_settings_fault("drill-stop", 1, |settings| settings.rules.drain_grace_ms = 60_000.0);
    violating.assert_violates(Rule::Drain);
}

#[test]
fn invariants_hold_while_discovery_is_down_and_processes_die() {
    let normal = run_embedded("drill-list", 1);
    normal.assert_invariants_hold();
    let notifications = |from: f64, to: f64| {
        normal
            .0
            .observations
            .notifications
            .iter()
            .filter(|notification| notification.at > from && notification.at < to)
            .count()
    };
    assert_eq!(notifications(1_600.0, 6_400.0), 0, "discovery sends nothing while it is down");
    assert!(notifications(6_400.0, 11_000.0) > 0, "discovery is not used after it is back");
    let lost = normal
        .0
        .observations
        .backend_attempts
        .iter()
        .filter(|attempt| attempt.result == BackendResult::Lost)
        .count();
    assert!(lost > 0, "no attempt was lost with its server");
    let violating =
        run_with_settings_fault("drill-list", 1, declare_non_idempotent_as(RetrySafety::Idempotent));
    violating.assert_violates(Rule::UnsafeRetry);
}

#[test]
fn a_tenant_over_its_quota_does_not_take_capacity_from_others() {
    let normal = run_embedded("drill-flood", 1);
    normal.assert_invariants_hold();
    // Without quotas the tenant that sends most gets most.
    let without = run_with_settings_fault("drill-flood", 1, |settings| {
        settings.tenants.iter_mut().for_each(|tenant| tenant.quota_per_s = 1e9);
    });
    // Percentage of requests served of the two tenants that keep within their quotas.
    let others = |run: &ValidRun| {
        let attempts = || {
            run.0
                .observations
                .client_attempts
                .iter()
                .filter(|attempt| attempt.tenant > 0 && !attempt.id.contains('.'))
        };
        let requests: std::collections::BTreeSet<_> =
            attempts().map(|attempt| attempt.id.split('-').next()).collect();
        100.0 * attempts().filter(|attempt| attempt.result == ClientResult::Served).count() as f64
            / requests.len() as f64
    };
    print_comparison("% served of the requests of the other tenants", others(&normal), others(&without));
    assert!(others(&normal) > others(&without) + 5.0, "quotas have no effect");
}

#[test]
fn a_load_burst_does_not_overload_servers() {
    let normal = run_embedded("drill-burst", 1);
    normal.assert_invariants_hold();
    let without = run_with_settings_fault("drill-burst", 1, disable_load_shedding);
    print_comparison("service", service_percent(&normal), service_percent(&without));
    assert_eq!(normal.0.summary.chokes, 0, "a server was overloaded");
    assert!(service_percent(&without) < service_percent(&normal) - 10.0, "load shedding has no effect");
}

#[test]
fn requests_have_at_most_six_attempts_while_servers_reject_them() {
    let normal = run_embedded("drill-full", 1);
    normal.assert_invariants_hold();
    let rejected = normal
        .0
        .observations
        .backend_attempts
        .iter()
        .filter(|attempt| attempt.result == BackendResult::Rejected)
        .count();
    assert!(rejected > 10, "servers rejected only {rejected} attempts");
    let violating =
        run_with_settings_fault("drill-full", 1, |settings| settings.permissions.max_attempts = 30);
    violating.assert_violates(Rule::AttemptLimit);
}

#[test]
fn remaining_servers_are_not_overloaded_while_half_are_lost() {
    let normal = run_embedded("drill-half", 1);
    normal.assert_invariants_hold();
    let course = |run: &ValidRun| ServiceCourse::of(&run.0.summary.seconds, 4.0, 8.0);
    // Of a load of 85% of the capacity, the remaining half of the servers can serve 50 / 85.
    let served_of_possible = |course: ServiceCourse| course.during_loss / (0.5 / 0.85);
    let killed = normal
        .0
        .observations
        .process_events
        .iter()
        .filter(|record| record.event == ProcessEvent::Killed)
        .count();
    assert_eq!(killed, 3, "the proxies on the machines of three lost servers are killed too");
    let without = run_with_settings_fault("drill-half", 1, disable_load_shedding);
    print_comparison(
        "% served of the remaining capacity",
        100.0 * served_of_possible(course(&normal)),
        100.0 * served_of_possible(course(&without)),
    );
    assert_eq!(normal.0.summary.chokes, 0, "a remaining server was overloaded");
    assert!(served_of_possible(course(&normal)) >= 0.75, "{:?}", course(&normal));
    assert!(course(&normal).recovery_seconds.is_some_and(|after| after <= 8.0), "{:?}", course(&normal));
    assert!(
        served_of_possible(course(&without)) < served_of_possible(course(&normal)) - 0.2,
        "load shedding has no effect: {:?}",
        course(&without)
    );
}

#[test]
fn processes_end_with_their_supervisor() {
    use hillstall_fault_injection::process_supervisor::{ProcessSupervisor, StartProcess, SupervisorEvent};
    let (sender, events) = std::sync::mpsc::channel();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_hillstall"));
    let folder = tempfile::tempdir().expect("a folder");
    let mut supervisor = ProcessSupervisor::start(program, &["lab", "keeper"], move |event| {
        let _ = sender.send(event);
    })
    .expect("the process starts");
    let start = |number: usize, program: &str| StartProcess {
        number,
        program: program.into(),
        arguments: vec!["600".into()],
        environment: Vec::new(),
        log: folder.path().join("log"),
    };
    supervisor.run(start(0, "/bin/sleep")).expect("the supervisor accepts the command");
    supervisor.run(start(1, "/nowhere/at/all")).expect("the supervisor accepts the command");
    let timeout = harness::EVENT_TIMEOUT;
    let Ok(SupervisorEvent::Started { number: 0, pid }) = events.recv_timeout(timeout) else {
        panic!("the program is not reported as started")
    };
    assert!(
        matches!(events.recv_timeout(timeout), Ok(SupervisorEvent::Failed { number: 1, .. })),
        "a program that can't be started is reported"
    );
    let is_running = || std::path::Path::new(&format!("/proc/{pid}")).exists();
    assert!(is_running());
    // Dropping closes the supervisor's standard input, as happens when its parent is killed. It ends after
    // its processes.
    drop(supervisor);
    assert!(!is_running(), "process {pid} still runs");
}
