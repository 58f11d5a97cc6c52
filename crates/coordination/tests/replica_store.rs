//! The file of a replica: saved data is loaded after a restart, and a file that an earlier version wrote is
//! read to the byte. `fixtures/keeper-1.redb` was written by one of three replicas; tests open a copy, so
//! that the fixture does not change.

use hillstall_change_freeze::state::ChangeStatus;
use hillstall_consensus::log::RaftLog;
use hillstall_consensus::replica::Replica;
use hillstall_consensus::state::{Proposal, State};
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, WriteBatch};
use hillstall_coordination::redb_storage::{RedbStorage, StorageError};
use protobuf::Message as _;
use raft::eraftpb::{Entry, EntryType, HardState};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition, TableHandle};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::{Path, PathBuf};
use tempfile::TempDir;

const FIXTURE: &[u8] = include_bytes!("fixtures/keeper-1.redb");
/// The values in the file and those derived from it, one per line: a name and the bytes in hexadecimal.
const EXPECTED_VALUES: &str = include_str!("fixtures/keeper-1.txt");
const FILE_NAME: &str = "keeper-1.redb";
const SLOT: usize = 1;
const REPLICAS: usize = 3;

const META_TABLE: TableDefinition<'_, &str, Vec<u8>> = TableDefinition::new("meta");
const LOG_TABLE: TableDefinition<'_, u64, Vec<u8>> = TableDefinition::new("log");

const ID: u64 = 0x1_b8db_d0f9;
const BOOT: u64 = 2;
const FOUNDERS: [u64; REPLICAS] = [0x6f3b_9246, ID, 0x2_5402_d36a];
const KNOWN_BOOTS: [(u64, u64); 2] = [(0x6f3b_9246, 2), (0x2_5402_d36a, 2)];
/// Term, vote and commit.
const HARD_STATE: (u64, u64, u64) = (3, ID, 277);
const SNAPSHOT_INDEX: u64 = 257;
/// The first and the last index of the log entries.
const ENTRY_RANGE: (u64, u64) = (194, 277);

/// Decodes hexadecimal digits.
fn decode_hex(hex: &str) -> Vec<u8> {
    assert!(hex.len().is_multiple_of(2), "odd number of digits: {hex}");
    let digits = |at: usize| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hexadecimal digits");
    (0..hex.len()).step_by(2).map(digits).collect()
}

fn encode_hex(bytes: &[u8]) -> String {
    bytes.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

fn expected_values() -> BTreeMap<String, Vec<u8>> {
    let line = |line: &str| {
        let (name, hex) = line.split_once(' ').expect("a name and bytes");
        (name.to_owned(), decode_hex(hex))
    };
    EXPECTED_VALUES.lines().map(line).collect()
}

/// The expected values of the file's own tables, without those derived from them.
fn expected_tables() -> BTreeMap<String, Vec<u8>> {
    expected_values()
        .into_iter()
        .filter(|(name, _)| name.starts_with("meta/") || name.starts_with("log/"))
        .collect()
}

fn expected_value(name: &str) -> Vec<u8> {
    expected_values().remove(name).unwrap_or_else(|| panic!("no line {name}"))
}

/// Copies the fixture to a temporary directory; returns the directory and the path of the copy.
fn copy_fixture() -> (TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join(FILE_NAME);
    std::fs::write(&path, FIXTURE).expect("the fixture is copied");
    (directory, path)
}

/// Reads all values of all tables of a file.
fn read_tables(path: &Path) -> BTreeMap<String, Vec<u8>> {
    let database = Database::open(path).expect("the file opens");
    let transaction = database.begin_read().expect("a read transaction");
    let mut names: Vec<String> =
        transaction.list_tables().expect("the list of tables").map(|t| t.name().to_owned()).collect();
    names.sort();
    assert_eq!(names, ["log", "meta"]);
    let mut values = BTreeMap::new();
    for entry in
        transaction.open_table(META_TABLE).expect("the table exists").iter().expect("the table is read")
    {
        let (key, value) = entry.expect("the entry is read");
        values.insert(format!("meta/{}", key.value()), value.value());
    }
    for entry in
        transaction.open_table(LOG_TABLE).expect("the table exists").iter().expect("the table is read")
    {
        let (index, value) = entry.expect("the entry is read");
        values.insert(format!("log/{:06}", index.value()), value.value());
    }
    values
}

fn assert_same_values(found: &BTreeMap<String, Vec<u8>>, expected: &BTreeMap<String, Vec<u8>>) {
    assert_eq!(found.keys().collect::<Vec<_>>(), expected.keys().collect::<Vec<_>>());
    for (name, bytes) in expected {
        assert_eq!(encode_hex(&found[name]), encode_hex(bytes), "{name}");
    }
}

fn load(directory: &TempDir) -> PersistentState {
    let mut storage = RedbStorage::open(directory.path(), SLOT).expect("the storage opens");
    storage.load().expect("the state is loaded")
}

fn entries(loaded: &PersistentState) -> BTreeMap<u64, Entry> {
    let entry = |(index, bytes): (&u64, &Vec<u8>)| {
        let entry = Entry::parse_from_bytes(bytes).expect("a log entry");
        assert_eq!(encode_hex(&entry.write_to_bytes().expect("encoded")), encode_hex(bytes), "entry {index}");
        (*index, entry)
    };
    loaded.entries.iter().map(entry).collect()
}

#[test]
fn saved_data_and_nothing_else_is_loaded_after_a_restart() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut storage = RedbStorage::open(directory.path(), 1).expect("the storage opens");
    let new = storage.load().expect("the state is loaded");
    assert!(new.id >> 32 == 1 && new.boot == 0 && !new.participates);
    let entries: BTreeMap<u64, Vec<u8>> = (5..9).map(|i| (i, vec![i as u8])).collect();
    let first_batch =
        WriteBatch { boot: Some(1), hard_state: Some(vec![1]), entries, ..WriteBatch::default() };
    storage.save(first_batch).expect("the batch is saved");
    let second_batch = WriteBatch {
        truncate_from: Some(8),
        compact_to: Some(5),
        known_boots: [(3, 4)].into(),
        ..WriteBatch::default()
    };
    storage.save(second_batch).expect("the batch is saved");
    assert!(
        matches!(RedbStorage::open(directory.path(), 1), Err(StorageError::InUse)),
        "the file can't be opened twice"
    );
    drop(storage);
    let mut reopened = RedbStorage::open(directory.path(), 1).expect("the storage opens");
    let loaded = reopened.load().expect("the state is loaded");
    assert_eq!((loaded.id, loaded.boot, loaded.hard_state.as_slice()), (new.id, 1, &[1u8][..]));
    assert_eq!(loaded.entries.keys().copied().collect::<Vec<_>>(), [6, 7]);
    assert_eq!(loaded.known_boots, [(3, 4)].into());
    let reset = reopened.reset().expect("the storage is reset");
    assert!(reset.id != new.id && reset.entries.is_empty());
    assert!(
        RedbStorage::open(&directory.path().join("none"), 0).is_err(),
        "a missing directory is not created"
    );
}

