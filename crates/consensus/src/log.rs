//! The Raft log of a replica. The `raft` crate reads it from memory; changes are collected in a
//! [`WriteBatch`], which the replica stores before it sends any message.

use crate::storage::{PersistentState, WriteBatch};
use protobuf::{Message as _, ProtobufError};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

/// The index of the snapshot that a new fleet begins with. No entry has this index, so a replica that joins
/// later with an empty log is always sent a snapshot, which contains the members.
const BOOTSTRAP_INDEX: u64 = 1;
/// The term of the snapshot that a new fleet begins with.
const BOOTSTRAP_TERM: u64 = 1;

/// The Raft log of a replica, with the hard state, the members and the newest snapshot.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    hard_state: HardState,
    members: ConfState,
    snapshot: Snapshot,
    /// Consecutive entries. They start right after the snapshot, or earlier if entries that it covers are
    /// retained.
    entries: Vec<Entry>,
    /// The changes that must be stored before the next message is sent.
    unsaved: WriteBatch,
}

/// The contents of the storage are not a valid log.
#[derive(Debug, thiserror::Error)]
pub enum CorruptLog {
    /// A part of the log can't be decoded.
    #[error("the stored Raft log is corrupt: cannot decode {part}: {source}")]
    Decode {
        /// The part that can't be decoded: the hard state, the snapshot or an entry.
        part: &'static str,
        /// The error of the decoder.
        source: ProtobufError,
    },
    /// An entry is stored under an index that is not its own, or there is a gap before the entry.
    #[error(
        "the stored Raft log is corrupt: the entry under index {index} has another index or follows a gap"
    )]
    MisplacedEntry {
        /// The index under which the entry is stored.
        index: u64,
    },
    /// There is a gap between snapshot and entries, or the commit index is not from the snapshot to the last
    /// entry.
    #[error(
        "the stored Raft log is corrupt: it has entries {first} to {last}, a snapshot at {snapshot} \
         and commit index {committed}"
    )]
    Inconsistent {
        /// The index of the first entry.
        first: u64,
        /// The index of the last entry.
        last: u64,
        /// The index of the snapshot.
        snapshot: u64,
        /// The commit index.
        committed: u64,
    },
}

fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    // Encoding fails only if the writer is full, and a vector grows.
    message.write_to_bytes().unwrap_or_default()
}

fn decode_error(part: &'static str) -> impl Fn(ProtobufError) -> CorruptLog {
    move |source| CorruptLog::Decode { part, source }
}

impl RaftLog {
    /// The log of a replica that bootstraps a fleet of these members. `state` is the encoded state of the new
    /// fleet.
    pub fn bootstrapped(members: &[u64], state: Vec<u8>) -> RaftLog {
        let mut log = RaftLog::default();
        log.members.voters = members.to_vec();
        let mut snapshot = Snapshot { data: state.into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = BOOTSTRAP_INDEX;
        metadata.term = BOOTSTRAP_TERM;
        metadata.set_conf_state(log.members.clone());
        log.hard_state.commit = BOOTSTRAP_INDEX;
        log.hard_state.term = BOOTSTRAP_TERM;
        log.snapshot = snapshot;
        log.mark_unsaved();
        log
    }

    /// The log of a replica that joins a running fleet: without entries, snapshot and members.
    pub fn empty() -> RaftLog {
        let mut log = RaftLog::default();
        log.mark_unsaved();
        log
    }

    /// Decodes the log from the contents of a storage.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be decoded, or the parts are inconsistent.
    pub fn read(persistent: &PersistentState) -> Result<RaftLog, CorruptLog> {
        let hard_state =
            HardState::parse_from_bytes(&persistent.hard_state).map_err(decode_error("the hard state"))?;
        let snapshot =
            Snapshot::parse_from_bytes(&persistent.snapshot).map_err(decode_error("the snapshot"))?;
        // A replica starts with the snapshot applied: member changes after it will be applied again.
        let members = snapshot.get_metadata().get_conf_state().clone();
        let entries = persistent.entries.values().map(|bytes| Entry::parse_from_bytes(bytes));
        let entries = entries.collect::<Result<Vec<_>, _>>().map_err(decode_error("an entry"))?;
        let log = RaftLog { hard_state, members, snapshot, entries, unsaved: WriteBatch::default() };
        log.check_entry_indexes(persistent.entries.keys())?;
        log.check_consistency()?;
        Ok(log)
    }

    /// Checks that there is no gap between the entries, and that each is stored under its own index.
    fn check_entry_indexes<'a>(&self, keys: impl Iterator<Item = &'a u64>) -> Result<(), CorruptLog> {
        let first = self.first_entry_index();
        for (offset, (key, entry)) in keys.zip(&self.entries).enumerate() {
            let expected_index = first.saturating_add(offset as u64);
            if *key != entry.index || entry.index != expected_index {
                return Err(CorruptLog::MisplacedEntry { index: *key });
            }
        }
        Ok(())
    }

