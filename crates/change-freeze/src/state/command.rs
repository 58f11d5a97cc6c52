//! Commands to the replicated state, and the responses to them.

use super::{ChangeRequest, SequenceNumber};
use crate::rules::Severity;
use crate::scope::Scope;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Who issued a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Requester {
    /// A person, by the one name that all of their aliases stand for.
    Person(String),
    /// The coordinator, with this token. Whether it is the newest is checked before the command is applied.
    Coordinator(u64),
}

impl Requester {
    /// Whether this is the coordinator and not a person.
    pub(super) fn is_coordinator(&self) -> bool {
        matches!(self, Requester::Coordinator(_))
    }
}

impl fmt::Display for Requester {
    /// The form in audit records. These are replicated, so every version has to write the same bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requester::Person(name) => write!(f, "Person({name:?})"),
            Requester::Coordinator(token) => write!(f, "Rule({token})"),
        }
    }
}

/// A command to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FreezeCommand {
    /// Opens an incident, or updates the one that the same kind of requester opened for the same scope.
    OpenIncident {
        /// The severity; that of a known incident is only raised.
        severity: Severity,
        /// The part of the fleet that it concerns.
        scope: Scope,
        /// What was observed.
        evidence: String,
        /// Who opens it.
        opened_by: Requester,
    },
    /// A person takes responsibility for an incident.
    AssignIncident {
        /// The incident.
        incident: SequenceNumber,
        /// The person.
        person: String,
    },
    /// An incident is over. It still blocks changes until its cooldown has elapsed.
    ResolveIncident {
        /// The incident.
        incident: SequenceNumber,
        /// Who resolves it. The coordinator resolves only what it has opened and nobody was assigned to.
        resolved_by: Requester,
    },
    /// A replica has waited for an incident's cooldown.
    CooldownElapsed {
        /// The incident.
        incident: SequenceNumber,
        /// Its version when the timer started.
        version: u64,
    },
    /// Links a change to an incident as its remedy: the incident does not block it.
    LinkRemedy {
        /// The incident.
        incident: SequenceNumber,
        /// The change.
        change: SequenceNumber,
        /// Who links them.
        person: String,
    },
    /// Requests a permit.
    RequestChange(ChangeRequest),
    /// Requests a permit in spite of incidents. It is granted to the second of two different people.
    RequestEmergencyChange(ChangeRequest),
    /// A change is complete, was rolled back, or is no longer wanted.
    FinishChange {
        /// The change.
        change: SequenceNumber,
    },
    /// A replica has waited for as long as a change may stay in its status.
    ExpireChange {
        /// The change.
        change: SequenceNumber,
        /// Its version when the timer started.
        version: u64,
    },
    /// A person has checked an overdue change: it is over.
    ClearOverdueChange {
        /// The change.
        change: SequenceNumber,
        /// The person.
        person: String,
    },
    /// A signal of the platform. It needs no permit and is only recorded.
    RecordSignal {
        /// The signal and the instance that received it.
        description: String,
    },
}

/// The response to a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// The command took effect on this incident or change.
    Accepted(SequenceNumber),
    /// The change with this number has its permit.
    Permitted(SequenceNumber),
    /// The change waits for another one.
    Queued {
        /// The change's number.
        change: SequenceNumber,
        /// The change that it waits for.
        behind: SequenceNumber,
    },
    /// The emergency change with this number waits for a second person.
    AwaitingSecondApproval(SequenceNumber),
    /// The change is blocked by an incident.
    Blocked {
        /// The change's number, under which it can be linked as a remedy.
        change: SequenceNumber,
        /// The incident.
        incident: SequenceNumber,
        /// When to request again, in milliseconds.
        retry_after: Millis,
    },
    /// The command had no effect.
    Rejected(RejectReason),
}

/// Why a command had no effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum RejectReason {
    /// There is no such incident or change.
    #[error("there is none of that number")]
    NotFound,
    /// The incident or change has a newer version or another status than the command expects.
    #[error("it has changed since")]
    Superseded,
    /// The coordinator may not resolve an incident that a person has opened or was assigned to.
    #[error("a person has opened it or taken it on, so only a person closes it")]
    RequiresPerson,
    /// The second approval of an emergency change came from the same person.
    #[error("the same person has asked already; an emergency takes two")]
    SamePerson,
    /// A name is empty, too long or has characters that are not allowed.
    #[error("{}", crate::NAME_RULE)]
    InvalidName,
    /// The duration of a change is zero or too long.
    #[error("a change runs for 1 ms to a day")]
    InvalidDuration,
    /// The maximum number of incidents or changes is reached.
    #[error("there are as many incidents or changes as may be open")]
    CapacityReached,
}
