//! One connection to a backend, and the exchanges on it.

use crate::request_body::{AttemptBody, BodyStream};
use crate::stream::{HyperStream, TrackedStream};
use bytes::Bytes;
use hillstall_proxy_core::limits::{BufferedBody, Limits, Reservation};
use hillstall_proxy_core::tuning::Tuning;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::header::{self, HeaderMap};
use hyper::{Method, Request, StatusCode};
use std::collections::VecDeque;
use std::future::poll_fn;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::time::timeout_at;

/// A connection and its protocol in one piece: dropping it closes the socket at once, also with a request
/// out, so that no attempt outlives its giving up.
pub struct BackendConnection {
    sender: SendRequest<AttemptBody>,
    protocol: Pin<Box<Connection<HyperStream, AttemptBody>>>,
    closed: bool,
    wire: Rc<TrackedStream>,
    _counted: Reservation,
}

impl BackendConnection {
    /// Opens the protocol on a stream.
    pub async fn open(
        stream: TcpStream,
        counted: Reservation,
        tuning: &Tuning,
    ) -> Result<BackendConnection, hyper::Error> {
        let wire = TrackedStream::new(stream, tuning);
        let opened =
            Builder::new().max_buf_size(tuning.read_ahead).handshake(HyperStream(wire.clone())).await;
        let (sender, protocol) = opened?;
        Ok(BackendConnection { sender, protocol: Box::pin(protocol), closed: false, wire, _counted: counted })
    }

    /// What is known of its traffic.
    pub fn stream(&self) -> &TrackedStream {
        &self.wire
    }

    /// Lets the protocol go on.
    pub fn drive(&mut self, cx: &mut Context<'_>) {
        self.closed = self.closed || self.protocol.as_mut().poll(cx).is_ready();
    }

    /// Lets the protocol see the end of the last exchange; true if the connection can carry
    /// another, once it has rested and is seen to be quiet.
    pub fn is_settled(&mut self, cx: &mut Context<'_>) -> bool {
        self.drive(cx);
        !self.closed && self.sender.is_ready()
    }

    /// The same at once.
    pub async fn settle(&mut self) -> bool {
        poll_fn(|cx| Poll::Ready(self.is_settled(cx))).await
    }

    /// One request and its answer, or as much of it as is held. No answer, if it is not whole by its own word,
    /// or larger than there is room for; an answer without a body that can be served is complete with its head.
    pub async fn exchange(
        &mut self,
        request: Request<AttemptBody>,
        limits: &Limits,
    ) -> Result<ReceivedResponse, ()> {
        let bodiless = request.method() == Method::HEAD;
        let answer = async {
            let response = self.sender.send_request(request).await.map_err(drop)?;
            let (head, body) = response.into_parts();
            let read = async {
                let length =
                    if bodiless { BodyLength::Known(0) } else { body_length(&head.headers).ok_or(())? };
                read_response_body(body, length, limits).await
            };
            let body: Result<_, ()> = read.await;
            match body {
                Err(()) if head.status == StatusCode::OK => Err(()),
                body => Ok(ReceivedResponse { status: head.status, headers: head.headers, body: body.ok() }),
            }
        };
        tokio::pin!(answer);
        tokio::select! {
            biased;
            answer = &mut answer => return answer,
            // What the protocol has read before its end is still to be had.
            _ = &mut self.protocol, if !self.closed => self.closed = true,
        }
        answer.await
    }
}

/// What came back for one request.
pub struct ReceivedResponse {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body, if it could be had.
    pub body: Option<ReceivedBody>,
}

/// What was read of an answer's body.
pub enum ReceivedBody {
    /// All of it.
    Complete(BufferedBody),
    /// The first pieces of a long one.
    Partial(BodyStream, Reservation),
}

/// Reads a body, until it is whole or begins to pass. What tells no length may be long: after a short while
/// its first bytes matter more than a second try.
async fn read_response_body(
    mut body: Incoming,
    length: BodyLength,
    limits: &Limits,
) -> Result<ReceivedBody, ()> {
    let tuning = limits.tuning();
    let held_most = tuning.max_buffered_body;
    let (most, long) = match length {
        BodyLength::Known(bytes) if bytes > tuning.max_message as u64 => return Err(()),
        BodyLength::Known(bytes) => ((bytes as usize).min(held_most), bytes > held_most as u64),
        BodyLength::Unknown => (held_most, false),
    };
    let mut room = limits.buffered_bytes.reserve(most).ok_or(())?;
    let early = Instant::now()
        + if length == BodyLength::Unknown { tuning.unsized_response_hold } else { tuning.response_timeout };
    let (mut first, mut held) = (VecDeque::new(), 0);
    loop {
        let passes = long || (length == BodyLength::Unknown && Instant::now() >= early);
        if held > 0 && (passes || held > held_most) {
            return Ok(ReceivedBody::Partial(BodyStream::new(first, body, tuning.max_message), room));
        }
        let stalled = Instant::now() + tuning.response_timeout;
        let until = if length == BodyLength::Unknown && held > 0 { early } else { stalled };
        match timeout_at(until.into(), body.frame()).await {
            Ok(Some(Ok(frame))) => {
                if let Ok(piece) = frame.into_data() {
                    held += piece.len();
                    first.push_back(piece);
                }
            }
            Ok(Some(Err(_))) => return Err(()),
            Ok(None) => break,
            Err(_) if until < stalled => {}
            Err(_) => return Err(()),
        }
    }
    room.shrink_to(held);
    Ok(ReceivedBody::Complete(BufferedBody::new(concatenate(first), room)))
}

/// The pieces of a body in one.
pub fn concatenate(mut pieces: VecDeque<Bytes>) -> Bytes {
    match (pieces.len(), pieces.pop_front()) {
        (1, Some(only)) => only,
        (_, first) => first.into_iter().chain(pieces).collect::<Vec<_>>().concat().into(),
    }
}

/// How long a body is by its head.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyLength {
    /// So many bytes.
    Known(u64),
    /// Chunks, or the connection's end, will tell.
    Unknown,
}

/// How long an answer's body is by its head; `None` if it says so twice, or in a way that nobody knows.
fn body_length(headers: &HeaderMap) -> Option<BodyLength> {
    let once = |name| {
        let mut values = headers.get_all(name).iter();
        let value = values.next();
        (value.and_then(|v| v.to_str().ok()), value.is_none(), values.next().is_some())
    };
    match (once(header::CONTENT_LENGTH), once(header::TRANSFER_ENCODING)) {
        ((Some(length), _, false), (_, true, _)) => length.parse().ok().map(BodyLength::Known),
        ((_, true, _), (Some(how), _, false)) if how.eq_ignore_ascii_case("chunked") => {
            Some(BodyLength::Unknown)
        }
        ((_, true, _), (_, true, _)) => Some(BodyLength::Unknown),
        _ => None,
    }
}
