//! How long a lease lasts, for the one who holds it and for those who could give it away.

use crate::Millis;

/// The figures that all copies of a fleet share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LeaseTiming {
    term: Millis,
    drift_ppm: u32,
    safety_margin: Millis,
}

/// Terms under which nobody could hold anything safely.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidTiming {
    /// The term is outside of what can be renewed over a network and waited for by people.
    #[error("a term lasts 200 ms to 10 minutes, not {0} ms")]
    Term(Millis),
    /// No lease can bridge such clocks.
    #[error("clocks may run apart by less than 20% (200000 ppm), not {0} ppm")]
    Drift(u32),
    /// Nothing would be left of the term.
    #[error("a pause of {pause} ms leaves less than half of a term of {term} ms")]
    Pause {
        /// The pause asked for.
        pause: Millis,
        /// The term it is taken from.
        term: Millis,
    },
}

impl LeaseTiming {
    /// A term in milliseconds; by how much two copies' clocks may run apart, in millionths (of rates, not of readings:
    /// readings are never compared); and how long before its end a holder begins nothing new.
    pub fn new(term: Millis, drift_ppm: u32, pause: Millis) -> Result<LeaseTiming, InvalidTiming> {
        if !(200..=600_000).contains(&term) {
            return Err(InvalidTiming::Term(term));
        }
        if drift_ppm >= 200_000 {
            return Err(InvalidTiming::Drift(drift_ppm));
        }
        let terms = LeaseTiming { term, drift_ppm, safety_margin: pause };
        if pause.saturating_mul(2) > terms.holder_term() {
            return Err(InvalidTiming::Pause { pause, term });
        }
        Ok(terms)
    }

    /// How long a keeper waits for a renewal, by its own clock, before it gives the duty away.
    pub fn term(&self) -> Millis {
        self.term
    }

    fn holder_term(&self) -> Millis {
        // In 128 bits: no product of these overflows there, and rounding is down, towards giving up sooner.
        let part = u128::from(self.term) * 1_000_000 / (1_000_000 + u128::from(self.drift_ppm));
        part as Millis
    }

    /// How long a holder may act on a grant, by its own clock, from when it *asked*: the keepers count from when they
    /// answered, which is later.
    pub fn hold_duration(&self) -> Millis {
        self.holder_term() - self.safety_margin
    }

    /// How long after asking a holder asks again: two more tries fit before it has to give up.
    pub fn renew_interval(&self) -> Millis {
        self.hold_duration() / 3
    }
}

impl Default for LeaseTiming {
    /// Two seconds, clocks apart by 5%, and nothing new in the last tenth of a second.
    fn default() -> LeaseTiming {
        LeaseTiming { term: 2_000, drift_ppm: 50_000, safety_margin: 100 }
    }
}
