//! Occurrences across changes to and from daylight saving time, and conflicts between recurrences.

use hillstall_maintenance::calendar::{find_conflicts, LocalTimeKind, Recurrence};
use hillstall_maintenance::windows::OverrunPolicy;
use hillstall_maintenance::Millis;
use jiff::tz::TimeZone;

const MINUTE_MS: Millis = 60_000;

fn recurrence(site: &str, starts: &str, time_zone: &str, interval: Option<&str>) -> Recurrence {
    Recurrence {
        site: site.into(),
        starts: starts.parse().expect("a valid local time"),
        time_zone: TimeZone::get(time_zone).expect("a known time zone"),
        interval: interval.map(|text| text.parse().expect("a valid span")),
        duration: 60 * MINUTE_MS,
        lead_time: 15 * MINUTE_MS,
        max_delay: 10 * MINUTE_MS,
        reserve_percent: 20,
        overrun_policy: OverrunPolicy::Return,
    }
}

fn unix(text: &str) -> Millis {
    text.parse::<jiff::Timestamp>().expect("a valid timestamp").as_millisecond() as Millis
}

#[test]
fn a_start_keeps_its_local_time_across_daylight_saving_changes() {
    let weekly = recurrence("north", "2026-03-22T02:30:00", "Europe/Berlin", Some("1w"));
    let next = |from: &str| weekly.next(unix(from)).expect("a next occurrence");
    assert_eq!(next("2026-03-20T00:00:00Z").starts_at, unix("2026-03-22T01:30:00Z"));
    // On 29 March the clock is put forward from 2:00 to 3:00, so 2:30 does not exist.
    let skipped = next("2026-03-23T00:00:00Z");
    assert_eq!(
        (skipped.starts_at, skipped.local_time),
        (unix("2026-03-29T01:30:00Z"), LocalTimeKind::Skipped)
    );
    assert_eq!(next("2026-03-30T00:00:00Z").starts_at, unix("2026-04-05T00:30:00Z"));
    // On 25 October the clock is put back from 3:00 to 2:00, so 2:30 exists twice.
    let repeated = next("2026-10-20T00:00:00Z");
    assert_eq!(
        (repeated.starts_at, repeated.local_time),
        (unix("2026-10-25T00:30:00Z"), LocalTimeKind::Repeated)
    );
}

#[test]
fn a_window_without_interval_occurs_once() {
    let once = recurrence("north", "2026-05-01T10:00:00", "Asia/Bangkok", None);
    assert_eq!(
        once.next(unix("2026-05-01T03:00:00Z")).map(|occurrence| occurrence.starts_at),
        Some(unix("2026-05-01T03:00:00Z"))
    );
    assert_eq!(once.next(unix("2026-05-01T03:00:01Z")), None);
}

#[test]
fn a_conflict_names_its_recurrence_and_key() {
    let now = unix("2026-03-01T00:00:00Z");
    let sites = ["north".to_owned(), "south".to_owned()];
    let recurrences = [
        recurrence("north", "2026-03-10T02:00:00", "UTC", Some("1w")),
        recurrence("south", "2026-04-07T03:00:00", "UTC", None),
        recurrence("nrth", "2026-03-11T12:00:00", "UTC", None),
        recurrence("south", "2026-02-01T12:00:00", "UTC", None),
        recurrence("south", "2026-03-12T12:00:00", "UTC", Some("1h")),
    ];
    let conflicts = find_conflicts(&recurrences, &sites, now);
    let has_conflict = |recurrence: usize, key: &str| {
        conflicts.iter().any(|conflict| conflict.recurrence == recurrence && conflict.key == key)
    };
    assert!(
        has_conflict(1, "start")
            && has_conflict(2, "site")
            && has_conflict(3, "start")
            && has_conflict(4, "lead"),
        "{conflicts:?}"
    );
    assert!(!conflicts.iter().any(|conflict| conflict.recurrence == 0), "{conflicts:?}");
}
