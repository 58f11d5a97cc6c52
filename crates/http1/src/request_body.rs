//! Streamed bodies, which are too long to buffer. The writing side pulls them, so that data is read only when
//! it can be passed on (back-pressure).

use crate::stream::TrackedStream;
use bytes::Bytes;
use hillstall_proxy_core::limits::Reservation;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};

/// A request or response body that is streamed: the part that has been read, and the source of the rest.
pub struct BodyStream {
    buffered: VecDeque<Bytes>,
    body: Incoming,
    /// Number of bytes that the rest of the body may have.
    remaining_bytes: usize,
}

impl BodyStream {
    /// A body of at most `max_bytes` in total, of which the pieces in `buffered` have been read.
    pub fn new(buffered: VecDeque<Bytes>, body: Incoming, max_bytes: usize) -> BodyStream {
        BodyStream { buffered, body, remaining_bytes: max_bytes }
    }

    /// The next piece of data. Trailers are dropped.
    ///
    /// # Errors
    /// The body ended early, or is longer than `max_bytes`.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        let piece = match self.buffered.pop_front() {
            Some(piece) => piece,
            None => match ready!(self.poll_unread_data(cx)) {
                Some(Ok(piece)) => piece,
                end_or_error => return Poll::Ready(end_or_error),
            },
        };
        Poll::Ready(Some(match self.remaining_bytes.checked_sub(piece.len()) {
            Some(remaining) => {
                self.remaining_bytes = remaining;
                Ok(piece)
            }
            None => {
                Err(Error::new(ErrorKind::InvalidData, "the body is longer than the maximum message size"))
            }
        }))
    }

    /// The next piece of data that has not been read yet.
    fn poll_unread_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(Error::other(error)))),
                Some(Ok(frame)) => {
                    if let Ok(piece) = frame.into_data() {
                        return Poll::Ready(Some(Ok(piece)));
                    }
                }
            }
        }
    }

    /// Whether all data has been returned.
    pub fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.body.is_end_stream()
    }

    /// Number of bytes still to be returned.
    pub fn size_hint(&self) -> SizeHint {
        let buffered: usize = self.buffered.iter().map(Bytes::len).sum();
        match self.body.size_hint().exact() {
            Some(body) => SizeHint::with_exact(buffered as u64 + body),
            None => SizeHint::default(),
        }
    }
}

/// A request body that is forwarded as it arrives. It can be sent only once, as sent data is not kept.
pub struct StreamingRequestBody {
    client_stream: Rc<TrackedStream>,
    timeout: Duration,
    /// The part that has not been sent; `None` while an attempt holds it.
    remainder: RefCell<Option<BodyStream>>,
    /// Whether a part of the body has been passed to an attempt.
    consumed: Cell<bool>,
    /// Whether an attempt waits for the client to send more.
    waiting_for_client: Cell<bool>,
    /// When an attempt last requested data.
    last_pulled_at: Cell<Instant>,
    /// Whether the last byte has been read.
    ended: Rc<Cell<bool>>,
    length: Option<u64>,
    _reservation: Reservation,
}

impl StreamingRequestBody {
    /// The rest of a body whose client waits for the response for `timeout` after its last byte.
    pub fn new(
        client_stream: Rc<TrackedStream>,
        timeout: Duration,
        remainder: BodyStream,
        reservation: Reservation,
    ) -> Rc<StreamingRequestBody> {
        Rc::new(StreamingRequestBody {
            client_stream,
            timeout,
            consumed: Cell::new(false),
            waiting_for_client: Cell::new(false),
            last_pulled_at: Cell::new(Instant::now()),
            ended: Rc::default(),
            length: remainder.size_hint().exact(),
            remainder: RefCell::new(Some(remainder)),
            _reservation: reservation,
        })
    }

    /// How long the client waits for the response after the last byte of the body.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Length of the body in bytes; `None` if it is chunked.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// A flag that becomes true when the last byte has been read.
    pub fn ended(&self) -> Rc<Cell<bool>> {
        self.ended.clone()
    }

    /// Whether a part has been passed to an attempt, so that the body can't be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Whether an attempt waits for the client to send more, rather than for the backend to read.
    pub fn is_waiting_for_client(&self) -> bool {
        self.waiting_for_client.get() && !self.ended.get()
    }

    /// When the client stops waiting for the response; `None` while it is still sending the body.
    pub fn deadline(&self) -> Option<Instant> {
        self.ended.get().then(|| self.client_stream.last_read() + self.timeout)
    }

    /// Whether the backend has accepted no more data for `stall_timeout`.
    pub fn is_backend_stalled(&self, stall_timeout: Duration) -> bool {
        !self.ended.get()
            && !self.waiting_for_client.get()
            && self.last_pulled_at.get().elapsed() >= stall_timeout
    }

    /// Takes the part that has not been sent, for [`discard`]; `None` if an attempt holds it.
    pub fn take_unsent(&self) -> Option<BodyStream> {
        self.remainder.take()
    }
}

/// Reads a body to its end and drops it. Otherwise the connection of a client that is still sending would be
/// reset, and the client would lose the response.
pub async fn discard(mut body: BodyStream) {
    while let Some(Ok(_)) = std::future::poll_fn(|cx| body.poll_data(cx)).await {}
}

/// The request body as sent by one attempt.
pub enum AttemptBody {
    /// A complete body in memory, which can be sent again.
    Buffered(Full<Bytes>),
    /// A streamed body, which can be sent only once.
    Streaming {
        /// The body that the client sends.
        source: Rc<StreamingRequestBody>,
        /// The part that has not been sent. It is returned to `source` when the attempt ends.
        remainder: Option<BodyStream>,
    },
}

impl AttemptBody {
    /// Takes the unsent part of a streamed body for an attempt.
    pub fn streaming(source: &Rc<StreamingRequestBody>) -> AttemptBody {
        source.last_pulled_at.set(Instant::now());
        AttemptBody::Streaming { source: source.clone(), remainder: source.remainder.take() }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let (source, remainder) = match &mut *self {
            AttemptBody::Buffered(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {});
            }
            AttemptBody::Streaming { source, remainder } => (source, remainder),
        };
        let Some(remainder) = remainder else {
            return Poll::Ready(Some(Err(Error::other(
                "the request body is held by another attempt or has been discarded",
            ))));
        };
        source.consumed.set(true);
        source.last_pulled_at.set(Instant::now());
        let polled = remainder.poll_data(cx);
        if polled.is_pending() && !source.waiting_for_client.get() {
            // The client's request timeout starts now: until now the attempt waited for the backend to read.
            source.client_stream.restart_read_window();
        }
        source.waiting_for_client.set(polled.is_pending());
        if matches!(polled, Poll::Ready(None)) || remainder.is_end_stream() {
            source.ended.set(true);
        }
        polled.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streaming { remainder, .. } => {
                remainder.as_ref().is_some_and(BodyStream::is_end_stream)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streaming { remainder, .. } => {
                remainder.as_ref().map(BodyStream::size_hint).unwrap_or_default()
            }
        }
    }
}

impl Drop for AttemptBody {
    fn drop(&mut self) {
        if let AttemptBody::Streaming { source, remainder } = self {
            source.waiting_for_client.set(false);
            source.remainder.replace(remainder.take());
        }
    }
}
