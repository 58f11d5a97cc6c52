//! Events go to the decision module one by one, and the actions that it returns are carried out in order.

use super::{Driver, State};
use crate::clock::duration_from_ms;
use crate::response::FinalResponse;
use crate::transport::Transport;
use hillstall_decision::{Action, BackendInfo, Event, ListKind, RequestId, UnservedReason};
use std::time::Duration;
use tokio::task::spawn_local;

/// An event that the decision module has not seen yet.
pub(super) enum QueuedEvent {
    /// An endpoint list, or the failure to get one.
    EndpointList { kind: ListKind, version: u32, backends: Vec<BackendInfo> },
    /// Any other event; it borrows nothing.
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

    /// Gives an event to the decision module and carries out its actions, and so on with the events that these
    /// raise at once. An action only queues an event or spawns a task, so the module is never entered from
    /// within itself.
    pub(super) fn handle(&self, state: &mut State<C>, event: QueuedEvent) {
        state.events.push_back(event);
        while let Some(event) = state.events.pop_front() {
            let mut actions = std::mem::take(&mut state.actions);
            state.balancer.handle(self.clock.now_ms(), event.as_event(), &mut actions);
            for action in actions.drain(..) {
                self.dispatch(state, action);
            }
            // Kept for its capacity.
            state.actions = actions;
        }
    }

    fn dispatch(&self, state: &mut State<C>, action: Action) {
        match action {
            Action::Send { request, backend, timeout_ms } => self.send(state, request, backend, timeout_ms),
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
            // The protocol has no form for messages between proxies, and the settings permit none.
            Action::Message { .. } => {}
            Action::Subscribe { on: true } => self.start_watch(state),
            Action::Subscribe { on: false } => state.stop_watch(),
            Action::Fetch => self.fetch_list(),
            // The module limits the rate of these itself.
            Action::Log(line) => tracing::info!(target: "hillstall::module", "{line}"),
        }
    }

    /// Sends the final response of a request that the decision module gives up.
    fn finish(
        &self,
        state: &mut State<C>,
        request: RequestId,
        response: FinalResponse<C>,
        reason: UnservedReason,
    ) {
        if let Some(open) = state.requests.get_mut(request) {
            open.trace.reason = Some(reason);
            self.metrics.count_unserved(open.class, reason);
            open.respond(response);
        }
        state.requests.remove_if_finished(request);
    }

    /// Runs an action after a delay, unless the driver is gone by then.
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
