//! The last check before an attempt writes to a backend.

use crate::endpoints::BackendAddress;
use hillstall_decision::{BackendId, RequestId};
use std::rc::Rc;

/// The present state of requests and backends, as far as a [`SendPermit`] depends on it.
pub(crate) trait SendCheck {
    /// Whether the request still has no final response.
    fn is_request_open(&self, request: RequestId) -> bool;

    /// Whether the backend is still the process at `address`, and accepts new requests.
    fn is_backend_current(&self, backend: BackendId, address: &BackendAddress) -> bool;
}

/// Tells an attempt what it may do at the moment it asks. Since the attempt was decided on,
/// the backend may have begun to drain, another process may listen at its address, or the request may have its
/// final response.
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

    /// Whether the first byte may be written.
    pub fn may_send(&self) -> bool {
        self.check.is_request_open(self.request) && self.is_backend_current()
    }

    /// Whether a connection to the backend is still of use.
    pub fn is_backend_current(&self) -> bool {
        self.check.is_backend_current(self.backend, &self.address)
    }
}
