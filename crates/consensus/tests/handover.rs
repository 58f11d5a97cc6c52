//! What the handover of leases costs: ticks and writes to storage, which take as long as the machine is busy.

use hillstall_change_freeze::detection::Thresholds;
use hillstall_consensus::node::{Destination, Node, NodeConfig, Output};
use hillstall_consensus::replica::new_id;
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, ReplicaStorageError, WriteBatch};
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{Instance, LeaseName, Millis};
use hillstall_maintenance::shift::ShiftPacing;
use std::cell::Cell;
use std::rc::Rc;

const REPLICAS: usize = 3;
const TICK_INTERVAL_MS: Millis = 20;
/// Far more than a fleet needs to elect a leader and to grant all leases.
const SETTLE_MS: Millis = 10_000;
/// The writes of one replica in a handover of all its leases: what is released, and what each of the two others renews.
const MAX_WRITES: usize = 3;

/// A storage that counts its writes.
struct CountingStorage {
    slot: usize,
    stored: PersistentState,
    writes: Rc<Cell<usize>>,
}

impl ReplicaStorage for CountingStorage {
    fn load(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        self.stored.id = new_id(self.slot, 7);
        Ok(self.stored.clone())
    }

    fn save(&mut self, batch: WriteBatch) -> Result<(), ReplicaStorageError> {
        self.writes.set(self.writes.get() + 1);
        batch.apply(&mut self.stored);
        Ok(())
    }

    fn reset(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        Err(ReplicaStorageError("nothing here is reset".into()))
    }
}

/// Three replicas whose frames arrive at once.
struct Fleet {
    nodes: Vec<Node<CountingStorage>>,
    writes: Vec<Rc<Cell<usize>>>,
    now: Millis,
}

impl Fleet {
    fn settled() -> Fleet {
        let writes: Vec<Rc<Cell<usize>>> = (0..REPLICAS).map(|_| Rc::default()).collect();
        let start = |slot: usize| {
            let storage =
                CountingStorage { slot, stored: PersistentState::default(), writes: writes[slot].clone() };
            Node::start(config(slot), Some(storage), 0)
        };
        let nodes = (0..REPLICAS).map(start).collect();
        let mut fleet = Fleet { nodes, writes, now: 0 };
        fleet.settle();
        fleet
    }

    fn settle(&mut self) {
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
    fn deliver(&mut self) {
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

    fn held_by(&self, slot: usize) -> Vec<LeaseName> {
        self.nodes[slot].held_leases(self.now).into_iter().map(|(lease, _)| lease).collect()
    }
}

fn config(slot: usize) -> NodeConfig {
    NodeConfig {
        instance: Instance { rank: slot as u32, incarnation: 1 },
        slot: Some(slot),
        replicas: REPLICAS,
        site: ["north", "south", "west"][slot].into(),
        sites: ["north", "south", "west"].map(String::from).into(),
        lease_timing: LeaseTiming::default(),
        pacing: ShiftPacing::default(),
        thresholds: Thresholds::default(),
        command_ttl: 4_000,
        seed: slot as u64 + 1,
    }
}

// Guards against a gap without a lease holder that grows with the number of leases, or waits for a tick or a disk.
#[test]
fn a_handover_of_all_leases_takes_no_tick_and_three_writes() {
    for slot in 0..REPLICAS {
        let mut fleet = Fleet::settled();
        // Whoever holds nothing after the start gets its leases from the others.
        for other in (0..REPLICAS).filter(|other| *other != slot) {
            for lease in fleet.held_by(other) {
                assert!(fleet.nodes[other].hand_over(fleet.now, &lease));
            }
            fleet.deliver();
        }
        // They stand for the leases again after a pause.
        fleet.settle();
        let leases = fleet.held_by(slot);
        assert!(!leases.is_empty(), "replica {slot} holds something");
        let writes_before: Vec<usize> = fleet.writes.iter().map(|writes| writes.get()).collect();
        fleet.nodes[slot].release_leases(fleet.now);
        fleet.deliver();
        assert!(fleet.nodes[slot].has_released_leases());
        let others: Vec<usize> = (0..REPLICAS).filter(|other| *other != slot).collect();
        for lease in &leases {
            let holders = others.iter().filter(|other| fleet.held_by(**other).contains(lease)).count();
            assert_eq!(holders, 1, "{lease} of replica {slot}");
        }
        for (replica, before) in writes_before.iter().enumerate() {
            let writes = fleet.writes[replica].get() - before;
            assert!(
                writes <= MAX_WRITES,
                "replica {replica} wrote {writes} times for {} leases",
                leases.len()
            );
        }
    }
}
