//! The thin wrapper between hyper and a TCP stream. It stamps the last read, from which deadlines run, and
//! follows a request on its way out, so that it is known whether the last byte of it was written.

use crate::framing::Framing;
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

const HEAD_END: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";
const CHUNK: usize = 8 * 1024;

/// How much of one request has been written.
#[derive(Default)]
struct Written {
    bytes: usize,
    matched: usize,
    body_left: usize,
    /// For a body in chunks: whether all of it was handed over, and the last bytes written.
    chunks: Option<Rc<Cell<bool>>>,
    tail: [u8; LAST_CHUNK.len()],
    /// Raised once all is written.
    sends: Option<Counter>,
}

impl Written {
    fn is_whole(&self) -> bool {
        let chunks = self.chunks.as_ref().is_none_or(|ended| ended.get() && self.tail == *LAST_CHUNK);
        self.matched == HEAD_END.len() && self.body_left == 0 && chunks
    }

    fn add(&mut self, bytes: &[u8]) {
        self.follow(bytes);
        if self.chunks.is_some() {
            for byte in &bytes[bytes.len().saturating_sub(self.tail.len())..] {
                self.tail.rotate_left(1);
                self.tail[LAST_CHUNK.len() - 1] = *byte;
            }
        }
        if self.is_whole() {
            if let Some(sends) = self.sends.take() {
                sends.set(sends.get() + 1);
            }
        }
    }

    fn follow(&mut self, bytes: &[u8]) {
        self.bytes += bytes.len();
        for (at, byte) in bytes.iter().enumerate() {
            if self.matched == HEAD_END.len() {
                self.body_left = self.body_left.saturating_sub(bytes.len() - at);
                return;
            }
            self.matched = match (*byte == HEAD_END[self.matched], *byte) {
                (true, _) => self.matched + 1,
                (false, b'\r') => 1,
                (false, _) => 0,
            };
        }
    }
}

/// How long the body of a request is.
pub enum Length {
    /// So many bytes.
    Known(usize),
    /// It comes in chunks; all are handed over once this is true.
    Chunks(Rc<Cell<bool>>),
}

/// A TCP stream with what is known of its traffic.
pub struct Wire {
    stream: RefCell<TcpStream>,
    last_read: Cell<Instant>,
    begun: Cell<Option<Instant>>,
    had_message: Cell<bool>,
    stuck: Cell<bool>,
    moved: Cell<Instant>,
    /// Since when, and how far, the peer is on its way to the next step of its message.
    step: Cell<(Instant, usize)>,
    written: RefCell<Written>,
    framing: Option<RefCell<Framing>>,
    request_step: usize,
}

impl Wire {
    /// Takes a stream over; small messages must not wait for the peer's acknowledgement.
    pub fn new(stream: TcpStream, tuning: &Tuning) -> Rc<Wire> {
        Wire::with(stream, tuning, None)
    }

    /// The same for a caller's stream, whose requests are followed.
    pub fn for_caller(stream: TcpStream, tuning: &Tuning) -> Rc<Wire> {
        Wire::with(stream, tuning, Some(RefCell::default()))
    }

    fn with(stream: TcpStream, tuning: &Tuning, framing: Option<RefCell<Framing>>) -> Rc<Wire> {
        // Fails only on a stream that is already dead, which the first read tells.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let buffer = tuning.socket_buffer;
        let _ = socket.set_send_buffer_size(buffer).and(socket.set_recv_buffer_size(buffer));
        let now = Instant::now();
        Rc::new(Wire {
            stream: RefCell::new(stream),
            last_read: Cell::new(now),
            begun: Cell::new(None),
            had_message: Cell::new(false),
            stuck: Cell::new(false),
            moved: Cell::new(now),
            step: Cell::new((now, 0)),
            written: RefCell::default(),
            framing,
            request_step: tuning.request_bytes_per_timeout,
        })
    }

    /// Waits until there is something to read, or the peer has closed.
    pub async fn readable(&self) {
        // An error is told by the next read as well.
        let _ = poll_fn(|cx| self.stream.borrow().poll_read_ready(cx)).await;
    }

    /// Whether the peer stands between two messages: nothing of the next one was read.
    pub fn is_between(&self) -> bool {
        self.framing.as_ref().is_none_or(|framing| framing.borrow().is_between())
    }

    /// When the last bytes were read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// When the first bytes of the message that is being read came; `None` between two messages.
    pub fn begun(&self) -> Option<Instant> {
        self.begun.get()
    }

    /// The message that was being read is done with.
    pub fn message_over(&self) {
        self.begun.set(None);
        self.had_message.set(true);
    }

