//! The fraction of a tier's capacity that still answers, and how limits are scaled while capacity is lost.
//!
//! Concurrency limits are learned over seconds, but a part of a tier can be lost in an instant. A limit that
//! suited all backends then overloads the remaining ones long before late answers have reduced it; and once
//! reduced, it is too low when the other backends come back. Therefore a learned limit stands for the tier at
//! full capacity, and the admitted concurrency is scaled by the capacity that answers at present.

use crate::Millis;

/// Time constant with which the maximum capacity decays to the present one, in milliseconds.
const FORGET_TIME_CONSTANT_MS: Millis = 60_000.0;
/// Limits are scaled by the answering fraction to this power. It is above 1, so that each remaining backend
/// gets fewer requests than before: the demand exceeds what it can serve anyway, so a longer queue gains
/// nothing, and congested backends slow down permanently.
const SCALE_EXPONENT: f64 = 1.2;
/// Scale below which the capacity of the tier counts as reduced.
const REDUCED_SCALE: f64 = 0.9;
/// Fraction of a limit that is available to clients' retries while capacity is reduced: first attempts are
/// preferred because they have all of their time left.
const RETRY_FRACTION: f64 = 0.5;

/// The capacity of a tier that answers at present, relative to its recent maximum.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AvailableCapacity {
    max_capacity: f64,
    updated_at: Millis,
    fraction: f64,
    /// Derived from `fraction`; cached because every request reads it while the fraction rarely changes.
    scale: f64,
}

impl Default for AvailableCapacity {
    fn default() -> AvailableCapacity {
        AvailableCapacity { max_capacity: 0.0, updated_at: 0.0, fraction: 1.0, scale: 1.0 }
    }
}

impl AvailableCapacity {
    /// Sets the capacity of the backends that answer at `now`, in any unit. If it is unknown, or no backend
    /// answers at all, the tier counts as complete, because fewer attempts would not help a tier that does
    /// not answer.
    pub fn update(&mut self, now: Millis, capacity: f64) {
        let capacity = if capacity.is_finite() { capacity.max(0.0) } else { 0.0 };
        let elapsed = (now - self.updated_at).max(0.0);
        self.updated_at = self.updated_at.max(now);
        self.fraction = if capacity > 0.0 {
            let decay = (-elapsed / FORGET_TIME_CONSTANT_MS).exp();
            let decayed = capacity + (self.max_capacity - capacity) * decay;
            self.max_capacity = decayed.max(capacity);
            // The fraction stays above 0 even if the division underflows.
            (capacity / self.max_capacity).max(f64::MIN_POSITIVE)
        } else {
            1.0
        };
        self.scale = self.fraction.powf(SCALE_EXPONENT);
    }

    /// Returns the fraction of the tier's capacity that answers, above 0 and at most 1.
    pub fn fraction(&self) -> f64 {
        self.fraction
    }

    /// Returns the factor by which limits are scaled, from 0 to 1.
    pub fn scale(&self) -> f64 {
        self.scale
    }

    /// Whether the tier has lost so much capacity that retries and requests close to their deadline are held
    /// back.
    pub fn is_reduced(&self) -> bool {
        self.scale < REDUCED_SCALE
    }

    /// Returns how far a limit may rise while capacity is reduced, as a multiple of the limit at full
    /// capacity; `None` if capacity is not reduced. The remaining backends may serve somewhat more than
    /// before, but timely answers to few requests are little evidence of what the tier can serve once all
    /// backends are back.
    pub fn max_limit_factor(&self) -> Option<f64> {
        self.is_reduced().then_some(2.0 - self.fraction)
    }

    /// Returns the fraction of a limit that is available to a request, from 0 to 1. `is_retry` says whether
    /// the client marked the request as a retry.
    pub fn admitted_fraction(&self, is_retry: bool) -> f64 {
        if is_retry && self.is_reduced() {
            RETRY_FRACTION
        } else {
            1.0
        }
    }

    /// Whether a request with an expected latency of `expected` milliseconds may be sent with `time_left`
    /// milliseconds left. While capacity is reduced, a request that is unlikely to finish in time must not
    /// displace one that is.
    pub fn fits_deadline(&self, time_left: Millis, expected: Millis) -> bool {
        !self.is_reduced() || time_left > expected
    }
}
