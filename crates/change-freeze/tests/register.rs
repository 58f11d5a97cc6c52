//! Incidents and permits by their rules, and under random commands.

use hillstall_change_freeze::detection::{Detector, Fact, Limits, Sign};
use hillstall_change_freeze::rules::{Kind, Reaction, Severity, PRECEDENCE};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{Answer, By, Command, Refused, Register, Stand, Wish};
use proptest::prelude::*;

fn wish(kind: Kind, scope: &str, who: &str, reaction: Reaction) -> Wish {
    let scope = scope.parse().expect("a scope");
    Wish { kind, scope, who: who.into(), worth: 10, runs_for: 60_000, reaction }
}

fn ask(kind: Kind, scope: &str) -> Command {
    Command::Ask(wish(kind, scope, "mira", Reaction::Pause))
}

fn open(severity: Severity, scope: &str, by: By) -> Command {
    Command::Open { severity, scope: scope.parse().expect("a scope"), evidence: "seen".into(), by }
}

fn person(name: &str) -> By {
    By::Person(name.into())
}

fn permit(answer: Answer) -> u64 {
    let Answer::Permit(number) = answer else { panic!("no permit: {answer:?}") };
    number
}

#[test]
fn no_permit_while_an_incident_bars_it_and_what_is_in_flight_reacts() {
    let mut of = Register::default();
    let pauses = permit(of.apply(&ask(Kind::Upgrade, "site:north")));
    let ends = permit(of.apply(&Command::Ask(wish(Kind::Drain, "site:south", "tom", Reaction::Finish))));
    assert_eq!(of.apply(&open(Severity::Critical, "site:north", person("ann"))), Answer::Done(3));
    assert_eq!((of.changes()[&pauses].stand, of.changes()[&ends].stand), (Stand::Reacts, Stand::InFlight));
    let barred = of.apply(&ask(Kind::Settings, "site:west"));
    assert!(matches!(barred, Answer::Barred { incident: 3, ask_again: 1.., .. }), "{barred:?}");
    // Its deadline passes without a word; then it still keeps others away.
    let version = of.changes()[&pauses].version;
    of.apply(&Command::Lapse { change: pauses, version });
    assert_eq!(of.changes()[&pauses].stand, Stand::Stuck);
    of.apply(&Command::Resolve { incident: 3, by: person("ann") });
    assert_eq!(of.changes()[&4].stand, Stand::Waits, "a resolved incident bars until it has cooled down");
    let version = of.incidents()[&3].version;
    of.apply(&Command::Cooled { incident: 3, version });
    assert_eq!(of.changes()[&4].stand, Stand::InFlight, "what waited has its permit by itself");
    let waits = of.apply(&ask(Kind::Window, "site:north"));
    assert_eq!(waits, Answer::Waits { change: 5, behind: pauses });
    of.apply(&Command::Clear { change: pauses, person: "ann".into() });
    assert_eq!(of.changes()[&5].stand, Stand::InFlight);
}

#[test]
fn an_emergency_takes_two_people_and_a_remedy_its_name() {
    let mut of = Register::default();
    of.apply(&open(Severity::Critical, "fleet", person("ann")));
    let urgent = |who: &str| Command::Emergency(wish(Kind::Settings, "tier:shop", who, Reaction::Finish));
    assert_eq!(of.apply(&urgent("mira")), Answer::Half(2));
    assert_eq!(of.apply(&urgent("mira")), Answer::Refused(Refused::SamePerson));
    assert_eq!(of.apply(&urgent("tom")), Answer::Permit(2));
    assert!(matches!(of.apply(&ask(Kind::Upgrade, "class:buy")), Answer::Waits { change: 3, behind: 2 }));
    of.apply(&Command::Done { change: 2 });
    assert_eq!(of.changes()[&3].stand, Stand::Waits);
    of.apply(&Command::Name { incident: 1, change: 3, person: "ann".into() });
    assert_eq!(of.changes()[&3].stand, Stand::InFlight, "a named remedy passes");
    // The second person comes too late: the first has been waited for and is gone.
    let half = of.apply(&Command::Emergency(wish(Kind::Drain, "site:east", "mira", Reaction::Finish)));
    assert_eq!(half, Answer::Half(4));
    of.apply(&Command::Lapse { change: 4, version: of.changes()[&4].version });
    let late = of.apply(&Command::Emergency(wish(Kind::Drain, "site:east", "tom", Reaction::Finish)));
    assert_eq!(late, Answer::Half(5));
}

#[test]
fn a_wide_change_is_not_starved_by_narrow_ones() {
    let mut of = Register::default();
    let mut last = permit(of.apply(&ask(Kind::Drain, "site:a")));
    let wide = of.apply(&ask(Kind::Upgrade, "fleet"));
    assert!(matches!(wide, Answer::Waits { change: 2, .. }));
    for round in 0..10 {
        let mut narrow = wish(Kind::Drain, &format!("site:s{round}"), "mira", Reaction::Finish);
        narrow.worth = 60;
        of.apply(&Command::Ask(narrow));
        of.apply(&Command::Done { change: last });
        last = match of.changes().iter().find(|(_, c)| c.stand == Stand::InFlight) {
            Some((2, _)) => return,
            Some((number, _)) => *number,
            None => panic!("nobody goes"),
        };
    }
    panic!("ten went before it");
}

