//! The persistent data of a replica, and the trait that its storage has to implement.

use std::collections::BTreeMap;

/// The contents of a replica's storage.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The replica's id, drawn when the storage was created; see
    /// [`new_replica_id`](crate::replica::new_replica_id).
    pub id: u64,
    /// The number of times that a replica was started with this storage.
    pub boot: u64,
    /// The ids of the replicas that bootstrapped the fleet; empty as long as this replica does not know of
    /// any.
    pub founders: Vec<u64>,
    /// Whether the replica runs the Raft protocol: as a founder, or as one that has joined or asks to join.
    pub participates: bool,
    /// The Raft hard state (term, vote and commit index), encoded by `protobuf`.
    pub hard_state: Vec<u8>,
    /// The highest [`boot`](PersistentState::boot) that each other replica has announced, by the replica's
    /// id.
    pub known_boots: BTreeMap<u64, u64>,
    /// The newest snapshot, encoded by `protobuf`.
    pub snapshot: Vec<u8>,
    /// The entries of the log by index, each encoded by `protobuf`.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

/// A change of the storage that is applied as a whole or not at all. Fields that are `None` or empty change
/// nothing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// The new [`PersistentState::boot`].
    pub boot: Option<u64>,
    /// The new [`PersistentState::founders`].
    pub founders: Option<Vec<u64>>,
    /// The new [`PersistentState::participates`].
    pub participates: Option<bool>,
    /// The new [`PersistentState::hard_state`].
    pub hard_state: Option<Vec<u8>>,
    /// Added to [`PersistentState::known_boots`].
    pub known_boots: BTreeMap<u64, u64>,
    /// The new [`PersistentState::snapshot`].
    pub snapshot: Option<Vec<u8>>,
    /// Entries from this index on are removed, before `entries` are added.
    pub truncate_from: Option<u64>,
    /// Entries up to this index are removed, before `entries` are added.
    pub compact_to: Option<u64>,
    /// Added to [`PersistentState::entries`].
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl WriteBatch {
    /// Whether the batch changes nothing, so that it needs no write.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }

    /// Applies the batch to the contents of a storage.
    pub fn apply(self, persistent: &mut PersistentState) {
        set_if_some(&mut persistent.boot, self.boot);
        set_if_some(&mut persistent.founders, self.founders);
        set_if_some(&mut persistent.participates, self.participates);
        set_if_some(&mut persistent.hard_state, self.hard_state);
        set_if_some(&mut persistent.snapshot, self.snapshot);
        persistent.known_boots.extend(self.known_boots);
        let truncate_from = self.truncate_from.unwrap_or(u64::MAX);
        let compact_to = self.compact_to.unwrap_or(0);
        persistent.entries.retain(|index, _| *index < truncate_from && *index > compact_to);
        persistent.entries.extend(self.entries);
    }
}

fn set_if_some<T>(field: &mut T, value: Option<T>) {
    if let Some(value) = value {
        *field = value;
    }
}

/// A read or write of the storage has failed, for the reason in the text: the storage is full, corrupt or
/// unavailable.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("replica storage failed: {0}")]
pub struct ReplicaStorageError(pub String);

/// The durable storage of one replica.
pub trait ReplicaStorage {
    /// Loads the contents of the storage. A new storage first draws an id, see
    /// [`new_replica_id`](crate::replica::new_replica_id).
    ///
    /// # Errors
    ///
    /// Fails if the storage can't be read.
    fn load(&mut self) -> Result<PersistentState, ReplicaStorageError>;

    /// Writes a batch. Once this has returned, the change survives a power failure.
    ///
    /// # Errors
    ///
    /// Fails if the batch can't be stored.
    fn save(&mut self, change: WriteBatch) -> Result<(), ReplicaStorageError>;

    /// Clears the storage and draws another id, so that a replica whose storage is corrupt or was restored
    /// from a backup rejoins as a new member. Returns the new contents.
    ///
    /// # Errors
    ///
    /// Fails if the storage can't be written.
    fn reset(&mut self) -> Result<PersistentState, ReplicaStorageError>;
}
