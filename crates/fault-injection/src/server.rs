//! A backend: the simulation's machine behind a socket. A request does a part of its work, sends one or more
//! requests to the next tier through the backend's own proxy, and does the rest; it keeps its slot meanwhile,
//! as in the simulation.

use crate::history::{BackendAttempt, BackendResult, BackendStart, ClientAttempt, ClientResult, History};
use crate::http::{HttpConnection, Message, OutgoingRequest};
use crate::reserved_port::ReservedPort;
use crate::tcp_proxy::{ConnectionLinks, TcpProxy};
use hillstall_simulation::model::machine::{Admission, Job, Kind, Machine};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{oneshot, watch, Notify};
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout};

/// How much longer than a request's timeout the backend waits for its own proxy, in milliseconds.
const RESPONSE_MARGIN_MS: f64 = 250.0;
/// Sleep of a machine without work, unless it is woken.
const IDLE: Duration = Duration::from_secs(3_600);
const NOT_STARTED: &str = "Not-Started: 1\r\n";

/// The next tier, as a backend reaches it.
pub struct DownstreamTier {
    /// The number of its own proxy.
    pub process: usize,
    /// Where that listens.
    pub address: SocketAddr,
    /// Its classes: name, whether they are idempotent, and whether requests carry an idempotency key.
    pub classes: Vec<(String, bool, bool)>,
    /// The tenants' names.
    pub tenants: Vec<String>,
    idle: RefCell<Vec<HttpConnection>>,
}

impl DownstreamTier {
    /// Reached through a proxy.
    pub fn new(
        process: usize,
        address: SocketAddr,
        classes: Vec<(String, bool, bool)>,
        tenants: Vec<String>,
    ) -> DownstreamTier {
        DownstreamTier { process, address, classes, tenants, idle: RefCell::default() }
    }
}

/// Parameters of a backend.
pub struct BackendParameters {
    /// Its number over all tiers.
    pub number: usize,
    /// Its zone.
    pub zone: usize,
    /// Its machine.
    pub kind: Kind,
    /// Its tier's part of a request's work.
    pub part: f64,
    /// Requests to the next tier per request, on average.
    pub calls: f64,
}

/// The process at the client's end of a link, and how often that has been started.
pub type IdentifySender = Rc<dyn Fn(usize) -> (usize, u32)>;

/// A running backend.
pub struct Server {
    /// Its parameters.
    pub parameters: BackendParameters,
    history: Rc<History>,
    connections: ConnectionLinks,
    identify_sender: IdentifySender,
    below: Option<DownstreamTier>,
    port: ReservedPort,
    links: RefCell<Vec<Rc<TcpProxy>>>,
    machine: RefCell<Machine>,
    waiters: RefCell<HashMap<Job, oneshot::Sender<()>>>,
    changed: Notify,
    next: Cell<u64>,
    /// Its incarnation: connections of an older one end.
    incarnation: watch::Sender<u64>,
    draining: Cell<bool>,
    listening: RefCell<Option<JoinHandle<()>>>,
    random: Cell<u64>,
}

/// Parameters of a request, from its target and headers.
struct RequestParameters {
    work: f64,
    class: usize,
    tenant: usize,
    key: Option<String>,
}

/// The request target that carries the parameters.
pub fn target(class: usize, tenant: usize, work: f64) -> String {
    format!("/api/call?class={class}&tenant={tenant}&work={work:.4}")
}

fn parse_parameters(message: &Message) -> Option<RequestParameters> {
    let (_, query) = message.target.split_once('?')?;
    let value = |name: &str| {
        query.split('&').filter_map(|pair| pair.split_once('=')).find(|(key, _)| *key == name).map(|(_, v)| v)
    };
    Some(RequestParameters {
        work: value("work")?.parse().ok()?,
        class: value("class")?.parse().ok()?,
        tenant: value("tenant")?.parse().ok()?,
        key: message.header("idempotency-key").map(String::from),
    })
}

