//! Timeouts of incidents and changes. Replicas run the timers and propose the commands for those that have
//! expired.

use super::{Change, ChangeStatus, FreezeCommand, FreezeState, SequenceNumber};
use crate::Millis;

/// How long a change in flight that an incident blocks may take to react before it is overdue, in
/// milliseconds.
pub const REACTION_TIMEOUT_MS: Millis = 60_000;
/// How long a resolved incident still blocks changes, in milliseconds. If it recurs within this time, it is
/// reopened.
pub const INCIDENT_COOLDOWN_MS: Millis = 30_000;
/// How long an emergency change waits for a second person, in milliseconds.
pub const SECOND_APPROVAL_TIMEOUT_MS: Millis = 60_000;

/// Identifies a timer by what it waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKey {
    /// The end of an incident's cooldown.
    Incident(SequenceNumber),
    /// The end of the time that a change may stay in its status.
    Change(SequenceNumber),
}

impl Change {
    /// How long the change may stay in its status, in milliseconds. The limit in the queue is the same as in
    /// flight.
    fn status_timeout(&self) -> Millis {
        match self.status {
            ChangeStatus::AwaitingSecondApproval => SECOND_APPROVAL_TIMEOUT_MS,
            ChangeStatus::Reacting => REACTION_TIMEOUT_MS,
            ChangeStatus::Queued | ChangeStatus::InFlight | ChangeStatus::Overdue => {
                self.request.max_duration
            }
        }
    }
}

impl FreezeState {
    /// All timers that must run: each with its key, the version of its incident or change, and the timeout in
    /// milliseconds.
    pub fn timers(&self) -> impl Iterator<Item = (TimerKey, u64, Millis)> + '_ {
        let cooldowns =
            self.incidents.iter().filter(|(_, incident)| incident.cooling_down).map(|(number, incident)| {
                (TimerKey::Incident(*number), incident.version, INCIDENT_COOLDOWN_MS)
            });
        let changes = self
            .changes
            .iter()
            .filter(|(_, change)| change.status != ChangeStatus::Overdue)
            .map(|(number, change)| (TimerKey::Change(*number), change.version, change.status_timeout()));
        cooldowns.chain(changes)
    }

    /// The command to propose when the timer for this version of the incident or change has expired.
    pub fn expiry_command(key: TimerKey, version: u64) -> FreezeCommand {
        match key {
            TimerKey::Incident(incident) => FreezeCommand::CooldownElapsed { incident, version },
            TimerKey::Change(change) => FreezeCommand::ExpireChange { change, version },
        }
    }
}
