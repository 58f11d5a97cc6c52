//! Leases: each task that one instance does on behalf of the whole fleet has at most one lease holder at a
//! time.
//!
//! The crate does no I/O and reads no clock: the time is an argument, and equal inputs give equal outputs.
//!
//! - [`table`]: the replicated table of grants; its entries expire only by commands of the leading replica.
//! - [`expiry`]: decides when the leading replica proposes such a command, by its monotonic clock and
//!   [`timers`].
//! - [`session`]: the client side of one lease; it stops acting before another instance can get the lease.
//! - [`fencing`]: the check at the instances that execute a holder's commands; it rejects those of earlier
//!   holders.
//! - [`timing`]: the durations that holders and replicas must agree on.
//!
//! Leases bound how long a failover takes; fencing tokens make it safe. If clocks drift by more than
//! [`timing::LeaseTiming`] allows, two instances may believe that they hold the same lease; even then, each
//! instance accepts their commands only in the order of their tokens.

pub mod expiry;
pub mod fencing;
pub mod session;
pub mod table;
pub mod timers;
pub mod timing;

use serde::{Deserialize, Serialize};
use std::fmt;

/// A duration, or a reading of one process's monotonic clock, in milliseconds. Clock readings of two
/// processes are not comparable.
pub type Millis = u64;

/// Maximum length of a [`LeaseName`], in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The validated name of a lease, such as `shift/north`; see [`LeaseName::new`].
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(String);

/// A text that is not a valid [`LeaseName`], truncated to [`MAX_NAME_BYTES`] characters.
// The message calls a lease a duty, as the admin commands do: operators' tools read their answers.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a duty's name has 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '.', '_' and '/': {0:?}")]
pub struct InvalidLeaseName(pub String);

impl LeaseName {
    /// Checks a name: 1 to [`MAX_NAME_BYTES`] of `a`-`z`, `0`-`9`, `-`, `.`, `_` and `/`.
    pub fn new(name: &str) -> Result<LeaseName, InvalidLeaseName> {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._/".contains(&byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            // Truncated, as the text may come from a client and the error is logged.
            return Err(InvalidLeaseName(name.chars().take(MAX_NAME_BYTES).collect()));
        }
        Ok(LeaseName(name.to_owned()))
    }
}

impl TryFrom<String> for LeaseName {
    type Error = InvalidLeaseName;

    fn try_from(name: String) -> Result<LeaseName, InvalidLeaseName> {
        LeaseName::new(&name)
    }
}

impl From<LeaseName> for String {
    fn from(name: LeaseName) -> String {
        name.0
    }
}

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The identity of one process of the fleet. During an upgrade two processes share a rank, and only one of
/// them may hold a lease: the incarnation distinguishes them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's number in the fleet; it does not change at a restart.
    pub rank: u32,
    /// Drawn at random at each start of the process.
    pub incarnation: u64,
}

/// Identifies one grant of a lease. Each grant of any lease gets a higher token than all grants before it,
/// also across snapshots, restores and membership changes of the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);
