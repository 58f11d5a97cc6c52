//! The clock of the decision module, in milliseconds of Unix time, and conversions to and from [`Duration`].

use hillstall_decision::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MS_PER_SECOND: f64 = 1000.0;

/// The longest duration, one hour in milliseconds. The bound keeps arithmetic on instants from overflowing.
const MAX_DURATION_MS: Millis = 3.6e6;

/// The longest duration that [`duration_from_ms`] returns.
pub(crate) const MAX_DURATION: Duration = Duration::from_millis(MAX_DURATION_MS as u64);

/// A monotonic clock that starts from the system time.
pub(crate) struct Clock {
    started_at: Instant,
    unix_ms_at_start: Millis,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_ms_at_start: ms_from_duration(unix) }
    }

    /// Unix time in milliseconds; it never goes back.
    pub(crate) fn now_ms(&self) -> Millis {
        self.unix_ms_at_start + ms_from_duration(self.started_at.elapsed())
    }

    /// The instant at which [`now_ms`](Clock::now_ms) is `ms`, at the earliest the start of the clock; `None` if it
    /// is too far ahead to be represented.
    pub(crate) fn instant_at(&self, ms: Millis) -> Option<Instant> {
        let since_start = (ms - self.unix_ms_at_start).max(0.0) / MS_PER_SECOND;
        self.started_at.checked_add(Duration::try_from_secs_f64(since_start).ok()?)
    }
}

pub(crate) fn ms_from_duration(duration: Duration) -> Millis {
    duration.as_secs_f64() * MS_PER_SECOND
}

/// Converts milliseconds, clamped to between zero and one hour; zero if `ms` is not finite.
pub fn duration_from_ms(ms: Millis) -> Duration {
    if !ms.is_finite() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(ms.clamp(0.0, MAX_DURATION_MS) / MS_PER_SECOND)
}
