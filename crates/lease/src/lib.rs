//! Leases: at most one holder at a time for each kind of work that is done on behalf of the fleet.
//!
//! Decisions without I/O: the time is an argument, and equal inputs give equal outputs.
//!
//! - [`table`]: the replicated table of grants. It reads no clock; expiry is proposed to it.
//! - [`expiry`]: when the leading replica proposes an expiry, on each replica's monotonic clock and with [`timers`].
//! - [`session`]: the client side of one lease. It stops acting before the lease can be granted to another instance.
//! - [`fencing`]: the check where commands are carried out. It rejects those of an earlier holder.
//!
//! The lease bounds how long a failover takes; the fencing token keeps it safe. If clocks drift by more than
//! [`timing::LeaseTiming`] states, two instances may believe that they hold a lease; the fencing checks still accept
//! commands in the order of the tokens.

pub mod expiry;
pub mod fencing;
pub mod session;
pub mod table;
pub mod timers;
pub mod timing;

use serde::{Deserialize, Serialize};
use std::fmt;

/// A reading of one process's monotonic clock, or a length of time, in milliseconds. Readings mean nothing to another
/// process.
pub type Millis = u64;

/// Maximum length of a lease's name, in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// The name of a lease, such as `shift/north`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(String);

/// A text that is not a valid [`LeaseName`]; holds its beginning.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a duty's name has 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '.', '_' and '/': {0:?}")]
pub struct InvalidLeaseName(pub String);

impl LeaseName {
    /// Checks a name: 1 to [`MAX_NAME_BYTES`] of `a`-`z`, `0`-`9`, `-`, `.`, `_` and `/`.
    pub fn new(name: &str) -> Result<LeaseName, InvalidLeaseName> {
        let is_allowed =
            |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || b"-._/".contains(&byte);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(is_allowed) {
            // Truncated, as the error goes into logs.
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

/// One process of the fleet. During an upgrade two processes share a rank, and only one of them may hold a lease: the
/// incarnation tells them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The instance's position in the fleet; the same over restarts.
    pub rank: u32,
    /// Chosen at random at each start.
    pub incarnation: u64,
}

/// Increases with each grant of any lease and never decreases, also across snapshots, restores and changes of replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);
