//! Responses to clients, and their bodies.

use super::access_log::AccessLogRecord;
use super::client_connection::ClientConnection;
use super::open_ids::OpenRequestId;
use crate::body_buffer::BufferedPieces;
use crate::message::{BackendResponse, BackendResponseBody};
use crate::response_body::{StreamingResponseBody, TransferState};
use crate::stream::TrackedStream;
use bytes::Bytes;
use hillstall_proxy_core::metrics::{InProgress, RequestOutcome};
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{HeaderValue, CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::{Response, StatusCode};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};

pub(super) type ClientResponse = Response<ResponseBody>;

/// The body of a response. When it is dropped, the request is counted as ended and logged.
pub(super) struct ResponseBody {
    source: BodySource,
    /// The request that ends with this response, and the outcome to count if the response is sent completely.
    open_request: Option<(InProgress, RequestOutcome)>,
    /// The connection whose request stays in progress until the streamed response has ended.
    pub(super) busy_connection: Option<Rc<ClientConnection>>,
    /// The id of the request, which is available again once the response has been written.
    open_id: Option<OpenRequestId>,
    /// The stream of the client's connection; `None` until the response is passed to hyper.
    stream: Option<Rc<TrackedStream>>,
    /// The access log record, if requests are logged.
    pub(super) access_log_record: Option<Box<AccessLogRecord>>,
}

impl ResponseBody {
    /// Ties the response to the stream that it is written to. The id of its request, if it has one, stays in
    /// use until the response has been written.
    pub(super) fn write_to(&mut self, stream: Rc<TrackedStream>, id: Option<OpenRequestId>) {
        self.stream = Some(stream);
        self.open_id = id;
    }
}

/// Where the body of a response comes from.
enum BodySource {
    /// A complete body in memory.
    Buffered(BufferedPieces),
    /// A backend's body, forwarded as it arrives.
    Streaming(Box<StreamingResponseBody>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        let ResponseBody { source, stream, .. } = &mut *self;
        let mut poll_frame = |cx: &mut Context<'_>| match source {
            BodySource::Buffered(body) => Pin::new(body).poll_frame(cx).map_err(|never| match never {}),
            BodySource::Streaming(body) => Pin::new(body).poll_frame(cx),
        };
        match stream {
            Some(stream) => stream.poll_piece(cx, poll_frame),
            None => poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            BodySource::Buffered(body) => body.is_end_stream(),
            BodySource::Streaming(body) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            BodySource::Buffered(body) => body.size_hint(),
            BodySource::Streaming(body) => body.size_hint(),
        }
    }
}

impl Drop for ResponseBody {
    fn drop(&mut self) {
        // Whether the body was passed to the connection completely, and the outcome to count instead on a
        // failure.
        let (is_complete, failure) = match &self.source {
            BodySource::Buffered(body) => (body.is_end_stream(), None),
            BodySource::Streaming(body) => match body.state() {
                TransferState::InProgress => (false, None),
                TransferState::Complete => (true, None),
                TransferState::Failed => (true, Some(RequestOutcome::Errored)),
            },
        };
        if let (Some((open_request, outcome)), true) = (self.open_request.take(), is_complete) {
            open_request.end(failure.unwrap_or(outcome));
        }
        if let Some(record) = self.access_log_record.take() {
            record.write(is_complete);
        }
        if let Some(connection) = self.busy_connection.take() {
            connection.finish_request();
        }
        if let Some((id, stream)) = self.open_id.take().zip(self.stream.take()) {
            // The connection still has the end of the body in its write buffer.
            stream.call_when_written(move || id.answered());
        }
    }
}

fn response_with(source: BodySource, busy_connection: Option<Rc<ClientConnection>>) -> ClientResponse {
    Response::new(ResponseBody {
        source,
        open_request: None,
        busy_connection,
        open_id: None,
        stream: None,
        access_log_record: None,
    })
}

/// The response to the client for a backend's response. The only headers forwarded are `Content-Type` and,
/// for a HEAD request, `Content-Length`.
pub(super) fn forwarded_response(
    connection: &Rc<ClientConnection>,
    backend_response: BackendResponse,
    is_head: bool,
) -> ClientResponse {
    let mut response = match backend_response.body {
        BackendResponseBody::Buffered(body) => {
            let (bytes, reservation) = body.into_parts();
            connection.last_response.replace(Some(reservation));
            response_with(BodySource::Buffered(BufferedPieces::new(bytes)), None)
        }
        BackendResponseBody::Streaming(body) => {
            response_with(BodySource::Streaming(body), Some(connection.clone()))
        }
    };
    let forwarded = if is_head { &[CONTENT_TYPE, CONTENT_LENGTH][..] } else { &[CONTENT_TYPE] };
    for name in forwarded {
        if let Some(value) = backend_response.headers.get(name) {
            response.headers_mut().insert(name, value.clone());
        }
    }
    response
}

/// Attaches the request that ends with a response, and the outcome to count for it.
pub(super) fn with_outcome(
    mut response: ClientResponse,
    open_request: InProgress,
    outcome: RequestOutcome,
) -> ClientResponse {
    response.body_mut().open_request = Some((open_request, outcome));
    response
}

/// A response with a fixed text as its body.
pub(super) fn text_response(status: StatusCode, text: &'static str) -> ClientResponse {
    let body = BufferedPieces::new(Bytes::from_static(text.as_bytes()));
    let mut response = response_with(BodySource::Buffered(body), None);
    *response.status_mut() = status;
    response
}

/// A capacity rejection, with a `Retry-After` header if `retry_after_ms` is above 0.
pub(super) fn rejection(retry_after_ms: f64) -> ClientResponse {
    let mut response = text_response(StatusCode::SERVICE_UNAVAILABLE, "refused");
    if retry_after_ms > 0.0 {
        if let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after_ms / 1000.0)) {
            response.headers_mut().insert(RETRY_AFTER, value);
        }
    }
    response
}
