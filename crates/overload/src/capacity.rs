//! The part of a tier that still answers, and what a copy does while it is short of room.
//!
//! What a copy may keep in flight is learned over seconds, while a part of the tier is lost in one instant. A count that
//! was right for all servers then crowds those that are left, long before late answers have cut it; and once cut, it is
//! too small for the servers that come back. So a count is kept for the tier as it was when whole, and what it admits
//! goes by the room of the servers that answer now.

use crate::Millis;

/// Milliseconds over which a larger tier is forgotten.
const FORGET_MS: Millis = 60_000.0;
/// How steeply the counts go by the part that answers: over 1, so that what is left holds fewer calls each than before.
/// There are always more calls than it can serve, so that a queue gains nothing, and crowded servers turn slow for good.
const STEEP: f64 = 1.2;
/// What is left of the counts under which the tier is short of room.
const SHORT: f64 = 0.9;
/// Part of a count that is open to repeats while the tier is short: a first try has all of its time before it.
const FOR_REPEATS: f64 = 0.5;

/// The room that answers now, against the most of it that there was of late.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct OverloadedCapacity {
    most: f64,
    at: Millis,
    part: f64,
    /// Goes by the part; kept, as every call asks for it and the part changes seldom.
    scale: f64,
}

impl Default for OverloadedCapacity {
    fn default() -> OverloadedCapacity {
        OverloadedCapacity { most: 0.0, at: 0.0, part: 1.0, scale: 1.0 }
    }
}

impl OverloadedCapacity {
    /// Takes the room of the servers that answer at `now`, in any unit. Where nothing is known, or nothing answers at
    /// all, the tier counts as whole: one that is silent as a whole gains nothing by fewer trials.
    pub fn update(&mut self, now: Millis, answers: f64) {
        let answers = if answers.is_finite() { answers.max(0.0) } else { 0.0 };
        let passed = (now - self.at).max(0.0);
        self.at = self.at.max(now);
        self.part = if answers > 0.0 {
            let faded = answers + (self.most - answers) * (-passed / FORGET_MS).exp();
            self.most = faded.max(answers);
            // So small a part that it is none in this number is still one.
            (answers / self.most).max(f64::MIN_POSITIVE)
        } else {
            1.0
        };
        self.scale = self.part.powf(STEEP);
    }

    /// The part of the tier that answers, over 0 and at most 1.
    pub fn fraction(&self) -> f64 {
        self.part
    }

    /// By how much the counts admit less.
    pub fn scale(&self) -> f64 {
        self.scale
    }

    /// Whether the tier is short of room.
    pub fn is_short(&self) -> bool {
        self.scale < SHORT
    }

    /// How many times what it was when the tier was whole a count may rise to, while that is short: what is left may hold
    /// somewhat more than it did, but timely answers of few calls justify little for the time when all servers are back.
    pub fn rise(&self) -> Option<f64> {
        self.is_short().then_some(2.0 - self.part)
    }

    /// The part of a count that is open to a call.
    pub fn admitted_fraction(&self, repeat: bool) -> f64 {
        if repeat && self.is_short() {
            FOR_REPEATS
        } else {
            1.0
        }
    }

    /// Whether a call whose answer is expected after some time may be sent with so much time left: while the tier is
    /// short, one that would hardly end in time takes the place of one that will.
    pub fn fits_deadline(&self, left: Millis, expected: Millis) -> bool {
        !self.is_short() || left > expected
    }
}
