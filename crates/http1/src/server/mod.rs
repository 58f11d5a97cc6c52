//! The callers' side: connections, `/up`, and the orderly end. What happens with one call is in `call`.

mod access_log;
mod client_connection;
mod request;
mod request_head;
mod response;

use crate::client::HttpClient;
use crate::stream::{HyperStream, TrackedStream};
use client_connection::{ClientConnection, CloseMode};
use hillstall_decision::{Class, Settings, Tenant};
use hillstall_proxy_core::driver::Driver;
use hillstall_proxy_core::lifecycle::Lifecycle;
use hillstall_proxy_core::limits::{Limits, Reservation};
use hillstall_proxy_core::metrics::Metrics;
use hillstall_proxy_core::sockets::out_of_descriptors;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// How often connections are looked after.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// How many connections are looked at for the one that has said least.
const MAX_SHED_CANDIDATES: usize = 8;
/// How many others may be asked to give way to one connection.
const MAX_ADMIT_ATTEMPTS: u32 = 4;
/// How long a connection that is to close may take over what it has begun.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_secs(2);
/// After SIGTERM: connections still come for a while, so it ends no sooner. Callers are served on those they
/// have for the first half of the time there is, as the other proxies may be down too; then connections are
/// closed as they fall idle. What is open at the end is failed, before it could be killed unanswered: that is
/// no sooner than the longest deadline, 3 s at most, and 0.7 s more.
const MIN_STOP_DURATION: Duration = Duration::from_millis(550);
/// With a newer process none come: time for what the queue held.
const HANDOVER_STOP_DURATION: Duration = Duration::from_millis(100);
const MAX_STOP_DEADLINE_MS: f64 = 3_000.0;
const STOP_MARGIN_MS: f64 = 400.0;
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);

/// Serves callers.
pub struct Server {
    driver: Rc<Driver<HttpClient>>,
    client: Rc<HttpClient>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    /// The name of the tier this proxy sends to, for the log.
    tier_name: String,
    retry_after: bool,
    connections: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    /// The ids of the requests that are open here.
    open_request_ids: Rc<RefCell<FxHashSet<String>>>,
    limits: Rc<Limits>,
    next_connection_id: Cell<u64>,
    started: Instant,
    has_known_backends: bool,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    /// Tells the accepting task to leave the address to another process.
    stop_accepting: Notify,
}

impl Server {
    /// A server for the callers of a deployment.
    pub fn new(
        driver: Rc<Driver<HttpClient>>,
        client: Rc<HttpClient>,
        limits: Rc<Limits>,
        (lifecycle, metrics): (Rc<Lifecycle>, Rc<Metrics>),
        settings: &Settings,
        has_known_backends: bool,
    ) -> Rc<Server> {
        Rc::new(Server {
            driver,
            client,
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            tier_name: settings.stages.get(settings.stage as usize).cloned().unwrap_or_default(),
            retry_after: settings.permissions.retry_after,
            connections: RefCell::default(),
            open_request_ids: Rc::default(),
            limits,
            next_connection_id: Cell::new(0),
            started: Instant::now(),
            has_known_backends,
            lifecycle,
            metrics,
            stop_accepting: Notify::new(),
        })
    }

