//! A TCP stream between hyper and the socket. It records when bytes were read, from which deadlines run, and follows
//! requests as they are written, so that it is known whether the last byte of a request was sent.

use crate::framing::RequestFraming;
use crate::write_progress::WriteProgress;
use hillstall_proxy_core::metrics::Counter;
use hillstall_proxy_core::tuning::Tuning;
use hyper::rt::{Read, ReadBufCursor, Write};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{ErrorKind, Result};
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Size of the buffer for one read from the socket, in bytes.
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// The length of a request's body.
pub enum RequestBodyLength {
    /// This many bytes.
    Known(usize),
    /// It is sent in chunks; the flag becomes true once hyper has been given all of them.
    Chunked(Rc<Cell<bool>>),
}

/// A TCP stream and what is known of its traffic.
pub struct TrackedStream {
    socket: RefCell<TcpStream>,
    last_read: Cell<Instant>,
    message_started_at: Cell<Option<Instant>>,
    /// Whether a message of the peer has been completed.
    has_completed_message: Cell<bool>,
    /// Whether bytes wait for the peer to read.
    write_blocked: Cell<bool>,
    last_write_progress: Cell<Instant>,
    read_window: Cell<ReadWindow>,
    request_progress: RefCell<WriteProgress>,
    /// The framing of the peer's requests, where the peer is a client.
    framing: Option<RefCell<RequestFraming>>,
    /// How many bytes the peer has to send within the request timeout.
    min_bytes_per_window: usize,
}

/// A part of the peer's message that has to come within the request timeout.
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

impl TrackedStream {
    /// Wraps a socket, and turns Nagle's algorithm off: small messages must not wait for an acknowledgement.
    pub fn new(socket: TcpStream, tuning: &Tuning) -> Rc<TrackedStream> {
        TrackedStream::with_framing(socket, tuning, None)
    }

    /// The same for the socket of a client; the framing of its requests is followed.
    pub fn for_client(socket: TcpStream, tuning: &Tuning) -> Rc<TrackedStream> {
        TrackedStream::with_framing(socket, tuning, Some(RefCell::default()))
    }

    fn with_framing(
        socket: TcpStream,
        tuning: &Tuning,
        framing: Option<RefCell<RequestFraming>>,
    ) -> Rc<TrackedStream> {
        // This fails only on a connection that has ended, which the first read reports.
        let _ = socket.set_nodelay(true);
        let options = SockRef::from(&socket);
        let buffer_bytes = tuning.socket_buffer_bytes;
        let _ = options.set_send_buffer_size(buffer_bytes).and(options.set_recv_buffer_size(buffer_bytes));
        let now = Instant::now();
        Rc::new(TrackedStream {
            socket: RefCell::new(socket),
            last_read: Cell::new(now),
            message_started_at: Cell::new(None),
            has_completed_message: Cell::new(false),
            write_blocked: Cell::new(false),
            last_write_progress: Cell::new(now),
            read_window: Cell::new(ReadWindow::starting_at(now)),
            request_progress: RefCell::default(),
            framing,
            min_bytes_per_window: tuning.request_bytes_per_timeout,
        })
    }

    /// Waits until there is something to read, or the peer has closed.
    pub async fn readable(&self) {
        // The next read reports an error as well.
        let _ = poll_fn(|cx| self.socket.borrow().poll_read_ready(cx)).await;
    }

    /// Whether the peer is between two messages: nothing of the next one was read.
    pub fn is_between_messages(&self) -> bool {
        self.framing.as_ref().is_none_or(|framing| framing.borrow().is_between_messages())
    }

    /// How many requests of the peer have been read whole, where the peer is a client.
    pub fn received_requests(&self) -> u64 {
        self.framing.as_ref().map_or(0, |framing| framing.borrow().completed())
    }

    /// When the last bytes were read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// When the first bytes of the present message were read; `None` between two messages.
    pub fn message_started_at(&self) -> Option<Instant> {
        self.message_started_at.get()
    }

    /// Ends the present message.
    pub fn message_completed(&self) {
        self.message_started_at.set(None);
        self.has_completed_message.set(true);
    }

    /// Whether a head had two lengths, or the framing of what was read can't be followed.
    pub fn is_ambiguous(&self) -> bool {
        self.framing.as_ref().is_some_and(|framing| framing.borrow().is_ambiguous())
    }