impl Server {
    /// A backend at full capacity that does not listen yet.
    pub fn new(
        parameters: BackendParameters,
        history: Rc<History>,
        (callers, identify_sender): (ConnectionLinks, IdentifySender),
        below: Option<DownstreamTier>,
    ) -> Result<Rc<Server>> {
        let server = Rc::new(Server {
            machine: RefCell::new(Machine::new(parameters.kind)),
            random: Cell::new(parameters.number as u64 + 1),
            parameters,
            history,
            connections: callers,
            identify_sender,
            below,
            port: ReservedPort::take()?,
            links: RefCell::default(),
            waiters: RefCell::default(),
            changed: Notify::new(),
            next: Cell::new(0),
            incarnation: watch::Sender::new(0),
            draining: Cell::new(false),
            listening: RefCell::default(),
        });
        spawn_local(server.clone().work());
        Ok(server)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Its own proxy to the next tier, if it has one.
    pub fn own_proxy(&self) -> Option<usize> {
        self.below.as_ref().map(|below| below.process)
    }

    /// Adds a link that leads to it; it refuses connections while the backend does not listen.
    pub fn add_link(&self, link: Rc<TcpProxy>) {
        link.set_target_listening(self.listening.borrow().is_some());
        self.links.borrow_mut().push(link);
    }

    /// How often it choked.
    pub fn chokes(&self) -> u32 {
        self.machine.borrow().chokes()
    }

    /// Its capacity now, in core milliseconds per millisecond, and whether it is choked.
    pub fn state(&self) -> (f64, bool) {
        let machine = self.machine.borrow();
        (machine.capacity(self.history.now()), machine.is_choked())
    }

    /// Listens.
    pub fn listen(self: &Rc<Server>) -> Result<()> {
        let listener = self.port.listen()?;
        self.draining.set(false);
        let task = spawn_local(self.clone().accept(listener));
        if let Some(old) = self.listening.borrow_mut().replace(task) {
            old.abort();
        }
        self.links.borrow().iter().for_each(|link| link.set_target_listening(true));
        Ok(())
    }

    /// Kills its process. Connections are reset, unless `silently`: its machine is gone too.
    pub fn die(&self, silently: bool) {
        let links = self.links.borrow();
        if let Some(listening) = self.listening.borrow_mut().take() {
            listening.abort();
        }
        if !silently {
            links.iter().for_each(|link| link.set_target_listening(false));
        }
        let now = self.history.now();
        self.act(|machine, done| {
            machine.kill(now, done);
            // Work that completed in this moment is lost with the rest.
            done.clear();
        });
        self.waiters.borrow_mut().clear();
        if let Some(below) = &self.below {
            below.idle.borrow_mut().clear();
        }
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }

    /// Restarts, in slow start; [`Server::listen`] has to follow.
    pub fn start(&self) {
        let now = self.history.now();
        self.act(|machine, _| machine.start(now));
        let server = self.parameters.number;
        self.history
            .record(|observations| observations.backend_starts.push(BackendStart { server, at: now }));
        // Connections that wait for the machine are reset, as it is back.
        self.links.borrow().iter().for_each(|link| link.reset());
    }

    /// Rejects new requests, or accepts them again.
    pub fn drain(&self, away: bool) {
        self.draining.set(away);
    }

    /// Hangs, or continues.
    pub fn hang(&self, hung: bool) {
        let now = self.history.now();
        self.act(|machine, done| machine.hang(now, hung, done));
    }

    /// Slows down by a factor; 1 ends it.
    pub fn slow(&self, times: f64) {
        let now = self.history.now();
        self.act(|machine, done| machine.slow(now, times, done));
    }

    /// Changes the machine, and passes on the work it completed by that.
    fn act<T>(&self, change: impl FnOnce(&mut Machine, &mut Vec<Job>) -> T) -> T {
        let mut done = Vec::new();
        let out = change(&mut self.machine.borrow_mut(), &mut done);
        while !done.is_empty() {
            for job in std::mem::take(&mut done) {
                let waiter = self.waiters.borrow_mut().remove(&job);
                // One that nobody awaits releases its slot.
                if waiter.is_none_or(|waiter| waiter.send(()).is_err()) {
                    self.machine.borrow_mut().release(self.history.now(), &mut done);
                }
            }
        }
        self.changed.notify_one();
        out
    }

    /// Advances the machine with time.
    async fn work(self: Rc<Server>) {
        loop {
            let due = self.machine.borrow().due();
            tokio::select! {
                () = async {
                    match due {
                        Some(due) => sleep_until(self.history.instant(due)).await,
                        None => sleep(IDLE).await,
                    }
                } => {}
                () = self.changed.notified() => continue,
            }
            let now = self.history.now();
            self.act(|machine, done| machine.advance(now, done));
        }
    }

    async fn accept(self: Rc<Server>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let number = self.parameters.number;
            self.history.record(|observations| {
                let most = observations.handshakes.len().max(number + 1);
                observations.handshakes.resize(most, 0);
                observations.handshakes[number] += 1;
            });
            spawn_local(self.clone().connection(stream, peer));
        }
    }

