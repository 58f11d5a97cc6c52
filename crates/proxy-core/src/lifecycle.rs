//! Whether this process takes clients: one state that `/up`, the second address, keep-alive, the closing of
//! idle connections and SIGTERM all go by.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The states of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// It does not listen yet.
    Starting,
    /// It takes clients.
    Serving,
    /// It is being emptied and goes on running; it may take clients again.
    Draining,
    /// It ends once all that it has taken is answered.
    Stopping,
}

/// The state, and since when.
pub struct Lifecycle {
    phase: Cell<Phase>,
    since: Cell<Instant>,
    /// How long a stop leaves kept connections alone.
    stop_notice: Cell<Duration>,
}

impl Lifecycle {
    /// A process that is about to serve.
    pub fn new() -> Rc<Lifecycle> {
        Rc::new(Lifecycle {
            phase: Cell::new(Phase::Starting),
            since: Cell::new(Instant::now()),
            stop_notice: Cell::default(),
        })
    }

    /// The present state.
    pub fn phase(&self) -> Phase {
        self.phase.get()
    }

    fn enter(&self, phase: Phase) {
        if self.phase.replace(phase) != phase {
            self.since.set(Instant::now());
        }
    }

    /// It listens now.
    pub fn serve(&self) {
        if self.phase() == Phase::Starting {
            self.enter(Phase::Serving);
        }
    }

    /// Begins a drain; false if the process does not serve yet, or is stopping, which can't be taken back.
    pub fn drain(&self) -> bool {
        let may = matches!(self.phase(), Phase::Serving | Phase::Draining);
        if may {
            self.enter(Phase::Draining);
        }
        may
    }

    /// Takes a drain back; false if the process does not serve yet, or is stopping.
    pub fn rejoin(&self) -> bool {
        let may = matches!(self.phase(), Phase::Serving | Phase::Draining);
        if may {
            self.enter(Phase::Serving);
        }
        may
    }

    /// Begins the end. Kept connections are left alone for so long.
    pub fn stop(&self, notice: Duration) {
        self.stop_notice.set(notice);
        self.enter(Phase::Stopping);
    }

    /// Whether connections are now to be closed as they fall idle; a drain leaves them alone for its notice first.
    pub fn closes_idle(&self, drain_notice: Duration) -> bool {
        let notice = match self.phase() {
            Phase::Starting | Phase::Serving => return false,
            Phase::Draining => drain_notice,
            Phase::Stopping => self.stop_notice.get(),
        };
        self.since.get().elapsed() >= notice
    }
}
