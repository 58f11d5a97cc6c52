//! Calls and answers in the form of HTTP.

use crate::request_body::Upload;
use crate::response_body::Download;
use crate::stream::Length;
use hillstall_proxy_core::limits::BufferedBody;
use hyper::header::{HeaderMap, HeaderName};
use hyper::http::uri::PathAndQuery;
use hyper::Method;
use std::rc::Rc;
use std::time::Instant;

/// How long a caller waits.
pub const TIMEOUT_HEADER: HeaderName = HeaderName::from_static("request-timeout-ms");

/// A caller's request, as it goes on to a backend.
pub struct Inbound {
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub path: PathAndQuery,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Payload,
}

/// The body of a caller's request.
pub enum Payload {
    /// Held whole.
    Held(BufferedBody),
    /// Too long to be held.
    Passing(Rc<Upload>),
}

impl Inbound {
    /// How long it is.
    pub fn length(&self) -> Length {
        match &self.body {
            Payload::Held(body) => Length::Known(body.bytes.len()),
            Payload::Passing(upload) => match upload.length() {
                Some(length) => Length::Known(length as usize),
                None => Length::Chunks(upload.ended()),
            },
        }
    }
}

impl hillstall_proxy_core::transport::RequestPayload for Inbound {
    fn is_consumed(&self) -> bool {
        matches!(&self.body, Payload::Passing(upload) if upload.is_spent())
    }

    fn completed_at(&self) -> Option<Instant> {
        match &self.body {
            Payload::Held(_) => None,
            Payload::Passing(upload) => Some(upload.deadline()? - upload.timeout()),
        }
    }
}

/// An answer.
pub struct Answer {
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: AnswerBody,
}

/// The body of an answer.
pub enum AnswerBody {
    /// Held whole.
    Held(BufferedBody),
    /// Too long to be held.
    Passing(Box<Download>),
}
