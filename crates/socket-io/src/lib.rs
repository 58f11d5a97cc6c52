//! Reads and writes of sockets that stay ready until a call would block.
//!
//! The `AsyncRead` and `AsyncWrite` of tokio's own sockets take a transfer that is shorter than the buffer as a
//! sign that the next one would block, and wait for the system to report the socket as ready again. It doesn't
//! report data that was there all the time, so after a short transfer with more data behind it they would wait
//! for ever. The functions here end a wait for readiness only with a call that would block, and repeat a call that
//! was interrupted.

use std::io::{ErrorKind, Result};
use std::pin::Pin;
use std::task::{ready, Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpStream, UnixStream};

/// A socket with non-blocking calls and the readiness known to the runtime.
pub trait Socket {
    /// Waits until the socket may be readable.
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<Result<()>>;

    /// Waits until the socket may be writable.
    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<Result<()>>;

    /// Reads once. If that would block, the socket counts as not readable until the system reports it.
    fn try_read(&self, buffer: &mut [u8]) -> Result<usize>;

    /// Writes once. If that would block, the socket counts as not writable until the system reports it.
    fn try_write(&self, bytes: &[u8]) -> Result<usize>;
}

macro_rules! impl_socket {
    ($socket:ty) => {
        impl Socket for $socket {
            fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<Result<()>> {
                <$socket>::poll_read_ready(self, cx)
            }

            fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<Result<()>> {
                <$socket>::poll_write_ready(self, cx)
            }

            fn try_read(&self, buffer: &mut [u8]) -> Result<usize> {
                <$socket>::try_read(self, buffer)
            }

            fn try_write(&self, bytes: &[u8]) -> Result<usize> {
                <$socket>::try_write(self, bytes)
            }
        }
    };
}

impl_socket!(TcpStream);
impl_socket!(UnixStream);

/// Whether a call has to be repeated, after a wait for readiness.
fn is_not_done(error: &std::io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted)
}

/// Reads once into `buffer`, as soon as there is something to read. 0 is the end of the stream.
pub fn poll_read(socket: &impl Socket, cx: &mut Context<'_>, buffer: &mut [u8]) -> Poll<Result<usize>> {
    loop {
        ready!(socket.poll_read_ready(cx))?;
        match socket.try_read(buffer) {
            Err(error) if is_not_done(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// Writes once from `bytes`, as soon as something can be written.
pub fn poll_write(socket: &impl Socket, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
    loop {
        ready!(socket.poll_write_ready(cx))?;
        match socket.try_write(bytes) {
            Err(error) if is_not_done(&error) => {}
            result => return Poll::Ready(result),
        }
    }
}

/// A stream over a socket by [`poll_read`] and [`poll_write`].
pub struct SocketStream<S>(pub S);

impl<S: Socket + Unpin> AsyncRead for SocketStream<S> {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<Result<()>> {
        let read = ready!(poll_read(&self.0, cx, buf.initialize_unfilled()))?;
        buf.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl<S: Socket + AsyncWrite + Unpin> AsyncWrite for SocketStream<S> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<Result<usize>> {
        poll_write(&self.0, cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(cx)
    }
}
