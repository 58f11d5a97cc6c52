//! The lifecycle phase of this process. Health checks, the admin address, keep-alive, the closing of idle
//! connections and the handling of SIGTERM all depend on it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The lifecycle phases of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process does not listen yet.
    Starting,
    /// The process serves clients.
    Serving,
    /// Clients are made to leave. The process keeps running, and can return to [`Phase::Serving`].
    Draining,
    /// The process exits once all accepted requests have their responses.
    Stopping,
}

/// The current phase of this process, and when it began.
pub struct Lifecycle {
    phase: Cell<Phase>,
    phase_since: Cell<Instant>,
    /// Time from the start of a stop until idle connections are closed.
    stop_close_delay: Cell<Duration>,
}

impl Lifecycle {
    /// The lifecycle of a process in [`Phase::Starting`].
    pub fn new() -> Rc<Lifecycle> {
        Rc::new(Lifecycle {
            phase: Cell::new(Phase::Starting),
            phase_since: Cell::new(Instant::now()),
            stop_close_delay: Cell::default(),
        })
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.phase_since.set(Instant::now());
        }
    }

    /// Whether a drain can be started or reverted in the current phase.
    fn is_running(&self) -> bool {
        matches!(self.phase(), Phase::Serving | Phase::Draining)
    }

    /// Records that the process listens; it moves from [`Phase::Starting`] to [`Phase::Serving`].
    pub fn serve(&self) {
        if self.phase() == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// Starts a drain; false if the process is starting or stopping. A stop can't be reverted.
    pub fn drain(&self) -> bool {
        let allowed = self.is_running();
        if allowed {
            self.enter(Phase::Draining);
        }
        allowed
    }

    /// Reverts a drain; false if the process is starting or stopping.
    pub fn rejoin(&self) -> bool {
        let allowed = self.is_running();
        if allowed {
            self.enter(Phase::Serving);
        }
        allowed
    }

    /// Starts the stop. Idle connections are closed after `close_delay`.
    pub fn stop(&self, close_delay: Duration) {
        self.stop_close_delay.set(close_delay);
        self.enter(Phase::Stopping);
    }

    /// Whether connections must be closed as they become idle. In a drain, that begins after
    /// `drain_close_delay`.
    pub fn should_close_idle(&self, drain_close_delay: Duration) -> bool {
        let close_delay = match self.phase() {
            Phase::Starting | Phase::Serving => return false,
            Phase::Draining => drain_close_delay,
            Phase::Stopping => self.stop_close_delay.get(),
        };
        self.phase_since.get().elapsed() >= close_delay
    }
}
