//! The access log: one record for each request, where the operator turns it on.

use crate::client::HttpClient;
use hillstall_decision::Outcome;
use hillstall_proxy_core::driver::{FinalResponse, RequestTrace};
use std::time::{Duration, Instant};

/// One record of the access log.
pub(super) struct AccessLogRecord {
    /// The `Request-Id`.
    pub(super) id: String,
    /// The name of the request's class.
    pub(super) class: String,
    /// The name of its tenant; empty where there are none.
    pub(super) tenant: String,
    /// The name of the tier it was sent to.
    pub(super) tier: String,
    /// How it ended: see [`completion_name`].
    pub(super) end: &'static str,
    /// The status of the response.
    pub(super) status: u16,
    /// Its attempts.
    pub(super) trace: RequestTrace,
    /// When its first bytes were read.
    pub(super) started_at: Instant,
    /// When its final response was known.
    pub(super) completed_at: Instant,
}

/// How a request ended, in the words of the access log.
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
    /// Writes the record, once the response has been handed to the connection (`is_complete`) or can't be.
    /// The phases: reading the request, deciding on its first attempt, all attempts but the last, the last
    /// attempt, and writing the response.
    pub(super) fn write(self: Box<Self>, is_complete: bool) {
        let AccessLogRecord { id, class, tenant, tier, end, status, trace, started_at, completed_at } = *self;
        let first_attempt_at = trace.first_attempt_at.unwrap_or(completed_at);
        let last_attempt_at = trace.last_attempt_at.unwrap_or(completed_at);
        // The field names are read by tools: they stay.
        tracing::info!(
            target: "hillstall::call",
            id,
            class,
            tenant,
            tier,
            end,
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
