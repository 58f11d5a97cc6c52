//! The discovery service of a tier, with its failures: late, down, truncated answers, and a queue that
//! handles one request after another.

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

const HEARTBEAT: Duration = Duration::from_secs(2);

/// A backend of the endpoint list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// Its number over all tiers.
    pub server: usize,
    /// Its name.
    pub name: String,
    /// Its zone.
    pub zone: usize,
    /// Its state in the list.
    pub status: BackendState,
    /// Its weight, relative to the others.
    pub weight: f64,
    /// When it started last, as Unix time in milliseconds; 0 for long ago.
    pub since_ms: f64,
}

/// What the list says of a restarted backend.
#[derive(Clone, Copy, Debug)]
pub struct BackendStarted {
    /// When, as Unix time in milliseconds.
    pub since_ms: f64,
    /// Its weight, relative to the others.
    pub weight: f64,
}

/// The address by which a proxy reaches a backend.
pub type Places = Rc<dyn Fn(usize, usize) -> SocketAddr>;

/// A version, and the entries that changed with it.
type EndpointUpdate = (u64, Vec<Entry>);

/// The discovery service of a tier.
pub struct DiscoveryServer {
    history: Rc<History>,
    connections: ConnectionLinks,
    identify_sender: IdentifySender,
    places: Places,
    entries: RefCell<Vec<Entry>>,
    index: Cell<u64>,
    watchers: RefCell<Vec<mpsc::UnboundedSender<EndpointUpdate>>>,
    down: watch::Sender<bool>,
    missed: RefCell<Vec<Entry>>,
    /// Time to handle one request.
    time_per_request: Cell<Duration>,
    queue: Mutex<()>,
    /// Truncates each watch within its next line.
    truncate_watches: Cell<bool>,
}

/// Unix time in milliseconds.
pub fn unix_ms() -> f64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0.0, |passed| passed.as_secs_f64() * 1e3)
}

fn status(of: BackendState) -> &'static str {
    match of {
        BackendState::Ready => "ready",
        BackendState::Draining => "draining",
        BackendState::Gone => "gone",
    }
}

impl DiscoveryServer {
    /// A service that [`DiscoveryServer::serve`] runs.
    pub fn new(
        history: Rc<History>,
        (callers, identify_sender): (ConnectionLinks, IdentifySender),
        places: Places,
        entries: Vec<Entry>,
    ) -> Rc<DiscoveryServer> {
        Rc::new(DiscoveryServer {
            history,
            connections: callers,
            identify_sender,
            places,
            entries: RefCell::new(entries),
            index: Cell::new(1),
            watchers: RefCell::default(),
            down: watch::Sender::new(false),
            missed: RefCell::default(),
            time_per_request: Cell::new(Duration::ZERO),
            queue: Mutex::new(()),
            truncate_watches: Cell::new(false),
        })
    }

    /// The list as a proxy sees it.
    fn text(&self, process: usize, index: u64, snapshot: bool, entries: &[Entry]) -> Value {
        let one = |e: &Entry| {
            json!({"name": e.name, "address": (self.places)(process, e.server),
                "zone": format!("zone-{}", e.zone), "type": "machine", "group": 0,
                "status": status(e.status), "weight": e.weight, "since_ms": e.since_ms})
        };
        let listed = entries.iter().filter(|e| !snapshot || e.status != BackendState::Gone);
        json!({"index": index, "snapshot": snapshot, "endpoints": listed.map(one).collect::<Vec<_>>()})
    }

    /// The whole list as a proxy would receive it now.
    pub fn known(&self, process: usize) -> Value {
        self.text(process, self.index.get(), true, &self.entries.borrow())
    }

    /// Changes a backend's entry. While the service is down, the change is queued.
    pub fn change(&self, server: usize, status: BackendState, started: Option<BackendStarted>) {
        let Some(mut entry) = self.entries.borrow().iter().find(|e| e.server == server).cloned() else {
            return;
        };
        entry.status = status;
        if let Some(started) = started {
            (entry.since_ms, entry.weight) = (started.since_ms, started.weight);
        }
        match *self.down.borrow() {
            true => self.missed.borrow_mut().push(entry),
            false => self.apply(entry),
        }
    }

