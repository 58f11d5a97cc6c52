//! A storage in memory that outlives its process, and that fails as the simulation says.

use hillstall_consensus::replica::new_replica_id;
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, ReplicaStorageError, WriteBatch};
use std::cell::{Cell, RefCell};
use std::rc::Rc;

/// With [`PlantedFault::NoSync`](super::PlantedFault::NoSync), only each 64th write makes the earlier ones
/// durable.
const WRITES_PER_SYNC: u64 = 64;

/// The part of a storage that outlives the process.
#[derive(Clone, Default)]
pub struct Disk {
    pub stored: Rc<RefCell<PersistentState>>,
    /// The contents some writes ago, which remain after a crash with `PlantedFault::NoSync`.
    pub synced: Rc<RefCell<PersistentState>>,
    /// Whether writes fail.
    pub is_full: Rc<Cell<bool>>,
}

/// The storage of one process, over a [`Disk`].
pub struct MemoryStorage {
    slot: usize,
    disk: Disk,
    writes: u64,
    random: u64,
}

impl MemoryStorage {
    pub fn new(slot: usize, disk: Disk, random: u64) -> MemoryStorage {
        MemoryStorage { slot, disk, writes: 0, random }
    }
}

impl ReplicaStorage for MemoryStorage {
    fn load(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        let mut stored = self.disk.stored.borrow_mut();
        if stored.id == 0 {
            stored.id = new_replica_id(self.slot, self.random);
        }
        Ok(stored.clone())
    }

    fn save(&mut self, change: WriteBatch) -> Result<(), ReplicaStorageError> {
        if self.disk.is_full.get() {
            return Err(ReplicaStorageError("the disk is full".into()));
        }
        let mut stored = self.disk.stored.borrow_mut();
        self.writes += 1;
        if self.writes % WRITES_PER_SYNC == 1 {
            *self.disk.synced.borrow_mut() = stored.clone();
        }
        change.apply(&mut stored);
        Ok(())
    }

    fn reset(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let id = new_replica_id(self.slot, self.random >> 16);
        *self.disk.stored.borrow_mut() = PersistentState { id, ..PersistentState::default() };
        Ok(self.disk.stored.borrow().clone())
    }
}
