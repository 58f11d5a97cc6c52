//! How long a lease lasts, for its holder and for the replicas that may grant it to another instance.

use crate::Millis;

const MIN_TERM_MS: Millis = 200;
const MAX_TERM_MS: Millis = 600_000;
/// Clock drift has to be below this, in parts per million.
const DRIFT_LIMIT_PPM: u32 = 200_000;
const PPM: u128 = 1_000_000;
/// A holder asks for renewal this often within the time for which it may act on a grant.
const RENEWALS_PER_HOLD: Millis = 3;

/// The timing that all instances of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    term: Millis,
    drift_ppm: u32,
    safety_margin: Millis,
}

/// Timing under which no lease is safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTiming {
    /// The term is too short to renew over a network, or too long to wait for after a failure.
    #[error("a term lasts 200 ms to 10 minutes, not {0} ms")]
    Term(Millis),
    /// The clocks may drift apart by more than a lease can bridge.
    #[error("clocks may run apart by less than 20% (200000 ppm), not {0} ppm")]
    Drift(u32),
    /// The safety margin takes too much of the term.
    #[error("a pause of {safety_margin} ms leaves less than half of a term of {term} ms")]
    SafetyMargin {
        /// The safety margin, in milliseconds.
        safety_margin: Millis,
        /// The term it is taken from, in milliseconds.
        term: Millis,
    },
}

impl LeaseTiming {
    /// Checks and returns a timing.
    ///
    /// - `term`: how long replicas wait for a renewal, in milliseconds.
    /// - `drift_ppm`: by how much the rates of two clocks may differ, in parts per million. Readings of two clocks are
    ///   never compared.
    /// - `safety_margin`: how long before the end of its grant a holder stops acting, in milliseconds.
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

    /// How long a replica waits for a renewal, by its own clock, before it proposes the expiry; in milliseconds.
    pub fn term(&self) -> Millis {
        self.term
    }

    /// The part of the term that is over on no replica's clock while the holder's clock counts it.
    fn holder_term(&self) -> Millis {
        // 128 bits can't overflow here. Rounding down makes the holder stop sooner.
        let holder_term = u128::from(self.term) * PPM / (PPM + u128::from(self.drift_ppm));
        holder_term as Millis
    }

    /// How long a holder may act on a grant, by its own clock, from when it *sent* the request for it, in milliseconds.
    /// The replicas count from when they applied that request, which is later.
    pub fn hold_duration(&self) -> Millis {
        self.holder_term() - self.safety_margin
    }

    /// The time between two requests of a holder, in milliseconds: two retries fit before it has to stop acting.
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
