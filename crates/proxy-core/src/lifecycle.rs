//! Whether this process serves clients: the one state that health checks, the second address, keep-alive, the
//! closing of idle connections and SIGTERM all go by.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The phases in the life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not listen yet.
    Starting,
    /// It serves clients.
    Serving,
    /// Clients are to leave; the process goes on running and may serve again.
    Draining,
    /// It ends once all accepted requests have their responses.
    Stopping,
}

/// The phase of this process, and since when.
pub struct Lifecycle {
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// How long after the begin of a stop idle connections are left open.
    stop_close_delay: Cell<Duration>,
}

impl Lifecycle {
    /// A process that is starting.
    pub fn new() -> Rc<Lifecycle> {
        Rc::new(Lifecycle {
            phase: Cell::new(Phase::Starting),
            phase_since: Cell::new(Instant::now()),
            stop_close_delay: Cell::default(),
        })
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.phase_since.set(Instant::now());
        }
    }

    /// Whether a drain may begin or be reverted.
    fn is_running(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::Draining)
    }

    /// Records that the process listens now.
    pub fn serve(&self) {
        if self.phase() == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// Begins a drain; false if the process does not serve yet, or is stopping, which can't be reverted.
    pub fn drain(&self) -> bool {
        let allowed = self.is_running();
        if allowed {
            self.enter(Phase::Draining);
        }
        allowed
    }

    /// Reverts a drain; false if the process does not serve yet, or is stopping.
    pub fn rejoin(&self) -> bool {
        let allowed = self.is_running();
        if allowed {
            self.enter(Phase::Serving);
        }
        allowed
    }

    /// Begins the stop. Idle connections are left open for the time of the notice.
    pub fn stop(&self, notice: Duration) {
        self.stop_close_delay.set(notice);
        self.enter(Phase::Stopping);
    }

    /// Whether connections are to be closed as they become idle. A drain leaves them open for its notice first.
    pub fn should_close_idle(&self, drain_close_delay: Duration) -> bool {
        let notice = match self.phase() {
            Phase::Starting | Phase::Serving => return false,
            Phase::Draining => drain_close_delay,
            Phase::Stopping => self.stop_close_delay.get(),
        };
        self.phase_since.get().elapsed() >= notice
    }
}
