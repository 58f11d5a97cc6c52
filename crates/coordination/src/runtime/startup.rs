//! Starts the coordination thread, and opens a replica's storage and listener before its event loop starts.

use super::event_loop::Runtime;
use super::exclusive::{bind_listener, open_storage};
use super::handle::{Advisory, CoordinationHandle, InstanceLocation, RuntimeRequest};
use crate::connections::{accept, ConnectionEvent, LocalIdentity};
use crate::redb_storage::RedbStorage;
use crate::settings::{LocalReplica, Settings};
use hillstall_lease::Instance;
use std::hash::{BuildHasher, RandomState};
use std::net::IpAddr;
use std::path::PathBuf;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::task::{spawn_local, LocalSet};

/// Name of the coordination thread, as debuggers and the operating system show it.
const THREAD_NAME: &str = "fleet";

/// Why coordination could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The operating system could not start the thread.
    #[error("fleet: coordination thread can't be started: {source}")]
    Thread {
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The directory for a replica's storage does not exist.
    #[error(
        "fleet.disk: directory {} does not exist; a keeper needs one that outlives the process",
        path.display()
    )]
    MissingStorageDirectory {
        /// The configured directory.
        path: PathBuf,
    },
}

/// Starts coordination on its own thread. If that thread fails, the proxy continues to serve requests without
/// coordination.
///
/// Returns the handle to the thread and the receiver of its messages to the proxy.
///
/// # Errors
/// [`StartError`] if the thread can't be started, or if this instance is a replica whose storage directory is
/// missing.
pub fn start(
    settings: Settings,
    location: InstanceLocation,
) -> Result<(CoordinationHandle, UnboundedReceiver<Advisory>), StartError> {
    if let Some(replica) = &settings.local_replica {
        if !replica.storage_directory.is_dir() {
            return Err(StartError::MissingStorageDirectory { path: replica.storage_directory.clone() });
        }
    }
    let (request_sender, requests) = unbounded_channel();
    let (advisory_sender, advisories) = unbounded_channel();
    let run_thread = move || {
        let built = tokio::runtime::Builder::new_current_thread().enable_all().build();
        match built {
            Ok(executor) => {
                LocalSet::new().block_on(&executor, run(settings, location, requests, advisory_sender))
            }
            Err(error) => {
                tracing::error!(
                    %error, "coordination: async runtime can't be created; no coordination until restarted"
                )
            }
        }
    };
    let spawned = std::thread::Builder::new().name(THREAD_NAME.into()).spawn(run_thread);
    spawned.map_err(|source| StartError::Thread { source })?;
    Ok((CoordinationHandle::new(request_sender), advisories))
}

/// Runs on the coordination thread until the proxy drops its handle.
async fn run(
    settings: Settings,
    location: InstanceLocation,
    mut requests: UnboundedReceiver<RuntimeRequest>,
    advisories: UnboundedSender<Advisory>,
) {
    // The standard library seeds its hash keys from the operating system's random source, so each start of a
    // process gets another incarnation.
    let incarnation = RandomState::new().hash_one(std::process::id());
    let identity = LocalIdentity {
        fleet: settings.name.clone(),
        instance: Instance { rank: location.rank, incarnation },
        slot: settings.local_replica.as_ref().map(|replica| replica.slot),
    };
    let (event_sender, events) = unbounded_channel();
    let mut storage = None;
    if let Some(replica) = &settings.local_replica {
        storage = start_replica(replica, &settings, &identity, &event_sender, &mut requests).await;
        if storage.is_none() {
            return;
        }
    }
    let runtime = Runtime::new(settings, location, identity, storage, event_sender, advisories);
    runtime.run(requests, events).await;
}

/// Acquires a replica's storage and listen address, and starts to accept connections. `None` if the storage
/// can't be opened, or if the process ends first.
async fn start_replica(
    replica: &LocalReplica,
    settings: &Settings,
    identity: &LocalIdentity,
    events: &UnboundedSender<ConnectionEvent>,
    requests: &mut UnboundedReceiver<RuntimeRequest>,
) -> Option<RedbStorage> {
    let storage = open_storage(&replica.storage_directory, replica.slot, requests).await;
    let listener = bind_listener(replica.listen_address, requests).await;
    let (storage, listener) = (storage?, listener?);
    let mut sources: Vec<IpAddr> = settings.replicas.iter().map(|address| address.ip()).collect();
    sources.extend(&settings.allowed_sources);
    let is_allowed = move |source| sources.contains(&source);
    spawn_local(accept(listener, identity.clone(), is_allowed, events.clone()));
    Some(storage)
}