    async fn connection(self: Rc<Server>, stream: TcpStream, peer: SocketAddr) {
        let mut incarnation = self.incarnation.subscribe();
        let mut connection = HttpConnection::new(stream);
        let clean = tokio::select! {
            biased;
            _ = incarnation.changed() => false,
            ended = self.clone().serve_requests(&mut connection, peer) => ended.is_ok(),
        };
        if !clean {
            crate::tcp_proxy::abort(&connection.stream);
        }
    }

    async fn serve_requests(
        self: Rc<Server>,
        connection: &mut HttpConnection,
        peer: SocketAddr,
    ) -> Result<()> {
        while let Some(message) = connection.read_message(true).await? {
            let Some(link) = self.connections.borrow().get(&(peer, self.address())).copied() else {
                return connection.write_response("404 Not Found", "", "who calls?").await;
            };
            let (Some(id), Some(wish)) = (message.header("request-id"), parse_parameters(&message)) else {
                connection.write_response("400 Bad Request", "", "no such call").await?;
                continue;
            };
            let timeout = message.header("request-timeout-ms").and_then(|t| t.parse::<f64>().ok());
            let hop = self.record_arrival(id, link, wish.work * self.parameters.part);
            // Completes the record also when this future is dropped with its process.
            let mut guard = AttemptGuard { history: self.history.clone(), hop, result: BackendResult::Lost };
            if self.draining.get() {
                guard.result = BackendResult::Rejected;
                drop(guard);
                connection.write_response("503 Service Unavailable", NOT_STARTED, "").await?;
                continue;
            }
            let until = self.history.now() + timeout.unwrap_or(f64::MAX).min(1e7);
            guard.result = self.serve_request(connection, id, &wish, until, &mut guard).await;
            let done = guard.result;
            drop(guard);
            match done {
                BackendResult::Served => {
                    connection
                        .write_response("200 OK", "", &format!("{id} s{}", self.parameters.number))
                        .await?;
                }
                BackendResult::Rejected => {
                    connection.write_response("503 Service Unavailable", NOT_STARTED, "").await?
                }
                BackendResult::Error => {
                    connection.write_response("500 Internal Server Error", "", "").await?
                }
                BackendResult::Cancelled | BackendResult::Lost | BackendResult::InProgress => return Ok(()),
            }
        }
        Ok(())
    }

    fn record_arrival(&self, id: &str, link: usize, work: f64) -> usize {
        let (process, incarnation) = (self.identify_sender)(link);
        let at = self.history.now();
        let hop = BackendAttempt {
            id: id.to_string(),
            server: self.parameters.number,
            process,
            incarnation,
            at,
            work,
            ended_at: at,
            result: BackendResult::InProgress,
        };
        self.history.record(|observations| {
            observations.backend_attempts.push(hop);
            observations.backend_attempts.len() - 1
        })
    }

