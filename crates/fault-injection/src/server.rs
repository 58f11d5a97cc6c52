//! A backend: the simulation's model of a machine behind a socket. A request is processed in phases; between
//! two phases the backend sends a request to the next tier through its own proxy. The request keeps its slot
//! meanwhile, as in the simulation.

use crate::history::{BackendAttempt, BackendResult, BackendStart, ClientAttempt, ClientResult, History};
use crate::http::{HttpConnection, Message, OutgoingRequest};
use crate::reserved_port::ReservedPort;
use crate::tcp_proxy::{ConnectionLinks, TcpProxy};
use hillstall_simulation::model::machine::{Admission, Job, Machine, MachineSpec};
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

/// How long the backend waits for its own proxy beyond the timeout of a request, in milliseconds.
const RESPONSE_MARGIN_MS: f64 = 250.0;
/// Sleep of a machine that has nothing due; a change of its state wakes it earlier.
const IDLE_SLEEP: Duration = Duration::from_secs(3_600);
/// The header by which a backend says that a rejected request was not executed.
const NOT_STARTED_HEADER: &str = "Not-Started: 1\r\n";

/// The next tier, as a backend reaches it through its own proxy.
pub struct DownstreamTier {
    /// The number of the backend's own proxy.
    pub process: usize,
    /// The address of that proxy.
    pub address: SocketAddr,
    /// The classes by index: the name, whether the class is idempotent, and whether its requests carry an
    /// idempotency key.
    pub classes: Vec<(String, bool, bool)>,
    /// The names of the tenants by index.
    pub tenants: Vec<String>,
    idle_connections: RefCell<Vec<HttpConnection>>,
}

impl DownstreamTier {
    /// A tier that is reached through this proxy, without open connections.
    pub fn new(
        process: usize,
        address: SocketAddr,
        classes: Vec<(String, bool, bool)>,
        tenants: Vec<String>,
    ) -> DownstreamTier {
        DownstreamTier { process, address, classes, tenants, idle_connections: RefCell::default() }
    }
}

/// The parameters of a backend.
pub struct BackendParameters {
    /// The number of the backend, counted over all tiers.
    pub number: usize,
    /// The index of its zone.
    pub zone: usize,
    /// The parameters of the machine model.
    pub kind: MachineSpec,
    /// The fraction of a request's work that is done at this tier.
    pub work_fraction: f64,
    /// The mean number of requests to the next tier per request.
    pub downstream_requests: f64,
}

/// Returns, for the number of a link, the proxy that sends over it and the incarnation of that proxy: how
/// often it has been started.
pub type IdentifySender = Rc<dyn Fn(usize) -> (usize, u32)>;

/// A running backend.
pub struct Server {
    /// The parameters given to [`Server::new`].
    pub parameters: BackendParameters,
    history: Rc<History>,
    connections: ConnectionLinks,
    identify_sender: IdentifySender,
    downstream: Option<DownstreamTier>,
    port: ReservedPort,
    links: RefCell<Vec<Rc<TcpProxy>>>,
    machine: RefCell<Machine>,
    /// The senders that wake the request of a job when its phase is complete.
    waiters: RefCell<HashMap<Job, oneshot::Sender<()>>>,
    changed: Notify,
    next_job: Cell<u64>,
    /// The incarnation of the backend: connections of an older one end.
    incarnation: watch::Sender<u64>,
    draining: Cell<bool>,
    listener_task: RefCell<Option<JoinHandle<()>>>,
    random: Cell<u64>,
}

/// The parameters of a request, from its target and headers.
struct RequestParameters {
    work: f64,
    class: usize,
    tenant: usize,
    key: Option<String>,
}