    /// Whether a head that was read tells two lengths, or what came can't be followed.
    pub fn is_ambiguous(&self) -> bool {
        self.framing.as_ref().is_some_and(|framing| framing.borrow().is_ambiguous())
    }

    /// From now on the peer is expected to go on with its message.
    pub fn expect_more(&self) {
        self.step.set((Instant::now(), 0));
    }

    /// For how long the peer has been on the present step of its message.
    pub fn step_time(&self) -> Duration {
        self.step.get().0.elapsed()
    }

    fn has_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.last_read.set(now);
        if self.begun.get().is_none() {
            self.begun.set(Some(now));
            // The first message is awaited from the start: a peer may not rest before it.
            if self.had_message.get() {
                self.step.set((now, 0));
            }
        }
        let (from, read) = self.step.get();
        let read = read + bytes.len();
        self.step.set(if read >= self.request_step { (now, 0) } else { (from, read) });
        if let Some(framing) = &self.framing {
            framing.borrow_mut().add(bytes);
        }
    }

    /// Whether what is to be written has waited for the peer to read for too long.
    pub fn is_stalled(&self, stall: Duration) -> bool {
        self.stuck.get() && self.moved.get().elapsed() >= stall
    }

    /// Whether what is to be written waits for the peer to read.
    pub fn is_stuck(&self) -> bool {
        self.stuck.get()
    }

    /// A request is about to be written; `sends` is raised once all of it is.
    pub fn begin_request(&self, body: Length, sends: Counter) {
        let (body_left, chunks) = match body {
            Length::Known(bytes) => (bytes, None),
            Length::Chunks(ended) => (0, Some(ended)),
        };
        *self.written.borrow_mut() = Written { body_left, chunks, sends: Some(sends), ..Written::default() };
    }

    /// Whether any byte of the request was written.
    pub fn request_begun(&self) -> bool {
        self.written.borrow().bytes > 0
    }

    /// Whether the last byte of the request was written.
    pub fn request_whole(&self) -> bool {
        self.written.borrow().is_whole()
    }

    /// How many bytes there are to read, 1 at most: 0 says that the peer has closed.
    fn peek(&self) -> Result<usize> {
        SockRef::from(&*self.stream.borrow()).peek(&mut [MaybeUninit::uninit()])
    }

    /// Whether the peer has sent something that is still unread.
    pub fn has_unread(&self) -> bool {
        matches!(self.peek(), Ok(1..))
    }

    /// A message of the peer's was seen to begin, though nothing of it was read yet.
    pub fn begins(&self) {
        let now = Instant::now();
        self.last_read.set(now);
        self.begun.set(self.begun.get().or(Some(now)));
    }

    /// Whether the peer holds the connection open and has sent nothing that is still unread. Asks the
    /// socket itself: the runtime's own view may be one turn old.
    pub fn is_quiet(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A [`Wire`] as hyper reads and writes it. It offers no vectored writes, so hyper puts the head and the
/// body of a message into one write.
pub struct Io(pub Rc<Wire>);

impl Read for Io {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>) -> Poll<Result<()>> {
        let mut chunk = [MaybeUninit::uninit(); CHUNK];
        let room = buf.remaining().min(CHUNK);
        let mut read = ReadBuf::uninit(&mut chunk[..room]);
        // A read that does not fill the buffer tells the runtime that there is no more, which saves the call that
        // would only say so.
        ready!(Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, &mut read))?;
        self.0.has_read(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for Io {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        loop {
            let written = {
                let stream = self.0.stream.borrow();
                ready!(stream.poll_write_ready(cx))?;
                stream.try_write(buf)
            };
            match written {
                Ok(n) => {
                    self.0.written.borrow_mut().add(&buf[..n]);
                    self.0.stuck.set(n < buf.len());
                    self.0.moved.set(Instant::now());
                    return Poll::Ready(Ok(n));
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    if !self.0.stuck.replace(true) {
                        self.0.moved.set(Instant::now());
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
        Poll::Ready(SockRef::from(&*self.0.stream.borrow()).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_whole_only_with_its_last_body_byte() {
        let sends = Counter::default();
        let mut written = Written { body_left: 3, sends: Some(sends.clone()), ..Written::default() };
        for part in [&b"POST / HTTP/1.1\r\nA: b\r"[..], b"\n\r", b"\nab"] {
            written.add(part);
            assert!(!written.is_whole() && sends.get() == 0);
        }
        written.add(b"c");
        assert!(written.is_whole() && sends.get() == 1);
    }
}
