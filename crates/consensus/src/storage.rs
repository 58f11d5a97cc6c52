//! What a replica must not forget. The storage itself is implemented elsewhere; here is what it has to do.

use std::collections::BTreeMap;

/// What the storage holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// The replica's id, drawn when the storage was new; see [`new_replica_id`](crate::replica::new_replica_id).
    pub id: u64,
    /// The number of starts from this storage.
    pub boot: u64,
    /// The ids of the replicas that bootstrapped the fleet; empty before that.
    pub founders: Vec<u64>,
    /// Whether the replica takes part: it is a founder, or waits to be made a member.
    pub participates: bool,
    /// The encoded term, vote and commit index.
    pub hard_state: Vec<u8>,
    /// The highest [`boot`](PersistentState::boot) that each replica has announced, by its id.
    pub known_boots: BTreeMap<u64, u64>,
    /// The newest snapshot, encoded.
    pub snapshot: Vec<u8>,
    /// The entries of the log, encoded, by their index.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

/// A change of the storage that is applied as a whole or not at all.
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
    /// Entries from this index on are removed first.
    pub truncate_from: Option<u64>,
    /// Entries up to this index are removed first.
    pub compact_to: Option<u64>,
    /// Added to [`PersistentState::entries`] after that.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl WriteBatch {
    /// Whether the batch changes nothing.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }

    /// Applies the batch to what the storage holds.
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

/// The storage has failed: it is full, corrupt or gone.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the keeper's disk: {0}")]
pub struct ReplicaStorageError(pub String);

/// A durable storage.
pub trait ReplicaStorage {
    /// Loads what the storage holds. A new storage draws an id first.
    ///
    /// # Errors
    ///
    /// Fails if the storage can't be read.
    fn load(&mut self) -> Result<PersistentState, ReplicaStorageError>;

    /// Applies a batch. Once this returns, the change survives a loss of power.
    ///
    /// # Errors
    ///
    /// Fails if the batch can't be stored.
    fn save(&mut self, change: WriteBatch) -> Result<(), ReplicaStorageError>;

    /// Empties the storage and draws another id, so that a replica whose storage was put back from a backup comes back as a
    /// new member. Returns what the storage holds then.
    ///
    /// # Errors
    ///
    /// Fails if the storage can't be written.
    fn reset(&mut self) -> Result<PersistentState, ReplicaStorageError>;
}
