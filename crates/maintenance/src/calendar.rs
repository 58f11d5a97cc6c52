//! The calendar of recurring windows. A window's start is a local time in a time zone and keeps that local
//! time across changes to and from daylight saving time.

use crate::windows::{OverrunPolicy, WindowPlan};
use crate::Millis;
use jiff::civil::DateTime;
use jiff::tz::{AmbiguousOffset, TimeZone};
use jiff::Span;

/// How far ahead conflicts are looked for: 400 days.
const CONFLICT_HORIZON_MS: Millis = 400 * 86_400_000;
/// Maximum number of occurrences of one recurrence; bounds the search for the next one.
const MAX_OCCURRENCES: i64 = 100_000;

/// A single window or a series of windows, as configured in the operator file.
#[derive(Clone, Debug)]
pub struct Recurrence {
    /// The site whose traffic is shifted away.
    pub site: String,
    /// The first start, in local time.
    pub starts: DateTime,
    /// The time zone of the local time.
    pub time_zone: TimeZone,
    /// The time from one start to the next; `None` for a single window.
    pub interval: Option<Span>,
    /// See [`WindowPlan::duration`].
    pub duration: Millis,
    /// See [`WindowPlan::lead_time`].
    pub lead_time: Millis,
    /// See [`WindowPlan::max_delay`].
    pub max_delay: Millis,
    /// See [`WindowPlan::reserve_percent`].
    pub reserve_percent: u8,
    /// See [`WindowPlan::overrun_policy`].
    pub overrun_policy: OverrunPolicy,
}

/// Whether a local time exists on its day, given changes to and from daylight saving time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LocalTimeKind {
    /// The local time exists once.
    Unique,
    /// The local time does not exist, as the clock is put forward over it. The window starts later by the
    /// same amount.
    Skipped,
    /// The local time exists twice, as the clock is put back. The window starts at the first of the two.
    Repeated,
}

/// The start of one window of a recurrence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occurrence {
    /// The start, in Unix time.
    pub starts_at: Millis,
    /// Whether the start's local time exists on that day.
    pub local_time: LocalTimeKind,
}

/// Why a recurrence is invalid, by itself or because it conflicts with another one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScheduleConflict {
    /// The index of the recurrence in the list that was checked.
    pub recurrence: usize,
    /// The key in the window's section of the operator file that is to be changed.
    pub key: &'static str,
    /// What is wrong, for operators.
    pub reason: String,
}

/// The time that a window may occupy, from the start of its traffic shift to its latest planned end; in Unix
/// time.
#[derive(Clone, Copy, Debug)]
struct OccupiedTime {
    from: Millis,
    until: Millis,
}

impl OccupiedTime {
    fn overlaps(&self, other: &OccupiedTime) -> bool {
        self.from < other.until && other.from < self.until
    }
}

impl Recurrence {
    /// The occurrence with this index, counted from 0.
    fn nth(&self, index: i64) -> Option<Occurrence> {
        let local_start = match &self.interval {
            None if index > 0 => return None,
            None => self.starts,
            Some(interval) => self.starts.checked_add(interval.checked_mul(index).ok()?).ok()?,
        };
        let zoned = self.time_zone.to_ambiguous_zoned_datetime(local_start);
        let local_time = match zoned.offset() {
            AmbiguousOffset::Unambiguous { .. } => LocalTimeKind::Unique,
            AmbiguousOffset::Gap { .. } => LocalTimeKind::Skipped,
            AmbiguousOffset::Fold { .. } => LocalTimeKind::Repeated,
        };
        let starts_at = zoned.compatible().ok()?.timestamp().as_millisecond();
        Some(Occurrence { starts_at: u64::try_from(starts_at).ok()?, local_time })
    }

