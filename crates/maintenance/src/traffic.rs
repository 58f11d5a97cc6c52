//! The fraction of its usual traffic that a site gets from one instance.
//!
//! It falls at once and rises at a fixed rate, so that a site does not get all of its traffic back in one instant, also
//! when a command has expired and nobody is left to give another one.

use crate::{Millis, TrafficFraction, FULL_TRAFFIC};

/// A traffic fraction that rises to its target over time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficRamp {
    /// The fraction at `started_at`, from 0 to 1.
    start: f64,
    started_at: Millis,
    /// The fraction that is reached in the end, from 0 to 1.
    target: f64,
    /// How long it takes to rise from 0 to 1.
    ramp_duration: Millis,
}

impl TrafficRamp {
    /// A site that gets all of its traffic. `ramp_duration` is how long it takes to rise from none to all, in milliseconds.
    pub fn full(now: Millis, ramp_duration: Millis) -> TrafficRamp {
        TrafficRamp { start: 1.0, started_at: now, target: 1.0, ramp_duration: ramp_duration.max(1) }
    }

    /// The fraction at `now`, from 0 to 1.
    pub fn fraction(&self, now: Millis) -> f64 {
        let gained = now.saturating_sub(self.started_at) as f64 / self.ramp_duration as f64;
        (self.start + gained).min(self.target).max(0.0)
    }

    /// Sets the target from `now` on.
    pub fn set(&mut self, now: Millis, fraction: TrafficFraction) {
        let target = f64::from(fraction.min(FULL_TRAFFIC)) / f64::from(FULL_TRAFFIC);
        if target == self.target {
            return;
        }
        let start = self.fraction(now).min(target);
        *self = TrafficRamp { start, started_at: now, target, ramp_duration: self.ramp_duration };
    }

    /// Whether the target is not reached yet.
    pub fn is_rising(&self, now: Millis) -> bool {
        self.fraction(now) < self.target
    }
}
