//! Parses and formats times, time zones and calendar spans in the forms of the operator file and of admin
//! commands.

use jiff::tz::TimeZone;
use jiff::{Span, Timestamp, ZonedDateTime};

/// Looks up a time zone by its IANA name, such as "Europe/Berlin".
pub fn parse_time_zone(name: &str) -> Option<TimeZone> {
    TimeZone::get(name).ok()
}

/// Parses a positive calendar span, such as "7 days" or "1 month".
pub fn parse_span(text: &str) -> Option<Span> {
    text.parse::<Span>().ok().filter(Span::is_positive)
}

/// Parses a point in time, such as "2026-05-03T02:00[Europe/Berlin]" or "2026-05-03T00:00Z", as Unix
/// milliseconds.
pub fn parse_timestamp(text: &str) -> Option<u64> {
    let zoned = text.parse::<ZonedDateTime>().map(|zoned| zoned.timestamp());
    let timestamp = zoned.or_else(|_| text.parse::<Timestamp>()).ok()?;
    u64::try_from(timestamp.as_millisecond()).ok()
}

/// Formats Unix milliseconds as an RFC 3339 timestamp in UTC, or as the plain number if no calendar date
/// exists for it.
pub fn format_timestamp(unix_ms: u64) -> String {
    let signed = i64::try_from(unix_ms).ok();
    let timestamp = signed.and_then(|ms| Timestamp::from_millisecond(ms).ok());
    timestamp.map_or_else(|| unix_ms.to_string(), |timestamp| timestamp.to_string())
}
