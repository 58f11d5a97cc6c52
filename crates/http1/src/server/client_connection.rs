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
pub(super) enum Closing {
    No,
    /// Once what it has begun is done.
    InOrder,
    /// At once: nothing was taken from it that is still open.
    Now,
}

pub(super) struct Caller {
    pub(super) wire: Rc<TrackedStream>,
    /// A whole request of its was taken and has no answer yet.
    pub(super) taken: Cell<bool>,
    /// It has brought a good request before.
    pub(super) proven: Cell<bool>,
    /// When it connected, or had its last answer.
    pub(super) used: Cell<Instant>,
    /// Its last answer, which may still wait to be written; let go once it is seen to be out.
    pub(super) last: RefCell<Option<limits::BufferedBody>>,
    /// Its body that passes.
    pub(super) upload: RefCell<Option<Rc<StreamingRequestBody>>>,
    pub(super) closing: Cell<Closing>,
    /// Nothing of the protocol is held for it at the moment.
    pub(super) parked: Cell<bool>,
    pub(super) close: Notify,
    pub(super) _counted: Reservation,
}

impl Caller {
    /// Whether its connection can be closed without harm: nothing of a request was read or waits to be.
    pub(super) fn is_idle(&self) -> bool {
        let between =
            !self.taken.get() && self.wire.message_started_at().is_none() && !self.wire.is_write_blocked();
        between && self.closing.get() == Closing::No && self.wire.is_quiet()
    }

    /// Whether it has kept the proxy waiting for a whole request for too long: it says nothing, its head does
    /// not end, or its body trickles. Between two requests a used connection may rest.
    pub(super) fn is_overdue(&self, request_time: Duration) -> bool {
        let from = if self.proven.get() { self.wire.message_started_at() } else { Some(self.used.get()) };
        // What passes is taken before it is whole, and waits for it only if the backend could take more.
        let awaited = match &*self.upload.borrow() {
            Some(upload) => upload.is_waiting_for_client(),
            None => !self.taken.get(),
        };
        let late =
            |from: Instant| from.elapsed() >= request_time && self.wire.read_step_elapsed() >= request_time;
        awaited && from.is_some_and(late)
    }

    /// Whether nothing needs to be remembered of it but its socket: it stands between two messages, and its last
    /// answer is out.
    pub(super) fn may_park(&self, after: Duration) -> bool {
        let between =
            !self.taken.get() && self.wire.message_started_at().is_none() && self.wire.is_between_messages();
        between && !self.wire.is_write_blocked() && self.used.get().elapsed() >= after && self.wire.is_quiet()
    }

    /// The present request is done with.
    pub(super) fn rests(&self) {
        self.taken.set(false);
        self.upload.take();
        self.used.set(Instant::now());
        self.wire.message_completed();
    }

    pub(super) fn close(&self, how: Closing) {
        self.closing.set(how);
        self.close.notify_one();
    }
}
