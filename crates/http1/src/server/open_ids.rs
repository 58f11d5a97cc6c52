//! The ids of open requests. A request is open until the last byte of its response has been written, so that
//! another client's request with the same id is rejected until then.

use rustc_hash::FxHashSet;
use std::cell::RefCell;
use std::rc::Rc;

/// The ids of the requests that are open at this process.
#[derive(Clone, Default)]
pub(super) struct OpenRequestIds {
    ids: Rc<RefCell<FxHashSet<String>>>,
}

impl OpenRequestIds {
    /// Registers the id of a request; `None` if another open request has it.
    pub(super) fn register(&self, id: &str) -> Option<OpenRequestId> {
        let is_new = self.ids.borrow_mut().insert(id.to_string());
        if !is_new {
            tracing::debug!(id, "request rejected: another request with its id is open");
        }
        is_new.then(|| OpenRequestId { registry: self.clone(), id: id.to_string() })
    }
}

/// The id of an open request. Dropping this makes the id available again.
pub(super) struct OpenRequestId {
    registry: OpenRequestIds,
    id: String,
}

impl Drop for OpenRequestId {
    fn drop(&mut self) {
        self.registry.ids.borrow_mut().remove(&self.id);
    }
}
