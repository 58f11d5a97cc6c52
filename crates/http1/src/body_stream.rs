//! Streamed bodies of requests and responses, which are too long to buffer. The writing side pulls them, so that
//! data is read only when it can be passed on (back-pressure).

use crate::body_buffer::MAX_PIECE_BYTES;
use bytes::Bytes;
use hyper::body::{Body, Incoming, SizeHint};
use std::collections::VecDeque;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{ready, Context, Poll};

/// A request or response body that is streamed: the part that has been read, and the source of the rest.
pub struct BodyStream {
    /// Read and not returned, in the order of arrival.
    buffered: VecDeque<Bytes>,
    body: Incoming,
    /// Number of bytes that the rest of the body may have.
    remaining_bytes: usize,
}

impl BodyStream {
    /// A body of at most `max_bytes` in total, whose first part has been read.
    pub fn new(first_part: Bytes, body: Incoming, max_bytes: usize) -> BodyStream {
        let buffered = Some(first_part).filter(|part| !part.is_empty()).into_iter().collect();
        BodyStream { buffered, body, remaining_bytes: max_bytes }
    }

    /// The next piece of data. Trailers are dropped.
    ///
    /// # Errors
    /// The body ended early, or is longer than `max_bytes`.
    pub fn poll_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        let piece = match self.next_buffered() {
            Some(piece) => piece,
            None => match ready!(self.poll_unread_data(cx)) {
                Some(Ok(piece)) => piece,
                end_or_error => return Poll::Ready(end_or_error),
            },
        };
        Poll::Ready(Some(match self.remaining_bytes.checked_sub(piece.len()) {
            Some(remaining) => {
                self.remaining_bytes = remaining;
                Ok(piece)
            }
            None => {
                Err(Error::new(ErrorKind::InvalidData, "the body is longer than the maximum message size"))
            }
        }))
    }

    /// Takes the next piece of the part that has been read.
    fn next_buffered(&mut self) -> Option<Bytes> {
        let next = self.buffered.front_mut()?;
        if next.len() > MAX_PIECE_BYTES {
            return Some(next.split_to(MAX_PIECE_BYTES));
        }
        self.buffered.pop_front()
    }

    /// The next piece of data that has not been read yet.
    fn poll_unread_data(&mut self, cx: &mut Context<'_>) -> Poll<Option<Result<Bytes, Error>>> {
        loop {
            match ready!(Pin::new(&mut self.body).poll_frame(cx)) {
                None => return Poll::Ready(None),
                Some(Err(error)) => return Poll::Ready(Some(Err(Error::other(error)))),
                Some(Ok(frame)) => {
                    if let Ok(piece) = frame.into_data() {
                        return Poll::Ready(Some(Ok(piece)));
                    }
                }
            }
        }
    }

    /// Puts back pieces that were returned last, in the same order, so that they are returned again.
    pub(crate) fn put_back(&mut self, pieces: Vec<Bytes>) {
        for piece in pieces.into_iter().rev() {
            self.remaining_bytes += piece.len();
            self.buffered.push_front(piece);
        }
    }

    /// Whether all data has been returned.
    pub fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.body.is_end_stream()
    }

    /// Whether data that has been read is still to be returned.
    pub fn has_buffered(&self) -> bool {
        !self.buffered.is_empty()
    }

    /// Number of bytes that have been read and not returned.
    pub(crate) fn buffered_bytes(&self) -> usize {
        self.buffered.iter().map(Bytes::len).sum()
    }

    /// Number of bytes still to be returned.
    pub fn size_hint(&self) -> SizeHint {
        match self.body.size_hint().exact() {
            Some(body) => SizeHint::with_exact(self.buffered_bytes() as u64 + body),
            None => SizeHint::default(),
        }
    }
}

/// Reads a body to its end and drops it. Otherwise the connection of a client that is still sending would be
/// reset, and the client would lose the response.
pub async fn discard(mut body: BodyStream) {
    while let Some(Ok(_)) = std::future::poll_fn(|cx| body.poll_data(cx)).await {}
}
