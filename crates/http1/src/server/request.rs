//! Handles one request, from its head to its final response.

use super::access_log::{self, AccessLogRecord};
use super::body_prefix::BodyPrefix;
use super::client_connection::ClientConnection;
use super::request_error::RequestError;
use super::request_head::{check_transfer_coding, single_value};
use super::response::{forwarded_response, rejection, text_response, with_outcome, ClientResponse};
use super::{HttpServer, MAINTENANCE_INTERVAL};
use crate::body_stream::discard;
use crate::client::HttpClient;
use crate::message::{ClientRequest, ClientRequestBody, REQUEST_ID_HEADER};
use crate::request_body::StreamingRequestBody;
use hillstall_proxy_core::clock::duration_from_ms;
use hillstall_proxy_core::driver::{Completion, FinalResponse, RequestGuard, RequestMetadata};
use hillstall_proxy_core::limits::Reservation;
use hillstall_proxy_core::metrics::{InProgress, RequestOutcome};
use hillstall_proxy_core::tuning::Tuning;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderMap, HeaderValue, CONNECTION};
use hyper::{Method, Request, StatusCode};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout_at;

/// How long after the deadline the server waits for the decision module to end a request before it closes the
/// request itself.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(10);

/// Memory that a header takes in the request and in the attempt that is being sent, besides its text.
const BYTES_PER_HEADER: usize = 256;

/// Data for the access log record of a request, taken when the request is passed to the driver.
struct AccessLogContext {
    /// Empty if the access log is off.
    request_id: String,
    class: u8,
    tenant: u16,
    started_at: Instant,
}

impl AccessLogContext {
    fn new(
        connection: &ClientConnection,
        metadata: &RequestMetadata,
        request_id: &str,
        tuning: &Tuning,
    ) -> AccessLogContext {
        AccessLogContext {
            request_id: if tuning.log_requests { request_id.to_string() } else { String::new() },
            class: metadata.class,
            tenant: metadata.tenant,
            started_at: connection.stream.message_started_at().unwrap_or_else(Instant::now),
        }
    }
}

/// The memory of a request that is being read.
struct RequestMemory {
    headers: Reservation,
    /// For the part of the body that may be buffered.
    body: Reservation,
}

/// A request that the driver has accepted.
struct ForwardedRequest {
    guard: RequestGuard<HttpClient>,
    receiver: oneshot::Receiver<Completion<HttpClient>>,
    deadline: Instant,
    streaming_body: Option<Rc<StreamingRequestBody>>,
    open_request: InProgress,
    log_context: AccessLogContext,
    is_head: bool,
}

/// The result of passing a request to the driver.
enum ForwardResult {
    Accepted(ForwardedRequest),
    /// The maximum number of requests is open; the client gets this response.
    Rejected(ClientResponse),
}

