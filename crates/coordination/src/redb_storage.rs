//! A replica's storage: an embedded `redb` database in one file. Each batch is synced before anything that follows from it
//! is sent.

use hillstall_consensus::replica::new_replica_id;
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, ReplicaStorageError, WriteBatch};
use redb::{
    Database, Durability, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::path::{Path, PathBuf};

const META_TABLE: TableDefinition<'_, &str, Vec<u8>> = TableDefinition::new("meta");
/// Encoded log entries by index.
const LOG_TABLE: TableDefinition<'_, u64, Vec<u8>> = TableDefinition::new("log");

/// Keys of [`META_TABLE`].
const HEADER_KEY: &str = "head";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";

/// Version of the stored form.
const FORMAT_VERSION: u8 = 1;
/// Extension of a file that could not be read and was set aside.
const CORRUPT_EXTENSION: &str = "torn";
/// Extension of the file of before a reset.
const REPLACED_EXTENSION: &str = "old";

/// Small values that change seldom, stored as one. The order of the fields is the stored form.
#[derive(Default, Serialize, Deserialize)]
struct StoredHeader {
    version: u8,
    id: u64,
    boot: u64,
    founders: Vec<u64>,
    participates: bool,
    known_boots: BTreeMap<u64, u64>,
}

/// The storage of one replica, which no second process can open.
pub struct RedbStorage {
    slot: usize,
    path: PathBuf,
    /// `None` only while the file is replaced.
    database: Option<Database>,
    header: StoredHeader,
}

/// Why a replica's storage can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Another process has it open, as the older one does during an upgrade.
    #[error("another process has the keeper's disk")]
    InUse,
    /// The directory does not exist; it may not be mounted.
    #[error("the keeper's disk: {}: there is no such folder", path.display())]
    MissingDirectory {
        /// The directory.
        path: PathBuf,
    },
    /// A corrupt file could not be set aside.
    #[error("the keeper's disk: {source}")]
    SetAside {
        /// What the operating system said.
        source: std::io::Error,
    },
    /// The database can't be opened.
    #[error("the keeper's disk: {source}")]
    Open {
        /// What the database said.
        source: redb::DatabaseError,
    },
}

fn failed(error: impl std::fmt::Display) -> ReplicaStorageError {
    ReplicaStorageError(error.to_string())
}

impl RedbStorage {
    /// Opens a replica's file in a directory, or creates it. The directory has to exist: one that is not mounted must not be
    /// taken for a new one. A corrupt file is set aside for inspection, and the replica begins as a new one.
    ///
    /// # Errors
    /// [`StorageError`]; with [`StorageError::InUse`] a later attempt may succeed.
    pub fn open(directory: &Path, slot: usize) -> Result<RedbStorage, StorageError> {
        if !directory.is_dir() {
            return Err(StorageError::MissingDirectory { path: directory.to_owned() });
        }
        let path = directory.join(format!("keeper-{slot}.redb"));
        match Database::create(&path) {
            Ok(database) => {
                Ok(RedbStorage { slot, path, database: Some(database), header: StoredHeader::default() })
            }
            Err(redb::DatabaseError::DatabaseAlreadyOpen) => Err(StorageError::InUse),
            Err(redb::DatabaseError::Storage(redb::StorageError::Corrupted(error))) => {
                tracing::warn!(error, "coordination: replica storage is corrupt; set aside");
                std::fs::rename(&path, path.with_extension(CORRUPT_EXTENSION))
                    .map_err(|source| StorageError::SetAside { source })?;
                RedbStorage::open(directory, slot)
            }
            Err(source) => Err(StorageError::Open { source }),
        }
    }

    fn database(&self) -> Result<&Database, redb::Error> {
        self.database.as_ref().ok_or_else(|| redb::Error::Io(std::io::Error::other("it is closed")))
    }

    /// Writes a batch and the header in one transaction, and syncs it.
    fn write(&self, batch: &WriteBatch, header: &StoredHeader) -> Result<(), redb::Error> {
        let mut transaction = self.database()?.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        write_meta(&transaction, batch, header)?;
        write_log(&transaction, batch)?;
        transaction.commit()?;
        Ok(())
    }

