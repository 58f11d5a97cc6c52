//! Attempts and health checks. Each runs in its own task and reports its outcome to the decision module.

use super::dispatch::QueuedEvent;
use super::{Driver, State};
use crate::clock::{duration_from_ms, ms_from_duration, MAX_DURATION};
use crate::endpoints::BackendAddress;
use crate::permit::{SendCheck, SendPermit};
use crate::response::FinalResponse;
use crate::transport::{Attempt, AttemptResult, RequestPayload, Transport};
use hillstall_decision::{BackendId, Event, LoadReport, Millis, Outcome, RequestId};
use std::time::{Duration, Instant};
use tokio::task::spawn_local;

/// Converts the timeout of an attempt, for which 0 means that there is none.
pub(super) fn attempt_timeout(timeout_ms: Millis) -> Duration {
    if timeout_ms == 0.0 {
        MAX_DURATION
    } else {
        duration_from_ms(timeout_ms)
    }
}

/// The limits in time of one attempt.
#[derive(Clone, Copy)]
pub(super) struct AttemptLimits {
    /// Maximum duration of the attempt.
    pub(super) timeout: Duration,
    /// When the last byte has to be written at the latest, if there is such a limit.
    pub(super) write_by: Option<Instant>,
}

impl<C: Transport> SendCheck for Driver<C> {
    fn is_request_open(&self, request: RequestId) -> bool {
        let state = self.state.borrow();
        state
            .requests
            .get(request)
            .is_some_and(|open| !open.has_response() && !open.payload.has_client_left())
    }

    fn is_backend_current(&self, backend: BackendId, address: &BackendAddress) -> bool {
        self.state.borrow().directory.backend(backend).is_some_and(|current| {
            current.is_same_process(address) && current.accepts_new(Instant::now(), self.drain_grace)
        })
    }
}

impl<C: Transport> State<C> {
    /// Counts an attempt at a backend of this zone, if traffic is counted by zone.
    fn count_sent(&mut self, zone: u16) {
        if let Some(traffic) = self.zone_traffic.get_mut(usize::from(zone)) {
            traffic.sent += 1;
        }
    }
}

impl<C: Transport> Driver<C> {
    /// Starts an attempt that the decision module has chosen. Reports [`Outcome::NotSent`] instead if the
    /// backend is unknown, or if `OpenRequest::may_start_attempt` does not allow the attempt. A request whose
    /// client has left fails.
    pub(super) fn send(
        &self,
        state: &mut State<C>,
        request: RequestId,
        backend: BackendId,
        limits: AttemptLimits,
    ) {
        let address = state.directory.backend(backend);
        Self::fail_if_client_left(state, request);
        let open = state.requests.get_mut(request).filter(|open| open.may_start_attempt(self.max_attempts));
        let (Some(open), Some(address)) = (open, address) else {
            return Self::report_not_sent(state, request, backend);
        };
        let sent_at = Instant::now();
        let cancelled = open.start_attempt(backend, address.address, sent_at);
        let payload = open.payload.clone();
        let deadline = open.deadline;
        let sent_counter = self.metrics.sent_counter(open.class);
        state.count_sent(address.zone);
        let weak_self = self.weak_self.clone();
        spawn_local(async move {
            let Some(driver) = weak_self.upgrade() else { return };
            let permit = SendPermit::new(driver.clone(), request, backend, address);
            let attempt = Attempt {
                payload,
                backend,
                address: address.address,
                deadline,
                timeout: limits.timeout,
                write_by: limits.write_by,
                sent_counter,
                permit,
            };
            let attempt = driver.transport.clone().attempt(attempt);
            let result = tokio::select! {
                biased;
                result = attempt => result,
                // This drops the attempt, which closes its connection, before the outcome is reported.
                Ok(()) = cancelled => AttemptResult::without_response(Outcome::Cancelled),
            };
            driver.attempt_ended(request, backend, sent_at, result);
        });
    }

