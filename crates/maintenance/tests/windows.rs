//! The calendar, the states of a window, and the steps of its owner.

use hillstall_change_freeze::rules::Severity;
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{FreezeCommand as Freeze, FreezeState, Requester};
use hillstall_maintenance::calendar::{find_conflicts, LocalTimeKind, Recurrence};
use hillstall_maintenance::shift::{admission_blocker, FleetLoad, ShiftController, ShiftPacing, SiteLoad};
use hillstall_maintenance::traffic::TrafficRamp;
use hillstall_maintenance::windows::{OverrunPolicy, Stage, WindowCommand, WindowError, WindowPlan, Windows};
use hillstall_maintenance::{Millis, FULL_TRAFFIC};
use jiff::tz::TimeZone;
use proptest::prelude::*;

const MINUTE: Millis = 60_000;

fn rule(site: &str, start: &str, zone: &str, every: Option<&str>) -> Recurrence {
    Recurrence {
        site: site.into(),
        starts: start.parse().expect("a time"),
        time_zone: TimeZone::get(zone).expect("a zone"),
        interval: every.map(|text| text.parse().expect("a span")),
        duration: 60 * MINUTE,
        lead_time: 15 * MINUTE,
        max_delay: 10 * MINUTE,
        reserve_percent: 20,
        overrun_policy: OverrunPolicy::Return,
    }
}

fn unix(text: &str) -> Millis {
    text.parse::<jiff::Timestamp>().expect("a time").as_millisecond() as Millis
}

#[test]
fn a_start_keeps_its_reading_over_changes_of_the_clock() {
    let weekly = rule("north", "2026-03-22T02:30:00", "Europe/Berlin", Some("1w"));
    let at = |from: &str| weekly.next(unix(from)).expect("it recurs");
    assert_eq!(at("2026-03-20T00:00:00Z").starts_at, unix("2026-03-22T01:30:00Z"));
    // On 29 March the clock goes from 2:00 to 3:00: half past two does not exist.
    let never = at("2026-03-23T00:00:00Z");
    assert_eq!((never.starts_at, never.local_time), (unix("2026-03-29T01:30:00Z"), LocalTimeKind::Skipped));
    assert_eq!(at("2026-03-30T00:00:00Z").starts_at, unix("2026-04-05T00:30:00Z"));
    // On 25 October it exists twice.
    let twice = at("2026-10-20T00:00:00Z");
    assert_eq!((twice.starts_at, twice.local_time), (unix("2026-10-25T00:30:00Z"), LocalTimeKind::Repeated));
    let once = rule("north", "2026-05-01T10:00:00", "Asia/Bangkok", None);
    assert_eq!(
        once.next(unix("2026-05-01T03:00:00Z")).map(|o| o.starts_at),
        Some(unix("2026-05-01T03:00:00Z"))
    );
    assert_eq!(once.next(unix("2026-05-01T03:00:01Z")), None);
}

#[test]
fn contradictions_name_the_rule_and_its_key() {
    let now = unix("2026-03-01T00:00:00Z");
    let sites = ["north".to_owned(), "south".to_owned()];
    let all = [
        rule("north", "2026-03-10T02:00:00", "UTC", Some("1w")),
        rule("south", "2026-04-07T03:00:00", "UTC", None),
        rule("nrth", "2026-03-11T12:00:00", "UTC", None),
        rule("south", "2026-02-01T12:00:00", "UTC", None),
        rule("south", "2026-03-12T12:00:00", "UTC", Some("1h")),
    ];
    let found = find_conflicts(&all, &sites, now);
    let has = |rule: usize, key: &str| found.iter().any(|c| c.recurrence == rule && c.key == key);
    assert!(has(1, "start") && has(2, "site") && has(3, "start") && has(4, "lead"), "{found:?}");
    assert!(!found.iter().any(|c| c.recurrence == 0), "{found:?}");
}

fn plan(site: &str) -> WindowPlan {
    WindowPlan {
        site: site.into(),
        starts_at: 100_000,
        duration: 20_000,
        lead_time: 30_000,
        max_delay: 5_000,
        reserve_percent: 20,
        overrun_policy: OverrunPolicy::Return,
    }
}

fn figures(sites: &[(&str, f64, f64)]) -> FleetLoad {
    let load = |sent, busy| SiteLoad {
        sent,
        baseline: sent,
        fraction: sent / 100.0,
        success_ratio: 1.0,
        utilization: Some(busy),
    };
    let sites = sites.iter().map(|(name, sent, busy)| (name.to_string(), load(*sent, *busy)));
    FleetLoad { sites: sites.collect(), reporting_ratio: 1.0, blocker: None }
}

#[test]
fn a_window_goes_from_its_plan_to_its_end_by_steps_that_the_others_bear() {
    let (mut windows, mut register) = (Windows::default(), FreezeState::default());
    windows.apply(&WindowCommand::Plan(plan("north")), &mut register).expect("planned");
    windows.apply(&WindowCommand::Plan(plan("north")), &mut register).expect("the same once more");
    assert_eq!(windows.all().len(), 1);
    let (mut steps, pace) = (ShiftController::default(), ShiftPacing::default());
    let mut stages = Vec::new();
    let mut emptied_at = 0;
    for now in (60_000..200_000).step_by(100) {
        let part = f64::from(windows.all()[&1].fraction) / 1_000.0;
        let seen = figures(&[
            ("north", 100.0 * part, 0.5 * part),
            ("south", 200.0 - 100.0 * part, (200.0 - 100.0 * part) / 270.0),
        ]);
        let busy = seen.sites["south"].utilization.expect("told");
        assert!(busy <= 0.8, "the reserve is kept: {busy}");
        if let Some(command) = steps.next_command((now, now), (1, &windows.all()[&1]), &seen, &pace) {
            windows.apply(&command, &mut register).unwrap_or_else(|why| panic!("{command:?}: {why}"));
        }
        let stage = windows.all()[&1].stage;
        if stages.last() != Some(&stage) {
            stages.push(stage);
        }
        if stage == Stage::Empty && emptied_at == 0 {
            emptied_at = now;
        }
    }
    use Stage::*;
    assert_eq!(stages, [Planned, Admitted, Shifting, Empty, Running, Returning, Done]);
    assert!(emptied_at < 100_000, "empty before it begins: {emptied_at}");
    assert!(register.changes().is_empty(), "its permit is given back");
}

