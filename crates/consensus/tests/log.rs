//! The changes of the log that are stored.

use hillstall_consensus::log::RaftLog;
use hillstall_consensus::storage::PersistentState;
use raft::eraftpb::{Entry, HardState};

const LAST_INDEX: u64 = 5;
const TERM: u64 = 2;

/// A log with some entries of one term, and the contents of its storage.
fn stored_log() -> (RaftLog, PersistentState) {
    let (mut log, mut stored) = (RaftLog::empty(), PersistentState::default());
    let entry = |index| Entry { index, term: TERM, ..Entry::default() };
    log.append(&(1..=LAST_INDEX).map(entry).collect::<Vec<_>>());
    log.set_hard_state(&HardState { term: TERM, ..HardState::default() });
    log.take_unsaved().apply(&mut stored);
    (log, stored)
}

// Guards against a replica that takes its own storage for corrupt after a crash: the snapshot was stored
// without the commit index, which was behind it then.
#[test]
fn a_stored_snapshot_is_never_ahead_of_the_stored_commit_index() {
    let (mut log, mut stored) = stored_log();
    log.set_commit(LAST_INDEX);
    log.compact(LAST_INDEX, b"state".to_vec(), 0);
    log.take_unsaved().apply(&mut stored);
    let read = RaftLog::read(&stored).expect("the stored log is consistent");
    assert_eq!(read.snapshot_state().0, LAST_INDEX);
}

// Guards against a write for each commit: a replica learns the commit index from the leader after a start. A
// vote must be stored.
#[test]
fn a_commit_index_alone_is_not_stored_but_a_vote_is() {
    let (mut log, _) = stored_log();
    log.set_hard_state(&HardState { term: TERM, commit: LAST_INDEX, ..HardState::default() });
    assert!(log.take_unsaved().is_empty());
    log.set_hard_state(&HardState { term: TERM, commit: LAST_INDEX, vote: 1, ..HardState::default() });
    assert!(!log.take_unsaved().is_empty());
}
