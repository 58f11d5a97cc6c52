//! What a keeper must not forget. The disk itself is the shell's; here is what it is asked.

use std::collections::BTreeMap;

/// What the disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PersistentState {
    /// Who this keeper is: drawn when the disk was new.
    pub id: u64,
    /// How often it was started from this disk.
    pub boot: u64,
    /// Who founded the fleet; empty before that.
    pub founders: Vec<u64>,
    /// Whether it takes part: it is a founder, or waits to be made a member.
    pub participates: bool,
    /// Term, vote and commit.
    pub hard_state: Vec<u8>,
    /// The highest start that each keeper was seen with, by its id.
    pub known_boots: BTreeMap<u64, u64>,
    /// The newest snapshot.
    pub snapshot: Vec<u8>,
    /// The log.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

/// What changes at once, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct WriteBatch {
    /// See [`PersistentState::boot`].
    pub boot: Option<u64>,
    /// See [`PersistentState::founders`].
    pub founders: Option<Vec<u64>>,
    /// See [`PersistentState::participates`].
    pub participates: Option<bool>,
    /// See [`PersistentState::hard_state`].
    pub hard_state: Option<Vec<u8>>,
    /// Adds to [`PersistentState::known_boots`].
    pub known_boots: BTreeMap<u64, u64>,
    /// See [`PersistentState::snapshot`].
    pub snapshot: Option<Vec<u8>>,
    /// Entries from this index on go first,
    pub truncate_from: Option<u64>,
    /// and those up to this one.
    pub compact_to: Option<u64>,
    /// Then these come.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl WriteBatch {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        *self == WriteBatch::default()
    }

    /// What the disk holds after it.
    pub fn apply(self, kept: &mut PersistentState) {
        kept.boot = self.boot.unwrap_or(kept.boot);
        kept.participates = self.participates.unwrap_or(kept.participates);
        let set = |to: &mut Vec<u8>, from: Option<Vec<u8>>| {
            if let Some(from) = from {
                *to = from;
            }
        };
        set(&mut kept.hard_state, self.hard_state);
        kept.known_boots.extend(self.known_boots);
        set(&mut kept.snapshot, self.snapshot);
        if let Some(founders) = self.founders {
            kept.founders = founders;
        }
        let (from, to) = (self.truncate_from.unwrap_or(u64::MAX), self.compact_to.unwrap_or(0));
        kept.entries.retain(|index, _| *index < from && *index > to);
        kept.entries.extend(self.entries);
    }
}

/// The disk failed: full, torn, or gone.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the keeper's disk: {0}")]
pub struct StorageFailed(pub String);

/// A lasting disk.
pub trait ReplicaStorage {
    /// What it holds; on a new one, with an id that is drawn then.
    fn load(&mut self) -> Result<PersistentState, StorageFailed>;

    /// Changes what it holds. Once this returns, the change lasts over a loss of power.
    fn save(&mut self, change: WriteBatch) -> Result<(), StorageFailed>;

    /// Forgets all it holds and begins anew, under another id: so a keeper whose disk is older than its word comes back.
    fn reset(&mut self) -> Result<PersistentState, StorageFailed>;
}
