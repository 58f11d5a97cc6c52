//! The fencing check of an instance that executes the commands of lease holders.
//!
//! Stale commands are rejected by their receivers, because the sender cannot do it reliably: a holder may be
//! suspended between checking its lease and sending the command, and lose the lease meanwhile.

use crate::{FencingToken, LeaseName, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A command of a lease holder to an instance, which sets a value of type `T` for a limited time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencedCommand<T> {
    /// The lease under which the command is sent.
    pub lease: LeaseName,
    /// The token of the sender's grant.
    pub token: FencingToken,
    /// Increases with each command under the same grant.
    pub sequence: u64,
    /// How long `value` stays in effect after it was accepted, in milliseconds.
    pub valid_for: Millis,
    /// The value to set.
    pub value: T,
    /// The value in effect once `valid_for` is over, unless a newer command was accepted.
    pub fallback: T,
}

/// Why a command was not accepted.
// The messages are written to audit logs, whose readers match them: they say order for command, gate for
// fencing check and floor for minimum token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// No minimum token is known yet, so a stale command could not be told from a current one.
    #[error("the gate is closed: no floor was told since the start")]
    NoMinimumToken,
    /// The lease was granted again since the grant under which the command was sent.
    #[error("the order's token Token({}) is below Token({})", token.0, minimum.0)]
    StaleToken {
        /// The command's token.
        token: FencingToken,
        /// The lowest token that is accepted.
        minimum: FencingToken,
    },
    /// This command, or a newer one under the same grant, was accepted before.
    #[error("order {sequence} came after {newest}")]
    StaleSequence {
        /// The command's sequence number.
        sequence: u64,
        /// The highest sequence number accepted so far.
        newest: u64,
    },
}

/// The lower bound for commands that are accepted under a lease. An instance with persistent storage stores
/// it before it executes a command; one without loses it at a restart and has to read it from the replicas.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MinimumToken {
    /// The lowest token that is accepted.
    pub token: FencingToken,
    /// The highest sequence number accepted under that token; `None` if no command was accepted under it.
    pub sequence: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AcceptedCommand<T> {
    value: T,
    fallback: T,
    valid_until: Millis,
}

/// The fencing checks of one instance, by lease. Commands under a lease without a known minimum token are
/// rejected.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingChecks<T> {
    minimums: BTreeMap<LeaseName, MinimumToken>,
    accepted: BTreeMap<LeaseName, AcceptedCommand<T>>,
}

impl<T> Default for FencingChecks<T> {
    /// No minimum token is known, so that all commands are rejected.
    fn default() -> FencingChecks<T> {
        FencingChecks { minimums: BTreeMap::new(), accepted: BTreeMap::new() }
    }
}

impl<T: Clone> FencingChecks<T> {
    /// Raises the minimum token of a lease. `minimum` must come from a linearizable read of the replicas or
    /// from this instance's own storage. From then on commands under that lease can be accepted. A minimum
    /// below the known one is ignored.
    pub fn raise_minimum(&mut self, lease: &LeaseName, minimum: MinimumToken) {
        let known = self.minimums.entry(lease.clone()).or_default();
        if (minimum.token, minimum.sequence) > (known.token, known.sequence) {
            *known = minimum;
        }
    }

    /// Checks a command without accepting it. Returns the minimum token that an instance with persistent
    /// storage has to store before it calls [`FencingChecks::accept`].
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

    /// Checks a command and accepts it: its value is in effect from `now` on, and older commands are
    /// rejected.
    pub fn accept(&mut self, now: Millis, command: FencedCommand<T>) -> Result<(), FencingError> {
        let minimum = self.check(&command)?;
        let FencedCommand { lease, valid_for, value, fallback, .. } = command;
        let valid_until = now.saturating_add(valid_for);
        self.minimums.insert(lease.clone(), minimum);
        self.accepted.insert(lease, AcceptedCommand { value, fallback, valid_until });
        Ok(())
    }

    /// The value in effect under a lease at `now`; `None` if no command was ever accepted.
    pub fn effective_value(&self, lease: &LeaseName, now: Millis) -> Option<&T> {
        let command = self.accepted.get(lease)?;
        Some(if now < command.valid_until { &command.value } else { &command.fallback })
    }

    /// The minimum token of a lease; `None` as long as none is known.
    pub fn minimum(&self, lease: &LeaseName) -> Option<MinimumToken> {
        self.minimums.get(lease).copied()
    }
}
