//! HTTP requests and responses as they pass through the proxy.

use crate::request_body::StreamingRequestBody;
use crate::response_body::StreamingResponseBody;
use crate::stream::RequestBodyLength;
use hillstall_proxy_core::limits::BufferedBody;
use hillstall_proxy_core::transport::RequestPayload;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::uri::PathAndQuery;
use hyper::Method;
use std::rc::Rc;
use std::time::Instant;

/// How long a client waits for its response, in whole milliseconds.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout-ms");

/// A client's request, as it is forwarded to a backend.
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

/// The body of a client's request.
pub enum ClientRequestBody {
    /// Read to its end, and in memory.
    Buffered(BufferedBody),
    /// Too long to be buffered.
    Streaming(Rc<StreamingRequestBody>),
}

impl ClientRequest {
    /// The length of its body.
    pub fn body_length(&self) -> RequestBodyLength {
        match &self.body {
            ClientRequestBody::Buffered(body) => RequestBodyLength::Known(body.bytes.len()),
            ClientRequestBody::Streaming(body) => match body.length() {
                Some(length) => RequestBodyLength::Known(length as usize),
                None => RequestBodyLength::Chunked(body.ended()),
            },
        }
    }
}

impl RequestPayload for ClientRequest {
    fn is_consumed(&self) -> bool {
        matches!(&self.body, ClientRequestBody::Streaming(body) if body.is_consumed())
    }

    fn completed_at(&self) -> Option<Instant> {
        match &self.body {
            ClientRequestBody::Buffered(_) => None,
            ClientRequestBody::Streaming(body) => Some(body.deadline()? - body.timeout()),
        }
    }
}

/// A backend's response.
pub struct BackendResponse {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: BackendResponseBody,
}

/// The body of a backend's response.
pub enum BackendResponseBody {
    /// Read to its end, and in memory.
    Buffered(BufferedBody),
    /// Too long to be buffered.
    Streaming(Box<StreamingResponseBody>),
}
