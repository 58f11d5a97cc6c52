//! The thin wrapper between hyper and a TCP stream. It stamps the last read, from which deadlines run, and
//! follows a request on its way out, so that it is known whether the last byte of it was written.

use crate::framing::RequestFraming;
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
const READ_BUFFER_BYTES: usize = 8 * 1024;

/// How much of one request has been written.
#[derive(Default)]
struct RequestWriteProgress {
    bytes_written: usize,
    head_end_matched: usize,
    remaining_body: usize,
    /// For a body in chunks: whether all of it was handed over, and the last bytes written.
    chunked_body_ended: Option<Rc<Cell<bool>>>,
    last_bytes: [u8; LAST_CHUNK.len()],
    /// Raised once all is written.
    sent_counter: Option<Counter>,
}

impl RequestWriteProgress {
    fn is_complete(&self) -> bool {
        let chunks = self
            .chunked_body_ended
            .as_ref()
            .is_none_or(|ended| ended.get() && self.last_bytes == *LAST_CHUNK);
        self.head_end_matched == HEAD_END.len() && self.remaining_body == 0 && chunks
    }

    fn record(&mut self, bytes: &[u8]) {
        self.track_head_and_body(bytes);
        if self.chunked_body_ended.is_some() {
            for byte in &bytes[bytes.len().saturating_sub(self.last_bytes.len())..] {
                self.last_bytes.rotate_left(1);
                self.last_bytes[LAST_CHUNK.len() - 1] = *byte;
            }
        }
        if self.is_complete() {
            if let Some(sends) = self.sent_counter.take() {
                sends.set(sends.get() + 1);
            }
        }
    }

    fn track_head_and_body(&mut self, bytes: &[u8]) {
        self.bytes_written += bytes.len();
        for (at, byte) in bytes.iter().enumerate() {
            if self.head_end_matched == HEAD_END.len() {
                self.remaining_body = self.remaining_body.saturating_sub(bytes.len() - at);
                return;
            }
            self.head_end_matched = match (*byte == HEAD_END[self.head_end_matched], *byte) {
                (true, _) => self.head_end_matched + 1,
                (false, b'\r') => 1,
                (false, _) => 0,
            };
        }
    }
}

/// How long the body of a request is.
pub enum RequestBodyLength {
    /// So many bytes.
    Known(usize),
    /// It comes in chunks; all are handed over once this is true.
    Chunked(Rc<Cell<bool>>),
}

/// A TCP stream with what is known of its traffic.
pub struct TrackedStream {
    stream: RefCell<TcpStream>,
    last_read: Cell<Instant>,
    message_started_at: Cell<Option<Instant>>,
    had_message: Cell<bool>,
    write_blocked: Cell<bool>,
    last_write_progress: Cell<Instant>,
    /// Since when, and how far, the peer is on its way to the next step of its message.
    read_step: Cell<(Instant, usize)>,
    request_progress: RefCell<RequestWriteProgress>,
    framing: Option<RefCell<RequestFraming>>,
    bytes_per_step: usize,
}

impl TrackedStream {
    /// Takes a stream over; small messages must not wait for the peer's acknowledgement.
    pub fn new(stream: TcpStream, tuning: &Tuning) -> Rc<TrackedStream> {
        TrackedStream::with_framing(stream, tuning, None)
    }

    /// The same for a caller's stream, whose requests are followed.
    pub fn for_client(stream: TcpStream, tuning: &Tuning) -> Rc<TrackedStream> {
        TrackedStream::with_framing(stream, tuning, Some(RefCell::default()))
    }

    fn with_framing(
        stream: TcpStream,
        tuning: &Tuning,
        framing: Option<RefCell<RequestFraming>>,
    ) -> Rc<TrackedStream> {
        // Fails only on a stream that is already dead, which the first read tells.
        let _ = stream.set_nodelay(true);
        let socket = SockRef::from(&stream);
        let buffer = tuning.socket_buffer;
        let _ = socket.set_send_buffer_size(buffer).and(socket.set_recv_buffer_size(buffer));
        let now = Instant::now();
        Rc::new(TrackedStream {
            stream: RefCell::new(stream),
            last_read: Cell::new(now),
            message_started_at: Cell::new(None),
            had_message: Cell::new(false),
            write_blocked: Cell::new(false),
            last_write_progress: Cell::new(now),
            read_step: Cell::new((now, 0)),
            request_progress: RefCell::default(),
            framing,
            bytes_per_step: tuning.request_bytes_per_timeout,
        })
    }

    /// Waits until there is something to read, or the peer has closed.
    pub async fn readable(&self) {
        // An error is told by the next read as well.
        let _ = poll_fn(|cx| self.stream.borrow().poll_read_ready(cx)).await;
    }

    /// Whether the peer stands between two messages: nothing of the next one was read.
    pub fn is_between_messages(&self) -> bool {
        self.framing.as_ref().is_none_or(|framing| framing.borrow().is_between_messages())
    }

