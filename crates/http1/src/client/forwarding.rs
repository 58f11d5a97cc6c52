//! Requests as they are forwarded, and responses in terms of the decision module.

use crate::message::{ClientRequest, ClientRequestBody, TIMEOUT_HEADER};
use crate::request_body::AttemptBody;
use hillstall_decision::Outcome;
use http_body_util::Full;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Request, StatusCode, Uri};
use std::time::Duration;

/// Headers that belong to one connection, and those that are written anew.
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
/// One more of these, for which hyper has no constant.
const KEEP_ALIVE: &str = "keep-alive";
/// `1` in a response says that the backend has not begun to process the request.
const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");

/// A client's request as it goes to a backend that has `remaining` time to answer.
pub(super) fn forwarded_request(request: &ClientRequest, remaining: Duration) -> Request<AttemptBody> {
    let mut forwarded = Request::new(match &request.body {
        ClientRequestBody::Buffered(body) => AttemptBody::Buffered(Full::new(body.bytes.clone())),
        ClientRequestBody::Streaming(body) => AttemptBody::streaming(body),
    });
    *forwarded.method_mut() = request.method.clone();
    *forwarded.uri_mut() = Uri::from(request.path.clone());
    let mut headers = request.headers.clone();
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove(KEEP_ALIVE);
    // The header holds whole milliseconds; less than one is still time to be served.
    let remaining_ms = (remaining.as_millis() as u64).max(1);
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(remaining_ms));
    *forwarded.headers_mut() = headers;
    forwarded
}

/// What a response's head means for the decision module.
pub(super) fn response_outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let is_not_started = headers.get(NOT_STARTED).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if is_not_started => Outcome::Rejected,
        // Not the client's fault alone, and no sign that the request was not processed.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        // The request is invalid: that says nothing about the health of the backend.
        status if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}
