//! Which changes get a permit, and what happens to those in flight when an incident opens.

use crate::common::{
    end_cooldown, expire_change, open_incident, permitted, person, request, request_change, resolve_incident,
    status,
};
use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::state::{
    ChangeStatus, FreezeCommand, FreezeState, RejectReason, Requester, Response,
};

#[test]
fn an_incident_blocks_permits_until_its_cooldown_and_changes_in_flight_react() {
    let mut state = FreezeState::default();
    let pausing = permitted(state.apply(&request_change(ChangeKind::Upgrade, "site:north")));
    let finishing = request(ChangeKind::Drain, "site:south", "tom", Reaction::Finish);
    let finishing = permitted(state.apply(&FreezeCommand::RequestChange(finishing)));
    let opened = state.apply(&open_incident(Severity::Critical, "site:north", person("ann")));
    assert_eq!(opened, Response::Accepted(3));
    assert_eq!(
        (status(&state, pausing), status(&state, finishing)),
        (ChangeStatus::Reacting, ChangeStatus::InFlight)
    );
    let blocked = state.apply(&request_change(ChangeKind::Settings, "site:west"));
    assert!(matches!(blocked, Response::Blocked { incident: 3, retry_after: 1.., .. }), "{blocked:?}");
    // Changes that overlap an overdue one still wait for it.
    expire_change(&mut state, pausing);
    assert_eq!(status(&state, pausing), ChangeStatus::Overdue);
    state.apply(&resolve_incident(3, person("ann")));
    assert_eq!(status(&state, 4), ChangeStatus::Queued, "a resolved incident blocks until its cooldown ends");
    end_cooldown(&mut state, 3);
    assert_eq!(
        status(&state, 4),
        ChangeStatus::InFlight,
        "a queued change gets its permit without another request"
    );
    let queued = state.apply(&request_change(ChangeKind::Window, "site:north"));
    assert_eq!(queued, Response::Queued { change: 5, behind: pausing });
    state.apply(&FreezeCommand::ClearOverdueChange { change: pausing, person: "ann".into() });
    assert_eq!(status(&state, 5), ChangeStatus::InFlight);
}

#[test]
fn an_emergency_change_needs_two_people_and_a_remedy_must_be_linked() {
    let mut state = FreezeState::default();
    state.apply(&open_incident(Severity::Critical, "fleet", person("ann")));
    let emergency = |name: &str| {
        let request = request(ChangeKind::Settings, "tier:shop", name, Reaction::Finish);
        FreezeCommand::RequestEmergencyChange(request)
    };
    assert_eq!(state.apply(&emergency("mira")), Response::AwaitingSecondApproval(2));
    assert_eq!(state.apply(&emergency("mira")), Response::Rejected(RejectReason::SamePerson));
    assert_eq!(state.apply(&emergency("tom")), Response::Permitted(2));
    let queued = state.apply(&request_change(ChangeKind::Upgrade, "class:buy"));
    assert!(matches!(queued, Response::Queued { change: 3, behind: 2 }));
    state.apply(&FreezeCommand::FinishChange { change: 2 });
    assert_eq!(status(&state, 3), ChangeStatus::Queued);
    state.apply(&FreezeCommand::LinkRemedy { incident: 1, change: 3, person: "ann".into() });
    assert_eq!(status(&state, 3), ChangeStatus::InFlight, "the incident does not block its remedy");
}

#[test]
fn a_second_approval_after_the_timeout_counts_as_a_first_one() {
    let mut state = FreezeState::default();
    state.apply(&open_incident(Severity::Critical, "fleet", person("ann")));
    // An overlapping remedy in flight has no effect on the approval of an emergency change.
    state.apply(&request_change(ChangeKind::Upgrade, "class:buy"));
    state.apply(&FreezeCommand::LinkRemedy { incident: 1, change: 2, person: "ann".into() });
    assert_eq!(status(&state, 2), ChangeStatus::InFlight);
    let emergency = |name: &str| {
        let request = request(ChangeKind::Drain, "site:east", name, Reaction::Finish);
        FreezeCommand::RequestEmergencyChange(request)
    };
    assert_eq!(state.apply(&emergency("mira")), Response::AwaitingSecondApproval(3));
    expire_change(&mut state, 3);
    assert_eq!(state.apply(&emergency("tom")), Response::AwaitingSecondApproval(4));
}

#[test]
fn a_change_of_wide_scope_is_not_starved_by_narrow_ones() {
    const ROUNDS: usize = 10;
    const WIDE: u64 = 2;
    let mut state = FreezeState::default();
    let mut in_flight = permitted(state.apply(&request_change(ChangeKind::Drain, "site:a")));
    let wide = state.apply(&request_change(ChangeKind::Upgrade, "fleet"));
    assert!(matches!(wide, Response::Queued { change: WIDE, .. }));
    for round in 0..ROUNDS {
        let mut narrow = request(ChangeKind::Drain, &format!("site:s{round}"), "mira", Reaction::Finish);
        narrow.priority = 60;
        state.apply(&FreezeCommand::RequestChange(narrow));
        state.apply(&FreezeCommand::FinishChange { change: in_flight });
        let mut changes = state.changes().iter();
        in_flight = match changes.find(|(_, change)| change.status == ChangeStatus::InFlight) {
            Some((&WIDE, _)) => return,
            Some((number, _)) => *number,
            None => panic!("no change is in flight"),
        };
    }
    panic!("{ROUNDS} narrow changes went before the wide one");
}

#[test]
fn the_coordinator_resolves_only_its_own_unassigned_incidents() {
    let mut state = FreezeState::default();
    state.apply(&open_incident(Severity::Major, "site:a", person("ann")));
    let rejected = Response::Rejected(RejectReason::RequiresPerson);
    assert_eq!(state.apply(&resolve_incident(1, Requester::Coordinator(7))), rejected);
    state.apply(&open_incident(Severity::Major, "site:b", Requester::Coordinator(7)));
    state.apply(&FreezeCommand::AssignIncident { incident: 2, person: "ann".into() });
    assert_eq!(state.apply(&resolve_incident(2, Requester::Coordinator(7))), rejected);
}
