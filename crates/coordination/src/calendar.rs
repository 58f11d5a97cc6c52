//! What the operator file and the lines say of times.

use jiff::tz::TimeZone;
use jiff::Span;
use jiff::ZonedDateTime as Zoned;

/// A time zone by its name.
pub fn zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// A stretch of the calendar, as "7 days".
pub fn span(text: &str) -> Option<Span> {
    text.parse::<Span>().ok().filter(Span::is_positive)
}

/// A moment, as "2026-05-03T02:00[Europe/Berlin]" or "2026-05-03T00:00Z", in Unix milliseconds.
pub fn moment(text: &str) -> Option<u64> {
    let zoned = text.parse::<Zoned>().map(|zoned| zoned.timestamp());
    let stamp = zoned.or_else(|_| text.parse::<jiff::Timestamp>()).ok()?;
    u64::try_from(stamp.as_millisecond()).ok()
}

/// A Unix time for people.
pub fn shown(unix_ms: u64) -> String {
    let stamp = i64::try_from(unix_ms).ok().and_then(|ms| jiff::Timestamp::from_millisecond(ms).ok());
    stamp.map_or_else(|| unix_ms.to_string(), |stamp| stamp.to_string())
}
