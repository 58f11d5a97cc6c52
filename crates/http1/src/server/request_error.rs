//! Invalid requests, and the status and text with which each of them is answered.

use hyper::StatusCode;

/// Why a request is answered with a client error.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{}", self.message())]
pub(super) enum RequestError {
    /// The head has both a `Content-Length` and a transfer coding, or more than one transfer coding.
    AmbiguousLength,
    /// The transfer coding is not `chunked`.
    UnsupportedTransferCoding,
    /// The request target has no path.
    MissingPath,
    /// `Request-Id` is missing or repeated.
    MissingRequestId,
    /// `Request-Id` is empty, too long or not printable ASCII.
    MalformedRequestId,
    /// Another request with this id is open.
    DuplicateRequestId,
    /// `Request-Class` is missing or repeated.
    MissingClass,
    /// The settings have no such class.
    UnknownClass,
    /// `Tenant` is missing or repeated.
    MissingTenant,
    /// The settings have no such tenant.
    UnknownTenant,
    /// `Request-Timeout-Ms` is missing, repeated or not a whole number.
    InvalidTimeout,
    /// The method does not fit the retry safety of the class.
    MethodNotAllowed,
    /// `Idempotency-Key` is missing where the class needs one, or present where it allows none.
    IdempotencyKeyMismatch,
    /// A request that is not a POST has a body.
    UnexpectedBody,
    /// The body is longer than the proxy forwards (`messages.longest`).
    BodyTooLarge,
    /// The body ended before its stated length.
    TruncatedBody,
    /// The chunked body is malformed.
    InvalidChunks,
    /// The client has closed its connection. Nobody reads the response.
    ClientLeft,
    /// A backend answered with this client error status.
    RejectedByBackend(StatusCode),
}

impl RequestError {
    /// The status that the client gets.
    pub(super) fn status(self) -> StatusCode {
        match self {
            RequestError::UnsupportedTransferCoding => StatusCode::NOT_IMPLEMENTED,
            RequestError::DuplicateRequestId => StatusCode::CONFLICT,
            RequestError::MethodNotAllowed => StatusCode::METHOD_NOT_ALLOWED,
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::RejectedByBackend(status) => status,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    /// The text that the client gets as the body of the response. Clients read these texts, so they are
    /// fixed.
    pub(super) fn message(self) -> &'static str {
        match self {
            RequestError::AmbiguousLength => "a request's length is told twice",
            RequestError::UnsupportedTransferCoding => "chunks are the only coding there is",
            RequestError::MissingPath => "no path",
            RequestError::MissingRequestId => "no single Request-Id",
            RequestError::MalformedRequestId => "malformed Request-Id",
            RequestError::DuplicateRequestId => "the id is in use",
            RequestError::MissingClass => "no single Request-Class",
            RequestError::UnknownClass => "unknown class",
            RequestError::MissingTenant => "no single Tenant",
            RequestError::UnknownTenant => "unknown tenant",
            RequestError::InvalidTimeout => "no usable Request-Timeout-Ms",
            RequestError::MethodNotAllowed => "not the method of this class",
            RequestError::IdempotencyKeyMismatch => "Idempotency-Key does not go with this class",
            RequestError::UnexpectedBody => "only a POST has a body",
            RequestError::BodyTooLarge => "the body is too large",
            RequestError::TruncatedBody => "the body is cut short",
            RequestError::InvalidChunks => "the body is not in chunks",
            RequestError::ClientLeft => "the client has left",
            RequestError::RejectedByBackend(_) => "a backend found fault with it",
        }
    }
}
