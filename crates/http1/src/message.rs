//! Calls and answers in the form of HTTP.

use crate::request_body::StreamingRequestBody;
use crate::response_body::StreamingResponseBody;
use crate::stream::RequestBodyLength;
use hillstall_proxy_core::limits::BufferedBody;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::uri::PathAndQuery;
use hyper::Method;
use std::rc::Rc;
use std::time::Instant;

/// How long a caller waits.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout-ms");

/// A caller's request, as it goes on to a backend.
pub struct ClientRequest {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: ClientRequestBody,
}

/// The body of a caller's request.
pub enum ClientRequestBody {
    /// Held whole.
    Buffered(BufferedBody),
    /// Too long to be held.
    Streaming(Rc<StreamingRequestBody>),
}

impl ClientRequest {
    /// How long it is.
    pub fn body_length(&self) -> RequestBodyLength {
        match &self.body {
            ClientRequestBody::Buffered(body) => RequestBodyLength::Known(body.bytes.len()),
            ClientRequestBody::Streaming(upload) => match upload.length() {
                Some(length) => RequestBodyLength::Known(length as usize),
                None => RequestBodyLength::Chunked(upload.ended()),
            },
        }
    }
}

impl hillstall_proxy_core::transport::RequestPayload for ClientRequest {
    fn is_consumed(&self) -> bool {
        matches!(&self.body, ClientRequestBody::Streaming(upload) if upload.is_consumed())
    }

    fn completed_at(&self) -> Option<Instant> {
        match &self.body {
            ClientRequestBody::Buffered(_) => None,
            ClientRequestBody::Streaming(upload) => Some(upload.deadline()? - upload.timeout()),
        }
    }
}

/// An answer.
pub struct BackendResponse {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: BackendResponseBody,
}

/// The body of an answer.
pub enum BackendResponseBody {
    /// Held whole.
    Buffered(BufferedBody),
    /// Too long to be held.
    Streaming(Box<StreamingResponseBody>),
}
