//! The handover from an older process of the same proxy to a newer one during an upgrade. The newer process
//! connects to a Unix socket of the older one in a shared folder; while the connection is open, each keeps to
//! half of the proxy's limits.

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

/// Longest wait for the older process to reduce its usage to half of the resources.
const REDUCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two checks whether this process is within its half of the resources.
const REDUCE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The byte that the older process sends once it is within its half of the resources.
const REDUCED: u8 = b'1';

/// This process's connections to an older and a newer process of the same proxy.
pub struct Handover {
    socket_path: PathBuf,
    /// The connection to the older process, if there is one. The task of [`Handover::start`] takes it out and
    /// waits until it closes.
    older: Cell<Option<UnixStream>>,
    has_newer: Cell<bool>,
}

impl Handover {
    /// Connects to an older process that serves the same address, if there is one, and waits until it has
    /// reduced its resource usage. `folder` must be the same for both processes.
    pub async fn connect(folder: &Path, listen: SocketAddr) -> Rc<Handover> {
        let socket_path = folder.join(format!("hillstall-{}-{}.sock", listen.ip(), listen.port()));
        let older = match UnixStream::connect(&socket_path).await {
            Ok(stream) => wait_for_reduction(stream).await,
            Err(_) => None,
        };
        Rc::new(Handover { socket_path, older: Cell::new(older), has_newer: Cell::new(false) })
    }

    /// Whether an older process was running when this one connected; false once [`Handover::start`] has run.
    pub fn has_older(&self) -> bool {
        let older = self.older.take();
        let has_older = older.is_some();
        self.older.set(older);
        has_older
    }

    /// Whether a newer process runs that clients can connect to instead.
    pub fn has_newer(&self) -> bool {
        self.has_newer.get()
    }

    /// Spawns the task that waits for the end of the older process and then serves newer ones.
    pub fn start(self: &Rc<Self>, server: Rc<HttpServer>) {
        spawn_local(self.clone().run(server));
    }

    /// Waits for the end of the older process, if there is one, takes over its half of the resources, and
    /// from then on serves newer processes.
    async fn run(self: Rc<Self>, server: Rc<HttpServer>) {
        if let Some(older) = self.older.take() {
            wait_until_closed(older).await;
            server.apply_resource_share(0);
        }
        let Some(listener) = self.bind_socket() else { return };
        loop {
            // One newer process at a time: a third one waits, at most until its time-out, and then starts
            // anyway.
            match listener.accept().await {
                Ok((newer, _)) => self.serve_newer(newer, &server).await,
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Listens for newer processes. If that fails, the proxy still serves clients, but an upgrade interrupts
    /// service.
    fn bind_socket(&self) -> Option<UnixListener> {
        // A socket file that exists at this point was left behind by a process that has ended.
        let _ = std::fs::remove_file(&self.socket_path);
        match UnixListener::bind(&self.socket_path) {
            Ok(listener) => Some(listener),
            Err(e) => {
                tracing::warn!(
                    "{}: {e}; can't listen for a newer process, so an upgrade will interrupt service",
                    self.socket_path.display()
                );
                None
            }
        }
    }

    /// Reduces this process to half of the resources, notifies the newer one, and takes all resources back
    /// once the newer one has ended.
    async fn serve_newer(&self, mut newer: UnixStream, server: &HttpServer) {
        self.has_newer.set(true);
        server.apply_resource_share(1);
        let until_reduced = async {
            while !server.enforce_connection_limits() {
                sleep(REDUCE_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(REDUCE_TIMEOUT, until_reduced).await;
        if newer.write_all(&[REDUCED]).await.is_ok() {
            wait_until_closed(newer).await;
        }
        self.has_newer.set(false);
        server.apply_resource_share(0);
    }

    /// Removes the socket file before this process ends. A newer process creates its own only after that end.
    pub fn remove_socket(&self) {
        let _ = std::fs::remove_file(&self.socket_path);
    }
}

/// Waits until the older process has reduced its resource usage; returns `None` if it ends meanwhile.
async fn wait_for_reduction(mut older: UnixStream) -> Option<UnixStream> {
    let mut byte = [0];
    match timeout(REDUCE_TIMEOUT, older.read(&mut byte)).await {
        Ok(Ok(1)) if byte[0] == REDUCED => Some(older),
        Ok(_) => None,
        Err(_) => {
            tracing::warn!(
                "upgrade: the older process did not reduce its resource usage within {REDUCE_TIMEOUT:?}; \
                 starting anyway"
            );
            Some(older)
        }
    }
}

/// Waits until the process at the other end has closed the connection.
async fn wait_until_closed(mut other: UnixStream) {
    let mut byte = [0];
    while matches!(other.read(&mut byte).await, Ok(1)) {}
}
