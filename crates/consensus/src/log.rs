//! A keeper's log as the consensus crate reads it: in memory, written to the disk before anything is told to others.

use crate::storage::{PersistentState, WriteBatch};
use protobuf::Message as _;
use raft::eraftpb::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

/// Index and term of the snapshot that a new fleet begins with. It is no entry, so a keeper that joins later, and has
/// nothing, is always sent a snapshot, and with it who the members are.
const FOUNDED_AT: (u64, u64) = (1, 1);

/// What a keeper knows of the log.
#[derive(Clone, Debug, Default)]
pub struct RaftLog {
    hard: HardState,
    conf: ConfState,
    snapshot: Snapshot,
    /// Follow the snapshot without a gap, or reach back before it.
    entries: Vec<Entry>,
    /// What has to be on the disk before the next message goes out.
    unsaved: WriteBatch,
}

/// What is on the disk can't be a log.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the disk holds no whole log: {0}")]
pub struct CorruptLog(pub String);

/// Only a writer that is full fails, and this one grows.
fn bytes(of: &impl protobuf::Message) -> Vec<u8> {
    of.write_to_bytes().unwrap_or_default()
}

impl RaftLog {
    /// The log of a keeper that founds a fleet with these members.
    pub fn bootstrapped(members: &[u64], state: Vec<u8>) -> RaftLog {
        let mut log = RaftLog::default();
        log.conf.voters = members.to_vec();
        let mut snapshot = Snapshot { data: state.into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = FOUNDED_AT;
        meta.set_conf_state(log.conf.clone());
        (log.hard.commit, log.hard.term) = FOUNDED_AT;
        log.snapshot = snapshot;
        log.note_all();
        log
    }

    /// The log of a keeper that knows nothing yet and waits to be made a member.
    pub fn empty() -> RaftLog {
        let mut log = RaftLog::default();
        log.note_all();
        log
    }

    /// The log as the disk has it.
    pub fn read(kept: &PersistentState) -> Result<RaftLog, CorruptLog> {
        let torn = |what: &str| {
            let what = what.to_owned();
            move |e: protobuf::ProtobufError| CorruptLog(format!("{what}: {e}"))
        };
        let hard = HardState::parse_from_bytes(&kept.hard_state).map_err(torn("the vote"))?;
        let snapshot = Snapshot::parse_from_bytes(&kept.snapshot).map_err(torn("the snapshot"))?;
        // Who the members are goes with what was applied: what came after the snapshot is applied anew.
        let conf = snapshot.get_metadata().get_conf_state().clone();
        let entries = kept.entries.values().map(|bytes| Entry::parse_from_bytes(bytes));
        let entries = entries.collect::<Result<Vec<_>, _>>().map_err(torn("an entry"))?;
        let log = RaftLog { hard, conf, snapshot, entries, unsaved: WriteBatch::default() };
        for (place, (key, entry)) in kept.entries.keys().zip(&log.entries).enumerate() {
            if *key != entry.index || entry.index != log.entries[0].index + place as u64 {
                return Err(CorruptLog(format!("entry {key} is out of its place")));
            }
        }
        let (first, last, at) = (log.first(), log.last(), log.snapshot.get_metadata().index);
        if first > at + 1 || last < at || log.hard.commit > last || log.hard.commit < at {
            let commit = log.hard.commit;
            return Err(CorruptLog(format!("entries {first} to {last}, snapshot {at}, committed {commit}")));
        }
        Ok(log)
    }

    fn note_all(&mut self) {
        self.unsaved.hard_state = Some(bytes(&self.hard));
        self.unsaved.snapshot = Some(bytes(&self.snapshot));
    }

    /// What has to be saved now.
    pub fn unsaved(&mut self) -> WriteBatch {
        std::mem::take(&mut self.unsaved)
    }

    fn first(&self) -> u64 {
        self.entries.first().map_or(self.snapshot.get_metadata().index + 1, |entry| entry.index)
    }

    /// The index of the last entry.
    pub fn last(&self) -> u64 {
        self.entries.last().map_or(self.snapshot.get_metadata().index, |entry| entry.index)
    }

    /// The snapshot's index and what it holds.
    pub fn state(&self) -> (u64, &[u8]) {
        (self.snapshot.get_metadata().index, &self.snapshot.data)
    }

    /// The members.
    pub fn members(&self) -> &ConfState {
        &self.conf
    }

    /// Takes a term, a vote and what is committed.
    pub fn set_hard_state(&mut self, hard_state: &HardState) {
        self.hard = hard_state.clone();
        self.unsaved.hard_state = Some(bytes(&self.hard));
    }

    /// Takes how far the log is committed. It may be lost: it is learned anew.
    pub fn set_commit(&mut self, commit: u64) {
        self.hard.commit = commit;
    }

    /// Takes who the members are. It is saved with the next snapshot; until then a start applies the change anew.
    pub fn set_members(&mut self, conf: ConfState) {
        self.conf = conf;
    }

    /// Takes entries; what stood from their first place on is replaced.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(from) = entries.first().map(|entry| entry.index) else { return };
        self.entries.retain(|entry| entry.index < from);
        self.entries.extend_from_slice(entries);
        self.unsaved.truncate_from = Some(self.unsaved.truncate_from.map_or(from, |cut| cut.min(from)));
        self.unsaved.entries.retain(|index, _| *index < from);
        self.unsaved.entries.extend(entries.iter().map(|entry| (entry.index, bytes(entry))));
    }

