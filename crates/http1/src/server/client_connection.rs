//! The state of one client connection.

use super::open_ids::OpenRequestId;
use crate::request_body::StreamingRequestBody;
use crate::stream::TrackedStream;
use hillstall_proxy_core::limits::Reservation;
use hillstall_proxy_core::tuning::Tuning;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Whether and how a client connection is being closed.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CloseMode {
    /// The connection stays open.
    Open,
    /// The connection is closed after the response to the request in progress.
    Graceful,
    /// The connection is closed at once, provided that no request is in progress.
    Immediate,
}

/// A client connection with the state that timeouts, parking and load shedding depend on.
pub(super) struct ClientConnection {
    pub(super) stream: Rc<TrackedStream>,
    /// Whether a request has been accepted and has no response yet.
    pub(super) request_in_progress: Cell<bool>,
    /// Whether a valid request has been received on this connection.
    pub(super) has_sent_valid_request: Cell<bool>,
    /// Number of requests that hyper has passed to the server.
    pub(super) requests_dispatched: Cell<u64>,
    /// When the client connected, or the last request on this connection ended.
    pub(super) last_used_at: Cell<Instant>,
    /// The memory of the last buffered response, kept until periodic maintenance finds that it has been
    /// written.
    pub(super) last_response: RefCell<Option<Reservation>>,
    /// The body of the request in progress, if it is streamed.
    pub(super) streaming_body: RefCell<Option<Rc<StreamingRequestBody>>>,
    /// The id of the request in progress, until its response exists.
    pub(super) open_request_id: RefCell<Option<OpenRequestId>>,
    pub(super) close_mode: Cell<CloseMode>,
    /// Whether the connection is parked: idle, with only its socket kept and hyper's buffers released.
    pub(super) parked: Cell<bool>,
    /// Wakes the task of this connection after a change of `close_mode`, or when the connection can be
    /// parked.
    pub(super) wake: Notify,
    _reservation: Reservation,
}

impl ClientConnection {
    /// A new connection, counted against the limit on client connections by `reservation`.
    pub(super) fn new(stream: TcpStream, reservation: Reservation, tuning: &Tuning) -> ClientConnection {
        ClientConnection {
            stream: TrackedStream::for_client(stream, tuning),
            request_in_progress: Cell::new(false),
            has_sent_valid_request: Cell::new(false),
            requests_dispatched: Cell::new(0),
            last_used_at: Cell::new(Instant::now()),
            last_response: RefCell::default(),
            streaming_body: RefCell::default(),
            open_request_id: RefCell::default(),
            close_mode: Cell::new(CloseMode::Open),
            parked: Cell::new(false),
            wake: Notify::new(),
            _reservation: reservation,
        }
    }

    /// Whether the connection can be closed without losing a request: none is in progress, read or waiting to
    /// be read, not even in part.
    pub(super) fn is_idle(&self) -> bool {
        let is_between_requests = !self.request_in_progress.get()
            && self.stream.message_started_at().is_none()
            && !self.has_pipelined_request()
            && !self.stream.is_write_blocked();
        is_between_requests && self.close_mode.get() == CloseMode::Open && self.stream.is_idle_and_open()
    }

    /// Whether a response is being forwarded, or has not been written completely.
    pub(super) fn has_response_in_progress(&self) -> bool {
        self.request_in_progress.get() || self.stream.is_write_blocked()
    }

    /// Whether the client has sent more than the requests passed to the server: a pipelined request, or part
    /// of one.
    pub(super) fn has_waiting_request(&self) -> bool {
        self.has_pipelined_request() || !self.stream.is_between_messages() || self.stream.has_unread()
    }

    /// Whether a complete pipelined request has been read that hyper has not yet passed to the server.
    fn has_pipelined_request(&self) -> bool {
        self.stream.received_requests() > self.requests_dispatched.get()
    }

    /// Whether the client takes too long to send a complete request: it sends nothing, does not complete the
    /// head, or sends the body too slowly. Idle time after the first request does not count.
    pub(super) fn has_request_timed_out(&self, request_timeout: Duration) -> bool {
        let waiting_since = if self.has_sent_valid_request.get() {
            self.stream.message_started_at()
        } else {
            Some(self.last_used_at.get())
        };
        // A streamed request is accepted before it is complete. The client is only at fault for a delay while
        // an attempt waits for more of the body.
        let is_waiting = match &*self.streaming_body.borrow() {
            Some(body) => body.is_waiting_for_client(),
            None => !self.request_in_progress.get(),
        };
        let is_late = |since: Instant| {
            since.elapsed() >= request_timeout && self.stream.read_window_elapsed() >= request_timeout
        };
        is_waiting && waiting_since.is_some_and(is_late)
    }

    /// Whether the connection can be parked: it is between two requests, its last response has been written,
    /// and it has been idle for `min_idle`.
    pub(super) fn can_park(&self, min_idle: Duration) -> bool {
        let is_between_requests = !self.request_in_progress.get()
            && self.stream.message_started_at().is_none()
            && !self.has_pipelined_request()
            && self.stream.is_between_messages();
        is_between_requests
            && !self.stream.is_write_blocked()
            && self.last_used_at.get().elapsed() >= min_idle
            && self.stream.is_idle_and_open()
    }

    /// Records that a valid request is being served. The rest of a streamed body may still be on its way.
    pub(super) fn start_request(&self, streaming_body: Option<Rc<StreamingRequestBody>>) {
        self.request_in_progress.set(true);
        self.has_sent_valid_request.set(true);
        self.streaming_body.replace(streaming_body);
    }

    /// Records that the request in progress has ended.
    pub(super) fn finish_request(&self) {
        self.request_in_progress.set(false);
        self.streaming_body.take();
        self.last_used_at.set(Instant::now());
        self.stream.message_completed();
    }

    /// Drops the request in progress and closes the connection at once.
    pub(super) fn abort(&self) {
        self.request_in_progress.set(false);
        self.close(CloseMode::Immediate);
    }

    /// Makes the task of this connection close it.
    pub(super) fn close(&self, mode: CloseMode) {
        self.close_mode.set(mode);
        self.wake.notify_one();
    }
}
