//! Attempts at backends, and the pool of connections to them.

use crate::backend_connection::{BackendConnection, ReceivedBody, ReceivedResponse};
use crate::load_report::LoadReportParser;
use crate::message::{
    BackendResponse, BackendResponseBody, ClientRequest, ClientRequestBody, TIMEOUT_HEADER,
};
use crate::request_body::AttemptBody;
use crate::response_body::StreamingResponseBody;
use hillstall_decision::{BackendId, Outcome, ReportField};
use hillstall_proxy_core::connect_hedging::ConnectHedging;
use hillstall_proxy_core::driver::SendPermit;
use hillstall_proxy_core::limits::Limits;
use hillstall_proxy_core::pool::{Checkout, Pool, PoolLimits};
use hillstall_proxy_core::sockets::out_of_descriptors;
use hillstall_proxy_core::transport::{Attempt, AttemptResult, Transport};
use hillstall_proxy_core::tuning::Tuning;
use http_body_util::Full;
use hyper::header::{HeaderMap, HeaderName, HeaderValue};
use hyper::{header, Request, StatusCode, Uri};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout, timeout_at};

/// Headers that speak of one connection and stay on it, and those that are written anew.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    header::CONTENT_LENGTH,
    header::EXPECT,
];
/// How often an attempt whose body passes is looked at.
const STREAMING_POLL_INTERVAL: Duration = Duration::from_millis(20);
const NOT_STARTED: HeaderName = HeaderName::from_static("not-started");

/// Where a probe asks whether a backend is alive, and where for its load as well.
const ALIVE_PATH: &str = "/alive";
const LOAD_PATH: &str = "/metrics/load";

fn pool_limits(tuning: &Tuning, idle_most: Duration) -> PoolLimits {
    PoolLimits {
        min_rest: tuning.min_connection_rest,
        max_idle: idle_most,
        max_idle_per_backend: tuning.max_idle_per_backend,
        max_waits: tuning.max_rest_waits,
    }
}

/// Carries calls to backends over HTTP/1.1.
pub struct HttpClient {
    pool: RefCell<Pool<BackendId, BackendConnection>>,
    connect_hedging: RefCell<ConnectHedging<BackendId>>,
    limits: Rc<Limits>,
    max_idle: Duration,
    connect_timeout: Duration,
    load_reports: LoadReportParser,
}

impl HttpClient {
    /// A carrier whose connections count against these limits. Those that carry nothing are dropped at half of
    /// the time at which backends close them: a request that crosses such a close would be lost.
    pub fn new(
        limits: Rc<Limits>,
        connect_ms: f64,
        idle_close_ms: f64,
        fields: Vec<ReportField>,
    ) -> HttpClient {
        let span = |ms: f64| Duration::from_secs_f64(ms.clamp(0.0, 3.6e6) / 1000.0);
        let idle_most = span(idle_close_ms / 2.0);
        let pool = Pool::new(pool_limits(&limits.tuning(), idle_most));
        HttpClient {
            pool: RefCell::new(pool),
            connect_hedging: RefCell::default(),
            max_idle: idle_most,
            limits,
            connect_timeout: span(connect_ms),
            load_reports: LoadReportParser::new(fields),
        }
    }

    /// Goes by the tuning as it is now.
    pub fn tune(&self) {
        self.pool.borrow_mut().limit(pool_limits(&self.limits.tuning(), self.max_idle));
    }

    /// Drops what has been idle for long, or was closed at the other end.
    pub fn reap(&self) {
        self.pool.borrow_mut().expire(Instant::now(), |conn| conn.stream().is_quiet());
    }

    /// Drops the connection that has been idle longest; false if there is none.
    pub fn shed(&self) -> bool {
        self.pool.borrow_mut().shed().is_some()
    }

    fn return_to_pool(&self, backend: BackendId, address: SocketAddr, conn: BackendConnection) {
        // What gives way for it is dropped here.
        let _ = self.pool.borrow_mut().check_in(backend, address, conn, Instant::now());
    }

