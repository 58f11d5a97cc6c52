//! The interface to a protocol's client side, which carries requests to backends.

use crate::metrics::Counter;
use crate::permit::SendPermit;
use hillstall_decision::{BackendId, LoadReport, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What the driver must know of a request in its protocol's own form.
pub trait RequestPayload {
    /// Whether a part of it was sent and is no longer buffered, so that it can't be sent again.
    fn is_consumed(&self) -> bool;

    /// When its last byte arrived, for a payload that is read while it is sent; `None` for one that was complete
    /// from the start, or is not complete yet.
    fn completed_at(&self) -> Option<Instant>;
}

/// One attempt to have a request served.
pub struct Attempt<C: Transport> {
    /// The request's payload.
    pub payload: Rc<C::Request>,
    /// The backend to send to.
    pub backend: BackendId,
    /// The address at which the backend listens.
    pub address: SocketAddr,
    /// When the client stops waiting, where the payload was complete from the start.
    pub deadline: Instant,
    /// How long the attempt may take, counted from its last byte where the payload is still being read.
    pub timeout: Duration,
    /// Incremented when the last byte of the attempt is written.
    pub sent_counter: Counter,
    /// To be checked right before the first byte is written, and before a connection is kept for reuse.
    pub permit: SendPermit,
}

/// How an attempt or a health check ended.
pub struct AttemptResult<C: Transport> {
    /// The outcome.
    pub outcome: Outcome,
    /// When it ended; the time of the last read, if there was a response.
    pub ended_at: Instant,
    /// The backend's load report; empty if there was none.
    pub load_report: LoadReport,
    /// The response, for [`Outcome::Ok`] alone.
    pub response: Option<C::Response>,
    /// What the backend found at fault with the request itself, which any other would find as well.
    pub invalid_request: Option<C::InvalidRequest>,
}

impl<C: Transport> AttemptResult<C> {
    /// An attempt that ends now without a response.
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
/// Dropping the future of an attempt must end the attempt on the wire as well: from then on no byte of it is
/// written, and no open connection awaits its response.
pub trait Transport: Sized + 'static {
    /// A request's payload.
    type Request: RequestPayload + 'static;
    /// A backend's response.
    type Response: 'static;
    /// What a backend says of a request that is itself at fault.
    type InvalidRequest: 'static;

    /// Sends a request to a backend. When the future is ready, the request is in flight on no open connection,
    /// unless a part of its response is still to come.
    fn attempt(self: Rc<Self>, attempt: Attempt<Self>) -> impl Future<Output = AttemptResult<Self>>;

    /// Checks a backend's health once; `report` asks for its load as well.
    fn probe(self: Rc<Self>, address: SocketAddr, report: bool) -> impl Future<Output = AttemptResult<Self>>;

    /// Closes the idle connections to a backend.
    fn close_idle(&self, backend: BackendId);
}
