//! The check at whatever carries out an order. What must never happen is prevented here, not where orders are given: an
//! owner that was stopped between its own check and its act can know nothing of what happened meanwhile.

use crate::{FencingToken, LeaseName, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An order to a copy. `T` is what is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FencedCommand<T> {
    /// By which duty it is given.
    pub lease: LeaseName,
    /// By which grant of it.
    pub token: FencingToken,
    /// Rises with each order of a grant.
    pub sequence: u64,
    /// How long it holds once it was taken, in milliseconds.
    pub valid_for: Millis,
    /// What holds.
    pub value: T,
    /// What holds when that time is over and nothing newer was heard.
    pub fallback: T,
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FencingError {
    /// This copy has not been told yet which orders are old.
    #[error("the gate is closed: no floor was told since the start")]
    NoMinimumToken,
    /// A newer owner has ordered something, or is known of.
    #[error("the order's token Token({}) is below Token({})", token.0, minimum.0)]
    StaleToken {
        /// The order's.
        token: FencingToken,
        /// The least that is taken.
        minimum: FencingToken,
    },
    /// The same owner has ordered something newer, or this is the same order once more.
    #[error("order {sequence} came after {newest}")]
    StaleSequence {
        /// The order's number.
        sequence: u64,
        /// The newest that was taken.
        newest: u64,
    },
}

/// What a copy without a disk forgets, and one with a disk stores before it acts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct MinimumToken {
    /// The least token that is taken.
    pub token: FencingToken,
    /// Orders of that token up to this number have been taken.
    pub sequence: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct AcceptedCommand<T> {
    value: T,
    fallback: T,
    valid_until: Millis,
}

/// The gates of one copy, by duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct FencingChecks<T> {
    minimums: BTreeMap<LeaseName, MinimumToken>,
    accepted: BTreeMap<LeaseName, AcceptedCommand<T>>,
}

impl<T> Default for FencingChecks<T> {
    /// All closed.
    fn default() -> FencingChecks<T> {
        FencingChecks { minimums: BTreeMap::new(), accepted: BTreeMap::new() }
    }
}

impl<T: Clone> FencingChecks<T> {
    /// A true read of the keepers, or this copy's own disk, has told a floor: the gate is open from then on.
    pub fn raise_minimum(&mut self, duty: &LeaseName, floor: MinimumToken) {
        let known = self.minimums.entry(duty.clone()).or_default();
        if (floor.token, floor.sequence) > (known.token, known.sequence) {
            *known = floor;
        }
    }

    /// Whether the order may be carried out, without taking it: gives the floor that has to be stored first, where the
    /// copy has a disk. [`FencingChecks::accept`] takes it then.
    pub fn check(&self, order: &FencedCommand<T>) -> Result<MinimumToken, FencingError> {
        let Some(floor) = self.minimums.get(&order.lease) else { return Err(FencingError::NoMinimumToken) };
        if order.token < floor.token {
            return Err(FencingError::StaleToken { token: order.token, minimum: floor.token });
        }
        match floor.sequence.filter(|_| order.token == floor.token) {
            Some(newest) if order.sequence <= newest => {
                Err(FencingError::StaleSequence { sequence: order.sequence, newest })
            }
            _ => Ok(MinimumToken { token: order.token, sequence: Some(order.sequence) }),
        }
    }

    /// Takes an order: from now on it holds, and nothing older does.
    pub fn accept(&mut self, now: Millis, order: FencedCommand<T>) -> Result<(), FencingError> {
        let floor = self.check(&order)?;
        let FencedCommand { lease: duty, valid_for: holds_for, value: what, fallback: after, .. } = order;
        self.minimums.insert(duty.clone(), floor);
        self.accepted.insert(
            duty,
            AcceptedCommand { value: what, fallback: after, valid_until: now.saturating_add(holds_for) },
        );
        Ok(())
    }

    /// What holds for a duty at `now`; `None` if nothing was ever ordered.
    pub fn effective_value(&self, duty: &LeaseName, now: Millis) -> Option<&T> {
        let order = self.accepted.get(duty)?;
        Some(if now < order.valid_until { &order.value } else { &order.fallback })
    }

    /// What is known of a duty; `None` while its gate is closed.
    pub fn minimum(&self, duty: &LeaseName) -> Option<MinimumToken> {
        self.minimums.get(duty).copied()
    }
}
