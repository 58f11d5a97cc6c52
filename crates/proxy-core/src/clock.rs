//! The time as the decision module counts it, and its conversion to [`Duration`].

use hillstall_decision::Millis;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const MS_PER_SECOND: f64 = 1000.0;

/// The longest time that may be waited, in milliseconds: one hour. It keeps arithmetic on instants in range.
const MAX_DURATION_MS: Millis = 3.6e6;

/// The longest time that [`duration_from_ms`] gives.
pub(crate) const MAX_DURATION: Duration = Duration::from_millis(MAX_DURATION_MS as u64);

/// Unix time in milliseconds that never goes back.
pub(crate) struct Clock {
    started_at: Instant,
    unix_ms_at_start: Millis,
}

impl Clock {
    pub(crate) fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { started_at: Instant::now(), unix_ms_at_start: ms_from_duration(unix) }
    }

    pub(crate) fn now_ms(&self) -> Millis {
        self.unix_ms_at_start + ms_from_duration(self.started_at.elapsed())
    }
}

/// A duration in milliseconds.
pub(crate) fn ms_from_duration(duration: Duration) -> Millis {
    duration.as_secs_f64() * MS_PER_SECOND
}

/// A duration of so many milliseconds, between zero and [`MAX_DURATION`]; zero if the number is not finite.
pub(crate) fn duration_from_ms(ms: Millis) -> Duration {
    if !ms.is_finite() {
        return Duration::ZERO;
    }
    Duration::from_secs_f64(ms.clamp(0.0, MAX_DURATION_MS) / MS_PER_SECOND)
}
