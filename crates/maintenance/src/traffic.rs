//! The fraction of its usual traffic that one instance sends to a site.
//!
//! The fraction is lowered at once but raised at a fixed rate, so that a site never gets all of its traffic
//! back in one step. This also holds when the last command expires while no lease holder is left to send
//! another one.

use crate::{Millis, TrafficFraction, FULL_TRAFFIC};

/// A traffic fraction that is raised to its target at a fixed rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficRamp {
    /// The fraction at `started_at`, from 0 to 1.
    start: f64,
    started_at: Millis,
    /// The fraction at the end of the ramp, from 0 to 1.
    target: f64,
    /// How long the ramp from 0 to 1 takes.
    ramp_duration: Millis,
}

impl TrafficRamp {
    /// Creates a ramp at full traffic. `ramp_duration` is the time in which the fraction rises from 0 to 1,
    /// in milliseconds.
    pub fn full(now: Millis, ramp_duration: Millis) -> TrafficRamp {
        TrafficRamp { start: 1.0, started_at: now, target: 1.0, ramp_duration: ramp_duration.max(1) }
    }

    /// The fraction at `now`, from 0 to 1.
    pub fn fraction(&self, now: Millis) -> f64 {
        let gained = now.saturating_sub(self.started_at) as f64 / self.ramp_duration as f64;
        (self.start + gained).min(self.target).max(0.0)
    }

    /// Sets the target fraction. A lower one applies at once; to a higher one, the fraction rises from `now`
    /// on.
    pub fn set(&mut self, now: Millis, fraction: TrafficFraction) {
        let target = f64::from(fraction.min(FULL_TRAFFIC)) / f64::from(FULL_TRAFFIC);
        if target == self.target {
            return;
        }
        let start = self.fraction(now).min(target);
        *self = TrafficRamp { start, started_at: now, target, ramp_duration: self.ramp_duration };
    }

    /// Whether the fraction is still below its target at `now`.
    pub fn is_rising(&self, now: Millis) -> bool {
        self.fraction(now) < self.target
    }
}
