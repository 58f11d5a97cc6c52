//! When windows occur. A start is a reading of the clock on the wall of a time zone, and stays that reading over changes
//! to and from summer time.

use crate::windows::{Overrun, Plan};
use crate::Millis;
use jiff::civil::DateTime;
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::Span;

/// How far ahead contradictions are looked for.
const LOOK_AHEAD: Millis = 400 * 86_400_000;
/// Most occurrences of one rule.
const OCCURRENCES_MOST: i64 = 100_000;

/// A window, or a row of them, as the operator file has it.
#[derive(Clone, Debug)]
pub struct Rule {
    /// The site.
    pub site: String,
    /// The first start, as the clock on the wall shows it there.
    pub start: DateTime,
    /// Where that clock hangs.
    pub zone: TimeZone,
    /// From one start to the next; once if absent.
    pub every: Option<Span>,
    /// See [`Plan`].
    pub length: Millis,
    /// See [`Plan`].
    pub lead: Millis,
    /// See [`Plan`].
    pub latest: Millis,
    /// See [`Plan`].
    pub reserve: u8,
    /// See [`Plan`].
    pub overrun: Overrun,
}

/// How the clock on the wall showed a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shown {
    /// Once.
    Once,
    /// Never, as the clock was put forward over it: the window starts as much later.
    Never,
    /// Twice, as the clock was put back: the window starts the first time.
    Twice,
}

/// A start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occurrence {
    /// In Unix time.
    pub begin: Millis,
    /// See there.
    pub shown: Shown,
}

/// What is wrong with some rules together, or with one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Contradiction {
    /// Which rule.
    pub rule: usize,
    /// The key that says so.
    pub key: &'static str,
    /// Why.
    pub why: String,
}

impl Rule {
    fn nth(&self, n: i64) -> Option<Occurrence> {
        let start = match &self.every {
            None if n > 0 => return None,
            None => self.start,
            Some(every) => self.start.checked_add(every.checked_mul(n).ok()?).ok()?,
        };
        let there = self.zone.to_ambiguous_zoned_datetime(start);
        let shown = match there.offset() {
            AmbiguousOffset::Unambiguous { .. } => Shown::Once,
            AmbiguousOffset::Gap { .. } => Shown::Never,
            AmbiguousOffset::Fold { .. } => Shown::Twice,
        };
        let begin = there.compatible().ok()?.timestamp().as_millisecond();
        Some(Occurrence { begin: u64::try_from(begin).ok()?, shown })
    }

    /// The first start at `from` or after it.
    pub fn next(&self, from: Millis) -> Option<Occurrence> {
        // Starts rise with their number, so the first that is late enough is found by halving.
        let is_early = |n: i64| self.nth(n).is_some_and(|o| o.begin < from);
        let (mut low, mut high) = (0, OCCURRENCES_MOST);
        while low < high {
            let middle = low + (high - low) / 2;
            match is_early(middle) {
                true => low = middle + 1,
                false => high = middle,
            }
        }
        self.nth(low).filter(|o| o.begin >= from)
    }

    /// The plan of a start.
    pub fn plan(&self, at: Occurrence) -> Plan {
        Plan {
            site: self.site.clone(),
            begin: at.begin,
            length: self.length,
            lead: self.lead,
            latest: self.latest,
            reserve: self.reserve,
            overrun: self.overrun,
        }
    }

    /// The longest stretch that a window takes, from the first step to the latest end as it is planned.
    fn stretch(&self, begin: Millis) -> (Millis, Millis) {
        (begin.saturating_sub(self.lead), begin + self.latest + self.length)
    }

    fn ahead(&self, now: Millis) -> Vec<(Millis, Millis)> {
        let mut from = now;
        let mut all = Vec::new();
        while let Some(next) = self.next(from).filter(|o| o.begin < now + LOOK_AHEAD) {
            all.push(self.stretch(next.begin));
            from = next.begin + 1;
        }
        all
    }
}

/// All that is wrong with these rules, seen from `now`. `sites` are those that the fleet has; none are known if empty.
pub fn check(rules: &[Rule], sites: &[String], now: Millis) -> Vec<Contradiction> {
    let mut wrong = Vec::new();
    let mut say = |rule: usize, key: &'static str, why: String| wrong.push(Contradiction { rule, key, why });
    let ahead: Vec<Vec<(Millis, Millis)>> = rules.iter().map(|rule| rule.ahead(now)).collect();
    for (i, rule) in rules.iter().enumerate() {
        if !sites.is_empty() && !sites.contains(&rule.site) {
            say(i, "site", format!("{:?} is no site of the fleet: {}", rule.site, sites.join(", ")));
        }
        if rule.every.as_ref().is_some_and(|every| !every.is_positive()) {
            say(i, "every", "it must be longer than nothing".into());
        } else if ahead[i].is_empty() {
            let what =
                if rule.every.is_some() { "it never occurs in the next 400 days" } else { "it is past" };
            say(i, "start", what.into());
        }
        let meets_itself = ahead[i].windows(2).find(|pair| pair[1].0 < pair[0].1);
        if meets_itself.is_some() {
            say(i, "lead", "it is longer than the gap to the window before".into());
        }
        for (j, other) in rules.iter().enumerate().take(i).filter(|(_, o)| o.site != rule.site) {
            let meets = |(from, to): &(Millis, Millis)| ahead[j].iter().any(|(a, b)| from < b && a < to);
            if ahead[i].iter().any(meets) {
                say(i, "start", format!("it overlaps window {} of {}", j + 1, other.site));
            }
        }
    }
    wrong
}
