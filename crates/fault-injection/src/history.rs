//! What was seen during a drill, in memory: by clients, by servers, by the list, and what was done to processes. Times
//! are milliseconds since calls began; before that they are negative.

use hillstall_decision::BackendState;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// How a try ended for whoever made it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// 200, with what a server made for it.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other answer.
    Failed(u16),
    /// Its connection never came up, or was refused, or closed before the request was written.
    NotTaken,
    /// Its connection ended after the request was written, and no whole answer had come.
    Broken,
    /// No answer came until well after its time.
    Unanswered,
    /// Whoever made it left before its time was up.
    Left,
    /// An answer that can't be right.
    Wrong(String),
}

/// A request that somebody made at a proxy.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: usize,
    /// Whose it is.
    pub tenant: usize,
    /// Its key, of a keyed class; tries of one call share it.
    pub key: Option<String>,
    /// The proxy that it was made at.
    pub process: usize,
    /// When its last byte was written, if it was.
    pub written_at: Option<f64>,
    /// How long the proxy was told that it has, in milliseconds.
    pub ttl: f64,
    /// When it ended.
    pub ended_at: f64,
    /// How.
    pub ended: ClientResult,
    /// The wait that a refusal stated, in milliseconds.
    pub come_back: Option<f64>,
}

/// How a call ended at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendResult {
    /// It is held still.
    Held,
    /// Answered with 200.
    Served,
    /// Turned away unseen.
    TurnedAway,
    /// Answered with 500: a call to the tier below failed.
    Error,
    /// Whoever sent it left.
    Dropped,
    /// The server's process died.
    Lost,
}

/// A call as a server saw it.
#[derive(Clone, Debug)]
pub struct BackendAttempt {
    /// The id that came with it.
    pub id: String,
    /// The server, by its number over all tiers.
    pub server: usize,
    /// The proxy that sent it.
    pub process: usize,
    /// The number of times that the proxy had been started by then.
    pub life: u32,
    /// When it came.
    pub at: f64,
    /// Its own work at this tier, in core milliseconds.
    pub work: f64,
    /// When it ended.
    pub ended_at: f64,
    /// How.
    pub done: BackendResult,
}

/// A line of the list that was written to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// To which.
    pub process: usize,
    /// The number of times that the proxy had been started by then.
    pub life: u32,
    /// Of which server.
    pub server: usize,
    /// What.
    pub status: BackendState,
    /// When.
    pub at: f64,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It takes calls.
    Up,
    /// It was told to end in order.
    Asked,
    /// It was killed.
    Killed,
    /// It was stopped.
    Stopped,
    /// It goes on.
    Went,
    /// It ended by itself, or after it was asked to, with this code.
    Ended(Option<i32>),
}

/// Something that happened to a process.
#[derive(Clone, Copy, Debug)]
pub struct ProcessLifetime {
    /// To which.
    pub process: usize,
    /// When.
    pub at: f64,
    /// What.
    pub what: ProcessEvent,
}

/// A server's start, cold.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// Which.
    pub server: usize,
    /// When.
    pub at: f64,
}

/// A stretch in which the link to a proxy from its callers was not sound.
#[derive(Clone, Copy, Debug)]
pub struct LinkCut {
    /// The proxy.
    pub process: usize,
    /// From when.
    pub from: f64,
    /// To when.
    pub to: f64,
}

/// All that was seen.
#[derive(Debug, Default)]
pub struct Observations {
    /// Requests at proxies.
    pub tries: Vec<ClientAttempt>,
    /// Calls at servers.
    pub hops: Vec<BackendAttempt>,
    /// What the list said.
    pub told: Vec<Notification>,
    /// What happened to processes.
    pub lives: Vec<ProcessLifetime>,
    /// Cold starts.
    pub starts: Vec<BackendStart>,
    /// Broken links to proxies.
    pub cuts: Vec<LinkCut>,
    /// Connections that servers took, by server.
    pub handshakes: Vec<u64>,
    /// Calls for lists and watches.
    pub list_calls: u64,
    /// How late each call set out, in milliseconds.
    pub lateness: Vec<f64>,
    /// Who stood still though it had something to do, as the machine had no time for it.
    pub stood: Vec<HostStall>,
}

/// Somebody got no processor time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostStall {
    /// A process; or, where none is named, the rig itself with its clients, links and servers.
    pub process: Option<usize>,
    /// From.
    pub from: f64,
    /// To.
    pub to: f64,
}

/// The drill's clock, and what was seen.
pub struct History {
    zero: Cell<Instant>,
    seen: RefCell<Observations>,
}

impl Default for History {
    fn default() -> History {
        History { zero: Cell::new(Instant::now()), seen: RefCell::default() }
    }
}

impl History {
    /// Milliseconds since calls began.
    pub fn now(&self) -> f64 {
        let now = Instant::now();
        match now.checked_duration_since(self.zero.get()) {
            Some(passed) => passed.as_secs_f64() * 1e3,
            None => -(self.zero.get() - now).as_secs_f64() * 1e3,
        }
    }

    /// The moment of a time.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        let zero = self.zero.get();
        match at >= 0.0 {
            true => (zero + std::time::Duration::from_secs_f64(at / 1e3)).into(),
            false => zero.into(),
        }
    }

    /// Calls begin then.
    pub fn begin(&self, zero: Instant) {
        self.zero.set(zero);
    }

    /// Writes something down.
    pub fn note<T>(&self, what: impl FnOnce(&mut Observations) -> T) -> T {
        what(&mut self.seen.borrow_mut())
    }

    /// All that was seen, at the end.
    pub fn take(&self) -> Observations {
        self.seen.take()
    }
}
