//! Incidents and permits by their rules, and under random commands.

use hillstall_change_freeze::detection::{Detector, Observation, Symptom, Thresholds};
use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity, PRECEDENCE};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{
    ChangeRequest, ChangeStatus, FreezeCommand, FreezeState, RejectReason, Requester, Response,
};
use proptest::prelude::*;

fn wish(kind: ChangeKind, scope: &str, who: &str, reaction: Reaction) -> ChangeRequest {
    let scope = scope.parse().expect("a scope");
    ChangeRequest { kind, scope, requested_by: who.into(), priority: 10, max_duration: 60_000, reaction }
}

fn ask(kind: ChangeKind, scope: &str) -> FreezeCommand {
    FreezeCommand::RequestChange(wish(kind, scope, "mira", Reaction::Pause))
}

fn open(severity: Severity, scope: &str, by: Requester) -> FreezeCommand {
    FreezeCommand::OpenIncident {
        severity,
        scope: scope.parse().expect("a scope"),
        evidence: "seen".into(),
        opened_by: by,
    }
}

fn person(name: &str) -> Requester {
    Requester::Person(name.into())
}

fn permit(answer: Response) -> u64 {
    let Response::Permitted(number) = answer else { panic!("no permit: {answer:?}") };
    number
}

#[test]
fn no_permit_while_an_incident_bars_it_and_what_is_in_flight_reacts() {
    let mut of = FreezeState::default();
    let pauses = permit(of.apply(&ask(ChangeKind::Upgrade, "site:north")));
    let ends = permit(of.apply(&FreezeCommand::RequestChange(wish(
        ChangeKind::Drain,
        "site:south",
        "tom",
        Reaction::Finish,
    ))));
    assert_eq!(of.apply(&open(Severity::Critical, "site:north", person("ann"))), Response::Accepted(3));
    assert_eq!(
        (of.changes()[&pauses].status, of.changes()[&ends].status),
        (ChangeStatus::Reacting, ChangeStatus::InFlight)
    );
    let barred = of.apply(&ask(ChangeKind::Settings, "site:west"));
    assert!(matches!(barred, Response::Blocked { incident: 3, retry_after: 1.., .. }), "{barred:?}");
    // Its deadline passes without a word; then it still keeps others away.
    let version = of.changes()[&pauses].version;
    of.apply(&FreezeCommand::ExpireChange { change: pauses, version });
    assert_eq!(of.changes()[&pauses].status, ChangeStatus::Overdue);
    of.apply(&FreezeCommand::ResolveIncident { incident: 3, resolved_by: person("ann") });
    assert_eq!(
        of.changes()[&4].status,
        ChangeStatus::Queued,
        "a resolved incident bars until it has cooled down"
    );
    let version = of.incidents()[&3].version;
    of.apply(&FreezeCommand::CooldownElapsed { incident: 3, version });
    assert_eq!(of.changes()[&4].status, ChangeStatus::InFlight, "what waited has its permit by itself");
    let waits = of.apply(&ask(ChangeKind::Window, "site:north"));
    assert_eq!(waits, Response::Queued { change: 5, behind: pauses });
    of.apply(&FreezeCommand::ClearOverdueChange { change: pauses, person: "ann".into() });
    assert_eq!(of.changes()[&5].status, ChangeStatus::InFlight);
}

#[test]
fn an_emergency_takes_two_people_and_a_remedy_its_name() {
    let mut of = FreezeState::default();
    of.apply(&open(Severity::Critical, "fleet", person("ann")));
    let urgent = |who: &str| {
        FreezeCommand::RequestEmergencyChange(wish(ChangeKind::Settings, "tier:shop", who, Reaction::Finish))
    };
    assert_eq!(of.apply(&urgent("mira")), Response::AwaitingSecondApproval(2));
    assert_eq!(of.apply(&urgent("mira")), Response::Rejected(RejectReason::SamePerson));
    assert_eq!(of.apply(&urgent("tom")), Response::Permitted(2));
    assert!(matches!(
        of.apply(&ask(ChangeKind::Upgrade, "class:buy")),
        Response::Queued { change: 3, behind: 2 }
    ));
    of.apply(&FreezeCommand::FinishChange { change: 2 });
    assert_eq!(of.changes()[&3].status, ChangeStatus::Queued);
    of.apply(&FreezeCommand::LinkRemedy { incident: 1, change: 3, person: "ann".into() });
    assert_eq!(of.changes()[&3].status, ChangeStatus::InFlight, "a named remedy passes");
    // The second person comes too late: the first has been waited for and is gone.
    let half = of.apply(&FreezeCommand::RequestEmergencyChange(wish(
        ChangeKind::Drain,
        "site:east",
        "mira",
        Reaction::Finish,
    )));
    assert_eq!(half, Response::AwaitingSecondApproval(4));
    of.apply(&FreezeCommand::ExpireChange { change: 4, version: of.changes()[&4].version });
    let late = of.apply(&FreezeCommand::RequestEmergencyChange(wish(
        ChangeKind::Drain,
        "site:east",
        "tom",
        Reaction::Finish,
    )));
    assert_eq!(late, Response::AwaitingSecondApproval(5));
}