#[test]
fn rules_close_only_what_rules_opened() {
    let mut of = Register::default();
    of.apply(&open(Severity::Major, "site:a", person("ann")));
    let by_rule = Command::Resolve { incident: 1, by: By::Rule(7) };
    assert_eq!(of.apply(&by_rule), Answer::Refused(Refused::NotByRule));
    of.apply(&open(Severity::Major, "site:b", By::Rule(7)));
    of.apply(&Command::Take { incident: 2, person: "ann".into() });
    assert_eq!(
        of.apply(&Command::Resolve { incident: 2, by: By::Rule(7) }),
        Answer::Refused(Refused::NotByRule)
    );
}

#[test]
fn what_flaps_is_one_incident_and_what_is_calm_is_none() {
    let (mut detector, mut of) = (Detector::new(Limits::default()), Register::default());
    let fact = |level| [Fact { scope: Scope::Site("a".into()), sign: Sign::Lost, level }];
    for now in (0..60_000).step_by(200) {
        // Bad for less than it takes, again and again.
        let level = if now % 1_000 < 800 { 0.9 } else { 0.0 };
        assert!(detector.look(now, &fact(level), &of, 1).is_empty(), "{now}");
    }
    for now in (60_000..120_000).step_by(200) {
        // Bad for longer than it takes, well for less.
        let level = if now % 8_000 < 3_000 { 0.9 } else { 0.0 };
        for command in detector.look(now, &fact(level), &of, 1) {
            of.apply(&command);
        }
    }
    assert_eq!(of.incidents().len(), 1);
    assert!(of.record().len() < 3, "opened once: {:?}", of.record());
    for now in (120_000..140_000).step_by(200) {
        for command in detector.look(now, &fact(0.0), &of, 1) {
            of.apply(&command);
        }
    }
    assert!(of.incidents().values().all(|i| i.cooling));
}

#[test]
fn the_operators_page_has_the_rules_in_their_order() {
    let page = include_str!("../../../docs/operate/coordination.md");
    let mut at = 0;
    for (_, name, what) in PRECEDENCE {
        let line = format!("| `{name}` | {what} |");
        let place = page[at..].find(&line).unwrap_or_else(|| panic!("{line:?} is missing or out of order"));
        at += place + line.len();
    }
}

fn any_command() -> impl Strategy<Value = Command> {
    let scopes = ["fleet", "site:a", "site:b", "tier:t", "class:c", "copy:a/1", "copy:b/2"];
    let scope = prop::sample::select(scopes.to_vec());
    let kind = prop::sample::select(Kind::ALL.to_vec());
    let severity = prop::sample::select(Severity::ALL.to_vec());
    let reaction = prop::sample::select(Reaction::ALL.to_vec());
    let who = prop::sample::select(vec!["ann", "tom"]);
    let by = prop_oneof![Just(By::Rule(1)), Just(person("ann"))];
    let number = 1..20u64;
    prop_oneof![
        4 => (kind, scope.clone(), who.clone(), reaction.clone())
            .prop_map(|(k, s, w, r)| Command::Ask(wish(k, s, w, r))),
        2 => (scope.clone(), who).prop_map(|(s, w)| Command::Emergency(wish(Kind::Drain, s, w, Reaction::Undo))),
        2 => (severity, scope, by.clone()).prop_map(|(v, s, b)| open(v, s, b)),
        2 => (number.clone(), by).prop_map(|(incident, by)| Command::Resolve { incident, by }),
        2 => (number.clone(), 0..4u64).prop_map(|(incident, version)| Command::Cooled { incident, version }),
        3 => number.clone().prop_map(|change| Command::Done { change }),
        2 => (number.clone(), 0..4u64).prop_map(|(change, version)| Command::Lapse { change, version }),
        1 => (number.clone(), number).prop_map(|(incident, change)| Command::Name {
            incident,
            change,
            person: "ann".into()
        }),
    ]
}

proptest! {
    #[test]
    fn whatever_comes_no_two_that_meet_are_in_flight_and_none_goes_on_barred(
        commands in prop::collection::vec(any_command(), 1..80)
    ) {
        let mut of = Register::default();
        for command in commands {
            let before: Vec<u64> = of.incidents().keys().copied().collect();
            let answer = of.apply(&command);
            prop_assert_eq!(of.wrong(), None, "after {:?}", command);
            if let Answer::Permit(number) = answer {
                prop_assert_eq!(of.changes()[&number].stand, Stand::InFlight);
            }
            let gone = before.into_iter().find(|n| !of.incidents().contains_key(n));
            let cooled = matches!(command, Command::Cooled { .. });
            prop_assert!(gone.is_none() || cooled, "incident {:?} was forgotten", gone);
        }
    }
}
