//! A fleet in simulated time. A seed determines the run; the invariants are checked after each event.
//!
//! - `instance` and `storage`: the simulated instances, with their clocks and disks;
//! - `processes`: how the processes handle events, and their outputs;
//! - `network`: frames that are delayed, duplicated, reordered or lost;
//! - `faults`: the faults that are injected;
//! - `workload`: the commands of people and the load reports;
//! - `checks`: the invariants, and the checks at the end of a run.

mod checks;
mod faults;
mod instance;
mod network;
mod processes;
mod storage;
mod workload;

use hillstall_consensus::frame::Frame;
use hillstall_lease::Millis;
use instance::SimInstance;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

const REPLICAS: usize = 3;
const INSTANCES: usize = 6;
const TICK_INTERVAL_MS: Millis = 25;
const REPORT_INTERVAL_MS: Millis = 500;
const FAULTS_START_MS: Millis = 3_000;
const FAULTS_END_MS: Millis = 40_000;
const END_MS: Millis = 60_000;
/// Each clock's rate differs from true time by at most this, so that two clocks drift apart by less than the
/// lease timing allows.
const MAX_RATE_ERROR_PPM: u64 = 24_000;
/// When the measurement of a fleet without faults starts.
const MEASUREMENT_START_MS: Millis = 10_000;
/// When the measurement ends, and the first replica is killed.
const MEASUREMENT_END_MS: Millis = 20_000;
/// How long the followers' failover after a measurement is observed.
const FAILOVER_DURATION_MS: Millis = 10_000;
/// The Unix time at the start.
const UNIX_START_MS: Millis = 1_800_000_000_000;

/// A fault planted in the implementation, which the invariant checks must find.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlantedFault {
    None,
    /// The last writes are lost when a process is killed.
    NoSync,
    /// An empty disk that replaces a lost one has the id of the lost one, so that the replica votes again
    /// without its log.
    ReusedId,
    /// Rejected commands count as applied, as if there were no fencing check.
    NoFencing,
}

enum Event {
    Start { rank: usize },
    Tick { rank: usize, incarnation: u64 },
    Report { rank: usize },
    Frame { to: usize, incarnation: u64, from: usize, frame: Frame },
    Connected { rank: usize, incarnation: u64, replica: usize },
    PersonCommand,
    InjectFault,
    HealLinks(Vec<(usize, usize)>),
    ResetMeasurement,
    KillFirstReplica,
    FreeDisk { rank: usize },
}

/// The costs of a fleet without faults, by the rank of the instance.
pub struct Measurement {
    /// The number of bytes that each instance has received.
    pub received_bytes: Vec<u64>,
    /// The real time that each instance has spent in the handling of ticks and frames.
    pub busy_times: Vec<Duration>,
    /// The time, from the kill of the replica, after which each of its followers received the state from
    /// another replica; `Millis::MAX` before that.
    pub failed_over_at: BTreeMap<usize, Millis>,
}

pub struct Sim {
    planted: PlantedFault,
    pub measurement: Option<Measurement>,
    random: Xoshiro256PlusPlus,
    now: Millis,
    /// The number of events scheduled so far.
    pub events: u64,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    scheduled: BTreeMap<u64, Event>,
    instances: Vec<SimInstance>,
    /// The number of faults that currently cut each link, by sender and receiver.
    cut_links: BTreeMap<(usize, usize), u32>,
    /// When the last frame on each link arrives, by sender and receiver.
    last_arrivals: BTreeMap<(usize, usize), Millis>,
    /// The hash of the replicated state at each index.
    state_hashes: BTreeMap<u64, u64>,
    last_ticket: u64,
    /// The numbers of the incidents and changes that were acknowledged to people.
    pub acknowledged: Vec<u64>,
    /// The number of fenced commands that instances have applied.
    pub applied_commands: u64,
    /// Descriptions of the invariants that were violated.
    pub violations: Vec<String>,
    /// A hash of all audit events.
    pub digest: u64,
    /// No disk is lost before this time.
    disk_loss_allowed_from: Millis,
    /// Whether the outputs of the instances are printed on standard error, as requested by `HILLSTALL_TRACE`.
    is_traced: bool,
}

