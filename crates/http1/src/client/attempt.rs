//! One attempt to send a request to a backend and get its response.

use super::forwarding::{forwarded_request, response_outcome};
use super::{HttpClient, Target};
use crate::backend_connection::{BackendConnection, ReceivedBody, ReceivedResponse};
use crate::message::{BackendResponse, BackendResponseBody, ClientRequest, ClientRequestBody};
use crate::response_body::StreamingResponseBody;
use crate::stream::TrackedStream;
use hillstall_decision::{BackendId, Outcome};
use hillstall_proxy_core::metrics::Counter;
use hillstall_proxy_core::transport::{Attempt, AttemptResult, RequestPayload, Transport};
use hyper::StatusCode;
use std::future::pending;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::{sleep, sleep_until};

/// Time between two progress checks of an attempt with a streamed body.
const STREAMING_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Why an attempt got no response.
enum AttemptError {
    /// Nothing was sent; the attempt ends with this outcome.
    NotStarted(Outcome),
    /// The connection ended, or the response is unusable.
    ExchangeFailed,
    /// The attempt reached its timeout or the deadline of the client.
    TimedOut,
    /// The request was not complete when it had to be written.
    WrittenTooLate,
}

/// An attempt in progress.
struct ActiveAttempt<'a> {
    request: &'a ClientRequest,
    started_at: Instant,
    /// When the attempt times out; with a streamed body, when the connect times out.
    until: Instant,
    /// When the last byte of the request has to be written at the latest.
    write_by: Option<Instant>,
    /// Incremented when the request has been sent completely.
    sent_counter: Counter,
}

impl Transport for HttpClient {
    type Request = ClientRequest;
    type Response = BackendResponse;
    type InvalidRequest = StatusCode;

    /// Makes one attempt, which ends at the latest at its deadline or after its timeout. When this returns,
    /// no open connection carries the request any more, except one on which the response is still streamed.
    async fn attempt(self: Rc<Self>, attempt: Attempt<HttpClient>) -> AttemptResult<HttpClient> {
        let Attempt { payload: request, backend, address, deadline, timeout, write_by, sent_counter, permit } =
            attempt;
        let target = Target { backend, address, permit: Rc::new(permit) };
        let started_at = Instant::now();
        let mut idle = self.take_idle(backend, address).await;
        // The wait for an idle connection does not count, as it may take as long as a short timeout.
        let until = match &request.body {
            ClientRequestBody::Buffered(_) => deadline.min(Instant::now() + timeout),
            ClientRequestBody::Streaming(_) => Instant::now() + self.connect_timeout,
        };
        let attempt = ActiveAttempt { request: &request, started_at, until, write_by, sent_counter };
        loop {
            let is_reused = idle.is_some();
            let connection = match idle.take() {
                Some(connection) => Ok(connection),
                // Boxed to keep the future of an attempt small, as new connections are rare.
                None => Box::pin(self.connect_in_time(&attempt, &target)).await,
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
            let is_unsent = is_reused && error.is_closed_before_sending(&connection);
            let result = self.failure_result(backend, &connection, &error, started_at);
            // Returns the body to the request, as far as nothing was written.
            drop(connection);
            if !is_unsent || request.is_consumed() {
                return result;
            }
            // No byte of the request was sent, so it is sent on a new connection.
        }
    }

    async fn probe(self: Rc<Self>, address: SocketAddr, with_load_report: bool) -> AttemptResult<HttpClient> {
        self.health_check(address, with_load_report).await
    }

    /// Drops the idle connections to a backend, and its connect times.
    fn close_idle(&self, backend: BackendId) {
        self.pool.borrow_mut().remove(backend);
        self.connect_hedging.borrow_mut().remove(&backend);
    }
}

impl HttpClient {
    /// Opens a connection while the request may be written. One that comes up later goes into the pool.
    async fn connect_in_time(
        self: &Rc<Self>,
        attempt: &ActiveAttempt<'_>,
        target: &Target,
    ) -> Result<BackendConnection, Outcome> {
        tokio::select! {
            biased;
            connection = self.connect_hedged(target, attempt.until) => connection,
            () = attempt.wait_for_write_limit() => Err(Outcome::NotSent),
        }
    }

