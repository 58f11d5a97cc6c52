//! The part of its usual traffic that each zone gets, as advice that expires: it is repeated while it is in
//! force, and without it a zone recovers by itself. It never raises anything: budgets of slow start, drains
//! and limits on attempts apply as without it.

use crate::Millis;

/// How long advice is in force that is not repeated, in milliseconds.
const ADVICE_LIFETIME_MS: Millis = 5_000.0;
/// How long a zone then takes to recover from no traffic to all of it, in milliseconds.
const RECOVERY_RAMP_MS: Millis = 20_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Advice {
    fraction: f64,
    given_at: Millis,
}

/// The advice for each zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneFractions {
    /// By zone; empty while all zones get all of their traffic, as in all but a few hours of a year.
    advice: Vec<Option<Advice>>,
}

impl ZoneFractions {
    /// Takes advice that is `age` milliseconds old: a zone gets this part of its usual traffic, from 0 to 1.
    /// What is no number is ignored.
    pub fn set_fraction(&mut self, now: Millis, zone: u16, fraction: f64, age: Millis) {
        if !fraction.is_finite() || !age.is_finite() {
            return;
        }
        let index = usize::from(zone);
        if self.advice.len() <= index {
            self.advice.resize(index + 1, None);
        }
        let given_at = now - age.max(0.0);
        // Advice that was overtaken on its way is ignored.
        if self.advice[index].is_none_or(|known| known.given_at <= given_at) {
            let advice = Advice { fraction: fraction.clamp(0.0, 1.0), given_at };
            self.advice[index] = Some(advice).filter(|advice| advice.fraction < 1.0);
        }
        if self.advice.iter().all(Option::is_none) {
            self.advice.clear();
        }
    }

    /// The part of its usual traffic that a zone gets at `now`, from 0 to 1.
    pub fn fraction(&self, now: Millis, zone: u16) -> f64 {
        match self.advice.get(usize::from(zone)) {
            Some(Some(advice)) => {
                let expired_for = (now - advice.given_at - ADVICE_LIFETIME_MS).max(0.0);
                (advice.fraction + expired_for / RECOVERY_RAMP_MS).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Whether a request that was drawn for a zone as usual goes elsewhere, by a random number from 0 to 1.
    /// None is drawn while no advice is in force, so that runs without advice give the same actions as ever.
    pub fn is_diverted(&self, now: Millis, zone: u16, random: impl FnOnce() -> f64) -> bool {
        let fraction = if self.advice.is_empty() { 1.0 } else { self.fraction(now, zone) };
        fraction < 1.0 && random() >= fraction
    }
}
