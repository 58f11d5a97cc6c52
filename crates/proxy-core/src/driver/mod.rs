//! The driver owns the decision module and connects it to the network.
//!
//! It turns network activity into events for the decision module ([`hillstall_decision::Event`]) and carries
//! out the returned actions ([`hillstall_decision::Action`]) in order. The driver itself makes no decisions.
//! It keeps the table of open requests and upholds the guarantees of the decision module's interface: exactly
//! one final response to each request, at most one attempt in flight per request, and exactly one outcome for
//! each attempt.

mod attempts;
mod discovery_watch;
mod dispatch;
mod request_table;
mod zone_traffic;

pub use self::request_table::{AcceptedRequest, RequestGuard};
pub use self::zone_traffic::ZoneTraffic;
pub use crate::permit::SendPermit;
pub use crate::request::{RequestMetadata, RequestTrace};
pub use crate::response::{Completion, FinalResponse};

use self::dispatch::QueuedEvent;
use self::request_table::{OpenRequest, RequestTable};
use crate::clock::{duration_from_ms, ms_from_duration, Clock};
use crate::discovery::Discovery;
use crate::endpoints::{EndpointDirectory, EndpointList};
use crate::metrics::{ClusterSize, Metrics};
use crate::transport::{RequestPayload, Transport};
use hillstall_decision::{Action, Balancer, Event, Millis, ReportField, ReportVia, RequestId, Settings};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The fraction of the configured drain grace period in which new attempts may start at a draining backend.
/// The remainder covers attempts that have been started and have not reached the backend yet.
const DRAIN_GRACE_FRACTION: f64 = 0.75;

/// The mutable state of a driver. It is borrowed while one event is handled, never across an `await`.
struct State<C: Transport> {
    balancer: Balancer,
    /// By zone index; empty if traffic is not counted by zone.
    zone_traffic: Vec<ZoneTraffic>,
    /// Events not yet passed to the decision module.
    events: VecDeque<QueuedEvent>,
    /// Empty between events; kept to reuse its allocation.
    actions: Vec<Action>,
    directory: EndpointDirectory,
    requests: RequestTable<C>,
    /// Version of the endpoint list; `None` after a change of the discovery address, until that address has
    /// sent one.
    list_version: Option<u64>,
    watch_task: Option<AbortHandle>,
}

/// Accepts requests and carries out the decisions of the decision module, over the transport `C`.
pub struct Driver<C: Transport> {
    weak_self: Weak<Driver<C>>,
    clock: Clock,
    transport: Rc<C>,
    discovery: Rc<dyn Discovery>,
    metrics: Rc<Metrics>,
    /// Address of the discovery service in use.
    discovery_address: Cell<SocketAddr>,
    /// Whether the decision module subscribes to the endpoint list by an action; otherwise the driver watches
    /// it from the start.
    must_subscribe: bool,
    max_attempts: u32,
    max_open_requests: usize,
    /// Whether the process is about to exit, so that no more requests are accepted.
    is_closed: Cell<bool>,
    /// Whether health checks ask for the load report.
    probe_load_report: bool,
    /// Index of the CPU utilization in a load report, if the settings have that field.
    cpu_report_index: Option<usize>,
    /// Whether discovery has sent a list since this process started.
    endpoint_list_received: Cell<bool>,
    /// Whether the end of a watch has been logged since discovery last sent a list.
    watch_failure_logged: Cell<bool>,
    /// How long after the start of its drain a backend still gets new attempts.
    drain_grace: Duration,
    state: RefCell<State<C>>,
}

/// The initial configuration of a [`Driver`].
pub struct DriverConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// The cached endpoint list of an earlier run; empty if there is none.
    pub known_endpoints: EndpointList,
    /// Address of the discovery service.
    pub discovery_address: SocketAddr,
    /// Maximum number of open requests. The lower of this and the limit in the settings applies.
    pub max_open_requests: usize,
}

impl<C: Transport> Driver<C> {
    /// Starts the decision module with the cached endpoint list, and the discovery watch. Must be called
    /// within a `tokio` local task set.
    pub fn start(
        config: DriverConfig,
        transport: Rc<C>,
        discovery: Rc<dyn Discovery>,
        metrics: Rc<Metrics>,
    ) -> Rc<Driver<C>> {
        let settings = config.settings;
        let driver = Rc::new_cyclic(|weak_self| Driver {
            weak_self: weak_self.clone(),
            clock: Clock::new(),
            transport,
            discovery,
            metrics,
            discovery_address: Cell::new(config.discovery_address),
            must_subscribe: settings.must_subscribe,
            max_attempts: settings.permissions.max_attempts.min(u32::from(u8::MAX)),
            is_closed: Cell::new(false),
            max_open_requests: config.max_open_requests.min(settings.permissions.max_open as usize),
            probe_load_report: settings.report_via == ReportVia::Probe,
            cpu_report_index: settings.report.iter().position(|field| *field == ReportField::Cpu),
            endpoint_list_received: Cell::new(false),
            watch_failure_logged: Cell::new(false),
            drain_grace: duration_from_ms(settings.rules.drain_grace_ms * DRAIN_GRACE_FRACTION),
            state: RefCell::new(State::new(settings, config.seed, config.known_endpoints.version)),
        });
        driver.apply_cached_list(config.known_endpoints);
        if !driver.must_subscribe {
            driver.start_watch(&mut driver.state.borrow_mut());
        }
        driver
    }

