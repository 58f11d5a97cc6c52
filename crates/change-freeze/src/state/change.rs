//! Changes: the queue, permits, emergencies and expiry.

use super::{check_name, FreezeState, RejectReason, Response, SequenceNumber};
use crate::rules::{ChangeKind, Reaction};
use crate::scope::Scope;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;

/// Maximum number of changes, which bounds the size of a snapshot.
pub const MAX_CHANGES: usize = 256;
/// Maximum duration of a change, in milliseconds: one day.
pub const MAX_CHANGE_DURATION_MS: Millis = 86_400_000;
/// After how many milliseconds a client whose change is blocked by an incident should request again.
pub const BLOCKED_RETRY_AFTER_MS: Millis = 5_000;
/// By how much a queued change's priority increases each time that a newer change gets its permit first.
const PRIORITY_PER_OVERTAKE: u32 = 16;

/// The status of a change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// The change waits for an incident to end or for another change.
    Queued,
    /// One person has requested the change as an emergency; a second person must request it too.
    AwaitingSecondApproval,
    /// The change has its permit.
    InFlight,
    /// An incident blocks the change in flight, which has to react as declared in its request.
    Reacting,
    /// The change had to react to an incident and was not finished within the reaction timeout. Overlapping
    /// changes wait until it is finished, or a person has checked and cleared it.
    Overdue,
}

impl ChangeStatus {
    /// Whether the change may be modifying the fleet.
    pub fn is_in_flight(self) -> bool {
        matches!(self, ChangeStatus::InFlight | ChangeStatus::Reacting | ChangeStatus::Overdue)
    }
}

/// A request for a permit. The order of the fields is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// The kind of change.
    pub kind: ChangeKind,
    /// The part of the fleet that the change concerns.
    pub scope: Scope,
    /// The name of the person or component that requests the permit.
    pub requested_by: String,
    /// The priority in the queue; a higher one goes first.
    pub priority: u8,
    /// The maximum time in the queue and the maximum time in flight, each in milliseconds.
    pub max_duration: Millis,
    /// What the change does if an incident blocks it in flight.
    pub reaction: Reaction,
}

/// A change that is queued or in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// The request that created the change.
    pub request: ChangeRequest,
    /// The current status.
    pub status: ChangeStatus,
    /// Whether two people have requested the change as an emergency.
    pub emergency: bool,
    /// How often a newer change whose scope overlaps got its permit first.
    pub overtaken: u32,
    /// Increases with each update, so that a timer that was started for an older version has no effect.
    pub version: u64,
}

impl Change {
    pub(super) fn overlaps(&self, other: &Change) -> bool {
        self.request.scope.overlaps(&other.request.scope)
    }

    fn effective_priority(&self) -> u32 {
        u32::from(self.request.priority) + self.overtaken.saturating_mul(PRIORITY_PER_OVERTAKE)
    }

    fn queue_position(&self, number: SequenceNumber) -> QueuePosition {
        QueuePosition {
            emergency: self.emergency,
            priority: self.effective_priority(),
            number: Reverse(number),
        }
    }

    /// Whether this is an emergency change that waits for a second request like this one.
    fn awaits_approval_of(&self, request: &ChangeRequest) -> bool {
        self.status == ChangeStatus::AwaitingSecondApproval
            && self.request.kind == request.kind
            && self.request.scope == request.scope
    }

    fn set_status(&mut self, status: ChangeStatus) {
        self.status = status;
        self.version += 1;
    }
}

/// The order of the queue: a greater position goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueuePosition {
    emergency: bool,
    priority: u32,
    number: Reverse<SequenceNumber>,
}

/// Why a change has no permit.
#[derive(Clone, Copy, Debug)]
enum Obstacle {
    /// Another change is in flight or goes first.
    Change(SequenceNumber),
    /// An incident blocks the change.
    Incident(SequenceNumber),
}

impl FreezeState {
    pub(super) fn request_change(&mut self, request: &ChangeRequest) -> Result<Response, RejectReason> {
        let number = self.insert_change(request, ChangeStatus::Queued)?;
        let ChangeRequest { kind, scope, requested_by, .. } = request;
        self.append_audit(number, format!("{kind} at {scope} asked for by {requested_by}"));
        Ok(self.decide(number))
    }

    pub(super) fn request_emergency_change(
        &mut self,
        request: &ChangeRequest,
    ) -> Result<Response, RejectReason> {
        check_name(&request.requested_by)?;
        let first = self.changes.iter_mut().find(|(_, change)| change.awaits_approval_of(request));
        let Some((number, change)) = first else { return self.request_first_approval(request) };
        if change.request.requested_by == request.requested_by {
            return Err(RejectReason::SamePerson);
        }
        let number = *number;
        change.emergency = true;
        change.set_status(ChangeStatus::Queued);
        self.append_audit(number, format!("emergency seconded by {}", request.requested_by));
        Ok(self.decide(number))
    }

    fn request_first_approval(&mut self, request: &ChangeRequest) -> Result<Response, RejectReason> {
        let number = self.insert_change(request, ChangeStatus::AwaitingSecondApproval)?;
        let ChangeRequest { kind, scope, requested_by, .. } = request;
        self.append_audit(number, format!("emergency {kind} at {scope} by {requested_by}"));
        Ok(Response::AwaitingSecondApproval(number))
    }

    fn insert_change(
        &mut self,
        request: &ChangeRequest,
        status: ChangeStatus,
    ) -> Result<SequenceNumber, RejectReason> {
        check_name(&request.requested_by)?;
        if !(1..=MAX_CHANGE_DURATION_MS).contains(&request.max_duration) {
            return Err(RejectReason::InvalidDuration);
        }
        if self.changes.len() >= MAX_CHANGES {
            return Err(RejectReason::CapacityReached);
        }
        let number = self.next_number();
        let request = request.clone();
        let change = Change { request, status, emergency: false, overtaken: 0, version: 0 };
        self.changes.insert(number, change);
        Ok(number)
    }

