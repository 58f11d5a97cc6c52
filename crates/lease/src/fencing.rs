//! The check at whatever carries out an order. What must never happen is prevented here, not where orders are given: an
//! owner that was stopped between its own check and its act can know nothing of what happened meanwhile.

use crate::{FencingToken, LeaseName, Millis};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// An order to a copy. `T` is what is to be done.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order<T> {
    /// By which duty it is given.
    pub duty: LeaseName,
    /// By which grant of it.
    pub token: FencingToken,
    /// Rises with each order of a grant.
    pub number: u64,
    /// How long it holds once it was taken, in milliseconds.
    pub holds_for: Millis,
    /// What holds.
    pub what: T,
    /// What holds when that time is over and nothing newer was heard.
    pub after: T,
}

/// Why an order is not carried out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// This copy has not been told yet which orders are old.
    #[error("the gate is closed: no floor was told since the start")]
    Closed,
    /// A newer owner has ordered something, or is known of.
    #[error("the order's token {token:?} is below {floor:?}")]
    Old {
        /// The order's.
        token: FencingToken,
        /// The least that is taken.
        floor: FencingToken,
    },
    /// The same owner has ordered something newer, or this is the same order once more.
    #[error("order {number} came after {newest}")]
    Passed {
        /// The order's number.
        number: u64,
        /// The newest that was taken.
        newest: u64,
    },
}

/// What a copy without a disk forgets, and one with a disk stores before it acts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Floor {
    /// The least token that is taken.
    pub token: FencingToken,
    /// Orders of that token up to this number have been taken.
    pub number: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Standing<T> {
    what: T,
    after: T,
    until: Millis,
}

/// The gates of one copy, by duty.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Gates<T> {
    floors: BTreeMap<LeaseName, Floor>,
    orders: BTreeMap<LeaseName, Standing<T>>,
}

impl<T> Default for Gates<T> {
    /// All closed.
    fn default() -> Gates<T> {
        Gates { floors: BTreeMap::new(), orders: BTreeMap::new() }
    }
}

impl<T: Clone> Gates<T> {
    /// A true read of the keepers, or this copy's own disk, has told a floor: the gate is open from then on.
    pub fn told(&mut self, duty: &LeaseName, floor: Floor) {
        let known = self.floors.entry(duty.clone()).or_default();
        if (floor.token, floor.number) > (known.token, known.number) {
            *known = floor;
        }
    }

    /// Whether the order may be carried out, without taking it: gives the floor that has to be stored first, where the
    /// copy has a disk. [`Gates::take`] takes it then.
    pub fn check(&self, order: &Order<T>) -> Result<Floor, Refused> {
        let Some(floor) = self.floors.get(&order.duty) else { return Err(Refused::Closed) };
        if order.token < floor.token {
            return Err(Refused::Old { token: order.token, floor: floor.token });
        }
        match floor.number.filter(|_| order.token == floor.token) {
            Some(newest) if order.number <= newest => Err(Refused::Passed { number: order.number, newest }),
            _ => Ok(Floor { token: order.token, number: Some(order.number) }),
        }
    }

    /// Takes an order: from now on it holds, and nothing older does.
    pub fn take(&mut self, now: Millis, order: Order<T>) -> Result<(), Refused> {
        let floor = self.check(&order)?;
        let Order { duty, holds_for, what, after, .. } = order;
        self.floors.insert(duty.clone(), floor);
        self.orders.insert(duty, Standing { what, after, until: now.saturating_add(holds_for) });
        Ok(())
    }

    /// What holds for a duty at `now`; `None` if nothing was ever ordered.
    pub fn holds(&self, duty: &LeaseName, now: Millis) -> Option<&T> {
        let order = self.orders.get(duty)?;
        Some(if now < order.until { &order.what } else { &order.after })
    }

    /// What is known of a duty; `None` while its gate is closed.
    pub fn floor(&self, duty: &LeaseName) -> Option<Floor> {
        self.floors.get(duty).copied()
    }
}
