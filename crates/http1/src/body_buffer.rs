//! The buffer in which the pieces of a body are collected.

use bytes::Bytes;

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