    /// A connection to a backend that has rested and is quiet; `None` if one is to be opened.
    async fn take_idle(&self, backend: BackendId, address: SocketAddr) -> Option<BackendConnection> {
        let mut waited = false;
        loop {
            let room = self.limits.backend_connections.has_capacity();
            let choice = self.pool.borrow_mut().check_out(backend, address, Instant::now(), room, waited);
            match choice {
                // Asked of the socket itself, at the last moment before the write.
                Checkout::Reuse(conn) if conn.stream().is_quiet() => return Some(conn),
                // It was closed, or more came behind its answer than belongs to it.
                Checkout::Reuse(_) => {}
                Checkout::Wait(rest) => {
                    waited = true;
                    sleep(rest).await;
                }
                Checkout::Open => return None,
            }
        }
    }

    /// A new connection for an attempt. One that is late gets a second beside it: nothing is written before one of
    /// them is up, and the other is kept for the next call.
    async fn connect_hedged(
        self: &Rc<Self>,
        backend: BackendId,
        address: SocketAddr,
        until: Instant,
        permit: &Rc<SendPermit<HttpClient>>,
    ) -> Result<BackendConnection, Outcome> {
        let patience = self.connect_hedging.borrow_mut().hedge_delay(&backend);
        let (sender, mut ended) = mpsc::unbounded_channel();
        let begin = || {
            let (me, sender, permit) = (self.clone(), sender.clone(), permit.clone());
            spawn_local(async move {
                let begun = Instant::now();
                let conn = me.connect(address, until).await;
                if conn.is_ok() {
                    me.connect_hedging.borrow_mut().on_connected(backend, begun.elapsed());
                }
                // Nobody waits for it any more.
                if let Err(mpsc::error::SendError(Ok(conn))) = sender.send(conn) {
                    if permit.is_backend_current() {
                        me.return_to_pool(backend, address, conn);
                    }
                }
            });
        };
        begin();
        let mut out = 1;
        loop {
            let next = match patience.filter(|_| out == 1) {
                Some(patience) => timeout(patience, ended.recv()).await,
                None => Ok(ended.recv().await),
            };
            match next {
                Ok(Some(Ok(conn))) => return Ok(conn),
                Ok(Some(Err(outcome))) => {
                    out -= 1;
                    if out == 0 {
                        if outcome == Outcome::ConnectFailed {
                            self.connect_hedging.borrow_mut().on_failed(&backend);
                        }
                        return Err(outcome);
                    }
                }
                Ok(None) => return Err(Outcome::ConnectFailed),
                Err(_late) => {
                    if !self.limits.backend_connections.has_capacity()
                        || !self.connect_hedging.borrow_mut().try_hedge()
                    {
                        return ended.recv().await.unwrap_or(Err(Outcome::ConnectFailed));
                    }
                    out += 1;
                    begin();
                }
            }
        }
    }

