//! The event loop: passes frames, requests and clock ticks to the consensus node, and processes the node's
//! outputs.

use super::audit::{log_audit_event, LogKind, LogLimiter};
use super::handle::{Advisory, InstanceLocation, RuntimeRequest};
use crate::admin_commands::render;
use crate::connections::{ConnectionEvent, LocalIdentity, OutboundConnection};
use crate::millis;
use crate::redb_storage::RedbStorage;
use crate::settings::Settings;
use bytes::Bytes;
use hillstall_change_freeze::state::FreezeCommand;
use hillstall_consensus::frame::Frame;
use hillstall_consensus::node::{Destination, Node, NodeConfig, Output};
use hillstall_consensus::state::Command;
use hillstall_lease::{Instance, Millis};
use hillstall_maintenance::windows::{WindowCommand, WindowPlan};
use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::mpsc::{Sender, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::time::{interval, MissedTickBehavior};

/// Time between two ticks of the consensus node.
const TICK_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum number of connection events that are handled before their results are stored and sent.
const MAX_EVENTS_PER_WRITE: usize = 128;
/// Time between two checks of the window calendar.
const CALENDAR_INTERVAL: Duration = Duration::from_secs(1);
/// How far ahead recurring windows are planned.
const PLANNING_HORIZON_MS: Millis = 24 * 3_600_000;

/// A follower that has opened a connection to this replica.
struct AttachedInstance {
    connection: u64,
    queue: Sender<Bytes>,
}

/// The state of the event loop.
pub(super) struct Runtime {
    pub(super) settings: Settings,
    pub(super) location: InstanceLocation,
    pub(super) identity: LocalIdentity,
    pub(super) node: Node<RedbStorage>,
    /// Where to send the answers to admin commands that wait for an outcome from the replicas, by ticket.
    pub(super) pending_responses: BTreeMap<u64, oneshot::Sender<String>>,
    /// The last ticket assigned to an admin command.
    pub(super) last_ticket: u64,
    /// When this loop was created; the node's monotonic time starts here.
    started_at: Instant,
    events: UnboundedSender<ConnectionEvent>,
    /// The connections that this instance opened, by the replica's slot.
    outbound: BTreeMap<usize, OutboundConnection>,
    attached: BTreeMap<Instance, AttachedInstance>,
    advisories: UnboundedSender<Advisory>,
    /// Notified once all leases are released; set while the process shuts down.
    released: Option<oneshot::Sender<()>>,
    calendar_checked_at: Instant,
    log_limiter: LogLimiter,
}

impl Runtime {
    pub(super) fn new(
        settings: Settings,
        location: InstanceLocation,
        identity: LocalIdentity,
        storage: Option<RedbStorage>,
        events: UnboundedSender<ConnectionEvent>,
        advisories: UnboundedSender<Advisory>,
    ) -> Runtime {
        let started_at = Instant::now();
        let config = node_config(&settings, &location, &identity);
        Runtime {
            node: Node::start(config, storage, 0),
            settings,
            location,
            identity,
            pending_responses: BTreeMap::new(),
            last_ticket: 0,
            started_at,
            events,
            outbound: BTreeMap::new(),
            attached: BTreeMap::new(),
            advisories,
            released: None,
            calendar_checked_at: started_at,
            log_limiter: LogLimiter::default(),
        }
    }

    /// Runs until the proxy drops its [`super::CoordinationHandle`].
    pub(super) async fn run(
        mut self,
        mut requests: UnboundedReceiver<RuntimeRequest>,
        mut events: UnboundedReceiver<ConnectionEvent>,
    ) {
        self.connect_to_other_replicas();
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = ticks.tick() => self.on_tick(),
                event = events.recv() => {
                    if let Some(event) = event {
                        self.on_connection_event(event);
                    }
                    self.on_queued_events(&mut events);
                }
                request = requests.recv() => match request {
                    Some(request) => self.on_request(request),
                    None => return,
                },
            }
            self.process_outputs();
            self.notify_released();
        }
    }

    /// The node's monotonic time: milliseconds since `started_at`.
    fn now(&self) -> Millis {
        millis(self.started_at.elapsed())
    }

    /// Connects a replica to all others. A follower does nothing here: its node chooses the replica by
    /// [`Output::Follow`].
    fn connect_to_other_replicas(&mut self) {
        let Some(own_slot) = self.identity.slot else { return };
        for slot in (0..self.settings.replicas.len()).filter(|slot| *slot != own_slot) {
            self.connect(slot);
        }
    }

    fn connect(&mut self, slot: usize) {
        let address = self.settings.replicas[slot];
        let connection = OutboundConnection::open(slot, address, self.identity.clone(), self.events.clone());
        self.outbound.insert(slot, connection);
    }

    fn on_tick(&mut self) {
        let now = self.now();
        self.node.tick(now, unix_millis());
        if self.calendar_checked_at.elapsed() >= CALENDAR_INTERVAL {
            self.calendar_checked_at = Instant::now();
            self.plan_recurring_windows(now);
        }
    }

    /// If this replica is the leader, plans the next window of each recurrence that starts within the
    /// planning horizon.
    fn plan_recurring_windows(&mut self, now: Millis) {
        if !self.node.replica().is_some_and(|replica| replica.is_leader()) {
            return;
        }
        let time = self.node.consensus_time(now, unix_millis());
        for recurrence in &self.settings.windows {
            let next = recurrence.next(time).filter(|next| next.starts_at < time + PLANNING_HORIZON_MS);
            let Some(next) = next else { continue };
            let plan = recurrence.plan(next);
            if !is_planned(&self.node, &plan) {
                let command = WindowCommand::Plan(plan);
                self.node.submit(now, Command::Window { token: None, command });
            }
        }
    }

    /// Handles the events that are already queued, so that their results are stored in one write.
    fn on_queued_events(&mut self, events: &mut UnboundedReceiver<ConnectionEvent>) {
        for _ in 0..MAX_EVENTS_PER_WRITE {
            let Ok(event) = events.try_recv() else { return };
            self.on_connection_event(event);
        }
    }

    fn on_connection_event(&mut self, event: ConnectionEvent) {
        let now = self.now();
        match event {
            ConnectionEvent::ReplicaFrame { slot, frame } => self.on_replica_frame(now, slot, frame),
            ConnectionEvent::InstanceFrame { instance, connection, frame } => {
                if self.is_current(instance, connection) {
                    self.node.on_instance_frame(now, instance, frame);
                }
            }
            ConnectionEvent::Attached { instance, connection, queue } => {
                self.attached.insert(instance, AttachedInstance { connection, queue });
                self.node.on_attached(now, instance);
            }
            ConnectionEvent::Detached { instance, connection } => {
                if self.is_current(instance, connection) {
                    self.attached.remove(&instance);
                    self.node.on_detached(instance);
                }
            }
            ConnectionEvent::ReplicaConnection { slot, is_up } => self.node.on_connection(slot, is_up),
            ConnectionEvent::Unreadable { error } => {
                if let Some(suppressed) = self.log_limiter.admit(LogKind::Connection) {
                    tracing::warn!(suppressed, error, "coordination: unreadable data on a connection");
                }
            }
            ConnectionEvent::Refused { source } => {
                if let Some(suppressed) = self.log_limiter.admit(LogKind::Connection) {
                    tracing::warn!(
                        suppressed, %source,
                        "coordination: connection rejected; source not allowed or too many connections"
                    );
                }
            }
        }
    }

    fn on_replica_frame(&mut self, now: Millis, slot: usize, frame: Frame) {
        if slot < self.settings.replicas.len() {
            self.node.on_replica_frame(now, slot, frame);
        } else if let Some(suppressed) = self.log_limiter.admit(LogKind::UnknownSlot) {
            tracing::warn!(
                suppressed,
                slot,
                "coordination: frame from a replica slot that is not configured; dropped"
            );
        }
    }

    /// Whether this is the instance's newest connection; events of older ones are ignored.
    fn is_current(&self, instance: Instance, connection: u64) -> bool {
        self.attached.get(&instance).is_some_and(|attached| attached.connection == connection)
    }

    fn on_request(&mut self, request: RuntimeRequest) {
        let now = self.now();
        match request {
            RuntimeRequest::LoadReport(report) => self.node.on_report(now, report),
            RuntimeRequest::PlatformSignal(signal) => self.record_signal(now, signal),
            RuntimeRequest::ReleaseLeases { released } => {
                self.released = Some(released);
                self.record_signal(now, "SIGTERM");
                self.node.release_leases(now);
                // The tick makes the node report the released leases, so that they are logged before the
                // process ends.
                self.on_tick();
            }
            RuntimeRequest::AdminCommand { line, response } => self.on_admin_command(now, &line, response),
        }
    }

    fn record_signal(&mut self, now: Millis, signal: &str) {
        let description = format!("{signal} at copy {}", self.identity.instance.rank);
        self.node.submit(now, Command::Freeze(FreezeCommand::RecordSignal { description }));
    }

    fn process_outputs(&mut self) {
        for output in self.node.take_outputs(self.now()) {
            self.process_output(output);
        }
    }

    fn process_output(&mut self, output: Output) {
        match output {
            Output::Send(destination, frame) => self.send(destination, &frame),
            Output::Follow(slot) => {
                self.outbound.clear();
                self.connect(slot);
            }
            Output::SiteFraction(site, fraction) => {
                let _ = self.advisories.send(Advisory::SiteFraction { site, fraction });
            }
            Output::Answered(ticket, outcome) => {
                if let Some(response) = self.pending_responses.remove(&ticket) {
                    let _ = response.send(render::outcome(outcome.as_ref()));
                }
            }
            Output::Log(event) => tracing::info!(%event, "coordination: node event"),
            Output::Audit(event) => {
                log_audit_event(&event, self.identity.instance, unix_millis(), &mut self.log_limiter);
            }
        }
    }

    /// Queues a frame for its destination. The frame is dropped if there is no connection or its queue is
    /// full.
    fn send(&self, destination: Destination, frame: &Frame) {
        match destination {
            Destination::Replica(slot) => {
                if let Some(connection) = self.outbound.get(&slot) {
                    connection.send(frame.encode().into());
                }
            }
            Destination::Instance(instance) => {
                if let Some(attached) = self.attached.get(&instance) {
                    let _ = attached.queue.try_send(frame.encode().into());
                }
            }
        }
    }

    fn notify_released(&mut self) {
        if self.node.has_released_leases() {
            if let Some(released) = self.released.take() {
                let _ = released.send(());
            }
        }
    }
}

fn node_config(settings: &Settings, location: &InstanceLocation, identity: &LocalIdentity) -> NodeConfig {
    NodeConfig {
        instance: identity.instance,
        slot: identity.slot,
        replicas: settings.replicas.len(),
        site: location.site.clone(),
        sites: location.sites.clone(),
        lease_timing: settings.lease_timing,
        pacing: settings.pacing,
        thresholds: Default::default(),
        command_ttl: millis(settings.command_ttl),
        seed: identity.instance.incarnation,
    }
}

/// Whether the replicated state already has a window with this site and start, in any stage.
fn is_planned(node: &Node<RedbStorage>, plan: &WindowPlan) -> bool {
    let mut windows = node.state().windows().all().values();
    windows.any(|window| window.plan.site == plan.site && window.plan.starts_at == plan.starts_at)
}

/// The current Unix time in milliseconds.
fn unix_millis() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
