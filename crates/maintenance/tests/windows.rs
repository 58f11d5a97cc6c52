//! The calendar, the states of a window, and the steps of its owner.

use hillstall_change_freeze::rules::Severity;
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{FreezeCommand as Freeze, FreezeState, Requester};
use hillstall_maintenance::calendar::{check, Rule, Shown};
use hillstall_maintenance::shift::{not_admitted, Figures, Load, Pace, Steps};
use hillstall_maintenance::traffic::SitePart;
use hillstall_maintenance::windows::{Command, Overrun, Plan, Refused, Stage, Windows};
use hillstall_maintenance::{Millis, FULL_TRAFFIC};
use jiff::tz::TimeZone;
use proptest::prelude::*;

const MINUTE: Millis = 60_000;

fn rule(site: &str, start: &str, zone: &str, every: Option<&str>) -> Rule {
    Rule {
        site: site.into(),
        start: start.parse().expect("a time"),
        zone: TimeZone::get(zone).expect("a zone"),
        every: every.map(|text| text.parse().expect("a span")),
        length: 60 * MINUTE,
        lead: 15 * MINUTE,
        latest: 10 * MINUTE,
        reserve: 20,
        overrun: Overrun::Return,
    }
}

fn unix(text: &str) -> Millis {
    text.parse::<jiff::Timestamp>().expect("a time").as_millisecond() as Millis
}

#[test]
fn a_start_keeps_its_reading_over_changes_of_the_clock() {
    let weekly = rule("north", "2026-03-22T02:30:00", "Europe/Berlin", Some("1w"));
    let at = |from: &str| weekly.next(unix(from)).expect("it recurs");
    assert_eq!(at("2026-03-20T00:00:00Z").begin, unix("2026-03-22T01:30:00Z"));
    // On 29 March the clock goes from 2:00 to 3:00: half past two does not exist.
    let never = at("2026-03-23T00:00:00Z");
    assert_eq!((never.begin, never.shown), (unix("2026-03-29T01:30:00Z"), Shown::Never));
    assert_eq!(at("2026-03-30T00:00:00Z").begin, unix("2026-04-05T00:30:00Z"));
    // On 25 October it exists twice.
    let twice = at("2026-10-20T00:00:00Z");
    assert_eq!((twice.begin, twice.shown), (unix("2026-10-25T00:30:00Z"), Shown::Twice));
    let once = rule("north", "2026-05-01T10:00:00", "Asia/Bangkok", None);
    assert_eq!(once.next(unix("2026-05-01T03:00:00Z")).map(|o| o.begin), Some(unix("2026-05-01T03:00:00Z")));
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
    let found = check(&all, &sites, now);
    let has = |rule: usize, key: &str| found.iter().any(|c| c.rule == rule && c.key == key);
    assert!(has(1, "start") && has(2, "site") && has(3, "start") && has(4, "lead"), "{found:?}");
    assert!(!found.iter().any(|c| c.rule == 0), "{found:?}");
}

fn plan(site: &str) -> Plan {
    Plan {
        site: site.into(),
        begin: 100_000,
        length: 20_000,
        lead: 30_000,
        latest: 5_000,
        reserve: 20,
        overrun: Overrun::Return,
    }
}

fn figures(sites: &[(&str, f64, f64)]) -> Figures {
    let load = |sent, busy| Load { sent, usual: sent, part: sent / 100.0, served: 1.0, busy: Some(busy) };
    let sites = sites.iter().map(|(name, sent, busy)| (name.to_string(), load(*sent, *busy)));
    Figures { sites: sites.collect(), heard: 1.0, trouble: None }
}

