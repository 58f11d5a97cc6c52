//! The log of a replica as the `raft` crate reads it: in memory, and written to the storage before anything is sent.

use crate::storage::{PersistentState, WriteBatch};
use protobuf::{Message as _, ProtobufError};
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

/// The index of the snapshot that a new fleet begins with. No entry has this index, so a replica that joins later with an
/// empty log is always sent a snapshot, and with it the members.
const BOOTSTRAP_INDEX: u64 = 1;
/// The term of the snapshot that a new fleet begins with.
const BOOTSTRAP_TERM: u64 = 1;

/// What a replica knows of the log.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    hard_state: HardState,
    members: ConfState,
    snapshot: Snapshot,
    /// The entries, without a gap: they follow the snapshot, or begin before its end.
    entries: Vec<Entry>,
    /// What must be in the storage before the next message is sent.
    unsaved: WriteBatch,
}

/// What the storage holds is not a valid log.
#[derive(Debug, thiserror::Error)]
pub enum CorruptLog {
    /// A part of it can't be decoded.
    #[error("the disk holds no whole log: {part}: {source}")]
    Decode {
        /// The part.
        part: &'static str,
        /// Why it can't be decoded.
        source: ProtobufError,
    },
    /// An entry is stored under another index than its own, or does not follow the one before it.
    #[error("the disk holds no whole log: entry {index} is out of its place")]
    MisplacedEntry {
        /// The index under which it is stored.
        index: u64,
    },
    /// Entries, snapshot and commit index don't fit together.
    #[error(
        "the disk holds no whole log: entries {first} to {last}, snapshot {snapshot}, committed {committed}"
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

/// Encodes a message. Only a full writer can fail, and this one grows.
fn encode(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

/// Turns the error of decoding a part into that of the log.
fn decode_error(part: &'static str) -> impl Fn(ProtobufError) -> CorruptLog {
    move |source| CorruptLog::Decode { part, source }
}

impl RaftLog {
    /// The log of a replica that bootstraps a fleet of these members, with the encoded state that it begins with.
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

    /// The log of a replica that knows nothing yet, and waits to be made a member.
    pub fn empty() -> RaftLog {
        let mut log = RaftLog::default();
        log.mark_unsaved();
        log
    }

    /// Decodes the log in the storage.
    ///
    /// # Errors
    ///
    /// Fails if a part can't be decoded, or the parts don't fit together.
    pub fn read(persistent: &PersistentState) -> Result<RaftLog, CorruptLog> {
        let hard_state = HardState::parse_from_bytes(&persistent.hard_state).map_err(decode_error("the vote"))?;
        let snapshot = Snapshot::parse_from_bytes(&persistent.snapshot).map_err(decode_error("the snapshot"))?;
        // The members belong to the applied index: changes after the snapshot will be applied once more.
        let members = snapshot.get_metadata().get_conf_state().clone();
        let entries = persistent.entries.values().map(|bytes| Entry::parse_from_bytes(bytes));
        let entries = entries.collect::<Result<Vec<_>, _>>().map_err(decode_error("an entry"))?;
        let log = RaftLog { hard_state, members, snapshot, entries, unsaved: WriteBatch::default() };
        log.check_entry_indexes(persistent.entries.keys())?;
        log.check_consistency()?;
        Ok(log)
    }

    /// Checks that the entries follow each other, each stored under its own index.
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

    /// Checks that the entries reach the snapshot, and the commit index lies within what is known.
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

    /// Takes what has to be stored now. The commit index goes along with whatever is stored, so that it is never behind a
    /// stored snapshot.
    pub fn take_unsaved(&mut self) -> WriteBatch {
        if !self.unsaved.is_empty() {
            self.unsaved.hard_state = Some(encode(&self.hard_state));
        }
        std::mem::take(&mut self.unsaved)
    }

    fn first_entry_index(&self) -> u64 {
        self.entries.first().map_or(self.snapshot.get_metadata().index + 1, |entry| entry.index)
    }

    /// The index of the last entry, or of the snapshot if no entry follows it.
    pub fn last_entry_index(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.get_metadata().index, |entry| entry.index)
    }

    /// The index of the snapshot, and the encoded state in it.
    pub fn snapshot_state(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, &self.snapshot.data)
    }

    /// The members.
    pub fn members(&self) -> &ConfState {
        &self.members
    }

    /// Sets the term, the vote and the commit index. A new commit index alone need not be stored: see
    /// [`RaftLog::set_commit`].
    pub fn set_hard_state(&mut self, hard_state: &HardState) {
        let changes_term_or_vote = (hard_state.term, hard_state.vote) != (self.hard_state.term, self.hard_state.vote);
        self.hard_state = hard_state.clone();
        if changes_term_or_vote {
            self.unsaved.hard_state = Some(encode(&self.hard_state));
        }
    }

    /// Sets the commit index. It need not be stored: a replica learns it again.
    pub fn set_commit(&mut self, commit: u64) {
        self.hard_state.commit = commit;
    }

    /// Sets the members. They are stored with the next snapshot; a start before that applies the change once more.
    pub fn set_members(&mut self, members: ConfState) {
        self.members = members;
    }

    /// Appends entries. They replace those from the index of the first one on.
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

    /// Makes a snapshot of the encoded state applied up to `index`, and drops the entries before it but for the last
    /// `retained`, which members that are a little behind need.
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
