//! The discovery service of a tier. It handles one request after another, and can be made to fail: slow,
//! down, or with truncated updates.

use crate::history::{History, Notification};
use crate::http::HttpConnection;
use crate::server::IdentifySender;
use crate::tcp_proxy::ConnectionLinks;
use hillstall_decision::BackendState;
use serde_json::{json, Value};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch, Mutex};
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Interval of empty lines on an idle subscription.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A backend in the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The number of the backend, counted over all tiers.
    pub server: usize,
    /// The name that proxies know it by.
    pub name: String,
    /// The index of its zone.
    pub zone: usize,
    /// The state that the list shows.
    pub status: BackendState,
    /// The weight, relative to the other backends.
    pub weight: f64,
    /// When the backend last started, as Unix time in milliseconds; 0 if long ago.
    pub since_ms: f64,
}

/// What the list shows of a restarted backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendStarted {
    /// The time of the restart, as Unix time in milliseconds.
    pub since_ms: f64,
    /// The weight, relative to the other backends.
    pub weight: f64,
}

/// Returns the address by which a proxy (first number) reaches a backend (second number).
pub type BackendAddress = Rc<dyn Fn(usize, usize) -> SocketAddr>;

/// A version of the list, and the entries that changed with it.
type EndpointUpdate = (u64, Vec<Entry>);

/// The discovery service of a tier.
pub struct DiscoveryServer {
    history: Rc<History>,
    connections: ConnectionLinks,
    identify_sender: IdentifySender,
    backend_address: BackendAddress,
    entries: RefCell<Vec<Entry>>,
    /// The version of the list.
    index: Cell<u64>,
    subscribers: RefCell<Vec<mpsc::UnboundedSender<EndpointUpdate>>>,
    down: watch::Sender<bool>,
    /// Changes that came while the service was down.
    queued_changes: RefCell<Vec<Entry>>,
    /// The time to handle one request.
    time_per_request: Cell<Duration>,
    queue: Mutex<()>,
    /// Whether each subscription ends in the middle of its next line.
    truncate_updates: Cell<bool>,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |elapsed| elapsed.as_secs_f64() * 1e3)
}

fn status_text(state: BackendState) -> &'static str {
    match state {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
        BackendState::Gone => "gone",
    }
}

impl DiscoveryServer {
    /// Creates a service, which [`DiscoveryServer::serve`] runs.
    pub fn new(
        history: Rc<History>,
        (connections, identify_sender): (ConnectionLinks, IdentifySender),
        backend_address: BackendAddress,
        entries: Vec<Entry>,
    ) -> Rc<DiscoveryServer> {
        Rc::new(DiscoveryServer {
            history,
            connections,
            identify_sender,
            backend_address,
            entries: RefCell::new(entries),
            index: Cell::new(1),
            subscribers: RefCell::default(),
            down: watch::Sender::new(false),
            queued_changes: RefCell::default(),
            time_per_request: Cell::new(Duration::ZERO),
            queue: Mutex::new(()),
            truncate_updates: Cell::new(false),
        })
    }

    /// A list, or changes of it, as a proxy receives it.
    fn list_json(&self, process: usize, index: u64, is_snapshot: bool, entries: &[Entry]) -> Value {
        let endpoint = |e: &Entry| {
            json!({"name": e.name, "address": (self.backend_address)(process, e.server),
                "zone": format!("zone-{}", e.zone), "type": "machine", "group": 0,
                "status": status_text(e.status), "weight": e.weight, "since_ms": e.since_ms})
        };
        let listed = entries.iter().filter(|e| !is_snapshot || e.status != BackendState::Gone);
        json!({"index": index, "snapshot": is_snapshot, "endpoints": listed.map(endpoint).collect::<Vec<_>>()})
    }

    /// The whole list as a proxy would receive it now.
    pub fn snapshot(&self, process: usize) -> Value {
        self.list_json(process, self.index.get(), true, &self.entries.borrow())
    }

    /// Changes the entry of a backend, if this tier has it. While the service is down, the change is queued.
    pub fn change(&self, server: usize, status: BackendState, started: Option<BackendStarted>) {
        let Some(mut entry) = self.entries.borrow().iter().find(|e| e.server == server).cloned() else {
            return;
        };
        entry.status = status;
        if let Some(started) = started {
            (entry.since_ms, entry.weight) = (started.since_ms, started.weight);
        }
        match *self.down.borrow() {
            true => self.queued_changes.borrow_mut().push(entry),
            false => self.apply(entry),
        }
    }