    /// Accepts until a newer process has the address to itself. Without one it goes on while stopping: what
    /// the kernel has taken in counts as taken.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.stop_accepting.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream).await,
                // Guards against an end of the loop: out of descriptors, idle connections give way.
                Err(e) if out_of_descriptors(&e) => {
                    let _ = self.shed_connection() || self.client.shed();
                    sleep(Duration::from_millis(5)).await;
                }
                // The caller left before it was accepted.
                Err(_) => sleep(Duration::from_millis(1)).await,
            }
        }
        // What waits in the queue would be reset with the listener, so nothing may come between the last look
        // and the close.
        let mut waiting = Vec::new();
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                waiting.push(stream);
            }
        }
        for stream in waiting {
            if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                self.admit(stream).await;
            }
        }
    }

    /// Takes a connection in. Beyond the callers' share that is only in place of another, so that a flood
    /// leaves the sockets that attempts need alone.
    async fn admit(self: &Rc<Self>, stream: TcpStream) {
        for _ in 0..MAX_ADMIT_ATTEMPTS {
            if let Some(counted) = self.limits.client_connections.reserve(1) {
                let (number, caller) = self.register(stream, counted);
                spawn_local(self.clone().run_connection(number, caller));
                return;
            }
            // The one that gives way is closed in its own task, unless a request of its came meanwhile.
            if !self.shed_connection() {
                return;
            }
            yield_now().await;
        }
    }

    /// Keeps to a part of the proxy, with so many other processes beside this one.
    pub fn share_with(&self, others: usize) {
        self.limits.share_with(others);
        self.driver.share_quota_with(others);
    }

    /// Whether this process holds no more than its part; lets go what can be let go of first.
    pub fn fits(&self) -> bool {
        if self.limits.client_connections.is_exceeded() {
            self.shed_connection();
        }
        while self.limits.backend_connections.is_exceeded() && self.client.shed() {}
        !self.limits.client_connections.is_exceeded() && !self.limits.backend_connections.is_exceeded()
    }

    /// Closes the least useful of the connections that never brought a good request, or else the one that has
    /// been idle longest; false if all are busy.
    fn shed_connection(&self) -> bool {
        let callers = self.connections.borrow();
        // Those that have said nothing go before those that are in the midst of a request, and of these the ones
        // that have paused longest.
        let use_of =
            |c: &&Rc<ClientConnection>| (c.stream.message_started_at().is_some(), c.stream.last_read());
        for tries_left in (0..MAX_SHED_CANDIDATES).rev() {
            let unproven = callers.values().filter(|c| {
                !c.has_sent_valid_request.get()
                    && !c.request_in_progress.get()
                    && c.close_mode.get() != CloseMode::Immediate
            });
            let Some(oldest) = unproven.min_by_key(use_of) else { break };
            // What it has said may only be waiting to be read.
            if tries_left > 0 && oldest.stream.message_started_at().is_none() && oldest.stream.has_unread() {
                oldest.stream.mark_message_started();
                continue;
            }
            oldest.close(CloseMode::Immediate);
            return true;
        }
        let oldest = callers.values().filter(|c| c.is_idle()).min_by_key(|c| c.last_used_at.get());
        oldest.inspect(|caller| caller.close(CloseMode::Graceful)).is_some()
    }

    /// Closes connections idle since before `limit`, but for those with a request still to be read.
    fn close_idle(&self, limit: Duration) {
        for caller in self.connections.borrow().values() {
            if caller.last_used_at.get().elapsed() >= limit && caller.is_idle() {
                caller.close(CloseMode::Graceful);
            }
        }
    }

    fn close_overdue(&self) {
        let tuning = self.limits.tuning();
        for caller in
            self.connections.borrow().values().filter(|c| c.has_request_timed_out(tuning.request_timeout))
        {
            caller.streaming_body.take();
            caller.request_in_progress.set(false);
            caller.close(CloseMode::Immediate);
        }
        // One that does not read its answer is owed no more of it.
        for caller in
            self.connections.borrow().values().filter(|c| c.stream.is_write_stalled(tuning.stall_timeout))
        {
            caller.request_in_progress.set(false);
            caller.close(CloseMode::Immediate);
        }
    }

    /// Looks after connections on both sides.
    pub async fn tidy(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.close_overdue();
            let tuning = self.limits.tuning();
            let closes = self.lifecycle.closes_idle(tuning.drain_notice);
            self.close_idle(if closes { tuning.drain_idle_timeout } else { tuning.client_idle_timeout });
            for caller in self.connections.borrow().values().filter(|c| !c.stream.is_write_blocked()) {
                caller.last_response.take();
            }
            for caller in self
                .connections
                .borrow()
                .values()
                .filter(|c| !c.parked.get() && c.can_park(tuning.buffer_release_after))
            {
                caller.wake.notify_one();
            }
            self.client.reap();
        }
    }

    /// The orderly end: returns when all that was taken is answered. With a newer process at the same address
    /// callers are sent there at once.
    pub async fn stop(&self, has_newer: bool) {
        let told = Instant::now();
        let longest =
            self.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max).min(MAX_STOP_DEADLINE_MS);
        let most = Duration::from_secs_f64((longest + STOP_MARGIN_MS) / 1000.0);
        self.lifecycle.stop(if has_newer { Duration::ZERO } else { most / 2 });
        if has_newer {
            self.stop_accepting.notify_one();
        }
        sleep(if has_newer { HANDOVER_STOP_DURATION } else { MIN_STOP_DURATION }).await;
        while !self.connections.borrow().is_empty() && told.elapsed() < most {
            sleep(Duration::from_millis(20)).await;
        }
        self.driver.close_all();
        let last = Instant::now();
        while self.connections.borrow().values().any(|c| c.request_in_progress.get())
            && last.elapsed() < FINAL_RESPONSE_TIMEOUT
        {
            sleep(Duration::from_millis(5)).await;
        }
        // Time for the last answers to be written.
        sleep(Duration::from_millis(20)).await;
    }

    /// Enters a connection among the callers. That is done before anything else is accepted: a burst of
    /// connections that nobody knows of yet would be taken for callers that can't give way.
    fn register(&self, stream: TcpStream, counted: Reservation) -> (u64, Rc<ClientConnection>) {
        let caller = Rc::new(ClientConnection {
            stream: TrackedStream::for_client(stream, &self.limits.tuning()),
            request_in_progress: Cell::new(false),
            has_sent_valid_request: Cell::new(false),
            last_used_at: Cell::new(Instant::now()),
            last_response: RefCell::default(),
            streaming_body: RefCell::default(),
            close_mode: Cell::new(CloseMode::Open),
            parked: Cell::new(false),
            wake: Notify::new(),
            _reservation: counted,
        });
        let number = self.next_connection_id.replace(self.next_connection_id.get() + 1);
        self.connections.borrow_mut().insert(number, caller.clone());
        (number, caller)
    }

    async fn run_connection(self: Rc<Self>, number: u64, caller: Rc<ClientConnection>) {
        // On the heap, so that a connection that only waits does not hold room for it. What a new one has said is
        // read at once: until then it looks like one that says nothing, and would be the first to give way.
        while Box::pin(self.serve_connection(&caller)).await == ConnectionState::Parked {
            caller.parked.set(true);
            if !wait_until_readable(&caller).await {
                break;
            }
            caller.parked.set(false);
        }
        self.connections.borrow_mut().remove(&number);
    }

    /// Speaks HTTP on a connection until it is over, or rests and can be parked.
    async fn serve_connection(self: &Rc<Self>, caller: &Rc<ClientConnection>) -> ConnectionState {
        let service =
            service_fn(|request| async move { Ok::<_, Infallible>(self.serve(caller, request).await) });
        let io = HyperStream(caller.stream.clone());
        let serving =
            http1::Builder::new().max_buf_size(self.limits.tuning().read_ahead).serve_connection(io, service);
        tokio::pin!(serving);
        loop {
            tokio::select! {
                biased;
                // An error here is the caller's leaving or nonsense instead of HTTP; both end with the
                // connection, and a request that was open with its guard.
                _ = &mut serving => return ConnectionState::Closed,
                () = caller.wake.notified() => match caller.close_mode.get() {
                    CloseMode::Open if caller.can_park(self.limits.tuning().buffer_release_after) => return ConnectionState::Parked,
                    CloseMode::Open => {}
                    CloseMode::Immediate if !caller.request_in_progress.get() => return ConnectionState::Closed,
                    _ => serving.as_mut().graceful_shutdown(),
                },
                // Guards against a head that never ends, which a graceful end would await for ever. One that
                // did end meanwhile is a request taken: it is served.
                () = sleep(CLOSE_GRACE_PERIOD), if caller.close_mode.get() != CloseMode::Open => {
                    if !caller.request_in_progress.get() && !caller.stream.is_write_blocked() {
                        return ConnectionState::Closed;
                    }
                }
            }
        }
    }
}

/// What follows on a connection.
#[derive(PartialEq)]
enum ConnectionState {
    Closed,
    Parked,
}

/// Waits until there is something to read on a parked connection; false if it is to end instead.
async fn wait_until_readable(caller: &ClientConnection) -> bool {
    loop {
        tokio::select! {
            biased;
            () = caller.stream.readable() => return true,
            () = caller.wake.notified() => match caller.close_mode.get() {
                CloseMode::Open => {}
                CloseMode::Immediate => return false,
                CloseMode::Graceful if caller.stream.is_quiet() => return false,
                CloseMode::Graceful => {
                    // A request has just come: it is served, and then the connection ends.
                    caller.wake.notify_one();
                    return true;
                }
            },
        }
    }
}
