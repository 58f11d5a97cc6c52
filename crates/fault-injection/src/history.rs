//! The history of a run, in memory: what clients, backends and discovery observed, and what was done to processes. Times
//! are milliseconds since the first request; before that they are negative.

use hillstall_decision::BackendState;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// How an attempt ended for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// 200, with a body that a backend made for it.
    Served,
    /// 429 or 503.
    Refused,
    /// Any other response.
    Failed(u16),
    /// Its connection never came up, or was refused, or closed before the request was written.
    NotAccepted,
    /// Its connection ended after the request was written, before a complete response.
    Broken,
    /// No response until well after its timeout.
    Unanswered,
    /// Its client left before the timeout.
    Abandoned,
    /// An invalid response, and why.
    Invalid(String),
}

/// An attempt of a client at a proxy.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// Its id.
    pub id: String,
    /// Its class.
    pub class: usize,
    /// Its tenant.
    pub tenant: usize,
    /// Its idempotency key, if its class has one; attempts of one request share it.
    pub key: Option<String>,
    /// The proxy that it was sent to.
    pub process: usize,
    /// When its last byte was written, if it was.
    pub written_at: Option<f64>,
    /// Its timeout as sent to the proxy, in milliseconds.
    pub timeout_ms: f64,
    /// When it ended.
    pub ended_at: f64,
    /// How.
    pub result: ClientResult,
    /// The Retry-After of a rejection, in milliseconds.
    pub retry_after_ms: Option<f64>,
}

/// How an attempt of a proxy ended at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendResult {
    /// In progress.
    InProgress,
    /// Answered with 200.
    Served,
    /// Rejected before it began.
    Rejected,
    /// Answered with 500: a request to the next tier failed.
    Error,
    /// Its sender left.
    Cancelled,
    /// The backend's process died.
    Lost,
}

/// An attempt of a proxy, as a backend recorded it.
#[derive(Clone, Debug)]
pub struct BackendAttempt {
    /// Its request id.
    pub id: String,
    /// The backend, by its number over all tiers.
    pub server: usize,
    /// The proxy that sent it.
    pub process: usize,
    /// The number of times that the proxy had been started by then.
    pub incarnation: u32,
    /// When it arrived.
    pub at: f64,
    /// Its own work at this tier, in core milliseconds.
    pub work: f64,
    /// When it ended.
    pub ended_at: f64,
    /// How.
    pub result: BackendResult,
}

/// A line of the endpoint list that was written to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// The proxy.
    pub process: usize,
    /// The number of times that the proxy had been started by then.
    pub incarnation: u32,
    /// The backend that it names.
    pub server: usize,
    /// The backend's state.
    pub status: BackendState,
    /// When.
    pub at: f64,
}

/// What happened to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// It was started.
    Started,
    /// It is ready.
    Ready,
    /// It received SIGTERM.
    SigtermSent,
    /// It was killed.
    Killed,
    /// It was stopped by SIGSTOP.
    Stopped,
    /// It continued after SIGCONT.
    Continued,
    /// It ended by itself, or after SIGTERM, with this exit code.
    Exited(Option<i32>),
}

/// A change in a process's life.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEventRecord {
    /// To which.
    pub process: usize,
    /// When.
    pub at: f64,
    /// What.
    pub event: ProcessEvent,
}

/// A restart of a backend, which begins its slow start.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// Which.
    pub server: usize,
    /// When.
    pub at: f64,
}

/// A time span in which the link from the clients to a proxy was faulty.
#[derive(Clone, Copy, Debug)]
pub struct ClientLinkFault {
    /// The proxy.
    pub process: usize,
    /// From when.
    pub from: f64,
    /// To when.
    pub to: f64,
}

/// All that was recorded.
#[derive(Debug, Default)]
pub struct Observations {
    /// Client attempts at proxies.
    pub client_attempts: Vec<ClientAttempt>,
    /// Proxies' attempts at backends.
    pub backend_attempts: Vec<BackendAttempt>,
    /// Endpoint states sent to proxies.
    pub notifications: Vec<Notification>,
    /// What happened to processes.
    pub process_events: Vec<ProcessEventRecord>,
    /// Restarts of backends.
    pub backend_starts: Vec<BackendStart>,
    /// Faulty links from clients to proxies.
    pub client_link_faults: Vec<ClientLinkFault>,
    /// Connections accepted, by backend.
    pub handshakes: Vec<u64>,
    /// Requests to discovery.
    pub discovery_requests: u64,
    /// How late each client request started, in milliseconds.
    pub start_delays_ms: Vec<f64>,
    /// Stalls: who was ready to run and got no processor time.
    pub stalls: Vec<HostStall>,
}

/// A stall: somebody got no processor time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostStall {
    /// A process; without one, the harness itself with its clients, links and backends.
    pub process: Option<usize>,
    /// From.
    pub from: f64,
    /// To.
    pub to: f64,
}

/// The run's clock and its observations.
pub struct History {
    zero: Cell<Instant>,
    observations: RefCell<Observations>,
}

impl Default for History {
    fn default() -> History {
        History { zero: Cell::new(Instant::now()), observations: RefCell::default() }
    }
}

impl History {
    /// Milliseconds since the first request.
    pub fn now(&self) -> f64 {
        let now = Instant::now();
        match now.checked_duration_since(self.zero.get()) {
            Some(passed) => passed.as_secs_f64() * 1e3,
            None => -(self.zero.get() - now).as_secs_f64() * 1e3,
        }
    }

    /// The instant of a time in milliseconds.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        let zero = self.zero.get();
        match at >= 0.0 {
            true => (zero + std::time::Duration::from_secs_f64(at / 1e3)).into(),
            false => zero.into(),
        }
    }

    /// Sets the time of the first request.
    pub fn begin(&self, zero: Instant) {
        self.zero.set(zero);
    }

    /// Changes the record.
    pub fn record<T>(&self, what: impl FnOnce(&mut Observations) -> T) -> T {
        what(&mut self.observations.borrow_mut())
    }

    /// Takes the record, at the end.
    pub fn take(&self) -> Observations {
        self.observations.take()
    }
}
