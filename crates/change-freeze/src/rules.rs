//! Which changes an incident bars. The rules in [`PRECEDENCE`] are asked in this order, and the first that speaks
//! decides; the operators' page shows the same table, and a test holds the two together.

use crate::scope::Scope;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// How bad an incident is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Severity {
    /// Bars what takes capacity away from the part it touches.
    Minor,
    /// Bars every change of the part it touches.
    Major,
    /// Bars every change of the fleet.
    Critical,
}

/// What alters the fleet on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ChangeKind {
    /// A new operator file.
    OperatorFile,
    /// A new version of the program.
    Upgrade,
    /// A copy that is emptied.
    Drain,
    /// The maintenance of a site.
    Window,
    /// A keeper that is replaced.
    Replica,
    /// A roll-out of settings.
    Settings,
}

/// Defines the words of a type that people write, both ways.
macro_rules! words {
    ($of:ident, $what:literal, $($value:ident = $word:literal),+) => {
        impl $of {
            /// All of them, in order.
            pub const ALL: &'static [$of] = &[$($of::$value),+];

            /// The word for it.
            pub fn word(self) -> &'static str {
                match self { $($of::$value => $word),+ }
            }
        }

        impl fmt::Display for $of {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.word())
            }
        }

        impl FromStr for $of {
            type Err = ParseWordError;

            fn from_str(text: &str) -> Result<$of, ParseWordError> {
                let found = $of::ALL.iter().find(|value| value.word() == text).copied();
                found.ok_or_else(|| ParseWordError {
                    what: $what,
                    word: text.chars().take(crate::MAX_NAME_BYTES).collect(),
                    words: $of::ALL.iter().map(|value| value.word()).collect::<Vec<_>>().join(", "),
                })
            }
        }
    };
}

/// A word that is not known.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{word:?} is no {what}: {words}")]
pub struct ParseWordError {
    what: &'static str,
    word: String,
    words: String,
}

words!(Severity, "severity", Minor = "minor", Major = "major", Critical = "critical");
words!(
    ChangeKind,
    "kind of change",
    OperatorFile = "operator-file",
    Upgrade = "upgrade",
    Drain = "drain",
    Window = "window",
    Replica = "keeper",
    Settings = "settings"
);

/// What a change in flight does when an incident opens that bars it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reaction {
    /// It goes on to its end.
    Finish,
    /// It stops where it stands.
    Pause,
    /// It takes back what it has done.
    Undo,
}

words!(Reaction, "reaction", Finish = "finish", Pause = "pause", Undo = "undo");

impl ChangeKind {
    /// Whether the fleet can bear less while it lasts.
    pub fn takes_capacity(self) -> bool {
        matches!(self, ChangeKind::Upgrade | ChangeKind::Drain | ChangeKind::Window | ChangeKind::Replica)
    }
}

/// A rule, by its name in the operators' page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Rule {
    /// Scopes that meet are never changed by two at once.
    ExclusiveScope,
    /// What an incident names as its remedy passes it.
    Remedy,
    /// What two people have asked for as an emergency passes incidents.
    Emergency,
    /// A critical incident bars all.
    Critical,
    /// A major incident bars all changes that meet its scope.
    Major,
    /// A minor incident bars what takes capacity from its scope.
    Minor,
    /// An older or worthier change that waits goes first.
    QueueOrder,
}

/// The rules in the order in which they are asked.
pub const PRECEDENCE: &[(Rule, &str, &str)] = &[
    (Rule::ExclusiveScope, "apart", "waits while a change whose scope meets is in flight, incident or none"),
    (Rule::Remedy, "remedy", "passes an incident that names it"),
    (Rule::Emergency, "emergency", "passes all incidents, once two people have asked for it within a minute"),
    (Rule::Critical, "critical", "refused while a critical incident is active anywhere"),
    (Rule::Major, "major", "refused while a major incident is active whose scope meets"),
    (
        Rule::Minor,
        "minor",
        "refused if it takes capacity, while a minor incident is active whose scope meets",
    ),
    (Rule::QueueOrder, "turn", "waits for an earlier or worthier change in line whose scope meets"),
];

/// The rule by which an incident bars a change, remedies and emergencies aside.
pub fn blocking_rule(severity: Severity, incident: &Scope, kind: ChangeKind, change: &Scope) -> Option<Rule> {
    match severity {
        Severity::Critical => Some(Rule::Critical),
        Severity::Major => Some(Rule::Major).filter(|_| incident.overlaps(change)),
        Severity::Minor => Some(Rule::Minor).filter(|_| incident.overlaps(change) && kind.takes_capacity()),
    }
}

impl fmt::Display for Rule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let name = PRECEDENCE.iter().find(|(rule, ..)| rule == self).map_or("", |(_, name, _)| name);
        f.write_str(name)
    }
}
