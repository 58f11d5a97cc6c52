//! Replies to callers.

use super::access_log::Record;
use super::client_connection::Caller;
use crate::response_body::{StreamingResponseBody, TransferState};
use bytes::Bytes;
use hillstall_proxy_core::metrics::{InProgress, RequestOutcome};
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

pub(super) type Reply = Response<Replied>;

/// The body of a reply. It counts the request as ended once all of it has gone to the connection.
pub(super) struct Replied {
    pub(super) body: Reading,
    pub(super) open: Option<(InProgress, RequestOutcome)>,
    /// The caller, which is busy until an answer that passes has ended.
    pub(super) busy: Option<Rc<Caller>>,
    /// What the log is told of the call, if it is to be told.
    pub(super) record: Option<Box<Record>>,
}

/// Where the body of a reply comes from.
pub(super) enum Reading {
    Held(Full<Bytes>),
    Passing(Box<StreamingResponseBody>),
}

impl Body for Replied {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut self.body {
            Reading::Held(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            Reading::Passing(answer) => Pin::new(answer).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.body {
            Reading::Held(body) => body.is_end_stream(),
            Reading::Passing(answer) => answer.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.body {
            Reading::Held(body) => body.size_hint(),
            Reading::Passing(answer) => answer.size_hint(),
        }
    }
}

impl Drop for Replied {
    fn drop(&mut self) {
        let how = match &self.body {
            Reading::Held(body) => body.is_end_stream().then_some(None),
            Reading::Passing(answer) => match answer.state() {
                TransferState::InProgress => None,
                TransferState::Complete => Some(None),
                TransferState::Failed => Some(Some(RequestOutcome::Errored)),
            },
        };
        if let (Some((open, usual)), Some(how)) = (self.open.take(), how) {
            open.end(how.unwrap_or(usual));
        }
        if let Some(record) = self.record.take() {
            record.write(how.is_some());
        }
        if let Some(caller) = self.busy.take() {
            caller.rests();
        }
    }
}

pub(super) fn whole(bytes: Bytes) -> Replied {
    Replied { body: Reading::Held(Full::new(bytes)), open: None, busy: None, record: None }
}

/// A reply with which a request ends.
pub(super) fn ended(mut reply: Reply, open: InProgress, how: RequestOutcome) -> Reply {
    reply.body_mut().open = Some((open, how));
    reply
}

pub(super) fn plain(status: StatusCode, text: &'static str) -> Reply {
    let mut reply = Response::new(whole(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

pub(super) fn refusal(after_ms: f64) -> Reply {
    let mut reply = plain(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if after_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after_ms / 1000.0)) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