    /// Takes a snapshot that another keeper sent: nothing older counts.
    pub fn restore(&mut self, snapshot: &Snapshot) {
        let meta = snapshot.get_metadata();
        self.conf = meta.get_conf_state().clone();
        self.hard.commit = self.hard.commit.max(meta.index);
        self.hard.term = self.hard.term.max(meta.term);
        self.entries.clear();
        self.snapshot = snapshot.clone();
        self.note_all();
        (self.unsaved.truncate_from, self.unsaved.entries) = (Some(0), Default::default());
    }

    /// Makes a snapshot of what was applied up to `index`, and lets entries go but for the last `keep`: a keeper that is
    /// a little behind needs them.
    pub fn compact(&mut self, index: u64, state: Vec<u8>, keep: u64) {
        let Ok(term) = self.term(index) else { return };
        let mut snapshot = Snapshot { data: state.into(), ..Snapshot::default() };
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (index, term);
        meta.set_conf_state(self.conf.clone());
        self.snapshot = snapshot;
        let from = index.saturating_sub(keep);
        self.entries.retain(|entry| entry.index > from);
        self.unsaved.snapshot = Some(bytes(&self.snapshot));
        self.unsaved.compact_to = Some(from);
        self.unsaved.entries.retain(|at, _| *at > from);
    }
}

impl Storage for RaftLog {
    fn initial_state(&self) -> raft::Result<RaftState> {
        Ok(RaftState { hard_state: self.hard.clone(), conf_state: self.conf.clone() })
    }

    fn entries(
        &self,
        low: u64,
        high: u64,
        max_size: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let from = (low - self.first()) as usize;
        let mut found = self.entries[from..from + (high - low) as usize].to_vec();
        let most = max_size.into().unwrap_or(u64::MAX);
        let mut size = 0;
        let fits = found.iter().take_while(|entry| {
            size += u64::from(entry.compute_size());
            size <= most
        });
        let fits = fits.count().max(1);
        found.truncate(fits);
        Ok(found)
    }

    fn term(&self, index: u64) -> raft::Result<u64> {
        let meta = self.snapshot.get_metadata();
        if index == meta.index {
            return Ok(meta.term);
        }
        if index < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let found = self.entries.get((index - self.first()) as usize);
        found.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }

    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }

    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }

    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        match self.snapshot.get_metadata().index >= request_index {
            true => Ok(self.snapshot.clone()),
            false => Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable)),
        }
    }
}
