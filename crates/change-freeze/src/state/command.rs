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
    /// A person, by their main name; aliases are resolved before the command is proposed.
    Person(String),
    /// The coordinator, with the fencing token of its lease. A command with an older token is rejected before
    /// it gets here.
    Coordinator(u64),
}

impl Requester {
    pub(super) fn is_coordinator(&self) -> bool {
        matches!(self, Requester::Coordinator(_))
    }
}

impl fmt::Display for Requester {
    /// The form in audit records. They are replicated, so all versions must write the same bytes.
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
    /// Opens an incident, or updates the one that the same kind of requester has opened for the same scope.
    OpenIncident {
        /// The severity. An update never lowers an incident's severity.
        severity: Severity,
        /// The part of the fleet that the incident concerns.
        scope: Scope,
        /// What was observed, for people.
        evidence: String,
        /// Who opens the incident.
        opened_by: Requester,
    },
    /// A person takes responsibility for an incident.
    AssignIncident {
        /// The number of the incident that the person takes responsibility for.
        incident: SequenceNumber,
        /// The main name of the person who takes responsibility.
        person: String,
    },
    /// An incident is over. It still blocks changes until its cooldown has elapsed.
    ResolveIncident {
        /// The number of the incident to resolve.
        incident: SequenceNumber,
        /// Who resolves the incident. The coordinator may resolve only incidents that it has opened and that
        /// have no assignee.
        resolved_by: Requester,
    },
    /// An incident's cooldown has elapsed, as measured by a replica.
    CooldownElapsed {
        /// The number of the incident to remove, which is resolved.
        incident: SequenceNumber,
        /// The incident's version when the timer started.
        version: u64,
    },
    /// Links a change to an incident as its remedy, so that the incident does not block the change.
    LinkRemedy {
        /// The number of the incident that no longer blocks the change.
        incident: SequenceNumber,
        /// The number of the change that is the remedy.
        change: SequenceNumber,
        /// The main name of the person who links them.
        person: String,
    },
    /// Requests a permit for a change.
    RequestChange(ChangeRequest),
    /// Requests a permit that incidents don't block. It is granted once two different people have requested
    /// the same change.
    RequestEmergencyChange(ChangeRequest),
    /// A change is complete, was rolled back, or is no longer wanted.
    FinishChange {
        /// The number of the change to remove.
        change: SequenceNumber,
    },
    /// A change has stayed in its status for the maximum time, as measured by a replica.
    ExpireChange {
        /// The number of the change whose time in its status has run out.
        change: SequenceNumber,
        /// The change's version when the timer started.
        version: u64,
    },
    /// A person has checked that an overdue change is over.
    ClearOverdueChange {
        /// The number of the overdue change.
        change: SequenceNumber,
        /// The main name of the person who has checked the change.
        person: String,
    },
    /// The platform has sent an instance a signal. This needs no permit and is only recorded in the audit
    /// log.
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
        /// The number of the change that waits.
        change: SequenceNumber,
        /// The number of another change, in flight or ahead in the queue, for which `change` waits.
        behind: SequenceNumber,
    },
    /// The emergency change with this number waits for a second person.
    AwaitingSecondApproval(SequenceNumber),
    /// The change stays queued because an incident blocks it.
    Blocked {
        /// The number of the queued change, under which it can be linked as a remedy.
        change: SequenceNumber,
        /// The number of the incident that blocks the change.
        incident: SequenceNumber,
        /// After how many milliseconds to request again.
        retry_after: Millis,
    },
    /// The command had no effect.
    Rejected(RejectReason),
}

/// Why a command had no effect. The texts are answers of admin commands, which clients read, so they stay as
/// they are.
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