    fn apply(&self, entry: Entry) {
        if let Some(old) = self.entries.borrow_mut().iter_mut().find(|e| e.server == entry.server) {
            *old = entry.clone();
        }
        self.index.set(self.index.get() + 1);
        let news = (self.index.get(), vec![entry]);
        self.watchers.borrow_mut().retain(|watcher| watcher.send(news.clone()).is_ok());
    }

    /// Goes down, which ends all watches, or comes back.
    pub fn set_down(&self, down: bool) {
        self.watchers.borrow_mut().clear();
        self.down.send_replace(down);
        if !down {
            let missed = std::mem::take(&mut *self.missed.borrow_mut());
            missed.into_iter().for_each(|entry| self.apply(entry));
        }
    }

    /// Sets the time to handle one request; requests are handled one after another.
    pub fn set_time_per_request(&self, pace: Duration) {
        self.time_per_request.set(pace);
    }

    /// Truncates each watch within its next line.
    pub fn truncate_watches(&self) {
        self.truncate_watches.set(true);
    }

    /// Answers requests.
    pub async fn serve(self: Rc<DiscoveryServer>, listener: TcpListener) {
        while let Ok((stream, peer)) = listener.accept().await {
            let roster = self.clone();
            spawn_local(async move {
                let mut down = roster.down.subscribe();
                let mut connection = HttpConnection::new(stream);
                let went_down = async {
                    // Going down ends open connections; a request to a service that is down is answered.
                    while down.changed().await.is_ok() && !*down.borrow() {}
                };
                tokio::select! {
                    () = went_down => crate::tcp_proxy::abort(&connection.stream),
                    _ = roster.connection(&mut connection, peer) => {}
                }
            });
        }
    }

    #[allow(clippy::too_many_lines, reason = "one request from its arrival to its last line")]
    async fn connection(&self, connection: &mut HttpConnection, peer: SocketAddr) -> std::io::Result<()> {
        let Some(message) = connection.read_message(true).await? else { return Ok(()) };
        self.history.record(|observations| observations.discovery_requests += 1);
        let own = connection.stream.local_addr()?;
        let Some(link) = self.connections.borrow().get(&(peer, own)).copied() else { return Ok(()) };
        let sender = (self.identify_sender)(link);
        {
            let _turn = self.queue.lock().await;
            sleep(self.time_per_request.get()).await;
        }
        if *self.down.borrow() {
            return connection.write_response("503 Service Unavailable", "Connection: close\r\n", "").await;
        }
        let (index, entries) = (self.index.get(), self.entries.borrow().clone());
        let whole = self.text(sender.0, index, true, &entries);
        if !message.target.contains("stream=1") {
            connection.write_response("200 OK", "Connection: close\r\n", &whole.to_string()).await?;
            self.record_notifications(sender, &entries);
            return Ok(());
        }
        let (tell, mut news) = mpsc::unbounded_channel();
        self.watchers.borrow_mut().push(tell);
        let stream = &mut connection.stream;
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        chunk(stream, &whole.to_string()).await?;
        self.record_notifications(sender, &entries);
        loop {
            match timeout(HEARTBEAT, news.recv()).await {
                Err(_) => chunk(stream, "").await?,
                Ok(None) => return Ok(()),
                Ok(Some((index, entries))) => {
                    let line = self.text(sender.0, index, false, &entries).to_string();
                    if self.truncate_watches.get() {
                        let half = &line[..line.len() / 2];
                        return stream.write_all(format!("{:x}\r\n{half}", line.len() + 1).as_bytes()).await;
                    }
                    chunk(stream, &line).await?;
                    self.record_notifications(sender, &entries);
                }
            }
        }
    }

    fn record_notifications(&self, (process, incarnation): (usize, u32), entries: &[Entry]) {
        let at = self.history.now();
        self.history.record(|observations| {
            let told =
                |e: &Entry| Notification { process, incarnation, server: e.server, status: e.status, at };
            observations.notifications.extend(entries.iter().map(told));
        });
    }
}

async fn chunk(stream: &mut TcpStream, line: &str) -> std::io::Result<()> {
    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await
}
