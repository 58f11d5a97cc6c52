//! Requests and returns the permits of windows. The texts in the errors are stored in replicated outcomes, so
//! all versions must write the same bytes, also where today's names differ.

use super::{WindowError, WindowPlan};
use hillstall_change_freeze::rules::{ChangeKind, Reaction};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{
    ChangeRequest, ChangeStatus, FreezeCommand, FreezeState, RejectReason, Response, SequenceNumber,
    MAX_CHANGE_DURATION_MS,
};

/// The requester in audit records, which are replicated: the name must not change.
const REQUESTED_BY: &str = "calendar";
const PRIORITY: u8 = 100;

/// Requests a permit and withdraws the request if it is not granted at once: a queued request would hold back
/// other changes.
pub(super) fn request_permit(
    plan: &WindowPlan,
    freeze: &mut FreezeState,
) -> Result<SequenceNumber, WindowError> {
    match freeze.apply(&FreezeCommand::RequestChange(change_request(plan))) {
        Response::Permitted(number) => Ok(number),
        Response::Queued { change, behind } => {
            return_permit(change, freeze);
            Err(WindowError::NoPermit(format!("change {behind} goes first")))
        }
        Response::Blocked { change, incident, .. } => {
            return_permit(change, freeze);
            Err(WindowError::NoPermit(format!("incident {incident} is active")))
        }
        Response::Accepted(number) => Err(WindowError::NoPermit(format!("Done({number})"))),
        Response::AwaitingSecondApproval(number) => Err(WindowError::NoPermit(format!("Half({number})"))),
        Response::Rejected(reason) => {
            Err(WindowError::NoPermit(format!("Refused({})", stored_reason(reason))))
        }
    }
}

fn change_request(plan: &WindowPlan) -> ChangeRequest {
    // The permit covers twice the duration, so that people may overrun it.
    let max_duration = plan.lead_time + plan.max_delay + plan.duration.saturating_mul(2);
    ChangeRequest {
        kind: ChangeKind::Window,
        scope: Scope::Site(plan.site.clone()),
        requested_by: REQUESTED_BY.into(),
        priority: PRIORITY,
        max_duration: max_duration.clamp(1, MAX_CHANGE_DURATION_MS),
        reaction: Reaction::Undo,
    }
}

/// Returns a permit, or withdraws a request for one.
pub(super) fn return_permit(change: SequenceNumber, freeze: &mut FreezeState) {
    freeze.apply(&FreezeCommand::FinishChange { change });
}

/// Checks that a window may still take traffic away from its site.
pub(super) fn check_permit(change: Option<SequenceNumber>, freeze: &FreezeState) -> Result<(), WindowError> {
    let change = change.and_then(|number| freeze.changes().get(&number));
    match change.map(|change| change.status) {
        Some(ChangeStatus::InFlight) => Ok(()),
        Some(status) => Err(WindowError::NoPermit(format!("it {}", stored_status(status)))),
        None => Err(WindowError::NoPermit("it has run out".into())),
    }
}

/// The name of a status in a replicated outcome. All versions must write the same bytes.
fn stored_status(status: ChangeStatus) -> &'static str {
    match status {
        ChangeStatus::Queued => "Waits",
        ChangeStatus::AwaitingSecondApproval => "Half",
        ChangeStatus::InFlight => "InFlight",
        ChangeStatus::Reacting => "Reacts",
        ChangeStatus::Overdue => "Stuck",
    }
}

/// The name of a reject reason in a replicated outcome. All versions must write the same bytes.
fn stored_reason(reason: RejectReason) -> &'static str {
    match reason {
        RejectReason::NotFound => "Unknown",
        RejectReason::Superseded => "Over",
        RejectReason::RequiresPerson => "NotByRule",
        RejectReason::SamePerson => "SamePerson",
        RejectReason::InvalidName => "Name",
        RejectReason::InvalidDuration => "Runs",
        RejectReason::CapacityReached => "Full",
    }
}
