//! What a request is to the decision module, and the history of its attempts.

use hillstall_decision::{Millis, Outcome, UnservedReason};
use std::net::SocketAddr;
use std::time::Instant;

/// The properties of a request that the decision module goes by.
pub struct RequestMetadata {
    /// Index of its class in the settings.
    pub class: u8,
    /// Index of its tenant in the settings.
    pub tenant: u16,
    /// Hash of the entity that it is about, if it names one.
    pub key: Option<u64>,
    /// Expected work in milliseconds, if the client states it.
    pub expected_work_ms: Option<Millis>,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
    /// Whether it changes state at the backend.
    pub is_write: bool,
    /// When the client stops waiting.
    pub deadline: Instant,
}

/// The history of a request's attempts, for the access log.
#[derive(Clone, Copy, Debug)]
pub struct RequestTrace {
    /// Number of attempts sent.
    pub attempts: u32,
    /// The backend of the last attempt.
    pub backend_address: Option<SocketAddr>,
    /// When the request was accepted.
    pub accepted_at: Instant,
    /// When the first attempt was sent.
    pub first_attempt_at: Option<Instant>,
    /// When the last attempt was sent.
    pub last_attempt_at: Option<Instant>,
    /// Outcome of the last attempt that ended.
    pub last_outcome: Option<Outcome>,
    /// Why the decision module rejected or failed the request, if it did.
    pub reason: Option<UnservedReason>,
}

impl RequestTrace {
    /// The trace of a request that is accepted now.
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

    /// Records that an attempt is sent.
    pub(crate) fn record_attempt(&mut self, backend_address: SocketAddr, sent_at: Instant) {
        self.attempts += 1;
        self.backend_address = Some(backend_address);
        self.first_attempt_at = self.first_attempt_at.or(Some(sent_at));
        self.last_attempt_at = Some(sent_at);
    }
}
