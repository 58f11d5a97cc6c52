//! The history of a run, kept in memory: what clients, backends and discovery observed, and what was done to
//! processes. All times are milliseconds since the first client request; earlier times are negative.

use hillstall_decision::BackendState;
use std::cell::{Cell, RefCell};
use std::time::Instant;

/// The result of an attempt for its client.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClientResult {
    /// Status 200, with a body that names the request.
    Served,
    /// Rejected with status 429 or 503.
    Refused,
    /// Any other status.
    Failed(u16),
    /// Not accepted: its connection was refused or never established, or closed before the proxy read the
    /// request.
    NotAccepted,
    /// The connection ended after the request was written, before a complete response.
    Broken,
    /// No response until well after the timeout.
    Unanswered,
    /// The client closed the connection before the timeout.
    Abandoned,
    /// An invalid response, with a description.
    Invalid(String),
}

/// An attempt of a client, or of a backend that calls the next tier, at a proxy.
#[derive(Clone, Debug)]
pub struct ClientAttempt {
    /// The request id, unique per attempt. Requests that a backend sends to the next tier add a suffix after
    /// a dot.
    pub id: String,
    /// Index of the class in the settings.
    pub class: usize,
    /// Index of the tenant in the settings.
    pub tenant: usize,
    /// The idempotency key, if the class uses one; all attempts of one request share it.
    pub key: Option<String>,
    /// The number of the proxy process that received it.
    pub process: usize,
    /// When the last byte of the request was written; `None` while that has not happened.
    pub written_at: Option<f64>,
    /// The timeout that the request states, in milliseconds.
    pub timeout_ms: f64,
    /// When the attempt ended.
    pub ended_at: f64,
    /// How the attempt ended.
    pub result: ClientResult,
    /// The Retry-After header of the response, in milliseconds, if there was one.
    pub retry_after_ms: Option<f64>,
}

/// The result of a proxy's attempt at a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendResult {
    /// In progress.
    InProgress,
    /// Answered with status 200.
    Served,
    /// Rejected with status 503 before any work was done.
    Rejected,
    /// Answered with status 500, because a request to the next tier failed.
    Error,
    /// The proxy closed the connection first.
    Cancelled,
    /// The backend was killed meanwhile.
    Lost,
}

/// A proxy's attempt, as the backend recorded it.
#[derive(Clone, Debug)]
pub struct BackendAttempt {
    /// The request id.
    pub id: String,
    /// The number of the backend, counted over all tiers.
    pub server: usize,
    /// The number of the proxy process that sent it.
    pub process: usize,
    /// The incarnation of the proxy process: how often it had been started by then.
    pub incarnation: u32,
    /// When the request arrived.
    pub at: f64,
    /// The work that the request takes at this tier alone, in core milliseconds.
    pub work: f64,
    /// When the attempt ended; the arrival time while it is in progress.
    pub ended_at: f64,
    /// How the attempt ended.
    pub result: BackendResult,
}

/// One backend's state as discovery wrote it to a proxy.
#[derive(Clone, Copy, Debug)]
pub struct Notification {
    /// The number of the proxy process.
    pub process: usize,
    /// The incarnation of the proxy process: how often it had been started by then.
    pub incarnation: u32,
    /// The number of the backend, counted over all tiers.
    pub server: usize,
    /// The state that discovery announced.
    pub status: BackendState,
    /// When it was written.
    pub at: f64,
}

/// A change in the life of a proxy process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessEvent {
    /// The process was started.
    Started,
    /// The process answered its first readiness check with 200.
    Ready,
    /// SIGTERM was sent.
    SigtermSent,
    /// SIGKILL was sent.
    Killed,
    /// SIGSTOP was sent.
    Stopped,
    /// SIGCONT was sent.
    Continued,
    /// The process has ended, with this exit code; `None` if a signal ended it.
    Exited(Option<i32>),
}

/// An event in the life of a proxy process, with its time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessEventRecord {
    /// The number of the proxy process.
    pub process: usize,
    /// When it happened.
    pub at: f64,
    /// What happened.
    pub event: ProcessEvent,
}

/// A restart of a backend; its slow start begins at this time.
#[derive(Clone, Copy, Debug)]
pub struct BackendStart {
    /// The number of the backend, counted over all tiers.
    pub server: usize,
    /// When it was restarted.
    pub at: f64,
}

/// A time span in which the link from the clients to a proxy had a fault.
#[derive(Clone, Copy, Debug)]
pub struct ClientLinkFault {
    /// The number of the proxy process.
    pub process: usize,
    /// When the fault began.
    pub from: f64,
    /// When the fault ended.
    pub to: f64,
}

/// All records of a run.
#[derive(Debug, Default)]
pub struct Observations {
    /// Attempts at proxies, by clients and by backends that call the next tier.
    pub client_attempts: Vec<ClientAttempt>,
    /// Attempts of proxies at backends.
    pub backend_attempts: Vec<BackendAttempt>,
    /// Backend states that discovery wrote to proxies.
    pub notifications: Vec<Notification>,
    /// Starts, signals and ends of proxy processes.
    pub process_events: Vec<ProcessEventRecord>,
    /// Restarts of backends.
    pub backend_starts: Vec<BackendStart>,
    /// Faults of the links from clients to proxies.
    pub client_link_faults: Vec<ClientLinkFault>,
    /// The number of connections accepted, by backend; shorter than the list of backends if the last ones had
    /// none.
    pub handshakes: Vec<u64>,
    /// The number of requests to discovery.
    pub discovery_requests: u64,
    /// For each client request, how long after its scheduled time it started, in milliseconds.
    pub start_delays_ms: Vec<f64>,
    /// Time spans in which the harness or a proxy was ready to run and got no processor time.
    pub stalls: Vec<HostStall>,
}

/// A time span in which the harness or a proxy was ready to run and got no processor time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HostStall {
    /// The number of the proxy process; `None` for the harness, which runs the clients, links and backends.
    pub process: Option<usize>,
    /// When the stall began.
    pub from: f64,
    /// When the stall ended.
    pub to: f64,
}

/// The clock of a run and its records.
pub struct History {
    first_request_at: Cell<Instant>,
    observations: RefCell<Observations>,
}

impl Default for History {
    fn default() -> History {
        History { first_request_at: Cell::new(Instant::now()), observations: RefCell::default() }
    }
}

impl History {
    /// Milliseconds since the first request; negative before it.
    pub fn now(&self) -> f64 {
        let now = Instant::now();
        match now.checked_duration_since(self.first_request_at.get()) {
            Some(elapsed) => elapsed.as_secs_f64() * 1e3,
            None => -(self.first_request_at.get() - now).as_secs_f64() * 1e3,
        }
    }

    /// The instant of a time in milliseconds; a negative time gives that of the first request.
    pub fn instant(&self, at: f64) -> tokio::time::Instant {
        let first_request_at = self.first_request_at.get();
        match at >= 0.0 {
            true => (first_request_at + std::time::Duration::from_secs_f64(at / 1e3)).into(),
            false => first_request_at.into(),
        }
    }

    /// Sets the time of the first request, which is the zero of all times.
    pub fn set_first_request(&self, at: Instant) {
        self.first_request_at.set(at);
    }

    /// Adds to the records, or changes them, by a closure.
    pub fn record<T>(&self, change: impl FnOnce(&mut Observations) -> T) -> T {
        change(&mut self.observations.borrow_mut())
    }

    /// Takes the records out, which leaves none behind.
    pub fn take(&self) -> Observations {
        self.observations.take()
    }
}
