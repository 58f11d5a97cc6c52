//! The clients of the soak, which go on using their connections while a proxy shuts down, and the additional
//! load.

use super::plan::{BackgroundLoad, ClientBehavior, SoakPlan, TERM_AT_MS};
use crate::fleet::{Fleet, LinkEnds};
use crate::history::{ClientAttempt, ClientResult};
use crate::http::{HttpConnection, OutgoingRequest};
use crate::platform_rules::CONNECT_AFTER_TERM_MS;
use crate::server::{closes_connection, result_of, target, RecordedAttempt, CLOSE_RACE_MS};
use hillstall_decision::RetrySafety;
use hillstall_simulation::random::uniform;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// The work of a request, in core milliseconds.
const WORK_MS: f64 = 40.0;
/// A response that comes later than this after the timeout of its request counts as none, in milliseconds.
const MAX_LATENESS_MS: f64 = 550.0;
/// Interval between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// The range of short pauses, between requests and between pieces of a request, in milliseconds.
const SHORT_PAUSE_MS: (f64, f64) = (2.0, 40.0);
/// The range of the pauses of [`ClientBehavior::LongPauses`], in milliseconds.
const LONG_PAUSE_MS: (f64, f64) = (200.0, 4_000.0);
/// The number of pieces of a request that is sent in pieces.
const PIECES: usize = 3;
/// The largest number of requests that are sent at once.
const MAX_PIPELINED: usize = 4;

/// The number of the proxy under test, which shuts down.
pub(super) const TARGET: usize = 0;

/// Starts the clients and the additional load of a plan.
pub(super) fn start(fleet: &Rc<Fleet>, plan: &SoakPlan) {
    for (number, behavior) in plan.clients.iter().enumerate() {
        let random = Xoshiro256PlusPlus::seed_from_u64(plan.seed.wrapping_mul(1_000) + number as u64);
        let has_background_load = plan.background_load != BackgroundLoad::None;
        let client = Client {
            fleet: fleet.clone(),
            number,
            behavior: *behavior,
            has_background_load,
            random: RefCell::new(random),
        };
        spawn_local(client.run());
    }
    spawn_local(run_background_load(fleet.clone(), plan.background_load, plan.killed_at_ms()));
}

/// Puts the additional load on the proxy under test: idle connections until SIGKILL, short ones until clients
/// open no new connections.
async fn run_background_load(fleet: Rc<Fleet>, load: BackgroundLoad, until_ms: f64) {
    let address = fleet.processes[TARGET].address();
    match load {
        BackgroundLoad::None => {}
        BackgroundLoad::IdleConnections(count) => {
            let mut idle = Vec::new();
            for _ in 0..count {
                idle.extend(TcpStream::connect(address).await.ok());
            }
            sleep(Duration::from_secs_f64((until_ms - fleet.history.now()).max(0.0) / 1e3)).await;
        }
        BackgroundLoad::ShortConnections(per_second) => {
            while fleet.history.now() < TERM_AT_MS + CONNECT_AFTER_TERM_MS {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    let _ = stream.write_all(b"GET /flood HTTP/1.1\r\nHost: p\r\n\r\n").await;
                }
                sleep(Duration::from_secs_f64(1.0 / per_second as f64)).await;
            }
        }
    }
}

/// A request that is ready to be written, with its record.
struct PreparedRequest {
    id: String,
    text: String,
    timeout_ms: f64,
    attempt: RecordedAttempt,
}

/// The outcome of a request for its connection.
enum ResponseOutcome {
    /// A response came, and the connection stays open.
    KeepAlive,
    /// A response came, and the proxy closes the connection after it.
    Close,
    /// No response came, and none will come on this connection.
    NoResponse,
}

/// Why a connection may have ended before the proxy read a request.
#[derive(Clone, Copy, PartialEq)]
enum UnreadCause {
    /// The proxy closed an idle connection just before.
    IdleClose,
    /// The proxy closed a new connection unread, as the additional load leaves no room for it.
    ConnectionLimit,
    /// None: the proxy must have read the request.
    None,
}

struct Client {
    fleet: Rc<Fleet>,
    number: usize,
    behavior: ClientBehavior,
    /// Whether the proxy may close new connections unread because of the additional load.
    has_background_load: bool,
    random: RefCell<Xoshiro256PlusPlus>,
}

impl Client {
    /// Uses one connection after another. Opens no new connection later than [`CONNECT_AFTER_TERM_MS`] after
    /// SIGTERM, but uses the present one until it ends.
    async fn run(self) {
        let mut sent = 0;
        while self.fleet.history.now() < TERM_AT_MS + CONNECT_AFTER_TERM_MS {
            let address = self.fleet.link(LinkEnds::ClientToProxy { process: TARGET }).address();
            match TcpStream::connect(address).await {
                Ok(stream) => self.use_connection(HttpConnection::new(stream), &mut sent).await,
                Err(_) => sleep(RECONNECT_INTERVAL).await,
            }
        }
    }

    fn between(&self, (low, high): (f64, f64)) -> f64 {
        low + (high - low) * uniform(&mut self.random.borrow_mut())
    }

    async fn pause(&self, range_ms: (f64, f64)) {
        sleep(Duration::from_secs_f64(self.between(range_ms) / 1e3)).await;
    }

