//! Whole fleets of real processes with faults between them. Each drill is seen to bite, is judged by the referee, and is
//! played once more with its mechanism off or a rule broken on purpose: then it must fail.

mod harness;
mod soak;

use harness::{drill, drill_with, lied, look, scripted, service, wait, Looks};
use hillstall_decision::{BackendState, RetrySafety, Settings};
use hillstall_fault_injection::fleet::{LinkEnds, SettingsFault};
use hillstall_fault_injection::history::{BackendResult, ClientResult, ProcessEvent, ProcessEventRecord};
use hillstall_fault_injection::invariant_checker::{self, Rule};
use hillstall_fault_injection::Options;
use hillstall_simulation::stability::ServiceCourse;
use std::rc::Rc;

/// Says what was measured: seen with `--nocapture`, and in a failure.
fn say(what: &str, kept: f64, off: f64) {
    println!("{what}: {kept:.2}; {off:.2} with the mechanism off");
}

/// A class that must never run twice, told as one of another effect.
fn once_told_as(effect: RetrySafety) -> impl Fn(&mut Settings) {
    move |told| {
        for class in told.classes.iter_mut().filter(|c| c.retry_safety == RetrySafety::NonIdempotent) {
            class.retry_safety = effect;
        }
    }
}

/// Told that a minute is in time and that it stands below the top, no front turns a call away for the others' sake.
fn without_gates(told: &mut Settings) {
    told.tier = 1;
    told.classes.iter_mut().for_each(|class| class.latency_objective_ms = 60_000.0);
}

#[test]
fn what_may_have_run_is_not_repeated_when_answers_are_lost() {
    let looks = Looks::default();
    let seen = looks.clone();
    let kept = scripted("drill-one-way", 1, move |fleet| {
        look(fleet, seen.clone(), [2.9, 3.1, 4.9], |ends| {
            matches!(ends, LinkEnds::ProxyToBackend { process: 0 | 1, .. })
        })
    });
    kept.keeps_the_rules();
    let looks = looks.borrow();
    assert!(looks[2].to_target > looks[1].to_target, "calls still reach the boxes: {looks:?}");
    assert_eq!(looks[2].to_client, looks[1].to_client, "answers don't come back");
    let broken = lied("drill-one-way", 1, once_told_as(RetrySafety::IdempotencyKey));
    broken.breaks(Rule::UnsafeRetry);
}

#[test]
fn boxes_that_come_back_cold_are_not_pushed_over_by_the_sum_of_all_fronts() {
    let kept = drill("drill-cold", 1);
    kept.keeps_the_rules();
    assert_eq!(kept.0.observations.backend_starts.len(), 3, "three boxes came back cold");
    let calls = |from: f64| {
        let cold = |server: usize| kept.0.observations.backend_starts.iter().any(|s| s.server == server);
        kept.0.observations.backend_attempts.iter().filter(|h| cold(h.server) && h.at > from).count()
    };
    assert!(calls(4_500.0) > 20, "they are called again");
    // A list that says that each of them should get thirty times the calls of the others.
    // Proxies that are told of no cold rule, and keep no gates, believe it.
    let lie: SettingsFault = Rc::new(|told| {
        (told.rules.warmup_ms, told.fleet_size, told.rank) = (0.0, 1, 0);
        without_gates(told);
    });
    let broken = drill_with("drill-cold", 1, || Options {
        settings_fault: Some(lie.clone()),
        script: Some(Box::new(|fleet| Box::pin(async move { fleet.restarted_weight.set(30.0) }))),
        ..Options::default()
    });
    let sent = |p: &harness::Played| invariant_checker::overshoot(&p.0.truth, &p.0.observations);
    say("most that a cold box is sent, of what it bears", sent(&kept), sent(&broken));
    broken.breaks(Rule::SlowStart);
}

#[test]
fn nothing_new_reaches_a_draining_box_after_its_grace() {
    let kept = drill("drill-release", 1);
    kept.keeps_the_rules();
    let drains =
        kept.0.observations.notifications.iter().filter(|t| t.status == BackendState::Draining).count();
    assert!(drains >= 2 * 4, "all fronts were told of all drains: {drains}");
    let broken = lied("drill-release", 1, |told| told.rules.drain_grace_ms = 60_000.0);
    broken.breaks(Rule::Drain);
}

