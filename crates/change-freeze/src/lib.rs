//! Incidents and changes of the fleet, and the permits that keep them apart.
//!
//! Decisions without I/O and without a clock: expiry is proposed by a replica that has waited, as with leases.
//!
//! - [`scope`]: the part of the fleet that a change or an incident concerns, and whether two of them overlap.
//! - [`rules`]: which changes an incident blocks, and the order in which the rules apply.
//! - [`state`]: the replicated state. It enforces the invariants whatever a coordinator believes: no permit while an
//!   incident blocks it, no two changes in flight whose scopes overlap, no incident dropped before its cooldown.
//! - [`detection`]: how a coordinator derives incidents from the instances' reports.

pub mod detection;
pub mod rules;
pub mod scope;
pub mod state;

/// A length of time or, in [`detection`], a reading of one process's monotonic clock; in milliseconds.
pub type Millis = u64;

/// Maximum length of a name from outside, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The rule of [`is_valid_name`], for people.
pub const NAME_RULE: &str = "a name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'";

/// Whether a name may be part of the replicated state: it is bounded and prints on one line.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_alphanumeric() || "-._/@".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}