#[test]
fn what_the_others_can_not_bear_is_not_admitted() {
    let tight = figures(&[("north", 100.0, 0.7), ("south", 100.0, 0.7)]);
    assert!(admission_blocker(&plan("north"), &tight, &ShiftPacing::default()).is_some());
    let mut deaf = figures(&[("north", 10.0, 0.1), ("south", 100.0, 0.2)]);
    assert!(admission_blocker(&plan("north"), &deaf, &ShiftPacing::default()).is_none());
    deaf.reporting_ratio = 0.5;
    assert!(admission_blocker(&plan("north"), &deaf, &ShiftPacing::default()).is_some());
}

#[test]
fn an_incident_stops_a_window_before_and_turns_it_back_after_it_began() {
    let (mut windows, mut register) = (Windows::default(), FreezeState::default());
    let take = |windows: &mut Windows, command: WindowCommand, register: &mut FreezeState| {
        windows.apply(&command, register)
    };
    for site in ["north", "south"] {
        take(&mut windows, WindowCommand::Plan(plan(site)), &mut register).expect("planned");
    }
    take(&mut windows, WindowCommand::Admit { window: 1, baseline_rate: 1 }, &mut register)
        .expect("admitted");
    let other = take(&mut windows, WindowCommand::Admit { window: 2, baseline_rate: 1 }, &mut register);
    assert_eq!(other, Err(WindowError::OtherAway(1)), "one site at a time");
    take(&mut windows, WindowCommand::ReduceTraffic { window: 1, fraction: 500 }, &mut register)
        .expect("a step");
    register.apply(&Freeze::OpenIncident {
        severity: Severity::Critical,
        scope: Scope::Site("south".into()),
        evidence: "lost".into(),
        opened_by: Requester::Rule(1),
    });
    let on = take(&mut windows, WindowCommand::ReduceTraffic { window: 1, fraction: 400 }, &mut register);
    assert!(matches!(on, Err(WindowError::NoPermit(_))), "{on:?}");
    let back = WindowCommand::RestoreTraffic {
        window: 1,
        fraction: FULL_TRAFFIC,
        reason: Some("south is lost".into()),
    };
    take(&mut windows, back, &mut register).expect("back");
    take(&mut windows, WindowCommand::Finish { window: 1 }, &mut register).expect("over");
    let barred = take(&mut windows, WindowCommand::Admit { window: 2, baseline_rate: 1 }, &mut register);
    assert!(matches!(barred, Err(WindowError::NoPermit(_))), "{barred:?}");
    assert!(register.changes().is_empty(), "nothing is left in line");
}

#[test]
fn a_part_goes_down_at_once_and_up_by_its_pace_whoever_is_left() {
    let mut part = TrafficRamp::full(0, 10_000);
    part.set(1_000, 500);
    assert_eq!(part.fraction(1_000), 0.5);
    part.set(2_000, 0);
    assert_eq!(part.fraction(2_000), 0.0);
    part.set(3_000, FULL_TRAFFIC);
    assert_eq!((part.fraction(3_000), part.fraction(8_000), part.fraction(13_000)), (0.0, 0.5, 1.0));
    assert!(part.moves(12_000) && !part.moves(13_000));
}

fn any_command() -> impl Strategy<Value = WindowCommand> {
    let window = 1..4u64;
    let part = prop::sample::select(vec![0, 200, 500, 900, FULL_TRAFFIC]);
    prop_oneof![
        prop::sample::select(vec!["a", "b", "c"]).prop_map(|site| WindowCommand::Plan(plan(site))),
        window.clone().prop_map(|window| WindowCommand::Admit { window, baseline_rate: 10 }),
        (window.clone(), part.clone())
            .prop_map(|(window, part)| WindowCommand::ReduceTraffic { window, fraction: part }),
        window.clone().prop_map(|window| WindowCommand::MarkEmpty { window }),
        window.clone().prop_map(|window| WindowCommand::Begin { window }),
        window.clone().prop_map(|window| WindowCommand::End { window }),
        window.clone().prop_map(|window| WindowCommand::Cancel { window }),
        (window.clone(), part).prop_map(|(window, part)| WindowCommand::RestoreTraffic {
            window,
            fraction: part,
            reason: None
        }),
        window.prop_map(|window| WindowCommand::Finish { window }),
    ]
}

proptest! {
    #[test]
    fn whatever_comes_at_most_one_site_is_away(commands in prop::collection::vec(any_command(), 1..120)) {
        let (mut windows, mut register) = (Windows::default(), FreezeState::default());
        for command in commands {
            let refused = windows.apply(&command, &mut register).is_err();
            prop_assert_eq!(windows.check_invariants(), None, "after {:?}", command);
            prop_assert_eq!(register.check_invariants(), None);
            for window in windows.all().values() {
                prop_assert!(window.stage != Stage::Running || window.fraction == 0, "{:?}", refused);
                prop_assert_eq!(window.fraction < FULL_TRAFFIC && !window.stage.takes_traffic_away(), false);
            }
        }
    }
}
