//! Conversion of client requests to forwarded requests, and of response heads to outcomes.

use crate::body_buffer::BufferedPieces;
use crate::message::{ClientRequest, ClientRequestBody, TIMEOUT_HEADER};
use crate::request_body::AttemptBody;
use crate::stream::TrackedStream;
use hillstall_decision::Outcome;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use std::rc::Rc;
use std::time::Duration;

/// Headers that are not forwarded: hop-by-hop headers, and those that hyper sets itself.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];
/// Another hop-by-hop header, for which hyper has no constant.
const KEEP_ALIVE: &str = "keep-alive";
/// Response header by which a backend says, with the value `1`, that it has not started to process the
/// request.
const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");

/// The request to send to a backend that has `remaining` time to respond, on the connection of `stream`.
pub(super) fn forwarded_request(
    request: &ClientRequest,
    remaining: Duration,
    stream: &Rc<TrackedStream>,
) -> Request<AttemptBody> {
    let mut forwarded = Request::new(match &request.body {
        ClientRequestBody::Buffered(body) => {
            AttemptBody::Buffered(BufferedPieces::new(body.bytes.clone()), stream.clone())
        }
        ClientRequestBody::Streaming(body) => AttemptBody::streaming(body, stream.clone()),
    });
    *forwarded.method_mut() = request.method.clone();
    *forwarded.uri_mut() = Uri::from(request.path.clone());
    let mut headers = request.headers.clone();
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    // The header has whole milliseconds; less than one is rounded up to one.
    let remaining_ms = (remaining.as_millis() as u64).max(1);
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(remaining_ms));
    *forwarded.headers_mut() = headers;
    forwarded
}

/// The outcome of an attempt according to the head of its response.
pub(super) fn response_outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_not_started = headers.get(NOT_STARTED).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_not_started => Outcome::Rejected,
        // Not necessarily caused by the request, and the request may have been processed.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        // An invalid request, which says nothing about the health of the backend.
        status if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}
