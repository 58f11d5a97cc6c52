//! The node of an instance: it competes for leases, applies fenced commands, reports its load and keeps a
//! copy of the replicated state. The nodes of some instances run a [`Replica`]; all others follow one of the
//! replicas.
//!
//! A [`Node`] does no I/O. Its owner passes in frames, reports and the time, and executes the [`Output`]s.
//!
//! - `replication`: frames from replicas and followers, and the events of the local replica;
//! - `following`: the stream that a follower receives, and the choice of the replica that it follows;
//! - `proposals`: proposals, their retries and their outcomes;
//! - `reads`: linearizable reads;
//! - `leases`: acquiring, renewing and releasing leases;
//! - `fenced_commands`: the distribution and application of fenced commands;
//! - `lease_holder`: the periodic work of a lease holder, and `traffic_shift`: that work for one site's
//!   windows;
//! - `clock`: the median of the replicas' clocks;
//! - `output`: the actions that the owner has to execute.

mod clock;
mod fenced_commands;
mod following;
mod lease_holder;
mod leases;
mod output;
mod proposals;
mod reads;
mod replication;
mod traffic_shift;

pub use crate::audit::AuditEvent;
pub use crate::config::NodeConfig;
pub use output::{Destination, Output};

use crate::follower_streams::FollowerStreams;
use crate::frame::Frame;
use crate::lease_manager::LeaseManager;
use crate::load_reports::LoadReports;
use crate::replica::Replica;
use crate::state::State;
use crate::storage::ReplicaStorage;
use clock::ReplicaClocks;
use following::FollowedReplica;
use hillstall_change_freeze::detection::Detector;
use hillstall_change_freeze::state::TimerKey;
use hillstall_lease::expiry::ExpiryMonitor;
use hillstall_lease::timers::DeadlineTimers;
use hillstall_lease::{FencingToken, Instance, LeaseName, Millis};
use hillstall_maintenance::shift::ShiftController;
use proposals::PendingProposal;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use reads::ReadRequester;
use std::collections::BTreeMap;

/// The time between two evaluations of a lease holder's work.
const POLL_INTERVAL_MS: Millis = 100;

/// The node of an instance, which is a replica or a follower. `D` is the storage of the replica.
pub struct Node<D> {
    config: NodeConfig,
    random: Xoshiro256PlusPlus,
    /// The replica that runs in this instance, if it has a slot.
    replica: Option<Replica<D>>,
    /// The replica that a follower follows, and the state received from it. Unused on an instance that runs a
    /// replica.
    followed: FollowedReplica,
    /// The followers that are attached to the local replica.
    followers: FollowerStreams,
    leases: LeaseManager,
    /// Proposals without an outcome yet, by their number.
    pending_proposals: BTreeMap<u64, PendingProposal>,
    /// The number of the newest proposal or read; they share one sequence.
    last_number: u64,
    /// Reads without an answer yet, by their number.
    pending_reads: BTreeMap<u64, ReadRequester>,
    /// The index that the state must reach before fenced commands are accepted; `None` until the linearizable
    /// read of the minimum tokens has returned it, and once it is reached.
    fencing_read_index: Option<u64>,
    read_sent_at: Option<Millis>,
    lease_expiry: ExpiryMonitor,
    change_timers: DeadlineTimers<TimerKey>,
    reports: LoadReports,
    reports_shared_at: Millis,
    detector: Detector,
    shift_controllers: BTreeMap<LeaseName, ShiftController>,
    clocks: ReplicaClocks,
    polled_at: Millis,
    /// Whether this instance shuts down and has given up its leases for good.
    releasing_leases: bool,
    outputs: Vec<Output>,
}

impl<D: ReplicaStorage> Node<D> {
    /// Starts the node of an instance at `now`. `storage` must be given if and only if the configuration has
    /// a replica slot.
    pub fn start(config: NodeConfig, storage: Option<D>, now: Millis) -> Node<D> {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(config.seed);
        let replica_seed = random.next_u64();
        let replica = config
            .slot
            .zip(storage)
            .map(|(slot, storage)| Replica::start(slot, config.replicas, storage, replica_seed, now));
        let followed_slot = (random.next_u64() % config.replicas.max(1) as u64) as usize;
        let mut node = Node {
            leases: LeaseManager::new(&config, now),
            lease_expiry: ExpiryMonitor::new(config.lease_timing),
            detector: Detector::new(config.thresholds),
            config,
            random,
            replica,
            followed: FollowedReplica::new(followed_slot, now),
            followers: FollowerStreams::default(),
            pending_proposals: BTreeMap::new(),
            last_number: 0,
            pending_reads: BTreeMap::new(),
            fencing_read_index: None,
            read_sent_at: None,
            change_timers: DeadlineTimers::default(),
            reports: LoadReports::default(),
            reports_shared_at: now,
            shift_controllers: BTreeMap::new(),
            clocks: ReplicaClocks::default(),
            polled_at: now,
            releasing_leases: false,
            outputs: Vec::new(),
        };
        if node.replica.is_none() {
            node.outputs.push(Output::Follow(followed_slot));
        }
        node
    }