#[test]
fn a_truncated_file_is_not_loaded_as_the_old_replica() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let path = directory.path().join("keeper-0.redb");
    let mut first = RedbStorage::open(directory.path(), 0).expect("the storage opens");
    let id = first.load().expect("the state is loaded").id;
    drop(first);
    let bytes = std::fs::read(&path).expect("the file exists");
    std::fs::write(&path, &bytes[..bytes.len() / 3]).expect("the file is truncated");
    if let Ok(mut storage) = RedbStorage::open(directory.path(), 0) {
        assert_ne!(storage.load().map(|loaded| loaded.id).unwrap_or(0), id);
    }
}

#[test]
fn the_tables_of_the_fixture_have_the_expected_values() {
    let (_directory, path) = copy_fixture();
    assert_same_values(&read_tables(&path), &expected_tables());
}

#[test]
fn all_values_of_the_fixture_are_loaded() {
    let (directory, path) = copy_fixture();
    let loaded = load(&directory);
    assert_eq!((loaded.id, loaded.boot, loaded.participates), (ID, BOOT, true));
    assert_eq!(loaded.founders, FOUNDERS);
    assert_eq!(loaded.known_boots, KNOWN_BOOTS.into());
    assert_eq!(encode_hex(&loaded.hard_state), encode_hex(&expected_value("meta/hard")));
    assert_eq!(encode_hex(&loaded.snapshot), encode_hex(&expected_value("meta/snapshot")));
    let logged = |(index, bytes): (&u64, &Vec<u8>)| (format!("log/{index:06}"), bytes.clone());
    let expected = expected_tables().into_iter().filter(|(name, _)| name.starts_with("log/")).collect();
    assert_same_values(&loaded.entries.iter().map(logged).collect(), &expected);
    assert_same_values(&read_tables(&path), &expected_tables());
}

#[test]
fn the_hard_state_of_the_fixture_is_decoded() {
    let (directory, _) = copy_fixture();
    let hard = HardState::parse_from_bytes(&load(&directory).hard_state).expect("a hard state");
    assert_eq!((hard.term, hard.vote, hard.commit), HARD_STATE);
}

