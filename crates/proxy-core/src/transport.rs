//! What carries a call to a server. One protocol is one implementation.

use crate::driver::SendPermit;
use crate::metrics::Counter;
use hillstall_decision::{BackendId, LoadReport, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a call holds in its protocol's own form, as far as the driver must know it.
pub trait RequestPayload {
    /// Whether a part of it went out and is not held any more, so that it can't be sent again.
    fn is_consumed(&self) -> bool;

    /// When its last byte came, for a payload that is still being read while it is sent; `None` for one that
    /// was whole from the start, or is not whole yet.
    fn completed_at(&self) -> Option<Instant>;
}

/// One attempt of a call.
pub struct Attempt<C: Transport> {
    /// What is to be carried.
    pub request: Rc<C::Request>,
    /// The server.
    pub backend: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// When the caller leaves, where the payload was whole from the start.
    pub deadline: Instant,
    /// How long the attempt may take, from its last byte where the payload is still being read.
    pub timeout: Duration,
    /// Raised when the last byte of the attempt is written.
    pub sent_counter: Counter,
    /// Asked right before the first byte goes out, and before anything of it is kept.
    pub permit: SendPermit<C>,
}

/// How an attempt ended.
pub struct AttemptResult<C: Transport> {
    /// The outcome.
    pub outcome: Outcome,
    /// When: the last read, where an answer came.
    pub ended_at: Instant,
    /// The server's load report.
    pub load_report: LoadReport,
    /// The answer, for [`Outcome::Ok`] alone.
    pub response: Option<C::Response>,
    /// What a server said of the call itself, and another would say again.
    pub invalid_request: Option<C::InvalidRequest>,
}

impl<C: Transport> AttemptResult<C> {
    /// An end without an answer.
    pub fn now(outcome: Outcome) -> AttemptResult<C> {
        AttemptResult {
            outcome,
            ended_at: Instant::now(),
            load_report: LoadReport::default(),
            response: None,
            invalid_request: None,
        }
    }
}

/// Carries calls to servers.
///
/// An attempt that is dropped must be over on the wire as well: no byte of it may leave, and no open connection
/// may still await its answer, once the future is gone.
pub trait Transport: Sized + 'static {
    /// A call's payload.
    type Request: RequestPayload + 'static;
    /// A server's answer.
    type Response: 'static;
    /// What a server says of a call that is at fault itself.
    type InvalidRequest: 'static;

    /// Carries a call to a server. When this returns, the call is not out on any open connection any more,
    /// unless a part of its answer is still to come.
    fn attempt(self: Rc<Self>, attempt: Attempt<Self>) -> impl Future<Output = AttemptResult<Self>>;

    /// Checks a server once; `report` asks for its load as well.
    fn probe(self: Rc<Self>, address: SocketAddr, report: bool) -> impl Future<Output = AttemptResult<Self>>;

    /// Lets go of what is kept open to a server and carries nothing.
    fn close_idle(&self, backend: BackendId);
}
