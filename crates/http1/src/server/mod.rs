//! The callers' side: connections, `/up`, and the orderly end. What happens with one call is in `call`.

mod access_log;
mod client_connection;
mod request;
mod request_head;
mod response;

use crate::client::HttpClient;
use crate::stream::{HyperStream, TrackedStream};
use client_connection::{Caller, Closing};
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
const TIDY: Duration = Duration::from_millis(100);
/// How many connections are looked at for the one that has said least.
const SHED_LOOKS: usize = 8;
/// How many others may be asked to give way to one connection.
const ADMIT_TRIES: u32 = 4;
/// How long a connection that is to close may take over what it has begun.
const CLOSE_GRACE: Duration = Duration::from_secs(2);
/// After SIGTERM: connections still come for a while, so it ends no sooner. Callers are served on those they
/// have for the first half of the time there is, as the other proxies may be down too; then connections are
/// closed as they fall idle. What is open at the end is failed, before it could be killed unanswered: that is
/// no sooner than the longest deadline, 3 s at most, and 0.7 s more.
const STOP_LEAST: Duration = Duration::from_millis(550);
/// With a newer process none come: time for what the queue held.
const STOP_HANDED_OVER: Duration = Duration::from_millis(100);
const STOP_DEADLINE_MOST: f64 = 3_000.0;
const STOP_MORE: f64 = 400.0;
const STOP_LAST: Duration = Duration::from_millis(150);

/// Serves callers.
pub struct Server {
    driver: Rc<Driver<HttpClient>>,
    upstream: Rc<HttpClient>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    /// The name of the tier this proxy sends to, for the log.
    tier: String,
    retry_after: bool,
    callers: RefCell<FxHashMap<u64, Rc<Caller>>>,
    /// The ids of the requests that are open here.
    open_ids: Rc<RefCell<FxHashSet<String>>>,
    limits: Rc<Limits>,
    next: Cell<u64>,
    started: Instant,
    knows_some: bool,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    /// Tells the accepting task to leave the address to another process.
    leave: Notify,
}

impl Server {
    /// A server for the callers of a deployment.
    pub fn new(
        driver: Rc<Driver<HttpClient>>,
        upstream: Rc<HttpClient>,
        limits: Rc<Limits>,
        (lifecycle, metrics): (Rc<Lifecycle>, Rc<Metrics>),
        settings: &Settings,
        knows_some: bool,
    ) -> Rc<Server> {
        Rc::new(Server {
            driver,
            upstream,
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            tier: settings.stages.get(settings.stage as usize).cloned().unwrap_or_default(),
            retry_after: settings.permissions.retry_after,
            callers: RefCell::default(),
            open_ids: Rc::default(),
            limits,
            next: Cell::new(0),
            started: Instant::now(),
            knows_some,
            lifecycle,
            metrics,
            leave: Notify::new(),
        })
    }

