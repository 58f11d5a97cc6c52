//! The simulated processes: their starts, ticks, connections, received frames and outputs.

use super::storage::MemoryStorage;
use super::{
    site_name, Event, PlantedFault, Sim, MEASUREMENT_END_MS, MEASUREMENT_START_MS, REPLICAS,
    REPORT_INTERVAL_MS, TICK_INTERVAL_MS,
};
use hillstall_change_freeze::detection::Thresholds;
use hillstall_change_freeze::state::Response;
use hillstall_consensus::frame::Frame;
use hillstall_consensus::node::{AuditEvent, Destination, Node, NodeConfig, Output};
use hillstall_consensus::state::Outcome;
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::Millis;
use hillstall_maintenance::shift::ShiftPacing;
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::time::{Duration, Instant};

/// The time between two attempts to connect.
const RECONNECT_INTERVAL_MS: Millis = 200;

impl Sim {
    pub(super) fn start(&mut self, rank: usize) {
        let seed = rand_xoshiro::rand_core::RngCore::next_u64(&mut self.random);
        let instance = &mut self.instances[rank];
        instance.incarnation += 1;
        let incarnation = instance.incarnation;
        let slot = (rank < REPLICAS).then_some(rank);
        let storage = slot.map(|slot| MemoryStorage::new(slot, instance.disk.clone(), seed >> 8));
        let config = NodeConfig {
            instance: instance.id(),
            slot,
            replicas: REPLICAS,
            site: site_name(rank),
            sites: (0..3).map(site_name).collect(),
            lease_timing: LeaseTiming::new(2_000, 50_000, 100).expect("valid timing"),
            pacing: ShiftPacing { step_interval: 300, ramp_duration: 6_000, ..ShiftPacing::default() },
            thresholds: Thresholds::default(),
            command_ttl: 4_000,
            seed,
        };
        instance.node = Some(Node::start(config, storage, instance.clock.monotonic(self.now)));
        instance.highest_tokens = BTreeMap::new();
        instance.follows = None;
        self.schedule(self.now, Event::Tick { rank, incarnation });
        self.schedule(self.now + REPORT_INTERVAL_MS, Event::Report { rank });
        self.execute_outputs(rank);
    }

    pub(super) fn kill(&mut self, rank: usize) {
        let instance = &mut self.instances[rank];
        instance.node = None;
        instance.paused_until = 0;
        instance.incarnation += 1;
        self.break_connections_to(rank);
        if self.planted == PlantedFault::NoSync {
            let disk = &self.instances[rank].disk;
            let synced = disk.synced.borrow().clone();
            *disk.stored.borrow_mut() = synced;
        }
    }

    /// Tells the followers of a killed replica that their connections are lost.
    fn break_connections_to(&mut self, replica: usize) {
        for rank in REPLICAS..self.instances.len() {
            let follower = &mut self.instances[rank];
            if follower.follows != Some(replica) {
                continue;
            }
            if let Some(node) = &mut follower.node {
                node.on_connection(replica, false);
            }
            let incarnation = follower.incarnation;
            let event = Event::Connected { rank, incarnation, replica };
            self.schedule(self.now + RECONNECT_INTERVAL_MS, event);
        }
    }

    pub(super) fn tick(&mut self, rank: usize, incarnation: u64) {
        let now = self.now;
        let instance = &mut self.instances[rank];
        if !instance.runs(incarnation) {
            return;
        }
        if instance.is_paused(now) {
            let resumed_at = instance.paused_until;
            return self.schedule(resumed_at, Event::Tick { rank, incarnation });
        }
        let (monotonic, unix) = (instance.clock.monotonic(now), instance.clock.unix(now));
        let started_at = Instant::now();
        if let Some(node) = &mut instance.node {
            node.tick(monotonic, unix);
        }
        self.measure_busy_time(rank, started_at.elapsed());
        self.execute_outputs(rank);
        self.schedule(now + TICK_INTERVAL_MS, Event::Tick { rank, incarnation });
    }

    pub(super) fn connect(&mut self, rank: usize, incarnation: u64, replica: usize) {
        let follower = &self.instances[rank];
        let is_outdated = follower.incarnation != incarnation || follower.follows != Some(replica);
        if is_outdated || self.instances[replica].node.is_none() {
            return;
        }
        let is_cut = self.is_cut(rank, replica) || self.is_cut(replica, rank);
        if is_cut || self.instances[replica].is_paused(self.now) {
            let event = Event::Connected { rank, incarnation, replica };
            return self.schedule(self.now + RECONNECT_INTERVAL_MS, event);
        }
        let follower_id = self.instances[rank].id();
        let monotonic = self.instances[replica].clock.monotonic(self.now);
        if let Some(node) = &mut self.instances[replica].node {
            node.on_attached(monotonic, follower_id);
        }
        if let Some(node) = &mut self.instances[rank].node {
            node.on_connection(replica, true);
        }
    }

