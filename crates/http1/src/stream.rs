//! A wrapper of a TCP stream that hyper reads and writes. It records when bytes are read, as deadlines depend
//! on it, and tracks whether the last byte of a request has been sent.

use crate::body_buffer::MAX_PIECE_BYTES;
use crate::framing::RequestFraming;
use crate::write_progress::WriteProgress;
use bytes::Bytes;
use hillstall_proxy_core::metrics::Counter;
use hillstall_proxy_core::tuning::Tuning;
use hillstall_socket_io::{poll_read, poll_write};
use hyper::body::Frame;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::future::{poll_fn, Future};
use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::{pin, Pin};
use std::rc::Rc;
use std::task::{ready, Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;

/// Maximum number of bytes read from the socket at once.
pub(crate) const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The length of a request body, by which the end of the request is recognised when it is written.
pub enum RequestBodyLength {
    /// Length of a body that is buffered or has a `Content-Length`, in bytes.
    Known(usize),
    /// The body is chunked. The flag becomes true when all of it has been passed to hyper.
    Chunked(Rc<Cell<bool>>),
}

/// A TCP stream that records when data was last read and written, and how far the current message has got.
/// The peer is a client, a backend or the discovery service.
pub struct TrackedStream {
    socket: TcpStream,
    last_read: Cell<Instant>,
    message_started_at: Cell<Option<Instant>>,
    /// When the peer was last known to have more to send of its message: a read found no data, or the first
    /// after such a read found some.
    starved_at: Cell<Instant>,
    /// Whether the last read found no data.
    is_starved: Cell<bool>,
    /// Whether a message of the peer has ended.
    has_completed_message: Cell<bool>,
    /// Whether the last write could not write everything, because the peer does not read fast enough.
    write_blocked: Cell<bool>,
    last_write_progress: Cell<Instant>,
    /// Called once hyper has written all that it has buffered.
    on_written: RefCell<Vec<Box<dyn FnOnce()>>>,
    /// Number of bytes of a body that hyper has taken since its write buffer was last empty.
    unwritten_bytes: Cell<usize>,
    /// Wakes the task that waits until the write buffer is empty.
    written_waker: Cell<Option<Waker>>,
    read_window: Cell<ReadWindow>,
    request_progress: RefCell<WriteProgress>,
    /// The framing of the received requests, if the peer is a client.
    framing: Option<RefCell<RequestFraming>>,
    completions: RefCell<Completions>,
    /// Number of bytes that the peer must send within each request timeout.
    min_bytes_per_window: usize,
}

/// A part of a message that must arrive within the request timeout.
#[derive(Clone, Copy)]
struct ReadWindow {
    started_at: Instant,
    bytes_read: usize,
}

impl ReadWindow {
    fn starting_at(started_at: Instant) -> ReadWindow {
        ReadWindow { started_at, bytes_read: 0 }
    }
}

/// When the last bytes of the requests that have been read may have been written at the earliest.
#[derive(Default)]
struct Completions {
    /// Number of requests before the first of `times`.
    forgotten: u64,
    times: VecDeque<Instant>,
}

impl Completions {
    /// Records that `completed` requests have been read by now, and that the client was not done with the last
    /// ones at `incomplete_at`.
    fn record(&mut self, completed: u64, incomplete_at: Instant) {
        let known = self.forgotten + self.times.len() as u64;
        self.times.extend((known..completed).map(|_| incomplete_at));
    }

    /// Forgets the requests before this one, as far as they are complete.
    fn forget_before(&mut self, request: u64) {
        while self.forgotten + 1 < request && self.times.pop_front().is_some() {
            self.forgotten += 1;
        }
    }
}

impl TrackedStream {
    /// Wraps the socket of a backend or of discovery. Nagle's algorithm is turned off, so that small messages
    /// don't wait for an acknowledgement.
    pub fn new(socket: TcpStream, tuning: &Tuning) -> Rc<TrackedStream> {
        TrackedStream::with_framing(socket, tuning, None)
    }

    /// Wraps the socket of a client, and tracks the framing of its requests.
    pub fn for_client(socket: TcpStream, tuning: &Tuning) -> Rc<TrackedStream> {
        TrackedStream::with_framing(socket, tuning, Some(RefCell::default()))
    }

    fn with_framing(
        socket: TcpStream,
        tuning: &Tuning,
        framing: Option<RefCell<RequestFraming>>,
    ) -> Rc<TrackedStream> {
        // Errors mean that the connection has ended, which the first read reports.
        let _ = socket.set_nodelay(true);
        let options = SockRef::from(&socket);
        let buffer_bytes = tuning.socket_buffer_bytes;
        let _ = options.set_send_buffer_size(buffer_bytes).and(options.set_recv_buffer_size(buffer_bytes));
        let now = Instant::now();
        Rc::new(TrackedStream {
            socket,
            last_read: Cell::new(now),
            message_started_at: Cell::new(None),
            starved_at: Cell::new(now),
            is_starved: Cell::new(false),
            has_completed_message: Cell::new(false),
            write_blocked: Cell::new(false),
            last_write_progress: Cell::new(now),
            on_written: RefCell::default(),
            unwritten_bytes: Cell::new(0),
            written_waker: Cell::new(None),
            read_window: Cell::new(ReadWindow::starting_at(now)),
            request_progress: RefCell::default(),
            framing,
            completions: RefCell::default(),
            min_bytes_per_window: tuning.request_bytes_per_timeout,
        })
    }

    /// Waits until there is data to read or the connection has been closed.
    pub async fn readable(&self) {
        // An error is also reported by the next read.
        let _ = poll_fn(|cx| self.socket.poll_read_ready(cx)).await;
    }

    /// Whether a client is between two requests, with nothing of the next one read. Always true for other
    /// peers.
    pub fn is_between_messages(&self) -> bool {
        self.framing.as_ref().is_none_or(|framing| framing.borrow().is_between_messages())
    }

    /// Number of complete requests read from a client; 0 for other peers.
    pub fn received_requests(&self) -> u64 {
        self.framing.as_ref().map_or(0, |framing| framing.borrow().completed())
    }

    /// When data was last read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// When the first bytes of the current message were read; `None` between two messages.
    pub fn message_started_at(&self) -> Option<Instant> {
        self.message_started_at.get()
    }

    /// Records that the current message has ended. If a part of the next one has been read with it, the next
    /// one has started: with the last read, or now if the peer has sent more of it that is still unread.
    pub fn message_completed(&self) {
        self.has_completed_message.set(true);
        if self.is_between_messages() {
            self.message_started_at.set(None);
            return;
        }
        let started_at = if self.has_unread() { Instant::now() } else { self.last_read.get() };
        self.message_started_at.set(Some(started_at));
        self.read_window.set(ReadWindow::starting_at(started_at));
    }

    /// Whether a request had two lengths, or the framing of the received bytes could not be parsed.
    pub fn has_ambiguous_framing(&self) -> bool {
        self.framing.as_ref().is_some_and(|framing| framing.borrow().is_ambiguous())
    }

    /// Starts a new read window: from now on the proxy waits for the peer to continue its message.
    pub fn restart_read_window(&self) {
        self.read_window.set(ReadWindow::starting_at(Instant::now()));
    }

    /// Time since the start of the current read window. A window ends after a fixed number of bytes, and a
    /// new one starts with a new message.
    pub fn read_window_elapsed(&self) -> Duration {
        self.read_window.get().started_at.elapsed()
    }

    /// When the peer was last known to have more to send of its current message, as no data was there to be
    /// read before the end of it.
    pub fn starved_at(&self) -> Instant {
        self.starved_at.get()
    }

    /// Whether the last read found no data.
    pub fn is_starved(&self) -> bool {
        self.is_starved.get()
    }

    /// Records that a read found no data, which is no news after the end of a message.
    fn on_starved(&self) {
        if !self.is_between_messages() {
            self.starved_at.set(Instant::now());
        }
        self.is_starved.set(true);
    }

    fn on_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.last_read.set(now);
        if self.is_starved.take() {
            // These bytes have just arrived.
            self.starved_at.set(now);
        }
        if self.message_started_at.get().is_none() {
            self.message_started_at.set(Some(now));
            // The window of the first message starts with the connection, so that a peer may not idle before
            // it.
            if self.has_completed_message.get() {
                self.read_window.set(ReadWindow::starting_at(now));
            }
        }
        let mut window = self.read_window.get();
        window.bytes_read += bytes.len();
        let is_complete = window.bytes_read >= self.min_bytes_per_window;
        self.read_window.set(if is_complete { ReadWindow::starting_at(now) } else { window });
        if let Some(framing) = &self.framing {
            let mut framing = framing.borrow_mut();
            framing.advance(bytes);
            self.completions.borrow_mut().record(framing.completed(), self.starved_at.get());
        }
    }

    /// Records that data has arrived, if the last read found none and the runtime knows of some by now. Called
    /// whenever the connection is polled, as the data may be read only long after its arrival.
    pub fn note_arrival(&self) {
        if !self.is_starved.get() {
            return;
        }
        let ready = pin!(self.socket.ready(Interest::READABLE));
        if ready.poll(&mut Context::from_waker(Waker::noop())).is_ready() {
            self.is_starved.set(false);
            self.starved_at.set(Instant::now());
        }
    }

    /// The earliest time at which the client may have written the last byte of a request, by the number of the
    /// request on this connection, from 1; `None` if it has not been read.
    pub fn earliest_completion(&self, request: u64) -> Option<Instant> {
        let mut completions = self.completions.borrow_mut();
        completions.forget_before(request);
        completions.times.front().copied().filter(|_| completions.forgotten + 1 == request)
    }

    /// Forgets when the requests before this one were completed.
    pub fn forget_completions_before(&self, request: u64) {
        self.completions.borrow_mut().forget_before(request);
    }

    /// Whether writing has been blocked for `stall_timeout` without progress, because the peer does not read.
    pub fn is_write_stalled(&self, stall_timeout: Duration) -> bool {
        self.write_blocked.get() && self.last_write_progress.get().elapsed() >= stall_timeout
    }

    /// Whether writing is blocked until the peer reads.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Calls `callback` once hyper has written all that it has buffered. If the connection ends before,
    /// `callback` is dropped with this stream.
    pub fn call_when_written(&self, callback: impl FnOnce() + 'static) {
        self.on_written.borrow_mut().push(Box::new(callback));
    }

    /// Polls a body for the next piece that hyper writes to this stream, unless hyper's write buffer still has
    /// as much as a piece. Otherwise hyper would take more before it writes, and keep a buffer of that size.
    pub fn poll_piece<E>(
        &self,
        cx: &mut Context<'_>,
        poll_frame: impl FnOnce(&mut Context<'_>) -> Poll<Option<std::result::Result<Frame<Bytes>, E>>>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, E>>> {
        if self.unwritten_bytes.get() >= MAX_PIECE_BYTES {
            self.written_waker.set(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        let polled = poll_frame(cx);
        if let Poll::Ready(Some(Ok(frame))) = &polled {
            let bytes = frame.data_ref().map_or(0, Bytes::len);
            self.unwritten_bytes.set(self.unwritten_bytes.get() + bytes);
        }
        polled
    }

    /// Called when hyper's write buffer is empty.
    fn on_all_written(&self) {
        self.unwritten_bytes.set(0);
        if let Some(waker) = self.written_waker.take() {
            waker.wake();
        }
        let callbacks = self.on_written.take();
        callbacks.into_iter().for_each(|callback| callback());
    }

    /// Starts tracking a request that is about to be written. `sent_counter` is incremented when its last
    /// byte is written.
    pub fn begin_request(&self, body: RequestBodyLength, sent_counter: Counter) {
        *self.request_progress.borrow_mut() = WriteProgress::new(body, sent_counter);
    }

    /// Whether any byte of the request has been written.
    pub fn has_sent_request_bytes(&self) -> bool {
        self.request_progress.borrow().has_started()
    }

    /// Whether the last byte of the request has been written.
    pub fn is_request_sent(&self) -> bool {
        self.request_progress.borrow().is_complete()
    }

    /// Number of unread bytes in the socket, at most 1; 0 means that the peer has closed the connection.
    fn peek(&self) -> Result<usize> {
        SockRef::from(&self.socket).peek(&mut [MaybeUninit::uninit()])
    }

    /// Whether the peer has closed the connection, or its sending side, even if data that it sent before is
    /// still unread. Reads don't show that until they have come to the end of the data.
    pub fn has_peer_closed(&self) -> bool {
        let ready = pin!(self.socket.ready(Interest::READABLE));
        // The runtime knows the readiness without a system call, and keeps a close for good.
        match ready.poll(&mut Context::from_waker(Waker::noop())) {
            Poll::Ready(Ok(ready)) => ready.is_read_closed(),
            Poll::Ready(Err(_)) => true,
            Poll::Pending => false,
        }
    }

    /// Whether the peer has sent data that is still unread.
    pub fn has_unread(&self) -> bool {
        matches!(self.peek(), Ok(1..))
    }

    /// Records that a message has begun to arrive, before any of it is read.
    pub fn mark_message_started(&self) {
        let now = Instant::now();
        self.last_read.set(now);
        self.message_started_at.set(self.message_started_at.get().or(Some(now)));
    }

    /// Whether the peer keeps the connection open and no data is unread. This reads the state of the socket,
    /// because the readiness known to the runtime may be outdated.
    pub fn is_idle_and_open(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// Implements hyper's I/O traits for a [`TrackedStream`]. Without vectored writes, hyper puts the head and
/// the body of a message into one write.
pub struct HyperStream(pub Rc<TrackedStream>);

impl Read for HyperStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>) -> Poll<Result<()>> {
        let mut buffer = [0; READ_BUFFER_BYTES];
        let capacity = buf.remaining().min(READ_BUFFER_BYTES);
        let polled = poll_read(&self.0.socket, cx, &mut buffer[..capacity]);
        if polled.is_pending() {
            self.0.on_starved();
        }
        let read = &buffer[..ready!(polled)?];
        self.0.on_read(read);
        buf.put_slice(read);
        Poll::Ready(Ok(()))
    }
}

impl Write for HyperStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        let polled = poll_write(&self.0.socket, cx, buf);
        match &polled {
            Poll::Ready(Ok(written)) => {
                self.0.request_progress.borrow_mut().record(&buf[..*written]);
                self.0.write_blocked.set(*written < buf.len());
                self.0.last_write_progress.set(Instant::now());
            }
            Poll::Pending if !self.0.write_blocked.replace(true) => {
                self.0.last_write_progress.set(Instant::now());
            }
            _ => {}
        }
        polled
    }

    /// hyper calls this only when its write buffer is empty.
    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        self.0.on_all_written();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(SockRef::from(&self.0.socket).shutdown(Shutdown::Write))
    }
}
