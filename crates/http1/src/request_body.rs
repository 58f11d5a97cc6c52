//! Message bodies that are too long to buffer. The side that writes pulls them, so nothing is read before there is room
//! for it.

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

/// The part of a body that has been read, and the source of the rest.
pub struct BodyStream {
    buffered: VecDeque<Bytes>,
    body: Incoming,
    /// How many more bytes it may have.
    remaining_bytes: usize,
}

impl BodyStream {
    /// A body whose first pieces, `buffered`, have been read, and which may have up to `max_bytes` in all.
    pub fn new(buffered: VecDeque<Bytes>, body: Incoming, max_bytes: usize) -> BodyStream {
        BodyStream { buffered, body, remaining_bytes: max_bytes }
    }

    /// The next piece of data. Trailers are dropped.
    ///
    /// # Errors
    /// The body ended early, or is longer than allowed.
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
            None => Err(Error::new(ErrorKind::InvalidData, "the message is too long")),
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

    /// Whether all of it has been given out.
    pub fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.body.is_end_stream()
    }

    /// How much is to come, in bytes.
    pub fn size_hint(&self) -> SizeHint {
        let buffered: usize = self.buffered.iter().map(Bytes::len).sum();
        match self.body.size_hint().exact() {
            Some(body) => SizeHint::with_exact(buffered as u64 + body),
            None => SizeHint::default(),
        }
    }
}

/// A client's body that is forwarded as it arrives. It can be sent once.
pub struct StreamingRequestBody {
    client_stream: Rc<TrackedStream>,
    timeout: Duration,
    /// What is left of it, unless an attempt has it.
    remainder: RefCell<Option<BodyStream>>,
    /// A part of it was sent.
    consumed: Cell<bool>,
    /// An attempt waits for the client to send more.
    waiting_for_client: Cell<bool>,
    /// When an attempt last asked for a piece.
    last_pulled_at: Cell<Instant>,
    /// Its last byte was read.
    ended: Rc<Cell<bool>>,
    length: Option<u64>,
    _reservation: Reservation,
}

impl StreamingRequestBody {
    /// The body of a client that waits for `timeout` once all of it is sent.
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

    /// How long the client waits once all of it is sent.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Its length in bytes; `None` if it comes in chunks.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// A flag that becomes true with its last byte.
    pub fn ended(&self) -> Rc<Cell<bool>> {
        self.ended.clone()
    }

    /// Whether a part of it was sent, so that it can't be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Whether it waits for the client, and not for the backend.
    pub fn is_waiting_for_client(&self) -> bool {
        self.waiting_for_client.get() && !self.ended.get()
    }

    /// When the client gives up; `None` while it is still sending.
    pub fn deadline(&self) -> Option<Instant> {
        self.ended.get().then(|| self.client_stream.last_read() + self.timeout)
    }

    /// Whether the backend has read nothing of it for `stall_timeout`.
    pub fn is_backend_stalled(&self, stall_timeout: Duration) -> bool {
        !self.ended.get()
            && !self.waiting_for_client.get()
            && self.last_pulled_at.get().elapsed() >= stall_timeout
    }

    /// Takes what is left, if no attempt has it, so that it can be discarded.
    pub fn take_unsent(&self) -> Option<BodyStream> {
        self.remainder.take()
    }
}

/// Reads a body to its end and drops it. A client that is still sending would otherwise have its connection reset, and
/// lose the response.
pub async fn discard(mut body: BodyStream) {
    while let Some(Ok(_)) = std::future::poll_fn(|cx| body.poll_data(cx)).await {}
}

/// The body of an attempt's request.
pub enum AttemptBody {
    /// In memory; it can be sent again.
    Buffered(Full<Bytes>),
    /// Streaming; it can be sent once.
    Streaming {
        /// The client's body.
        source: Rc<StreamingRequestBody>,
        /// What is left of it; it goes back to `source` when the attempt ends.
        remainder: Option<BodyStream>,
    },
}

impl AttemptBody {
    /// Takes a client's body for an attempt.
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
            return Poll::Ready(Some(Err(Error::other("the body is spent"))));
        };
        source.consumed.set(true);
        source.last_pulled_at.set(Instant::now());
        let polled = remainder.poll_data(cx);
        if polled.is_pending() && !source.waiting_for_client.get() {
            // Only now does the client's time run: until now the backend read nothing.
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
