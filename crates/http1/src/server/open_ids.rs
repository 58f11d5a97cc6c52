//! The ids of open requests, which other clients' requests must not have.
//!
//! A request is open until the last byte of its response has been written. If its client leaves before that, an
//! attempt may still run at a backend, so its id stays in use for as long as that matters. While two processes
//! of a proxy run, each tells the other which ids are in use at it.

use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc::UnboundedSender;

/// Maximum number of ids kept of clients that have left. Beyond it the one that would be kept least longer is
/// given up.
const MAX_ABANDONED_IDS: usize = 4_096;

/// A change of the ids in use, for the other process of a proxy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum IdChange {
    /// The id is in use from now on.
    Opened(String),
    /// The id is available again.
    Closed(String),
}

#[derive(Default)]
struct Ids {
    /// In use at this process, including the abandoned ones.
    used: FxHashSet<String>,
    /// The ids of requests whose clients have left, by the end of their retention and the order in which they
    /// came.
    abandoned: BTreeMap<(Instant, u64), String>,
    next_abandoned: u64,
    /// In use at the other process.
    used_by_peer: FxHashSet<String>,
    peer: Option<UnboundedSender<IdChange>>,
}

impl Ids {
    fn tell_peer(&self, change: impl FnOnce() -> IdChange) {
        if let Some(peer) = &self.peer {
            // Fails only if the other process has just ended.
            let _ = peer.send(change());
        }
    }

    fn close(&mut self, id: &str) {
        self.used.remove(id);
        self.tell_peer(|| IdChange::Closed(id.to_string()));
    }

    fn abandon(&mut self, id: String, until: Instant) {
        self.abandoned.insert((until, self.next_abandoned), id);
        self.next_abandoned += 1;
        self.drop_abandoned(|count, _| count > MAX_ABANDONED_IDS);
    }

    /// Makes abandoned ids available again, first the one that would be kept least longer, while `is_over` of
    /// their number and of the end of that one's retention.
    fn drop_abandoned(&mut self, is_over: impl Fn(usize, Instant) -> bool) {
        while let Some(first) = self.abandoned.first_entry() {
            let until = first.key().0;
            if !is_over(self.abandoned.len(), until) {
                return;
            }
            if let Some((_, id)) = self.abandoned.pop_first() {
                self.close(&id);
            }
        }
    }
}

/// The ids of the requests that are open at this process.
#[derive(Clone, Default)]
pub struct OpenRequestIds {
    ids: Rc<RefCell<Ids>>,
}

impl OpenRequestIds {
    /// Registers the id of a request; `None` if another open request has it. If the client leaves before its
    /// response has been written, the id stays in use for `retention`.
    pub(super) fn register(&self, id: &str, retention: Duration) -> Option<OpenRequestId> {
        let ids = &mut *self.ids.borrow_mut();
        let now = Instant::now();
        ids.drop_abandoned(|_, until| until <= now);
        if ids.used_by_peer.contains(id) || !ids.used.insert(id.to_string()) {
            tracing::debug!(id, "request rejected: another request with its id is open");
            return None;
        }
        ids.tell_peer(|| IdChange::Opened(id.to_string()));
        Some(OpenRequestId { registry: self.clone(), id: id.to_string(), retention, is_answered: false })
    }

    /// Tells the other process of this proxy all ids in use, and from now on each change.
    pub fn connect_peer(&self, peer: UnboundedSender<IdChange>) {
        let ids = &mut *self.ids.borrow_mut();
        ids.peer = Some(peer);
        for id in &ids.used {
            ids.tell_peer(|| IdChange::Opened(id.clone()));
        }
    }

    /// Applies a change at the other process.
    pub fn on_peer_change(&self, change: IdChange) {
        let used = &mut self.ids.borrow_mut().used_by_peer;
        match change {
            IdChange::Opened(id) => used.insert(id),
            IdChange::Closed(id) => used.remove(&id),
        };
    }

    /// Records that the other process has ended. What was open there counts as abandoned for `retention`.
    pub fn on_peer_ended(&self, retention: Duration) {
        let ids = &mut *self.ids.borrow_mut();
        ids.peer = None;
        let until = Instant::now() + retention;
        for id in std::mem::take(&mut ids.used_by_peer) {
            if ids.used.insert(id.clone()) {
                ids.abandon(id, until);
            }
        }
    }
}

/// The id of an open request. Dropping this records that the client has left.
pub(super) struct OpenRequestId {
    registry: OpenRequestIds,
    id: String,
    retention: Duration,
    is_answered: bool,
}

impl OpenRequestId {
    /// Makes the id available again, as the response has been written.
    pub(super) fn answered(mut self) {
        self.is_answered = true;
    }
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        let ids = &mut *self.registry.ids.borrow_mut();
        if self.is_answered {
            ids.close(&self.id);
        } else {
            ids.abandon(std::mem::take(&mut self.id), Instant::now() + self.retention);
        }
    }
}
