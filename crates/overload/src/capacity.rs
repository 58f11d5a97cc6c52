//! The part of a tier that still answers, and what an instance does while the tier has lost capacity.
//!
//! What an instance may have in flight is learned over seconds, while a part of the tier is lost in one
//! instant. A limit that was right for all backends then crowds those that are left, long before late answers
//! have reduced it; and once reduced, it is too small for the backends that come back. So a limit stands for
//! the tier at full capacity, and what it admits follows the capacity of the backends that answer now.

use crate::Millis;

/// Time constant with which a larger tier is forgotten, in milliseconds.
const FORGET_TIME_CONSTANT_MS: Millis = 60_000.0;
/// Power of the answering part by which limits scale: over 1, so that each backend that is left gets fewer
/// requests than before. There are always more requests than it can serve, so that a queue gains nothing, and
/// crowded backends slow down for good.
const SCALE_EXPONENT: f64 = 1.2;
/// Scale under which the tier counts as short of capacity.
const REDUCED_SCALE: f64 = 0.9;
/// Part of a limit that is open to clients' retries while the tier is short: a first attempt has all of its
/// time before it.
const RETRY_FRACTION: f64 = 0.5;

/// The capacity that answers now, against the most of it that there was of late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailableCapacity {
    max_capacity: f64,
    updated_at: Millis,
    fraction: f64,
    /// Follows from the fraction; stored, as every request reads it and the fraction changes seldom.
    scale: f64,
}

impl Default for AvailableCapacity {
    fn default() -> AvailableCapacity {
        AvailableCapacity { max_capacity: 0.0, updated_at: 0.0, fraction: 1.0, scale: 1.0 }
    }
}

impl AvailableCapacity {
    /// Takes the capacity of the backends that answer at `now`, in any unit. Where nothing is known, or
    /// nothing answers at all, the tier counts as complete: one that is silent as a whole gains nothing by
    /// fewer attempts.
    pub fn update(&mut self, now: Millis, capacity: f64) {
        let capacity = if capacity.is_finite() { capacity.max(0.0) } else { 0.0 };
        let elapsed = (now - self.updated_at).max(0.0);
        self.updated_at = self.updated_at.max(now);
        self.fraction = if capacity > 0.0 {
            let decay = (-elapsed / FORGET_TIME_CONSTANT_MS).exp();
            let decayed = capacity + (self.max_capacity - capacity) * decay;
            self.max_capacity = decayed.max(capacity);
            // A fraction so small that it underflows is still one.
            (capacity / self.max_capacity).max(f64::MIN_POSITIVE)
        } else {
            1.0
        };
        self.scale = self.fraction.powf(SCALE_EXPONENT);
    }

    /// The part of the tier that answers, over 0 and at most 1.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// The factor by which limits are scaled, from 0 to 1.
    pub fn scale(&self) -> f64 {
        self.scale
    }

    /// Whether the tier is short of capacity.
    pub fn is_reduced(&self) -> bool {
        self.scale < REDUCED_SCALE
    }

    /// While the tier is short: how many times its value at full capacity a limit may rise to. What is left
    /// may serve somewhat more than it did, but timely answers to few requests justify little for the time
    /// when all backends are back.
    pub fn max_limit_factor(&self) -> Option<f64> {
        self.is_reduced().then_some(2.0 - self.fraction)
    }

    /// The part of a limit that is open to a request, from 0 to 1; `is_retry` says whether its client marked
    /// it as a retry.
    pub fn admitted_fraction(&self, is_retry: bool) -> f64 {
        if is_retry && self.is_reduced() {
            RETRY_FRACTION
        } else {
            1.0
        }
    }

    /// Whether a request whose answer is expected after `expected` milliseconds may be sent with `time_left`
    /// milliseconds left: while the tier is short, one that would hardly end in time takes the place of one
    /// that will.
    pub fn fits_deadline(&self, time_left: Millis, expected: Millis) -> bool {
        !self.is_reduced() || time_left > expected
    }
}
