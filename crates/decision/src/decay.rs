//! Exponentially decaying sums. They replace the sliding windows of the platform's reference design: they
//! need no buckets, and the few requests of an instance with little traffic fade out instead of dropping out.

use crate::Millis;

/// A sum in which each addition decays exponentially. Callers must pass the same time constant in all calls
/// for one sum.
#[derive(Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Millis,
}

impl DecayingSum {
    /// Creates a sum with the value `sum` at clock time `now`.
    pub(crate) fn starting_at(sum: f64, now: Millis) -> DecayingSum {
        DecayingSum { sum, updated_at: now }
    }

    /// Returns the decayed sum at `now`.
    pub(crate) fn value(&self, now: Millis, time_constant: Millis) -> f64 {
        self.sum * (-(now - self.updated_at).max(0.0) / time_constant).exp()
    }

    /// Adds `amount` at `now`.
    pub(crate) fn add(&mut self, now: Millis, time_constant: Millis, amount: f64) {
        self.sum = self.value(now, time_constant) + amount;
        self.updated_at = now;
    }
}
