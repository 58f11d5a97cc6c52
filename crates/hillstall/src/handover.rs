//! Two processes of one proxy, while an upgrade goes on. They find each other by a Unix socket in the folder
//! they share; for as long as it is connected each keeps to its half of what the proxy may hold.

use hillstall_http1::front::Server;
use std::cell::Cell;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{UnixListener, UnixStream};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Longest wait for the older process to shrink to its half.
const SHRINK_TIME: Duration = Duration::from_millis(1_500);
/// What it says when it has.
const SHRUNK: u8 = b'1';

/// What this process knows of the other one.
pub struct Handover {
    path: PathBuf,
    /// The older process, while it runs.
    older: Cell<Option<UnixStream>>,
    has_newer: Cell<bool>,
}

impl Handover {
    /// Looks for an older process at this address, and waits for it to make room.
    pub async fn meet(folder: &Path, listen: SocketAddr) -> Rc<Handover> {
        let path = folder.join(format!("hillstall-{}-{}.sock", listen.ip(), listen.port()));
        let mut older = UnixStream::connect(&path).await.ok();
        if let Some(stream) = &mut older {
            let mut said = [0];
            match timeout(SHRINK_TIME, stream.read(&mut said)).await {
                Ok(Ok(1)) if said[0] == SHRUNK => {}
                // It ended meanwhile.
                Ok(_) => older = None,
                Err(_) => {
                    tracing::warn!("upgrade: the older process is slow to make room; starting all the same")
                }
            }
        }
        Rc::new(Handover { path, older: Cell::new(older), has_newer: Cell::new(false) })
    }

    /// Whether an older process runs, as far as was seen at the start.
    pub fn has_older(&self) -> bool {
        let older = self.older.take();
        let has = older.is_some();
        self.older.set(older);
        has
    }

    /// Whether a newer process runs, to which clients can go.
    pub fn has_newer(&self) -> bool {
        self.has_newer.get()
    }

    /// Awaits the end of the older process, if there is one, and from then on newer ones.
    async fn attend(self: Rc<Self>, server: Rc<Server>) {
        if let Some(older) = self.older.take() {
            ended(older).await;
            server.share_with(0);
        }
        // What lies there is left by a process that has ended.
        let _ = std::fs::remove_file(&self.path);
        let listener = match UnixListener::bind(&self.path) {
            Ok(listener) => listener,
            Err(e) => {
                return tracing::warn!("{}: {e}; no upgrade without a gap", self.path.display());
            }
        };
        loop {
            let Ok((mut newer, _)) = listener.accept().await else {
                sleep(Duration::from_millis(20)).await;
                continue;
            };
            // One at a time: a third process waits, and starts late at the worst.
            self.has_newer.set(true);
            server.share_with(1);
            let shrinking = server.clone();
            let _ = timeout(SHRINK_TIME, async move {
                while !shrinking.fits() {
                    sleep(Duration::from_millis(5)).await;
                }
            })
            .await;
            if newer.write_all(&[SHRUNK]).await.is_ok() {
                ended(newer).await;
            }
            self.has_newer.set(false);
            server.share_with(0);
        }
    }

    /// Clears up at the end. A newer process takes the name only once this one has ended.
    pub fn leave(&self) {
        let _ = std::fs::remove_file(&self.path);
    }

    /// Goes by the end of the older process, and by newer ones, in the background.
    pub fn start(self: &Rc<Self>, server: Rc<Server>) {
        spawn_local(self.clone().attend(server));
    }
}

/// Waits until the process at the other end has closed.
async fn ended(mut other: UnixStream) {
    let mut byte = [0];
    while matches!(other.read(&mut byte).await, Ok(1)) {}
}
