//! HTTP requests and responses as they pass through the proxy.

use crate::request_body::StreamingRequestBody;
use crate::response_body::StreamingResponseBody;
use crate::stream::{RequestBodyLength, TrackedStream};
use hillstall_proxy_core::limits::{BufferedBody, Reservation};
use hillstall_proxy_core::transport::RequestPayload;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::uri::PathAndQuery;
use hyper::Method;
use std::rc::Rc;
use std::time::Instant;

/// The request header with the time that the client waits for its response, in whole milliseconds.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout-ms");

/// The request header that identifies a request. Two open requests must not have the same id.
pub const REQUEST_ID_HEADER: &str = "request-id";

/// A request of a client, to be forwarded to a backend.
pub struct ClientRequest {
    /// The method, forwarded unchanged.
    pub method: Method,
    /// Path and query, forwarded unchanged.
    pub path: PathAndQuery,
    /// The headers as received; hop-by-hop headers are removed when the request is forwarded.
    pub headers: HeaderMap,
    /// The body, buffered if it is short enough.
    pub body: ClientRequestBody,
    /// The stream of the client's connection.
    pub client_stream: Rc<TrackedStream>,
    /// Covers the headers.
    pub header_memory: Reservation,
}

/// The body of a [`ClientRequest`].
pub enum ClientRequestBody {
    /// A complete body in memory.
    Buffered(BufferedBody),
    /// A body that is too long to buffer.
    Streaming(Rc<StreamingRequestBody>),
}

impl ClientRequest {
    /// The length of the body; for a chunked one, a flag that says whether an attempt has all of it.
    pub fn body_length(&self) -> RequestBodyLength {
        match &self.body {
            ClientRequestBody::Buffered(body) => RequestBodyLength::Known(body.bytes.len()),
            ClientRequestBody::Streaming(body) => match body.length() {
                Some(length) => RequestBodyLength::Known(length as usize),
                None => RequestBodyLength::Chunked(body.fully_passed()),
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
            ClientRequestBody::Streaming(body) => body.received_at(),
        }
    }

    fn id(&self) -> &str {
        self.headers.get(REQUEST_ID_HEADER).and_then(|id| id.to_str().ok()).unwrap_or_default()
    }

    fn has_client_left(&self) -> bool {
        self.client_stream.has_peer_closed()
    }
}

/// The response of a backend, to be forwarded to the client.
pub struct BackendResponse {
    /// The headers as received.
    pub headers: HeaderMap,
    /// The body, buffered if it is short enough.
    pub body: BackendResponseBody,
}

/// The body of a [`BackendResponse`].
pub enum BackendResponseBody {
    /// A complete body in memory.
    Buffered(BufferedBody),
    /// A body that is too long to buffer, or of unknown length and slow to arrive.
    Streaming(Box<StreamingResponseBody>),
}
