//! The handover from an older process of the same proxy to a newer one during an upgrade. They find each other by a
//! Unix socket in a shared folder; while it is connected, each uses half of the proxy's resources.

use hillstall_http1::server::HttpServer;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Longest wait for the older process to reduce itself to its half of the resources.
const REDUCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Between two checks whether this process fits its half.
const REDUCE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The byte that the older process sends once it fits its half.
const REDUCED: u8 = b'1';

/// What this process knows of the other one.
pub struct Handover {
    socket_path: PathBuf,
    /// The connection to the older process, while that runs.
    older: Cell<Option<UnixStream>>,
    has_newer: Cell<bool>,
}

impl Handover {
    /// Connects to an older process at this address, if there is one, and waits until it has reduced itself.
    pub async fn connect(folder: &Path, listen: SocketAddr) -> Rc<Handover> {
        let socket_path = folder.join(format!("hillstall-{}-{}.sock", listen.ip(), listen.port()));
        let older = match UnixStream::connect(&socket_path).await {
            Ok(stream) => await_reduction(stream).await,
            Err(_) => None,
        };
        Rc::new(Handover { socket_path, older: Cell::new(older), has_newer: Cell::new(false) })
    }

    /// Whether an older process was running at the start.
    pub fn has_older(&self) -> bool {
        let older = self.older.take();
        let has_older = older.is_some();
        self.older.set(older);
        has_older
    }

    /// Whether a newer process runs, to which clients can go.
    pub fn has_newer(&self) -> bool {
        self.has_newer.get()
    }

    /// Follows the end of the older process and the arrival of newer ones, in the background.
    pub fn start(self: &Rc<Self>, server: Rc<HttpServer>) {
        spawn_local(self.clone().run(server));
    }

    /// Waits for the end of the older process, if there is one, and from then on serves newer ones.
    async fn run(self: Rc<Self>, server: Rc<HttpServer>) {
        if let Some(older) = self.older.take() {
            until_closed(older).await;
            server.apply_resource_share(0);
        }
        let Some(listener) = self.bind_socket() else { return };
        loop {
            // One at a time: a third process waits, and at worst starts late.
            match listener.accept().await {
                Ok((newer, _)) => self.serve_newer(newer, &server).await,
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Listens for newer processes. Without the socket the proxy works on, but an upgrade has a gap.
    fn bind_socket(&self) -> Option<UnixListener> {
        // A socket that is still there was left by a process that has ended.
        let _ = std::fs::remove_file(&self.socket_path);
        match UnixListener::bind(&self.socket_path) {
            Ok(listener) => Some(listener),
            Err(e) => {
                tracing::warn!("{}: {e}; no upgrade without a gap", self.socket_path.display());
                None
            }
        }
    }

    /// Reduces this process to its half, notifies the newer one, and stays so until that one ends.
    async fn serve_newer(&self, mut newer: UnixStream, server: &HttpServer) {
        self.has_newer.set(true);
        server.apply_resource_share(1);
        let reduced = async {
            while !server.enforce_connection_limits() {
                sleep(REDUCE_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(REDUCE_TIMEOUT, reduced).await;
        if newer.write_all(&[REDUCED]).await.is_ok() {
            until_closed(newer).await;
        }
        self.has_newer.set(false);
        server.apply_resource_share(0);
    }

    /// Removes the socket at the end. A newer process creates its own only once this one has ended.
    pub fn remove_socket(&self) {
        let _ = std::fs::remove_file(&self.socket_path);
    }
}

/// Waits until the older process has reduced itself; returns nothing if that one ends meanwhile.
async fn await_reduction(mut older: UnixStream) -> Option<UnixStream> {
    let mut byte = [0];
    match timeout(REDUCE_TIMEOUT, older.read(&mut byte)).await {
        Ok(Ok(1)) if byte[0] == REDUCED => Some(older),
        Ok(_) => None,
        Err(_) => {
            tracing::warn!("upgrade: the older process is slow to make room; starting all the same");
            Some(older)
        }
    }
}

/// Waits until the process at the other end has closed the connection.
async fn until_closed(mut other: UnixStream) {
    let mut byte = [0];
    while matches!(other.read(&mut byte).await, Ok(1)) {}
}
