//! Admin commands that coordination answers; each is one line from the admin address.
//!
//! * [`parse`] converts a line into an [`AdminCommand`],
//! * [`render`] formats the answers.

mod parser;
pub mod render;

use hillstall_change_freeze::rules::ParseKeywordError;
use hillstall_change_freeze::scope::ParseScopeError;
use hillstall_consensus::state::Command;
use hillstall_lease::{InvalidLeaseName, LeaseName};
use std::collections::BTreeMap;
use std::num::ParseIntError;

pub use parser::parse;

/// A parsed admin command.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCommand {
    /// A query, answered from this instance's local copy of the replicated state.
    StateQuery(StateQuery),
    /// A request to this instance to hand over a lease that it holds.
    HandOver(LeaseName),
    /// A command to propose to the replicas.
    Propose(Command),
}

/// What a query shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateQuery {
    /// The role of this instance, the leases, and the traffic fraction of each site.
    Status,
    /// All maintenance windows.
    Windows,
    /// All incidents.
    Incidents,
    /// All changes.
    Changes,
    /// The replicated audit records.
    AuditRecords,
}

/// Why a line is not a valid command. The texts are answers at the admin address, which clients read, so they
/// stay as they are.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseCommandError {
    /// The command or its verb is unknown.
    #[error(
        "there are FLEET [HANDOVER DUTY], WINDOW [PLAN|CANCEL|END], \
         INCIDENT [OPEN|TAKE|RESOLVE|REMEDY], CHANGE [ASK|EMERGENCY|DONE|CLEAR] and RECORD"
    )]
    UnknownCommand,
    /// An argument is missing.
    #[error("{argument} is missing")]
    MissingArgument {
        /// The argument as named in the answer, such as "the scope".
        argument: &'static str,
    },
    /// A required option is missing.
    #[error("{option}= is missing")]
    MissingOption {
        /// The option's name.
        option: &'static str,
    },
    /// The command does not take this option.
    #[error("{option}= has no meaning here")]
    UnknownOption {
        /// The option's name.
        option: String,
    },
    /// The value of an argument or option is invalid.
    #[error("{name}: {source}")]
    InvalidValue {
        /// The argument or option as named in the answer.
        name: &'static str,
        /// Why the value is invalid.
        source: InvalidValue,
    },
    /// The argument is not a valid name of a lease.
    #[error(transparent)]
    InvalidLeaseName(#[from] InvalidLeaseName),
    /// The operator file lists people, and none of them has this name.
    #[error("{name:?} is nobody of fleet.people")]
    UnknownPerson {
        /// The unknown name.
        name: String,
    },
}

/// Why a value is invalid.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// Not a whole number, or out of range.
    #[error(transparent)]
    Number(#[from] ParseIntError),
    /// Not one of the expected keywords.
    #[error(transparent)]
    Keyword(#[from] ParseKeywordError),
    /// Not a valid scope.
    #[error(transparent)]
    Scope(#[from] ParseScopeError),
    /// Not a duration with a unit.
    #[error(transparent)]
    Duration(#[from] humantime::DurationError),
    /// Not a point in time.
    #[error("{0:?} is no moment, like 2026-05-03T02:00[Europe/Berlin]")]
    Timestamp(String),
    /// Not an overrun policy.
    #[error("{0:?} is none of return, hold")]
    OverrunPolicy(String),
}

/// Maps each name of a person to the person's main name. If the map is empty, every name is accepted as a
/// person.
pub struct PersonDirectory<'a>(pub &'a BTreeMap<String, String>);

impl PersonDirectory<'_> {
    fn main_name(&self, name: &str) -> Result<String, ParseCommandError> {
        if self.0.is_empty() {
            return Ok(name.to_owned());
        }
        let main_name = self.0.get(name).cloned();
        main_name.ok_or_else(|| ParseCommandError::UnknownPerson { name: name.to_owned() })
    }
}
