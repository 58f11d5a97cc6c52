//! A caller's body on its way to a backend. One too long to be held is pulled by the side that writes, so nothing
//! is read before there is room for it.

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

/// What has been read of a message, and the source of the rest.
pub struct BodyStream {
    buffered: VecDeque<Bytes>,
    body: Incoming,
    remaining_bytes: usize,
}

impl BodyStream {
    /// A message whose first pieces were read already, and which may have so many bytes in all.
    pub fn new(buffered: VecDeque<Bytes>, body: Incoming, max_bytes: usize) -> BodyStream {
        BodyStream { buffered, body, remaining_bytes: max_bytes }
    }

    /// The next piece of data; other parts of a message stay behind.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        let piece = match self.buffered.pop_front() {
            Some(piece) => piece,
            None => loop {
                match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                    None => return Poll::Ready(None),
                    Some(Err(e)) => return Poll::Ready(Some(Err(Error::other(e)))),
                    Some(Ok(frame)) => {
                        if let Ok(piece) = frame.into_data() {
                            break piece;
                        }
                    }
                }
            },
        };
        Poll::Ready(Some(match self.remaining_bytes.checked_sub(piece.len()) {
            Some(left) => {
                self.remaining_bytes = left;
                Ok(piece)
            }
            None => Err(Error::new(ErrorKind::InvalidData, "the message is too long")),
        }))
    }

    /// Whether all of it was given.
    pub fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.body.is_end_stream()
    }

    /// How much is to come.
    pub fn size_hint(&self) -> SizeHint {
        let first: usize = self.buffered.iter().map(Bytes::len).sum();
        match self.body.size_hint().exact() {
            Some(body) => SizeHint::with_exact(first as u64 + body),
            None => SizeHint::default(),
        }
    }
}

/// A caller's body that is passed on as it comes. It can be sent once.
pub struct StreamingRequestBody {
    client_stream: Rc<TrackedStream>,
    timeout: Duration,
    /// Here unless an attempt has it.
    remainder: RefCell<Option<BodyStream>>,
    consumed: Cell<bool>,
    /// An attempt waits for the caller to go on.
    waiting_for_client: Cell<bool>,
    last_pulled_at: Cell<Instant>,
    ended: Rc<Cell<bool>>,
    length: Option<u64>,
    _reservation: Reservation,
}

impl StreamingRequestBody {
    /// The body of a caller that waits so long for an answer once all of it is sent.
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

    /// How long its caller waits once all of it is sent.
    pub fn timeout(&self) -> Duration {
        self.timeout
    }

    /// Its length, unless it comes in chunks.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// Becomes true with its last byte.
    pub fn ended(&self) -> Rc<Cell<bool>> {
        self.ended.clone()
    }

    /// Whether a part of it went out, so that it can't be sent again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Whether its caller, and nobody else, keeps it waiting.
    pub fn is_waiting_for_client(&self) -> bool {
        self.waiting_for_client.get() && !self.ended.get()
    }

    /// When its caller leaves; `None` while it is still sending.
    pub fn deadline(&self) -> Option<Instant> {
        self.ended.get().then(|| self.client_stream.last_read() + self.timeout)
    }

    /// Whether the backend that it goes to has taken nothing for too long.
    pub fn is_backend_stalled(&self, stall: Duration) -> bool {
        !self.ended.get() && !self.waiting_for_client.get() && self.last_pulled_at.get().elapsed() >= stall
    }

    /// Takes what no attempt has taken, so that it can be read off.
    pub fn take_unsent(&self) -> Option<BodyStream> {
        self.remainder.take()
    }
}

/// Reads a body to its end and drops it: a caller that is still sending would otherwise have its connection
/// reset, and with it the answer.
pub async fn discard(mut rest: BodyStream) {
    while let Some(Ok(_)) = std::future::poll_fn(|cx| rest.poll_data(cx)).await {}
}

/// The body of an attempt.
pub enum AttemptBody {
    /// One that is held, and may go out again.
    Buffered(Full<Bytes>),
    /// One that passes.
    Streaming {
        /// Where it comes from.
        source: Rc<StreamingRequestBody>,
        /// What is left of it; goes back when the attempt is over.
        remainder: Option<BodyStream>,
    },
}

impl AttemptBody {
    /// Takes the body for an attempt.
    pub fn streaming(upload: &Rc<StreamingRequestBody>) -> AttemptBody {
        upload.last_pulled_at.set(Instant::now());
        AttemptBody::Streaming { source: upload.clone(), remainder: upload.remainder.take() }
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let (upload, rest) = match &mut *self {
            AttemptBody::Buffered(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {});
            }
            AttemptBody::Streaming { source: upload, remainder: rest } => (upload, rest),
        };
        let Some(rest) = rest else { return Poll::Ready(Some(Err(Error::other("the body is spent")))) };
        upload.consumed.set(true);
        upload.last_pulled_at.set(Instant::now());
        let polled = rest.poll_data(cx);
        if polled.is_pending() && !upload.waiting_for_client.get() {
            // Only now does the caller's time run: before, it was the backend that took none.
            upload.client_stream.restart_read_step();
        }
        upload.waiting_for_client.set(polled.is_pending());
        if matches!(polled, Poll::Ready(None)) || rest.is_end_stream() {
            upload.ended.set(true);
        }
        polled.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body) => body.is_end_stream(),
            AttemptBody::Streaming { remainder: rest, .. } => {
                rest.as_ref().is_some_and(BodyStream::is_end_stream)
            }
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body) => body.size_hint(),
            AttemptBody::Streaming { remainder: rest, .. } => {
                rest.as_ref().map(BodyStream::size_hint).unwrap_or_default()
            }
        }
    }
}

impl Drop for AttemptBody {
    fn drop(&mut self) {
        if let AttemptBody::Streaming { source: upload, remainder: rest } = self {
            upload.waiting_for_client.set(false);
            upload.remainder.replace(rest.take());
        }
    }
}
