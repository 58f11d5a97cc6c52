//! One attempt to have a request answered by a backend.

use super::forwarding::{forwarded_request, response_outcome};
use super::{HttpClient, Target};
use crate::backend_connection::{BackendConnection, ReceivedBody, ReceivedResponse};
use crate::message::{BackendResponse, BackendResponseBody, ClientRequest, ClientRequestBody};
use crate::response_body::StreamingResponseBody;
use hillstall_decision::{BackendId, Outcome};
use hillstall_proxy_core::metrics::Counter;
use hillstall_proxy_core::transport::{Attempt, AttemptResult, Transport};
use hyper::StatusCode;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// How often an attempt with a streaming body is checked for progress.
const STREAMING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why an attempt has no response.
enum AttemptError {
    /// Nothing was sent; the attempt ends with this outcome.
    NotStarted(Outcome),
    /// The connection ended, or the response can't be used.
    ExchangeFailed,
    /// It took too long.
    TimedOut,
}

/// An attempt in progress.
struct ActiveAttempt<'a> {
    request: &'a ClientRequest,
    /// When it ends; with a streaming body, when the connection has to be up.
    until: Instant,
    /// How long it may take; with a streaming body, from its last byte.
    timeout: Duration,
    /// Incremented once the request is sent.
    sent_counter: Counter,
}

impl Transport for HttpClient {
    type Request = ClientRequest;
    type Response = BackendResponse;
    type InvalidRequest = StatusCode;

    /// One attempt of a request, which ends at its deadline or after its timeout. When this returns, the request is
    /// no longer on any open connection.
    async fn attempt(self: Rc<Self>, attempt: Attempt<HttpClient>) -> AttemptResult<HttpClient> {
        let Attempt { payload: request, backend, address, deadline, timeout, sent_counter, permit } = attempt;
        let target = Target { backend, address, permit: Rc::new(permit) };
        let started_at = Instant::now();
        let mut idle = self.take_idle(backend, address).await;
        // The wait for an idle connection does not count: the timeout may be as short as that.
        let until = match &request.body {
            ClientRequestBody::Buffered(_) => deadline.min(Instant::now() + timeout),
            ClientRequestBody::Streaming(_) => Instant::now() + self.connect_timeout,
        };
        let attempt = ActiveAttempt { request: &request, until, timeout, sent_counter };
        loop {
            let is_reused = idle.is_some();
            let connection = match idle.take() {
                Some(connection) => Ok(connection),
                // Boxed, as it is rare and would make the future of every attempt larger.
                None => Box::pin(self.connect_hedged(&target, until)).await,
            };
            let mut connection = match connection {
                Ok(connection) => connection,
                Err(outcome) => return AttemptResult::without_response(outcome),
            };
            let error = match self.exchange(&attempt, &target, &mut connection).await {
                Ok(response) => {
                    let ended_at = connection.stream().last_read();
                    let is_complete = matches!(response.body, Some(ReceivedBody::Complete(_)));
                    let is_reusable = is_complete && connection.is_reusable().await;
                    return self.response_result(target, connection, is_reusable, response, ended_at);
                }
                Err(error) => error,
            };
            if is_reused && error.is_lost_idle_connection(&connection) {
                // No byte of the request was sent: a new connection will do.
                continue;
            }
            return self.failure_result(backend, &connection, &error, started_at);
        }
    }

    /// Checks a backend once; `report` asks for its load as well.
    async fn probe(self: Rc<Self>, address: SocketAddr, with_load_report: bool) -> AttemptResult<HttpClient> {
        self.health_check(address, with_load_report).await
    }

    /// Drops the idle connections to a backend, and what is known of its connect times.
    fn close_idle(&self, backend: BackendId) {
        self.pool.borrow_mut().remove(backend);
        self.connect_hedging.borrow_mut().remove(&backend);
    }
}