impl HttpServer {
    /// Serves one request and returns the response to it.
    pub(super) async fn serve(
        &self,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> ClientResponse {
        connection.last_response.take();
        connection.requests_dispatched.set(connection.requests_dispatched.get() + 1);
        connection.stream.forget_completions_before(connection.requests_dispatched.get());
        let result = self.respond(connection, request).await;
        let is_streaming = result.as_ref().is_ok_and(|response| response.body().busy_connection.is_some());
        let discards_body = !is_streaming && finish_request(connection);
        // Bytes after an invalid request may belong to it, so its connection is closed. When idle connections
        // are to be closed, a connection with a pipelined request stays open until the last such request has
        // its response, as it would be lost with the connection.
        let should_close_idle = self.lifecycle.should_close_idle(self.limits.tuning().drain_close_delay);
        let must_close =
            result.is_err() || discards_body || (should_close_idle && !connection.has_waiting_request());
        let mut response = result.unwrap_or_else(|error| text_response(error.status(), error.message()));
        response.body_mut().write_to(connection.stream.clone(), connection.open_request_id.take());
        if must_close {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if response.status() != StatusCode::OK {
            // Lets the tasks of other clients run, so that a client that retries at once does not starve
            // them.
            yield_now().await;
        }
        response
    }

    /// Reads and validates a request, has it served, and returns the response.
    async fn respond(
        &self,
        connection: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, RequestError> {
        let (head, body) = request.into_parts();
        check_transfer_coding(connection, &head.headers)?;
        if head.uri.path() == "/up" {
            // Anybody can request `/up`, so it does not mark the connection as one with a valid request.
            return Ok(self.readiness_response());
        }
        let (metadata, timeout) = self.read_head(&head)?;
        let path = head.uri.path_and_query().ok_or(RequestError::MissingPath)?.clone();
        let tuning = self.limits.tuning();
        let Some(memory) = self.reserve_request(&head.headers, &body, &tuning)? else {
            self.metrics.count_outcome(metadata.class, RequestOutcome::Deferred);
            return Ok(self.capacity_rejection());
        };
        let prefix = BodyPrefix::read(body, tuning.max_buffered_body_bytes).await?;
        prefix.check(connection, &head.method)?;
        let body = prefix.into_request_body(connection, timeout, memory.body, &tuning);
        let client_stream = connection.stream.clone();
        let request = ClientRequest {
            method: head.method,
            path,
            headers: head.headers,
            body,
            client_stream,
            header_memory: memory.headers,
        };
        let forwarded = match self.forward(connection, metadata, timeout, request, &tuning)? {
            ForwardResult::Accepted(forwarded) => forwarded,
            ForwardResult::Rejected(response) => return Ok(response),
        };
        let ForwardedRequest { guard, receiver, deadline, streaming_body, .. } = forwarded;
        let completion = wait_for_completion(&guard, receiver, deadline, streaming_body).await;
        let logged = completion.as_ref().filter(|_| tuning.log_requests);
        let record = logged.map(|completion| self.access_log_record(forwarded.log_context, completion));
        let response = completion.map(|completion| completion.response);
        final_response(connection, response, forwarded.is_head, forwarded.open_request, record)
    }

    /// Passes a request to the driver.
    fn forward(
        &self,
        connection: &Rc<ClientConnection>,
        mut metadata: RequestMetadata,
        timeout: Duration,
        request: ClientRequest,
        tuning: &Tuning,
    ) -> Result<ForwardResult, RequestError> {
        if connection.stream.has_peer_closed() {
            return Err(RequestError::ClientLeft);
        }
        let id = single_value(&request.headers, REQUEST_ID_HEADER).unwrap_or_default();
        let retention = self.id_retention(metadata.class, timeout);
        let open_id =
            self.open_request_ids.register(id, retention).ok_or(RequestError::DuplicateRequestId)?;
        connection.open_request_id.replace(Some(open_id));
        let streaming_body = match &request.body {
            ClientRequestBody::Streaming(body) => Some(body.clone()),
            ClientRequestBody::Buffered(_) => None,
        };
        connection.start_request(streaming_body.clone());
        let open_request = self.metrics.begin(metadata.class);
        // The timeout runs from when the client wrote the last byte of the request, which may be long before it
        // was read. That of a streamed body, which has not been read, is known later.
        let completed_at = connection.stream.earliest_completion(connection.requests_dispatched.get());
        metadata.deadline = completed_at.unwrap_or_else(|| connection.stream.last_read()) + timeout;
        let deadline = metadata.deadline;
        let log_context = AccessLogContext::new(connection, &metadata, id, tuning);
        let is_head = request.method == Method::HEAD;
        let Some((guard, receiver)) = self.driver.request(metadata, request) else {
            let response = with_outcome(self.capacity_rejection(), open_request, RequestOutcome::Deferred);
            return Ok(ForwardResult::Rejected(response));
        };
        Ok(ForwardResult::Accepted(ForwardedRequest {
            guard,
            receiver,
            deadline,
            streaming_body,
            open_request,
            log_context,
            is_head,
        }))
    }

    /// How long the id of a request stays in use after its client has left: while the client would have waited
    /// for the response, and while backends would drop a repetition.
    fn id_retention(&self, class: u8, timeout: Duration) -> Duration {
        let window = self.classes.get(usize::from(class)).map_or(0.0, |class| class.dedup_window_ms);
        timeout.max(duration_from_ms(window))
    }

    /// Reserves memory for a request; `None` if there is not enough left.
    fn reserve_request(
        &self,
        headers: &HeaderMap,
        body: &Incoming,
        tuning: &Tuning,
    ) -> Result<Option<RequestMemory>, RequestError> {
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > tuning.max_message_bytes as u64) {
            return Err(RequestError::BodyTooLarge);
        }
        let max_buffered = tuning.max_buffered_body_bytes;
        let needed = length.map_or(max_buffered, |length| (length as usize).min(max_buffered));
        let headers = self.limits.header_bytes.reserve(headers.len() * BYTES_PER_HEADER);
        let memory = headers.zip(self.limits.buffered_bytes.reserve(needed));
        Ok(memory.map(|(headers, body)| RequestMemory { headers, body }))
    }

    fn access_log_record(
        &self,
        context: AccessLogContext,
        completion: &Completion<HttpClient>,
    ) -> Box<AccessLogRecord> {
        let class = self.classes.get(usize::from(context.class));
        let tenant = self.tenants.get(usize::from(context.tenant));
        Box::new(AccessLogRecord {
            id: context.request_id,
            class: class.map(|class| class.name.clone()).unwrap_or_default(),
            tenant: tenant.map(|tenant| tenant.name.clone()).unwrap_or_default(),
            tier: self.tier_name.clone(),
            completion: access_log::completion_name(&completion.response),
            status: 0,
            trace: completion.trace,
            started_at: context.started_at,
            completed_at: Instant::now(),
        })
    }

    /// A capacity rejection, with a `Retry-After` header if the settings permit it.
    fn capacity_rejection(&self) -> ClientResponse {
        let retry_after_ms =
            if self.retry_after { self.limits.tuning().retry_after.as_secs_f64() * 1000.0 } else { 0.0 };
        rejection(retry_after_ms)
    }
}

/// Ends a request whose response is not streamed. If its body has not been received completely, the rest is
/// read and dropped in the background, and the result is true.
fn finish_request(connection: &ClientConnection) -> bool {
    let unsent = connection
        .streaming_body
        .borrow()
        .as_ref()
        .filter(|body| body.received_at().is_none())
        .and_then(|body| body.take_unsent());
    let discards_body = unsent.is_some();
    if let Some(unsent) = unsent {
        spawn_local(discard(unsent));
    }
    connection.finish_request();
    discards_body
}

/// Waits for the completion of a request. If there is none shortly after the deadline, the request is closed,
/// which makes the driver fail it. `None` if the driver has been dropped.
async fn wait_for_completion(
    guard: &RequestGuard<HttpClient>,
    mut receiver: oneshot::Receiver<Completion<HttpClient>>,
    deadline: Instant,
    streaming_body: Option<Rc<StreamingRequestBody>>,
) -> Option<Completion<HttpClient>> {
    loop {
        // That of a streamed body becomes known, and may become later, while the body is read.
        let deadline = match &streaming_body {
            None => Some(deadline),
            Some(body) => body.deadline(),
        };
        let due = deadline.map(|deadline| deadline + RESPONSE_GRACE_PERIOD);
        if due.is_some_and(|due| due <= Instant::now()) {
            guard.close();
            return receiver.await.ok();
        }
        let until = due.unwrap_or_else(|| Instant::now() + MAINTENANCE_INTERVAL);
        if let Ok(completion) = timeout_at(until.into(), &mut receiver).await {
            return completion.ok();
        }
    }
}

/// The response to the client. The outcome is counted and the access log record is written once it has been
/// sent.
fn final_response(
    connection: &Rc<ClientConnection>,
    response: Option<FinalResponse<HttpClient>>,
    is_head: bool,
    open_request: InProgress,
    mut record: Option<Box<AccessLogRecord>>,
) -> Result<ClientResponse, RequestError> {
    let (mut response, outcome) = match response {
        Some(FinalResponse::Served(response)) => {
            (forwarded_response(connection, response, is_head), RequestOutcome::Answered)
        }
        Some(FinalResponse::Rejected(retry_after_ms)) => {
            (rejection(retry_after_ms), RequestOutcome::Deferred)
        }
        Some(FinalResponse::InvalidRequest(status)) => {
            open_request.end(RequestOutcome::Errored);
            if let Some(mut record) = record {
                record.status = status.as_u16();
                record.write(true);
            }
            return Err(RequestError::RejectedByBackend(status));
        }
        Some(FinalResponse::Failed) | None => {
            (text_response(StatusCode::BAD_GATEWAY, "failed"), RequestOutcome::Errored)
        }
    };
    if let Some(record) = &mut record {
        record.status = response.status().as_u16();
    }
    response.body_mut().access_log_record = record;
    Ok(with_outcome(response, open_request, outcome))
}
