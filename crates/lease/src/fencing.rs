//! The fencing check of an instance that carries out a lease holder's commands.
//!
//! Stale commands are stopped here and not at the sender: a holder that is suspended between its own check and its act
//! can't know what has happened meanwhile.

use crate::{FencingToken, LeaseName, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A command of a lease holder to an instance. `T` is the value that it sets.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencedCommand<T> {
    /// The lease under which it is given.
    pub lease: LeaseName,
    /// The token of the sender's grant.
    pub token: FencingToken,
    /// Increases with each command under the same grant.
    pub sequence: u64,
    /// How long `value` applies after it was accepted, in milliseconds.
    pub valid_for: Millis,
    /// The value that applies.
    pub value: T,
    /// The value that applies once `valid_for` is over and no newer command was accepted.
    pub fallback: T,
}

/// Why a command was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// This instance does not know yet which commands are stale.
    #[error("the gate is closed: no floor was told since the start")]
    NoMinimumToken,
    /// A newer holder has given a command, or is known to exist.
    #[error("the order's token Token({}) is below Token({})", token.0, minimum.0)]
    StaleToken {
        /// The command's token.
        token: FencingToken,
        /// The lowest token that is accepted.
        minimum: FencingToken,
    },
    /// A newer command of the same holder was accepted, or this same command.
    #[error("order {sequence} came after {newest}")]
    StaleSequence {
        /// The command's sequence number.
        sequence: u64,
        /// The highest sequence number accepted so far.
        newest: u64,
    },
}

/// The oldest command that is still accepted under a lease. An instance with a disk stores it before it acts; one without
/// loses it at a restart and has to learn it from the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MinimumToken {
    /// The lowest token that is accepted.
    pub token: FencingToken,
    /// The highest sequence number that was accepted under that token.
    pub sequence: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AcceptedCommand<T> {
    value: T,
    fallback: T,
    valid_until: Millis,
}

/// The fencing checks of one instance, by lease. A lease without a known minimum token accepts nothing.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingChecks<T> {
    minimums: BTreeMap<LeaseName, MinimumToken>,
    accepted: BTreeMap<LeaseName, AcceptedCommand<T>>,
}

impl<T> Default for FencingChecks<T> {
    /// No minimum token is known: nothing is accepted.
    fn default() -> FencingChecks<T> {
        FencingChecks { minimums: BTreeMap::new(), accepted: BTreeMap::new() }
    }
}

impl<T: Clone> FencingChecks<T> {
    /// Raises the minimum token of a lease, after a linearizable read of the replicas or a read of this instance's own
    /// disk. From then on commands under that lease can be accepted. A lower minimum than the known one is ignored.
    pub fn raise_minimum(&mut self, lease: &LeaseName, minimum: MinimumToken) {
        let known = self.minimums.entry(lease.clone()).or_default();
        if (minimum.token, minimum.sequence) > (known.token, known.sequence) {
            *known = minimum;
        }
    }

    /// Checks a command without accepting it. Returns the minimum token that an instance with a disk has to store before
    /// it calls [`FencingChecks::accept`].
    pub fn check(&self, command: &FencedCommand<T>) -> Result<MinimumToken, FencingError> {
        let Some(minimum) = self.minimums.get(&command.lease) else {
            return Err(FencingError::NoMinimumToken);
        };
        if command.token < minimum.token {
            return Err(FencingError::StaleToken { token: command.token, minimum: minimum.token });
        }
        match minimum.sequence.filter(|_| command.token == minimum.token) {
            Some(newest) if command.sequence <= newest => {
                Err(FencingError::StaleSequence { sequence: command.sequence, newest })
            }
            _ => Ok(MinimumToken { token: command.token, sequence: Some(command.sequence) }),
        }
    }

    /// Checks a command and accepts it: it applies from now on, and nothing older is accepted any more.
    pub fn accept(&mut self, now: Millis, command: FencedCommand<T>) -> Result<(), FencingError> {
        let minimum = self.check(&command)?;
        let FencedCommand { lease, valid_for, value, fallback, .. } = command;
        let valid_until = now.saturating_add(valid_for);
        self.minimums.insert(lease.clone(), minimum);
        self.accepted.insert(lease, AcceptedCommand { value, fallback, valid_until });
        Ok(())
    }

    /// The value that applies under a lease at `now`; `None` if no command was ever accepted.
    pub fn effective_value(&self, lease: &LeaseName, now: Millis) -> Option<&T> {
        let command = self.accepted.get(lease)?;
        Some(if now < command.valid_until { &command.value } else { &command.fallback })
    }

    /// The minimum token of a lease; `None` as long as none is known.
    pub fn minimum(&self, lease: &LeaseName) -> Option<MinimumToken> {
        self.minimums.get(lease).copied()
    }
}
