//! Traffic shifts between zones: advice on the fraction of its usual traffic that a zone gets. The advice is
//! repeated while it is in force and expires otherwise, after which the traffic of the zone ramps up by
//! itself. It only diverts requests: slow start budgets, drains and limits on attempts apply as without it.

use crate::Millis;

/// How long advice is in force if it is not repeated, in milliseconds.
const ADVICE_LIFETIME_MS: Millis = 5_000.0;
/// How long the ramp from no traffic to all traffic takes after the advice expired, in milliseconds.
const RECOVERY_RAMP_MS: Millis = 20_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Advice {
    fraction: f64,
    given_at: Millis,
}

/// The advice in force for each zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneFractions {
    /// By zone index; empty while all zones get all of their traffic, as in all but a few hours of a year.
    advice: Vec<Option<Advice>>,
}

impl ZoneFractions {
    /// Sets the fraction of its usual traffic that a zone gets, from 0 to 1, by advice that is `age`
    /// milliseconds old. Values that are not finite are ignored.
    pub fn set_fraction(&mut self, now: Millis, zone: u16, fraction: f64, age: Millis) {
        if !fraction.is_finite() || !age.is_finite() {
            return;
        }
        let index = usize::from(zone);
        if self.advice.len() <= index {
            self.advice.resize(index + 1, None);
        }
        let given_at = now - age.max(0.0);
        // Advice that arrives after newer advice is ignored.
        if self.advice[index].is_none_or(|known| known.given_at <= given_at) {
            let advice = Advice { fraction: fraction.clamp(0.0, 1.0), given_at };
            self.advice[index] = Some(advice).filter(|advice| advice.fraction < 1.0);
        }
        if self.advice.iter().all(Option::is_none) {
            self.advice.clear();
        }
    }

    /// Returns the fraction of its usual traffic that a zone gets at `now`, from 0 to 1.
    pub fn fraction(&self, now: Millis, zone: u16) -> f64 {
        match self.advice.get(usize::from(zone)) {
            Some(Some(advice)) => {
                let expired_for = (now - advice.given_at - ADVICE_LIFETIME_MS).max(0.0);
                (advice.fraction + expired_for / RECOVERY_RAMP_MS).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Whether a request for which a backend in `zone` was drawn is diverted to another zone. `random`
    /// returns a random number from 0 to 1. It is called only while advice is in force, so that runs without
    /// advice draw the same sequence of random numbers as runs without this feature.
    pub fn is_diverted(&self, now: Millis, zone: u16, random: impl FnOnce() -> f64) -> bool {
        let fraction = if self.advice.is_empty() { 1.0 } else { self.fraction(now, zone) };
        fraction < 1.0 && random() >= fraction
    }
}