#[test]
fn the_log_of_the_fixture_leads_to_the_expected_state() {
    let (directory, _) = copy_fixture();
    let loaded = load(&directory);
    let log = RaftLog::read(&loaded).expect("a valid log");
    assert_eq!(log.members().voters, FOUNDERS);
    let (index, snapshot) = log.snapshot_state();
    assert_eq!((index, log.last_entry_index()), (SNAPSHOT_INDEX, ENTRY_RANGE.1));
    assert_eq!(encode_hex(snapshot), encode_hex(&expected_value("state/snapshot")));
    let mut state = State::from_bytes(snapshot).expect("a valid state");
    assert_eq!(encode_hex(&state.to_bytes()), encode_hex(snapshot));
    let entries = entries(&loaded);
    assert_eq!(
        (entries.keys().min().copied(), entries.keys().max().copied()),
        (Some(ENTRY_RANGE.0), Some(ENTRY_RANGE.1))
    );
    for (at, entry) in entries {
        assert_eq!((entry.index, entry.entry_type), (at, EntryType::EntryNormal));
        if entry.data.is_empty() {
            continue;
        }
        let (proposal, rest) = postcard::take_from_bytes::<Proposal>(&entry.data).expect("a proposal");
        assert!(rest.is_empty(), "entry {at} has bytes after its proposal");
        assert_eq!(encode_hex(&postcard::to_stdvec(&proposal).expect("encoded")), encode_hex(&entry.data));
        if at > index {
            state.apply(at, &proposal);
        }
    }
    assert_eq!(encode_hex(&state.to_bytes()), encode_hex(&expected_value("state/after-all-entries")));
}

#[test]
fn the_snapshot_of_the_fixture_covers_leases_freeze_and_windows() {
    let (directory, _) = copy_fixture();
    let log = RaftLog::read(&load(&directory)).expect("a valid log");
    let state = State::from_bytes(log.snapshot_state().1).expect("a valid state");
    assert!(state.leases().leases().any(|(_, grant, candidates)| grant.is_some() && candidates.len() > 1));
    assert!(state.freeze().incidents().len() > 1);
    let has = |status: ChangeStatus| state.freeze().changes().values().any(|change| change.status == status);
    assert!(
        has(ChangeStatus::Queued) && has(ChangeStatus::InFlight) && has(ChangeStatus::AwaitingSecondApproval)
    );
    assert!(state.windows().all().values().any(|window| window.stage.takes_traffic_away() && window.overrun));
}

#[test]
fn a_replica_starts_from_the_fixture() {
    let (directory, path) = copy_fixture();
    let storage = RedbStorage::open(directory.path(), SLOT).expect("the storage opens");
    let replica = Replica::start(SLOT, REPLICAS, storage, 7, 0);
    assert_eq!((replica.halt_reason(), replica.id(), replica.applied_index()), (None, ID, SNAPSHOT_INDEX));
    assert_eq!(replica.voters(), FOUNDERS);
    assert_eq!(encode_hex(&replica.state().to_bytes()), encode_hex(&expected_value("state/snapshot")));
    drop(replica);
    let mut expected = expected_tables();
    expected.insert("meta/head".into(), expected_value("head/after-start"));
    assert_same_values(&read_tables(&path), &expected);
}

#[test]
fn saved_data_has_the_bytes_of_the_fixture() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let mut storage = RedbStorage::open(directory.path(), SLOT).expect("the storage opens");
    storage.load().expect("a new state");
    let (fixture_directory, _) = copy_fixture();
    let loaded = load(&fixture_directory);
    let batch = WriteBatch {
        boot: Some(loaded.boot),
        founders: Some(loaded.founders),
        participates: Some(loaded.participates),
        hard_state: Some(loaded.hard_state),
        known_boots: loaded.known_boots,
        snapshot: Some(loaded.snapshot),
        entries: loaded.entries,
        ..WriteBatch::default()
    };
    storage.save(batch).expect("the batch is saved");
    drop(storage);
    let mut found = read_tables(&directory.path().join(FILE_NAME));
    // The header's id is random for each new file; the bytes before and after it must be the same.
    let (new, old) = (found.remove("meta/head").expect("a header"), expected_value("meta/head"));
    let after_id = |head: &[u8]| {
        let (_, rest) = postcard::take_from_bytes::<(u8, u64)>(head).expect("a version and an id");
        rest.to_vec()
    };
    assert_eq!(new[0], old[0], "the format version");
    assert_eq!(encode_hex(&after_id(&new)), encode_hex(&after_id(&old)));
    let mut expected = expected_tables();
    expected.remove("meta/head");
    assert_same_values(&found, &expected);
}

#[test]
fn a_reset_keeps_the_previous_file_beside_the_new_one() {
    let (directory, path) = copy_fixture();
    let mut storage = RedbStorage::open(directory.path(), SLOT).expect("the storage opens");
    storage.load().expect("the state is loaded");
    let reset = storage.reset().expect("the storage is reset");
    assert!(reset.id != ID && reset.id >> 32 == SLOT as u64);
    drop(storage);
    assert_same_values(&read_tables(&directory.path().join("keeper-1.old")), &expected_tables());
    assert_eq!(read_tables(&path).into_keys().collect::<Vec<_>>(), ["meta/head"]);
}
