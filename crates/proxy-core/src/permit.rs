//! The check that an attempt makes right before it writes to a backend.

use crate::endpoints::BackendAddress;
use hillstall_decision::{BackendId, RequestId};
use std::rc::Rc;

/// The state of requests and backends on which a [`SendPermit`] depends.
pub(crate) trait SendCheck {
    /// Whether the request still has no final response, and its client is still connected.
    fn is_request_open(&self, request: RequestId) -> bool;

    /// Whether the backend is still the process described by `address`, and accepts new attempts.
    fn is_backend_current(&self, backend: BackendId, address: &BackendAddress) -> bool;
}

/// Tells an attempt, each time it asks, whether it may still use its backend. After the decision module has
/// chosen the backend, that backend may begin to drain, another process may take over its address, the request
/// may get its final response, or its client may disconnect.
pub struct SendPermit {
    check: Rc<dyn SendCheck>,
    request: RequestId,
    backend: BackendId,
    address: BackendAddress,
}

impl SendPermit {
    pub(crate) fn new(
        check: Rc<dyn SendCheck>,
        request: RequestId,
        backend: BackendId,
        address: BackendAddress,
    ) -> SendPermit {
        SendPermit { check, request, backend, address }
    }

    /// Whether the request still waits for a response. Checked, together with
    /// [`is_backend_current`](Self::is_backend_current), right before its first byte is written.
    pub fn is_request_open(&self) -> bool {
        self.check.is_request_open(self.request)
    }

    /// Whether a connection to the backend can still be used for new attempts.
    pub fn is_backend_current(&self) -> bool {
        self.check.is_backend_current(self.backend, &self.address)
    }
}