#[test]
fn a_window_goes_from_its_plan_to_its_end_by_steps_that_the_others_bear() {
    let (mut windows, mut register) = (Windows::default(), FreezeState::default());
    windows.apply(&Command::Plan(plan("north")), &mut register).expect("planned");
    windows.apply(&Command::Plan(plan("north")), &mut register).expect("the same once more");
    assert_eq!(windows.all().len(), 1);
    let (mut steps, pace) = (Steps::default(), Pace::default());
    let mut stages = Vec::new();
    let mut emptied_at = 0;
    for now in (60_000..200_000).step_by(100) {
        let part = f64::from(windows.all()[&1].part) / 1_000.0;
        let seen = figures(&[
            ("north", 100.0 * part, 0.5 * part),
            ("south", 200.0 - 100.0 * part, (200.0 - 100.0 * part) / 270.0),
        ]);
        let busy = seen.sites["south"].busy.expect("told");
        assert!(busy <= 0.8, "the reserve is kept: {busy}");
        if let Some(command) = steps.next((now, now), (1, &windows.all()[&1]), &seen, &pace) {
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
    assert!(not_admitted(&plan("north"), &tight, &Pace::default()).is_some());
    let mut deaf = figures(&[("north", 10.0, 0.1), ("south", 100.0, 0.2)]);
    assert!(not_admitted(&plan("north"), &deaf, &Pace::default()).is_none());
    deaf.heard = 0.5;
    assert!(not_admitted(&plan("north"), &deaf, &Pace::default()).is_some());
}

#[test]
fn an_incident_stops_a_window_before_and_turns_it_back_after_it_began() {
    let (mut windows, mut register) = (Windows::default(), FreezeState::default());
    let take = |windows: &mut Windows, command: Command, register: &mut FreezeState| {
        windows.apply(&command, register)
    };
    for site in ["north", "south"] {
        take(&mut windows, Command::Plan(plan(site)), &mut register).expect("planned");
    }
    take(&mut windows, Command::Admit { window: 1, usual: 1 }, &mut register).expect("admitted");
    let other = take(&mut windows, Command::Admit { window: 2, usual: 1 }, &mut register);
    assert_eq!(other, Err(Refused::OtherAway(1)), "one site at a time");
    take(&mut windows, Command::Step { window: 1, part: 500 }, &mut register).expect("a step");
    register.apply(&Freeze::OpenIncident {
        severity: Severity::Critical,
        scope: Scope::Site("south".into()),
        evidence: "lost".into(),
        opened_by: Requester::Rule(1),
    });
    let on = take(&mut windows, Command::Step { window: 1, part: 400 }, &mut register);
    assert!(matches!(on, Err(Refused::NoPermit(_))), "{on:?}");
    let back = Command::Return { window: 1, part: FULL_TRAFFIC, why: Some("south is lost".into()) };
    take(&mut windows, back, &mut register).expect("back");
    take(&mut windows, Command::Finish { window: 1 }, &mut register).expect("over");
    let barred = take(&mut windows, Command::Admit { window: 2, usual: 1 }, &mut register);
    assert!(matches!(barred, Err(Refused::NoPermit(_))), "{barred:?}");
    assert!(register.changes().is_empty(), "nothing is left in line");
}

#[test]
fn a_part_goes_down_at_once_and_up_by_its_pace_whoever_is_left() {
    let mut part = SitePart::whole(0, 10_000);
    part.set(1_000, 500);
    assert_eq!(part.read(1_000), 0.5);
    part.set(2_000, 0);
    assert_eq!(part.read(2_000), 0.0);
    part.set(3_000, FULL_TRAFFIC);
    assert_eq!((part.read(3_000), part.read(8_000), part.read(13_000)), (0.0, 0.5, 1.0));
    assert!(part.moves(12_000) && !part.moves(13_000));
}

fn any_command() -> impl Strategy<Value = Command> {
    let window = 1..4u64;
    let part = prop::sample::select(vec![0, 200, 500, 900, FULL_TRAFFIC]);
    prop_oneof![
        prop::sample::select(vec!["a", "b", "c"]).prop_map(|site| Command::Plan(plan(site))),
        window.clone().prop_map(|window| Command::Admit { window, usual: 10 }),
        (window.clone(), part.clone()).prop_map(|(window, part)| Command::Step { window, part }),
        window.clone().prop_map(|window| Command::Emptied { window }),
        window.clone().prop_map(|window| Command::Begin { window }),
        window.clone().prop_map(|window| Command::End { window }),
        window.clone().prop_map(|window| Command::Cancel { window }),
        (window.clone(), part).prop_map(|(window, part)| Command::Return { window, part, why: None }),
        window.prop_map(|window| Command::Finish { window }),
    ]
}

proptest! {
    #[test]
    fn whatever_comes_at_most_one_site_is_away(commands in prop::collection::vec(any_command(), 1..120)) {
        let (mut windows, mut register) = (Windows::default(), FreezeState::default());
        for command in commands {
            let refused = windows.apply(&command, &mut register).is_err();
            prop_assert_eq!(windows.wrong(), None, "after {:?}", command);
            prop_assert_eq!(register.check_invariants(), None);
            for window in windows.all().values() {
                prop_assert!(window.stage != Stage::Running || window.part == 0, "{:?}", refused);
                prop_assert_eq!(window.part < FULL_TRAFFIC && !window.stage.is_away(), false);
            }
        }
    }
}