    /// Reads what is stored; `None` in a new file.
    fn read(&self) -> Result<Option<PersistentState>, redb::Error> {
        let transaction = self.database()?.begin_read()?;
        let meta = match transaction.open_table(META_TABLE) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let get = |key: &str| Ok::<_, redb::Error>(meta.get(key)?.map(|value| value.value()));
        let Some(header) = get(HEADER_KEY)? else { return Ok(None) };
        let header: StoredHeader =
            postcard::from_bytes(&header).map_err(|error| redb::Error::Corrupted(error.to_string()))?;
        Ok(Some(PersistentState {
            entries: read_log(&transaction)?,
            id: header.id,
            boot: header.boot,
            founders: header.founders,
            participates: header.participates,
            hard_state: get(HARD_STATE_KEY)?.unwrap_or_default(),
            snapshot: get(SNAPSHOT_KEY)?.unwrap_or_default(),
            known_boots: header.known_boots,
        }))
    }

    /// Writes the header of a new replica, with an id that no other start draws.
    fn initialize(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        // The system's random hash keys differ at each start.
        let random = RandomState::new().hash_one(std::process::id());
        let id = new_replica_id(self.slot, random);
        self.header = StoredHeader { version: FORMAT_VERSION, id, ..StoredHeader::default() };
        self.write(&WriteBatch::default(), &self.header).map_err(failed)?;
        Ok(PersistentState { id, ..PersistentState::default() })
    }
}

fn write_meta(
    transaction: &WriteTransaction,
    batch: &WriteBatch,
    header: &StoredHeader,
) -> Result<(), redb::Error> {
    let mut meta = transaction.open_table(META_TABLE)?;
    meta.insert(HEADER_KEY, postcard::to_stdvec(header).unwrap_or_default())?;
    for (key, value) in [(HARD_STATE_KEY, &batch.hard_state), (SNAPSHOT_KEY, &batch.snapshot)] {
        if let Some(value) = value {
            meta.insert(key, value.clone())?;
        }
    }
    Ok(())
}

fn write_log(transaction: &WriteTransaction, batch: &WriteBatch) -> Result<(), redb::Error> {
    let mut log = transaction.open_table(LOG_TABLE)?;
    if let Some(first) = batch.truncate_from {
        log.retain_in(first.., |_, _| false)?;
    }
    if let Some(last) = batch.compact_to {
        log.retain_in(..=last, |_, _| false)?;
    }
    for (index, entry) in &batch.entries {
        log.insert(index, entry.clone())?;
    }
    Ok(())
}

fn read_log(transaction: &ReadTransaction) -> Result<BTreeMap<u64, Vec<u8>>, redb::Error> {
    let mut entries = BTreeMap::new();
    for entry in transaction.open_table(LOG_TABLE)?.iter()? {
        let (index, bytes) = entry?;
        entries.insert(index.value(), bytes.value());
    }
    Ok(entries)
}

impl ReplicaStorage for RedbStorage {
    fn load(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        let Some(state) = self.read().map_err(failed)? else { return self.initialize() };
        self.header = StoredHeader {
            version: FORMAT_VERSION,
            id: state.id,
            boot: state.boot,
            founders: state.founders.clone(),
            participates: state.participates,
            known_boots: state.known_boots.clone(),
        };
        Ok(state)
    }

    fn save(&mut self, batch: WriteBatch) -> Result<(), ReplicaStorageError> {
        let header = &mut self.header;
        header.boot = batch.boot.unwrap_or(header.boot);
        header.participates = batch.participates.unwrap_or(header.participates);
        header.known_boots.extend(batch.known_boots.iter());
        if let Some(founders) = &batch.founders {
            header.founders.clone_from(founders);
        }
        self.write(&batch, &self.header).map_err(failed)
    }

    fn reset(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        self.database = None;
        // The last replaced file is kept for inspection.
        std::fs::rename(&self.path, self.path.with_extension(REPLACED_EXTENSION)).map_err(failed)?;
        self.database = Some(Database::create(&self.path).map_err(failed)?);
        self.initialize()
    }
}