    fn part(&self) -> f64 {
        // A Weyl sequence by the golden ratio: uniform, and the same in every run.
        self.random.set(self.random.get().wrapping_add(0x9E37_79B9_7F4A_7C15));
        (self.random.get() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Processes one request from its first phase to its last.
    #[allow(clippy::too_many_lines, reason = "one request from its arrival to its end")]
    async fn serve_request(
        &self,
        connection: &mut HttpConnection,
        id: &str,
        wish: &RequestParameters,
        until: f64,
        guard: &mut AttemptGuard,
    ) -> BackendResult {
        let whole = self.parameters.calls.floor();
        let below = whole as usize + usize::from(self.part() < self.parameters.calls - whole);
        let work = wish.work * self.parameters.part / (below + 1) as f64;
        let job = self.next.get();
        self.next.set(job + 1);
        let (tell, mut done) = oneshot::channel();
        self.waiters.borrow_mut().insert(job, tell);
        let now = self.history.now();
        if self.act(|machine, ended| machine.offer(now, job, work, ended)) == Admission::Full {
            self.waiters.borrow_mut().remove(&job);
            return BackendResult::Rejected;
        }
        for phase in 0..=below {
            let worked = tokio::select! {
                worked = &mut done => worked.is_ok(),
                () = connection.closed() => {
                    guard.result = BackendResult::Cancelled;
                    self.waiters.borrow_mut().remove(&job);
                    let now = self.history.now();
                    // Running work goes on to the end of its phase, and releases its slot then.
                    self.act(|machine, ended| machine.cancel(now, job, ended));
                    return BackendResult::Cancelled;
                }
            };
            if !worked {
                return BackendResult::Lost;
            }
            if phase == below {
                break;
            }
            let answered = tokio::select! {
                answered = self.request_below(id, phase, below, wish, until) => answered,
                () = connection.closed() => {
                    self.release_slot();
                    return BackendResult::Cancelled;
                }
            };
            if !answered {
                self.release_slot();
                return BackendResult::Error;
            }
            let (tell, next) = oneshot::channel();
            done = next;
            self.waiters.borrow_mut().insert(job, tell);
            let now = self.history.now();
            self.act(|machine, ended| machine.resume(now, job, work, ended));
        }
        self.release_slot();
        BackendResult::Served
    }

    fn release_slot(&self) {
        let now = self.history.now();
        self.act(|machine, done| machine.release(now, done));
    }

    /// One request to the next tier; true if it was served.
    #[allow(clippy::too_many_lines, reason = "one request from its arrival to its end")]
    async fn request_below(
        &self,
        id: &str,
        phase: usize,
        calls: usize,
        wish: &RequestParameters,
        until: f64,
    ) -> bool {
        let Some(below) = &self.below else { return true };
        let id = format!("{id}.{}-{phase}", self.random.get() % 100_000);
        let (class, idempotent, keyed) = &below.classes[wish.class];
        let timeout_ms = (until - self.history.now()).max(0.0);
        let key = keyed.then(|| wish.key.as_ref().map(|key| format!("{key}.{phase}"))).flatten();
        let all = self.parameters.calls.max(1.0).max((calls - phase) as f64);
        let made = RecordedAttempt::new(
            self.history.clone(),
            ClientAttempt {
                id: id.clone(),
                class: wish.class,
                tenant: wish.tenant,
                key: key.clone(),
                process: below.process,
                written_at: None,
                timeout_ms,
                ended_at: 0.0,
                result: ClientResult::Abandoned,
                retry_after_ms: None,
            },
        );
        let call = OutgoingRequest {
            id: &id,
            class,
            tenant: below.tenants.get(wish.tenant).map(String::as_str),
            timeout_ms: timeout_ms as u64,
            key: key.as_deref(),
            idempotent: *idempotent,
            target: &target(wish.class, wish.tenant, wish.work / all),
            is_retry: false,
        };
        let taken = below.idle.borrow_mut().pop();
        let most = Duration::from_secs_f64((timeout_ms + RESPONSE_MARGIN_MS) / 1e3);
        let asked = send_request(taken, below.address, &call, &made, |_| false);
        let (ended, connection) = match timeout(most, asked).await {
            Ok((ended, _, connection)) => (ended, connection),
            Err(_) => (ClientResult::Unanswered, None),
        };
        if let Some(connection) = connection {
            below.idle.borrow_mut().push(connection);
        }
        let served = ended == ClientResult::Served;
        made.ended(ended, None);
        served
    }
}

/// A request that crosses the closing of an idle connection fails within this time, in milliseconds.
pub(crate) const CROSSED_MS: f64 = 20.0;

/// How an attempt at a proxy ended, its Retry-After in milliseconds, and the connection if it can be reused.
pub(crate) type AttemptOutcome = (ClientResult, Option<f64>, Option<HttpConnection>);

/// Sends a request to a proxy, on an idle connection if there is one. If the proxy has closed that meanwhile,
/// it is sent once more on a new one. `untaken`: whether the proxy never accepted the connection from a local
/// address.
#[allow(clippy::too_many_lines, reason = "one request from its arrival to its end")]
pub(crate) async fn send_request(
    kept: Option<HttpConnection>,
    address: SocketAddr,
    call: &OutgoingRequest<'_>,
    made: &RecordedAttempt,
    unaccepted: impl Fn(SocketAddr) -> bool,
) -> AttemptOutcome {
    use tokio::io::AsyncWriteExt;
    let text = call.encode();
    let mut kept = kept;
    loop {
        let was_kept = kept.is_some();
        let mut connection = match kept.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(address).await {
                Ok(stream) => HttpConnection::new(stream),
                Err(_) => return (ClientResult::NotAccepted, None, None),
            },
        };
        let own = connection.stream.local_addr();
        if connection.stream.write_all(text.as_bytes()).await.is_err() {
            if was_kept {
                continue;
            }
            return (ClientResult::NotAccepted, None, None);
        }
        made.written(true);
        let message = match connection.read_message(false).await {
            Ok(Some(message)) => message,
            Ok(None) | Err(_) => {
                // The close crossed this request.
                if was_kept && made.since_written() < CROSSED_MS {
                    continue;
                }
                if own.is_ok_and(&unaccepted) {
                    made.written(false);
                    return (ClientResult::NotAccepted, None, None);
                }
                return (ClientResult::Broken, None, None);
            }
        };
        let wait = message.header("retry-after").and_then(|t| t.parse::<f64>().ok()).map(|s| s * 1e3);
        let ended = match connection.has_unread_bytes() {
            true => ClientResult::Invalid("more than one answer".into()),
            false => result_of(&message, call.id),
        };
        return (ended, wait, Some(connection).filter(|_| !closes(&message)));
    }
}

/// How a request ended that got this answer.
pub(crate) fn result_of(answer: &Message, id: &str) -> ClientResult {
    match answer.status {
        200 => {
            let body = String::from_utf8_lossy(&answer.body).into_owned();
            match body.split_once(' ') {
                Some((served, _)) if served == id => ClientResult::Served,
                _ => ClientResult::Invalid(format!("an answer to another request: {body}")),
            }
        }
        429 | 503 => ClientResult::Refused,
        other => ClientResult::Failed(other),
    }
}

/// Whether a connection is closed behind an answer.
pub(crate) fn closes(answer: &Message) -> bool {
    answer.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// An attempt in the record; when dropped without an end, its client has left.
pub(crate) struct RecordedAttempt {
    history: Rc<History>,
    index: usize,
    ended: Cell<bool>,
}

impl RecordedAttempt {
    pub(crate) fn new(history: Rc<History>, a_try: ClientAttempt) -> RecordedAttempt {
        let index = history.record(|observations| {
            observations.client_attempts.push(a_try);
            observations.client_attempts.len() - 1
        });
        RecordedAttempt { history, index, ended: Cell::new(false) }
    }

    /// Its last byte was written; false takes that back.
    pub(crate) fn written(&self, written: bool) {
        let at = written.then(|| self.history.now());
        self.history.record(|observations| observations.client_attempts[self.index].written_at = at);
    }

    pub(crate) fn since_written(&self) -> f64 {
        let written = self.history.record(|observations| observations.client_attempts[self.index].written_at);
        self.history.now() - written.unwrap_or(f64::MIN)
    }

    pub(crate) fn ended(&self, result: ClientResult, retry_after_ms: Option<f64>) {
        let now = self.history.now();
        self.ended.set(true);
        self.history.record(|observations| {
            let a_try = &mut observations.client_attempts[self.index];
            (a_try.result, a_try.ended_at, a_try.retry_after_ms) = (result, now, retry_after_ms);
        });
    }
}

impl Drop for RecordedAttempt {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.ended(ClientResult::Abandoned, None);
        }
    }
}

/// Records the end of a proxy's attempt when dropped.
struct AttemptGuard {
    history: Rc<History>,
    hop: usize,
    result: BackendResult,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let (now, done) = (self.history.now(), self.result);
        self.history.record(|observations| {
            if let Some(hop) = observations.backend_attempts.get_mut(self.hop) {
                (hop.result, hop.ended_at) = (done, now);
            }
        });
    }
}
