//! The handover from an older process of the same proxy to a newer one during an upgrade. The newer process
//! connects to a Unix socket of the older one in a shared folder; while the connection is open, each keeps to
//! half of the proxy's limits, and tells the other which request ids are open at it. An id is told as a line:
//! `+` and the id when it is opened, `-` and the id when it is available again. Unknown lines are ignored.

use hillstall_http1::server::open_ids::IdChange;
use hillstall_http1::server::HttpServer;
use hillstall_proxy_core::sockets;
use hillstall_socket_io::SocketStream;
use std::cell::Cell;
use std::future::pending;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Longest wait for the older process to reduce its usage to half of the resources.
const REDUCE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Time between two checks whether this process is within its half of the resources.
const REDUCE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Pause after a failed attempt to listen for newer processes.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed accept.
const ACCEPT_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// The byte that the older process sends once it is within its half of the resources.
const REDUCED: u8 = b'1';

/// The connection between the two processes of an upgrade.
type HandoverStream = SocketStream<UnixStream>;

/// This process's connections to an older and a newer process of the same proxy.
pub struct Handover {
    socket_path: PathBuf,
    /// The connection to the older process, if there is one. The task of [`Handover::start`] takes it out and
    /// waits until it closes.
    older: Cell<Option<HandoverStream>>,
    has_newer: Cell<bool>,
}

impl Handover {
    /// Connects to an older process that serves the same address, if there is one, and waits until it has
    /// reduced its resource usage. `folder` must be the same for both processes.
    pub async fn connect(folder: &Path, listen: SocketAddr) -> Rc<Handover> {
        let socket_path = folder.join(format!("hillstall-{}-{}.sock", listen.ip(), listen.port()));
        let older = match sockets::open_with_retries(|| UnixStream::connect(&socket_path)).await {
            Ok(stream) => wait_for_reduction(SocketStream(stream)).await,
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
            share_open_ids(older, &server).await;
            server.apply_resource_share(0);
        }
        let listener = self.bind_socket().await;
        loop {
            // One newer process at a time: a third one waits, at most until its time-out, and then starts
            // anyway.
            match listener.accept().await {
                Ok((newer, _)) => self.serve_newer(SocketStream(newer), &server).await,
                Err(_) => sleep(ACCEPT_RETRY_INTERVAL).await,
            }
        }
    }

    /// Listens for newer processes, as soon as the folder permits it. Until then the proxy serves clients, but
    /// an upgrade interrupts service.
    async fn bind_socket(&self) -> UnixListener {
        // A socket file that exists at this point was left behind by a process that has ended. Later it may be
        // that of a newer process.
        let _ = std::fs::remove_file(&self.socket_path);
        let mut is_logged = false;
        loop {
            match UnixListener::bind(&self.socket_path) {
                Ok(listener) => return listener,
                Err(e) if !is_logged => tracing::warn!(
                    "{}: {e}; can't listen for a newer process, so an upgrade will interrupt service; retrying",
                    self.socket_path.display()
                ),
                Err(_) => {}
            }
            is_logged = true;
            sleep(BIND_RETRY_INTERVAL).await;
        }
    }

    /// Reduces this process to half of the resources, notifies the newer one, and takes all resources back
    /// once the newer one has ended.
    async fn serve_newer(&self, mut newer: HandoverStream, server: &HttpServer) {
        self.has_newer.set(true);
        server.apply_resource_share(1);
        let until_reduced = async {
            while !server.enforce_connection_limits() {
                sleep(REDUCE_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(REDUCE_TIMEOUT, until_reduced).await;
        if newer.write_all(&[REDUCED]).await.is_ok() {
            share_open_ids(newer, server).await;
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
async fn wait_for_reduction(mut older: HandoverStream) -> Option<HandoverStream> {
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

/// Exchanges the ids of open requests with the other process until it has closed the connection.
async fn share_open_ids(other: HandoverStream, server: &HttpServer) {
    let ids = server.open_request_ids();
    let (reader, mut writer) = split(other);
    let (sender, mut changes) = unbounded_channel();
    ids.connect_peer(sender);
    let send_changes = async {
        while let Some(change) = changes.recv().await {
            if writer.write_all(&encode_change(&change)).await.is_err() {
                break;
            }
        }
        // The other process has ended, which the reader notices as well.
        pending::<()>().await;
    };
    let receive_changes = async {
        let mut lines = BufReader::new(reader).split(b'\n');
        while let Ok(Some(line)) = lines.next_segment().await {
            if let Some(change) = decode_change(&line) {
                ids.on_peer_change(change);
            }
        }
    };
    tokio::select! {
        () = receive_changes => {}
        () = send_changes => {}
    }
    ids.on_peer_ended(server.max_id_retention());
}

fn encode_change(change: &IdChange) -> Vec<u8> {
    let (sign, id) = match change {
        IdChange::Opened(id) => ('+', id),
        IdChange::Closed(id) => ('-', id),
    };
    format!("{sign}{id}\n").into_bytes()
}

fn decode_change(line: &[u8]) -> Option<IdChange> {
    // It is in front of the first line if the wait for it has timed out.
    let line = line.strip_prefix(&[REDUCED]).unwrap_or(line);
    let (sign, id) = line.split_first()?;
    let id = String::from_utf8(id.to_vec()).ok()?;
    match sign {
        b'+' => Some(IdChange::Opened(id)),
        b'-' => Some(IdChange::Closed(id)),
        _ => None,
    }
}