    pub(super) fn receive(&mut self, to: usize, incarnation: u64, from: usize, frame: Frame) {
        let receiver = &self.instances[to];
        if !receiver.runs(incarnation) {
            return;
        }
        if receiver.is_paused(self.now) {
            let resumed_at = receiver.paused_until;
            return self.schedule(resumed_at, Event::Frame { to, incarnation, from, frame });
        }
        self.measure_frame(to, &frame);
        let sender = self.instances[from].id();
        let receiver = &mut self.instances[to];
        let monotonic = receiver.clock.monotonic(self.now);
        let started_at = Instant::now();
        if let Some(node) = &mut receiver.node {
            if from < REPLICAS {
                node.on_replica_frame(monotonic, from, frame);
            } else {
                node.on_instance_frame(monotonic, sender, frame);
            }
        }
        self.measure_busy_time(to, started_at.elapsed());
        self.execute_outputs(to);
    }

    /// Executes the outputs of an instance.
    pub(super) fn execute_outputs(&mut self, rank: usize) {
        let instance = &mut self.instances[rank];
        let Some(node) = &mut instance.node else { return };
        let outputs = node.take_outputs(instance.clock.monotonic(self.now));
        let sender = instance.id();
        for output in outputs {
            if self.is_traced && !matches!(output, Output::Send(..) | Output::SiteFraction(..)) {
                eprintln!("{} {rank}/{} {output:?}", self.now, sender.incarnation);
            }
            match output {
                Output::Send(Destination::Replica(slot), frame) => self.send(rank, slot, frame),
                Output::Send(Destination::Instance(receiver), frame) => {
                    let to = receiver.rank as usize;
                    if self.instances[to].id() == receiver && self.instances[to].follows == Some(rank) {
                        self.send(rank, to, frame);
                    }
                }
                Output::Follow(replica) => self.follow(rank, replica),
                Output::Audit(event) => self.record_audit_event(rank, event),
                Output::Answered(_, Some(Outcome::Freeze(Response::Accepted(number)))) => {
                    self.acknowledged.push(number);
                }
                Output::Answered(..) | Output::SiteFraction(..) | Output::Log(_) => {}
            }
        }
    }

    fn follow(&mut self, rank: usize, replica: usize) {
        let follower = &mut self.instances[rank];
        let (follower_id, incarnation) = (follower.id(), follower.incarnation);
        if let Some(previous) = follower.follows.replace(replica) {
            if let Some(node) = &mut self.instances[previous].node {
                node.on_detached(follower_id);
            }
        }
        self.schedule(self.now + 2, Event::Connected { rank, incarnation, replica });
    }

    /// Adds an audit event to the digest, and checks the token of an applied command.
    fn record_audit_event(&mut self, rank: usize, event: AuditEvent) {
        let mut hasher = DefaultHasher::new();
        (self.digest, self.now, rank, format!("{event:?}")).hash(&mut hasher);
        self.digest = hasher.finish();
        let command = match event {
            AuditEvent::CommandApplied(command) => command,
            AuditEvent::CommandRejected(command, _) if self.planted == PlantedFault::NoFencing => command,
            _ => return,
        };
        self.applied_commands += 1;
        let highest_tokens = &mut self.instances[rank].highest_tokens;
        let highest = highest_tokens.entry(command.lease.clone()).or_default();
        if command.token < *highest {
            let violation = format!("{}: instance {rank} applied {command:?} after {highest:?}", self.now);
            self.violations.push(violation);
        }
        *highest = (*highest).max(command.token);
    }

    fn measure_busy_time(&mut self, rank: usize, elapsed: Duration) {
        let is_measured = (MEASUREMENT_START_MS..=MEASUREMENT_END_MS).contains(&self.now);
        if let Some(measurement) = self.measurement.as_mut().filter(|_| is_measured) {
            measurement.busy_times[rank] += elapsed;
        }
    }

    fn measure_frame(&mut self, to: usize, frame: &Frame) {
        let now = self.now;
        let Some(measurement) = &mut self.measurement else { return };
        if now <= MEASUREMENT_END_MS {
            // On a connection, each frame is preceded by four bytes with its length.
            measurement.received_bytes[to] += frame.encode().len() as u64 + 4;
        } else if matches!(frame, Frame::State(_)) {
            let elapsed = now - MEASUREMENT_END_MS;
            measurement.failed_over_at.entry(to).and_modify(|at| *at = (*at).min(elapsed));
        }
    }

    pub(super) fn reset_measurement(&mut self) {
        let is_start = self.now == MEASUREMENT_START_MS;
        if let Some(measurement) = self.measurement.as_mut().filter(|_| is_start) {
            measurement.received_bytes.fill(0);
            measurement.busy_times.fill(Duration::ZERO);
        }
    }

    pub(super) fn kill_first_replica(&mut self) {
        let ranks = 0..self.instances.len();
        let followers = ranks.filter(|rank| self.instances[*rank].follows == Some(0));
        let failed_over_at = followers.map(|rank| (rank, Millis::MAX)).collect();
        if let Some(measurement) = &mut self.measurement {
            measurement.failed_over_at = failed_over_at;
        }
        self.kill(0);
    }
}
