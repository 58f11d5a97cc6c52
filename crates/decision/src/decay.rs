//! Sums over recent time, in which every addition decays exponentially. They stand in for the sliding window
//! of the platform's design: no buckets have to be kept, and a sparse instance's few requests fade instead of
//! dropping out.

use crate::Millis;

/// A sum in which each addition decays with a time constant, which the caller gives and never varies for one
/// sum.
#[derive(Default)]
pub(crate) struct DecayingSum {
    sum: f64,
    updated_at: Millis,
}

impl DecayingSum {
    /// A sum that starts at `sum` at clock time `now`.
    pub(crate) fn starting_at(sum: f64, now: Millis) -> DecayingSum {
        DecayingSum { sum, updated_at: now }
    }

    /// What is left of the sum at `now`.
    pub(crate) fn value(&self, now: Millis, time_constant: Millis) -> f64 {
        self.sum * (-(now - self.updated_at).max(0.0) / time_constant).exp()
    }

    /// Adds `amount` at `now`.
    pub(crate) fn add(&mut self, now: Millis, time_constant: Millis, amount: f64) {
        self.sum = self.value(now, time_constant) + amount;
        self.updated_at = now;
    }
}