    /// A new connection. Want of sockets here is told as [`Outcome::Moot`]: it says nothing of the backend.
    async fn connect(&self, address: SocketAddr, until: Instant) -> Result<BackendConnection, Outcome> {
        let counted = loop {
            match self.limits.backend_connections.reserve(1) {
                Some(counted) => break counted,
                None if self.shed() => {}
                None => return Err(Outcome::NotSent),
            }
        };
        let until = until.min(Instant::now() + self.connect_timeout);
        let stream = match timeout_at(until.into(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => {
                self.shed();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        BackendConnection::open(stream, counted, &self.limits.tuning())
            .await
            .map_err(|_| Outcome::ConnectFailed)
    }

    /// Checks a backend once, on a connection of its own.
    async fn health_check(&self, address: SocketAddr, path: &'static str) -> AttemptResult<HttpClient> {
        let until = Instant::now() + self.connect_timeout * 2;
        let mut conn = match self.connect(address, until).await {
            Ok(conn) => conn,
            Err(outcome) => return AttemptResult::now(outcome),
        };
        let request = Request::get(path).header(header::HOST, address.to_string());
        let request = request
            .body(AttemptBody::Buffered(Full::default()))
            .expect("a fixed path and an address are valid");
        match timeout_at(until.into(), conn.exchange(request, &self.limits)).await {
            Err(_) => AttemptResult::now(Outcome::Timeout),
            Ok(Err(())) => AttemptResult::now(Outcome::Reset),
            Ok(Ok(ReceivedResponse { status, headers, body })) => {
                let outcome = if status == StatusCode::OK { Outcome::Ok } else { Outcome::Error };
                let mut report = self.load_reports.from_headers(&headers);
                if let (Some(ReceivedBody::Complete(body)), 0) = (body, report.len) {
                    report = self.load_reports.parse(std::str::from_utf8(&body.bytes).unwrap_or_default());
                }
                AttemptResult {
                    outcome,
                    ended_at: conn.stream().last_read(),
                    load_report: report,
                    response: None,
                    invalid_request: None,
                }
            }
        }
    }
}

impl Transport for HttpClient {
    type Request = ClientRequest;
    type Response = BackendResponse;
    type InvalidRequest = StatusCode;

    /// One attempt of a request, which ends at its deadline or after its `most`. When this returns, the
    /// request is no longer out on any open connection.
    async fn attempt(self: Rc<Self>, attempt: Attempt<HttpClient>) -> AttemptResult<HttpClient> {
        let Attempt { request: call, backend, address, deadline, timeout: most, sent_counter: sends, permit } =
            attempt;
        let inbound = &*call;
        let permit = Rc::new(permit);
        let sent = Instant::now();
        let mut idle = self.take_idle(backend, address).await;
        // A rest just now does not count: a time-out may be as short as that.
        let until = match &inbound.body {
            ClientRequestBody::Buffered(_) => deadline.min(Instant::now() + most),
            ClientRequestBody::Streaming(_) => Instant::now() + self.connect_timeout,
        };
        loop {
            let pooled = idle.is_some();
            let conn = match idle.take() {
                Some(conn) => Ok(conn),
                // On the heap: it is rare, and every attempt would carry room for it.
                None => Box::pin(self.connect_hedged(backend, address, until, &permit)).await,
            };
            let mut conn = match conn {
                Ok(conn) => conn,
                Err(outcome) => return AttemptResult::now(outcome),
            };
            // Guards a drain that was told while the connection came up: nothing new may start then.
            if !permit.may_send() {
                return AttemptResult::now(Outcome::ConnectFailed);
            }
            let left = match &inbound.body {
                ClientRequestBody::Buffered(_) => until.saturating_duration_since(Instant::now()),
                ClientRequestBody::Streaming(upload) => upload.timeout().min(most),
            };
            if left.is_zero() {
                return AttemptResult::now(Outcome::NotSent);
            }
            // Whole milliseconds are all that the header can tell; less than one is still time to be served.
            let left = (left.as_millis() as u64).max(1);
            conn.stream().begin_request(inbound.body_length(), sends.clone());
            let exchange = conn.exchange(forwarded_request(inbound, left), &self.limits);
            let result = tokio::select! {
                biased;
                result = exchange => Ok(result),
                () = wait_for_attempt_timeout(inbound, until, most, self.limits.tuning().stall_timeout) => Err(()),
            };
            if let Ok(Ok(ReceivedResponse { status, headers, body })) = result {
                let report = self.load_reports.from_headers(&headers);
                let at = conn.stream().last_read();
                let outcome = response_outcome(status, &headers);
                let rejected = Some(status).filter(|_| outcome == Outcome::Cancelled);
                let body = match body {
                    Some(ReceivedBody::Complete(body)) => {
                        if conn.settle().await && permit.is_backend_current() {
                            self.return_to_pool(backend, address, conn);
                        }
                        Some(BackendResponseBody::Buffered(body))
                    }
                    Some(ReceivedBody::Partial(rest, room)) if outcome == Outcome::Ok => {
                        let me = self.clone();
                        let keep = move |conn| {
                            if permit.is_backend_current() {
                                me.return_to_pool(backend, address, conn);
                            }
                        };
                        Some(BackendResponseBody::Streaming(Box::new(StreamingResponseBody::new(
                            rest,
                            conn,
                            room,
                            self.limits.tuning().stall_timeout,
                            keep,
                        ))))
                    }
                    _ => None,
                };
                let body = body.filter(|_| outcome == Outcome::Ok);
                let answer = body.map(|body| BackendResponse { headers, body });
                return AttemptResult {
                    outcome,
                    ended_at: at,
                    load_report: report,
                    response: answer,
                    invalid_request: rejected,
                };
            }
            if pooled && result.is_ok() && !conn.stream().has_sent_request_bytes() {
                // It died in the pool and not a byte of the request went out: a fresh one serves as well.
                continue;
            }
            // A machine that was cut off says nothing, and its pooled connections look alive for ever. A fresh
            // one fails soon, and with nothing sent. What has carried an answer meanwhile is alive; and any
            // other end speaks of its own connection alone.
            if result.is_err() {
                self.pool.borrow_mut().remove_older_than(backend, sent);
            }
            return AttemptResult::now(match (conn.stream().is_request_sent(), result) {
                // A backend begins a request with its last byte: this one never began.
                (false, _) => Outcome::ConnectFailed,
                (true, Ok(_)) => Outcome::Reset,
                (true, Err(_)) => Outcome::Timeout,
            });
        }
    }

    async fn probe(self: Rc<Self>, address: SocketAddr, report: bool) -> AttemptResult<HttpClient> {
        self.health_check(address, if report { LOAD_PATH } else { ALIVE_PATH }).await
    }

    fn close_idle(&self, backend: BackendId) {
        self.pool.borrow_mut().remove(backend);
        self.connect_hedging.borrow_mut().remove(&backend);
    }
}

fn response_outcome(status: StatusCode, headers: &HeaderMap) -> Outcome {
    let unseen = headers.get(NOT_STARTED).is_some_and(|value| value == "1");
    match status {
        StatusCode::OK => Outcome::Ok,
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::GATEWAY_TIMEOUT if unseen => Outcome::Rejected,
        // The request's own fault: no word on the backend's health, and no claim that it never ran.
        StatusCode::REQUEST_TIMEOUT | StatusCode::TOO_MANY_REQUESTS => Outcome::Error,
        status if status.is_client_error() => Outcome::Cancelled,
        _ => Outcome::Error,
    }
}

fn forwarded_request(inbound: &ClientRequest, left_ms: u64) -> Request<AttemptBody> {
    let mut request = Request::new(match &inbound.body {
        ClientRequestBody::Buffered(body) => AttemptBody::Buffered(Full::new(body.bytes.clone())),
        ClientRequestBody::Streaming(upload) => AttemptBody::streaming(upload),
    });
    *request.method_mut() = inbound.method.clone();
    *request.uri_mut() = Uri::from(inbound.path.clone());
    let mut headers = inbound.headers.clone();
    for name in &HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
    headers.remove("keep-alive");
    headers.insert(TIMEOUT_HEADER, HeaderValue::from(left_ms));
    *request.headers_mut() = headers;
    request
}

/// Ends when an attempt of this request must: at `until`, or where the body passes, as long after its last
/// byte, or when the backend has stopped taking it.
async fn wait_for_attempt_timeout(inbound: &ClientRequest, until: Instant, most: Duration, stall: Duration) {
    let ClientRequestBody::Streaming(upload) = &inbound.body else { return sleep_until(until.into()).await };
    let ended = loop {
        match upload.deadline() {
            Some(deadline) => break deadline,
            None if upload.is_backend_stalled(stall) => return,
            None => sleep(STREAMING_POLL_INTERVAL).await,
        }
    };
    sleep_until(ended.min(Instant::now() + most).into()).await;
}
