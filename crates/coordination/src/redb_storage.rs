//! A replica's storage: an embedded `redb` database in one file. Each batch is synced to disk before the
//! replica sends any message that depends on it.

use hillstall_consensus::replica::new_replica_id;
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, ReplicaStorageError, WriteBatch};
use redb::{
    Database, Durability, ReadTransaction, ReadableDatabase, ReadableTable, TableDefinition, WriteTransaction,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::io::ErrorKind;
use std::path::{Path, PathBuf};

const META_TABLE: TableDefinition<'_, &str, Vec<u8>> = TableDefinition::new("meta");
/// Encoded log entries by index.
const LOG_TABLE: TableDefinition<'_, u64, Vec<u8>> = TableDefinition::new("log");

/// Keys of [`META_TABLE`]. They are stored, so they stay as they are.
const HEADER_KEY: &str = "head";
const HARD_STATE_KEY: &str = "hard";
const SNAPSHOT_KEY: &str = "snapshot";

/// Version of the stored format.
const FORMAT_VERSION: u8 = 1;
/// Extension that a corrupt file is renamed to.
const CORRUPT_EXTENSION: &str = "torn";
/// Extension that the previous file is renamed to when the storage is reset.
const REPLACED_EXTENSION: &str = "old";

/// Small values that rarely change, stored as one value. The order of the fields is the stored format.
#[derive(Default, Serialize, Deserialize)]
struct StoredHeader {
    version: u8,
    id: u64,
    boot: u64,
    founders: Vec<u64>,
    participates: bool,
    known_boots: BTreeMap<u64, u64>,
}

/// The storage of one replica. Only one process can have it open.
pub struct RedbStorage {
    slot: usize,
    path: PathBuf,
    /// `None` while [`ReplicaStorage::reset`] replaces the file, and from a failure to the next
    /// [`ReplicaStorage::load`]: after an error of the file, the database has to be opened anew.
    database: Option<Database>,
    header: StoredHeader,
}

/// Why a replica's storage can't be opened.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Another process has the file open, such as the older process during an upgrade.
    #[error("replica storage is open in another process")]
    InUse,
    /// The directory does not exist; perhaps its file system is not mounted.
    #[error("replica storage directory {} does not exist", path.display())]
    MissingDirectory {
        /// The configured directory.
        path: PathBuf,
    },
    /// A corrupt file could not be renamed.
    #[error("corrupt replica storage can't be renamed: {source}")]
    SetAside {
        /// Why the file can't be renamed.
        source: std::io::Error,
    },
    /// The database can't be opened for another reason.
    #[error("replica storage can't be opened: {source}")]
    Open {
        /// Why `redb` can't open the file.
        source: redb::DatabaseError,
    },
}

/// Whether the file is no database, or a damaged one. A file whose creation was cut off is none yet.
fn is_corrupt(error: &redb::StorageError) -> bool {
    match error {
        redb::StorageError::Corrupted(_) => true,
        redb::StorageError::Io(error) => error.kind() == ErrorKind::InvalidData,
        _ => false,
    }
}

fn storage_error(error: impl std::fmt::Display) -> ReplicaStorageError {
    ReplicaStorageError(error.to_string())
}

impl RedbStorage {
    /// Opens or creates the file of the replica in `slot`. The directory must exist: if it were created, a
    /// replica whose file system is not mounted would start without its data. A corrupt file is renamed for
    /// inspection, and the replica starts with a new one.
    ///
    /// # Errors
    /// [`StorageError`]; after [`StorageError::InUse`] a later attempt may succeed.
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
            Err(redb::DatabaseError::Storage(error)) if is_corrupt(&error) => {
                tracing::warn!(
                    %error,
                    "coordination: replica storage is corrupt; renaming the file and starting with a new one"
                );
                std::fs::rename(&path, path.with_extension(CORRUPT_EXTENSION))
                    .map_err(|source| StorageError::SetAside { source })?;
                RedbStorage::open(directory, slot)
            }
            Err(source) => Err(StorageError::Open { source }),
        }
    }

    fn database(&self) -> Result<&Database, redb::Error> {
        self.database.as_ref().ok_or_else(|| redb::Error::Io(std::io::Error::other("database is closed")))
    }

    /// Writes a batch and the header in one transaction, and syncs it to disk.
    fn write(&self, batch: &WriteBatch, header: &StoredHeader) -> Result<(), redb::Error> {
        let mut transaction = self.database()?.begin_write()?;
        transaction.set_durability(Durability::Immediate)?;
        write_meta(&transaction, batch, header)?;
        write_log(&transaction, batch)?;
        transaction.commit()?;
        Ok(())
    }

    /// Opens the database, unless it is open.
    fn ensure_open(&mut self) -> Result<(), ReplicaStorageError> {
        if self.database.is_none() {
            let reopened = RedbStorage::open(self.directory(), self.slot).map_err(storage_error)?;
            self.database = reopened.database;
        }
        Ok(())
    }

    fn directory(&self) -> &Path {
        self.path.parent().unwrap_or(Path::new("."))
    }

    /// Passes a result on; after an error the database is closed.
    fn close_on_error<T>(&mut self, result: Result<T, redb::Error>) -> Result<T, ReplicaStorageError> {
        if result.is_err() {
            self.database = None;
        }
        result.map_err(storage_error)
    }

    /// Reads the stored state; `None` in a new file.
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

    /// Writes the header of a new replica, with a random id that distinguishes it from earlier replicas in
    /// the slot.
    fn initialize(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        // The standard library seeds its hash keys from the operating system's random source at each start.
        let random = RandomState::new().hash_one(std::process::id());
        let id = new_replica_id(self.slot, random);
        self.header = StoredHeader { version: FORMAT_VERSION, id, ..StoredHeader::default() };
        let written = self.write(&WriteBatch::default(), &self.header);
        self.close_on_error(written)?;
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
        self.ensure_open()?;
        let stored = self.read();
        let Some(state) = self.close_on_error(stored)? else { return self.initialize() };
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
        let written = self.write(&batch, &self.header);
        self.close_on_error(written)
    }

    fn reset(&mut self) -> Result<PersistentState, ReplicaStorageError> {
        self.database = None;
        // The previous file is kept for inspection, until the next reset.
        std::fs::rename(&self.path, self.path.with_extension(REPLACED_EXTENSION)).map_err(storage_error)?;
        self.database = Some(Database::create(&self.path).map_err(storage_error)?);
        self.initialize()
    }
}
