//! Admin commands: lines of the second address that belong to coordination.
//!
//! * `parse` reads a line into an [`AdminCommand`],
//! * [`render`] writes the answers.

mod parser;
pub mod render;

use hillstall_change_freeze::rules::ParseKeywordError;
use hillstall_change_freeze::scope::ParseScopeError;
use hillstall_consensus::state::Command;
use hillstall_lease::{InvalidLeaseName, LeaseName};
use std::collections::BTreeMap;
use std::num::ParseIntError;

pub use parser::parse;

/// A parsed line.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCommand {
    /// Answered by this instance from the state that it has.
    StateQuery(StateQuery),
    /// This instance gives a lease up.
    HandOver(LeaseName),
    /// Proposed to the replicas.
    Propose(Command),
}

/// What a query lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StateQuery {
    /// This instance, the leases, and the fraction of each site.
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

/// Why a line can't be carried out.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum ParseCommandError {
    /// No such command.
    #[error(
        "there are FLEET [HANDOVER DUTY], WINDOW [PLAN|CANCEL|END], \
         INCIDENT [OPEN|TAKE|RESOLVE|REMEDY], CHANGE [ASK|EMERGENCY|DONE|CLEAR] and RECORD"
    )]
    UnknownCommand,
    /// An argument is missing.
    #[error("{argument} is missing")]
    MissingArgument {
        /// The argument.
        argument: &'static str,
    },
    /// An option without which the command has no meaning is missing.
    #[error("{option}= is missing")]
    MissingOption {
        /// The option's name.
        option: &'static str,
    },
    /// The command has no such option.
    #[error("{option}= has no meaning here")]
    UnknownOption {
        /// The option's name.
        option: String,
    },
    /// An argument or option has a value that can't be read.
    #[error("{name}: {source}")]
    InvalidValue {
        /// The argument or option.
        name: &'static str,
        /// What is wrong with its value.
        source: InvalidValue,
    },
    /// A lease of that name can't exist.
    #[error(transparent)]
    InvalidLeaseName(#[from] InvalidLeaseName),
    /// The operator file lists people, and none has this name.
    #[error("{name:?} is nobody of fleet.people")]
    UnknownPerson {
        /// The name.
        name: String,
    },
}

/// Why a value can't be read.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum InvalidValue {
    /// Not a whole number, or out of range.
    #[error(transparent)]
    Number(#[from] ParseIntError),
    /// Not one of the known words.
    #[error(transparent)]
    Word(#[from] ParseKeywordError),
    /// Not a scope.
    #[error(transparent)]
    Scope(#[from] ParseScopeError),
    /// Not a duration with its unit.
    #[error(transparent)]
    Duration(#[from] humantime::DurationError),
    /// Not a point in time.
    #[error("{0:?} is no moment, like 2026-05-03T02:00[Europe/Berlin]")]
    Timestamp(String),
    /// Not an overrun policy.
    #[error("{0:?} is none of return, hold")]
    OverrunPolicy(String),
}

/// Each person's main name by all of their names. If it is empty, any name is a person.
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
