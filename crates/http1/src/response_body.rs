//! A streamed response body. The client connection pulls it, and thereby drives the backend connection that
//! it arrives on.

use crate::backend_connection::BackendConnection;
use crate::body_stream::BodyStream;
use bytes::Bytes;
use hillstall_proxy_core::limits::Reservation;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Sleep};

/// Progress of a streamed response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferState {
    /// The response has not ended.
    InProgress,
    /// The response has been forwarded completely.
    Complete,
    /// The response is truncated. The client connection is aborted, so that the client notices.
    Failed,
}

/// A response body that is forwarded as it arrives, with the backend connection that it arrives on.
pub struct StreamingResponseBody {
    body: BodyStream,
    connection: Option<BackendConnection>,
    return_connection: Option<Box<dyn FnOnce(BackendConnection)>>,
    state: TransferState,
    stall_timer: Option<Pin<Box<Sleep>>>,
    stall_timeout: Duration,
    /// Covers the part of the body that was read before it was streamed.
    reservation: Option<Reservation>,
}

impl StreamingResponseBody {
    /// A body that arrives on `connection`. When it ends, `return_connection` gets the connection if it can
    /// be reused. The response fails if the backend sends nothing for `stall_timeout`.
    pub fn new(
        body: BodyStream,
        connection: BackendConnection,
        reservation: Option<Reservation>,
        stall_timeout: Duration,
        return_connection: impl FnOnce(BackendConnection) + 'static,
    ) -> StreamingResponseBody {
        StreamingResponseBody {
            body,
            connection: Some(connection),
            return_connection: Some(Box::new(return_connection)),
            state: TransferState::InProgress,
            stall_timer: None,
            stall_timeout,
            reservation,
        }
    }

    /// The progress of the response.
    pub fn state(&self) -> TransferState {
        self.state
    }

    /// Ready once the backend has sent nothing for `stall_timeout`.
    fn poll_stall_timer(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let timer = self.stall_timer.get_or_insert_with(|| Box::pin(sleep(self.stall_timeout)));
        timer.as_mut().poll(cx)
    }

    fn complete(&mut self, cx: &mut Context<'_>) {
        self.state = TransferState::Complete;
        if let (Some(mut connection), Some(return_connection)) =
            (self.connection.take(), self.return_connection.take())
        {
            if connection.check_reusable(cx) {
                return_connection(connection);
            }
        }
    }

    fn fail(&mut self, error: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.state = TransferState::Failed;
        self.connection = None;
        Poll::Ready(Some(Err(error)))
    }
}

impl Body for StreamingResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let this = &mut *self;
        if this.state != TransferState::InProgress {
            return Poll::Ready(None);
        }
        if let Some(connection) = &mut this.connection {
            connection.drive(cx);
        }
        match this.body.poll_data(cx) {
            Poll::Ready(Some(Ok(piece))) => {
                this.stall_timer = None;
                if !this.body.has_buffered() {
                    this.reservation = None;
                }
                if this.body.is_end_stream() {
                    this.complete(cx);
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Poll::Ready(Some(Err(error))) => this.fail(error),
            Poll::Ready(None) => {
                this.complete(cx);
                Poll::Ready(None)
            }
            Poll::Pending if this.poll_stall_timer(cx).is_pending() => Poll::Pending,
            Poll::Pending => this.fail(Error::new(
                ErrorKind::TimedOut,
                "the backend sent no data of the response within the stall timeout",
            )),
        }
    }

    fn is_end_stream(&self) -> bool {
        self.state == TransferState::Complete
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
