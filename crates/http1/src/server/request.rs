//! One call: from its head to its final answer.

use super::access_log::{self, AccessLogRecord};
use super::client_connection::ClientConnection;
use super::request_head::{single_value, Bad, OpenRequestId, REQUEST_ID};
use super::response::{rejection, text_response, with_outcome, BodySource, ClientResponse, ResponseBody};
use super::{Server, MAINTENANCE_INTERVAL};
use crate::backend_connection::concatenate;
use crate::message::{BackendResponseBody, ClientRequest, ClientRequestBody};
use crate::request_body::{discard, BodyStream, StreamingRequestBody};
use bytes::Bytes;
use hillstall_proxy_core::driver::FinalResponse;
use hillstall_proxy_core::lifecycle::Phase;
use hillstall_proxy_core::limits;
use hillstall_proxy_core::metrics::RequestOutcome;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, CONTENT_TYPE, TRANSFER_ENCODING};
use hyper::{Method, Request, Response, StatusCode};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, yield_now};
use tokio::time::timeout_at;

/// How long `/up` waits for discovery before it makes do with the known list, or with none at all.
const READY_TIMEOUT_WITH_KNOWN_BACKENDS: Duration = Duration::from_millis(1_000);
const READY_TIMEOUT: Duration = Duration::from_millis(4_000);
/// The module answers at the deadline. If it has not so long after, the driver does.
const RESPONSE_GRACE_PERIOD: Duration = Duration::from_millis(10);

