//! Bounds the time at which a client wrote the last byte of a streamed request.
//!
//! A client waits for its response from its last byte on. While the backend reads slowly, that byte may be in a
//! buffer of the operating systems long before the proxy can read it. What is known is that the client was not
//! done when its socket was found empty, nor when more of the body was missing than these buffers hold.

use std::collections::VecDeque;
use std::time::Instant;

/// Number of marks in one length of the buffers.
const MARKS_PER_TRANSIT: u64 = 8;

/// The progress of reading a request body, as far as it bounds the time of the last byte.
pub struct UploadProgress {
    /// The most bytes that a client may have written and the proxy not read.
    max_in_transit: u64,
    /// Length of the body; `None` if it is chunked.
    length: Option<u64>,
    bytes_read: u64,
    /// The latest time at which the body was certainly incomplete, by the number of bytes missing then.
    incomplete_at: Instant,
    /// For a chunked body: how many bytes had been read at which time, over the last `max_in_transit` bytes.
    marks: VecDeque<Mark>,
}

/// The number of bytes that had been read at a time.
struct Mark {
    bytes_read: u64,
    at: Instant,
}

impl UploadProgress {
    /// The progress of a body of which nothing has been read. The client was not done at `started_at`.
    pub fn new(length: Option<u64>, max_in_transit: u64, started_at: Instant) -> UploadProgress {
        let marks = VecDeque::from([Mark { bytes_read: 0, at: started_at }]);
        UploadProgress { max_in_transit, length, bytes_read: 0, incomplete_at: started_at, marks }
    }

    /// Number of bytes of the body that have been read.
    pub fn bytes_read(&self) -> u64 {
        self.bytes_read
    }

    /// Records that `bytes` more have been read.
    pub fn record(&mut self, bytes: u64, now: Instant) {
        self.bytes_read += bytes;
        match self.length {
            Some(_) if self.is_certainly_incomplete() => self.incomplete_at = now,
            Some(_) => {}
            None => self.move_marks(now),
        }
    }

    /// Whether more is missing than the client may have written.
    fn is_certainly_incomplete(&self) -> bool {
        self.length.is_some_and(|length| length.saturating_sub(self.bytes_read) > self.max_in_transit)
    }

    /// When so much less had been read that more was missing than the client may have written, it was not done.
    fn move_marks(&mut self, now: Instant) {
        let is_due =
            |last: &Mark| self.bytes_read - last.bytes_read >= self.max_in_transit / MARKS_PER_TRANSIT;
        if self.marks.back().is_none_or(is_due) {
            self.marks.push_back(Mark { bytes_read: self.bytes_read, at: now });
        }
        while let Some(first) = self.marks.front() {
            if first.bytes_read + self.max_in_transit >= self.bytes_read {
                break;
            }
            self.incomplete_at = first.at;
            self.marks.pop_front();
        }
    }

    /// The earliest time at which the client may have written the last byte; `None` if it certainly has not
    /// yet. `starved_at` is when its socket was last found empty before the end of the body.
    pub fn earliest_end(&self, starved_at: Instant) -> Option<Instant> {
        (!self.is_certainly_incomplete()).then(|| self.incomplete_at.max(starved_at))
    }
}