    /// Returns the outputs since the last call, in the order in which the owner has to execute them. The
    /// owner calls this after each input, or once after several inputs that arrived together, so that a
    /// replica stores their results in one write.
    pub fn take_outputs(&mut self, now: Millis) -> Vec<Output> {
        self.process_replica_events(now);
        self.outputs.extend(self.leases.take_audit_events(now).into_iter().map(Output::Audit));
        std::mem::take(&mut self.outputs)
    }

    /// This instance's copy of the replicated state; see [`Node::state_age`].
    pub fn state(&self) -> &State {
        known_state(&self.replica, &self.followed)
    }

    /// How long ago, in milliseconds, [`Node::state`] was known to be the state of the followed replica;
    /// `None` if a follower has received no state yet. Always 0 on a replica, even if it lags behind the
    /// leader: it does not record when it last received anything from the leader.
    pub fn state_age(&self, now: Millis) -> Option<Millis> {
        match &self.replica {
            Some(_) => Some(0),
            None => self.followed.state_age(now),
        }
    }

    /// The replica that runs in this instance; `None` on a follower.
    pub fn replica(&self) -> Option<&Replica<D>> {
        self.replica.as_ref()
    }

    /// The leases that this instance may act under at `now`, with their fencing tokens.
    pub fn held_leases(&self, now: Millis) -> Vec<(LeaseName, FencingToken)> {
        self.leases.held_tokens(now)
    }

    /// The slot of the replica that this instance follows and whether it is connected to it; `None` on a
    /// replica.
    pub fn following(&self) -> Option<(usize, bool)> {
        self.replica.is_none().then_some((self.followed.slot, self.followed.connected))
    }

    /// Whether fenced commands are accepted. They are rejected until a linearizable read has shown the
    /// minimum token of each lease.
    pub fn accepts_commands(&self) -> bool {
        self.leases.accepts_commands()
    }

    /// The fraction of its usual traffic, from 0 to 1, that this instance sends to a site.
    pub fn site_fraction(&self, site: &str, now: Millis) -> f64 {
        self.leases.site_fraction(site, now)
    }

    /// The fraction of its usual traffic, from 0 to 1, that at least three in four instances report to send
    /// to each site. Empty on a follower, as only replicas receive reports.
    pub fn reported_fractions(&self, now: Millis) -> BTreeMap<String, f64> {
        self.reports.min_fractions(now)
    }

    /// Advances the time to `now`, a monotonic time, and does all work that is due. `unix` is the system
    /// clock in Unix milliseconds; it may step, and is compared with the clocks of the other replicas.
    pub fn tick(&mut self, now: Millis, unix: Millis) {
        if let Some(replica) = &mut self.replica {
            replica.tick(now);
            self.process_replica_events(now);
            self.propose_expirations(now);
            self.share_reports(now, unix);
        } else if self.followed.is_silent(now) {
            self.follow_another_replica(now);
        }
        self.propose_lease_commands(now);
        self.request_fencing_read(now);
        self.retry_proposals(now);
        if now.saturating_sub(self.polled_at) >= POLL_INTERVAL_MS {
            self.polled_at = now;
            self.act_as_lease_holder(now, unix);
            self.output_changed_fractions(now);
        }
        self.stream_to_followers(now);
    }

    /// Updates the leases after a change of the state, and starts to accept fenced commands once the state
    /// has reached the index that the read of the minimum tokens has returned.
    fn on_state_changed(&mut self, now: Millis) {
        let state = known_state(&self.replica, &self.followed);
        self.leases.on_table_update(now, state.leases());
        let is_replica = self.replica.is_some();
        if self.fencing_read_index.is_some_and(|index| is_replica || state.index() >= index) {
            self.fencing_read_index = None;
            self.leases.start_accepting_commands(state.leases());
        }
    }

    fn send_to_replica(&mut self, slot: usize, frame: Frame) {
        self.outputs.push(Output::Send(Destination::Replica(slot), frame));
    }

    /// Sends a frame to an instance that is attached to the local replica.
    fn send_to_instance(&mut self, instance: Instance, frame: Frame) {
        self.outputs.push(Output::Send(Destination::Instance(instance), frame));
    }

    /// The slots of all replicas but the local one.
    fn other_replica_slots(&self) -> impl Iterator<Item = usize> + use<D> {
        let own_slot = self.config.slot;
        (0..self.config.replicas).filter(move |slot| Some(*slot) != own_slot)
    }
}

/// [`Node::state`] as a function of the two fields that it reads. A caller that borrows only these can modify
/// other fields of the node while it uses the state.
fn known_state<'a, D: ReplicaStorage>(
    replica: &'a Option<Replica<D>>,
    followed: &'a FollowedReplica,
) -> &'a State {
    replica.as_ref().map_or(&followed.state, |replica| replica.state())
}
