//! Tracks how much of a request has been written to a socket, from the written bytes.

use crate::stream::RequestBodyLength;
use hillstall_proxy_core::metrics::Counter;
use std::cell::Cell;
use std::rc::Rc;

const HEAD_END: &[u8] = b"\r\n\r\n";
const LAST_CHUNK: &[u8; 5] = b"0\r\n\r\n";

/// The progress of writing one request.
#[derive(Default)]
pub(crate) struct WriteProgress {
    bytes_written: usize,
    /// Number of bytes of [`HEAD_END`] that the last written bytes match.
    head_end_matched: usize,
    /// Number of bytes of a body of known length that have not been written.
    remaining_body: usize,
    /// For a chunked body: whether all of it has been passed to hyper.
    chunked_body_ended: Option<Rc<Cell<bool>>>,
    /// For a chunked body: the last bytes written.
    last_bytes: [u8; LAST_CHUNK.len()],
    /// Incremented when the request is complete; `None` after that.
    sent_counter: Option<Counter>,
}

impl WriteProgress {
    /// The progress of a request that is about to be written. `sent_counter` is incremented when its last
    /// byte is written.
    pub(crate) fn new(body: RequestBodyLength, sent_counter: Counter) -> WriteProgress {
        let (remaining_body, chunked_body_ended) = match body {
            RequestBodyLength::Known(bytes) => (bytes, None),
            RequestBodyLength::Chunked(ended) => (0, Some(ended)),
        };
        WriteProgress {
            remaining_body,
            chunked_body_ended,
            sent_counter: Some(sent_counter),
            ..WriteProgress::default()
        }
    }

    /// Whether any byte has been written.
    pub(crate) fn has_started(&self) -> bool {
        self.bytes_written > 0
    }

    /// Whether the last byte has been written.
    pub(crate) fn is_complete(&self) -> bool {
        let is_body_complete = match &self.chunked_body_ended {
            None => self.remaining_body == 0,
            Some(ended) => ended.get() && self.last_bytes == *LAST_CHUNK,
        };
        self.head_end_matched == HEAD_END.len() && is_body_complete
    }

    /// Records written bytes.
    pub(crate) fn record(&mut self, bytes: &[u8]) {
        self.track_head_and_body(bytes);
        if self.chunked_body_ended.is_some() {
            self.track_last_bytes(bytes);
        }
        if self.is_complete() {
            if let Some(sent_counter) = self.sent_counter.take() {
                sent_counter.set(sent_counter.get() + 1);
            }
        }
    }

    fn track_head_and_body(&mut self, bytes: &[u8]) {
        self.bytes_written += bytes.len();
        for (position, byte) in bytes.iter().enumerate() {
            if self.head_end_matched == HEAD_END.len() {
                self.remaining_body = self.remaining_body.saturating_sub(bytes.len() - position);
                return;
            }
            self.head_end_matched = match (*byte == HEAD_END[self.head_end_matched], *byte) {
                (true, _) => self.head_end_matched + 1,
                (false, b'\r') => 1,
                (false, _) => 0,
            };
        }
    }

    fn track_last_bytes(&mut self, bytes: &[u8]) {
        for byte in &bytes[bytes.len().saturating_sub(self.last_bytes.len())..] {
            self.last_bytes.rotate_left(1);
            self.last_bytes[LAST_CHUNK.len() - 1] = *byte;
        }
    }
}
