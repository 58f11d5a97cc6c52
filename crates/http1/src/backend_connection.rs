//! One connection to a backend, and the request-response exchanges on it.

use crate::body_buffer::BodyBuffer;
use crate::body_stream::BodyStream;
use crate::request_body::AttemptBody;
use crate::stream::{HyperStream, TrackedStream, READ_BUFFER_BYTES};
use bytes::Bytes;
use hillstall_proxy_core::limits::{BufferedBody, Limits, Reservation};
use hillstall_proxy_core::tuning::Tuning;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Request, StatusCode};
use std::future::poll_fn;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// A connection to a backend with hyper's state machine. Dropping it closes the socket at once, even during
/// an exchange, so that a cancelled attempt ends on the wire as well.
pub struct BackendConnection {
    sender: SendRequest<AttemptBody>,
    protocol: Pin<Box<Connection<HyperStream, AttemptBody>>>,
    /// Whether hyper has ended the connection.
    closed: bool,
    stream: Rc<TrackedStream>,
    _reservation: Reservation,
}

impl BackendConnection {
    /// Starts HTTP/1.1 on a connected socket, which `reservation` counts against the limit on backend
    /// connections.
    pub async fn open(
        socket: TcpStream,
        reservation: Reservation,
        tuning: &Tuning,
    ) -> Result<BackendConnection, hyper::Error> {
        let stream = TrackedStream::new(socket, tuning);
        let handshake =
            Builder::new().max_buf_size(tuning.read_buffer_bytes).handshake(HyperStream(stream.clone()));
        let (sender, protocol) = handshake.await?;
        let protocol = Box::pin(protocol);
        Ok(BackendConnection { sender, protocol, closed: false, stream, _reservation: reservation })
    }

    /// The TCP stream of the connection, which shows how far its request and response have got.
    pub fn stream(&self) -> &Rc<TrackedStream> {
        &self.stream
    }

    /// Polls the connection, so that data is read and written.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        self.closed = self.closed || self.protocol.as_mut().poll(cx).is_ready();
    }

    /// Lets hyper complete the last exchange. Returns whether the connection can be reused, after the reuse
    /// delay and provided that no stray bytes arrive.
    pub fn check_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        self.drive(cx);
        !self.closed && self.sender.is_ready()
    }

    /// Like [`check_reusable`](Self::check_reusable), for async code. It never waits.
    pub async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.check_reusable(cx))).await
    }

    /// Sends a request and reads the response, with its body as far as it is buffered.
    ///
    /// # Errors
    /// Those of [`send`](Self::send) and [`read_body`](Self::read_body).
    pub async fn exchange(
        &mut self,
        request: Request<AttemptBody>,
        limits: &Limits,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let response = self.send(request).await?;
        let stream_at = Instant::now() + limits.tuning().max_unsized_buffering;
        self.read_body(response, stream_at, limits).await
    }

    /// Sends a request and reads the head of the response.
    ///
    /// # Errors
    /// The connection ended before the head was received.
    pub async fn send(&mut self, request: Request<AttemptBody>) -> Result<ResponseStart, ExchangeError> {
        let is_head = request.method() == Method::HEAD;
        let response = self.sender.send_request(request);
        let response = drive_during(&mut self.protocol, &mut self.closed, response).await;
        let (head, body) = response.map_err(ExchangeError::Connection)?.into_parts();
        let length = if is_head { Ok(BodyLength::Known(0)) } else { body_length(&head.headers) };
        Ok(ResponseStart { status: head.status, headers: head.headers, length, body })
    }

    /// Reads the body of a response until it is complete or must be streamed: a long one from its first bytes
    /// on, and one that is long or of unknown length at `stream_at`. From then on a client benefits more from
    /// the beginning of the response than from a possible retry.
    ///
    /// # Errors
    /// A response with status 200 has a body that is incomplete, ambiguous in length or too large. Responses
    /// with any other status are returned without such a body.
    pub async fn read_body(
        &mut self,
        response: ResponseStart,
        stream_at: Instant,
        limits: &Limits,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let ResponseStart { status, headers, length, body } = response;
        let body = match length {
            Ok(length) => {
                let body = read_response_body(body, length, stream_at, limits);
                drive_during(&mut self.protocol, &mut self.closed, body).await
            }
            Err(error) => Err(error),
        };
        match body {
            Err(error) if status == StatusCode::OK => Err(error),
            body => Ok(ReceivedResponse { status, headers, body: body.ok() }),
        }
    }
}

/// Polls a connection while waiting for something that it delivers.
async fn drive_during<T>(
    protocol: &mut Pin<Box<Connection<HyperStream, AttemptBody>>>,
    closed: &mut bool,
    delivered: impl Future<Output = T>,
) -> T {
    tokio::pin!(delivered);
    tokio::select! {
        biased;
        result = &mut delivered => return result,
        // hyper still delivers the data that it read before the connection ended.
        _ = protocol, if !*closed => *closed = true,
    }
    delivered.await
}

