//! The health of a backend: ejection from the draw and half-open probing. In the platform's design a
//! backend's weight falls on errors and time-outs, rises on timely success, and keeps a small floor so that
//! probes go on.

use crate::Millis;

/// The least health of a backend in the draw: keeps probes going.
pub(crate) const MIN_HEALTH: f64 = 0.02;
/// Health from which a backend counts as one that answers, though it was silent: after some two seconds.
pub(crate) const ANSWERING_HEALTH: f64 = 0.5;
/// Health above which a failure is put down to the tier and not to the backend.
pub(crate) const TIER_FAILURE_MIN_HEALTH: f64 = 0.5;
/// Health under which a backend counts as ejected: two recent failures in a row.
pub(crate) const EJECTED_HEALTH: f64 = 0.25;
/// Time constant with which an untried backend recovers after one failure, in milliseconds; doubles with each
/// more.
const RECOVERY_TIME_CONSTANT_MS: Millis = 5_000.0;
/// The most times that the recovery time doubles.
const MAX_RECOVERY_DOUBLINGS: i32 = 3;
/// Part of the missing health that is left after a success.
const DEFICIT_KEPT_AFTER_SUCCESS: f64 = 0.7;
/// Part of the health that is left after a failure.
const HEALTH_KEPT_AFTER_FAILURE: f64 = 0.3;

/// How well a backend serves, from 0 to 1: falls on failures, recovers on successes and, untried, with time.
#[derive(Clone, Copy, Default)]
pub(crate) struct Health {
    /// What was missing to full health at the last result.
    deficit: f64,
    consecutive_failures: i32,
    updated_at: Millis,
}

impl Health {
    /// The health at `now`.
    pub(crate) fn value(&self, now: Millis) -> f64 {
        let doublings = (self.consecutive_failures - 1).clamp(0, MAX_RECOVERY_DOUBLINGS);
        let time_constant = RECOVERY_TIME_CONSTANT_MS * 2f64.powi(doublings);
        1.0 - self.deficit * (-(now - self.updated_at) / time_constant).exp()
    }

    /// Takes the result of an attempt.
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
