//! The table of open requests, and the guard by which the server side of a protocol refers to one of them.

use super::Driver;
use crate::request::RequestTrace;
use crate::response::{Completion, FinalResponse};
use crate::transport::{RequestPayload, Transport};
use hillstall_decision::{BackendId, RequestId};
use rustc_hash::{FxHashMap, FxHashSet};
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::Instant;
use tokio::sync::oneshot;

/// The attempt of a request that is in flight.
pub(super) struct InFlightAttempt {
    /// Number of the attempt within its request, from 0.
    pub(super) number: u8,
    pub(super) backend: BackendId,
    /// Cancels the attempt; `None` once that is done.
    pub(super) cancel: Option<oneshot::Sender<()>>,
}

/// A request that has no final response yet, or still has an attempt in flight.
pub(super) struct OpenRequest<C: Transport> {
    pub(super) class: u8,
    pub(super) payload: Rc<C::Request>,
    pub(super) deadline: Instant,
    /// `None` once the final response has been sent.
    pub(super) responder: Option<oneshot::Sender<Completion<C>>>,
    pub(super) trace: RequestTrace,
    pub(super) in_flight: Option<InFlightAttempt>,
}

impl<C: Transport> OpenRequest<C> {
    /// Sends the final response, unless one has been sent.
    pub(super) fn respond(&mut self, response: FinalResponse<C>) {
        if let Some(responder) = self.responder.take() {
            // Fails only if the client has just disconnected.
            let _ = responder.send(Completion { response, trace: self.trace });
        }
    }

    /// Whether the final response has been sent.
    pub(super) fn has_response(&self) -> bool {
        self.responder.is_none()
    }

    /// Whether another attempt may start: there is no final response, no attempt is in flight, fewer than
    /// `max_attempts` have been sent, and the payload can still be sent.
    pub(super) fn may_start_attempt(&self, max_attempts: u32) -> bool {
        !self.has_response()
            && self.in_flight.is_none()
            && self.trace.attempts < max_attempts
            && !self.payload.is_consumed()
    }

    /// Records that an attempt starts. The returned receiver completes when the attempt is cancelled.
    pub(super) fn start_attempt(
        &mut self,
        backend: BackendId,
        address: SocketAddr,
        sent_at: Instant,
    ) -> oneshot::Receiver<()> {
        let (cancel, cancelled) = oneshot::channel();
        let number = self.trace.attempts as u8;
        self.in_flight = Some(InFlightAttempt { number, backend, cancel: Some(cancel) });
        self.trace.record_attempt(address, sent_at);
        tracing::debug!(
            id = self.payload.id(),
            attempt = self.trace.attempts,
            backend = %address,
            since_first_ms = self.trace.ms_since_first_attempt(sent_at),
            "attempt begins"
        );
        cancelled
    }

    /// Cancels the attempt of this number, if it is in flight.
    pub(super) fn cancel_attempt(&mut self, number: u8) {
        let in_flight = self.in_flight.as_mut().filter(|attempt| attempt.number == number);
        if let Some(cancel) = in_flight.and_then(|attempt| attempt.cancel.take()) {
            // Fails only if the attempt has just ended.
            let _ = cancel.send(());
        }
    }
}

/// The open requests by id. Ids are not reused.
pub(super) struct RequestTable<C: Transport> {
    requests: FxHashMap<RequestId, OpenRequest<C>>,
    next_id: RequestId,
}

impl<C: Transport> RequestTable<C> {
    pub(super) fn new() -> RequestTable<C> {
        RequestTable { requests: FxHashMap::default(), next_id: 1 }
    }

    pub(super) fn len(&self) -> usize {
        self.requests.len()
    }

    pub(super) fn insert(&mut self, request: OpenRequest<C>) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.requests.insert(id, request);
        id
    }

    pub(super) fn get(&self, id: RequestId) -> Option<&OpenRequest<C>> {
        self.requests.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: RequestId) -> Option<&mut OpenRequest<C>> {
        self.requests.get_mut(&id)
    }

    pub(super) fn ids(&self) -> Vec<RequestId> {
        self.requests.keys().copied().collect()
    }

    /// The backends that have an attempt in flight.
    pub(super) fn backends_in_flight(&self) -> FxHashSet<BackendId> {
        let attempts = self.requests.values().filter_map(|request| request.in_flight.as_ref());
        attempts.map(|attempt| attempt.backend).collect()
    }

    /// Removes a request that has its final response and no attempt in flight.
    pub(super) fn remove_if_finished(&mut self, id: RequestId) {
        if self.get(id).is_some_and(|request| request.has_response() && request.in_flight.is_none()) {
            self.requests.remove(&id);
        }
    }
}

/// An accepted request: the guard held on behalf of its client, and the channel that delivers its completion.
pub type AcceptedRequest<C> = (RequestGuard<C>, oneshot::Receiver<Completion<C>>);

/// Held while a client waits for its response. Dropping it reports that the client has disconnected.
pub struct RequestGuard<C: Transport> {
    driver: Weak<Driver<C>>,
    id: RequestId,
}

impl<C: Transport> RequestGuard<C> {
    pub(super) fn new(driver: Weak<Driver<C>>, id: RequestId) -> RequestGuard<C> {
        RequestGuard { driver, id }
    }

    /// Fails the request if it has no final response yet.
    pub fn close(&self) {
        if let Some(driver) = self.driver.upgrade() {
            driver.close(self.id);
        }
    }
}

impl<C: Transport> Drop for RequestGuard<C> {
    fn drop(&mut self) {
        self.close();
    }
}
