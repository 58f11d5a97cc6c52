//! The only owner of the decision module. What happens on the sockets becomes an [`Event`]; the [`Action`]s
//! that the module gives are carried out in order. Nothing is decided here: this keeps the table of open
//! requests and the promises of the interface, which are one final answer for each request, one attempt out
//! at a time, and one outcome for each send.

use crate::discovery::{self, Discovery};
use crate::endpoints::{BackendAddress, EndpointDirectory, EndpointList};
use crate::metrics::{ClusterSize, Metrics};
use crate::transport::{Attempt, AttemptResult, RequestPayload, Transport};
use hillstall_decision::Balancer;
use hillstall_decision::{
    Action, BackendId, BackendInfo, Event, ListKind, LoadReport, Millis, Outcome, ReportField, ReportVia,
    RequestId, Settings, UnservedReason,
};
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, AbortHandle};

/// Longest time that can be asked for or waited; keeps arithmetic on instants in range.
const MAX_DURATION_MS: Millis = 3.6e6;

/// Part of the time that the rules leave after a drain was told in which this lets something new begin. It guards
/// the rule whatever the module says; the rest is for what is on its way.
const DRAIN_GRACE_FRACTION: f64 = 0.75;

/// The final answer to a caller.
pub enum FinalResponse<C: Transport> {
    /// A backend's answer.
    Served(C::Response),
    /// Trying again is harmless; not before so many milliseconds, if above 0.
    Rejected(Millis),
    /// Promises nothing.
    Failed,
    /// A backend found fault with the request itself, and would again.
    InvalidRequest(C::InvalidRequest),
}

/// How a call went, for the log.
#[derive(Clone, Copy, Debug)]
pub struct RequestTrace {
    /// Attempts made.
    pub attempts: u32,
    /// The server of the last one.
    pub backend_address: Option<SocketAddr>,
    /// When the call was taken.
    pub accepted_at: Instant,
    /// When its first attempt was sent.
    pub first_attempt_at: Option<Instant>,
    /// When its last attempt was sent.
    pub last_attempt_at: Option<Instant>,
    /// How the last attempt that ended did.
    pub last_outcome: Option<Outcome>,
    /// Why the module refused or failed it.
    pub reason: Option<UnservedReason>,
}

impl RequestTrace {
    fn new() -> RequestTrace {
        let (server, first_sent, last_sent, last_outcome) = (None, None, None, None);
        RequestTrace {
            attempts: 0,
            backend_address: server,
            accepted_at: Instant::now(),
            first_attempt_at: first_sent,
            last_attempt_at: last_sent,
            last_outcome,
            reason: None,
        }
    }
}

/// The end of a call.
pub struct Completion<C: Transport> {
    /// The final answer.
    pub response: FinalResponse<C>,
    /// How it came about.
    pub trace: RequestTrace,
}

/// What a request is, in the module's terms.
pub struct RequestMetadata {
    /// Its class.
    pub class: u8,
    /// Its tenant.
    pub tenant: u16,
    /// What it is about.
    pub key: Option<u64>,
    /// Expected work.
    pub expected_work_ms: Option<Millis>,
    /// A client's repeat.
    pub is_retry: bool,
    /// It writes.
    pub is_write: bool,
    /// When its client leaves.
    pub deadline: Instant,
}

/// Unix time in milliseconds that never goes back.
struct Clock {
    start: Instant,
    unix_ms: Millis,
}

impl Clock {
    fn new() -> Clock {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), unix_ms: unix.as_secs_f64() * 1000.0 }
    }

    fn now(&self) -> Millis {
        self.unix_ms + self.start.elapsed().as_secs_f64() * 1000.0
    }
}

impl<C: Transport> OpenRequest<C> {
    /// Gives the final answer, unless there was one.
    fn answer(&mut self, answer: FinalResponse<C>) {
        if let Some(sender) = self.responder.take() {
            // Fails only where the caller has just left.
            let _ = sender.send(Completion { response: answer, trace: self.trace });
        }
    }
}

struct InFlightAttempt {
    attempt: u8,
    backend: BackendId,
    cancel: Option<oneshot::Sender<()>>,
}

