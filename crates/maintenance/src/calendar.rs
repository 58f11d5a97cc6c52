//! When windows occur. A start is a reading of the clock on the wall of a time zone, and stays that reading over changes
//! to and from summer time.

use crate::windows::{OverrunPolicy, WindowPlan};
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
pub struct Recurrence {
    /// The site.
    pub site: String,
    /// The first start, as the clock on the wall shows it there.
    pub starts: DateTime,
    /// Where that clock hangs.
    pub time_zone: TimeZone,
    /// From one start to the next; once if absent.
    pub interval: Option<Span>,
    /// See [`WindowPlan`].
    pub duration: Millis,
    /// See [`WindowPlan`].
    pub lead_time: Millis,
    /// See [`WindowPlan`].
    pub max_delay: Millis,
    /// See [`WindowPlan`].
    pub reserve_percent: u8,
    /// See [`WindowPlan`].
    pub overrun_policy: OverrunPolicy,
}

/// How the clock on the wall showed a start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalTimeKind {
    /// Once.
    Unique,
    /// Never, as the clock was put forward over it: the window starts as much later.
    Skipped,
    /// Twice, as the clock was put back: the window starts the first time.
    Repeated,
}

/// A start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occurrence {
    /// In Unix time.
    pub starts_at: Millis,
    /// See there.
    pub local_time: LocalTimeKind,
}

/// What is wrong with some rules together, or with one of them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduleConflict {
    /// Which rule.
    pub recurrence: usize,
    /// The key that says so.
    pub key: &'static str,
    /// Why.
    pub reason: String,
}

impl Recurrence {
    fn nth(&self, n: i64) -> Option<Occurrence> {
        let start = match &self.interval {
            None if n > 0 => return None,
            None => self.starts,
            Some(every) => self.starts.checked_add(every.checked_mul(n).ok()?).ok()?,
        };
        let there = self.time_zone.to_ambiguous_zoned_datetime(start);
        let shown = match there.offset() {
            AmbiguousOffset::Unambiguous { .. } => LocalTimeKind::Unique,
            AmbiguousOffset::Gap { .. } => LocalTimeKind::Skipped,
            AmbiguousOffset::Fold { .. } => LocalTimeKind::Repeated,
        };
        let begin = there.compatible().ok()?.timestamp().as_millisecond();
        Some(Occurrence { starts_at: u64::try_from(begin).ok()?, local_time: shown })
    }

    /// The first start at `from` or after it.
    pub fn next(&self, from: Millis) -> Option<Occurrence> {
        // Starts rise with their number, so the first that is late enough is found by halving.
        let is_early = |n: i64| self.nth(n).is_some_and(|o| o.starts_at < from);
        let (mut low, mut high) = (0, OCCURRENCES_MOST);
        while low < high {
            let middle = low + (high - low) / 2;
            match is_early(middle) {
                true => low = middle + 1,
                false => high = middle,
            }
        }
        self.nth(low).filter(|o| o.starts_at >= from)
    }

    /// The plan of a start.
    pub fn plan(&self, at: Occurrence) -> WindowPlan {
        WindowPlan {
            site: self.site.clone(),
            starts_at: at.starts_at,
            duration: self.duration,
            lead_time: self.lead_time,
            max_delay: self.max_delay,
            reserve_percent: self.reserve_percent,
            overrun_policy: self.overrun_policy,
        }
    }

    /// The longest stretch that a window takes, from the first step to the latest end as it is planned.
    fn stretch(&self, begin: Millis) -> (Millis, Millis) {
        (begin.saturating_sub(self.lead_time), begin + self.max_delay + self.duration)
    }

    fn ahead(&self, now: Millis) -> Vec<(Millis, Millis)> {
        let mut from = now;
        let mut all = Vec::new();
        while let Some(next) = self.next(from).filter(|o| o.starts_at < now + LOOK_AHEAD) {
            all.push(self.stretch(next.starts_at));
            from = next.starts_at + 1;
        }
        all
    }
}

/// All that is wrong with these rules, seen from `now`. `sites` are those that the fleet has; none are known if empty.
pub fn find_conflicts(rules: &[Recurrence], sites: &[String], now: Millis) -> Vec<ScheduleConflict> {
    let mut wrong = Vec::new();
    let mut say = |rule: usize, key: &'static str, why: String| {
        wrong.push(ScheduleConflict { recurrence: rule, key, reason: why })
    };
    let ahead: Vec<Vec<(Millis, Millis)>> = rules.iter().map(|rule| rule.ahead(now)).collect();
    for (i, rule) in rules.iter().enumerate() {
        if !sites.is_empty() && !sites.contains(&rule.site) {
            say(i, "site", format!("{:?} is no site of the fleet: {}", rule.site, sites.join(", ")));
        }
        if rule.interval.as_ref().is_some_and(|every| !every.is_positive()) {
            say(i, "every", "it must be longer than nothing".into());
        } else if ahead[i].is_empty() {
            let what =
                if rule.interval.is_some() { "it never occurs in the next 400 days" } else { "it is past" };
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
