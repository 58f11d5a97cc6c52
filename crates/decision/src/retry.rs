//! Retries: whether a failed request is sent again, how long one attempt may take, and what a client is told
//! that is not served. The platform's design does not retry; the budget keeps retries a small part of the
//! traffic, so that a tier that fails as a whole gets little more than its usual load.

use crate::latency::ClassLatency;
use crate::request::{Attempt, PendingRequest};
use crate::{BackendInfo, Class, DedupScope, Millis, Outcome, Permissions, RetrySafety};

/// Retries earned by each request.
const RETRIES_PER_REQUEST: f64 = 0.1;
/// The most retries that can be saved up.
const MAX_SAVED_RETRIES: f64 = 10.0;
/// Mean deviations over the mean latency after which an attempt is given up for another: giving up early
/// repeats work that mostly goes on.
const TIMEOUT_DEVIATIONS: f64 = 12.0;
/// The shortest attempt timeout, in milliseconds: a pause of a machine is no hang.
const MIN_ATTEMPT_TIMEOUT_MS: Millis = 12.0;
/// Mean latencies that must be left after an attempt timeout for another attempt to be of use.
const MIN_LATENCIES_LEFT: f64 = 2.0;
/// Mean latencies after which a rejected client may come back: by then about half of what filled the limiter
/// has finished, and its answer can still be in time.
const RETRY_AFTER_LATENCIES: f64 = 0.5;
/// Mean latency that is assumed while none is known, in milliseconds.
const DEFAULT_LATENCY_MS: Millis = 200.0;
/// Least part of the wait that a rejected client gets; the rest is random.
const MIN_JITTER: f64 = 0.5;

/// The retries that may still be sent.
pub(crate) struct RetryBudget {
    retries: f64,
}

impl RetryBudget {
    /// A full budget.
    pub(crate) fn new() -> RetryBudget {
        RetryBudget { retries: MAX_SAVED_RETRIES }
    }

    /// Earns a part of a retry for a request that arrived.
    pub(crate) fn earn(&mut self) {
        self.retries = (self.retries + RETRIES_PER_REQUEST).min(MAX_SAVED_RETRIES);
    }

    /// Takes one retry; false if there is none.
    pub(crate) fn try_spend(&mut self) -> bool {
        if self.retries < 1.0 {
            return false;
        }
        self.retries -= 1.0;
        true
    }
}

/// Whether a request whose last attempt ended so may be sent again.
pub(crate) fn may_retry(class: &Class, may_have_run: Option<Attempt>, outcome: Outcome, now: Millis) -> bool {
    let is_safe = match (class.retry_safety, may_have_run) {
        (_, None) | (RetrySafety::Idempotent, _) => true,
        (RetrySafety::IdempotencyKey, Some(first)) => now - first.sent_at < class.dedup_window_ms,
        (RetrySafety::NonIdempotent, Some(_)) => false,
    };
    is_safe && !outcome.was_abandoned()
}

/// Whether a backend may get the next attempt: once a request with an idempotency key may have run, only the
/// group that drops its retry.
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

/// Whether the client may safely send the request again, so that it can be rejected rather than failed.
pub(crate) fn may_client_retry(class: &Class, may_have_run: Option<Attempt>, now: Millis) -> bool {
    match (class.retry_safety, may_have_run) {
        (RetrySafety::Idempotent, _) | (_, None) => true,
        (RetrySafety::IdempotencyKey, Some(first)) => {
            class.dedup_scope == DedupScope::All && now - first.sent_at < class.dedup_window_ms
        }
        (RetrySafety::NonIdempotent, Some(_)) => false,
    }
}

/// How long to wait for one attempt: all the time left, or less where another attempt is of use.
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

/// When a rejected client may come back, in milliseconds; 0 for no advice. Random, so that clients rejected
/// together do not return together. Only the top tier advises: further down nobody waits.
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
