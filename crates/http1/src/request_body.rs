//! Streamed request bodies, and request bodies as attempts send them.

use crate::body_buffer::BufferedPieces;
use crate::body_stream::BodyStream;
use crate::stream::TrackedStream;
use crate::upload_progress::UploadProgress;
use bytes::Bytes;
use hillstall_proxy_core::limits::Reservation;
use hyper::body::{Body, Frame, SizeHint};
use std::cell::{Cell, RefCell};
use std::io::Error;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// A request body that is forwarded as it arrives. Data is kept until the first byte of the request has been
/// written; from then on the body can't be sent again.
pub struct StreamingRequestBody {
    client_stream: Rc<TrackedStream>,
    timeout: Duration,
    /// The part that has not been sent; `None` while an attempt holds it.
    remainder: RefCell<Option<BodyStream>>,
    /// Whether a part of the body has been passed to an attempt and not put back.
    consumed: Cell<bool>,
    /// Whether all of the body has been passed to the attempt in flight.
    fully_passed: Rc<Cell<bool>>,
    /// Whether an attempt waits for the client to send more.
    waiting_for_client: Cell<bool>,
    /// When an attempt last requested data.
    last_pulled_at: Cell<Instant>,
    /// When the last byte was read; `None` until then.
    received_at: Cell<Option<Instant>>,
    progress: RefCell<UploadProgress>,
    length: Option<u64>,
    _reservation: Reservation,
}

impl StreamingRequestBody {
    /// A body whose client waits for the response for `timeout` after its last byte. The client may have
    /// written up to `max_in_transit` bytes that have not been read.
    pub fn new(
        client_stream: Rc<TrackedStream>,
        timeout: Duration,
        max_in_transit: usize,
        remainder: BodyStream,
        reservation: Reservation,
    ) -> Rc<StreamingRequestBody> {
        let length = remainder.size_hint().exact();
        let started_at = client_stream.message_started_at().unwrap_or_else(Instant::now);
        let mut progress = UploadProgress::new(length, max_in_transit as u64, started_at);
        progress.record(remainder.buffered_bytes() as u64, client_stream.last_read());
        Rc::new(StreamingRequestBody {
            client_stream,
            timeout,
            consumed: Cell::new(false),
            fully_passed: Rc::default(),
            waiting_for_client: Cell::new(false),
            last_pulled_at: Cell::new(Instant::now()),
            received_at: Cell::new(None),
            progress: RefCell::new(progress),
            length,
            remainder: RefCell::new(Some(remainder)),
            _reservation: reservation,
        })
    }

    /// Length of the body in bytes; `None` if it is chunked.
    pub fn length(&self) -> Option<u64> {
        self.length
    }

    /// A flag that becomes true when all of the body has been passed to an attempt.
    pub fn fully_passed(&self) -> Rc<Cell<bool>> {
        self.fully_passed.clone()
    }

    /// Whether a part has been passed to an attempt that wrote something, so that the body can't be sent
    /// again.
    pub fn is_consumed(&self) -> bool {
        self.consumed.get()
    }

    /// Whether an attempt waits for the client to send more, rather than for the backend to read.
    pub fn is_waiting_for_client(&self) -> bool {
        self.waiting_for_client.get() && self.received_at.get().is_none()
    }

    /// When the last byte was read; `None` before.
    pub fn received_at(&self) -> Option<Instant> {
        self.received_at.get()
    }

    /// When the client may stop waiting for the response, as far as is known now; `None` if it is certainly
    /// still sending the body. While the body is being read, this may become later.
    pub fn deadline(&self) -> Option<Instant> {
        if self.is_waiting_for_client() && self.client_stream.is_starved() {
            return None;
        }
        let earliest_end = self.progress.borrow().earliest_end(self.client_stream.starved_at());
        Some(earliest_end? + self.timeout)
    }

    /// Number of bytes of the body that have been read from the client.
    pub fn bytes_read(&self) -> u64 {
        self.progress.borrow().bytes_read()
    }

    /// How long the client still waits for the response, as far as is known now.
    pub fn remaining_time(&self) -> Duration {
        match self.deadline() {
            Some(deadline) => deadline.saturating_duration_since(Instant::now()).min(self.timeout),
            None => self.timeout,
        }
    }

    /// Whether the backend has accepted no more data for `stall_timeout`.
    pub fn is_backend_stalled(&self, stall_timeout: Duration) -> bool {
        self.received_at.get().is_none()
            && !self.waiting_for_client.get()
            && self.last_pulled_at.get().elapsed() >= stall_timeout
    }

    /// Records what was read from the client for an attempt.
    fn record_read(&self, polled: &Poll<Option<Result<Bytes, Error>>>, is_unread: bool, is_end: bool) {
        if let (Poll::Ready(Some(Ok(piece))), true) = (polled, is_unread) {
            self.progress.borrow_mut().record(piece.len() as u64, Instant::now());
        }
        if is_end && self.received_at.get().is_none() {
            self.received_at.set(Some(self.client_stream.last_read()));
        }
    }