    /// Grants a queued change its permit, or responds why it has to wait.
    fn decide(&mut self, change: SequenceNumber) -> Response {
        match self.obstacle(change) {
            None => {
                self.grant_permit(change);
                Response::Permitted(change)
            }
            Some(Obstacle::Change(behind)) => Response::Queued { change, behind },
            Some(Obstacle::Incident(incident)) => {
                Response::Blocked { change, incident, retry_after: BLOCKED_RETRY_AFTER_MS }
            }
        }
    }

    /// Why a queued change has no permit, by the rules in the order of [`crate::rules::PRECEDENCE`].
    fn obstacle(&self, number: SequenceNumber) -> Option<Obstacle> {
        let change = self.changes.get(&number)?;
        if let Some(other) = self.overlapping_in_flight(number, change) {
            return Some(Obstacle::Change(other));
        }
        if let Some(incident) = self.incident_blocking(number, change) {
            return Some(Obstacle::Incident(incident));
        }
        self.change_ahead(number, change).map(Obstacle::Change)
    }

    /// The change in flight for which this one waits by [`crate::rules::PrecedenceRule::ExclusiveScope`].
    fn overlapping_in_flight(&self, number: SequenceNumber, change: &Change) -> Option<SequenceNumber> {
        let mut others = self.other_overlapping(number, change);
        others.find(|(_, other)| other.status.is_in_flight()).map(|(other, _)| other)
    }

    /// The first incident that blocks a change. Incidents block neither their remedies nor emergency changes.
    pub(super) fn incident_blocking(
        &self,
        number: SequenceNumber,
        change: &Change,
    ) -> Option<SequenceNumber> {
        let blocking = self.incidents.iter().find(|(_, incident)| incident.blocks(number, change));
        blocking.map(|(incident_number, _)| *incident_number)
    }

    /// The queued change for which this one waits by [`crate::rules::PrecedenceRule::QueueOrder`].
    ///
    /// A change that waits for other changes holds back newer ones that overlap it; otherwise a change with a
    /// wide scope could be starved by narrow ones. A change that waits for an incident holds back none.
    fn change_ahead(&self, number: SequenceNumber, change: &Change) -> Option<SequenceNumber> {
        let own_position = change.queue_position(number);
        let mut others = self.other_overlapping(number, change);
        let ahead = others.find(|(other_number, other)| {
            other.status == ChangeStatus::Queued
                && other.queue_position(*other_number) > own_position
                && self.incident_blocking(*other_number, other).is_none()
        });
        ahead.map(|(other_number, _)| other_number)
    }

    fn other_overlapping<'a>(
        &'a self,
        number: SequenceNumber,
        change: &'a Change,
    ) -> impl Iterator<Item = (SequenceNumber, &'a Change)> {
        let all = self.changes.iter().map(|(other_number, other)| (*other_number, other));
        all.filter(move |(other_number, other)| *other_number != number && other.overlaps(change))
    }

    fn grant_permit(&mut self, number: SequenceNumber) {
        let Some(change) = self.changes.get_mut(&number) else { return };
        change.set_status(ChangeStatus::InFlight);
        let scope = change.request.scope.clone();
        for (_, older) in self.changes.range_mut(..number) {
            if older.status == ChangeStatus::Queued && older.request.scope.overlaps(&scope) {
                older.overtaken += 1;
            }
        }
        self.append_audit(number, "permit given".into());
    }

    /// Grants permits to the queued changes that nothing blocks any more, highest priority first.
    pub(super) fn grant_unblocked_changes(&mut self) {
        while let Some(number) = self.next_unblocked_change() {
            self.grant_permit(number);
        }
    }

    fn next_unblocked_change(&self) -> Option<SequenceNumber> {
        let queued = self.changes.iter().filter(|(_, change)| change.status == ChangeStatus::Queued);
        let mut queued: Vec<(SequenceNumber, &Change)> =
            queued.map(|(number, change)| (*number, change)).collect();
        queued.sort_by_key(|(_, change)| Reverse(change.effective_priority()));
        let unblocked = queued.into_iter().find(|(number, _)| self.obstacle(*number).is_none());
        unblocked.map(|(number, _)| number)
    }

    /// Removes a change and its links to incidents, and appends an audit record with this description.
    pub(super) fn remove_change(
        &mut self,
        number: SequenceNumber,
        description: String,
    ) -> Result<Response, RejectReason> {
        self.changes.remove(&number).ok_or(RejectReason::NotFound)?;
        for incident in self.incidents.values_mut() {
            incident.remedies.remove(&number);
        }
        Ok(self.append_audit(number, description))
    }

    pub(super) fn expire_change(
        &mut self,
        number: SequenceNumber,
        version: u64,
    ) -> Result<Response, RejectReason> {
        let change = self.changes.get_mut(&number).ok_or(RejectReason::NotFound)?;
        if change.version != version {
            return Err(RejectReason::Superseded);
        }
        match change.status {
            // The change may be incomplete. It stays, and overlapping changes wait, until a person has
            // checked it.
            ChangeStatus::Reacting => {
                change.set_status(ChangeStatus::Overdue);
                Ok(self.append_audit(number, "stuck".into()))
            }
            ChangeStatus::Overdue => Err(RejectReason::Superseded),
            ChangeStatus::InFlight => self.remove_change(number, "its time ran out".into()),
            ChangeStatus::Queued | ChangeStatus::AwaitingSecondApproval => {
                self.remove_change(number, "nobody waits for it any more".into())
            }
        }
    }
}
