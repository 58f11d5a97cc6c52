//! Which changes an incident blocks.
//!
//! The rules apply in the order of [`PRECEDENCE`], and the first that matches decides. The operator
//! documentation shows the same table, and a test compares the two.

use crate::scope::Scope;
use serde::{Deserialize, Serialize};
use std::fmt;
use std::str::FromStr;

/// The severity of an incident.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Severity {
    /// Blocks changes that reduce capacity and whose scope overlaps the incident's.
    Minor,
    /// Blocks all changes whose scope overlaps the incident's.
    Major,
    /// Blocks all changes of the fleet.
    Critical,
}

/// A kind of deliberate change to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum ChangeKind {
    /// New settings in the operator file.
    OperatorFile,
    /// A new version of the proxy program.
    Upgrade,
    /// Draining an instance.
    Drain,
    /// A maintenance window of a site.
    Window,
    /// Replacing a replica of the coordination state.
    Replica,
    /// A roll-out of settings.
    Settings,
}

/// Defines a keyword for each variant of an enum, with `as_str`, `Display` and `FromStr`. Keywords are stored
/// in audit records and read from admin commands, so they must not change.
macro_rules! keyword_enum {
    ($enum:ident, $noun:literal, $($variant:ident = $keyword:literal),+) => {
        impl $enum {
            /// All variants, in the order of their declaration.
            pub const ALL: &'static [$enum] = &[$($enum::$variant),+];

            /// The variant's keyword, as in admin commands and audit records.
            pub fn as_str(self) -> &'static str {
                match self { $($enum::$variant => $keyword),+ }
            }
        }

        impl fmt::Display for $enum {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(self.as_str())
            }
        }

        impl FromStr for $enum {
            type Err = ParseKeywordError;

            fn from_str(text: &str) -> Result<$enum, ParseKeywordError> {
                let found = $enum::ALL.iter().find(|value| value.as_str() == text).copied();
                found.ok_or_else(|| ParseKeywordError {
                    noun: $noun,
                    word: text.chars().take(crate::MAX_NAME_BYTES).collect(),
                    expected: $enum::ALL.iter().map(|value| value.as_str()).collect::<Vec<_>>().join(", "),
                })
            }
        }
    };
}

/// The error for a text that is none of an enum's keywords.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{word:?} is no {noun}: {expected}")]
pub struct ParseKeywordError {
    /// What kind of keyword was expected.
    noun: &'static str,
    /// The text, truncated.
    word: String,
    /// The valid keywords, separated by commas.
    expected: String,
}

keyword_enum!(Severity, "severity", Minor = "minor", Major = "major", Critical = "critical");
keyword_enum!(
    ChangeKind,
    "kind of change",
    OperatorFile = "operator-file",
    Upgrade = "upgrade",
    Drain = "drain",
    Window = "window",
    Replica = "keeper",
    Settings = "settings"
);

/// What a change in flight does when an incident opens that blocks it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Reaction {
    /// The change continues to its end.
    Finish,
    /// The change pauses in its current state.
    Pause,
    /// The change is rolled back.
    Undo,
}

keyword_enum!(Reaction, "reaction", Finish = "finish", Pause = "pause", Undo = "undo");

impl ChangeKind {
    /// Whether the fleet has less capacity while the change is in flight.
    pub fn reduces_capacity(self) -> bool {
        matches!(self, ChangeKind::Upgrade | ChangeKind::Drain | ChangeKind::Window | ChangeKind::Replica)
    }
}

/// A rule that decides whether a change gets its permit. `Display` writes the name that the operator
/// documentation gives the rule.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum PrecedenceRule {
    /// Two changes whose scopes overlap are never in flight at once.
    ExclusiveScope,
    /// A change that is linked to an incident as its remedy is not blocked by it.
    Remedy,
    /// An emergency change that two people have requested is not blocked by incidents.
    Emergency,
    /// A critical incident blocks all changes.
    Critical,
    /// A major incident blocks all changes that overlap its scope.
    Major,
    /// A minor incident blocks changes that reduce capacity in its scope.
    Minor,
    /// A queued change that is older or has a higher priority goes first.
    QueueOrder,
}

/// A row of the [`PRECEDENCE`] table. Name and description stand in the operator documentation letter for
/// letter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PrecedenceEntry {
    /// The rule that this row describes.
    pub rule: PrecedenceRule,
    /// The rule's name in the operator documentation.
    pub name: &'static str,
    /// The rule's text in the operator documentation.
    pub description: &'static str,
}

const fn entry(rule: PrecedenceRule, name: &'static str, description: &'static str) -> PrecedenceEntry {
    PrecedenceEntry { rule, name, description }
}

/// The rules in the order in which they apply.
pub const PRECEDENCE: &[PrecedenceEntry] = &[
    entry(
        PrecedenceRule::ExclusiveScope,
        "apart",
        "waits while a change whose scope overlaps is in flight, incident or none",
    ),
    entry(PrecedenceRule::Remedy, "remedy", "passes an incident that names it"),
    entry(
        PrecedenceRule::Emergency,
        "emergency",
        "passes all incidents, once two people have requested it within a minute",
    ),
    entry(PrecedenceRule::Critical, "critical", "rejected while a critical incident is active anywhere"),
    entry(PrecedenceRule::Major, "major", "rejected while a major incident is active whose scope overlaps"),
    entry(
        PrecedenceRule::Minor,
        "minor",
        "rejected if it takes capacity, while a minor incident is active whose scope overlaps",
    ),
    entry(
        PrecedenceRule::QueueOrder,
        "turn",
        "waits for an earlier queued change, or one of higher priority, whose scope overlaps",
    ),
];

/// The rule by which an incident of this severity and scope blocks a change; `None` if it does not block it.
/// Whether the change is a remedy or an emergency is not considered.
pub fn blocking_rule(
    severity: Severity,
    incident_scope: &Scope,
    kind: ChangeKind,
    change_scope: &Scope,
) -> Option<PrecedenceRule> {
    let overlaps = || incident_scope.overlaps(change_scope);
    match severity {
        Severity::Critical => Some(PrecedenceRule::Critical),
        Severity::Major => overlaps().then_some(PrecedenceRule::Major),
        Severity::Minor => (overlaps() && kind.reduces_capacity()).then_some(PrecedenceRule::Minor),
    }
}

impl fmt::Display for PrecedenceRule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let entry = PRECEDENCE.iter().find(|entry| entry.rule == *self);
        f.write_str(entry.map_or("", |entry| entry.name))
    }
}
