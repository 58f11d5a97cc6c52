//! The invariants under random commands.

use crate::common::{open_incident, person, request, resolve_incident, status};
use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::state::{ChangeStatus, FreezeCommand, FreezeState, Requester, Response};
use proptest::prelude::*;

const SCOPES: &[&str] = &["fleet", "site:a", "site:b", "tier:t", "class:c", "copy:a/1", "copy:b/2"];
const PEOPLE: &[&str] = &["ann", "tom"];

fn scope() -> impl Strategy<Value = &'static str> {
    prop::sample::select(SCOPES)
}

fn requester_name() -> impl Strategy<Value = &'static str> {
    prop::sample::select(PEOPLE)
}

fn requester() -> impl Strategy<Value = Requester> {
    prop_oneof![Just(Requester::Coordinator(1)), Just(person("ann"))]
}

fn number() -> impl Strategy<Value = u64> {
    1..20u64
}

fn version() -> impl Strategy<Value = u64> {
    0..4u64
}

fn change_request() -> impl Strategy<Value = FreezeCommand> {
    let kind = prop::sample::select(ChangeKind::ALL);
    let reaction = prop::sample::select(Reaction::ALL);
    (kind, scope(), requester_name(), reaction).prop_map(|(kind, scope, name, reaction)| {
        FreezeCommand::RequestChange(request(kind, scope, name, reaction))
    })
}

fn emergency_request() -> impl Strategy<Value = FreezeCommand> {
    (scope(), requester_name()).prop_map(|(scope, name)| {
        FreezeCommand::RequestEmergencyChange(request(ChangeKind::Drain, scope, name, Reaction::Undo))
    })
}

fn incident_opening() -> impl Strategy<Value = FreezeCommand> {
    let severity = prop::sample::select(Severity::ALL);
    (severity, scope(), requester())
        .prop_map(|(severity, scope, opened_by)| open_incident(severity, scope, opened_by))
}

fn incident_resolution() -> impl Strategy<Value = FreezeCommand> {
    (number(), requester()).prop_map(|(incident, resolved_by)| resolve_incident(incident, resolved_by))
}

fn elapsed_cooldown() -> impl Strategy<Value = FreezeCommand> {
    (number(), version()).prop_map(|(incident, version)| FreezeCommand::CooldownElapsed { incident, version })
}

fn change_expiry() -> impl Strategy<Value = FreezeCommand> {
    (number(), version()).prop_map(|(change, version)| FreezeCommand::ExpireChange { change, version })
}

fn remedy_link() -> impl Strategy<Value = FreezeCommand> {
    (number(), number()).prop_map(|(incident, change)| FreezeCommand::LinkRemedy {
        incident,
        change,
        person: "ann".into(),
    })
}

fn command() -> impl Strategy<Value = FreezeCommand> {
    prop_oneof![
        4 => change_request(),
        2 => emergency_request(),
        2 => incident_opening(),
        2 => incident_resolution(),
        2 => elapsed_cooldown(),
        3 => number().prop_map(|change| FreezeCommand::FinishChange { change }),
        2 => change_expiry(),
        1 => remedy_link(),
    ]
}

proptest! {
    #[test]
    fn no_overlapping_changes_in_flight_and_no_incident_dropped_before_its_cooldown(
        commands in prop::collection::vec(command(), 1..80)
    ) {
        let mut state = FreezeState::default();
        for command in commands {
            let before: Vec<u64> = state.incidents().keys().copied().collect();
            let response = state.apply(&command);
            prop_assert_eq!(state.check_invariants(), None, "after {:?}", command);
            if let Response::Permitted(number) = response {
                prop_assert_eq!(status(&state, number), ChangeStatus::InFlight);
            }
            let dropped = before.into_iter().find(|number| !state.incidents().contains_key(number));
            let cooldown_elapsed = matches!(command, FreezeCommand::CooldownElapsed { .. });
            prop_assert!(dropped.is_none() || cooldown_elapsed, "incident {:?} was dropped", dropped);
        }
    }
}
