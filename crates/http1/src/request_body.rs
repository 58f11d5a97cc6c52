//! A caller's body on its way to a backend. One too long to be held is pulled by the side that writes, so nothing
//! is read before there is room for it.

use crate::stream::Wire;
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
pub struct Rest {
    first: VecDeque<Bytes>,
    body: Incoming,
    left: usize,
}

impl Rest {
    /// A message whose first pieces were read already, and which may have so many bytes in all.
    pub fn new(first: VecDeque<Bytes>, body: Incoming, most: usize) -> Rest {
        Rest { first, body, left: most }
    }

    /// The next piece of data; other parts of a message stay behind.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        let piece = match self.first.pop_front() {
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
        Poll::Ready(Some(match self.left.checked_sub(piece.len()) {
            Some(left) => {
                self.left = left;
                Ok(piece)
            }
            None => Err(Error::new(ErrorKind::InvalidData, "the message is too long")),
        }))
    }

    /// Whether all of it was given.
    pub fn is_end_stream(&self) -> bool {
        self.first.is_empty() && self.body.is_end_stream()
    }

    /// How much is to come.
    pub fn size_hint(&self) -> SizeHint {
        let first: usize = self.first.iter().map(Bytes::len).sum();
        match self.body.size_hint().exact() {
            Some(body) => SizeHint::with_exact(first as u64 + body),
            None => SizeHint::default(),
        }
    }
}

/// A caller's body that is passed on as it comes. It can be sent once.
pub struct Upload {
    wire: Rc<Wire>,
    timeout: Duration,
    /// Here unless an attempt has it.
    rest: RefCell<Option<Rest>>,
    spent: Cell<bool>,
    /// An attempt waits for the caller to go on.
    waiting: Cell<bool>,
    pulled: Cell<Instant>,
    ended: Rc<Cell<bool>>,
    length: Option<u64>,
    _room: Reservation,
}

impl Upload {
    /// The body of a caller that waits so long for an answer once all of it is sent.
    pub fn new(wire: Rc<Wire>, timeout: Duration, rest: Rest, room: Reservation) -> Rc<Upload> {
        Rc::new(Upload {
            wire,
            timeout,
            spent: Cell::new(false),
            waiting: Cell::new(false),
            pulled: Cell::new(Instant::now()),
            ended: Rc::default(),
            length: rest.size_hint().exact(),
            rest: RefCell::new(Some(rest)),
            _room: room,
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
    pub fn is_spent(&self) -> bool {
        self.spent.get()
    }

    /// Whether its caller, and nobody else, keeps it waiting.
    pub fn is_awaited(&self) -> bool {
        self.waiting.get() && !self.ended.get()
    }

    /// When its caller leaves; `None` while it is still sending.
    pub fn deadline(&self) -> Option<Instant> {
        self.ended.get().then(|| self.wire.last_read() + self.timeout)
    }

    /// Whether the backend that it goes to has taken nothing for too long.
    pub fn is_stalled(&self, stall: Duration) -> bool {
        !self.ended.get() && !self.waiting.get() && self.pulled.get().elapsed() >= stall
    }

    /// Takes what no attempt has taken, so that it can be read off.
    pub fn take(&self) -> Option<Rest> {
        self.rest.take()
    }
}

/// Reads a body to its end and drops it: a caller that is still sending would otherwise have its connection
/// reset, and with it the answer.
pub async fn discard(mut rest: Rest) {
    while let Some(Ok(_)) = std::future::poll_fn(|cx| rest.poll_data(cx)).await {}
}

/// The body of an attempt.
pub enum Outgoing {
    /// One that is held, and may go out again.
    Whole(Full<Bytes>),
    /// One that passes.
    Passing {
        /// Where it comes from.
        upload: Rc<Upload>,
        /// What is left of it; goes back when the attempt is over.
        rest: Option<Rest>,
    },
}

impl Outgoing {
    /// Takes the body for an attempt.
    pub fn passing(upload: &Rc<Upload>) -> Outgoing {
        upload.pulled.set(Instant::now());
        Outgoing::Passing { upload: upload.clone(), rest: upload.rest.take() }
    }
}

impl Body for Outgoing {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let (upload, rest) = match &mut *self {
            Outgoing::Whole(body) => {
                return Pin::new(body).poll_frame(cx).map_err(|never| match never {});
            }
            Outgoing::Passing { upload, rest } => (upload, rest),
        };
        let Some(rest) = rest else { return Poll::Ready(Some(Err(Error::other("the body is spent")))) };
        upload.spent.set(true);
        upload.pulled.set(Instant::now());
        let polled = rest.poll_data(cx);
        if polled.is_pending() && !upload.waiting.get() {
            // Only now does the caller's time run: before, it was the backend that took none.
            upload.wire.expect_more();
        }
        upload.waiting.set(polled.is_pending());
        if matches!(polled, Poll::Ready(None)) || rest.is_end_stream() {
            upload.ended.set(true);
        }
        polled.map_ok(Frame::data)
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Outgoing::Whole(body) => body.is_end_stream(),
            Outgoing::Passing { rest, .. } => rest.as_ref().is_some_and(Rest::is_end_stream),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Outgoing::Whole(body) => body.size_hint(),
            Outgoing::Passing { rest, .. } => rest.as_ref().map(Rest::size_hint).unwrap_or_default(),
        }
    }
}

impl Drop for Outgoing {
    fn drop(&mut self) {
        if let Outgoing::Passing { upload, rest } = self {
            upload.waiting.set(false);
            upload.rest.replace(rest.take());
        }
    }
}
