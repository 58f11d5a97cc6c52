//! One caller's connection, and what is known of it.

use crate::request_body::StreamingRequestBody;
use crate::stream::TrackedStream;
use hillstall_proxy_core::limits::{self, Reservation};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// How far the end of a caller's connection has come.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum CloseMode {
    Open,
    /// Once what it has begun is done.
    Graceful,
    /// At once: nothing was taken from it that is still open.
    Immediate,
}

pub(super) struct ClientConnection {
    pub(super) stream: Rc<TrackedStream>,
    /// A whole request of its was taken and has no answer yet.
    pub(super) request_in_progress: Cell<bool>,
    /// It has brought a good request before.
    pub(super) has_sent_valid_request: Cell<bool>,
    /// When it connected, or had its last answer.
    pub(super) last_used_at: Cell<Instant>,
    /// Its last answer, which may still wait to be written; let go once it is seen to be out.
    pub(super) last_response: RefCell<Option<limits::BufferedBody>>,
    /// Its body that passes.
    pub(super) streaming_body: RefCell<Option<Rc<StreamingRequestBody>>>,
    pub(super) close_mode: Cell<CloseMode>,
    /// Nothing of the protocol is held for it at the moment.
    pub(super) parked: Cell<bool>,
    pub(super) wake: Notify,
    pub(super) _reservation: Reservation,
}

impl ClientConnection {
    /// Whether its connection can be closed without harm: nothing of a request was read or waits to be.
    pub(super) fn is_idle(&self) -> bool {
        let between = !self.request_in_progress.get()
            && self.stream.message_started_at().is_none()
            && !self.stream.is_write_blocked();
        between && self.close_mode.get() == CloseMode::Open && self.stream.is_quiet()
    }

    /// Whether it has kept the proxy waiting for a whole request for too long: it says nothing, its head does
    /// not end, or its body trickles. Between two requests a used connection may rest.
    pub(super) fn has_request_timed_out(&self, request_time: Duration) -> bool {
        let from = if self.has_sent_valid_request.get() {
            self.stream.message_started_at()
        } else {
            Some(self.last_used_at.get())
        };
        // What passes is taken before it is whole, and waits for it only if the backend could take more.
        let awaited = match &*self.streaming_body.borrow() {
            Some(upload) => upload.is_waiting_for_client(),
            None => !self.request_in_progress.get(),
        };
        let late =
            |from: Instant| from.elapsed() >= request_time && self.stream.read_step_elapsed() >= request_time;
        awaited && from.is_some_and(late)
    }

    /// Whether nothing needs to be remembered of it but its socket: it stands between two messages, and its last
    /// answer is out.
    pub(super) fn can_park(&self, after: Duration) -> bool {
        let between = !self.request_in_progress.get()
            && self.stream.message_started_at().is_none()
            && self.stream.is_between_messages();
        between
            && !self.stream.is_write_blocked()
            && self.last_used_at.get().elapsed() >= after
            && self.stream.is_quiet()
    }

    /// The present request is done with.
    pub(super) fn finish_request(&self) {
        self.request_in_progress.set(false);
        self.streaming_body.take();
        self.last_used_at.set(Instant::now());
        self.stream.message_completed();
    }

    pub(super) fn close(&self, how: CloseMode) {
        self.close_mode.set(how);
        self.wake.notify_one();
    }
}
