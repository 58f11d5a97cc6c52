//! The replicated state of incidents, changes and permits.
//!
//! A command may be applied late or more than once, so each one is checked against the current state.
//! Incidents and changes share one sequence of numbers; a permit is identified by the number of its change.

mod audit;
mod change;
mod command;
mod incident;
mod timer;

pub use audit::{AuditRecord, MAX_AUDIT_RECORDS};
pub use change::{
    Change, ChangeRequest, ChangeStatus, BLOCKED_RETRY_AFTER_MS, MAX_CHANGES, MAX_CHANGE_DURATION_MS,
};
pub use command::{FreezeCommand, RejectReason, Requester, Response};
pub use incident::{Incident, MAX_INCIDENTS};
pub use timer::{TimerKey, INCIDENT_COOLDOWN_MS, REACTION_TIMEOUT_MS, SECOND_APPROVAL_TIMEOUT_MS};

use crate::is_valid_name;
use crate::rules::Reaction;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Identifies an incident or a change. Numbers are assigned in increasing order, from 1, and are never
/// reused.
pub type SequenceNumber = u64;

/// All incidents, changes and audit records. Replicas that apply the same commands in the same order have
/// equal states. The order of the fields is the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FreezeState {
    last_number: SequenceNumber,
    incidents: BTreeMap<SequenceNumber, Incident>,
    changes: BTreeMap<SequenceNumber, Change>,
    audit_sequence: u64,
    audit_log: VecDeque<AuditRecord>,
}

impl FreezeState {
    /// Applies a committed command, then grants the permits of queued changes that nothing blocks any more.
    pub fn apply(&mut self, command: &FreezeCommand) -> Response {
        let response = self.execute(command).unwrap_or_else(Response::Rejected);
        self.grant_unblocked_changes();
        response
    }

    fn execute(&mut self, command: &FreezeCommand) -> Result<Response, RejectReason> {
        match command {
            FreezeCommand::OpenIncident { severity, scope, evidence, opened_by } => {
                self.open_incident(*severity, scope, evidence, opened_by)
            }
            FreezeCommand::AssignIncident { incident, person } => self.assign_incident(*incident, person),
            FreezeCommand::ResolveIncident { incident, resolved_by } => {
                self.resolve_incident(*incident, resolved_by)
            }
            FreezeCommand::CooldownElapsed { incident, version } => self.end_cooldown(*incident, *version),
            FreezeCommand::LinkRemedy { incident, change, person } => {
                self.link_remedy(*incident, *change, person)
            }
            FreezeCommand::RequestChange(request) => self.request_change(request),
            FreezeCommand::RequestEmergencyChange(request) => self.request_emergency_change(request),
            FreezeCommand::FinishChange { change } => self.remove_change(*change, "done".into()),
            FreezeCommand::ExpireChange { change, version } => self.expire_change(*change, *version),
            FreezeCommand::ClearOverdueChange { change, person } => {
                check_name(person)?;
                self.remove_change(*change, format!("cleared by {person}"))
            }
            FreezeCommand::RecordSignal { description } => Ok(self.record_signal(description)),
        }
    }

    fn next_number(&mut self) -> SequenceNumber {
        self.last_number += 1;
        self.last_number
    }

    /// All incidents that are open or cooling down, by number.
    pub fn incidents(&self) -> &BTreeMap<SequenceNumber, Incident> {
        &self.incidents
    }

    /// All changes that are queued or in flight, by number.
    pub fn changes(&self) -> &BTreeMap<SequenceNumber, Change> {
        &self.changes
    }

    /// The last [`MAX_AUDIT_RECORDS`] audit records, oldest first.
    pub fn audit_log(&self) -> &VecDeque<AuditRecord> {
        &self.audit_log
    }

    /// Describes the first violated invariant, or returns `None`: two changes are in flight whose scopes
    /// overlap, or a change is in flight although an incident blocks it. Tests and fault-injection scenarios
    /// call this after each command.
    pub fn check_invariants(&self) -> Option<String> {
        self.overlapping_changes().or_else(|| self.blocked_change_in_flight())
    }

    fn overlapping_changes(&self) -> Option<String> {
        let in_flight: Vec<_> =
            self.changes.iter().filter(|(_, change)| change.status.is_in_flight()).collect();
        for (index, (number, change)) in in_flight.iter().enumerate() {
            let mut others = in_flight[index + 1..].iter();
            if let Some((other, _)) = others.find(|(_, other)| other.overlaps(change)) {
                return Some(format!("changes {number} and {other} are in flight at once"));
            }
        }
        None
    }

    fn blocked_change_in_flight(&self) -> Option<String> {
        let (number, _) = self.changes.iter().find(|(number, change)| {
            change.status == ChangeStatus::InFlight
                && change.request.reaction != Reaction::Finish
                && self.incident_blocking(**number, change).is_some()
        })?;
        Some(format!("change {number} is in flight although an incident blocks it"))
    }
}

fn check_name(name: &str) -> Result<(), RejectReason> {
    if is_valid_name(name) {
        Ok(())
    } else {
        Err(RejectReason::InvalidName)
    }
}

/// The first `max_chars` characters of a text, without control characters.
fn printable_prefix(text: &str, max_chars: usize) -> String {
    text.chars().filter(|c| !c.is_control()).take(max_chars).collect()
}
