//! What a balancer remembers of a request between its arrival and its final answer.

use crate::{BackendId, BackendInfo, Millis, Outcome};

/// One attempt of a request.
#[derive(Clone, Copy)]
pub(crate) struct Attempt {
    /// Where it went, as the backend was listed at the send.
    pub(crate) backend: BackendInfo,
    /// When it was sent.
    pub(crate) sent_at: Millis,
}

/// How an attempt ended.
#[derive(Clone, Copy)]
pub(crate) struct Completion {
    /// The outcome.
    pub(crate) outcome: Outcome,
    /// Time since the send, as the proxy measured it.
    pub(crate) took: Millis,
    /// The part of a full rise of the limits that the backend's spare CPU permits, from 0 to 1.
    pub(crate) headroom: f64,
}

/// A request without a final answer.
pub(crate) struct PendingRequest {
    /// Its class's place in the settings.
    pub(crate) class: usize,
    /// Its tenant's place in the settings.
    pub(crate) tenant: usize,
    /// Expected work in milliseconds; 0 where unknown.
    pub(crate) expected_work: Millis,
    /// It goes beyond its tenant's quota and uses burst capacity.
    pub(crate) exceeds_quota: bool,
    /// The client marked it as a retry.
    pub(crate) is_client_retry: bool,
    /// When the client stops waiting.
    pub(crate) deadline: Millis,
    /// Attempts sent so far.
    pub(crate) attempts: u32,
    /// The attempt that is out.
    pub(crate) in_flight: Option<Attempt>,
    /// The backends of all attempts.
    pub(crate) tried: Vec<BackendId>,
    /// The first attempt that may have run, as known at its send: a backend that has left the list since must
    /// not make it forgotten.
    pub(crate) may_have_run: Option<Attempt>,
    /// The client has left.
    pub(crate) client_gone: bool,
}