/// Why a request got no usable response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended before the head of the response was received.
    #[error("no response: {0}")]
    Connection(#[source] hyper::Error),
    /// The head has conflicting or invalid lengths.
    #[error("the length of the response is ambiguous")]
    AmbiguousLength,
    /// The body is longer than the proxy forwards (`messages.longest`).
    #[error("the response is longer than the maximum message size")]
    BodyTooLarge,
    /// The body ended early.
    #[error("the response ended early: {0}")]
    Body(#[source] hyper::Error),
    /// No data of the body arrived within the response timeout.
    #[error("no data of the response within the response timeout")]
    TimedOut,
}

/// A response of which the head has been received.
pub struct ResponseStart {
    status: StatusCode,
    headers: HeaderMap,
    length: Result<BodyLength, ExchangeError>,
    body: Incoming,
}

impl ResponseStart {
    /// Whether this is the successful response to the request, with a body that is or may be too long to be
    /// buffered. It is passed on while the backend still sends it, however long that takes.
    pub fn may_be_streamed(&self, tuning: &Tuning) -> bool {
        let is_streamed = |length: &BodyLength| length.is_streamed(tuning);
        self.status == StatusCode::OK && self.length.as_ref().is_ok_and(is_streamed)
    }
}

/// The response to one request.
pub struct ReceivedResponse {
    /// HTTP status; only 200 counts as success.
    pub status: StatusCode,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The body; `None` if it could not be read and the status is not 200.
    pub body: Option<ReceivedBody>,
}

/// The part of a response body that was read.
pub enum ReceivedBody {
    /// The complete body.
    Complete(BufferedBody),
    /// The first part and the source of the rest, with the reservation of the memory of that part.
    Partial(BodyStream, Option<Reservation>),
}

/// Reads a body until it is complete or must be streamed, see [`BackendConnection::read_body`].
async fn read_response_body(
    mut body: Incoming,
    length: BodyLength,
    stream_at: Instant,
    limits: &Limits,
) -> Result<ReceivedBody, ExchangeError> {
    let tuning = limits.tuning();
    let may_be_streamed = length.is_streamed(&tuning);
    // Without memory for it, a body can still be streamed.
    let Some(mut reservation) = limits.buffered_bytes.reserve(length.bytes_to_reserve(&tuning)?) else {
        let stream = BodyStream::new(Bytes::new(), body, tuning.max_message_bytes);
        return Ok(ReceivedBody::Partial(stream, None));
    };
    let mut buffer = BodyBuffer::new(tuning.max_buffered_body_bytes);
    loop {
        let is_long = length.is_long(&tuning) || buffer.len() > tuning.max_buffered_body_bytes;
        let has_begun = is_long && !buffer.is_empty();
        if has_begun || (may_be_streamed && Instant::now() >= stream_at) {
            let stream = BodyStream::new(buffer.into_bytes(), body, tuning.max_message_bytes);
            return Ok(ReceivedBody::Partial(stream, Some(reservation)));
        }
        let times_out_at = Instant::now() + tuning.response_timeout;
        let until = if may_be_streamed { stream_at } else { times_out_at };
        match timeout_at(until.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(piece) = frame.into_data() {
                    buffer.push(&piece);
                }
            }
            Ok(Some(Err(error))) => return Err(ExchangeError::Body(error)),
            Ok(None) => break,
            Err(_elapsed) if may_be_streamed => {}
            Err(_elapsed) => return Err(ExchangeError::TimedOut),
        }
    }
    reservation.shrink_to(buffer.len());
    Ok(ReceivedBody::Complete(BufferedBody::new(buffer.into_bytes(), reservation)))
}

/// The length of a body according to the head of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    /// The `Content-Length`, in bytes.
    Known(u64),
    /// Known only at the end: the body is chunked, or ends with the connection.
    Unknown,
}

impl BodyLength {
    /// Number of bytes to reserve for buffering.
    fn bytes_to_reserve(self, tuning: &Tuning) -> Result<usize, ExchangeError> {
        match self {
            BodyLength::Known(bytes) if bytes > tuning.max_message_bytes as u64 => {
                Err(ExchangeError::BodyTooLarge)
            }
            // Streamed from its first piece on.
            BodyLength::Known(_) if self.is_long(tuning) => Ok(READ_BUFFER_BYTES),
            BodyLength::Known(bytes) => Ok(bytes as usize),
            BodyLength::Unknown => Ok(tuning.max_buffered_body_bytes),
        }
    }

    /// Whether the body is known to be too long to be buffered.
    fn is_long(self, tuning: &Tuning) -> bool {
        matches!(self, BodyLength::Known(bytes) if bytes > tuning.max_buffered_body_bytes as u64)
    }

    /// Whether the body is too long to be buffered, or may be.
    fn is_streamed(self, tuning: &Tuning) -> bool {
        self == BodyLength::Unknown || self.is_long(tuning)
    }
}

/// The length of a response body according to its headers.
fn body_length(headers: &HeaderMap) -> Result<BodyLength, ExchangeError> {
    let content_length = HeaderOccurrence::of(headers, header::CONTENT_LENGTH);
    let transfer_encoding = HeaderOccurrence::of(headers, header::TRANSFER_ENCODING);
    let length = match (content_length, transfer_encoding) {
        (HeaderOccurrence::Once(length), HeaderOccurrence::Absent) => {
            length.parse().ok().map(BodyLength::Known)
        }
        (HeaderOccurrence::Absent, HeaderOccurrence::Once(coding)) => {
            coding.eq_ignore_ascii_case("chunked").then_some(BodyLength::Unknown)
        }
        (HeaderOccurrence::Absent, HeaderOccurrence::Absent) => Some(BodyLength::Unknown),
        _ => None,
    };
    length.ok_or(ExchangeError::AmbiguousLength)
}

/// How often a header occurs in a message, and its value.
enum HeaderOccurrence<'a> {
    Absent,
    Once(&'a str),
    /// The header occurs more than once, or its value is not text.
    Invalid,
}

impl HeaderOccurrence<'_> {
    fn of(headers: &HeaderMap, name: HeaderName) -> HeaderOccurrence<'_> {
        let mut values = headers.get_all(name).iter();
        match (values.next(), values.next()) {
            (None, _) => HeaderOccurrence::Absent,
            (Some(value), None) => value.to_str().map_or(HeaderOccurrence::Invalid, HeaderOccurrence::Once),
            (Some(_), Some(_)) => HeaderOccurrence::Invalid,
        }
    }
}
