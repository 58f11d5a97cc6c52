//! The end of a request: its final response and how it came about.

use crate::request::RequestTrace;
use crate::transport::Transport;
use hillstall_decision::Millis;

/// The final response to a client.
pub enum FinalResponse<C: Transport> {
    /// A backend's response.
    Served(C::Response),
    /// The request was not admitted and is safe to retry, after this many milliseconds if above 0.
    Rejected(Millis),
    /// The request failed; it may or may not have run.
    Failed,
    /// A backend found the request itself at fault, and so would any other.
    InvalidRequest(C::InvalidRequest),
}

/// What the client of a request receives exactly once.
pub struct Completion<C: Transport> {
    /// The final response.
    pub response: FinalResponse<C>,
    /// The attempts that led to it.
    pub trace: RequestTrace,
}