struct OpenRequest<C: Transport> {
    class: u8,
    request: Rc<C::Request>,
    deadline: Instant,
    /// Taken by the final answer; empty from then on, and once the caller has left.
    responder: Option<oneshot::Sender<Completion<C>>>,
    trace: RequestTrace,
    in_flight: Option<InFlightAttempt>,
}

enum QueuedEvent {
    List(ListKind, u32, Vec<BackendInfo>),
    Event(Event<'static>),
}

/// What was sent to a zone since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ZoneTraffic {
    /// Attempts.
    pub sent: u64,
    /// Those that a server answered.
    pub answered: u64,
    /// Those that ended in silence: no connection, a broken one, or no answer in time.
    pub unanswered: u64,
    /// The part of its CPU that a server used, added up over the answers that told it, and how many did.
    pub busy: (f64, u64),
}

struct State<C: Transport> {
    balancer: Balancer,
    /// By zone; empty where nobody wants to know.
    to_zones: Vec<ZoneTraffic>,
    happened: VecDeque<QueuedEvent>,
    actions: Vec<Action>,
    directory: EndpointDirectory,
    open: FxHashMap<RequestId, OpenRequest<C>>,
    next_id: RequestId,
    /// The version held; `None` until the present discovery has told its own.
    index: Option<u64>,
    watch: Option<AbortHandle>,
}

/// See the module's text.
pub struct Driver<C: Transport> {
    me: Weak<Driver<C>>,
    clock: Clock,
    carrier: Rc<C>,
    discovery: Rc<dyn Discovery>,
    metrics: Rc<Metrics>,
    listed_at: Cell<SocketAddr>,
    must_subscribe: bool,
    max_attempts: u32,
    max_open: usize,
    probes_report: bool,
    /// The place of the CPU in a server's report.
    cpu_at: Option<usize>,
    listed: Cell<bool>,
    /// Whether a watch has failed since discovery was heard last.
    unheard: Cell<bool>,
    /// How long after a drain was told something new may begin at a server.
    leave_grace: Duration,
    state: RefCell<State<C>>,
}

/// What a driver starts from.
pub struct DriverConfig {
    /// The module's settings.
    pub settings: Settings,
    /// For the module's random numbers.
    pub seed: u64,
    /// The servers as they were known last.
    pub known_endpoints: EndpointList,
    /// Where discovery answers.
    pub discovery: SocketAddr,
    /// The most calls open at once.
    pub max_open_requests: usize,
}

impl<C: Transport> Driver<C> {
    /// Starts the module on the list that is known, and the watch on discovery.
    pub fn start(
        start: DriverConfig,
        carrier: Rc<C>,
        discovery: Rc<dyn Discovery>,
        metrics: Rc<Metrics>,
    ) -> Rc<Driver<C>> {
        let settings = start.settings;
        let driver = Rc::new_cyclic(|me| Driver {
            me: me.clone(),
            clock: Clock::new(),
            carrier,
            discovery,
            metrics,
            listed_at: Cell::new(start.discovery),
            must_subscribe: settings.must_subscribe,
            max_attempts: settings.permissions.max_attempts.min(u32::from(u8::MAX)),
            max_open: start.max_open_requests.min(settings.permissions.max_open as usize),
            probes_report: settings.report_via == ReportVia::Probe,
            cpu_at: settings.report.iter().position(|field| *field == ReportField::Cpu),
            listed: Cell::new(false),
            unheard: Cell::new(false),
            leave_grace: duration_from_ms(settings.rules.drain_grace_ms * DRAIN_GRACE_FRACTION),
            state: RefCell::new(State {
                directory: EndpointDirectory::new(&settings),
                to_zones: Vec::new(),
                balancer: Balancer::new(settings, start.seed),
                happened: VecDeque::new(),
                actions: Vec::new(),
                open: FxHashMap::default(),
                next_id: 1,
                index: Some(start.known_endpoints.index),
                watch: None,
            }),
        });
        // A complete list, whatever it says of itself: it is all that this proxy held.
        driver.apply_list(&EndpointList { snapshot: true, ..start.known_endpoints }, Some(ListKind::Cached));
        if !driver.must_subscribe {
            driver.watch(&mut driver.state.borrow_mut());
        }
        driver
    }

    /// Follows the list at another address from now on. What is held stays in use until that one has told.
    pub fn set_discovery(&self, discovery: SocketAddr) {
        if self.listed_at.replace(discovery) != discovery {
            self.unheard.set(false);
            let state = &mut *self.state.borrow_mut();
            state.index = None;
            self.watch(state);
        }
    }

