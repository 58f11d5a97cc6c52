//! One client connection and its state.

use crate::request_body::StreamingRequestBody;
use crate::stream::TrackedStream;
use hillstall_proxy_core::limits::{BufferedBody, Reservation};
use hillstall_proxy_core::tuning::Tuning;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// Whether and how a connection is being closed.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CloseMode {
    /// It stays open.
    Open,
    /// It closes once the request in progress is answered.
    Graceful,
    /// It closes at once: no request is in progress.
    Immediate,
}

/// One client connection.
pub(super) struct ClientConnection {
    pub(super) stream: Rc<TrackedStream>,
    /// A request was accepted and has no response yet.
    pub(super) request_in_progress: Cell<bool>,
    /// A valid request has come on this connection.
    pub(super) has_sent_valid_request: Cell<bool>,
    /// How many requests were taken from it to be served.
    pub(super) requests_taken: Cell<u64>,
    /// When it connected, or ended its last request.
    pub(super) last_used_at: Cell<Instant>,
    /// The last response, which may still wait to be written; released once it is seen to be written.
    pub(super) last_response: RefCell<Option<BufferedBody>>,
    /// The body of the request in progress, if it is streaming.
    pub(super) streaming_body: RefCell<Option<Rc<StreamingRequestBody>>>,
    pub(super) close_mode: Cell<CloseMode>,
    /// Only the socket is kept; hyper's buffers are released.
    pub(super) parked: Cell<bool>,
    /// Wakes the task of this connection after `close_mode` has changed, or when it may park.
    pub(super) wake: Notify,
    _reservation: Reservation,
}

impl ClientConnection {
    /// A new connection, counted by `reservation`.
    pub(super) fn new(stream: TcpStream, reservation: Reservation, tuning: &Tuning) -> ClientConnection {
        ClientConnection {
            stream: TrackedStream::for_client(stream, tuning),
            request_in_progress: Cell::new(false),
            has_sent_valid_request: Cell::new(false),
            requests_taken: Cell::new(0),
            last_used_at: Cell::new(Instant::now()),
            last_response: RefCell::default(),
            streaming_body: RefCell::default(),
            close_mode: Cell::new(CloseMode::Open),
            parked: Cell::new(false),
            wake: Notify::new(),
            _reservation: reservation,
        }
    }

    /// Whether it can be closed without harm: no part of a request was read or waits to be read.
    pub(super) fn is_idle(&self) -> bool {
        let is_between = !self.request_in_progress.get()
            && self.stream.message_started_at().is_none()
            && !self.has_read_ahead()
            && !self.stream.is_write_blocked();
        is_between && self.close_mode.get() == CloseMode::Open && self.stream.is_idle_and_open()
    }

    /// Whether the client has sent more than the requests that were taken: a pipelined request, or part of one.
    pub(super) fn has_waiting_request(&self) -> bool {
        self.has_read_ahead() || !self.stream.is_between_messages() || self.stream.has_unread()
    }

    /// Whether a whole request was read that was not taken yet: a pipelined one, between the answer before it and its turn.
    fn has_read_ahead(&self) -> bool {
        self.stream.received_requests() > self.requests_taken.get()
    }

    /// Whether the client has taken too long to send a complete request: it sends nothing, its head does not end,
    /// or its body comes too slowly. Between two requests a connection that has been used may stay idle.
    pub(super) fn has_request_timed_out(&self, request_timeout: Duration) -> bool {
        let waiting_since = if self.has_sent_valid_request.get() {
            self.stream.message_started_at()
        } else {
            Some(self.last_used_at.get())
        };
        // A streaming request is accepted before it is complete. It waits for the client only while the backend
        // could take more.
        let is_waiting = match &*self.streaming_body.borrow() {
            Some(body) => body.is_waiting_for_client(),
            None => !self.request_in_progress.get(),
        };
        let is_late = |since: Instant| {
            since.elapsed() >= request_timeout && self.stream.read_window_elapsed() >= request_timeout
        };
        is_waiting && waiting_since.is_some_and(is_late)
    }

    /// Whether only the socket needs to be kept: it is between two messages, and its last response is written.
    pub(super) fn can_park(&self, min_idle: Duration) -> bool {
        let is_between = !self.request_in_progress.get()
            && self.stream.message_started_at().is_none()
            && !self.has_read_ahead()
            && self.stream.is_between_messages();
        is_between
            && !self.stream.is_write_blocked()
            && self.last_used_at.get().elapsed() >= min_idle
            && self.stream.is_idle_and_open()
    }

    /// A valid request has been read; its body may still be coming.
    pub(super) fn start_request(&self, streaming_body: Option<Rc<StreamingRequestBody>>) {
        self.request_in_progress.set(true);
        self.has_sent_valid_request.set(true);
        self.streaming_body.replace(streaming_body);
    }

    /// The request in progress has ended.
    pub(super) fn finish_request(&self) {
        self.request_in_progress.set(false);
        self.streaming_body.take();
        self.last_used_at.set(Instant::now());
        self.stream.message_completed();
    }

    /// Asks the task of this connection to close it.
    pub(super) fn close(&self, mode: CloseMode) {
        self.close_mode.set(mode);
        self.wake.notify_one();
    }
}
