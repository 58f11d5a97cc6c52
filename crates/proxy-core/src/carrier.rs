//! What carries a call to a server. One protocol is one implementation.

use crate::driver::Permit;
use crate::metrics::Counter;
use hillstall_decision::{BackendId, LoadReport, Outcome};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// What a call holds in its protocol's own form, as far as the driver must know it.
pub trait Payload {
    /// Whether a part of it went out and is not held any more, so that it can't be sent again.
    fn is_spent(&self) -> bool;

    /// When its last byte came, for a payload that is still being read while it is sent; `None` for one that
    /// was whole from the start, or is not whole yet.
    fn whole_at(&self) -> Option<Instant>;
}

/// One attempt of a call.
pub struct Attempt<C: Carrier> {
    /// What is to be carried.
    pub call: Rc<C::Call>,
    /// The server.
    pub backend: BackendId,
    /// Where it listens.
    pub address: SocketAddr,
    /// When the caller leaves, where the payload was whole from the start.
    pub deadline: Instant,
    /// How long the attempt may take, from its last byte where the payload is still being read.
    pub most: Duration,
    /// Raised when the last byte of the attempt is written.
    pub sends: Counter,
    /// Asked right before the first byte goes out, and before anything of it is kept.
    pub permit: Permit<C>,
}

/// How an attempt ended.
pub struct Ended<C: Carrier> {
    /// The outcome.
    pub outcome: Outcome,
    /// When: the last read, where an answer came.
    pub at: Instant,
    /// The server's load report.
    pub report: LoadReport,
    /// The answer, for [`Outcome::Ok`] alone.
    pub answer: Option<C::Answer>,
    /// What a server said of the call itself, and another would say again.
    pub rejected: Option<C::Rejection>,
}

impl<C: Carrier> Ended<C> {
    /// An end without an answer.
    pub fn now(outcome: Outcome) -> Ended<C> {
        Ended { outcome, at: Instant::now(), report: LoadReport::default(), answer: None, rejected: None }
    }
}

/// Carries calls to servers.
///
/// An attempt that is dropped must be over on the wire as well: no byte of it may leave, and no open connection
/// may still await its answer, once the future is gone.
pub trait Carrier: Sized + 'static {
    /// A call's payload.
    type Call: Payload + 'static;
    /// A server's answer.
    type Answer: 'static;
    /// What a server says of a call that is at fault itself.
    type Rejection: 'static;

    /// Carries a call to a server. When this returns, the call is not out on any open connection any more,
    /// unless a part of its answer is still to come.
    fn attempt(self: Rc<Self>, attempt: Attempt<Self>) -> impl Future<Output = Ended<Self>>;

    /// Checks a server once; `report` asks for its load as well.
    fn probe(self: Rc<Self>, address: SocketAddr, report: bool) -> impl Future<Output = Ended<Self>>;

    /// Lets go of what is kept open to a server and carries nothing.
    fn close_idle(&self, backend: BackendId);
}
