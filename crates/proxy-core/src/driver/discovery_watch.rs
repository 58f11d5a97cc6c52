//! Receives endpoint lists from discovery, by a watch or by single fetches, and applies them.

use super::dispatch::QueuedEvent;
use super::{Driver, State};
use crate::discovery;
use crate::endpoints::EndpointList;
use crate::transport::Transport;
use hillstall_decision::{BackendId, ListKind};
use std::net::SocketAddr;
use std::time::Instant;
use tokio::task::spawn_local;

impl<C: Transport> State<C> {
    /// Stops the discovery watch, if there is one.
    pub(super) fn stop_watch(&mut self) {
        if let Some(task) = self.watch_task.take() {
            task.abort();
        }
    }
}

impl<C: Transport> Driver<C> {
    /// Applies the cached list with which this process starts.
    pub(super) fn apply_cached_list(&self, list: EndpointList) {
        // No earlier list is known, so this one is treated as full even if it was stored from a delta.
        self.apply_list(&EndpointList { is_snapshot: true, ..list }, ListKind::Cached);
    }

    /// Applies a list that discovery has sent.
    fn apply_received_list(&self, list: &EndpointList) {
        self.endpoint_list_received.set(true);
        self.watch_failure_logged.set(false);
        self.apply_list(list, if list.is_snapshot { ListKind::Full } else { ListKind::Delta });
    }

    fn apply_list(&self, list: &EndpointList, kind: ListKind) {
        let state = &mut *self.state.borrow_mut();
        let changes = state.directory.apply(list, Instant::now());
        for backend in changes.stale {
            self.transport.close_idle(backend);
        }
        for backend in changes.newly_draining {
            self.close_idle_after_grace(backend);
        }
        let in_use = state.requests.backends_in_flight();
        state.directory.remove_gone(|backend| in_use.contains(&backend));
        state.list_version = Some(list.version);
        let version = list.version as u32;
        self.handle(state, QueuedEvent::EndpointList { kind, version, backends: changes.backends });
    }

    /// Closes the idle connections to a draining backend once its drain grace period has passed.
    fn close_idle_after_grace(&self, backend: BackendId) {
        let grace = self.drain_grace;
        self.run_after(grace, move |driver| {
            let address = driver.state.borrow().directory.backend(backend);
            if address.is_some_and(|address| !address.accepts_new(Instant::now(), grace)) {
                driver.transport.close_idle(backend);
            }
        });
    }

    /// Starts a watch from the known version of the list. If the decision module subscribes
    /// (`must_subscribe`), it is told when the watch ends and decides when to subscribe again; otherwise the
    /// driver reopens the watch itself.
    pub(super) fn start_watch(&self, state: &mut State<C>) {
        state.stop_watch();
        let address = self.discovery_address.get();
        let subscribed = self.must_subscribe;
        let discovery = self.discovery.clone();
        let mut version = state.list_version;
        let weak_self = self.weak_self.clone();
        let mut on_list = move |list: EndpointList| {
            if let Some(driver) = weak_self.upgrade() {
                driver.apply_received_list(&list);
            }
        };
        let weak_self = self.weak_self.clone();
        let task = spawn_local(async move {
            if !subscribed {
                let on_end = |cause: &str| {
                    if let Some(driver) = weak_self.upgrade() {
                        driver.log_watch_end(address, cause);
                    }
                };
                return discovery::follow(discovery, address, version, on_list, on_end).await;
            }
            let cause = discovery.watch(address, &mut version, &mut on_list).await;
            if let Some(driver) = weak_self.upgrade() {
                driver.log_watch_end(address, &cause);
                driver.report_list_failure();
            }
        });
        state.watch_task = Some(task.abort_handle());
    }

    /// Logs why a watch ended, once until discovery sends a list again rather than for each retry.
    fn log_watch_end(&self, address: SocketAddr, cause: &str) {
        if !self.watch_failure_logged.replace(true) {
            tracing::warn!(%address, "discovery watch: {cause}; keeping the last list and retrying");
        }
    }

    /// Fetches the full list once.
    pub(super) fn fetch_list(&self) {
        let weak_self = self.weak_self.clone();
        let address = self.discovery_address.get();
        let discovery = self.discovery.clone();
        spawn_local(async move {
            let list = discovery.fetch(address).await;
            let Some(driver) = weak_self.upgrade() else { return };
            // If discovery has moved to another address meanwhile, this list is dropped and reported as a
            // failure.
            match list.filter(|_| driver.discovery_address.get() == address) {
                Some(list) => driver.apply_received_list(&list),
                None => driver.report_list_failure(),
            }
        });
    }

    /// Reports to the decision module that a watch or a fetch failed.
    fn report_list_failure(&self) {
        let state = &mut *self.state.borrow_mut();
        let version = state.list_version.unwrap_or_default() as u32;
        let kind = ListKind::Failed;
        self.handle(state, QueuedEvent::EndpointList { kind, version, backends: Vec::new() });
    }
}
