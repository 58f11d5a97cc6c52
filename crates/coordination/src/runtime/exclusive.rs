//! Acquires the resources that only one process can hold: a replica's storage and its listen address. During
//! an upgrade, the older process holds them until it ends; until then, requests of the proxy's event loop are
//! answered here.

use super::handle::RuntimeRequest;
use crate::redb_storage::{RedbStorage, StorageError};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;

/// Pause between two attempts to acquire a resource.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// Opens a replica's storage, retrying while another process has it open or the disk fails. `None` if its
/// directory is missing, or if this process ends first.
pub async fn open_storage(
    directory: &Path,
    slot: usize,
    requests: &mut UnboundedReceiver<RuntimeRequest>,
) -> Option<RedbStorage> {
    let mut is_logged = false;
    loop {
        match RedbStorage::open(directory, slot) {
            Ok(storage) => return Some(storage),
            Err(StorageError::InUse) => {
                if !is_logged {
                    tracing::info!(
                        slot,
                        "coordination: replica storage is in use by another process; waiting"
                    );
                }
                is_logged = true;
            }
            Err(error @ StorageError::MissingDirectory { .. }) => {
                tracing::error!(
                    slot, %error,
                    "coordination: replica storage can't be opened; no coordination until restarted"
                );
                return None;
            }
            Err(error) => {
                if !is_logged {
                    tracing::warn!(slot, %error, "coordination: replica storage can't be opened; retrying");
                }
                is_logged = true;
            }
        }
        retry_pause(requests).await?;
    }
}

/// Binds a replica's listen address, retrying until it succeeds. `None` if this process ends first.
pub async fn bind_listener(
    address: SocketAddr,
    requests: &mut UnboundedReceiver<RuntimeRequest>,
) -> Option<TcpListener> {
    let mut is_logged = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(error) => {
                if !is_logged {
                    tracing::warn!(%address, %error, "coordination: fleet.listen can't be bound; retrying");
                }
                is_logged = true;
            }
        }
        retry_pause(requests).await?;
    }
}

/// Waits until the next attempt and answers requests meanwhile; `None` if the proxy has dropped its handle.
async fn retry_pause(requests: &mut UnboundedReceiver<RuntimeRequest>) -> Option<()> {
    let pause = sleep(RETRY_INTERVAL);
    tokio::pin!(pause);
    loop {
        tokio::select! {
            () = &mut pause => return Some(()),
            request = requests.recv() => answer_before_start(request?),
        }
    }
}

/// Answers a request while this instance does not take part in coordination yet; reports and signals are
/// dropped.
fn answer_before_start(request: RuntimeRequest) {
    match request {
        RuntimeRequest::AdminCommand { response, .. } => {
            let _ = response.send("400 this copy does not take part yet\n".into());
        }
        RuntimeRequest::ReleaseLeases { released } => {
            let _ = released.send(());
        }
        RuntimeRequest::LoadReport(_) | RuntimeRequest::PlatformSignal(_) => {}
    }
}