/// The request target that carries a request's parameters to the backends; `work` is in core milliseconds.
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
    /// Creates a backend at full capacity that does not listen yet.
    pub fn new(
        parameters: BackendParameters,
        history: Rc<History>,
        (connections, identify_sender): (ConnectionLinks, IdentifySender),
        downstream: Option<DownstreamTier>,
    ) -> Result<Rc<Server>> {
        let server = Rc::new(Server {
            machine: RefCell::new(Machine::new(parameters.kind)),
            random: Cell::new(parameters.number as u64 + 1),
            parameters,
            history,
            connections,
            identify_sender,
            downstream,
            port: ReservedPort::take()?,
            links: RefCell::default(),
            waiters: RefCell::default(),
            changed: Notify::new(),
            next_job: Cell::new(0),
            incarnation: watch::Sender::new(0),
            draining: Cell::new(false),
            listener_task: RefCell::default(),
        });
        spawn_local(server.clone().run_machine());
        Ok(server)
    }

    /// The address of the backend.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// The number of its own proxy to the next tier; `None` in the last tier.
    pub fn own_proxy(&self) -> Option<usize> {
        self.downstream.as_ref().map(|downstream| downstream.process)
    }

    /// Adds a link that leads to the backend. The link refuses connections while the backend does not listen.
    pub fn add_link(&self, link: Rc<TcpProxy>) {
        link.set_target_listening(self.listener_task.borrow().is_some());
        self.links.borrow_mut().push(link);
    }

    /// How often the machine has choked (slowed down by overload).
    pub fn chokes(&self) -> u32 {
        self.machine.borrow().chokes()
    }

    /// The present capacity, in core milliseconds per millisecond, and whether the machine is choked.
    pub fn state(&self) -> (f64, bool) {
        let machine = self.machine.borrow();
        (machine.capacity(self.history.now()), machine.is_choked())
    }

    /// Starts to listen, and accepts new requests.
    pub fn listen(self: &Rc<Server>) -> Result<()> {
        let listener = self.port.listen()?;
        self.draining.set(false);
        let task = spawn_local(self.clone().accept(listener));
        if let Some(old) = self.listener_task.borrow_mut().replace(task) {
            old.abort();
        }
        self.links.borrow().iter().for_each(|link| link.set_target_listening(true));
        Ok(())
    }

    /// Kills the backend's process. Its open connections are reset, and its links refuse new ones from now
    /// on, unless `silently`: then the machine is gone too, and the caller silences the links, which hold the
    /// resets back as well.
    pub fn kill(&self, silently: bool) {
        let links = self.links.borrow();
        if let Some(task) = self.listener_task.borrow_mut().take() {
            task.abort();
        }
        if !silently {
            links.iter().for_each(|link| link.set_target_listening(false));
        }
        let now = self.history.now();
        self.update_machine(|machine, done| {
            machine.kill(now, done);
            // Jobs that complete at the moment of the kill are lost like all others; their requests get no
            // response.
            done.clear();
        });
        self.waiters.borrow_mut().clear();
        if let Some(downstream) = &self.downstream {
            downstream.idle_connections.borrow_mut().clear();
        }
        self.incarnation.send_modify(|incarnation| *incarnation += 1);
    }

    /// Restarts the backend's process, in slow start. The caller must call [`Server::listen`] next.
    pub fn restart(&self) {
        let now = self.history.now();
        self.update_machine(|machine, _| machine.start(now));
        let server = self.parameters.number;
        self.history
            .record(|observations| observations.backend_starts.push(BackendStart { server, at: now }));
        // The restarted machine resets connections of its previous incarnation.
        self.links.borrow().iter().for_each(|link| link.reset());
    }

    /// Sets whether the backend rejects new requests.
    pub fn set_draining(&self, draining: bool) {
        self.draining.set(draining);
    }

    /// Sets whether the machine hangs, that is, makes no progress.
    pub fn set_hung(&self, hung: bool) {
        let now = self.history.now();
        self.update_machine(|machine, done| machine.set_hung(now, hung, done));
    }

    /// Sets the factor by which the machine is slower than usual; 1 is its usual speed.
    pub fn set_slowdown(&self, factor: f64) {
        let now = self.history.now();
        self.update_machine(|machine, done| machine.set_dependency_slowdown(now, factor, done));
    }

    /// Changes the machine, and wakes the requests whose phase is complete by that.
    fn update_machine<T>(&self, change: impl FnOnce(&mut Machine, &mut Vec<Job>) -> T) -> T {
        let mut done = Vec::new();
        let result = change(&mut self.machine.borrow_mut(), &mut done);
        while !done.is_empty() {
            for job in std::mem::take(&mut done) {
                let waiter = self.waiters.borrow_mut().remove(&job);
                // No request waits for this job any more, so its slot is released here.
                if waiter.is_none_or(|waiter| waiter.send(()).is_err()) {
                    self.machine.borrow_mut().release(self.history.now(), &mut done);
                }
            }
        }
        self.changed.notify_one();
        result
    }

    /// Advances the machine with time.
    async fn run_machine(self: Rc<Server>) {
        loop {
            let due = self.machine.borrow().next_change();
            tokio::select! {
                () = async {
                    match due {
                        Some(due) => sleep_until(self.history.instant(due)).await,
                        None => sleep(IDLE_SLEEP).await,
                    }
                } => {}
                () = self.changed.notified() => continue,
            }
            let now = self.history.now();
            self.update_machine(|machine, done| machine.advance(now, done));
        }
    }

    async fn accept(self: Rc<Server>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let number = self.parameters.number;
            self.history.record(|observations| {
                let length = observations.handshakes.len().max(number + 1);
                observations.handshakes.resize(length, 0);
                observations.handshakes[number] += 1;
            });
            spawn_local(self.clone().connection(stream, peer));
        }
    }

    async fn connection(self: Rc<Server>, stream: TcpStream, peer: SocketAddr) {
        let mut incarnation = self.incarnation.subscribe();
        let mut connection = HttpConnection::new(stream);
        let ended_cleanly = tokio::select! {
            biased;
            _ = incarnation.changed() => false,
            ended = self.clone().serve_requests(&mut connection, peer) => ended.is_ok(),
        };
        if !ended_cleanly {
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
                return connection.write_response("404 Not Found", "", "unknown link").await;
            };
            let (Some(id), Some(request)) = (message.header("request-id"), parse_parameters(&message)) else {
                connection.write_response("400 Bad Request", "", "invalid request").await?;
                continue;
            };
            let timeout_ms = message.header("request-timeout-ms").and_then(|t| t.parse::<f64>().ok());
            let index = self.record_arrival(id, link, request.work * self.parameters.work_fraction);
            // Completes the record even if this future is dropped because the backend is killed.
            let mut guard =
                AttemptGuard { history: self.history.clone(), index, result: BackendResult::Lost };
            if self.draining.get() {
                guard.result = BackendResult::Rejected;
                drop(guard);
                connection.write_response("503 Service Unavailable", NOT_STARTED_HEADER, "").await?;
                continue;
            }
            let deadline = self.history.now() + timeout_ms.unwrap_or(f64::MAX).min(1e7);
            guard.result = self.serve_request(connection, id, &request, deadline, &mut guard).await;
            let result = guard.result;
            drop(guard);
            match result {
                BackendResult::Served => {
                    connection
                        .write_response("200 OK", "", &format!("{id} s{}", self.parameters.number))
                        .await?;
                }
                BackendResult::Rejected => {
                    connection.write_response("503 Service Unavailable", NOT_STARTED_HEADER, "").await?
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
        let attempt = BackendAttempt {
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
            observations.backend_attempts.push(attempt);
            observations.backend_attempts.len() - 1
        })
    }

    /// The next pseudo-random number, from 0 to below 1.
    fn next_fraction(&self) -> f64 {
        // A Weyl sequence of the golden ratio: uniform, and the same in every run.
        self.random.set(self.random.get().wrapping_add(0x9E37_79B9_7F4A_7C15));
        (self.random.get() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Processes one request from its first phase to its last. Sets the result of `guard` where the request
    /// is cancelled.
    #[allow(clippy::too_many_lines, reason = "one request from its arrival to its end")]
    async fn serve_request(
        &self,
        connection: &mut HttpConnection,
        id: &str,
        request: &RequestParameters,
        deadline: f64,
        guard: &mut AttemptGuard,
    ) -> BackendResult {
        let whole = self.parameters.downstream_requests.floor();
        let downstream_requests =
            whole as usize + usize::from(self.next_fraction() < self.parameters.downstream_requests - whole);
        let work = request.work * self.parameters.work_fraction / (downstream_requests + 1) as f64;
        let job = self.next_job.get();
        self.next_job.set(job + 1);
        let (completed, mut phase_done) = oneshot::channel();
        self.waiters.borrow_mut().insert(job, completed);
        let now = self.history.now();
        if self.update_machine(|machine, ended| machine.offer(now, job, work, ended)) == Admission::QueueFull
        {
            self.waiters.borrow_mut().remove(&job);
            return BackendResult::Rejected;
        }
        for phase in 0..=downstream_requests {
            let worked = tokio::select! {
                worked = &mut phase_done => worked.is_ok(),
                () = connection.closed() => {
                    guard.result = BackendResult::Cancelled;
                    self.waiters.borrow_mut().remove(&job);
                    let now = self.history.now();
                    // Work that has begun continues to the end of its phase, and releases its slot then.
                    self.update_machine(|machine, ended| machine.cancel(now, job, ended));
                    return BackendResult::Cancelled;
                }
            };
            if !worked {
                return BackendResult::Lost;
            }
            if phase == downstream_requests {
                break;
            }
            let answered = tokio::select! {
                answered = self.send_downstream(id, phase, downstream_requests, request, deadline) => answered,
                () = connection.closed() => {
                    self.release_slot();
                    return BackendResult::Cancelled;
                }
            };
            if !answered {
                self.release_slot();
                return BackendResult::Error;
            }
            let (completed, next_phase_done) = oneshot::channel();
            phase_done = next_phase_done;
            self.waiters.borrow_mut().insert(job, completed);
            let now = self.history.now();
            self.update_machine(|machine, ended| machine.resume(now, job, work, ended));
        }
        self.release_slot();
        BackendResult::Served
    }

    fn release_slot(&self) {
        let now = self.history.now();
        self.update_machine(|machine, done| machine.release(now, done));
    }

    /// Sends one request to the next tier and returns whether it was served; true in the last tier.
    #[allow(clippy::too_many_lines, reason = "one request from its arrival to its end")]
    async fn send_downstream(
        &self,
        id: &str,
        phase: usize,
        request_count: usize,
        request: &RequestParameters,
        deadline: f64,
    ) -> bool {
        let Some(downstream) = &self.downstream else { return true };
        let id = format!("{id}.{}-{phase}", self.random.get() % 100_000);
        let (class, idempotent, keyed) = &downstream.classes[request.class];
        let timeout_ms = (deadline - self.history.now()).max(0.0);
        let key = keyed.then(|| request.key.as_ref().map(|key| format!("{key}.{phase}"))).flatten();
        let work_divisor = self.parameters.downstream_requests.max(1.0).max((request_count - phase) as f64);
        let attempt = RecordedAttempt::new(
            self.history.clone(),
            ClientAttempt {
                id: id.clone(),
                class: request.class,
                tenant: request.tenant,
                key: key.clone(),
                process: downstream.process,
                written_at: None,
                timeout_ms,
                ended_at: 0.0,
                result: ClientResult::Abandoned,
                retry_after_ms: None,
            },
        );
        let outgoing = OutgoingRequest {
            id: &id,
            class,
            tenant: downstream.tenants.get(request.tenant).map(String::as_str),
            timeout_ms: timeout_ms as u64,
            key: key.as_deref(),
            idempotent: *idempotent,
            target: &target(request.class, request.tenant, request.work / work_divisor),
            is_retry: false,
        };
        let idle = downstream.idle_connections.borrow_mut().pop();
        let wait = Duration::from_secs_f64((timeout_ms + RESPONSE_MARGIN_MS) / 1e3);
        let sending = send_request(idle, downstream.address, &outgoing, &attempt, |_| false);
        let (result, connection) = match timeout(wait, sending).await {
            Ok((result, _, connection)) => (result, connection),
            Err(_) => (ClientResult::Unanswered, None),
        };
        if let Some(connection) = connection {
            downstream.idle_connections.borrow_mut().push(connection);
        }
        let served = result == ClientResult::Served;
        attempt.end(result, None);
        served
    }
}

/// If a connection that has carried responses before ends within this time after a request was written, the
/// proxy is taken to have closed it as idle before it could read the request, in milliseconds.
pub(crate) const CLOSE_RACE_MS: f64 = 20.0;

/// The result of an attempt at a proxy, its Retry-After in milliseconds, and the connection if it can be
/// reused.
pub(crate) type AttemptOutcome = (ClientResult, Option<f64>, Option<HttpConnection>);

/// Sends a request to a proxy, on an idle connection if there is one. If the proxy has closed that meanwhile,
/// the request is sent once more on a new connection. `unaccepted` tells for a local address whether the
/// proxy never accepted the connection from it.
#[allow(clippy::too_many_lines, reason = "one request from its arrival to its end")]
pub(crate) async fn send_request(
    idle: Option<HttpConnection>,
    address: SocketAddr,
    request: &OutgoingRequest<'_>,
    attempt: &RecordedAttempt,
    unaccepted: impl Fn(SocketAddr) -> bool,
) -> AttemptOutcome {
    use tokio::io::AsyncWriteExt;
    let text = request.encode();
    let mut idle = idle;
    loop {
        let was_idle = idle.is_some();
        let mut connection = match idle.take() {
            Some(connection) => connection,
            None => match TcpStream::connect(address).await {
                Ok(stream) => HttpConnection::new(stream),
                Err(_) => return (ClientResult::NotAccepted, None, None),
            },
        };
        let local_address = connection.stream.local_addr();
        if connection.stream.write_all(text.as_bytes()).await.is_err() {
            if was_idle {
                continue;
            }
            return (ClientResult::NotAccepted, None, None);
        }
        attempt.set_written(true);
        let message = match connection.read_message(false).await {
            Ok(Some(message)) => message,
            Ok(None) | Err(_) => {
                // The proxy closed the connection while the request was under way.
                if was_idle && attempt.since_written_ms() < CLOSE_RACE_MS {
                    continue;
                }
                if local_address.is_ok_and(&unaccepted) {
                    attempt.set_written(false);
                    return (ClientResult::NotAccepted, None, None);
                }
                return (ClientResult::Broken, None, None);
            }
        };
        let retry_after_ms =
            message.header("retry-after").and_then(|t| t.parse::<f64>().ok()).map(|s| s * 1e3);
        let result = match connection.has_unread_bytes() {
            true => ClientResult::Invalid("more than one response".into()),
            false => result_of(&message, request.id),
        };
        return (result, retry_after_ms, Some(connection).filter(|_| !closes_connection(&message)));
    }
}

/// The result of a request that got this response.
pub(crate) fn result_of(response: &Message, id: &str) -> ClientResult {
    match response.status {
        200 => {
            let body = String::from_utf8_lossy(&response.body).into_owned();
            match body.split_once(' ') {
                Some((served, _)) if served == id => ClientResult::Served,
                _ => ClientResult::Invalid(format!("response to another request: {body}")),
            }
        }
        429 | 503 => ClientResult::Refused,
        other => ClientResult::Failed(other),
    }
}

/// Whether the proxy closes the connection after this response.
pub(crate) fn closes_connection(response: &Message) -> bool {
    response.header("connection").is_some_and(|value| value.eq_ignore_ascii_case("close"))
}

/// The record of a client's attempt. Dropped without a call of [`RecordedAttempt::end`], the attempt counts
/// as abandoned by its client.
pub(crate) struct RecordedAttempt {
    history: Rc<History>,
    index: usize,
    ended: Cell<bool>,
}

impl RecordedAttempt {
    pub(crate) fn new(history: Rc<History>, attempt: ClientAttempt) -> RecordedAttempt {
        let index = history.record(|observations| {
            observations.client_attempts.push(attempt);
            observations.client_attempts.len() - 1
        });
        RecordedAttempt { history, index, ended: Cell::new(false) }
    }

    /// Records that the last byte of the request was written just now or, with false, that the proxy did not
    /// accept it.
    pub(crate) fn set_written(&self, written: bool) {
        let at = written.then(|| self.history.now());
        self.history.record(|observations| observations.client_attempts[self.index].written_at = at);
    }

    /// The time since the request was written, in milliseconds.
    pub(crate) fn since_written_ms(&self) -> f64 {
        let written = self.history.record(|observations| observations.client_attempts[self.index].written_at);
        self.history.now() - written.unwrap_or(f64::MIN)
    }

    /// Records the result of the attempt and its end, which is now.
    pub(crate) fn end(&self, result: ClientResult, retry_after_ms: Option<f64>) {
        let now = self.history.now();
        self.ended.set(true);
        self.history.record(|observations| {
            let attempt = &mut observations.client_attempts[self.index];
            (attempt.result, attempt.ended_at, attempt.retry_after_ms) = (result, now, retry_after_ms);
        });
    }
}

impl Drop for RecordedAttempt {
    fn drop(&mut self) {
        if !self.ended.get() {
            self.end(ClientResult::Abandoned, None);
        }
    }
}

/// Records the end of an attempt at a backend, with its result, when dropped.
struct AttemptGuard {
    history: Rc<History>,
    index: usize,
    result: BackendResult,
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        let (now, result) = (self.history.now(), self.result);
        self.history.record(|observations| {
            if let Some(attempt) = observations.backend_attempts.get_mut(self.index) {
                (attempt.result, attempt.ended_at) = (result, now);
            }
        });
    }
}