    /// Whether discovery has been heard since the start.
    pub fn has_endpoint_list(&self) -> bool {
        self.listed.get()
    }

    /// Has the module keep to its part of what the rules count by proxy, with other processes beside it.
    pub fn share_quota_with(&self, others: usize) {
        self.state.borrow_mut().balancer.share_with(others);
    }

    /// Counts from now on what is sent to each of so many zones.
    pub fn track_zones(&self, zones: usize) {
        self.state.borrow_mut().to_zones.resize(zones, ZoneTraffic::default());
    }

    /// What was sent to each zone, where it is counted.
    pub fn zone_traffic(&self) -> Vec<ZoneTraffic> {
        self.state.borrow().to_zones.clone()
    }

    /// A hint for the module: a zone gets this part of its usual load.
    pub fn set_zone_fraction(&self, zone: u16, part: f64, age_ms: Millis) {
        self.event(Event::ZoneFraction { zone, fraction: part, age_ms });
    }

    /// The backends as the module sees them.
    pub fn cluster(&self) -> ClusterSize {
        let (size, unhealthy) = self.state.borrow().balancer.listed(self.clock.now());
        ClusterSize { size, unhealthy }
    }

    // ---- what happens ----

    fn apply_list(&self, list: &EndpointList, kind: Option<ListKind>) {
        let state = &mut *self.state.borrow_mut();
        let changes = state.directory.apply(list, Instant::now());
        changes.stale.into_iter().for_each(|backend| self.carrier.close_idle(backend));
        changes.leaving.into_iter().for_each(|backend| self.close_later(backend));
        let infos = changes.infos;
        let used: FxHashSet<BackendId> =
            state.open.values().filter_map(|o| o.in_flight.as_ref()).map(|o| o.backend).collect();
        state.directory.remove_gone(|backend| used.contains(&backend));
        state.index = Some(list.index);
        if kind.is_none() {
            self.listed.set(true);
            self.unheard.set(false);
        }
        let kind = kind.unwrap_or(if list.snapshot { ListKind::Full } else { ListKind::Delta });
        self.handle(state, QueuedEvent::List(kind, list.index as u32, infos));
    }

    /// Lets go of the connections to a server that leaves, once nothing new may begin there.
    fn close_later(&self, backend: BackendId) {
        let grace = self.leave_grace;
        self.after(grace, move |driver| {
            let place = driver.state.borrow().directory.backend(backend);
            if place.is_some_and(|place| !place.accepts_new(Instant::now(), grace)) {
                driver.carrier.close_idle(backend);
            }
        });
    }

    /// Tells why a watch ended: one line for each spell of trouble, until discovery is heard again, not for each try.
    fn watch_ended(&self, address: SocketAddr, why: &str) {
        if !self.unheard.replace(true) {
            tracing::warn!(%address, "discovery watch: {why}; opening it again");
        }
    }

    /// Takes a request in; `None` if this proxy holds as many as it can. The answer comes exactly once, if
    /// the guard is kept until then; dropping it earlier tells that the caller has left.
    pub fn request(&self, asked: RequestMetadata, call: C::Request) -> Option<AcceptedRequest<C>> {
        let state = &mut *self.state.borrow_mut();
        if state.open.len() >= self.max_open {
            return None;
        }
        let id = state.next_id;
        state.next_id += 1;
        let (answer, receiver) = oneshot::channel();
        let open = OpenRequest {
            class: asked.class,
            request: Rc::new(call),
            deadline: asked.deadline,
            responder: Some(answer),
            trace: RequestTrace::new(),
            in_flight: None,
        };
        state.open.insert(id, open);
        let ttl = asked.deadline.saturating_duration_since(Instant::now());
        let event = Event::Request {
            id,
            key: asked.key,
            class: asked.class,
            tenant: asked.tenant,
            expected_work_ms: asked.expected_work_ms,
            is_retry: asked.is_retry,
            is_write: asked.is_write,
            timeout_ms: ttl.as_secs_f64() * 1000.0,
        };
        self.handle(state, QueuedEvent::Event(event));
        Some((RequestGuard { driver: self.me.clone(), id }, receiver))
    }