    /// Fails a request whose client has left.
    fn fail_if_client_left(state: &mut State<C>, request: RequestId) {
        if let Some(open) = state.requests.get_mut(request).filter(|open| open.payload.has_client_left()) {
            let id = open.payload.id();
            tracing::debug!(id, attempts = open.trace.attempts, "not sent: the client has left");
            open.respond(FinalResponse::Failed);
        }
    }

    /// Queues the outcome of an attempt that could not start.
    fn report_not_sent(state: &mut State<C>, request: RequestId, backend: BackendId) {
        let open = state.requests.get(request);
        let event = Event::Outcome {
            request,
            attempt: open.map_or(0, |open| open.trace.attempts as u8),
            backend,
            outcome: Outcome::NotSent,
            took_ms: 0.0,
            ended: open.is_none_or(|open| open.has_response()),
            report: LoadReport::default(),
        };
        state.events.push_back(QueuedEvent::Event(event));
    }

    fn attempt_ended(
        &self,
        request: RequestId,
        backend: BackendId,
        sent_at: Instant,
        result: AttemptResult<C>,
    ) {
        let state = &mut *self.state.borrow_mut();
        let Some(open) = state.requests.get_mut(request) else { return };
        let Some(attempt) = open.in_flight.take() else { return };
        open.trace.last_outcome = Some(result.outcome);
        self.metrics.count_attempt(open.class, result.outcome);
        tracing::debug!(
            id = open.payload.id(),
            attempt = open.trace.attempts,
            outcome = result.outcome.name(),
            took_ms = ms_from_duration(sent_at.elapsed()),
            "attempt ends"
        );
        if let Some(response) = result.response {
            open.respond(FinalResponse::Served(response));
        } else if let Some(fault) = result.invalid_request {
            open.respond(FinalResponse::InvalidRequest(fault));
        }
        // A backend starts to process a request at its last byte, which a slow client may send much later.
        let processing_started_at =
            open.payload.completed_at().map_or(sent_at, |completed| completed.max(sent_at));
        let event = Event::Outcome {
            request,
            attempt: attempt.number,
            backend,
            outcome: result.outcome,
            took_ms: ms_from_duration(result.ended_at.saturating_duration_since(processing_started_at)),
            ended: open.has_response(),
            report: result.load_report,
        };
        self.record_zone_outcome(state, backend, result.outcome, &result.load_report);
        self.handle(state, QueuedEvent::Event(event));
        state.requests.remove_if_finished(request);
    }

    /// Counts an attempt that ended in the traffic of its backend's zone.
    fn record_zone_outcome(
        &self,
        state: &mut State<C>,
        backend: BackendId,
        outcome: Outcome,
        report: &LoadReport,
    ) {
        // Saves the lookup in deployments that don't count traffic by zone.
        if state.zone_traffic.is_empty() {
            return;
        }
        let zone = state.directory.backend(backend).map(|address| usize::from(address.zone));
        if let Some(traffic) = zone.and_then(|zone| state.zone_traffic.get_mut(zone)) {
            let index = self.cpu_report_index.filter(|index| *index < usize::from(report.len));
            let cpu = index.and_then(|index| report.values.get(index)).copied();
            traffic.record(outcome, cpu);
        }
    }

    /// Starts a health check of a backend.
    pub(super) fn probe(&self, state: &State<C>, backend: BackendId) {
        let weak_self = self.weak_self.clone();
        let transport = self.transport.clone();
        let with_report = self.probe_load_report;
        let address = state.directory.backend(backend);
        let sent_at = Instant::now();
        spawn_local(async move {
            let result = match address {
                Some(address) => transport.probe(address.address, with_report).await,
                None => AttemptResult::without_response(Outcome::NotSent),
            };
            let Some(driver) = weak_self.upgrade() else { return };
            driver.handle_event(Event::ProbeResult {
                backend,
                outcome: result.outcome,
                took_ms: ms_from_duration(result.ended_at.saturating_duration_since(sent_at)),
                report: result.load_report,
            });
        });
    }
}