    /// Starts a new read step: from now on the proxy waits for the peer to go on with its message.
    pub fn restart_read_window(&self) {
        self.read_window.set(ReadWindow::starting_at(Instant::now()));
    }

    /// The time since the present read step began. A step is a fixed number of bytes, or the rest of a message.
    pub fn read_window_elapsed(&self) -> Duration {
        self.read_window.get().started_at.elapsed()
    }

    fn on_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.last_read.set(now);
        if self.message_started_at.get().is_none() {
            self.message_started_at.set(Some(now));
            // The step of the first message began with the connection: a peer may not be idle before it.
            if self.has_completed_message.get() {
                self.read_window.set(ReadWindow::starting_at(now));
            }
        }
        let mut step = self.read_window.get();
        step.bytes_read += bytes.len();
        let is_complete = step.bytes_read >= self.min_bytes_per_window;
        self.read_window.set(if is_complete { ReadWindow::starting_at(now) } else { step });
        if let Some(framing) = &self.framing {
            framing.borrow_mut().advance(bytes);
        }
    }

    /// Whether bytes have waited for the peer to read for `stall_timeout`, without progress.
    pub fn is_write_stalled(&self, stall_timeout: Duration) -> bool {
        self.write_blocked.get() && self.last_write_progress.get().elapsed() >= stall_timeout
    }

    /// Whether bytes wait for the peer to read.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// Begins to follow a request that is about to be written; `sent_counter` is incremented once all of it is.
    pub fn begin_request(&self, body: RequestBodyLength, sent_counter: Counter) {
        *self.request_progress.borrow_mut() = WriteProgress::new(body, sent_counter);
    }

    /// Whether any byte of the request was written.
    pub fn has_sent_request_bytes(&self) -> bool {
        self.request_progress.borrow().has_started()
    }

    /// Whether the last byte of the request was written.
    pub fn is_request_sent(&self) -> bool {
        self.request_progress.borrow().is_complete()
    }

    /// How many bytes can be read, 1 at most; 0 means that the peer has closed the connection.
    fn peek(&self) -> Result<usize> {
        SockRef::from(&*self.socket.borrow()).peek(&mut [MaybeUninit::uninit()])
    }

    /// Whether the peer has sent something that is still unread.
    pub fn has_unread(&self) -> bool {
        matches!(self.peek(), Ok(1..))
    }

    /// Notes that a message has begun to arrive, before any of it is read.
    pub fn mark_message_started(&self) {
        let now = Instant::now();
        self.last_read.set(now);
        self.message_started_at.set(self.message_started_at.get().or(Some(now)));
    }

    /// Whether the peer keeps the connection open and has sent nothing that is still unread. This asks the socket:
    /// what the runtime knows may be one turn old.
    pub fn is_idle_and_open(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A [`TrackedStream`] as hyper reads and writes it. It offers no vectored writes, so hyper puts the head and the body
/// of a message into one write.
pub struct HyperStream(pub Rc<TrackedStream>);

impl Read for HyperStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>) -> Poll<Result<()>> {
        let mut buffer = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
        let capacity = buf.remaining().min(READ_BUFFER_BYTES);
        let mut read = ReadBuf::uninit(&mut buffer[..capacity]);
        // A read that does not fill the buffer tells the runtime that nothing more is there, which saves a system
        // call.
        ready!(Pin::new(&mut *self.0.socket.borrow_mut()).poll_read(cx, &mut read))?;
        self.0.on_read(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for HyperStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        loop {
            let written = {
                let socket = self.0.socket.borrow();
                ready!(socket.poll_write_ready(cx))?;
                socket.try_write(buf)
            };
            match written {
                Ok(n) => {
                    self.0.request_progress.borrow_mut().record(&buf[..n]);
                    self.0.write_blocked.set(n < buf.len());
                    self.0.last_write_progress.set(Instant::now());
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if !self.0.write_blocked.replace(true) {
                        self.0.last_write_progress.set(Instant::now());
                    }
                }
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Result<()>> {
        Poll::Ready(SockRef::from(&*self.0.socket.borrow()).shutdown(Shutdown::Write))
    }
}
