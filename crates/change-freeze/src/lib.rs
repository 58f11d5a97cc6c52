//! The change freeze: incidents of the fleet block changes to it, and each change needs a permit.
//!
//! This crate has no I/O and no clock. Entries expire when a replica that has waited for the timeout proposes
//! a command, as with leases.
//!
//! - [`scope`]: the part of the fleet that a change or an incident concerns, and whether two of them overlap.
//! - [`rules`]: which changes an incident blocks, and the order in which the rules apply.
//! - [`state`]: the replicated state. It enforces the invariants even if a coordinator acts on outdated
//!   information: no permit while an incident blocks the change, no two changes in flight whose scopes
//!   overlap, no incident removed before its cooldown has elapsed.
//! - [`detection`]: how a coordinator derives incidents from the instances' reports.

pub mod detection;
pub mod rules;
pub mod scope;
pub mod state;

/// A duration or, in [`detection`], a reading of one process's monotonic clock; in milliseconds.
pub type Millis = u64;

/// Maximum length in bytes of a name that a person or a settings file gives.
pub const MAX_NAME_BYTES: usize = 64;

/// The rule that [`is_valid_name`] checks, as shown to people. Clients of the admin address read this text.
pub const NAME_RULE: &str = "a name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'";

/// Whether a name may be part of the replicated state: its length is bounded, and it prints on one line
/// without spaces.
pub fn is_valid_name(name: &str) -> bool {
    let is_allowed = |c: char| c.is_alphanumeric() || "-._/@".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(is_allowed)
}
