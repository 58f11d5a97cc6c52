//! The platform's rules on a planned restart, as its protocol page has them.

/// New connections keep coming for this long after SIGTERM, in milliseconds.
pub const CONNECT_AFTER_TERM_MS: f64 = 400.0;
/// What SIGKILL finds unanswered is lost if it came more than this after SIGTERM, in milliseconds.
pub const SHUTDOWN_GRACE_MS: f64 = 700.0;
/// SIGKILL comes no sooner than the longest deadline and this after SIGTERM, in milliseconds.
const KILL_MARGIN_MS: f64 = 700.0;
/// A longer deadline counts as this long, in milliseconds.
const MAX_KILL_DEADLINE_MS: f64 = 3_000.0;

/// How long after SIGTERM a process is killed at the earliest, in milliseconds.
pub fn earliest_kill_ms(longest_deadline_ms: f64) -> f64 {
    longest_deadline_ms.min(MAX_KILL_DEADLINE_MS) + KILL_MARGIN_MS
}
