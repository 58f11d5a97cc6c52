//! One connection to a backend, and the exchanges on it.

use crate::request_body::{AttemptBody, BodyStream};
use crate::stream::{HyperStream, TrackedStream};
use bytes::Bytes;
use hillstall_proxy_core::limits::{BufferedBody, Limits, Reservation};
use hillstall_proxy_core::tuning::Tuning;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{self, HeaderMap, HeaderName};
use hyper::{Method, Request, StatusCode};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// A connection together with its protocol state machine. Dropping it closes the socket at once, also during an
/// exchange, so that no attempt outlives its cancellation.
pub struct BackendConnection {
    sender: SendRequest<AttemptBody>,
    protocol: Pin<Box<Connection<HyperStream, AttemptBody>>>,
    /// The protocol has ended.
    closed: bool,
    stream: Rc<TrackedStream>,
    _reservation: Reservation,
}

impl BackendConnection {
    /// Starts HTTP/1.1 on a connected socket.
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

    /// The socket, and what is known of its traffic.
    pub fn stream(&self) -> &TrackedStream {
        &self.stream
    }

    /// Lets the protocol make progress.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        self.closed = self.closed || self.protocol.as_mut().poll(cx).is_ready();
    }

    /// Lets the protocol see the end of the last exchange. True if the connection can carry another one, once it
    /// has rested and nothing unexpected has come.
    pub fn check_reusable(&mut self, cx: &mut Context<'_>) -> bool {
        self.drive(cx);
        !self.closed && self.sender.is_ready()
    }

    /// [`check_reusable`](Self::check_reusable) for async code; never waits.
    pub async fn is_reusable(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.check_reusable(cx))).await
    }

    /// Sends a request and reads the response, with as much of its body as is buffered.
    ///
    /// # Errors
    /// A response with status 200 is an error if its body can't be had: it is incomplete, ambiguous or too large.
    /// Any other response is complete with its head.
    pub async fn exchange(
        &mut self,
        request: Request<AttemptBody>,
        limits: &Limits,
    ) -> Result<ReceivedResponse, ExchangeError> {
        let is_head = request.method() == Method::HEAD;
        let response = async {
            let response = self.sender.send_request(request).await.map_err(ExchangeError::Connection)?;
            let (head, body) = response.into_parts();
            let length = if is_head { Ok(BodyLength::Known(0)) } else { body_length(&head.headers) };
            let body = match length {
                Ok(length) => read_response_body(body, length, limits).await,
                Err(error) => Err(error),
            };
            match body {
                Err(error) if head.status == StatusCode::OK => Err(error),
                body => Ok(ReceivedResponse { status: head.status, headers: head.headers, body: body.ok() }),
            }
        };
        tokio::pin!(response);
        tokio::select! {
            biased;
            response = &mut response => return response,
            // What the protocol has read before its end is still delivered below.
            _ = &mut self.protocol, if !self.closed => self.closed = true,
        }
        response.await
    }
}

/// Why a request got no usable response.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection ended before the head of a response came.
    #[error("no response: {0}")]
    Connection(#[source] hyper::Error),
    /// The head gives no length, or more than one, that can be relied on.
    #[error("the length of the response is ambiguous")]
    AmbiguousLength,
    /// The body is longer than this proxy forwards.
    #[error("the response is too large")]
    BodyTooLarge,
    /// There is no memory left for buffered bodies.
    #[error("no memory is left for the response")]
    OutOfCapacity,
    /// The body ended early.
    #[error("the response ended early: {0}")]
    Body(#[source] hyper::Error),
    /// The body made no progress for the response timeout.
    #[error("the response timed out")]
    TimedOut,
}

/// The response to one request.
pub struct ReceivedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, if it could be had.
    pub body: Option<ReceivedBody>,
}

/// What was read of a response's body.
pub enum ReceivedBody {
    /// All of it.
    Complete(BufferedBody),
    /// The first pieces and the source of the rest, with the memory reserved for them.
    Partial(BodyStream, Reservation),
}

/// Reads a body until it is complete, or is to be streamed: because it is too long to buffer, or because its length
/// is unknown and it has been buffered for long enough. A client then gains more from its first bytes than from a
/// retry.
async fn read_response_body(
    mut body: Incoming,
    length: BodyLength,
    limits: &Limits,
) -> Result<ReceivedBody, ExchangeError> {
    let tuning = limits.tuning();
    let max_buffered = tuning.max_buffered_body_bytes;
    let mut reservation = limits
        .buffered_bytes
        .reserve(length.bytes_to_reserve(&tuning)?)
        .ok_or(ExchangeError::OutOfCapacity)?;
    let is_long = matches!(length, BodyLength::Known(bytes) if bytes > max_buffered as u64);
    let is_unsized = length == BodyLength::Unknown;
    let stream_at = Instant::now() + length.max_buffering_time(&tuning);
    let (mut pieces, mut buffered) = (VecDeque::new(), 0);
    loop {
        let is_streaming = is_long || (is_unsized && Instant::now() >= stream_at);
        if buffered > 0 && (is_streaming || buffered > max_buffered) {
            let stream = BodyStream::new(pieces, body, tuning.max_message_bytes);
            return Ok(ReceivedBody::Partial(stream, reservation));
        }
        let times_out_at = Instant::now() + tuning.response_timeout;
        let until = if is_unsized && buffered > 0 { stream_at } else { times_out_at };
        match timeout_at(until.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(piece) = frame.into_data() {
                    buffered += piece.len();
                    pieces.push_back(piece);
                }
            }
            Ok(Some(Err(error))) => return Err(ExchangeError::Body(error)),
            Ok(None) => break,
            Err(_elapsed) if until < times_out_at => {}
            Err(_elapsed) => return Err(ExchangeError::TimedOut),
        }
    }
    reservation.shrink_to(buffered);
    Ok(ReceivedBody::Complete(BufferedBody::new(concatenate(pieces), reservation)))
}

/// The pieces of a body in one; a single piece is not copied.
pub fn concatenate(mut pieces: VecDeque<Bytes>) -> Bytes {
    match (pieces.len(), pieces.pop_front()) {
        (1, Some(only)) => only,
        (_, first) => first.into_iter().chain(pieces).collect::<Vec<_>>().concat().into(),
    }
}

/// How long a body is by the head of its message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    /// This many bytes.
    Known(u64),
    /// Known only at its end: it comes in chunks, or ends with the connection.
    Unknown,
}

impl BodyLength {
    /// How much memory to reserve for buffering.
    fn bytes_to_reserve(self, tuning: &Tuning) -> Result<usize, ExchangeError> {
        match self {
            BodyLength::Known(bytes) if bytes > tuning.max_message_bytes as u64 => {
                Err(ExchangeError::BodyTooLarge)
            }
            BodyLength::Known(bytes) => Ok((bytes as usize).min(tuning.max_buffered_body_bytes)),
            BodyLength::Unknown => Ok(tuning.max_buffered_body_bytes),
        }
    }

    /// How long a body is buffered before it is streamed.
    fn max_buffering_time(self, tuning: &Tuning) -> Duration {
        match self {
            BodyLength::Known(_) => tuning.response_timeout,
            BodyLength::Unknown => tuning.max_unsized_buffering,
        }
    }
}

/// The length of a response's body by its head.
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

/// How a header occurs in a message.
enum HeaderOccurrence<'a> {
    Absent,
    Once(&'a str),
    /// More than once, or not as text.
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
