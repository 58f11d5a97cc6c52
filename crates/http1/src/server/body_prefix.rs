//! The buffered first part of a request body: the complete body, or the part that is read before streaming
//! starts.

use super::client_connection::ClientConnection;
use super::request_error::RequestError;
use crate::body_buffer::BodyBuffer;
use crate::body_stream::BodyStream;
use crate::message::ClientRequestBody;
use crate::request_body::StreamingRequestBody;
use hillstall_proxy_core::limits::{BufferedBody, Reservation};
use hillstall_proxy_core::tuning::Tuning;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::Method;
use std::time::Duration;

/// The part of a request body that has been read, and the source of the remainder if there is one.
pub(super) struct BodyPrefix {
    buffer: BodyBuffer,
    remainder: Option<Incoming>,
}

impl BodyPrefix {
    /// Reads a body to its end, or until more than `max_buffered` bytes have been received.
    pub(super) async fn read(mut body: Incoming, max_buffered: usize) -> Result<BodyPrefix, RequestError> {
        let mut buffer = BodyBuffer::new(max_buffered);
        while buffer.len() <= max_buffered {
            let Some(frame) = body.frame().await else {
                return Ok(BodyPrefix { buffer, remainder: None });
            };
            let frame = frame.map_err(|_| RequestError::TruncatedBody)?;
            if let Ok(piece) = frame.into_data() {
                buffer.push(&piece);
            }
        }
        Ok(BodyPrefix { buffer, remainder: Some(body) })
    }

    /// Checks what depends on the body: the framing of its chunks, and that only a POST has one.
    pub(super) fn check(&self, connection: &ClientConnection, method: &Method) -> Result<(), RequestError> {
        if connection.stream.has_ambiguous_framing() {
            return Err(RequestError::InvalidChunks);
        }
        let is_empty = self.buffer.is_empty() && self.remainder.is_none();
        if *method != Method::POST && !is_empty {
            return Err(RequestError::UnexpectedBody);
        }
        Ok(())
    }

    /// The body to forward: buffered if it was read to its end, streamed otherwise.
    pub(super) fn into_request_body(
        self,
        connection: &ClientConnection,
        timeout: Duration,
        mut reservation: Reservation,
        tuning: &Tuning,
    ) -> ClientRequestBody {
        let Some(remainder) = self.remainder else {
            let bytes = self.buffer.into_bytes();
            reservation.shrink_to(bytes.len());
            return ClientRequestBody::Buffered(BufferedBody::new(bytes, reservation));
        };
        let stream = BodyStream::new(self.buffer.into_bytes(), remainder, tuning.max_message_bytes);
        let client_stream = connection.stream.clone();
        ClientRequestBody::Streaming(StreamingRequestBody::new(
            client_stream,
            timeout,
            tuning.max_bytes_in_transit(),
            stream,
            reservation,
        ))
    }
}
