//! The part of its usual load that each site gets, as a hint that ages: it is told again and again while it holds, and
//! without it a site comes back by itself. It never raises anything: cold budgets, drains and attempts hold as without it.

use crate::Millis;

/// How long a hint holds that is not told again, and how long a site then takes to come back from nothing.
const HOLDS: Millis = 5_000.0;
const WAY_BACK: Millis = 20_000.0;

#[derive(Clone, Copy, Debug, PartialEq)]
struct Hint {
    part: f64,
    told: Millis,
}

/// The hints, by zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ZoneFractions {
    /// Empty while all sites are whole, as in all but a few hours of a year.
    hints: Vec<Option<Hint>>,
}

impl ZoneFractions {
    /// Takes a hint that is `age` old: a zone gets this part of its usual load, from 0 to 1.
    pub fn set_fraction(&mut self, now: Millis, zone: u16, part: f64, age: Millis) {
        if !part.is_finite() || !age.is_finite() {
            return;
        }
        let place = usize::from(zone);
        if self.hints.len() <= place {
            self.hints.resize(place + 1, None);
        }
        let told = now - age.max(0.0);
        // Hints that overtake each other don't count backwards.
        if self.hints[place].is_none_or(|known| known.told <= told) {
            self.hints[place] =
                Some(Hint { part: part.clamp(0.0, 1.0), told }).filter(|hint| hint.part < 1.0);
        }
        if self.hints.iter().all(Option::is_none) {
            self.hints.clear();
        }
    }

    /// The part that a zone gets at `now`.
    pub fn fraction(&self, now: Millis, zone: u16) -> f64 {
        match self.hints.get(usize::from(zone)) {
            Some(Some(hint)) => {
                let alone = (now - hint.told - HOLDS).max(0.0);
                (hint.part + alone / WAY_BACK).min(1.0)
            }
            _ => 1.0,
        }
    }

    /// Whether a call that was drawn for a zone as usual goes elsewhere, by a random number from 0 to 1.
    pub fn is_diverted(&self, now: Millis, zone: u16, random: impl FnOnce() -> f64) -> bool {
        // No random number is drawn while all is as usual, so that runs without hints are what they were.
        let part = if self.hints.is_empty() { 1.0 } else { self.fraction(now, zone) };
        part < 1.0 && random() >= part
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_hint_holds_while_it_is_told_and_wears_off_by_itself() {
        let mut sites = ZoneFractions::default();
        assert!(!sites.is_diverted(0.0, 0, || unreachable!("nothing was told")));
        sites.set_fraction(1_000.0, 1, 0.25, 0.0);
        assert_eq!(
            (sites.fraction(1_000.0, 0), sites.fraction(1_000.0, 1), sites.fraction(6_000.0, 1)),
            (1.0, 0.25, 0.25)
        );
        assert!(sites.is_diverted(2_000.0, 1, || 0.25) && !sites.is_diverted(2_000.0, 1, || 0.24));
        assert_eq!((sites.fraction(11_000.0, 1), sites.fraction(30_000.0, 1)), (0.5, 1.0));
        // An older one that comes late says nothing.
        sites.set_fraction(2_000.0, 1, 0.9, 1_500.0);
        assert_eq!(sites.fraction(2_000.0, 1), 0.25);
        sites.set_fraction(3_000.0, 1, 1.0, 0.0);
        assert_eq!(sites, ZoneFractions::default());
        sites.set_fraction(3_000.0, 1, f64::NAN, 0.0);
        assert_eq!(sites, ZoneFractions::default());
    }
}
