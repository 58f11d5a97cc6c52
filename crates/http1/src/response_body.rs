//! A backend's answer too long to be held, on its way back to the caller: pulled by the caller's side, with the
//! connection it comes on.

use crate::backend_connection::Conn;
use crate::request_body::Rest;
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
pub enum Passed {
    /// There is more.
    Partly,
    /// All of it.
    Whole,
    /// It broke; the caller must see that.
    Broken,
}

/// A backend's answer that is passed on as it comes, with the connection it comes on.
pub struct Download {
    rest: Rest,
    conn: Option<Conn>,
    keep: Option<Box<dyn FnOnce(Conn)>>,
    passed: Passed,
    stall: Option<Pin<Box<Sleep>>>,
    stall_most: Duration,
    _room: Reservation,
}

impl Download {
    /// An answer, and what becomes of its connection if that can carry another.
    pub fn new(
        rest: Rest,
        conn: Conn,
        room: Reservation,
        stall_most: Duration,
        keep: impl FnOnce(Conn) + 'static,
    ) -> Download {
        let (conn, keep) = (Some(conn), Some(Box::new(keep) as Box<dyn FnOnce(Conn)>));
        Download { rest, conn, keep, passed: Passed::Partly, stall: None, stall_most, _room: room }
    }

    /// How far it has come.
    pub fn passed(&self) -> Passed {
        self.passed
    }

    fn finish(&mut self, cx: &mut Context<'_>) {
        self.passed = Passed::Whole;
        if let (Some(mut conn), Some(keep)) = (self.conn.take(), self.keep.take()) {
            if conn.is_settled(cx) {
                keep(conn);
            }
        }
    }

    fn broken(&mut self, why: Error) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        self.passed = Passed::Broken;
        self.conn = None;
        Poll::Ready(Some(Err(why)))
    }
}

impl Body for Download {
    type Data = Bytes;
    type Error = Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Error>>> {
        let me = &mut *self;
        if me.passed != Passed::Partly {
            return Poll::Ready(None);
        }
        if let Some(conn) = &mut me.conn {
            conn.drive(cx);
        }
        match me.rest.poll_data(cx) {
            Poll::Ready(Some(Ok(piece))) => {
                me.stall = None;
                if me.rest.is_end_stream() {
                    me.finish(cx);
                }
                Poll::Ready(Some(Ok(Frame::data(piece))))
            }
            Poll::Ready(Some(Err(why))) => me.broken(why),
            Poll::Ready(None) => {
                me.finish(cx);
                Poll::Ready(None)
            }
            Poll::Pending => {
                let stall = me.stall.get_or_insert_with(|| Box::pin(sleep(me.stall_most)));
                match stall.as_mut().poll(cx) {
                    Poll::Pending => Poll::Pending,
                    Poll::Ready(()) => {
                        me.broken(Error::new(ErrorKind::TimedOut, "the backend has fallen silent"))
                    }
                }
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.passed == Passed::Whole
    }

    fn size_hint(&self) -> SizeHint {
        self.rest.size_hint()
    }
}
