//! A keeper's lasting disk: an embedded store, synced before anything is told to others.

use hillstall_consensus::replica::new_id;
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, StorageFailed, WriteBatch};
use redb::{Database, Durability, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::path::{Path, PathBuf};

const META: TableDefinition<'_, &str, Vec<u8>> = TableDefinition::new("meta");
const LOG: TableDefinition<'_, u64, Vec<u8>> = TableDefinition::new("log");
/// The version of what is written.
const VERSION: u8 = 1;

/// What changes seldom, as one value.
#[derive(Default, Serialize, Deserialize)]
struct Head {
    version: u8,
    id: u64,
    boot: u64,
    founders: Vec<u64>,
    takes_part: bool,
    seen: BTreeMap<u64, u64>,
}

/// See the module's text.
pub struct RedbStorage {
    slot: usize,
    path: PathBuf,
    base: Option<Database>,
    head: Head,
}

/// Why a disk can't be used now.
#[derive(Debug, thiserror::Error)]
pub enum StorageError {
    /// Another process has it, as the older one during an upgrade.
    #[error("another process has the keeper's disk")]
    InUse,
    /// It fails.
    #[error("the keeper's disk: {0}")]
    Failed(String),
}

fn failed(why: impl std::fmt::Display) -> StorageFailed {
    StorageFailed(why.to_string())
}

impl RedbStorage {
    /// Opens a keeper's file in a folder, which must be there: one that is not mounted must not be taken for a new one.
    pub fn open(folder: &Path, slot: usize) -> Result<RedbStorage, StorageError> {
        if !folder.is_dir() {
            return Err(StorageError::Failed(format!("{}: there is no such folder", folder.display())));
        }
        let path = folder.join(format!("keeper-{slot}.redb"));
        match Database::create(&path) {
            Ok(base) => Ok(RedbStorage { slot, path, base: Some(base), head: Head::default() }),
            Err(redb::DatabaseError::DatabaseAlreadyOpen) => Err(StorageError::InUse),
            // Whatever is there can't be read: it is put aside, for people to look at, and the keeper is a new one.
            Err(redb::DatabaseError::Storage(redb::StorageError::Corrupted(why))) => {
                tracing::warn!("keeper's disk: {why}; it is put aside");
                std::fs::rename(&path, path.with_extension("torn"))
                    .map_err(|e| StorageError::Failed(e.to_string()))?;
                RedbStorage::open(folder, slot)
            }
            Err(why) => Err(StorageError::Failed(why.to_string())),
        }
    }

    fn base(&self) -> Result<&Database, StorageFailed> {
        self.base.as_ref().ok_or_else(|| failed("it is closed"))
    }

    fn write(&self, change: &WriteBatch, head: &Head) -> Result<(), redb::Error> {
        let base = self.base().map_err(|e| redb::Error::Io(std::io::Error::other(e.0)))?;
        let mut writing = base.begin_write()?;
        writing.set_durability(Durability::Immediate)?;
        {
            let mut meta = writing.open_table(META)?;
            meta.insert("head", postcard::to_stdvec(head).unwrap_or_default())?;
            for (key, value) in [("hard", &change.hard_state), ("snapshot", &change.snapshot)] {
                if let Some(value) = value {
                    meta.insert(key, value.clone())?;
                }
            }
            let mut log = writing.open_table(LOG)?;
            if let Some(from) = change.truncate_from {
                log.retain_in(from.., |_, _| false)?;
            }
            if let Some(to) = change.compact_to {
                log.retain_in(..=to, |_, _| false)?;
            }
            for (index, entry) in &change.entries {
                log.insert(index, entry.clone())?;
            }
        }
        writing.commit()?;
        Ok(())
    }

    fn read(&self) -> Result<Option<PersistentState>, redb::Error> {
        let base = self.base().map_err(|e| redb::Error::Io(std::io::Error::other(e.0)))?;
        let reading = base.begin_read()?;
        let meta = match reading.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(why) => return Err(why.into()),
        };
        let get = |key: &str| Ok::<_, redb::Error>(meta.get(key)?.map(|value| value.value()));
        let head: Head = match get("head")?.map(|bytes| postcard::from_bytes(&bytes)) {
            Some(Ok(head)) => head,
            Some(Err(why)) => return Err(redb::Error::Corrupted(why.to_string())),
            None => return Ok(None),
        };
        let mut entries = BTreeMap::new();
        for entry in reading.open_table(LOG)?.iter()? {
            let (index, bytes) = entry?;
            entries.insert(index.value(), bytes.value());
        }
        let Head { id, boot, founders, takes_part, seen, .. } = head;
        let (hard, snapshot) = (get("hard")?.unwrap_or_default(), get("snapshot")?.unwrap_or_default());
        Ok(Some(PersistentState {
            id,
            boot,
            founders,
            participates: takes_part,
            hard_state: hard,
            snapshot,
            entries,
            known_boots: seen,
        }))
    }

    fn begin_anew(&mut self) -> Result<PersistentState, StorageFailed> {
        // Hashing nothing with the system's keys gives a number that no other start gets.
        let random = RandomState::new().hash_one(std::process::id());
        self.head = Head { version: VERSION, id: new_id(self.slot, random), ..Head::default() };
        self.write(&WriteBatch::default(), &self.head).map_err(failed)?;
        Ok(PersistentState { id: self.head.id, ..PersistentState::default() })
    }
}

impl ReplicaStorage for RedbStorage {
    fn load(&mut self) -> Result<PersistentState, StorageFailed> {
        match self.read().map_err(failed)? {
            Some(kept) => {
                let (id, boot, founders) = (kept.id, kept.boot, kept.founders.clone());
                let (takes_part, seen) = (kept.participates, kept.known_boots.clone());
                self.head = Head { version: VERSION, id, boot, founders, takes_part, seen };
                Ok(kept)
            }
            None => self.begin_anew(),
        }
    }

    fn save(&mut self, change: WriteBatch) -> Result<(), StorageFailed> {
        let head = &mut self.head;
        head.boot = change.boot.unwrap_or(head.boot);
        head.takes_part = change.participates.unwrap_or(head.takes_part);
        head.seen.extend(change.known_boots.iter());
        if let Some(founders) = &change.founders {
            head.founders.clone_from(founders);
        }
        self.write(&change, &self.head).map_err(failed)
    }

    fn reset(&mut self) -> Result<PersistentState, StorageFailed> {
        self.base = None;
        // Kept for people to look at; one such copy is enough.
        std::fs::rename(&self.path, self.path.with_extension("old")).map_err(failed)?;
        self.base = Some(Database::create(&self.path).map_err(failed)?);
        self.begin_anew()
    }
}