    fn apply(&self, entry: Entry) {
        if let Some(old) = self.entries.borrow_mut().iter_mut().find(|e| e.server == entry.server) {
            *old = entry.clone();
        }
        self.index.set(self.index.get() + 1);
        let update = (self.index.get(), vec![entry]);
        self.subscribers.borrow_mut().retain(|subscriber| subscriber.send(update.clone()).is_ok());
    }

    /// Takes the service down, which ends all subscriptions, or brings it back, which applies the queued
    /// changes.
    pub fn set_down(&self, down: bool) {
        self.subscribers.borrow_mut().clear();
        self.down.send_replace(down);
        if !down {
            let queued_changes = std::mem::take(&mut *self.queued_changes.borrow_mut());
            queued_changes.into_iter().for_each(|entry| self.apply(entry));
        }
    }

    /// Sets the time to handle one request. Requests are handled one after another.
    pub fn set_time_per_request(&self, time: Duration) {
        self.time_per_request.set(time);
    }

    /// From now on, ends each subscription in the middle of its next line.
    pub fn truncate_updates(&self) {
        self.truncate_updates.set(true);
    }

    /// Accepts and answers requests until the listener fails.
    pub async fn serve(self: Rc<DiscoveryServer>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let service = self.clone();
            spawn_local(async move {
                let mut down = service.down.subscribe();
                let mut connection = HttpConnection::new(stream);
                let went_down = async {
                    // Going down resets open connections. Requests that come while the service is down get
                    // status 503.
                    while down.changed().await.is_ok() && !*down.borrow() {}
                };
                tokio::select! {
                    () = went_down => crate::tcp_proxy::abort(&connection.stream),
                    _ = service.connection(&mut connection, peer) => {}
                }
            });
        }
    }

    #[allow(clippy::too_many_lines, reason = "one request from its arrival to its last line")]
    async fn connection(&self, connection: &mut HttpConnection, peer: SocketAddr) -> std::io::Result<()> {
        let Some(message) = connection.read_message(true).await? else { return Ok(()) };
        self.history.record(|observations| observations.discovery_requests += 1);
        let local_address = connection.stream.local_addr()?;
        let Some(link) = self.connections.borrow().get(&(peer, local_address)).copied() else {
            return Ok(());
        };
        let sender = (self.identify_sender)(link);
        {
            let _turn = self.queue.lock().await;
            sleep(self.time_per_request.get()).await;
        }
        if *self.down.borrow() {
            return connection.write_response("503 Service Unavailable", "Connection: close\r\n", "").await;
        }
        let (index, entries) = (self.index.get(), self.entries.borrow().clone());
        let whole_list = self.list_json(sender.0, index, true, &entries);
        if !message.target.contains("stream=1") {
            connection.write_response("200 OK", "Connection: close\r\n", &whole_list.to_string()).await?;
            self.record_notifications(sender, &entries);
            return Ok(());
        }
        let (update_sender, mut updates) = mpsc::unbounded_channel();
        self.subscribers.borrow_mut().push(update_sender);
        let stream = &mut connection.stream;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        write_chunk(stream, &whole_list.to_string()).await?;
        self.record_notifications(sender, &entries);
        loop {
            match timeout(HEARTBEAT_INTERVAL, updates.recv()).await {
                Err(_) => write_chunk(stream, "").await?,
                Ok(None) => return Ok(()),
                Ok(Some((index, entries))) => {
                    let line = self.list_json(sender.0, index, false, &entries).to_string();
                    if self.truncate_updates.get() {
                        let half = &line[..line.len() / 2];
                        return stream.write_all(format!("{:x}\r\n{half}", line.len() + 1).as_bytes()).await;
                    }
                    write_chunk(stream, &line).await?;
                    self.record_notifications(sender, &entries);
                }
            }
        }
    }

    fn record_notifications(&self, (process, incarnation): (usize, u32), entries: &[Entry]) {
        let at = self.history.now();
        self.history.record(|observations| {
            let notification =
                |e: &Entry| Notification { process, incarnation, server: e.server, status: e.status, at };
            observations.notifications.extend(entries.iter().map(notification));
        });
    }
}

/// Writes a line of a subscription as one HTTP chunk.
async fn write_chunk(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}
