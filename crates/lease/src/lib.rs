//! One owner at a time for work on behalf of the fleet. Decisions without I/O: time comes as an argument, and equal
//! arguments give equal answers.
//!
//! Four parts, each where its promise is kept:
//!
//! - [`table`]: who holds which duty, as the keepers agree on it. It knows no clock: what lapses is proposed to it.
//! - [`expiry`]: when a keeper that leads proposes so; all keepers wait by their own monotonic clocks, with [`timers`].
//! - [`session`]: what a copy knows of a duty that it holds or stands for; it gives up before it could be given away.
//! - [`fencing`]: what carries out orders. It refuses those of an older owner, whatever that owner believes.
//!
//! A lease bounds how long the others wait; the token bounds the harm. Where clocks run apart by more than
//! [`timing::LeaseTiming`] states, two copies may believe that they hold one duty; the gates still act in the order of the
//! tokens.

pub mod expiry;
pub mod fencing;
pub mod session;
pub mod table;
pub mod timers;
pub mod timing;

use serde::{Deserialize, Serialize};
use std::fmt;

/// Milliseconds of a monotonic clock of one process; they mean nothing to another.
pub type Millis = u64;

/// Most bytes of a duty's name.
pub const MAX_NAME_BYTES: usize = 64;

/// The name of a duty, such as `shift/north`.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct LeaseName(String);

/// A name that can be no duty's.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a duty's name has 1 to {MAX_NAME_BYTES} of a-z, 0-9, '-', '.', '_' and '/': {0:?}")]
pub struct InvalidLeaseName(pub String);

impl LeaseName {
    /// A duty of that name.
    pub fn new(name: &str) -> Result<LeaseName, InvalidLeaseName> {
        let fits = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._/".contains(&b);
        if name.is_empty() || name.len() > MAX_NAME_BYTES || !name.bytes().all(fits) {
            // What is told of a name that is too long is cut: it goes into logs.
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
    fn from(duty: LeaseName) -> String {
        duty.0
    }
}

impl fmt::Display for LeaseName {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// One life of one copy. During an upgrade two processes share a rank, and only one of them may hold a duty: the life
/// tells them apart.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Instance {
    /// The copy's place in the fleet.
    pub rank: u32,
    /// Drawn anew at each start.
    pub life: u64,
}

/// Rises with each new grant, over all duties and for ever: also over snapshots, restores and new keepers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct FencingToken(pub u64);
