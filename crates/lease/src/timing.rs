//! The durations of a lease, for its holder and for the replicas that may grant it to another instance.

use crate::Millis;

const MIN_TERM_MS: Millis = 200;
const MAX_TERM_MS: Millis = 600_000;
/// The maximum clock drift is below this, in parts per million.
const DRIFT_LIMIT_PPM: u32 = 200_000;
const PPM: u128 = 1_000_000;
/// How often a holder renews its grant within the time for which it may act on it.
const RENEWALS_PER_HOLD: Millis = 3;

/// The timing of leases. All instances of a fleet must have the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    term: Millis,
    drift_ppm: u32,
    safety_margin: Millis,
}

/// A timing that [`LeaseTiming::new`] rejects.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTiming {
    /// The term, in milliseconds, is too short to renew over a network, or too long to wait for after a
    /// failure.
    #[error("a term lasts 200 ms to 10 minutes, not {0} ms")]
    Term(Millis),
    /// The clock drift, in parts per million, leaves too little of the term to the holder.
    #[error("clock drift has to be below {DRIFT_LIMIT_PPM} ppm (20%), not {0} ppm")]
    Drift(u32),
    /// The safety margin takes more than half of the time that the drift leaves to the holder.
    #[error("a safety margin of {safety_margin} ms exceeds half of a term of {term} ms less clock drift")]
    SafetyMargin {
        /// The safety margin, in milliseconds.
        safety_margin: Millis,
        /// The term from which the margin is taken, in milliseconds.
        term: Millis,
    },
}

impl LeaseTiming {
    /// Checks and returns a timing.
    ///
    /// - `term`: how long replicas wait for a renewal, in milliseconds.
    /// - `drift_ppm`: by how much the rates of two clocks may differ, in parts per million. The offset
    ///   between two clocks does not matter, as their readings are never compared.
    /// - `safety_margin`: how long before the end of its grant a holder stops acting, in milliseconds.
    ///
    /// # Errors
    ///
    /// Fails if a value is out of the range that [`InvalidTiming`] states.
    pub fn new(term: Millis, drift_ppm: u32, safety_margin: Millis) -> Result<LeaseTiming, InvalidTiming> {
        if !(MIN_TERM_MS..=MAX_TERM_MS).contains(&term) {
            return Err(InvalidTiming::Term(term));
        }
        if drift_ppm >= DRIFT_LIMIT_PPM {
            return Err(InvalidTiming::Drift(drift_ppm));
        }
        let timing = LeaseTiming { term, drift_ppm, safety_margin };
        if safety_margin.saturating_mul(2) > timing.holder_term() {
            return Err(InvalidTiming::SafetyMargin { safety_margin, term });
        }
        Ok(timing)
    }

    /// How long a replica waits for a renewal, by its own clock, before it proposes the expiry; in
    /// milliseconds.
    pub fn term(&self) -> Millis {
        self.term
    }

    /// The time on the holder's clock in which no replica's clock has counted a whole term, whatever the
    /// drift.
    fn holder_term(&self) -> Millis {
        // 128 bits can't overflow here. Rounding down makes the holder stop sooner, which is the safe side.
        let holder_term = u128::from(self.term) * PPM / (PPM + u128::from(self.drift_ppm));
        holder_term as Millis
    }

    /// How long a holder may act on a grant, by its own clock, in milliseconds. It counts from when it *sent*
    /// the renewal; the replicas count from when they received that renewal, which is later.
    pub fn hold_duration(&self) -> Millis {
        self.holder_term() - self.safety_margin
    }

    /// The time between two requests of a holder, in milliseconds, so that two retries fit in before the
    /// holder has to stop acting.
    pub fn renew_interval(&self) -> Millis {
        self.hold_duration() / RENEWALS_PER_HOLD
    }
}

impl Default for LeaseTiming {
    /// A term of 2 s, clock drift up to 5%, and a safety margin of 100 ms.
    fn default() -> LeaseTiming {
        LeaseTiming { term: 2_000, drift_ppm: 50_000, safety_margin: 100 }
    }
}