    /// The caller has left, or can be kept waiting no longer: fails what is still owed.
    fn close(&self, id: RequestId) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.open.get_mut(&id) else { return };
        if open.responder.is_none() {
            return;
        }
        open.answer(FinalResponse::Failed);
        self.handle(state, QueuedEvent::Event(Event::ClientGone { request: id }));
        Self::forget(state, id);
    }

    /// Fails all that is open: the process is about to end.
    pub fn close_all(&self) {
        let ids: Vec<RequestId> = self.state.borrow().open.keys().copied().collect();
        ids.into_iter().for_each(|id| self.close(id));
    }

    fn attempt_ended(&self, request: RequestId, backend: BackendId, sent: Instant, ended: AttemptResult<C>) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.open.get_mut(&request) else { return };
        let Some(out) = open.in_flight.take() else { return };
        let last = match (ended.response, ended.invalid_request) {
            (Some(answer), _) => Some(FinalResponse::Served(answer)),
            (None, Some(why)) => Some(FinalResponse::InvalidRequest(why)),
            (None, None) => None,
        };
        open.trace.last_outcome = Some(ended.outcome);
        // Where nobody counts, nothing is looked up.
        let counted = !state.to_zones.is_empty();
        let place = if counted { state.directory.backend(backend) } else { None };
        let zone = place.map(|place| usize::from(place.zone));
        if let Some(to) = zone.and_then(|zone| state.to_zones.get_mut(zone)) {
            match ended.outcome {
                Outcome::Ok | Outcome::Error | Outcome::Rejected => to.answered += 1,
                Outcome::Timeout | Outcome::ConnectFailed | Outcome::Reset => to.unanswered += 1,
                Outcome::Cancelled | Outcome::NotSent => {}
            }
            let cpu = self.cpu_at.filter(|at| *at < usize::from(ended.load_report.len));
            if let Some(cpu) =
                cpu.and_then(|at| ended.load_report.values.get(at)).filter(|cpu| cpu.is_finite())
            {
                to.busy = (to.busy.0 + f64::from(*cpu), to.busy.1 + 1);
            }
        }
        if let Some(last) = last {
            open.answer(last);
        }
        // A backend begins a request with its last byte, which a slow caller may send much later.
        let begun = open.request.completed_at().map_or(sent, |whole| whole.max(sent));
        let event = Event::Outcome {
            request,
            attempt: out.attempt,
            backend,
            outcome: ended.outcome,
            took_ms: ended.ended_at.saturating_duration_since(begun).as_secs_f64() * 1000.0,
            ended: open.responder.is_none(),
            report: ended.load_report,
        };
        self.handle(state, QueuedEvent::Event(event));
        Self::forget(state, request);
    }

    fn event(&self, event: Event<'static>) {
        self.handle(&mut self.state.borrow_mut(), QueuedEvent::Event(event));
    }

    /// Gives one happening to the module and carries out what it wants, with all that follows at once.
    /// Carrying out only queues and spawns, so the module is never entered from within itself.
    fn handle(&self, state: &mut State<C>, happening: QueuedEvent) {
        state.happened.push_back(happening);
        while let Some(happening) = state.happened.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            let event = match &happening {
                QueuedEvent::Event(event) => *event,
                QueuedEvent::List(kind, version, backends) => {
                    Event::EndpointsChanged { kind: *kind, version: *version, backends }
                }
            };
            state.balancer.handle(self.clock.now(), event, &mut actions);
            for action in actions.drain(..) {
                self.dispatch(state, action);
            }
            state.actions = actions;
        }
    }

    // ---- what is to be done ----

    fn dispatch(&self, state: &mut State<C>, action: Action) {
        match action {
            Action::Send { request, backend, timeout_ms } => self.send(state, request, backend, timeout_ms),
            Action::Reject { request, retry_after_ms, reason: why } => {
                self.finish(state, request, FinalResponse::Rejected(retry_after_ms), why);
            }
            Action::Fail { request, reason: why } => self.finish(state, request, FinalResponse::Failed, why),
            Action::Cancel { request, attempt } => {
                let out = state.open.get_mut(&request).and_then(|open| open.in_flight.as_mut());
                if let Some(cancel) = out.filter(|o| o.attempt == attempt).and_then(|o| o.cancel.take()) {
                    let _ = cancel.send(());
                }
            }
            Action::SetTimer { after_ms, token } => {
                self.after(duration_from_ms(after_ms), move |driver| driver.event(Event::Timer { token }));
            }
            Action::Probe { backend } => self.probe(state, backend),
            Action::CloseIdle { backend } => self.carrier.close_idle(backend),
            // The protocol has no form for these, and the settings permit none.
            Action::Message { .. } => {}
            Action::Subscribe { on: true } => self.watch(state),
            Action::Subscribe { on: false } => {
                if let Some(watch) = state.watch.take() {
                    watch.abort();
                }
            }
            Action::Fetch => self.fetch(),
            // The module limits these itself.
            Action::Log(line) => tracing::info!(target: "hillstall::module", "{line}"),
        }
    }

    fn finish(&self, state: &mut State<C>, request: RequestId, with: FinalResponse<C>, why: UnservedReason) {
        if let Some(open) = state.open.get_mut(&request) {
            open.trace.reason = Some(why);
            self.metrics.unserved(open.class, why);
            open.answer(with);
        }
        Self::forget(state, request);
    }

    /// Drops a request that is over and has no attempt out.
    fn forget(state: &mut State<C>, request: RequestId) {
        if state.open.get(&request).is_some_and(|open| open.responder.is_none() && open.in_flight.is_none()) {
            state.open.remove(&request);
        }
    }

    fn send(&self, state: &mut State<C>, request: RequestId, backend: BackendId, timeout_ms: Millis) {
        let place = state.directory.backend(backend);
        let open = state.open.get_mut(&request);
        // Guards the rules whatever the module says: nothing for a request that is over, no second copy, no
        // attempt past the most, no body that is spent.
        let fit = open.filter(|o| {
            let again = o.trace.attempts < self.max_attempts && !o.request.is_consumed();
            o.responder.is_some() && o.in_flight.is_none() && again
        });
        let (Some(open), Some(place)) = (fit, place) else {
            let event = Event::Outcome {
                request,
                attempt: state.open.get(&request).map_or(0, |open| open.trace.attempts as u8),
                backend,
                outcome: Outcome::NotSent,
                took_ms: 0.0,
                ended: state.open.get(&request).is_none_or(|open| open.responder.is_none()),
                report: LoadReport::default(),
            };
            state.happened.push_back(QueuedEvent::Event(event));
            return;
        };
        let (cancel, cancelled) = oneshot::channel();
        open.in_flight =
            Some(InFlightAttempt { attempt: open.trace.attempts as u8, backend, cancel: Some(cancel) });
        let sent = Instant::now();
        if let Some(to) = state.to_zones.get_mut(usize::from(place.zone)) {
            to.sent += 1;
        }
        open.trace.attempts += 1;
        open.trace.backend_address = Some(place.address);
        open.trace.first_attempt_at = open.trace.first_attempt_at.or(Some(sent));
        open.trace.last_attempt_at = Some(sent);
        let deadline = open.deadline;
        let most =
            if timeout_ms == 0.0 { duration_from_ms(MAX_DURATION_MS) } else { duration_from_ms(timeout_ms) };
        let call = open.request.clone();
        let sends = self.metrics.sends(open.class);
        let me = self.me.clone();
        spawn_local(async move {
            let Some(driver) = me.upgrade() else { return };
            let permit = SendPermit { driver: driver.clone(), request, backend, address: place };
            let address = place.address;
            let attempt = Attempt {
                request: call,
                backend,
                address,
                deadline,
                timeout: most,
                sent_counter: sends,
                permit,
            };
            let attempt = driver.carrier.clone().attempt(attempt);
            let ended = tokio::select! {
                biased;
                ended = attempt => ended,
                // The attempt was dropped, and its connection closed, before this is told.
                Ok(()) = cancelled => AttemptResult::now(Outcome::Cancelled),
            };
            driver.attempt_ended(request, backend, sent, ended);
        });
    }

    /// Does something in a while, if this still runs then.
    fn after(&self, wait: Duration, then: impl FnOnce(&Driver<C>) + 'static) {
        let me = self.me.clone();
        spawn_local(async move {
            tokio::time::sleep(wait).await;
            if let Some(driver) = me.upgrade() {
                then(&driver);
            }
        });
    }

    fn probe(&self, state: &State<C>, backend: BackendId) {
        let (me, carrier, report) = (self.me.clone(), self.carrier.clone(), self.probes_report);
        let (place, sent) = (state.directory.backend(backend), Instant::now());
        spawn_local(async move {
            let ended = match place {
                Some(place) => carrier.probe(place.address, report).await,
                None => AttemptResult::now(Outcome::NotSent),
            };
            let Some(driver) = me.upgrade() else { return };
            let took_ms = ended.ended_at.saturating_duration_since(sent).as_secs_f64() * 1000.0;
            let (outcome, report) = (ended.outcome, ended.load_report);
            driver.event(Event::ProbeResult { backend, outcome, took_ms, report });
        });
    }

    /// Follows the list from the version held. Where lists are pushed this goes on for ever; where they are
    /// asked for, the module is told of the end and decides when to ask again.
    fn watch(&self, state: &mut State<C>) {
        if let Some(watch) = state.watch.take() {
            watch.abort();
        }
        let (me, address, ask) = (self.me.clone(), self.listed_at.get(), self.must_subscribe);
        let discovery = self.discovery.clone();
        let mut index = state.index;
        let mut take = move |list: EndpointList| {
            if let Some(driver) = me.upgrade() {
                driver.apply_list(&list, None);
            }
        };
        let me = self.me.clone();
        let watch = spawn_local(async move {
            if !ask {
                let tell = |why: &str| {
                    if let Some(driver) = me.upgrade() {
                        driver.watch_ended(address, why);
                    }
                };
                return discovery::follow(discovery, address, index, take, tell).await;
            }
            let why = discovery.watch(address, &mut index, &mut take).await;
            if let Some(driver) = me.upgrade() {
                driver.watch_ended(address, &why);
                driver.list_failed();
            }
        });
        state.watch = Some(watch.abort_handle());
    }

    fn fetch(&self) {
        let (me, address) = (self.me.clone(), self.listed_at.get());
        let discovery = self.discovery.clone();
        spawn_local(async move {
            let list = discovery.fetch(address).await;
            let Some(driver) = me.upgrade() else { return };
            match list.filter(|_| driver.listed_at.get() == address) {
                Some(list) => driver.apply_list(&list, None),
                None => driver.list_failed(),
            }
        });
    }

    fn list_failed(&self) {
        let state = &mut *self.state.borrow_mut();
        let version = state.index.unwrap_or_default() as u32;
        self.handle(state, QueuedEvent::List(ListKind::Failed, version, Vec::new()));
    }
}

