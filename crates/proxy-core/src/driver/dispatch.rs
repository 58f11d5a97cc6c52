//! Passes events to the decision module one by one, and carries out the returned actions in order.

use super::attempts::{attempt_timeout, AttemptLimits};
use super::{Driver, State};
use crate::clock::duration_from_ms;
use crate::response::FinalResponse;
use crate::transport::{RequestPayload, Transport};
use hillstall_decision::{Action, BackendInfo, Event, ListKind, RequestId, UnservedReason};
use std::time::Duration;
use tokio::task::spawn_local;

/// An event that has not yet been passed to the decision module.
pub(super) enum QueuedEvent {
    /// An endpoint list, or the failure to get one.
    EndpointList { kind: ListKind, version: u32, backends: Vec<BackendInfo> },
    /// Any other event, which has no borrowed data.
    Event(Event<'static>),
}

impl QueuedEvent {
    fn as_event(&self) -> Event<'_> {
        match self {
            QueuedEvent::Event(event) => *event,
            QueuedEvent::EndpointList { kind, version, backends } => {
                Event::EndpointsChanged { kind: *kind, version: *version, backends }
            }
        }
    }
}

impl<C: Transport> Driver<C> {
    pub(super) fn handle_event(&self, event: Event<'static>) {
        self.handle(&mut self.state.borrow_mut(), QueuedEvent::Event(event));
    }

    /// Passes an event to the decision module and carries out the returned actions, then does the same for
    /// the events that these actions queue. Actions only queue events or spawn tasks, so the decision module
    /// is never re-entered.
    pub(super) fn handle(&self, state: &mut State<C>, event: QueuedEvent) {
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.handle(self.clock.now_ms(), event.as_event(), &mut actions);
            for action in actions.drain(..) {
                self.dispatch(state, action);
            }
            // Reuses the allocation for the next event.
            state.actions = actions;
        }
    }

    fn dispatch(&self, state: &mut State<C>, action: Action) {
        match action {
            Action::Send { request, backend, timeout_ms, write_by } => {
                let limits = AttemptLimits {
                    timeout: attempt_timeout(timeout_ms),
                    write_by: write_by.and_then(|at| self.clock.instant_at(at)),
                };
                self.send(state, request, backend, limits);
            }
            Action::Reject { request, retry_after_ms, reason } => {
                self.finish(state, request, FinalResponse::Rejected(retry_after_ms), reason);
            }
            Action::Fail { request, reason } => self.finish(state, request, FinalResponse::Failed, reason),
            Action::Cancel { request, attempt } => {
                if let Some(open) = state.requests.get_mut(request) {
                    open.cancel_attempt(attempt);
                }
            }
            Action::SetTimer { after_ms, token } => {
                let delay = duration_from_ms(after_ms);
                self.run_after(delay, move |driver| driver.handle_event(Event::Timer { token }));
            }
            Action::Probe { backend } => self.probe(state, backend),
            Action::CloseIdle { backend } => self.transport.close_idle(backend),
            // Instances exchange no such messages: the protocol has none, and the settings permit none.
            Action::Message { .. } => {}
            Action::Subscribe { on: true } => self.start_watch(state),
            Action::Subscribe { on: false } => state.stop_watch(),
            Action::Fetch => self.fetch_list(),
            // The decision module limits the rate of its log lines.
            Action::Log(line) => tracing::info!(target: "hillstall::module", "{line}"),
        }
    }

    /// Sends the final response of a request that the decision module rejects or fails.
    fn finish(
        &self,
        state: &mut State<C>,
        request: RequestId,
        response: FinalResponse<C>,
        reason: UnservedReason,
    ) {
        if let Some(open) = state.requests.get_mut(request) {
            open.trace.reason = Some(reason);
            tracing::debug!(
                id = open.payload.id(),
                attempts = open.trace.attempts,
                reason = reason.name(),
                rejected = matches!(response, FinalResponse::Rejected(_)),
                "request is not served"
            );
            self.metrics.count_unserved(open.class, reason);
            open.respond(response);
        }
        state.requests.remove_if_finished(request);
    }

    /// Runs `action` after a delay, unless the driver has been dropped by then.
    pub(super) fn run_after(&self, delay: Duration, action: impl FnOnce(&Driver<C>) + 'static) {
        let weak_self = self.weak_self.clone();
        spawn_local(async move {
            tokio::time::sleep(delay).await;
            if let Some(driver) = weak_self.upgrade() {
                action(&driver);
            }
        });
    }
}
