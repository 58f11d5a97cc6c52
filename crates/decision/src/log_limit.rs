//! Rate limit for a balancer's lines in the operators' log, so that an overload does not flood it.

use crate::{Action, Millis};

/// Minimum time between two lines, in milliseconds.
const LOG_INTERVAL_MS: Millis = 5_000.0;

/// Passes on at most one line per [`LOG_INTERVAL_MS`] and drops the others.
pub(crate) struct LogLimiter {
    written_at: Millis,
}

impl LogLimiter {
    /// Creates a limiter that passes on the first line.
    pub(crate) fn new() -> LogLimiter {
        LogLimiter { written_at: f64::MIN }
    }

    /// Appends a line to `actions`, unless one was written within the interval. A line that is dropped is not
    /// formatted.
    pub(crate) fn write(&mut self, now: Millis, actions: &mut Vec<Action>, line: impl FnOnce() -> String) {
        if now - self.written_at >= LOG_INTERVAL_MS {
            self.written_at = now;
            actions.push(Action::Log(line()));
        }
    }
}