    /// Sends the request on a connection and reads the response.
    async fn exchange(
        &self,
        attempt: &ActiveAttempt<'_>,
        target: &Target,
        connection: &mut BackendConnection,
    ) -> Result<ReceivedResponse, AttemptError> {
        // The client may have disconnected during the connect.
        if !target.permit.is_request_open() {
            return Err(AttemptError::NotStarted(Outcome::NotSent));
        }
        // The backend may have begun to drain during the connect, and no new attempt may start there after
        // its drain grace period.
        if !target.permit.is_backend_current() {
            return Err(AttemptError::NotStarted(Outcome::ConnectFailed));
        }
        let remaining = attempt.remaining_time();
        if remaining.is_zero() || attempt.is_too_late_to_write() {
            return Err(AttemptError::NotStarted(Outcome::NotSent));
        }
        tracing::debug!(
            id = attempt.request.id(),
            backend = %target.address,
            waited_ms = attempt.started_at.elapsed().as_millis() as u64,
            remaining_ms = remaining.as_millis() as u64,
            "attempt is written"
        );
        connection.stream().begin_request(attempt.request.body_length(), attempt.sent_counter.clone());
        let request = forwarded_request(attempt.request, remaining, connection.stream());
        let tuning = self.limits.tuning();
        let stream = connection.stream().clone();
        let response = tokio::select! {
            biased;
            response = connection.send(request) => response.map_err(|_| AttemptError::ExchangeFailed)?,
            () = attempt.wait_for_timeout(tuning.stall_timeout) => return Err(AttemptError::TimedOut),
            () = attempt.wait_until_late_and_unwritten(&stream) => return Err(AttemptError::WrittenTooLate),
        };
        let stream_at = Instant::now() + attempt.remaining_time().min(tuning.max_unsized_buffering);
        let is_streamed = response.may_be_streamed(&tuning);
        let response = connection.read_body(response, stream_at, &self.limits);
        tokio::select! {
            biased;
            response = response => response.map_err(|_| AttemptError::ExchangeFailed),
            // A response that the backend is still sending is not cut off for a retry.
            () = attempt.wait_for_timeout(tuning.stall_timeout), if !is_streamed => Err(AttemptError::TimedOut),
        }
    }

    /// The result of an attempt with a response. A reusable connection is returned to the pool, with a
    /// streamed body after its end.
    fn response_result(
        self: &Rc<Self>,
        target: Target,
        connection: BackendConnection,
        is_reusable: bool,
        response: ReceivedResponse,
        ended_at: Instant,
    ) -> AttemptResult<HttpClient> {
        let ReceivedResponse { status, headers, body } = response;
        let load_report = self.load_report_parser.from_headers(&headers);
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
        // The pooled connections to an unreachable machine look open for ever, so a timeout drops those that
        // have been idle since before the attempt. Later attempts then open a new connection, which fails
        // before anything is sent. Connections with a response since the start of the attempt are alive.
        // Other errors concern only the connection itself.
        if matches!(error, AttemptError::TimedOut) {
            self.pool.borrow_mut().remove_older_than(backend, started_at);
        }
        AttemptResult::without_response(match (error, connection.stream().is_request_sent()) {
            (AttemptError::NotStarted(outcome), _) => *outcome,
            // A backend starts to process a request at its last byte, so this one was not processed.
            (_, false) => Outcome::ConnectFailed,
            (AttemptError::ExchangeFailed, true) => Outcome::Reset,
            (AttemptError::TimedOut | AttemptError::WrittenTooLate, true) => Outcome::Timeout,
        })
    }
}

impl AttemptError {
    /// Whether the connection was closed before any byte of the request was sent on it.
    fn is_closed_before_sending(&self, connection: &BackendConnection) -> bool {
        matches!(self, AttemptError::ExchangeFailed) && !connection.stream().has_sent_request_bytes()
    }
}

impl ActiveAttempt<'_> {
    /// Whether the time is over in which the request may be written.
    fn is_too_late_to_write(&self) -> bool {
        self.write_by.is_some_and(|write_by| write_by <= Instant::now())
    }

    /// Waits until the request may not be written any more; for ever if there is no such limit.
    async fn wait_for_write_limit(&self) {
        match self.write_by {
            Some(write_by) => sleep_until(write_by.into()).await,
            None => pending().await,
        }
    }

    /// Waits until the request may not be written any more, and for ever if all of it is written by then.
    async fn wait_until_late_and_unwritten(&self, stream: &TrackedStream) {
        self.wait_for_write_limit().await;
        if stream.is_request_sent() {
            pending::<()>().await;
        }
    }

    /// The time left for the backend to respond.
    fn remaining_time(&self) -> Duration {
        match &self.request.body {
            ClientRequestBody::Buffered(_) => self.until.saturating_duration_since(Instant::now()),
            ClientRequestBody::Streaming(body) => body.remaining_time(),
        }
    }

    /// Waits until the attempt must end. With a buffered body that is at `until`. With a streamed body, which
    /// could not be sent again, it is at the client's deadline, or when the backend has not read for
    /// `stall_timeout`.
    async fn wait_for_timeout(&self, stall_timeout: Duration) {
        let ClientRequestBody::Streaming(body) = &self.request.body else {
            return sleep_until(self.until.into()).await;
        };
        while body.received_at().is_none() {
            let is_due = body.deadline().is_some_and(|deadline| deadline <= Instant::now());
            if is_due || body.is_backend_stalled(stall_timeout) {
                tracing::debug!(
                    is_due,
                    bytes_read = body.bytes_read(),
                    "attempt: ends before the backend has read the request"
                );
                return;
            }
            sleep(STREAMING_POLL_INTERVAL.min(body.remaining_time())).await;
        }
        sleep(body.remaining_time()).await;
    }
}
