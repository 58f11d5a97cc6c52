//! Buffered bodies: the buffer in which the pieces of a body are collected, and the form in which a body that
//! was buffered is sent.

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Maximum length of a piece of a buffered body when it is sent, in bytes. hyper copies each piece into the
/// write buffer of the connection, which keeps the size that it once had.
pub const MAX_PIECE_BYTES: usize = 8 * 1024;

/// A body, or the first part of one, in memory. Each piece is copied into one allocation: a piece that is kept
/// as it arrives keeps the whole read buffer that it arrived in, so that a body in small pieces would take many
/// times its length.
pub struct BodyBuffer {
    bytes: Vec<u8>,
    /// The expected maximum length, above which the allocation does not grow ahead.
    max_bytes: usize,
}

impl BodyBuffer {
    /// An empty buffer for a body of up to `max_bytes`. Nothing is allocated before the first piece.
    pub fn new(max_bytes: usize) -> BodyBuffer {
        BodyBuffer { bytes: Vec::new(), max_bytes }
    }

    /// Appends a piece. The allocation doubles until it holds `max_bytes`.
    pub fn push(&mut self, piece: &[u8]) {
        let needed = self.bytes.len() + piece.len();
        if needed > self.bytes.capacity() {
            let doubled = (self.bytes.capacity() * 2).min(self.max_bytes);
            self.bytes.reserve_exact(doubled.max(needed) - self.bytes.len());
        }
        self.bytes.extend_from_slice(piece);
    }

    /// Number of bytes in the buffer.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether nothing has been appended.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The collected bytes, in an allocation of their length.
    pub fn into_bytes(mut self) -> Bytes {
        self.bytes.shrink_to_fit();
        self.bytes.into()
    }
}

/// A complete body in memory, sent in pieces of at most [`MAX_PIECE_BYTES`].
#[derive(Clone, Default)]
pub struct BufferedPieces {
    unsent: Bytes,
}

impl BufferedPieces {
    /// A body of which nothing has been sent.
    pub fn new(bytes: Bytes) -> BufferedPieces {
        BufferedPieces { unsent: bytes }
    }
}

impl Body for BufferedPieces {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.unsent.is_empty() {
            return Poll::Ready(None);
        }
        let length = self.unsent.len().min(MAX_PIECE_BYTES);
        Poll::Ready(Some(Ok(Frame::data(self.unsent.split_to(length)))))
    }

    fn is_end_stream(&self) -> bool {
        self.unsent.is_empty()
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.unsent.len() as u64)
    }
}
