//! The final response of a request, and its completion with the history of its attempts.

use crate::request::RequestTrace;
use crate::transport::Transport;
use hillstall_decision::Millis;

/// The final response to a client.
pub enum FinalResponse<C: Transport> {
    /// The response of a backend.
    Served(C::Response),
    /// The request was not served and is safe to retry. Above 0, the value is the suggested delay in
    /// milliseconds.
    Rejected(Millis),
    /// The request failed; a backend may or may not have processed it.
    Failed,
    /// A backend rejected the request as invalid, as any other backend would.
    InvalidRequest(C::InvalidRequest),
}

/// The end of a request, delivered exactly once for each accepted request.
pub struct Completion<C: Transport> {
    /// The final response.
    pub response: FinalResponse<C>,
    /// The attempts that led to the response.
    pub trace: RequestTrace,
}