impl HttpClient {
    /// Sends the request on a connection and reads the response.
    async fn exchange(
        &self,
        attempt: &ActiveAttempt<'_>,
        target: &Target,
        connection: &mut BackendConnection,
    ) -> Result<ReceivedResponse, AttemptError> {
        // The backend may have begun to drain while the connection came up: nothing new may start then.
        if !target.permit.may_send() {
            return Err(AttemptError::NotStarted(Outcome::ConnectFailed));
        }
        let remaining = attempt.remaining_time();
        if remaining.is_zero() {
            return Err(AttemptError::NotStarted(Outcome::NotSent));
        }
        connection.stream().begin_request(attempt.request.body_length(), attempt.sent_counter.clone());
        let exchange = connection.exchange(forwarded_request(attempt.request, remaining), &self.limits);
        tokio::select! {
            biased;
            result = exchange => result.map_err(|_| AttemptError::ExchangeFailed),
            () = attempt.wait_for_timeout(self.limits.tuning().stall_timeout) => Err(AttemptError::TimedOut),
        }
    }

    /// The result of an attempt that was answered. The connection goes back to the pool if it is reusable; a
    /// streaming body keeps it until its end.
    fn response_result(
        self: &Rc<Self>,
        target: Target,
        connection: BackendConnection,
        is_reusable: bool,
        response: ReceivedResponse,
        ended_at: Instant,
    ) -> AttemptResult<HttpClient> {
        let ReceivedResponse { status, headers, body } = response;
        let load_report = self.load_reports.from_headers(&headers);
        let outcome = response_outcome(status, &headers);
        let body = match body {
            Some(ReceivedBody::Complete(body)) => {
                if is_reusable {
                    self.return_to_pool(&target, connection);
                }
                Some(BackendResponseBody::Buffered(body))
            }
            Some(ReceivedBody::Partial(body, reservation)) if outcome == Outcome::Ok => {
                let client = self.clone();
                Some(BackendResponseBody::Streaming(Box::new(StreamingResponseBody::new(
                    body,
                    connection,
                    reservation,
                    self.limits.tuning().stall_timeout,
                    move |connection| client.return_to_pool(&target, connection),
                ))))
            }
            _ => None,
        };
        let body = body.filter(|_| outcome == Outcome::Ok);
        AttemptResult {
            outcome,
            ended_at,
            load_report,
            response: body.map(|body| BackendResponse { headers, body }),
            invalid_request: Some(status).filter(|_| outcome == Outcome::Cancelled),
        }
    }

    /// The result of an attempt without a response.
    fn failure_result(
        &self,
        backend: BackendId,
        connection: &BackendConnection,
        error: &AttemptError,
        started_at: Instant,
    ) -> AttemptResult<HttpClient> {
        // A machine that was cut off sends nothing, so its pooled connections look alive for ever. A new one fails
        // soon, with nothing sent. Connections that carried a response since the start are alive, and any other
        // error says something about its own connection alone.
        if matches!(error, AttemptError::TimedOut) {
            self.pool.borrow_mut().remove_older_than(backend, started_at);
        }
        AttemptResult::without_response(match (error, connection.stream().is_request_sent()) {
            (AttemptError::NotStarted(outcome), _) => *outcome,
            // A backend begins to process a request with its last byte: this one never began.
            (_, false) => Outcome::ConnectFailed,
            (AttemptError::ExchangeFailed, true) => Outcome::Reset,
            (AttemptError::TimedOut, true) => Outcome::Timeout,
        })
    }
}

impl AttemptError {
    /// Whether a connection from the pool was closed before any byte of the request was sent on it.
    fn is_lost_idle_connection(&self, connection: &BackendConnection) -> bool {
        matches!(self, AttemptError::ExchangeFailed) && !connection.stream().has_sent_request_bytes()
    }
}

impl ActiveAttempt<'_> {
    /// How much time the backend has to respond.
    fn remaining_time(&self) -> Duration {
        match &self.request.body {
            ClientRequestBody::Buffered(_) => self.until.saturating_duration_since(Instant::now()),
            ClientRequestBody::Streaming(body) => body.timeout().min(self.timeout),
        }
    }

    /// Waits until the attempt has to end: at `until`, or with a streaming body, at the client's deadline or the
    /// timeout after its last byte, or once the backend has stopped reading it for `stall_timeout`.
    async fn wait_for_timeout(&self, stall_timeout: Duration) {
        let ClientRequestBody::Streaming(body) = &self.request.body else {
            return sleep_until(self.until.into()).await;
        };
        let deadline = loop {
            match body.deadline() {
                Some(deadline) => break deadline,
                None if body.is_backend_stalled(stall_timeout) => return,
                None => sleep(STREAMING_POLL_INTERVAL).await,
            }
        };
        sleep_until(deadline.min(Instant::now() + self.timeout).into()).await;
    }
}
