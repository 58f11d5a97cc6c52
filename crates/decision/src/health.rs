//! The health of a backend: outlier ejection and half-open probing. As in the platform's reference design,
//! the weight of a backend falls on errors and timeouts, rises on timely success, and never falls below a
//! small floor, so that some requests still probe the backend.

use crate::Millis;

/// The minimum health of a backend in the weighted draw, so that an ejected one still gets half-open probes.
pub(crate) const MIN_HEALTH: f64 = 0.02;
/// Health from which a backend that left requests unanswered counts as answering again; one that failed once
/// gets there after some two seconds.
pub(crate) const ANSWERING_HEALTH: f64 = 0.5;
/// Health of a backend above which its failures count as failures of the tier.
pub(crate) const TIER_FAILURE_MIN_HEALTH: f64 = 0.5;
/// Health below which a backend counts as ejected; two recent consecutive failures lead there.
pub(crate) const EJECTED_HEALTH: f64 = 0.25;
/// Time constant with which a backend without new results recovers after one failure, in milliseconds. It
/// doubles with each further consecutive failure.
const RECOVERY_TIME_CONSTANT_MS: Millis = 5_000.0;
/// Maximum number of times that the recovery time constant doubles.
const MAX_RECOVERY_DOUBLINGS: i32 = 3;
/// Fraction of the health deficit that remains after a success.
const DEFICIT_KEPT_AFTER_SUCCESS: f64 = 0.7;
/// Fraction of the health that remains after a failure.
const HEALTH_KEPT_AFTER_FAILURE: f64 = 0.3;

/// Health of a backend, from 0 to 1: falls on failures, recovers on successes and over time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Health {
    /// 1 minus the health at the last result.
    deficit: f64,
    consecutive_failures: i32,
    updated_at: Millis,
}

impl Health {
    /// Returns the health at `now`.
    pub(crate) fn value(&self, now: Millis) -> f64 {
        let doublings = (self.consecutive_failures - 1).clamp(0, MAX_RECOVERY_DOUBLINGS);
        let time_constant = RECOVERY_TIME_CONSTANT_MS * 2f64.powi(doublings);
        1.0 - self.deficit * (-(now - self.updated_at) / time_constant).exp()
    }

    /// Records the result of an attempt.
    pub(crate) fn record(&mut self, now: Millis, succeeded: bool) {
        let health = self.value(now);
        self.consecutive_failures = if succeeded { 0 } else { self.consecutive_failures + 1 };
        self.deficit = if succeeded {
            DEFICIT_KEPT_AFTER_SUCCESS * (1.0 - health)
        } else {
            1.0 - (HEALTH_KEPT_AFTER_FAILURE * health).max(MIN_HEALTH)
        };
        self.updated_at = now;
    }
}