fn duration_from_ms(ms: Millis) -> Duration {
    Duration::from_secs_f64(if ms.is_finite() { ms.clamp(0.0, MAX_DURATION_MS) / 1000.0 } else { 0.0 })
}

/// A call that was taken: its guard, and where its final answer comes.
pub type AcceptedRequest<C> = (RequestGuard<C>, oneshot::Receiver<Completion<C>>);

/// Stands for a caller that waits.
pub struct RequestGuard<C: Transport> {
    driver: Weak<Driver<C>>,
    id: RequestId,
}

impl<C: Transport> RequestGuard<C> {
    /// Fails the request if it still has no answer.
    pub fn close(&self) {
        if let Some(driver) = self.driver.upgrade() {
            driver.close(self.id);
        }
    }
}

impl<C: Transport> Drop for RequestGuard<C> {
    fn drop(&mut self) {
        self.close();
    }
}

/// What an attempt may do, by the list and the call as they are when it asks: by then the server may drain, or
/// another may stand at its address, or the caller may have its answer.
pub struct SendPermit<C: Transport> {
    driver: Rc<Driver<C>>,
    request: RequestId,
    backend: BackendId,
    address: BackendAddress,
}

impl<C: Transport> SendPermit<C> {
    /// Whether the first byte may go out.
    pub fn may_send(&self) -> bool {
        let wanted = {
            let state = self.driver.state.borrow();
            state.open.get(&self.request).is_some_and(|open| open.responder.is_some())
        };
        wanted && self.is_backend_current()
    }

    /// Whether a connection to the server is still of use.
    pub fn is_backend_current(&self) -> bool {
        let state = self.driver.state.borrow();
        state.directory.backend(self.backend).is_some_and(|place| {
            place.is_same_process(&self.address) && place.accepts_new(Instant::now(), self.driver.leave_grace)
        })
    }
}
