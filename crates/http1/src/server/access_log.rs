//! One record of the log for each call, where the operator asks for it.

use crate::client::HttpClient;
use hillstall_decision::Outcome;
use hillstall_proxy_core::driver::{FinalResponse, RequestTrace};
use std::time::{Duration, Instant};

/// What the log is told of a call.
pub(super) struct AccessLogRecord {
    pub(super) id: String,
    pub(super) class: String,
    pub(super) tenant: String,
    /// The tier it was for.
    pub(super) tier: String,
    pub(super) end: &'static str,
    pub(super) status: u16,
    pub(super) trace: RequestTrace,
    /// When the first bytes of the call were read.
    pub(super) started_at: Instant,
    /// When its final answer was there.
    pub(super) completed_at: Instant,
}

/// Why a call ended as it did, in one word.
pub(super) fn completion_name(answer: &FinalResponse<HttpClient>) -> &'static str {
    match answer {
        FinalResponse::Served(_) => "served",
        FinalResponse::Rejected(_) => "refused",
        FinalResponse::Failed => "failed",
        FinalResponse::InvalidRequest(_) => "rejected",
    }
}

fn milliseconds(time: Duration) -> f64 {
    (time.as_secs_f64() * 1e6).round() / 1e3
}

impl AccessLogRecord {
    /// Writes the record, now that the answer has gone to the connection, or can't. Phases are in milliseconds:
    /// reading the call, deciding on its first attempt, all attempts but the last, the last, and writing.
    pub(super) fn write(self: Box<Self>, whole: bool) {
        let AccessLogRecord {
            id,
            class,
            tenant,
            tier,
            end,
            status,
            trace: course,
            started_at: begun,
            completed_at: ended,
        } = *self;
        let first = course.first_attempt_at.unwrap_or(ended);
        let last = course.last_attempt_at.unwrap_or(ended);
        let between = |from: Instant, to: Instant| milliseconds(to.saturating_duration_since(from));
        let server = course.backend_address.map(|server| server.to_string()).unwrap_or_default();
        let outcome = course.last_outcome.map(Outcome::name).unwrap_or_default();
        let why = course.reason.map(|why| why.name()).unwrap_or_default();
        tracing::info!(
            target: "hillstall::call",
            id,
            class,
            tenant,
            tier,
            end,
            status,
            whole,
            attempts = course.attempts,
            server,
            outcome,
            why,
            read_ms = between(begun, course.accepted_at),
            decide_ms = between(course.accepted_at, first),
            earlier_ms = between(first, last),
            last_ms = between(last, ended),
            write_ms = milliseconds(ended.elapsed()),
            "call"
        );
    }
}