#[test]
fn seven_in_ten_fronts_that_die_at_once_are_made_up_for() {
    let kept = drill("drill-kill", 1);
    kept.keeps_the_rules();
    let killed =
        kept.0.observations.process_events.iter().filter(|l| l.event == ProcessEvent::Killed).count();
    assert_eq!(killed, 5, "five of seven fronts die");
    let broke =
        kept.0.observations.client_attempts.iter().filter(|t| t.result == ClientResult::Broken).count();
    assert!(broke > 0, "clients see their connections break");
    // The last three seconds: all are back, with nothing learned.
    let after = |p: &harness::Played| {
        let last = &p.0.summary.seconds[6..];
        let sum = |of: fn(&hillstall_simulation::sim::Second) -> f64| last.iter().map(of).sum::<f64>();
        100.0 * sum(|s| s.earned) / sum(|s| s.worth)
    };
    assert!(after(&kept) > 85.0, "service is {:.1} once they are back", after(&kept));
    // One that ends and was not told to is a crash.
    let broken = scripted("drill-kill", 1, |fleet| async move {
        wait(&fleet.history, 2.0).await;
        fleet.kill_unrecorded(6).expect("the keeper hears");
    });
    broken.breaks(Rule::Crash);
}

#[test]
fn fronts_that_are_restarted_in_order_lose_nothing_while_the_tier_is_crowded() {
    let kept = drill("drill-roll", 1);
    kept.keeps_the_rules();
    let ended = kept
        .0
        .observations
        .process_events
        .iter()
        .filter(|l| matches!(l.event, ProcessEvent::Exited(Some(0))))
        .count();
    assert_eq!(ended, 5, "all five fronts ended in order");
    assert!(kept.0.summary.refused > 0.02, "the tier is crowded: {:.3} refused", kept.0.summary.refused);
    // One that is killed where it should have been asked loses what it had taken.
    let broken = scripted("drill-roll", 1, |fleet| async move {
        wait(&fleet.history, 1.5).await;
        let at = fleet.history.now();
        fleet.history.record(|seen| {
            seen.process_events.push(ProcessEventRecord { process: 4, at, event: ProcessEvent::SigtermSent })
        });
        fleet.kill_unrecorded(4).expect("the keeper hears");
    });
    broken.breaks(Rule::OneResponse);
}

#[test]
fn fronts_that_stood_still_go_on_by_the_list_as_it_is_now() {
    let kept = drill("drill-stop", 1);
    kept.keeps_the_rules();
    let stopped =
        |what: ProcessEvent| kept.0.observations.process_events.iter().filter(|l| l.event == what).count();
    assert_eq!((stopped(ProcessEvent::Stopped), stopped(ProcessEvent::Continued)), (2, 2));
    let by_stopped = |from: f64, to: f64| {
        kept.0
            .observations
            .backend_attempts
            .iter()
            .filter(|h| h.process < 2 && h.at > from && h.at < to)
            .count()
    };
    assert!(by_stopped(0.0, 2_400.0) > 0 && by_stopped(6_000.0, 11_000.0) > 0, "they send before and after");
    assert_eq!(by_stopped(2_700.0, 5_400.0), 0, "they stand still");
    let broken = lied("drill-stop", 1, |told| told.rules.drain_grace_ms = 60_000.0);
    broken.breaks(Rule::Drain);
}

#[test]
fn a_fleet_without_a_list_keeps_the_rules_while_fronts_and_boxes_die() {
    let kept = drill("drill-list", 1);
    kept.keeps_the_rules();
    let told = |from: f64, to: f64| {
        kept.0.observations.notifications.iter().filter(|t| t.at > from && t.at < to).count()
    };
    assert_eq!(told(1_600.0, 6_400.0), 0, "the list says nothing while it is down");
    assert!(told(6_400.0, 11_000.0) > 0, "and is heard again");
    let lost =
        kept.0.observations.backend_attempts.iter().filter(|h| h.result == BackendResult::Lost).count();
    assert!(lost > 0, "calls were lost with their boxes");
    let broken = lied("drill-list", 1, once_told_as(RetrySafety::Idempotent));
    broken.breaks(Rule::UnsafeRetry);
}

