//! Clients that keep to their connections while a proxy ends, and the crowd beside them.

use super::plan::{Crowd, Habit, SoakPlan, TERM_AT_MS};
use crate::fleet::{Fleet, LinkEnds};
use crate::history::{ClientAttempt, ClientResult};
use crate::http::{HttpConnection, OutgoingRequest};
use crate::platform_rules::CONNECT_AFTER_TERM_MS;
use crate::server::{closes, result_of, target, RecordedAttempt, CROSSED_MS};
use hillstall_decision::RetrySafety;
use hillstall_simulation::random::part;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// Work of a request, in core milliseconds.
const WORK_MS: f64 = 40.0;
/// An answer later than this after the timeout of its request counts as none, in milliseconds.
const LATE_ANSWER_MS: f64 = 550.0;
/// Between two attempts to connect.
const RECONNECT_INTERVAL: Duration = Duration::from_millis(20);
/// Ranges of the pauses that clients make, in milliseconds.
const SHORT_PAUSE_MS: (f64, f64) = (2.0, 40.0);
const LONG_PAUSE_MS: (f64, f64) = (200.0, 4_000.0);
/// The pieces of a request that is not sent at once.
const PIECES: usize = 3;
/// The most requests that are sent at once.
const MAX_PIPELINED: usize = 4;

/// The proxy that ends.
pub(super) const TARGET: usize = 0;

/// Starts the clients and the crowd of a plan.
pub(super) fn start(fleet: &Rc<Fleet>, plan: &SoakPlan) {
    for (number, habit) in plan.habits.iter().enumerate() {
        let random = Xoshiro256PlusPlus::seed_from_u64(plan.seed.wrapping_mul(1_000) + number as u64);
        let is_crowded = plan.crowd != Crowd::Nobody;
        let client =
            Client { fleet: fleet.clone(), number, habit: *habit, is_crowded, random: RefCell::new(random) };
        spawn_local(client.run());
    }
    spawn_local(crowd(fleet.clone(), plan.crowd, plan.killed_at_ms()));
}

/// Keeps a crowd at the proxy until it is killed.
async fn crowd(fleet: Rc<Fleet>, crowd: Crowd, until_ms: f64) {
    let address = fleet.processes[TARGET].address();
    match crowd {
        Crowd::Nobody => {}
        Crowd::Idle(count) => {
            let mut idle = Vec::new();
            for _ in 0..count {
                idle.extend(TcpStream::connect(address).await.ok());
            }
            sleep(Duration::from_secs_f64((until_ms - fleet.history.now()).max(0.0) / 1e3)).await;
        }
        Crowd::Flood(per_second) => {
            while fleet.history.now() < TERM_AT_MS + CONNECT_AFTER_TERM_MS {
                if let Ok(mut stream) = TcpStream::connect(address).await {
                    let _ = stream.write_all(b"GET /flood HTTP/1.1\r\nHost: p\r\n\r\n").await;
                }
                sleep(Duration::from_secs_f64(1.0 / per_second as f64)).await;
            }
        }
    }
}

/// What a client needs to write a request and to record it.
struct PreparedRequest {
    id: String,
    text: String,
    timeout_ms: f64,
    attempt: RecordedAttempt,
}

/// What became of a request on its connection.
enum Answered {
    /// It was answered, and the connection stays open.
    Kept,
    /// It was answered, and the proxy closes the connection.
    Closing,
    /// There is no answer, and nothing more comes.
    Nothing,
}

/// What may have ended a connection right before a request came.
#[derive(Clone, Copy, PartialEq)]
enum MayCross {
    /// The close of a connection that has brought answers.
    Close,
    /// The close of a new connection, in a crowd that leaves no room for it.
    Crowd,
    /// Nothing: the request was read.
    Nothing,
}

struct Client {
    fleet: Rc<Fleet>,
    number: usize,
    habit: Habit,
    /// Whether new connections may be closed unread.
    is_crowded: bool,
    random: RefCell<Xoshiro256PlusPlus>,
}