impl Sim {
    /// A fleet under faults, with commands of people.
    pub fn new(seed: u64, planted: PlantedFault) -> Sim {
        let mut sim = Sim::with_instances(INSTANCES, seed, planted);
        sim.schedule(2_000, Event::PersonCommand);
        sim.schedule(FAULTS_START_MS, Event::InjectFault);
        sim
    }

    /// A fleet of any size, to measure its costs. The only fault is the loss of one replica after the
    /// measurement.
    pub fn without_faults(instances: usize, seed: u64) -> Sim {
        let mut sim = Sim::with_instances(instances, seed, PlantedFault::None);
        sim.measurement = Some(Measurement {
            received_bytes: vec![0; instances],
            busy_times: vec![Duration::ZERO; instances],
            failed_over_at: BTreeMap::new(),
        });
        sim.schedule(MEASUREMENT_START_MS, Event::ResetMeasurement);
        sim.schedule(MEASUREMENT_END_MS, Event::ResetMeasurement);
        sim.schedule(MEASUREMENT_END_MS, Event::KillFirstReplica);
        sim
    }

    fn with_instances(instances: usize, seed: u64, planted: PlantedFault) -> Sim {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let instances: Vec<_> = (0..instances).map(|rank| SimInstance::new(rank, &mut random)).collect();
        let mut sim = Sim {
            planted,
            measurement: None,
            random,
            now: 0,
            events: 0,
            queue: BinaryHeap::new(),
            scheduled: BTreeMap::new(),
            instances,
            cut_links: BTreeMap::new(),
            last_arrivals: BTreeMap::new(),
            state_hashes: BTreeMap::new(),
            last_ticket: 0,
            acknowledged: Vec::new(),
            applied_commands: 0,
            violations: Vec::new(),
            digest: 0,
            disk_loss_allowed_from: 0,
            is_traced: std::env::var_os("HILLSTALL_TRACE").is_some(),
        };
        for rank in 0..sim.instances.len() {
            let at = sim.random_below(300);
            sim.schedule(at, Event::Start { rank });
        }
        sim
    }

    fn schedule(&mut self, at: Millis, event: Event) {
        self.events += 1;
        self.queue.push(Reverse((at, self.events)));
        self.scheduled.insert(self.events, event);
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    /// Handles all events until the end or the first violation.
    pub fn run(mut self) -> Sim {
        while let Some(Reverse((at, id))) = self.queue.pop() {
            if at > END_MS || !self.violations.is_empty() {
                break;
            }
            self.now = at;
            let Some(event) = self.scheduled.remove(&id) else { continue };
            self.handle(event);
            if self.measurement.is_none() {
                self.check_invariants();
            } else if self.now > MEASUREMENT_END_MS + FAILOVER_DURATION_MS {
                break;
            }
        }
        if self.violations.is_empty() && self.measurement.is_none() {
            self.check_end();
        }
        self
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Start { rank } => self.start(rank),
            Event::Tick { rank, incarnation } => self.tick(rank, incarnation),
            Event::Report { rank } => self.report(rank),
            Event::Connected { rank, incarnation, replica } => self.connect(rank, incarnation, replica),
            Event::Frame { to, incarnation, from, frame } => self.receive(to, incarnation, from, frame),
            Event::PersonCommand => self.submit_person_command(),
            Event::InjectFault => self.inject_fault(),
            Event::HealLinks(links) => self.heal_links(links),
            Event::ResetMeasurement => self.reset_measurement(),
            Event::KillFirstReplica => self.kill_first_replica(),
            Event::FreeDisk { rank } => self.free_disk(rank),
        }
    }
}

/// The site of the instance with this rank.
fn site_name(rank: usize) -> String {
    ["north", "south", "west"][rank % 3].to_owned()
}
