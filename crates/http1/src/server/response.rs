//! Replies to callers.

use super::access_log::AccessLogRecord;
use super::client_connection::ClientConnection;
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

pub(super) type ClientResponse = Response<ResponseBody>;

/// The body of a reply. It counts the request as ended once all of it has gone to the connection.
pub(super) struct ResponseBody {
    pub(super) source: BodySource,
    pub(super) open_request: Option<(InProgress, RequestOutcome)>,
    /// The caller, which is busy until an answer that passes has ended.
    pub(super) busy_connection: Option<Rc<ClientConnection>>,
    /// What the log is told of the call, if it is to be told.
    pub(super) access_log_record: Option<Box<AccessLogRecord>>,
}

/// Where the body of a reply comes from.
pub(super) enum BodySource {
    Buffered(Full<Bytes>),
    Streaming(Box<StreamingResponseBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        match &mut self.source {
            BodySource::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            BodySource::Streaming(answer) => Pin::new(answer).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Buffered(body) => body.is_end_stream(),
            BodySource::Streaming(answer) => answer.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Buffered(body) => body.size_hint(),
            BodySource::Streaming(answer) => answer.size_hint(),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        let how = match &self.source {
            BodySource::Buffered(body) => body.is_end_stream().then_some(None),
            BodySource::Streaming(answer) => match answer.state() {
                TransferState::InProgress => None,
                TransferState::Complete => Some(None),
                TransferState::Failed => Some(Some(RequestOutcome::Errored)),
            },
        };
        if let (Some((open, usual)), Some(how)) = (self.open_request.take(), how) {
            open.end(how.unwrap_or(usual));
        }
        if let Some(record) = self.access_log_record.take() {
            record.write(how.is_some());
        }
        if let Some(caller) = self.busy_connection.take() {
            caller.finish_request();
        }
    }
}

pub(super) fn buffered_body(bytes: Bytes) -> ResponseBody {
    ResponseBody {
        source: BodySource::Buffered(Full::new(bytes)),
        open_request: None,
        busy_connection: None,
        access_log_record: None,
    }
}

/// A reply with which a request ends.
pub(super) fn with_outcome(
    mut reply: ClientResponse,
    open: InProgress,
    how: RequestOutcome,
) -> ClientResponse {
    reply.body_mut().open_request = Some((open, how));
    reply
}

pub(super) fn text_response(status: StatusCode, text: &'static str) -> ClientResponse {
    let mut reply = Response::new(buffered_body(Bytes::from_static(text.as_bytes())));
    *reply.status_mut() = status;
    reply
}

pub(super) fn rejection(after_ms: f64) -> ClientResponse {
    let mut reply = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if after_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", after_ms / 1000.0)) {
            reply.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    reply
}
