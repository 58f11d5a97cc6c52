//! What the fleet may change on purpose, and when. Decisions without I/O and without clocks: what runs out is proposed
//! by a keeper that has waited, as with leases.
//!
//! - [`scope`]: what a change or an incident touches, and whether two of them meet.
//! - [`rules`]: which changes an incident bars; the one table of precedence.
//! - [`state`]: the state that the keepers agree on. What must never be wrong is held here, whatever any coordinator
//!   believes: no permit while it conflicts, no two in flight whose scopes meet, no incident forgotten.
//! - [`detection`]: what a coordinator makes of the copies' reports.

pub mod detection;
pub mod rules;
pub mod scope;
pub mod state;

/// A length of time, in milliseconds.
pub type Millis = u64;

/// Most bytes of a name that comes from outside.
pub const MAX_NAME_BYTES: usize = 64;

/// What a name has to be, for people.
pub const NAME_RULE: &str = "a name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'";

/// Whether a name may stand in the state: it is bounded and prints on one line.
pub fn is_valid_name(name: &str) -> bool {
    let fits = |c: char| c.is_alphanumeric() || "-._/@".contains(c);
    !name.is_empty() && name.len() <= MAX_NAME_BYTES && name.chars().all(fits)
}