impl Server {
    pub(super) async fn serve(
        &self,
        caller: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> ClientResponse {
        caller.last_response.take();
        let answered = self.answer(caller, request).await;
        let passes = answered.as_ref().is_ok_and(|reply| reply.body().busy_connection.is_some());
        let mut cut_short = false;
        if !passes {
            // The caller may still be sending what will not be needed.
            let rest = caller
                .streaming_body
                .borrow()
                .as_ref()
                .filter(|u| u.deadline().is_none())
                .and_then(|u| u.take_unsent());
            if let Some(rest) = rest {
                cut_short = true;
                spawn_local(discard(rest));
            }
            caller.finish_request();
        }
        // What follows a bad request on its connection may be part of it, so nothing is read from there.
        let close =
            answered.is_err() || cut_short || self.lifecycle.closes_idle(self.limits.tuning().drain_notice);
        let mut reply = answered.unwrap_or_else(|(status, why)| text_response(status, why));
        if close {
            reply.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        if reply.status() != StatusCode::OK {
            // Guards the others against one that asks again as soon as it is turned away.
            yield_now().await;
        }
        reply
    }

    async fn answer(
        &self,
        caller: &Rc<ClientConnection>,
        request: Request<Incoming>,
    ) -> Result<ClientResponse, Bad> {
        let (head, body) = request.into_parts();
        let codings = head.headers.get_all(TRANSFER_ENCODING).iter();
        if caller.stream.is_ambiguous() || codings.count() > 1 {
            // hyper hides a Content-Length that stands beside chunks, and a second request may hide in the body.
            return Err((StatusCode::BAD_REQUEST, "a request's length is told twice"));
        }
        let coding = single_value(&head.headers, TRANSFER_ENCODING.as_str());
        if coding.is_some_and(|coding| !coding.eq_ignore_ascii_case("chunked")) {
            return Err((StatusCode::NOT_IMPLEMENTED, "chunks are the only coding there is"));
        }
        if head.uri.path() == "/up" {
            // Anybody may ask this, so it proves nothing of the caller.
            return Ok(self.up());
        }
        let (mut asked, timeout_ms) = self.read_head(&head)?;
        let path = head.uri.path_and_query().ok_or((StatusCode::BAD_REQUEST, "no path"))?.clone();
        let tuning = self.limits.tuning();
        let held_most = tuning.max_buffered_body;
        let length = body.size_hint().exact();
        if length.is_some_and(|length| length > tuning.max_message as u64) {
            return Err((StatusCode::PAYLOAD_TOO_LARGE, "the body is too large"));
        }
        let hold = length.map_or(held_most, |length| (length as usize).min(held_most));
        let Some(mut room) = self.limits.buffered_bytes.reserve(hold) else {
            self.metrics.count(asked.class, RequestOutcome::Deferred);
            return Ok(self.no_room());
        };
        let timeout = Duration::from_millis(timeout_ms.into());
        let (first, rest) =
            read(body, held_most).await.ok_or((StatusCode::BAD_REQUEST, "the body is cut short"))?;
        if caller.stream.is_ambiguous() {
            return Err((StatusCode::BAD_REQUEST, "the body is not in chunks"));
        }
        if head.method != Method::POST && !(first.is_empty() && rest.is_none()) {
            return Err((StatusCode::BAD_REQUEST, "only a POST has a body"));
        }
        let body = match rest {
            None => {
                let bytes = concatenate(first);
                room.shrink_to(bytes.len());
                ClientRequestBody::Buffered(limits::BufferedBody::new(bytes, room))
            }
            Some(body) => ClientRequestBody::Streaming(StreamingRequestBody::new(
                caller.stream.clone(),
                timeout,
                BodyStream::new(first, body, tuning.max_message),
                room,
            )),
        };
        let id = single_value(&head.headers, REQUEST_ID).unwrap_or_default();
        let _open = OpenRequestId::new(&self.open_request_ids, id)
            .ok_or((StatusCode::CONFLICT, "the id is in use"))?;
        caller.request_in_progress.set(true);
        caller.has_sent_valid_request.set(true);
        let open = self.metrics.begin(asked.class);
        // The time runs from the request's last byte, which was the last thing read unless the body passes.
        asked.deadline = caller.stream.last_read() + timeout;
        let due = asked.deadline + RESPONSE_GRACE_PERIOD;
        let upload = match &body {
            ClientRequestBody::Streaming(upload) => Some(upload.clone()),
            ClientRequestBody::Buffered(_) => None,
        };
        caller.streaming_body.replace(upload.clone());
        let bodiless = head.method == Method::HEAD;
        let id = if tuning.log_requests { id.to_string() } else { String::new() };
        let (class, tenant) = (asked.class, asked.tenant);
        let begun = caller.stream.message_started_at().unwrap_or_else(Instant::now);
        let inbound = ClientRequest { method: head.method, path, headers: head.headers, body };
        let Some((guard, mut answer)) = self.driver.request(asked, inbound) else {
            return Ok(with_outcome(self.no_room(), open, RequestOutcome::Deferred));
        };
        let answer = loop {
            let due = match &upload {
                None => Some(due),
                Some(upload) => upload.deadline().map(|deadline| deadline + RESPONSE_GRACE_PERIOD),
            };
            let until = due.unwrap_or_else(|| Instant::now() + MAINTENANCE_INTERVAL);
            match timeout_at(until.into(), &mut answer).await {
                Ok(answer) => break answer,
                Err(_) if due.is_none() => {}
                Err(_) => {
                    guard.close();
                    break answer.await;
                }
            }
        };
        let mut record = answer.as_ref().ok().filter(|_| tuning.log_requests).map(|ended| {
            Box::new(AccessLogRecord {
                id,
                class: self.classes.get(usize::from(class)).map(|c| c.name.clone()).unwrap_or_default(),
                tenant: self.tenants.get(usize::from(tenant)).map(|t| t.name.clone()).unwrap_or_default(),
                tier: self.tier_name.clone(),
                end: access_log::completion_name(&ended.response),
                status: 0,
                trace: ended.trace,
                started_at: begun,
                completed_at: Instant::now(),
            })
        });
        let mut reply = match answer.map(|ended| ended.response) {
            Ok(FinalResponse::Served(answer)) => {
                let (body, busy) = match answer.body {
                    BackendResponseBody::Buffered(body) => {
                        let bytes = body.bytes.clone();
                        caller.last_response.replace(Some(body));
                        (BodySource::Buffered(Full::new(bytes)), None)
                    }
                    BackendResponseBody::Streaming(answer) => {
                        (BodySource::Streaming(answer), Some(caller.clone()))
                    }
                };
                let mut reply = Response::new(ResponseBody {
                    source: body,
                    open_request: None,
                    busy_connection: busy,
                    access_log_record: None,
                });
                let kept = if bodiless { &[CONTENT_TYPE, CONTENT_LENGTH][..] } else { &[CONTENT_TYPE] };
                for name in kept {
                    if let Some(value) = answer.headers.get(name) {
                        reply.headers_mut().insert(name, value.clone());
                    }
                }
                with_outcome(reply, open, RequestOutcome::Answered)
            }
            Ok(FinalResponse::Rejected(after_ms)) => {
                with_outcome(rejection(after_ms), open, RequestOutcome::Deferred)
            }
            Ok(FinalResponse::InvalidRequest(status)) => {
                open.end(RequestOutcome::Errored);
                if let Some(mut record) = record {
                    record.status = status.as_u16();
                    record.write(true);
                }
                return Err((status, "a backend found fault with it"));
            }
            Ok(FinalResponse::Failed) | Err(_) => {
                with_outcome(text_response(StatusCode::BAD_GATEWAY, "failed"), open, RequestOutcome::Errored)
            }
        };
        if let Some(record) = &mut record {
            record.status = reply.status().as_u16();
        }
        reply.body_mut().access_log_record = record;
        Ok(reply)
    }

    /// A refusal for want of room, which says when to come back where that is allowed.
    fn no_room(&self) -> ClientResponse {
        rejection(if self.retry_after {
            self.limits.tuning().retry_after.as_secs_f64() * 1000.0
        } else {
            0.0
        })
    }

    /// Whether calls can be served: there is a backend list, or none is to be had.
    pub fn is_ready(&self) -> bool {
        let most = if self.has_known_backends { READY_TIMEOUT_WITH_KNOWN_BACKENDS } else { READY_TIMEOUT };
        self.driver.has_endpoint_list() || self.started.elapsed() >= most
    }

    fn up(&self) -> ClientResponse {
        match (self.lifecycle.phase(), self.is_ready()) {
            (Phase::Serving, true) => text_response(StatusCode::OK, "ok"),
            (Phase::Starting, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "starting"),
            (Phase::Serving, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no backend list yet"),
            (Phase::Draining, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "draining"),
            (Phase::Stopping, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        }
    }
}

/// Reads a body to its end, or until it is too long to be held; then the rest comes too. `None` if it is cut
/// short.
async fn read(mut body: Incoming, held_most: usize) -> Option<(VecDeque<Bytes>, Option<Incoming>)> {
    let (mut first, mut held) = (VecDeque::new(), 0);
    while held <= held_most {
        match body.frame().await {
            None => return Some((first, None)),
            Some(frame) => {
                if let Ok(piece) = frame.ok()?.into_data() {
                    held += piece.len();
                    first.push_back(piece);
                }
            }
        }
    }
    Some((first, Some(body)))
}