    /// Switches to the discovery service at another address. The current endpoint list stays in use until
    /// that service has sent one.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        if self.discovery_address.replace(discovery) != discovery {
            self.watch_failure_logged.set(false);
            let state = &mut *self.state.borrow_mut();
            state.list_version = None;
            self.start_watch(state);
        }
    }

    /// Whether discovery has sent an endpoint list since this process started.
    pub fn has_endpoint_list(&self) -> bool {
        self.endpoint_list_received.get()
    }

    /// Limits the decision module to this process's share of the per-instance quotas, while `others` more
    /// processes of the same instance run (during an upgrade). 0 gives it the whole quota.
    pub fn share_quota_with(&self, others: usize) {
        self.state.borrow_mut().balancer.set_sharing_processes(others);
    }

    /// Starts counting traffic by zone, for this number of zones.
    pub fn track_zones(&self, zones: usize) {
        self.state.borrow_mut().zone_traffic.resize(zones, ZoneTraffic::default());
    }

    /// The traffic of each zone, by zone index; empty unless [`Driver::track_zones`] was called.
    pub fn zone_traffic(&self) -> Vec<ZoneTraffic> {
        self.state.borrow().zone_traffic.clone()
    }

    /// Tells the decision module to send a zone this fraction (0 to 1) of its usual load, as decided `age_ms`
    /// milliseconds ago.
    pub fn set_zone_fraction(&self, zone: u16, fraction: f64, age_ms: Millis) {
        self.handle_event(Event::ZoneFraction { zone, fraction, age_ms });
    }

    /// The number of known backends, and of those that the decision module currently avoids.
    pub fn cluster_size(&self) -> ClusterSize {
        let (size, unhealthy) = self.state.borrow().balancer.backend_counts(self.clock.now_ms());
        ClusterSize { size, unhealthy }
    }

    /// Accepts a request; `None` if the maximum number of requests is open, or the process is about to exit.
    /// The completion is delivered exactly once, provided that the guard is kept until then. Dropping the
    /// guard earlier reports that the client has disconnected.
    pub fn request(&self, metadata: RequestMetadata, payload: C::Request) -> Option<AcceptedRequest<C>> {
        let state = &mut *self.state.borrow_mut();
        if self.is_closed.get() || state.requests.len() >= self.max_open_requests {
            return None;
        }
        let (responder, completion) = oneshot::channel();
        let id = state.requests.insert(OpenRequest {
            class: metadata.class,
            payload: Rc::new(payload),
            deadline: metadata.deadline,
            responder: Some(responder),
            trace: RequestTrace::new(),
            in_flight: None,
        });
        let timeout = metadata.deadline.saturating_duration_since(Instant::now());
        let event = Event::Request {
            id,
            key: metadata.key,
            class: metadata.class,
            tenant: metadata.tenant,
            expected_work_ms: metadata.expected_work_ms,
            is_retry: metadata.is_retry,
            is_write: metadata.is_write,
            timeout_ms: ms_from_duration(timeout),
        };
        self.handle(state, QueuedEvent::Event(event));
        Some((RequestGuard::new(self.weak_self.clone(), id), completion))
    }

    /// Fails a request that has no final response yet, because its client has disconnected or its deadline is
    /// over.
    fn close(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(id).filter(|open| !open.has_response()) else { return };
        let has_left = open.payload.has_client_left();
        tracing::debug!(
            id = open.payload.id(),
            attempts = open.trace.attempts,
            has_left,
            "request is closed"
        );
        open.respond(FinalResponse::Failed);
        self.handle(state, QueuedEvent::Event(Event::ClientGone { request: id }));
        state.requests.remove_if_finished(id);
    }

    /// Fails all open requests and accepts no more. Called when the process is about to exit.
    pub fn close_all(&self) {
        self.is_closed.set(true);
        let ids = self.state.borrow().requests.ids();
        for id in ids {
            self.close(id);
        }
    }
}

impl<C: Transport> State<C> {
    fn new(settings: Settings, seed: u64, list_version: u64) -> State<C> {
        State {
            directory: EndpointDirectory::new(&settings),
            zone_traffic: Vec::new(),
            balancer: Balancer::new(settings, seed),
            events: VecDeque::new(),
            actions: Vec::new(),
            requests: RequestTable::new(),
            list_version: Some(list_version),
            watch_task: None,
        }
    }
}