#[test]
fn a_wide_change_is_not_starved_by_narrow_ones() {
    let mut of = FreezeState::default();
    let mut last = permit(of.apply(&ask(ChangeKind::Drain, "site:a")));
    let wide = of.apply(&ask(ChangeKind::Upgrade, "fleet"));
    assert!(matches!(wide, Response::Queued { change: 2, .. }));
    for round in 0..10 {
        let mut narrow = wish(ChangeKind::Drain, &format!("site:s{round}"), "mira", Reaction::Finish);
        narrow.priority = 60;
        of.apply(&FreezeCommand::RequestChange(narrow));
        of.apply(&FreezeCommand::FinishChange { change: last });
        last = match of.changes().iter().find(|(_, c)| c.status == ChangeStatus::InFlight) {
            Some((2, _)) => return,
            Some((number, _)) => *number,
            None => panic!("nobody goes"),
        };
    }
    panic!("ten went before it");
}

#[test]
fn rules_close_only_what_rules_opened() {
    let mut of = FreezeState::default();
    of.apply(&open(Severity::Major, "site:a", person("ann")));
    let by_rule = FreezeCommand::ResolveIncident { incident: 1, resolved_by: Requester::Rule(7) };
    assert_eq!(of.apply(&by_rule), Response::Rejected(RejectReason::NotByRule));
    of.apply(&open(Severity::Major, "site:b", Requester::Rule(7)));
    of.apply(&FreezeCommand::AssignIncident { incident: 2, person: "ann".into() });
    assert_eq!(
        of.apply(&FreezeCommand::ResolveIncident { incident: 2, resolved_by: Requester::Rule(7) }),
        Response::Rejected(RejectReason::NotByRule)
    );
}

#[test]
fn what_flaps_is_one_incident_and_what_is_calm_is_none() {
    let (mut detector, mut of) = (Detector::new(Thresholds::default()), FreezeState::default());
    let fact = |level| [Observation { scope: Scope::Site("a".into()), symptom: Symptom::Unanswered, level }];
    for now in (0..60_000).step_by(200) {
        // Bad for less than it takes, again and again.
        let level = if now % 1_000 < 800 { 0.9 } else { 0.0 };
        assert!(detector.poll(now, &fact(level), &of, 1).is_empty(), "{now}");
    }
    for now in (60_000..120_000).step_by(200) {
        // Bad for longer than it takes, well for less.
        let level = if now % 8_000 < 3_000 { 0.9 } else { 0.0 };
        for command in detector.poll(now, &fact(level), &of, 1) {
            of.apply(&command);
        }
    }
    assert_eq!(of.incidents().len(), 1);
    assert!(of.audit_log().len() < 3, "opened once: {:?}", of.audit_log());
    for now in (120_000..140_000).step_by(200) {
        for command in detector.poll(now, &fact(0.0), &of, 1) {
            of.apply(&command);
        }
    }
    assert!(of.incidents().values().all(|i| i.cooling_down));
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

fn any_command() -> impl Strategy<Value = FreezeCommand> {
    let scopes = ["fleet", "site:a", "site:b", "tier:t", "class:c", "copy:a/1", "copy:b/2"];
    let scope = prop::sample::select(scopes.to_vec());
    let kind = prop::sample::select(ChangeKind::ALL.to_vec());
    let severity = prop::sample::select(Severity::ALL.to_vec());
    let reaction = prop::sample::select(Reaction::ALL.to_vec());
    let who = prop::sample::select(vec!["ann", "tom"]);
    let by = prop_oneof![Just(Requester::Rule(1)), Just(person("ann"))];
    let number = 1..20u64;
    prop_oneof![
        4 => (kind, scope.clone(), who.clone(), reaction.clone())
            .prop_map(|(k, s, w, r)| FreezeCommand::RequestChange(wish(k, s, w, r))),
        2 => (scope.clone(), who).prop_map(|(s, w)| FreezeCommand::RequestEmergencyChange(wish(ChangeKind::Drain, s, w, Reaction::Undo))),
        2 => (severity, scope, by.clone()).prop_map(|(v, s, b)| open(v, s, b)),
        2 => (number.clone(), by).prop_map(|(incident, by)| FreezeCommand::ResolveIncident { incident, resolved_by: by }),
        2 => (number.clone(), 0..4u64).prop_map(|(incident, version)| FreezeCommand::CooldownElapsed { incident, version }),
        3 => number.clone().prop_map(|change| FreezeCommand::FinishChange { change }),
        2 => (number.clone(), 0..4u64).prop_map(|(change, version)| FreezeCommand::ExpireChange { change, version }),
        1 => (number.clone(), number).prop_map(|(incident, change)| FreezeCommand::LinkRemedy {
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
        let mut of = FreezeState::default();
        for command in commands {
            let before: Vec<u64> = of.incidents().keys().copied().collect();
            let answer = of.apply(&command);
            prop_assert_eq!(of.check_invariants(), None, "after {:?}", command);
            if let Response::Permitted(number) = answer {
                prop_assert_eq!(of.changes()[&number].status, ChangeStatus::InFlight);
            }
            let gone = before.into_iter().find(|n| !of.incidents().contains_key(n));
            let cooled = matches!(command, FreezeCommand::CooldownElapsed { .. });
            prop_assert!(gone.is_none() || cooled, "incident {:?} was forgotten", gone);
        }
    }
}