impl Client {
    /// Uses one connection after another; after the last moment for new ones, the present one to its end.
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
        low + (high - low) * part(&mut self.random.borrow_mut())
    }

    async fn pause(&self, range_ms: (f64, f64)) {
        sleep(Duration::from_secs_f64(self.between(range_ms) / 1e3)).await;
    }

    async fn use_connection(&self, mut connection: HttpConnection, sent: &mut usize) {
        let mut answered = 0;
        loop {
            match self.habit {
                Habit::Resting if answered > 0 => self.pause(LONG_PAUSE_MS).await,
                _ => self.pause(SHORT_PAUSE_MS).await,
            }
            let count = match self.habit {
                Habit::Pipelined => 1 + self.between((0.0, MAX_PIPELINED as f64)) as usize,
                _ => 1,
            };
            let requests: Vec<PreparedRequest> = (0..count).map(|n| self.prepare(*sent + n)).collect();
            *sent += count;
            if self.habit == Habit::Half && answered > 0 {
                return self.stay_within_a_request(connection, &requests[0]).await;
            }
            if !self.write(&mut connection, &requests, answered > 0).await {
                return;
            }
            if self.habit == Habit::Leaving && self.between((0.0, 1.0)) < 0.3 {
                self.pause(SHORT_PAUSE_MS).await;
                return;
            }
            let may_cross = if answered > 0 { MayCross::Close } else { MayCross::Crowd };
            if !self.take_answers(&mut connection, requests, may_cross).await {
                return;
            }
            answered += count;
        }
    }

    /// Takes the answers of requests that were written together; false once the connection is to be used no
    /// more. All of them are owed an answer as soon as one has got it.
    async fn take_answers(
        &self,
        connection: &mut HttpConnection,
        requests: Vec<PreparedRequest>,
        mut may_cross: MayCross,
    ) -> bool {
        let mut stays_open = true;
        for request in requests {
            match self.take_answer(connection, request, may_cross).await {
                Answered::Kept => {}
                Answered::Closing => stays_open = false,
                Answered::Nothing => return false,
            }
            may_cross = MayCross::Nothing;
        }
        stays_open
    }

    fn prepare(&self, number: usize) -> PreparedRequest {
        let process = &self.fleet.processes[TARGET];
        let classes = &process.settings.classes;
        let class = (self.between((0.0, classes.len() as f64)) as usize).min(classes.len() - 1);
        let of = &classes[class];
        let id = format!("s{}-{number}", self.number);
        let key = (of.retry_safety == RetrySafety::IdempotencyKey).then(|| format!("key-{id}"));
        let timeout_ms = of.deadline_ms;
        let call = OutgoingRequest {
            id: &id,
            class: &of.name,
            tenant: None,
            timeout_ms: timeout_ms as u64,
            key: key.as_deref(),
            idempotent: of.retry_safety == RetrySafety::Idempotent,
            target: &target(class, 0, WORK_MS),
            is_retry: false,
        };
        let text = call.encode();
        let attempt = ClientAttempt {
            id: id.clone(),
            class,
            tenant: 0,
            key,
            process: TARGET,
            written_at: None,
            timeout_ms: timeout_ms,
            ended_at: 0.0,
            result: ClientResult::Abandoned,
            retry_after_ms: None,
        };
        let attempt = RecordedAttempt::new(self.fleet.history.clone(), attempt);
        PreparedRequest { id, text, timeout_ms, attempt }
    }

    /// Sends the first half of a request, and waits for the end of the connection.
    async fn stay_within_a_request(&self, mut connection: HttpConnection, request: &PreparedRequest) {
        let half = request.text.len() / 2;
        if connection.stream.write_all(&request.text.as_bytes()[..half]).await.is_ok() {
            connection.closed().await;
        }
        request.attempt.ended(ClientResult::NotAccepted, None);
    }

    /// Writes requests at once or, on a connection that has brought an answer, in pieces; false if the
    /// connection has ended.
    async fn write(
        &self,
        connection: &mut HttpConnection,
        requests: &[PreparedRequest],
        is_kept: bool,
    ) -> bool {
        let text: String = requests.iter().map(|request| request.text.as_str()).collect();
        let pieces = if self.habit == Habit::Pieces && is_kept { PIECES } else { 1 };
        for piece in text.as_bytes().chunks(text.len().div_ceil(pieces)) {
            if connection.stream.write_all(piece).await.is_err() {
                requests.iter().for_each(|request| request.attempt.ended(ClientResult::NotAccepted, None));
                return false;
            }
            if pieces > 1 {
                self.pause(SHORT_PAUSE_MS).await;
            }
        }
        requests.iter().for_each(|request| request.attempt.written(true));
        true
    }

    /// Waits for the answer of a request and records it.
    async fn take_answer(
        &self,
        connection: &mut HttpConnection,
        request: PreparedRequest,
        may_cross: MayCross,
    ) -> Answered {
        let PreparedRequest { id, timeout_ms, attempt, .. } = request;
        let longest = Duration::from_secs_f64((timeout_ms + LATE_ANSWER_MS) / 1e3);
        match timeout(longest, connection.read_message(false)).await {
            Err(_) => attempt.ended(ClientResult::Unanswered, None),
            Ok(Ok(Some(answer))) => {
                attempt.ended(result_of(&answer, &id), None);
                return if closes(&answer) { Answered::Closing } else { Answered::Kept };
            }
            Ok(Ok(None) | Err(_)) => {
                // The close crossed the request, or the connection was one too many: it was not read then. If
                // it was forwarded all the same, the checker sees that.
                let has_crossed = match may_cross {
                    MayCross::Close => attempt.since_written() < CROSSED_MS,
                    MayCross::Crowd => self.is_crowded,
                    MayCross::Nothing => false,
                };
                if has_crossed {
                    attempt.written(false);
                    attempt.ended(ClientResult::NotAccepted, None);
                } else {
                    attempt.ended(ClientResult::Broken, None);
                }
            }
        }
        Answered::Nothing
    }
}