    async fn use_connection(&self, mut connection: HttpConnection, sent: &mut usize) {
        let mut response_count = 0;
        loop {
            match self.behavior {
                ClientBehavior::LongPauses if response_count > 0 => self.pause(LONG_PAUSE_MS).await,
                _ => self.pause(SHORT_PAUSE_MS).await,
            }
            let count = match self.behavior {
                ClientBehavior::Pipelined => 1 + self.between((0.0, MAX_PIPELINED as f64)) as usize,
                _ => 1,
            };
            let requests: Vec<PreparedRequest> = (0..count).map(|n| self.prepare(*sent + n)).collect();
            *sent += count;
            if self.behavior == ClientBehavior::PartialRequest && response_count > 0 {
                return self.send_partial_request(connection, &requests[0]).await;
            }
            if !self.write(&mut connection, &requests, response_count > 0).await {
                return;
            }
            if self.behavior == ClientBehavior::Abandoning && self.between((0.0, 1.0)) < 0.3 {
                self.pause(SHORT_PAUSE_MS).await;
                return;
            }
            let unread_cause =
                if response_count > 0 { UnreadCause::IdleClose } else { UnreadCause::ConnectionLimit };
            if !self.read_responses(&mut connection, requests, unread_cause).await {
                return;
            }
            response_count += count;
        }
    }

    /// Reads the responses of requests that were written together, and returns whether the connection can be
    /// used further. Once one of the requests has got a response, the proxy must answer all of them.
    async fn read_responses(
        &self,
        connection: &mut HttpConnection,
        requests: Vec<PreparedRequest>,
        mut unread_cause: UnreadCause,
    ) -> bool {
        let mut can_be_reused = true;
        for request in requests {
            match self.read_response(connection, request, unread_cause).await {
                ResponseOutcome::KeepAlive => {}
                ResponseOutcome::Close => can_be_reused = false,
                ResponseOutcome::NoResponse => return false,
            }
            unread_cause = UnreadCause::None;
        }
        can_be_reused
    }

    fn prepare(&self, number: usize) -> PreparedRequest {
        let process = &self.fleet.processes[TARGET];
        let classes = &process.settings.classes;
        let class = (self.between((0.0, classes.len() as f64)) as usize).min(classes.len() - 1);
        let class_settings = &classes[class];
        let id = format!("s{}-{number}", self.number);
        let key = (class_settings.retry_safety == RetrySafety::IdempotencyKey).then(|| format!("key-{id}"));
        let timeout_ms = class_settings.deadline_ms;
        let request = OutgoingRequest {
            id: &id,
            class: &class_settings.name,
            tenant: None,
            timeout_ms: timeout_ms as u64,
            key: key.as_deref(),
            idempotent: class_settings.retry_safety == RetrySafety::Idempotent,
            target: &target(class, 0, WORK_MS),
            is_retry: false,
        };
        let text = request.encode();
        let attempt = ClientAttempt {
            id: id.clone(),
            class,
            tenant: 0,
            key,
            process: TARGET,
            written_at: None,
            timeout_ms,
            ended_at: 0.0,
            result: ClientResult::Abandoned,
            retry_after_ms: None,
        };
        let attempt = RecordedAttempt::new(self.fleet.history.clone(), attempt);
        PreparedRequest { id, text, timeout_ms, attempt }
    }

    /// Sends the first half of a request, and waits until the proxy closes the connection.
    async fn send_partial_request(&self, mut connection: HttpConnection, request: &PreparedRequest) {
        let half = request.text.len() / 2;
        if connection.stream.write_all(&request.text.as_bytes()[..half]).await.is_ok() {
            connection.closed().await;
        }
        request.attempt.end(ClientResult::NotAccepted, None);
    }

    /// Writes requests at once or, for [`ClientBehavior::InPieces`] on a connection that has carried a
    /// response, in pieces. Returns false if the connection has ended.
    async fn write(
        &self,
        connection: &mut HttpConnection,
        requests: &[PreparedRequest],
        had_response: bool,
    ) -> bool {
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        let pieces = if self.behavior == ClientBehavior::InPieces && had_response { PIECES } else { 1 };
        for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
            if connection.stream.write_all(piece).await.is_err() {
                requests.iter().for_each(|request| request.attempt.end(ClientResult::NotAccepted, None));
                return false;
            }
            if pieces > 1 {
                self.pause(SHORT_PAUSE_MS).await;
            }
        }
        requests.iter().for_each(|request| request.attempt.set_written(true));
        true
    }

    /// Waits for the response to a request and records the result.
    async fn read_response(
        &self,
        connection: &mut HttpConnection,
        request: PreparedRequest,
        unread_cause: UnreadCause,
    ) -> ResponseOutcome {
        let PreparedRequest { id, timeout_ms, attempt, .. } = request;
        let wait = Duration::from_secs_f64((timeout_ms + MAX_LATENESS_MS) / 1e3);
        match timeout(wait, connection.read_message(false)).await {
            Err(_) => attempt.end(ClientResult::Unanswered, None),
            Ok(Ok(Some(response))) => {
                attempt.end(result_of(&response, &id), None);
                return if closes_connection(&response) {
                    ResponseOutcome::Close
                } else {
                    ResponseOutcome::KeepAlive
                };
            }
            Ok(Ok(None) | Err(_)) => {
                // The proxy may have closed the connection before it read the request. If it has forwarded
                // the request all the same, the checker finds that.
                let is_unread = match unread_cause {
                    UnreadCause::IdleClose => attempt.since_written_ms() < CLOSE_RACE_MS,
                    UnreadCause::ConnectionLimit => self.has_background_load,
                    UnreadCause::None => false,
                };
                if is_unread {
                    attempt.set_written(false);
                    attempt.end(ClientResult::NotAccepted, None);
                } else {
                    attempt.end(ClientResult::Broken, None);
                }
            }
        }
        ResponseOutcome::NoResponse
    }
}
