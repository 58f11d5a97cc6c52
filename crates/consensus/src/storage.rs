//! What a keeper must not forget. The disk itself is the shell's; here is what it is asked.

use std::collections::BTreeMap;

/// What the disk holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Kept {
    /// Who this keeper is: drawn when the disk was new.
    pub id: u64,
    /// How often it was started from this disk.
    pub boot: u64,
    /// Who founded the fleet; empty before that.
    pub founders: Vec<u64>,
    /// Whether it takes part: it is a founder, or waits to be made a member.
    pub takes_part: bool,
    /// Term, vote and commit.
    pub hard: Vec<u8>,
    /// The highest start that each keeper was seen with, by its id.
    pub seen: BTreeMap<u64, u64>,
    /// The newest snapshot.
    pub snapshot: Vec<u8>,
    /// The log.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

/// What changes at once, or not at all.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// See [`Kept::boot`].
    pub boot: Option<u64>,
    /// See [`Kept::founders`].
    pub founders: Option<Vec<u64>>,
    /// See [`Kept::takes_part`].
    pub takes_part: Option<bool>,
    /// See [`Kept::hard`].
    pub hard: Option<Vec<u8>>,
    /// Adds to [`Kept::seen`].
    pub seen: BTreeMap<u64, u64>,
    /// See [`Kept::snapshot`].
    pub snapshot: Option<Vec<u8>>,
    /// Entries from this index on go first,
    pub cut_from: Option<u64>,
    /// and those up to this one.
    pub cut_to: Option<u64>,
    /// Then these come.
    pub entries: BTreeMap<u64, Vec<u8>>,
}

impl Change {
    /// Whether nothing changes.
    pub fn is_empty(&self) -> bool {
        *self == Change::default()
    }

    /// What the disk holds after it.
    pub fn apply(self, kept: &mut Kept) {
        kept.boot = self.boot.unwrap_or(kept.boot);
        kept.takes_part = self.takes_part.unwrap_or(kept.takes_part);
        let set = |to: &mut Vec<u8>, from: Option<Vec<u8>>| {
            if let Some(from) = from {
                *to = from;
            }
        };
        set(&mut kept.hard, self.hard);
        kept.seen.extend(self.seen);
        set(&mut kept.snapshot, self.snapshot);
        if let Some(founders) = self.founders {
            kept.founders = founders;
        }
        let (from, to) = (self.cut_from.unwrap_or(u64::MAX), self.cut_to.unwrap_or(0));
        kept.entries.retain(|index, _| *index < from && *index > to);
        kept.entries.extend(self.entries);
    }
}

/// The disk failed: full, torn, or gone.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the keeper's disk: {0}")]
pub struct DiskFailed(pub String);

/// A lasting disk.
pub trait Disk {
    /// What it holds; on a new one, with an id that is drawn then.
    fn load(&mut self) -> Result<Kept, DiskFailed>;

    /// Changes what it holds. Once this returns, the change lasts over a loss of power.
    fn save(&mut self, change: Change) -> Result<(), DiskFailed>;

    /// Forgets all it holds and begins anew, under another id: so a keeper whose disk is older than its word comes back.
    fn renew(&mut self) -> Result<Kept, DiskFailed>;
}