    /// Takes the part that has not been sent, for [`discard`](crate::body_stream::discard); `None` if an
    /// attempt holds it.
    pub fn take_unsent(&self) -> Option<BodyStream> {
        self.remainder.take()
    }
}

/// The request body as sent by one attempt.
pub enum AttemptBody {
    /// A complete body in memory, which can be sent again, and the stream of the backend connection.
    Buffered(BufferedPieces, Rc<TrackedStream>),
    /// A streamed body.
    Streaming(StreamedAttemptBody),
}

/// A streamed request body as sent by one attempt. hyper takes pieces of it before it writes for the first
/// time, so the pieces are kept until something has been written. If the attempt ends before that, they go
/// back to `source`.
pub struct StreamedAttemptBody {
    /// The body that the client sends.
    source: Rc<StreamingRequestBody>,
    /// The part that has not been sent. It is returned to `source` when the attempt ends.
    remainder: Option<BodyStream>,
    /// The pieces that were taken while nothing had been written.
    taken: Vec<Bytes>,
    /// The stream of the backend connection.
    backend_stream: Rc<TrackedStream>,
}

impl AttemptBody {
    /// Takes the unsent part of a streamed body for an attempt on the connection of `backend_stream`, on
    /// which the request has begun.
    pub fn streaming(source: &Rc<StreamingRequestBody>, backend_stream: Rc<TrackedStream>) -> AttemptBody {
        source.last_pulled_at.set(Instant::now());
        AttemptBody::Streaming(StreamedAttemptBody {
            source: source.clone(),
            remainder: source.remainder.take(),
            taken: Vec::new(),
            backend_stream,
        })
    }
}

impl StreamedAttemptBody {
    fn poll_frame(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let source = &self.source;
        let Some(remainder) = &mut self.remainder else {
            return Poll::Ready(Some(Err(Error::other(
                "the request body is held by another attempt or has been discarded",
            ))));
        };
        source.last_pulled_at.set(Instant::now());
        let is_unread = !remainder.has_buffered();
        let polled = remainder.poll_data(cx);
        if polled.is_pending() && !source.waiting_for_client.get() {
            // The client's request timeout starts now: until now the attempt waited for the backend to read.
            source.client_stream.restart_read_window();
        }
        source.waiting_for_client.set(polled.is_pending());
        let is_end = matches!(polled, Poll::Ready(None)) || remainder.is_end_stream();
        source.record_read(&polled, is_unread, is_end);
        if is_end {
            source.fully_passed.set(true);
        }
        if let Poll::Ready(Some(Ok(piece))) = &polled {
            source.consumed.set(true);
            self.keep(piece.clone());
        }
        polled.map_ok(Frame::data)
    }

    /// Keeps a piece until something of the request has been written.
    fn keep(&mut self, piece: Bytes) {
        if self.backend_stream.has_sent_request_bytes() {
            self.taken = Vec::new();
        } else {
            self.taken.push(piece);
        }
    }

    /// Puts back what was taken, as nothing has been written.
    fn put_back_taken(&mut self) {
        let Some(remainder) = &mut self.remainder else { return };
        let taken = std::mem::take(&mut self.taken);
        let bytes: usize = taken.iter().map(Bytes::len).sum();
        if bytes > 0 {
            tracing::debug!(bytes, "attempt: nothing was written; its part of the request body is put back");
        }
        remainder.put_back(taken);
        self.source.consumed.set(false);
        self.source.fully_passed.set(false);
    }
}

impl Drop for StreamedAttemptBody {
    fn drop(&mut self) {
        if !self.backend_stream.has_sent_request_bytes() {
            self.put_back_taken();
        }
        self.source.waiting_for_client.set(false);
        self.source.remainder.replace(self.remainder.take());
    }
}

impl Body for AttemptBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        match &mut *self {
            AttemptBody::Buffered(body, stream) => {
                stream.poll_piece(cx, |cx| Pin::new(body).poll_frame(cx).map_err(|never| match never {}))
            }
            AttemptBody::Streaming(body) => {
                let stream = body.backend_stream.clone();
                stream.poll_piece(cx, |cx| body.poll_frame(cx))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            AttemptBody::Buffered(body, _) => body.is_end_stream(),
            AttemptBody::Streaming(body) => body.remainder.as_ref().is_some_and(BodyStream::is_end_stream),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            AttemptBody::Buffered(body, _) => body.size_hint(),
            AttemptBody::Streaming(body) => {
                body.remainder.as_ref().map(BodyStream::size_hint).unwrap_or_default()
            }
        }
    }
}
