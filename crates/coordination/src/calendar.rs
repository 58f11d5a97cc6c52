//! Times of the calendar, as written in the operator file and in admin commands.

use jiff::tz::TimeZone;
use jiff::{Span, Timestamp, ZonedDateTime};

/// Looks a time zone up by its IANA name, such as "Europe/Berlin".
pub fn parse_time_zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// Parses a positive span of the calendar, such as "7 days".
pub fn parse_span(text: &str) -> Option<Span> {
    text.parse::<Span>().ok().filter(Span::is_positive)
}

/// Parses a point in time, such as "2026-05-03T02:00[Europe/Berlin]" or "2026-05-03T00:00Z", as Unix milliseconds.
pub fn parse_timestamp(text: &str) -> Option<u64> {
    let zoned = text.parse::<ZonedDateTime>().map(|zoned| zoned.timestamp());
    let timestamp = zoned.or_else(|_| text.parse::<Timestamp>()).ok()?;
    u64::try_from(timestamp.as_millisecond()).ok()
}

/// Formats Unix milliseconds as an RFC 3339 timestamp in UTC; the plain number where it is out of the calendar's range.
pub fn format_timestamp(unix_ms: u64) -> String {
    let signed = i64::try_from(unix_ms).ok();
    let timestamp = signed.and_then(|ms| Timestamp::from_millisecond(ms).ok());
    timestamp.map_or_else(|| unix_ms.to_string(), |timestamp| timestamp.to_string())
}
