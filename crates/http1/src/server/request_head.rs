//! Validates the head of a request and derives the request's properties for the decision module from it.

use super::client_connection::ClientConnection;
use super::request_error::RequestError;
use super::HttpServer;
use crate::message::{REQUEST_ID_HEADER, TIMEOUT_HEADER};
use hillstall_decision::RetrySafety;
use hillstall_proxy_core::driver::RequestMetadata;
use hillstall_proxy_core::endpoints::fnv1a;
use hyper::header::{HeaderMap, TRANSFER_ENCODING};
use hyper::http::request::Parts;
use hyper::Method;
use std::time::{Duration, Instant};

const REQUEST_CLASS: &str = "request-class";
const TENANT: &str = "tenant";
const IDEMPOTENCY_KEY: &str = "idempotency-key";
const REQUEST_INFO: &str = "request-info";
const CLIENT_RETRY: &str = "client-retry";
/// The expected processing time of a request, in microseconds.
const WORK_HINT: &str = "work-hint";

const MAX_REQUEST_ID_BYTES: usize = 128;
const MICROSECONDS_PER_MILLISECOND: f64 = 1000.0;

impl HttpServer {
    /// Reads and validates the head. Returns the properties of the request, and how long its client waits.
    pub(super) fn read_head(&self, head: &Parts) -> Result<(RequestMetadata, Duration), RequestError> {
        check_request_id(&head.headers)?;
        let class = self.class_of(&head.headers)?;
        let tenant = self.tenant_of(&head.headers)?;
        let timeout_ms = self.timeout_ms(&head.headers, class)?;
        self.check_method(head, class)?;
        let info = head.headers.get(REQUEST_INFO).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let metadata = RequestMetadata {
            class: class as u8,
            tenant: tenant as u16,
            key: routing_key(head.uri.path()),
            expected_work_ms: expected_work_ms(&head.headers),
            is_retry: single_value(&head.headers, CLIENT_RETRY) == Some("1"),
            is_write: info.split(',').any(|part| part.trim() == "write=1"),
            // Replaced when the request is forwarded, as the timeout runs from its last byte.
            deadline: Instant::now(),
        };
        Ok((metadata, Duration::from_millis(timeout_ms.into())))
    }

    /// Index of the request's class in the settings.
    fn class_of(&self, headers: &HeaderMap) -> Result<usize, RequestError> {
        let name = single_value(headers, REQUEST_CLASS).ok_or(RequestError::MissingClass)?;
        self.classes.iter().position(|class| class.name == name).ok_or(RequestError::UnknownClass)
    }

    /// Index of the request's tenant in the settings; 0 if the settings have no tenants.
    fn tenant_of(&self, headers: &HeaderMap) -> Result<usize, RequestError> {
        if self.tenants.is_empty() {
            return Ok(0);
        }
        let name = single_value(headers, TENANT).ok_or(RequestError::MissingTenant)?;
        self.tenants.iter().position(|tenant| tenant.name == name).ok_or(RequestError::UnknownTenant)
    }

    /// How long the client waits, in milliseconds, limited to the deadline of the class.
    fn timeout_ms(&self, headers: &HeaderMap, class: usize) -> Result<u32, RequestError> {
        let text = single_value(headers, TIMEOUT_HEADER.as_str())
            .filter(|text| text.bytes().all(|byte| byte.is_ascii_digit()));
        let timeout_ms: u32 = text.and_then(|text| text.parse().ok()).ok_or(RequestError::InvalidTimeout)?;
        let deadline_ms = self.classes[class].deadline_ms;
        let max_ms = if deadline_ms >= 1.0 { deadline_ms } else { f64::MAX };
        Ok(timeout_ms.min(max_ms as u32))
    }

    /// Checks the method and the number of idempotency keys against the retry safety of the class.
    fn check_method(&self, head: &Parts, class: usize) -> Result<(), RequestError> {
        let (method, required_keys) = match self.classes[class].retry_safety {
            RetrySafety::Idempotent => (Method::GET, None),
            RetrySafety::IdempotencyKey => (Method::POST, Some(1)),
            RetrySafety::NonIdempotent => (Method::POST, Some(0)),
        };
        let is_head_for_get = head.method == Method::HEAD && method == Method::GET;
        if head.method != method && !is_head_for_get {
            return Err(RequestError::MethodNotAllowed);
        }
        let keys = head.headers.get_all(IDEMPOTENCY_KEY).iter().count();
        if required_keys.is_some_and(|required| required != keys) {
            return Err(RequestError::IdempotencyKeyMismatch);
        }
        Ok(())
    }
}

/// Rejects requests whose length is ambiguous, as they allow request smuggling. hyper removes a
/// `Content-Length` next to `chunked`, so it is found by [`RequestFraming`](crate::framing::RequestFraming).
pub(super) fn check_transfer_coding(
    connection: &ClientConnection,
    headers: &HeaderMap,
) -> Result<(), RequestError> {
    let codings = headers.get_all(TRANSFER_ENCODING).iter();
    if connection.stream.has_ambiguous_framing() || codings.count() > 1 {
        return Err(RequestError::AmbiguousLength);
    }
    let coding = single_value(headers, TRANSFER_ENCODING.as_str());
    if coding.is_some_and(|coding| !coding.eq_ignore_ascii_case("chunked")) {
        return Err(RequestError::UnsupportedTransferCoding);
    }
    Ok(())
}

fn check_request_id(headers: &HeaderMap) -> Result<(), RequestError> {
    let id = single_value(headers, REQUEST_ID_HEADER).ok_or(RequestError::MissingRequestId)?;
    let is_printable = id.bytes().all(|byte| byte.is_ascii_graphic());
    if id.is_empty() || id.len() > MAX_REQUEST_ID_BYTES || !is_printable {
        return Err(RequestError::MalformedRequestId);
    }
    Ok(())
}

fn expected_work_ms(headers: &HeaderMap) -> Option<f64> {
    let microseconds: f64 = single_value(headers, WORK_HINT)?.parse().ok()?;
    let is_valid = microseconds.is_finite() && microseconds >= 0.0;
    is_valid.then_some(microseconds / MICROSECONDS_PER_MILLISECOND)
}

/// The value of a header; `None` if the header is missing, repeated or not printable ASCII.
pub(super) fn single_value<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    let mut values = headers.get_all(name).iter();
    let value = values.next()?;
    values.next().is_none().then(|| value.to_str().ok()).flatten()
}

/// The routing key: the last segment of the path, read as a hexadecimal number or else hashed; `None` if it
/// is empty.
fn routing_key(path: &str) -> Option<u64> {
    let last = path.rsplit('/').next().filter(|last| !last.is_empty())?;
    Some(u64::from_str_radix(last, 16).unwrap_or_else(|_| fnv1a(last.as_bytes())))
}
