//! The interface of the client side of a protocol, which sends requests to backends.

use crate::metrics::Counter;
use crate::permit::SendPermit;
use hillstall_decision::{BackendId, LoadReport, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// A request in the form of its protocol, as far as the driver has to know about it.
pub trait RequestPayload {
    /// Whether a part of the payload was sent and is no longer buffered, so that the request can't be sent
    /// again.
    fn is_consumed(&self) -> bool;

    /// When the last byte of a streamed payload arrived; `None` if it has not arrived yet, or if the payload
    /// was complete before the first attempt.
    fn completed_at(&self) -> Option<Instant>;

    /// The id under which the client knows the request, for log lines.
    fn id(&self) -> &str;

    /// Whether the client has closed its connection, so that no attempt may start any more.
    fn has_client_left(&self) -> bool;
}

/// One attempt to send a request to a backend.
pub struct Attempt<C: Transport> {
    /// The payload of the request.
    pub payload: Rc<C::Request>,
    /// The backend to send to.
    pub backend: BackendId,
    /// The address on which the backend listens.
    pub address: SocketAddr,
    /// When the client stops waiting. Does not apply to a streamed payload, whose deadline is not known yet.
    pub deadline: Instant,
    /// Maximum duration of the attempt. Does not apply to a streamed payload, which can't be sent again.
    pub timeout: Duration,
    /// When the last byte of the request has to be written at the latest; `None` if there is no such limit. An
    /// attempt that is not complete by then ends, and nothing more of it is written.
    pub write_by: Option<Instant>,
    /// Incremented when the last byte of the request is written.
    pub sent_counter: Counter,
    /// Checked right before the first byte is written, and before a connection is kept for reuse.
    pub permit: SendPermit,
}

/// How an attempt or a health check ended.
pub struct AttemptResult<C: Transport> {
    /// The outcome, as reported to the decision module.
    pub outcome: Outcome,
    /// When the attempt ended: at the last read, if there was a response.
    pub ended_at: Instant,
    /// The load report of the backend; empty if it sent none.
    pub load_report: LoadReport,
    /// The response; present only with [`Outcome::Ok`].
    pub response: Option<C::Response>,
    /// Present if the backend rejected the request as invalid, as any other backend would.
    pub invalid_request: Option<C::InvalidRequest>,
}

impl<C: Transport> AttemptResult<C> {
    /// The result of an attempt that ends now without a response.
    pub fn without_response(outcome: Outcome) -> AttemptResult<C> {
        AttemptResult {
            outcome,
            ended_at: Instant::now(),
            load_report: LoadReport::default(),
            response: None,
            invalid_request: None,
        }
    }
}

/// The client side of one protocol.
///
/// Dropping the future of an attempt must also end the attempt on the wire: no further byte of it is written,
/// and the connection that awaits its response is closed.
pub trait Transport: Sized + 'static {
    /// The payload of a request.
    type Request: RequestPayload + 'static;
    /// The response of a backend.
    type Response: 'static;
    /// How a backend reports that a request is invalid.
    type InvalidRequest: 'static;

    /// Sends a request to a backend. When the future is ready, no open connection carries the request any
    /// more, except one on which the rest of the response is still being streamed.
    fn attempt(self: Rc<Self>, attempt: Attempt<Self>) -> impl Future<Output = AttemptResult<Self>>;

    /// Checks the health of a backend once. `with_load_report` requests its load report as well.
    fn probe(
        self: Rc<Self>,
        address: SocketAddr,
        with_load_report: bool,
    ) -> impl Future<Output = AttemptResult<Self>>;

    /// Closes the idle connections to a backend.
    fn close_idle(&self, backend: BackendId);
}
