//! The properties of a request that the decision module uses, and the history of its attempts.

use crate::clock::ms_from_duration;
use hillstall_decision::{Millis, Outcome, UnservedReason};
use std::net::SocketAddr;
use std::time::Instant;

/// The properties of a request on which the decision module bases its decisions.
pub struct RequestMetadata {
    /// Index of its class in the settings.
    pub class: u8,
    /// Index of its tenant in the settings.
    pub tenant: u16,
    /// Routing key: a hash of the entity that the request names; `None` if it names none.
    pub key: Option<u64>,
    /// Expected processing time in milliseconds, if the client states it.
    pub expected_work_ms: Option<Millis>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Whether the request changes state at the backend.
    pub is_write: bool,
    /// When the client stops waiting for its response.
    pub deadline: Instant,
}

/// The history of a request's attempts, for the access log.
#[derive(Clone, Copy, Debug)]
pub struct RequestTrace {
    /// Number of attempts started.
    pub attempts: u32,
    /// Address of the backend of the last attempt; `None` without attempts.
    pub backend_address: Option<SocketAddr>,
    /// When the request was accepted.
    pub accepted_at: Instant,
    /// When the first attempt was started.
    pub first_attempt_at: Option<Instant>,
    /// When the last attempt was started.
    pub last_attempt_at: Option<Instant>,
    /// Outcome of the last attempt that has ended.
    pub last_outcome: Option<Outcome>,
    /// Why the decision module rejected or failed the request; `None` if it did neither.
    pub reason: Option<UnservedReason>,
}

impl RequestTrace {
    /// The trace of a request that has just been accepted.
    pub(crate) fn new() -> RequestTrace {
        RequestTrace {
            attempts: 0,
            backend_address: None,
            accepted_at: Instant::now(),
            first_attempt_at: None,
            last_attempt_at: None,
            last_outcome: None,
            reason: None,
        }
    }

    /// Time from the start of the first attempt to `now`, in milliseconds; 0 without attempts.
    pub(crate) fn ms_since_first_attempt(&self, now: Instant) -> Millis {
        let since = self.first_attempt_at.map(|first| now.saturating_duration_since(first));
        ms_from_duration(since.unwrap_or_default())
    }

    /// Records that an attempt is started.
    pub(crate) fn record_attempt(&mut self, backend_address: SocketAddr, sent_at: Instant) {
        self.attempts += 1;
        self.backend_address = Some(backend_address);
        self.first_attempt_at = self.first_attempt_at.or(Some(sent_at));
        self.last_attempt_at = Some(sent_at);
    }
}
