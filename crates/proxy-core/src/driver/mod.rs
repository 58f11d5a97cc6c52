//! The only owner of the decision module.
//!
//! What happens on the sockets becomes an event for the decision module ([`hillstall_decision::Event`]); the
//! actions that it returns ([`hillstall_decision::Action`]) are carried out in order. The driver itself decides
//! nothing. It keeps the table of open requests and the promises of the decision module's interface: one final
//! response to each request, one attempt in flight at a time, and one outcome for each attempt.

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
use crate::transport::Transport;
use hillstall_decision::{Action, Balancer, Event, Millis, ReportField, ReportVia, RequestId, Settings};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::AbortHandle;

/// The part of the rules' drain grace in which the driver still lets new attempts begin at a draining backend.
/// The rest is for those that are on their way when it ends.
const DRAIN_GRACE_FRACTION: f64 = 0.75;

/// The mutable part of a driver. It is borrowed for the length of one event, never over an `await`.
struct State<C: Transport> {
    balancer: Balancer,
    /// By zone; empty where traffic is not counted by zone.
    zone_traffic: Vec<ZoneTraffic>,
    /// Events that the decision module has not seen yet.
    events: VecDeque<QueuedEvent>,
    /// Empty between events; kept for its capacity.
    actions: Vec<Action>,
    directory: EndpointDirectory,
    requests: RequestTable<C>,
    /// The version of the endpoint list; `None` until the discovery followed now has sent one.
    list_version: Option<u64>,
    watch_task: Option<AbortHandle>,
}

/// Takes requests in and carries out what the decision module decides about them, over the transport `C`.
pub struct Driver<C: Transport> {
    weak_self: Weak<Driver<C>>,
    clock: Clock,
    transport: Rc<C>,
    discovery: Rc<dyn Discovery>,
    metrics: Rc<Metrics>,
    /// The discovery that is followed.
    discovery_address: Cell<SocketAddr>,
    /// Whether the decision module subscribes to the list, which is otherwise watched from the start.
    must_subscribe: bool,
    max_attempts: u32,
    max_open_requests: usize,
    /// Whether this process is about to end: no request is accepted any more.
    is_closed: Cell<bool>,
    /// Whether health checks ask for the load report.
    probe_load_report: bool,
    /// The index of the CPU fraction in a load report, if there is one.
    cpu_report_index: Option<usize>,
    /// Whether discovery has sent a list since the start.
    endpoint_list_received: Cell<bool>,
    /// Whether the end of a watch was logged since discovery last sent a list.
    watch_failure_logged: Cell<bool>,
    /// How long after the announcement of its drain a backend is still sent new attempts.
    drain_grace: Duration,
    state: RefCell<State<C>>,
}

/// What a driver starts from.
pub struct DriverConfig {
    /// The decision module's settings.
    pub settings: Settings,
    /// The seed of the decision module's random numbers.
    pub seed: u64,
    /// The endpoint list as it was known last.
    pub known_endpoints: EndpointList,
    /// The address of discovery.
    pub discovery_address: SocketAddr,
    /// The maximum of open requests, beside that of the settings.
    pub max_open_requests: usize,
}

impl<C: Transport> Driver<C> {
    /// Starts the decision module on the list that is known, and the watch on discovery. Must be called within a
    /// `tokio` local task set.
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

    /// Follows discovery at another address from now on. The present list stays in use until one has arrived from
    /// there.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        if self.discovery_address.replace(discovery) != discovery {
            self.watch_failure_logged.set(false);
            let state = &mut *self.state.borrow_mut();
            state.list_version = None;
            self.start_watch(state);
        }
    }

    /// Whether discovery has sent an endpoint list since the start.
    pub fn has_endpoint_list(&self) -> bool {
        self.endpoint_list_received.get()
    }

    /// Has the decision module keep to its part of the quotas that the rules count by proxy, while this many other
    /// processes of the proxy run beside this one.
    pub fn share_quota_with(&self, others: usize) {
        self.state.borrow_mut().balancer.set_sharing_processes(others);
    }

    /// Counts from now on what is sent to each of this many zones.
    pub fn track_zones(&self, zones: usize) {
        self.state.borrow_mut().zone_traffic.resize(zones, ZoneTraffic::default());
    }

    /// What was sent to each zone; empty unless [`Driver::track_zones`] was called.
    pub fn zone_traffic(&self) -> Vec<ZoneTraffic> {
        self.state.borrow().zone_traffic.clone()
    }

    /// Advises the decision module that a zone gets this fraction of its usual load. The advice was given `age_ms`
    /// milliseconds ago.
    pub fn set_zone_fraction(&self, zone: u16, fraction: f64, age_ms: Millis) {
        self.handle_event(Event::ZoneFraction { zone, fraction, age_ms });
    }

    /// The number of backends, and of those that the decision module avoids.
    pub fn cluster_size(&self) -> ClusterSize {
        let (size, unhealthy) = self.state.borrow().balancer.backend_counts(self.clock.now_ms());
        ClusterSize { size, unhealthy }
    }

    /// Accepts a request; `None` if this proxy has its maximum of open requests, or is about to end. The completion
    /// arrives exactly once, if the guard is kept until then; dropping it earlier says that the client has disconnected.
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

    /// Fails a request that has no final response yet: its client has disconnected, or can wait no longer.
    fn close(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(id).filter(|open| !open.has_response()) else { return };
        open.respond(FinalResponse::Failed);
        self.handle(state, QueuedEvent::Event(Event::ClientGone { request: id }));
        state.requests.remove_if_finished(id);
    }

    /// Fails all open requests and accepts no more, as the process is about to end.
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
