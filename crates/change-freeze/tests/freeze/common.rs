//! Functions that the tests of this package share.

use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::state::{
    ChangeRequest, ChangeStatus, FreezeCommand, FreezeState, Requester, Response, SequenceNumber,
};

pub fn request(kind: ChangeKind, scope: &str, requested_by: &str, reaction: Reaction) -> ChangeRequest {
    ChangeRequest {
        kind,
        scope: scope.parse().expect("a valid scope"),
        requested_by: requested_by.into(),
        priority: 10,
        max_duration: 60_000,
        reaction,
    }
}

pub fn request_change(kind: ChangeKind, scope: &str) -> FreezeCommand {
    FreezeCommand::RequestChange(request(kind, scope, "mira", Reaction::Pause))
}

pub fn open_incident(severity: Severity, scope: &str, opened_by: Requester) -> FreezeCommand {
    FreezeCommand::OpenIncident {
        severity,
        scope: scope.parse().expect("a valid scope"),
        evidence: "seen".into(),
        opened_by,
    }
}

pub fn resolve_incident(incident: SequenceNumber, resolved_by: Requester) -> FreezeCommand {
    FreezeCommand::ResolveIncident { incident, resolved_by }
}

pub fn person(name: &str) -> Requester {
    Requester::Person(name.into())
}

/// The number of the change that the response grants a permit; panics if it grants none.
pub fn permitted(response: Response) -> SequenceNumber {
    let Response::Permitted(number) = response else { panic!("no permit: {response:?}") };
    number
}

pub fn status(state: &FreezeState, change: SequenceNumber) -> ChangeStatus {
    state.changes()[&change].status
}

/// Expires a change in its current version, as a replica does whose timer has run out.
pub fn expire_change(state: &mut FreezeState, change: SequenceNumber) -> Response {
    let version = state.changes()[&change].version;
    state.apply(&FreezeCommand::ExpireChange { change, version })
}

/// Ends an incident's cooldown in its current version, as a replica does whose timer has run out.
pub fn end_cooldown(state: &mut FreezeState, incident: SequenceNumber) -> Response {
    let version = state.incidents()[&incident].version;
    state.apply(&FreezeCommand::CooldownElapsed { incident, version })
}
