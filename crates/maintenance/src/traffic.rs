//! The part of its usual load that a site gets at one copy. Down at once, as the order says; up by a stated pace, so that a
//! site is not met by all copies in one instant, also where the order has run out and nobody is left to give another.

use crate::{Millis, TrafficFraction, FULL_TRAFFIC};

/// What one copy was last told of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TrafficRamp {
    /// The part at `since`.
    from: f64,
    since: Millis,
    /// Where it goes.
    to: f64,
    /// How long the whole way from nothing to all takes.
    ramp_duration: Millis,
}

impl TrafficRamp {
    /// A site that gets all of its load.
    pub fn full(now: Millis, whole_way: Millis) -> TrafficRamp {
        TrafficRamp { from: 1.0, since: now, to: 1.0, ramp_duration: whole_way.max(1) }
    }

    /// The part at `now`, from 0 to 1.
    pub fn fraction(&self, now: Millis) -> f64 {
        let way = now.saturating_sub(self.since) as f64 / self.ramp_duration as f64;
        (self.from + way).min(self.to).max(0.0)
    }

    /// What holds from now on.
    pub fn set(&mut self, now: Millis, part: TrafficFraction) {
        let to = f64::from(part.min(FULL_TRAFFIC)) / f64::from(FULL_TRAFFIC);
        if to == self.to {
            return;
        }
        let at = self.fraction(now);
        *self = TrafficRamp { from: at.min(to), since: now, to, ramp_duration: self.ramp_duration };
    }

    /// Whether it is still on its way.
    pub fn moves(&self, now: Millis) -> bool {
        self.fraction(now) < self.to
    }
}
