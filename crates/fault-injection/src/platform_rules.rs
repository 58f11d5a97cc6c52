//! The platform's rules for a planned restart, as in its protocol.

/// Clients still open new connections for this long after SIGTERM, in milliseconds.
pub const CONNECT_AFTER_TERM_MS: f64 = 400.0;
/// A request that arrives later than this after SIGTERM counts as lost if SIGKILL finds it unanswered, in
/// milliseconds.
pub const SHUTDOWN_GRACE_MS: f64 = 700.0;
/// SIGKILL is sent no sooner than the longest deadline plus this margin after SIGTERM, in milliseconds.
const KILL_MARGIN_MS: f64 = 700.0;
/// The limit to which the longest deadline counts for the time of SIGKILL, in milliseconds.
const MAX_KILL_DEADLINE_MS: f64 = 3_000.0;

/// The earliest time of SIGKILL after SIGTERM, in milliseconds, from the longest deadline of all classes.
pub fn earliest_kill_ms(longest_deadline_ms: f64) -> f64 {
    longest_deadline_ms.min(MAX_KILL_DEADLINE_MS) + KILL_MARGIN_MS
}
