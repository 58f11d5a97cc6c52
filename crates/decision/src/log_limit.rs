//! Limits how often a balancer writes to the operators' log, so that an overload does not flood it.

use crate::{Action, Millis};

/// Least time between two lines, in milliseconds.
const LOG_INTERVAL_MS: Millis = 5_000.0;

/// Passes on one line per interval and drops the others.
pub(crate) struct LogLimiter {
    written_at: Millis,
}

impl LogLimiter {
    /// A limiter that lets the first line through.
    pub(crate) fn new() -> LogLimiter {
        LogLimiter { written_at: f64::MIN }
    }

    /// Appends a line to `actions`, unless one was written within the interval; only then is the line
    /// formatted.
    pub(crate) fn write(&mut self, now: Millis, actions: &mut Vec<Action>, line: impl FnOnce() -> String) {
        if now - self.written_at >= LOG_INTERVAL_MS {
            self.written_at = now;
            actions.push(Action::Log(line()));
        }
    }
}
