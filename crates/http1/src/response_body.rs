//! A backend's answer too long to be held, on its way back to the caller: pulled by the caller's side, with the
//! connection it comes on.

use crate::backend_connection::BackendConnection;
use crate::request_body::BodyStream;
use bytes::Bytes;
use hillstall_proxy_core::limits::Reservation;
use hyper::body::{Body, Frame, SizeHint};
use std::future::Future;
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{sleep, Sleep};

/// How far an answer that passes has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransferState {
    /// There is more.
    InProgress,
    /// All of it.
    Complete,
    /// It broke; the caller must see that.
    Failed,
}

/// A backend's answer that is passed on as it comes, with the connection it comes on.
pub struct StreamingResponseBody {
    body: BodyStream,
    connection: Option<BackendConnection>,
    return_connection: Option<Box<dyn FnOnce(BackendConnection)>>,
    state: TransferState,
    stall_timer: Option<Pin<Box<Sleep>>>,
    stall_timeout: Duration,
    _reservation: Reservation,
}

impl StreamingResponseBody {
    /// An answer, and what becomes of its connection if that can carry another.
    pub fn new(
        body: BodyStream,
        connection: BackendConnection,
        reservation: Reservation,
        stall_timeout: Duration,
        return_connection: impl FnOnce(BackendConnection) + 'static,
    ) -> StreamingResponseBody {
        let (connection, return_connection) =
            (Some(connection), Some(Box::new(return_connection) as Box<dyn FnOnce(BackendConnection)>));
        StreamingResponseBody {
            body,
            connection,
            return_connection,
            state: TransferState::InProgress,
            stall_timer: None,
            stall_timeout,
            _reservation: reservation,
        }
    }

    /// How far it has come.
    pub fn state(&self) -> TransferState {
        self.state
    }

    fn complete(&mut self, cx: &mut Context<'_>) {
        self.state = TransferState::Complete;
        if let (Some(mut conn), Some(keep)) = (self.connection.take(), self.return_connection.take()) {
            if conn.is_settled(cx) {
                keep(conn);
            }
        }
    }

    fn fail(&mut self, why: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.state = TransferState::Failed;
        self.connection = None;
        Poll::Ready(Some(Err(why)))
    }
}

impl Body for StreamingResponseBody {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let me = &mut *self;
        if me.state != TransferState::InProgress {
            return Poll::Ready(None);
        }
        if let Some(conn) = &mut me.connection {
            conn.drive(cx);
        }
        match me.body.poll_data(cx) {
            Poll::Ready(Some(Ok(piece))) => {
                me.stall_timer = None;
                if me.body.is_end_stream() {
                    me.complete(cx);
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Poll::Ready(Some(Err(why))) => me.fail(why),
            Poll::Ready(None) => {
                me.complete(cx);
                Poll::Ready(None)
            }
            Poll::Pending => {
                let stall = me.stall_timer.get_or_insert_with(|| Box::pin(sleep(me.stall_timeout)));
                match stall.as_mut().poll(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(()) => {
                        me.fail(Error::new(ErrorKind::TimedOut, "the backend has fallen silent"))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.state == TransferState::Complete
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
