//! The access log: one record for each request, if the operator turns it on (`log.calls`).

use crate::client::HttpClient;
use hillstall_decision::Outcome;
use hillstall_proxy_core::driver::{FinalResponse, RequestTrace};
use std::time::{Duration, Instant};

/// One record of the access log.
pub(super) struct AccessLogRecord {
    /// Value of the `Request-Id` header.
    pub(super) id: String,
    /// Name of the request's class.
    pub(super) class: String,
    /// Name of the tenant; empty if the settings have no tenants.
    pub(super) tenant: String,
    /// Name of the tier of backends that this instance sends to.
    pub(super) tier: String,
    /// How the request ended: see [`completion_name`].
    pub(super) completion: &'static str,
    /// HTTP status of the response.
    pub(super) status: u16,
    /// History of the attempts.
    pub(super) trace: RequestTrace,
    /// When the first bytes of the request were read.
    pub(super) started_at: Instant,
    /// When the final response was known.
    pub(super) completed_at: Instant,
}

/// How a request ended, as written to the access log. Tools read these names, so they are fixed.
pub(super) fn completion_name(response: &FinalResponse<HttpClient>) -> &'static str {
    match response {
        FinalResponse::Served(_) => "served",
        FinalResponse::Rejected(_) => "refused",
        FinalResponse::Failed => "failed",
        FinalResponse::InvalidRequest(_) => "rejected",
    }
}

/// A duration in milliseconds, rounded to whole microseconds.
fn milliseconds(duration: Duration) -> f64 {
    (duration.as_secs_f64() * 1e6).round() / 1e3
}

/// The milliseconds between two instants; 0 if they are in the wrong order.
fn milliseconds_between(from: Instant, to: Instant) -> f64 {
    milliseconds(to.saturating_duration_since(from))
}

impl AccessLogRecord {
    /// Writes the record after the response has been passed to the connection completely (`is_complete`), or
    /// sending it has failed. The durations are, in this order: reading the request, deciding on the first
    /// attempt, all attempts but the last, the last attempt, and writing the response.
    pub(super) fn write(self: Box<Self>, is_complete: bool) {
        let AccessLogRecord { id, class, tenant, tier, completion, status, trace, started_at, completed_at } =
            *self;
        let first_attempt_at = trace.first_attempt_at.unwrap_or(completed_at);
        let last_attempt_at = trace.last_attempt_at.unwrap_or(completed_at);
        // Tools read the target, the field names and the message, so they are fixed.
        tracing::info!(
            target: "hillstall::call",
            id,
            class,
            tenant,
            tier,
            end = completion,
            status,
            whole = is_complete,
            attempts = trace.attempts,
            server = trace.backend_address.map(|address| address.to_string()).unwrap_or_default(),
            outcome = trace.last_outcome.map(Outcome::name).unwrap_or_default(),
            why = trace.reason.map(|reason| reason.name()).unwrap_or_default(),
            read_ms = milliseconds_between(started_at, trace.accepted_at),
            decide_ms = milliseconds_between(trace.accepted_at, first_attempt_at),
            earlier_ms = milliseconds_between(first_attempt_at, last_attempt_at),
            last_ms = milliseconds_between(last_attempt_at, completed_at),
            write_ms = milliseconds(completed_at.elapsed()),
            "call"
        );
    }
}