#[test]
fn one_tenants_flood_does_not_take_the_others_share() {
    let kept = drill("drill-flood", 1);
    kept.keeps_the_rules();
    // Without shares whoever asks most gets most.
    let off = lied("drill-flood", 1, |told| {
        told.tenants.iter_mut().for_each(|tenant| tenant.quota_per_s = 1e9);
    });
    // The calls of the two that keep within their shares, and how many of them were served.
    let others = |p: &harness::Played| {
        let tries =
            || p.0.observations.client_attempts.iter().filter(|t| t.tenant > 0 && !t.id.contains('.'));
        let calls: std::collections::BTreeSet<_> = tries().map(|t| t.id.split('-').next()).collect();
        100.0 * tries().filter(|t| t.result == ClientResult::Served).count() as f64 / calls.len() as f64
    };
    say("% served of the others' calls", others(&kept), others(&off));
    assert!(others(&kept) > others(&off) + 5.0, "shares are of no use");
}

#[test]
fn a_burst_at_all_fronts_leaves_no_box_slow() {
    let kept = drill("drill-burst", 1);
    kept.keeps_the_rules();
    let off = lied("drill-burst", 1, without_gates);
    say("service", service(&kept), service(&off));
    assert_eq!(kept.0.summary.chokes, 0, "a box turned slow");
    assert!(service(&off) < service(&kept) - 10.0, "gates are of no use");
}

#[test]
fn no_request_has_more_than_six_attempts_while_ledgers_turn_calls_away() {
    let kept = drill("drill-full", 1);
    kept.keeps_the_rules();
    let away =
        kept.0.observations.backend_attempts.iter().filter(|h| h.result == BackendResult::Rejected).count();
    assert!(away > 10, "ledgers turned {away} calls away");
    let broken = lied("drill-full", 1, |told| told.permissions.max_attempts = 30);
    broken.breaks(Rule::AttemptLimit);
}

#[test]
fn half_of_the_boxes_are_lost_for_eight_seconds_and_the_rest_do_not_tip() {
    let kept = drill("drill-half", 1);
    kept.keeps_the_rules();
    let course = |p: &harness::Played| ServiceCourse::of(&p.0.summary.seconds, 4.0, 8.0);
    // Half is left for a load of 85 in 100.
    let part = |course: ServiceCourse| course.during / (0.5 / 0.85);
    let killed =
        kept.0.observations.process_events.iter().filter(|l| l.event == ProcessEvent::Killed).count();
    assert_eq!(killed, 3, "the proxies beside three boxes are gone with them");
    let off = lied("drill-half", 1, without_gates);
    say("% served of what is left to serve", 100.0 * part(course(&kept)), 100.0 * part(course(&off)));
    assert_eq!(kept.0.summary.chokes, 0, "a box that is left turned slow");
    assert!(part(course(&kept)) >= 0.75, "{:?}", course(&kept));
    assert!(course(&kept).back_after.is_some_and(|after| after <= 8.0), "{:?}", course(&kept));
    assert!(part(course(&off)) < part(course(&kept)) - 0.2, "gates are of no use: {:?}", course(&off));
}

#[test]
fn what_a_keeper_started_ends_with_it() {
    use hillstall_fault_injection::process_supervisor::{ProcessSupervisor, StartProcess, SupervisorEvent};
    let (tell, news) = std::sync::mpsc::channel();
    let program = std::path::Path::new(env!("CARGO_BIN_EXE_hillstall"));
    let folder = tempfile::tempdir().expect("a folder");
    let mut keeper = ProcessSupervisor::start(program, &["lab", "keeper"], move |news| {
        let _ = tell.send(news);
    })
    .expect("it starts");
    let start = |number: usize, program: &str| StartProcess {
        number,
        program: program.into(),
        arguments: vec!["600".into()],
        environment: Vec::new(),
        log: folder.path().join("log"),
    };
    keeper.run(start(0, "/bin/sleep")).expect("it hears");
    keeper.run(start(1, "/nowhere/at/all")).expect("it hears");
    let patience = harness::PATIENCE;
    let Ok(SupervisorEvent::Started { number: 0, pid }) = news.recv_timeout(patience) else {
        panic!("it runs")
    };
    assert!(
        matches!(news.recv_timeout(patience), Ok(SupervisorEvent::Failed { number: 1, .. })),
        "an error is told"
    );
    let runs = || std::path::Path::new(&format!("/proc/{pid}")).exists();
    assert!(runs());
    // Its input closes, as it does when whoever started it is killed; it ends once its processes have.
    drop(keeper);
    assert!(!runs(), "process {pid} is left behind");
}
