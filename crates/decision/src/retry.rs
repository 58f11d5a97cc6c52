//! Retries: whether a failed request is retried, the timeout of an attempt, and the retry advice for rejected
//! clients. The platform's reference design does not retry. The retry budget keeps retries a small fraction
//! of the traffic, so that a tier that fails as a whole gets little more than its usual load.

use crate::latency::ClassLatency;
use crate::request::{Attempt, PendingRequest};
use crate::{BackendInfo, Class, DedupScope, Millis, Outcome, Permissions, RetrySafety};

/// Retries that each request adds to the budget.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// Maximum number of retries in the budget.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Number of mean deviations above the mean latency after which an attempt times out. Early timeouts repeat
/// work that mostly still goes on at the first backend.
const TIMEOUT_DEVIATIONS: f64 = 12.0;
/// Minimum attempt timeout, in milliseconds: a short pause of a machine must not count as a hang.
const MIN_ATTEMPT_TIMEOUT_MS: Millis = 12.0;
/// Number of mean latencies that must remain after an attempt timeout for a retry to be useful.
const MIN_LATENCIES_LEFT: f64 = 2.0;
/// Number of mean latencies after which a rejected client may retry: by then about half of the requests that
/// filled the limiter have finished, and the answer can still be in time.
const RETRY_AFTER_LATENCIES: f64 = 0.5;
/// Mean latency that is assumed until a request was served, in milliseconds.
const DEFAULT_LATENCY_MS: Millis = 200.0;
/// Minimum factor of the random jitter on the retry advice; the maximum is 1 more.
const MIN_JITTER: f64 = 0.5;

/// The longest time for which the process may be held up between a look at its clock and a write, in
/// milliseconds.
const MAX_PAUSE_MS: Millis = 150.0;

/// A token bucket for retries.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { retries: MAX_SAVED_RETRIES }
    }

    /// Adds [`RETRIES_PER_REQUEST`] to the budget for a request that arrived.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry from the budget; `false` if less than one is left.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Whether a request may be retried after its last attempt ended with `outcome`.
pub(crate) fn may_retry(class: &Class, may_have_run: Option<Attempt>, outcome: Outcome, now: Millis) -> bool {
    let is_safe = match (class.retry_safety, may_have_run) {
        (_, None) | (RetrySafety::Idempotent, _) => true,
        (RetrySafety::IdempotencyKey, Some(first)) => now < dedup_ends_at(class, first),
        (RetrySafety::NonIdempotent, Some(_)) => false,
    };
    is_safe && !outcome.was_abandoned()
}

/// The clock time before which the next attempt has to be written; `None` if there is no limit.
pub(crate) fn write_by(class: &Class, may_have_run: Option<Attempt>) -> Option<Millis> {
    let is_deduplicated = class.retry_safety == RetrySafety::IdempotencyKey;
    may_have_run.filter(|_| is_deduplicated).map(|first| dedup_ends_at(class, first))
}

/// The clock time until which backends certainly drop repetitions of a request that are written then.
fn dedup_ends_at(class: &Class, first: Attempt) -> Millis {
    first.sent_at + class.dedup_window_ms - MAX_PAUSE_MS
}

/// Whether a backend may get the next attempt. Once a request with an idempotency key may have run, only the
/// backends that deduplicate it may.
pub(crate) fn may_send_to(class: &Class, may_have_run: Option<Attempt>, backend: &BackendInfo) -> bool {
    match (class.retry_safety, may_have_run) {
        (RetrySafety::IdempotencyKey, Some(first)) => match class.dedup_scope {
            DedupScope::All => true,
            DedupScope::Zone => first.backend.zone == backend.zone,
            DedupScope::Cell => first.backend.cell == backend.cell,
        },
        _ => true,
    }
}

/// Whether the client may safely send the request again at `retry_at`, so that the final answer can be a
/// rejection instead of a failure.
pub(crate) fn may_client_retry(class: &Class, may_have_run: Option<Attempt>, retry_at: Millis) -> bool {
    match (class.retry_safety, may_have_run) {
        (RetrySafety::Idempotent, _) | (_, None) => true,
        (RetrySafety::IdempotencyKey, Some(first)) => {
            class.dedup_scope == DedupScope::All && retry_at < dedup_ends_at(class, first)
        }
        (RetrySafety::NonIdempotent, Some(_)) => false,
    }
}

/// Returns the timeout of the next attempt: all the time left, or less if a retry could still be useful.
pub(crate) fn attempt_timeout(
    request: &PendingRequest,
    class: &Class,
    latency: &ClassLatency,
    time_left: Millis,
) -> Millis {
    let timeout = (latency.mean + TIMEOUT_DEVIATIONS * latency.deviation).max(MIN_ATTEMPT_TIMEOUT_MS);
    let is_final = class.retry_safety == RetrySafety::NonIdempotent || request.attempts > 0;
    if is_final || latency.mean == 0.0 || time_left < timeout + MIN_LATENCIES_LEFT * latency.mean {
        time_left
    } else {
        timeout
    }
}

/// Returns the time after which a rejected client should retry, in milliseconds; 0 for no advice. The jitter
/// keeps clients that were rejected together from returning together. Only the top tier gives advice, because
/// the callers of lower tiers do not wait.
pub(crate) fn retry_after(
    permissions: &Permissions,
    tier: u32,
    latency: &ClassLatency,
    random: impl FnOnce() -> f64,
) -> Millis {
    if tier > 0 || !permissions.retry_after {
        return 0.0;
    }
    let mean = Some(latency.mean).filter(|mean| *mean > 0.0).unwrap_or(DEFAULT_LATENCY_MS);
    (RETRY_AFTER_LATENCIES * mean * (MIN_JITTER + random())).min(permissions.max_retry_after_ms)
}
