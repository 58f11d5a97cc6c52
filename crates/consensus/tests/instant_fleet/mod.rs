//! A fleet of replicas with storage in memory. Frames are delivered without delay, and time passes only when
//! a test advances it.

use hillstall_change_freeze::detection::Thresholds;
use hillstall_consensus::node::{Destination, Node, NodeConfig, Output};
use hillstall_consensus::replica::new_replica_id;
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, ReplicaStorageError, WriteBatch};
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{Instance, LeaseName, Millis};
use hillstall_maintenance::shift::ShiftPacing;
use std::cell::Cell;
use std::rc::Rc;

const TICK_INTERVAL_MS: Millis = 20;
/// Far more time than a fleet needs to elect a leader and to grant all leases.
const SETTLE_MS: Millis = 10_000;

/// A storage that counts its writes.
pub struct CountingStorage {
    slot: usize,
    stored: PersistentState,
    writes: Rc<Cell<usize>>,
}

impl ReplicaStorage for CountingStorage {
    fn load(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        self.stored.id = new_replica_id(self.slot, 7);
        Ok(self.stored.clone())
    }

    fn save(&mut self, batch: WriteBatch) -> Result<(), ReplicaStorageError> {
        self.writes.set(self.writes.get() + 1);
        batch.apply(&mut self.stored);
        Ok(())
    }

    fn reset(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        Err(ReplicaStorageError("the tests do not expect a reset".into()))
    }
}

/// Replicas whose frames are delivered without delay.
pub struct Fleet {
    pub nodes: Vec<Node<CountingStorage>>,
    /// The number of writes of each replica to its storage.
    pub writes: Vec<Rc<Cell<usize>>>,
    pub now: Millis,
}

impl Fleet {
    /// A fleet with this number of replicas, which has elected a leader and granted all leases.
    pub fn settled(replicas: usize) -> Fleet {
        let writes: Vec<Rc<Cell<usize>>> = (0..replicas).map(|_| Rc::default()).collect();
        let start = |slot: usize| {
            let storage =
                CountingStorage { slot, stored: PersistentState::default(), writes: writes[slot].clone() };
            Node::start(config(slot, replicas), Some(storage), 0)
        };
        let nodes = (0..replicas).map(start).collect();
        let mut fleet = Fleet { nodes, writes, now: 0 };
        fleet.settle();
        fleet
    }

    /// Advances the time by [`SETTLE_MS`], tick by tick.
    pub fn settle(&mut self) {
        let end = self.now + SETTLE_MS;
        while self.now < end {
            self.now += TICK_INTERVAL_MS;
            for node in &mut self.nodes {
                node.tick(self.now, self.now);
            }
            self.deliver();
        }
    }

    /// Delivers frames until none is left; no time passes.
    pub fn deliver(&mut self) {
        loop {
            let mut frames = Vec::new();
            for (from, node) in self.nodes.iter_mut().enumerate() {
                for output in node.take_outputs(self.now) {
                    if let Output::Send(Destination::Replica(to), frame) = output {
                        frames.push((from, to, frame));
                    }
                }
            }
            if frames.is_empty() {
                return;
            }
            for (from, to, frame) in frames {
                self.nodes[to].on_replica_frame(self.now, from, frame);
            }
        }
    }

    /// The leases that a replica may act under.
    pub fn held_by(&self, slot: usize) -> Vec<LeaseName> {
        self.nodes[slot].held_leases(self.now).into_iter().map(|(lease, _)| lease).collect()
    }
}

fn config(slot: usize, replicas: usize) -> NodeConfig {
    NodeConfig {
        instance: Instance { rank: slot as u32, incarnation: 1 },
        slot: Some(slot),
        replicas,
        site: ["north", "south", "west"][slot].into(),
        sites: ["north", "south", "west"].map(String::from).into(),
        lease_timing: LeaseTiming::default(),
        pacing: ShiftPacing::default(),
        thresholds: Thresholds::default(),
        command_ttl: 4_000,
        seed: slot as u64 + 1,
    }
}