    /// Accepts until a newer process has the address to itself. Without one it goes on while stopping: what
    /// the kernel has taken in counts as taken.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                accepted = listener.accept() => accepted,
                () = self.leave.notified() => break,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream).await,
                // Guards against an end of the loop: out of descriptors, idle connections give way.
                Err(e) if out_of_descriptors(&e) => {
                    let _ = self.shed() || self.upstream.shed();
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
        for _ in 0..ADMIT_TRIES {
            if let Some(counted) = self.limits.client_connections.reserve(1) {
                let (number, caller) = self.enter(stream, counted);
                spawn_local(self.clone().connection(number, caller));
                return;
            }
            // The one that gives way is closed in its own task, unless a request of its came meanwhile.
            if !self.shed() {
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
            self.shed();
        }
        while self.limits.backend_connections.is_exceeded() && self.upstream.shed() {}
        !self.limits.client_connections.is_exceeded() && !self.limits.backend_connections.is_exceeded()
    }

    /// Closes the least useful of the connections that never brought a good request, or else the one that has
    /// been idle longest; false if all are busy.
    fn shed(&self) -> bool {
        let callers = self.callers.borrow();
        // Those that have said nothing go before those that are in the midst of a request, and of these the ones
        // that have paused longest.
        let use_of = |c: &&Rc<Caller>| (c.wire.message_started_at().is_some(), c.wire.last_read());
        for tries_left in (0..SHED_LOOKS).rev() {
            let unproven = callers
                .values()
                .filter(|c| !c.proven.get() && !c.taken.get() && c.closing.get() != Closing::Now);
            let Some(oldest) = unproven.min_by_key(use_of) else { break };
            // What it has said may only be waiting to be read.
            if tries_left > 0 && oldest.wire.message_started_at().is_none() && oldest.wire.has_unread() {
                oldest.wire.mark_message_started();
                continue;
            }
            oldest.close(Closing::Now);
            return true;
        }
        let oldest = callers.values().filter(|c| c.is_idle()).min_by_key(|c| c.used.get());
        oldest.inspect(|caller| caller.close(Closing::InOrder)).is_some()
    }

    /// Closes connections idle since before `limit`, but for those with a request still to be read.
    fn close_idle(&self, limit: Duration) {
        for caller in self.callers.borrow().values() {
            if caller.used.get().elapsed() >= limit && caller.is_idle() {
                caller.close(Closing::InOrder);
            }
        }
    }

    fn close_overdue(&self) {
        let tuning = self.limits.tuning();
        for caller in self.callers.borrow().values().filter(|c| c.is_overdue(tuning.request_timeout)) {
            caller.upload.take();
            caller.taken.set(false);
            caller.close(Closing::Now);
        }
        // One that does not read its answer is owed no more of it.
        for caller in self.callers.borrow().values().filter(|c| c.wire.is_write_stalled(tuning.stall_timeout))
        {
            caller.taken.set(false);
            caller.close(Closing::Now);
        }
    }

    /// Looks after connections on both sides.
    pub async fn tidy(self: Rc<Self>) {
        loop {
            sleep(TIDY).await;
            self.close_overdue();
            let tuning = self.limits.tuning();
            let closes = self.lifecycle.closes_idle(tuning.drain_notice);
            self.close_idle(if closes { tuning.drain_idle_timeout } else { tuning.client_idle_timeout });
            for caller in self.callers.borrow().values().filter(|c| !c.wire.is_write_blocked()) {
                caller.last.take();
            }
            for caller in self
                .callers
                .borrow()
                .values()
                .filter(|c| !c.parked.get() && c.may_park(tuning.buffer_release_after))
            {
                caller.close.notify_one();
            }
            self.upstream.reap();
        }
    }

    /// The orderly end: returns when all that was taken is answered. With a newer process at the same address
    /// callers are sent there at once.
    pub async fn stop(&self, has_newer: bool) {
        let told = Instant::now();
        let longest = self.classes.iter().map(|c| c.deadline_ms).fold(0.0, f64::max).min(STOP_DEADLINE_MOST);
        let most = Duration::from_secs_f64((longest + STOP_MORE) / 1000.0);
        self.lifecycle.stop(if has_newer { Duration::ZERO } else { most / 2 });
        if has_newer {
            self.leave.notify_one();
        }
        sleep(if has_newer { STOP_HANDED_OVER } else { STOP_LEAST }).await;
        while !self.callers.borrow().is_empty() && told.elapsed() < most {
            sleep(Duration::from_millis(20)).await;
        }
        self.driver.close_all();
        let last = Instant::now();
        while self.callers.borrow().values().any(|c| c.taken.get()) && last.elapsed() < STOP_LAST {
            sleep(Duration::from_millis(5)).await;
        }
        // Time for the last answers to be written.
        sleep(Duration::from_millis(20)).await;
    }

    /// Enters a connection among the callers. That is done before anything else is accepted: a burst of
    /// connections that nobody knows of yet would be taken for callers that can't give way.
    fn enter(&self, stream: TcpStream, counted: Reservation) -> (u64, Rc<Caller>) {
        let caller = Rc::new(Caller {
            wire: TrackedStream::for_client(stream, &self.limits.tuning()),
            taken: Cell::new(false),
            proven: Cell::new(false),
            used: Cell::new(Instant::now()),
            last: RefCell::default(),
            upload: RefCell::default(),
            closing: Cell::new(Closing::No),
            parked: Cell::new(false),
            close: Notify::new(),
            _counted: counted,
        });
        let number = self.next.replace(self.next.get() + 1);
        self.callers.borrow_mut().insert(number, caller.clone());
        (number, caller)
    }

    async fn connection(self: Rc<Self>, number: u64, caller: Rc<Caller>) {
        // On the heap, so that a connection that only waits does not hold room for it. What a new one has said is
        // read at once: until then it looks like one that says nothing, and would be the first to give way.
        while Box::pin(self.talk(&caller)).await == After::Parks {
            caller.parked.set(true);
            if !awake(&caller).await {
                break;
            }
            caller.parked.set(false);
        }
        self.callers.borrow_mut().remove(&number);
    }

    /// Speaks HTTP on a connection until it is over, or rests and can be parked.
    async fn talk(self: &Rc<Self>, caller: &Rc<Caller>) -> After {
        let service =
            service_fn(|request| async move { Ok::<_, Infallible>(self.serve(caller, request).await) });
        let io = HyperStream(caller.wire.clone());
        let serving =
            http1::Builder::new().max_buf_size(self.limits.tuning().read_ahead).serve_connection(io, service);
        tokio::pin!(serving);
        loop {
            tokio::select! {
                biased;
                // An error here is the caller's leaving or nonsense instead of HTTP; both end with the
                // connection, and a request that was open with its guard.
                _ = &mut serving => return After::Over,
                () = caller.close.notified() => match caller.closing.get() {
                    Closing::No if caller.may_park(self.limits.tuning().buffer_release_after) => return After::Parks,
                    Closing::No => {}
                    Closing::Now if !caller.taken.get() => return After::Over,
                    _ => serving.as_mut().graceful_shutdown(),
                },
                // Guards against a head that never ends, which a graceful end would await for ever. One that
                // did end meanwhile is a request taken: it is served.
                () = sleep(CLOSE_GRACE), if caller.closing.get() != Closing::No => {
                    if !caller.taken.get() && !caller.wire.is_write_blocked() {
                        return After::Over;
                    }
                }
            }
        }
    }
}

/// What follows on a connection.
#[derive(PartialEq)]
enum After {
    Over,
    Parks,
}

/// Waits until there is something to read on a parked connection; false if it is to end instead.
async fn awake(caller: &Caller) -> bool {
    loop {
        tokio::select! {
            biased;
            () = caller.wire.readable() => return true,
            () = caller.close.notified() => match caller.closing.get() {
                Closing::No => {}
                Closing::Now => return false,
                Closing::InOrder if caller.wire.is_quiet() => return false,
                Closing::InOrder => {
                    // A request has just come: it is served, and then the connection ends.
                    caller.close.notify_one();
                    return true;
                }
            },
        }
    }
}