    /// The first start at or after `from`, in Unix time; `None` if there is none.
    pub fn next(&self, from: Millis) -> Option<Occurrence> {
        // Starts increase with their index, so a binary search finds the first one that is not before `from`.
        let is_earlier = |index: i64| self.nth(index).is_some_and(|occurrence| occurrence.starts_at < from);
        let (mut low, mut high) = (0, MAX_OCCURRENCES);
        while low < high {
            let middle = low + (high - low) / 2;
            match is_earlier(middle) {
                true => low = middle + 1,
                false => high = middle,
            }
        }
        self.nth(low).filter(|occurrence| occurrence.starts_at >= from)
    }

    /// The plan of the window that starts with this occurrence.
    pub fn plan(&self, occurrence: Occurrence) -> WindowPlan {
        WindowPlan {
            site: self.site.clone(),
            starts_at: occurrence.starts_at,
            duration: self.duration,
            lead_time: self.lead_time,
            max_delay: self.max_delay,
            reserve_percent: self.reserve_percent,
            overrun_policy: self.overrun_policy,
        }
    }

    fn occupied_time(&self, starts_at: Millis) -> OccupiedTime {
        OccupiedTime {
            from: starts_at.saturating_sub(self.lead_time),
            until: starts_at + self.max_delay + self.duration,
        }
    }

    /// The times that the recurrence's windows occupy, from `now` to the conflict horizon.
    fn occupied_times(&self, now: Millis) -> Vec<OccupiedTime> {
        let mut from = now;
        let mut times = Vec::new();
        while let Some(next) = self.next(from).filter(|next| next.starts_at < now + CONFLICT_HORIZON_MS) {
            times.push(self.occupied_time(next.starts_at));
            from = next.starts_at + 1;
        }
        times
    }

    fn has_positive_interval(&self) -> bool {
        self.interval.as_ref().is_none_or(|interval| interval.is_positive())
    }
}

/// Finds all conflicts of these recurrences within 400 days from `now` (Unix time). `sites` are the fleet's
/// sites; if it is empty, site names are not checked.
pub fn find_conflicts(recurrences: &[Recurrence], sites: &[String], now: Millis) -> Vec<ScheduleConflict> {
    let occupied: Vec<Vec<OccupiedTime>> =
        recurrences.iter().map(|recurrence| recurrence.occupied_times(now)).collect();
    let mut conflicts = Vec::new();
    for (index, recurrence) in recurrences.iter().enumerate() {
        let mut add = |key, reason| conflicts.push(ScheduleConflict { recurrence: index, key, reason });
        if let Some(reason) = unknown_site(recurrence, sites) {
            add("site", reason);
        }
        if !recurrence.has_positive_interval() {
            add("every", "it must be a positive span of time".into());
        } else if occupied[index].is_empty() {
            let is_series = recurrence.interval.is_some();
            let reason = if is_series { "it never occurs in the next 400 days" } else { "it is past" };
            add("start", reason.into());
        }
        if overlaps_itself(&occupied[index]) {
            add("lead", "it is longer than the gap to the window before".into());
        }
        for (other_index, other) in recurrences.iter().enumerate().take(index) {
            if other.site != recurrence.site && any_overlap(&occupied[index], &occupied[other_index]) {
                add("start", format!("it overlaps window {} of {}", other_index + 1, other.site));
            }
        }
    }
    conflicts
}

fn unknown_site(recurrence: &Recurrence, sites: &[String]) -> Option<String> {
    let is_known = sites.is_empty() || sites.contains(&recurrence.site);
    (!is_known).then(|| format!("{:?} is no site of the fleet: {}", recurrence.site, sites.join(", ")))
}

/// Whether a window of a series starts its traffic shift before the previous one has ended.
fn overlaps_itself(times: &[OccupiedTime]) -> bool {
    times.windows(2).any(|pair| pair[1].from < pair[0].until)
}

fn any_overlap(times: &[OccupiedTime], others: &[OccupiedTime]) -> bool {
    times.iter().any(|time| others.iter().any(|other| time.overlaps(other)))
}