    /// Checks that there is no gap between snapshot and entries, and that the commit index lies from the
    /// snapshot to the last entry.
    fn check_consistency(&self) -> Result<(), CorruptLog> {
        let (first, last) = (self.first_entry_index(), self.last_entry_index());
        let snapshot = self.snapshot.get_metadata().index;
        let committed = self.hard_state.commit;
        let reaches_snapshot = first <= snapshot + 1 && last >= snapshot;
        if reaches_snapshot && (snapshot..=last).contains(&committed) {
            return Ok(());
        }
        Err(CorruptLog::Inconsistent { first, last, snapshot, committed })
    }

    fn mark_unsaved(&mut self) {
        self.unsaved.hard_state = Some(encode(&self.hard_state));
        self.unsaved.snapshot = Some(encode(&self.snapshot));
    }

    /// Returns the changes that have to be stored now. Each batch contains the commit index, so that the
    /// stored commit index is never behind the stored snapshot.
    pub fn take_unsaved(&mut self) -> WriteBatch {
        if !self.unsaved.is_empty() {
            self.unsaved.hard_state = Some(encode(&self.hard_state));
        }
        std::mem::take(&mut self.unsaved)
    }

    fn first_entry_index(&self) -> u64 {
        self.entries.first().map_or(self.snapshot.get_metadata().index + 1, |entry| entry.index)
    }

    /// The index of the last entry; without entries, that of the snapshot.
    pub fn last_entry_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.get_metadata().index, |entry| entry.index)
    }

    /// The index of the newest snapshot, and the encoded state in it, which is empty before the first
    /// snapshot.
    pub fn snapshot_state(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, &self.snapshot.data)
    }

    /// The voters and learners as of the applied index.
    pub fn members(&self) -> &ConfState {
        &self.members
    }

    /// Sets the term, the vote and the commit index. A new commit index alone is not stored; see
    /// [`RaftLog::set_commit`].
    pub fn set_hard_state(&mut self, hard_state: &HardState) {
        let changes_term_or_vote =
            (hard_state.term, hard_state.vote) != (self.hard_state.term, self.hard_state.vote);
        self.hard_state = hard_state.clone();
        if changes_term_or_vote {
            self.unsaved.hard_state = Some(encode(&self.hard_state));
        }
    }

    /// Sets the commit index. It causes no write: after a start, a replica learns it from the leader.
    pub fn set_commit(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    /// Sets the members. They are stored with the next snapshot; after a start before that, the change is
    /// applied again.
    pub fn set_members(&mut self, members: ConfState) {
        self.members = members;
    }

    /// Appends entries. They replace all existing entries from the index of the first new one on.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(from) = entries.first().map(|entry| entry.index) else { return };
        self.entries.retain(|entry| entry.index < from);
        self.entries.extend_from_slice(entries);
        let truncate_from = self.unsaved.truncate_from.map_or(from, |earlier| earlier.min(from));
        self.unsaved.truncate_from = Some(truncate_from);
        self.unsaved.entries.retain(|index, _| *index < from);
        self.unsaved.entries.extend(entries.iter().map(|entry| (entry.index, encode(entry))));
    }

    /// Replaces the log by a snapshot that another replica sent.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        let metadata = snapshot.get_metadata();
        self.members = metadata.get_conf_state().clone();
        self.hard_state.commit = self.hard_state.commit.max(metadata.index);
        self.hard_state.term = self.hard_state.term.max(metadata.term);
        self.entries.clear();
        self.snapshot = snapshot.clone();
        self.mark_unsaved();
        self.unsaved.truncate_from = Some(0);
        self.unsaved.entries.clear();
    }

    /// Makes a snapshot of the encoded `state`, which was applied up to `index`, and drops the entries that
    /// it covers. The last `retained` of them are kept, so that members that lag a little need no snapshot.
    pub fn compact(&mut self, index: u64, state: Vec<u8>, retained: u64) {
        let Ok(term) = self.term(index) else { return };
        let mut snapshot = Snapshot { data: state.into(), ..Snapshot::default() };
        let metadata = snapshot.mut_metadata();
        metadata.index = index;
        metadata.term = term;
        metadata.set_conf_state(self.members.clone());
        self.snapshot = snapshot;
        let compact_to = index.saturating_sub(retained);
        self.entries.retain(|entry| entry.index > compact_to);
        self.unsaved.snapshot = Some(encode(&self.snapshot));
        self.unsaved.compact_to = Some(compact_to);
        self.unsaved.entries.retain(|index, _| *index > compact_to);
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard_state.clone(), conf_state: self.members.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first_entry_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last_entry_index() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.first_entry_index()) as usize;
        let mut found = self.entries[from..from + (high - low) as usize].to_vec();
        let max_size = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let fitting = found.iter().take_while(|entry| {
            size += u64::from(entry.compute_size());
            size <= max_size
        });
        // One entry is always returned, however large it is.
        let count = fitting.count().max(1);
        found.truncate(count);
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let metadata = self.snapshot.get_metadata();
        if index == metadata.index {
            return Ok(metadata.term);
        }
        if index < self.first_entry_index() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let found = self.entries.get((index - self.first_entry_index()) as usize);
        found.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first_entry_index())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last_entry_index())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        match self.snapshot.get_metadata().index >= request_index {
            true => Ok(self.snapshot.clone()),
            false => Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}
