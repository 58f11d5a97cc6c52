//! The part of its usual load that a site gets at one copy. Down at once, as the order says; up by a stated pace, so that a
//! site is not met by all copies in one instant, also where the order has run out and nobody is left to give another.

use crate::{Millis, TrafficFraction, FULL_TRAFFIC};

/// What one copy was last told of a site.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SitePart {
    /// The part at `since`.
    from: f64,
    since: Millis,
    /// Where it goes.
    to: f64,
    /// How long the whole way from nothing to all takes.
    whole_way: Millis,
}

impl SitePart {
    /// A site that gets all of its load.
    pub fn whole(now: Millis, whole_way: Millis) -> SitePart {
        SitePart { from: 1.0, since: now, to: 1.0, whole_way: whole_way.max(1) }
    }

    /// The part at `now`, from 0 to 1.
    pub fn read(&self, now: Millis) -> f64 {
        let way = now.saturating_sub(self.since) as f64 / self.whole_way as f64;
        (self.from + way).min(self.to).max(0.0)
    }

    /// What holds from now on.
    pub fn set(&mut self, now: Millis, part: TrafficFraction) {
        let to = f64::from(part.min(FULL_TRAFFIC)) / f64::from(FULL_TRAFFIC);
        if to == self.to {
            return;
        }
        let at = self.read(now);
        *self = SitePart { from: at.min(to), since: now, to, whole_way: self.whole_way };
    }

    /// Whether it is still on its way.
    pub fn moves(&self, now: Millis) -> bool {
        self.read(now) < self.to
    }
}