    /// When the last bytes were read.
    pub fn last_read(&self) -> Instant {
        self.last_read.get()
    }

    /// When the first bytes of the message that is being read came; `None` between two messages.
    pub fn message_started_at(&self) -> Option<Instant> {
        self.message_started_at.get()
    }

    /// The message that was being read is done with.
    pub fn message_completed(&self) {
        self.message_started_at.set(None);
        self.had_message.set(true);
    }

    /// Whether a head that was read tells two lengths, or what came can't be followed.
    pub fn is_ambiguous(&self) -> bool {
        self.framing.as_ref().is_some_and(|framing| framing.borrow().is_ambiguous())
    }

    /// From now on the peer is expected to go on with its message.
    pub fn restart_read_step(&self) {
        self.read_step.set((Instant::now(), 0));
    }

    /// For how long the peer has been on the present step of its message.
    pub fn read_step_elapsed(&self) -> Duration {
        self.read_step.get().0.elapsed()
    }

    fn on_read(&self, bytes: &[u8]) {
        let now = Instant::now();
        self.last_read.set(now);
        if self.message_started_at.get().is_none() {
            self.message_started_at.set(Some(now));
            // The first message is awaited from the start: a peer may not rest before it.
            if self.had_message.get() {
                self.read_step.set((now, 0));
            }
        }
        let (from, read) = self.read_step.get();
        let read = read + bytes.len();
        self.read_step.set(if read >= self.bytes_per_step { (now, 0) } else { (from, read) });
        if let Some(framing) = &self.framing {
            framing.borrow_mut().advance(bytes);
        }
    }

    /// Whether what is to be written has waited for the peer to read for too long.
    pub fn is_write_stalled(&self, stall: Duration) -> bool {
        self.write_blocked.get() && self.last_write_progress.get().elapsed() >= stall
    }

    /// Whether what is to be written waits for the peer to read.
    pub fn is_write_blocked(&self) -> bool {
        self.write_blocked.get()
    }

    /// A request is about to be written; `sends` is raised once all of it is.
    pub fn begin_request(&self, body: RequestBodyLength, sent_counter: Counter) {
        let (body_left, chunks) = match body {
            RequestBodyLength::Known(bytes) => (bytes, None),
            RequestBodyLength::Chunked(ended) => (0, Some(ended)),
        };
        *self.request_progress.borrow_mut() = RequestWriteProgress {
            remaining_body: body_left,
            chunked_body_ended: chunks,
            sent_counter: Some(sent_counter),
            ..RequestWriteProgress::default()
        };
    }

    /// Whether any byte of the request was written.
    pub fn has_sent_request_bytes(&self) -> bool {
        self.request_progress.borrow().bytes_written > 0
    }

    /// Whether the last byte of the request was written.
    pub fn is_request_sent(&self) -> bool {
        self.request_progress.borrow().is_complete()
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
    pub fn mark_message_started(&self) {
        let now = Instant::now();
        self.last_read.set(now);
        self.message_started_at.set(self.message_started_at.get().or(Some(now)));
    }

    /// Whether the peer holds the connection open and has sent nothing that is still unread. Asks the
    /// socket itself: the runtime's own view may be one turn old.
    pub fn is_quiet(&self) -> bool {
        matches!(self.peek(), Err(e) if e.kind() == ErrorKind::WouldBlock)
    }
}

/// A [`Wire`] as hyper reads and writes it. It offers no vectored writes, so hyper puts the head and the
/// body of a message into one write.
pub struct HyperStream(pub Rc<TrackedStream>);

impl Read for HyperStream {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, mut buf: ReadBufCursor<'_>) -> Poll<Result<()>> {
        let mut chunk = [MaybeUninit::uninit(); READ_BUFFER_BYTES];
        let room = buf.remaining().min(READ_BUFFER_BYTES);
        let mut read = ReadBuf::uninit(&mut chunk[..room]);
        // A read that does not fill the buffer tells the runtime that there is no more, which saves the call that
        // would only say so.
        ready!(Pin::new(&mut *self.0.stream.borrow_mut()).poll_read(cx, &mut read))?;
        self.0.on_read(read.filled());
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl Write for HyperStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<Result<usize>> {
        loop {
            let written = {
                let stream = self.0.stream.borrow();
                ready!(stream.poll_write_ready(cx))?;
                stream.try_write(buf)
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
        Poll::Ready(SockRef::from(&*self.0.stream.borrow()).shutdown(Shutdown::Write))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_request_is_whole_only_with_its_last_body_byte() {
        let sends = Counter::default();
        let mut written = RequestWriteProgress {
            remaining_body: 3,
            sent_counter: Some(sends.clone()),
            ..RequestWriteProgress::default()
        };
        for part in [&b"POST / HTTP/1.1\r\nA: b\r"[..], b"\n\r", b"\nab"] {
            written.record(part);
            assert!(!written.is_complete() && sends.get() == 0);
        }
        written.record(b"c");
        assert!(written.is_complete() && sends.get() == 1);
    }
}
