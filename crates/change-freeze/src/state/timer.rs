//! What expires by itself. Replicas run the timers and propose the commands.

use super::{Change, ChangeStatus, FreezeCommand, FreezeState, SequenceNumber};
use crate::Millis;

/// How long a change that an incident blocks in flight has to react before it is overdue, in milliseconds.
pub const REACTION_TIMEOUT_MS: Millis = 60_000;
/// How long a resolved incident still blocks changes, in milliseconds: one that recurs in this time is the same incident.
pub const INCIDENT_COOLDOWN_MS: Millis = 30_000;
/// How long an emergency change waits for a second person, in milliseconds.
pub const SECOND_APPROVAL_TIMEOUT_MS: Millis = 60_000;

/// What a timer waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKey {
    /// The end of an incident's cooldown.
    Incident(SequenceNumber),
    /// The end of the time that a change may stay in its status.
    Change(SequenceNumber),
}

impl Change {
    /// How long it may stay in its status, in milliseconds. It may be queued as long as it may be in flight.
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
    /// Everything that expires: the timer's key, the entry's version and the time to live, in milliseconds.
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

    /// The command to propose when a timer for this version has expired.
    pub fn expiry_command(key: TimerKey, version: u64) -> FreezeCommand {
        match key {
            TimerKey::Incident(incident) => FreezeCommand::CooldownElapsed { incident, version },
            TimerKey::Change(change) => FreezeCommand::ExpireChange { change, version },
        }
    }
}
