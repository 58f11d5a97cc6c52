//! Readiness of this process, which `/up` reports.

use super::response::{text_response, ClientResponse};
use super::HttpServer;
use hillstall_proxy_core::lifecycle::Phase;
use hyper::StatusCode;
use std::time::Duration;

/// How long after its start a process with a cached endpoint list waits for discovery before it is ready.
const READY_TIMEOUT_WITH_CACHED_LIST: Duration = Duration::from_millis(1_000);
/// How long after its start a process without a cached endpoint list waits for discovery before it is ready.
const READY_TIMEOUT_WITHOUT_LIST: Duration = Duration::from_millis(4_000);

impl HttpServer {
    /// Whether requests can be served: discovery has sent an endpoint list, or the wait for it has timed out.
    pub fn is_ready(&self) -> bool {
        let timeout = if self.has_cached_endpoints {
            READY_TIMEOUT_WITH_CACHED_LIST
        } else {
            READY_TIMEOUT_WITHOUT_LIST
        };
        self.driver.has_endpoint_list() || self.started_at.elapsed() >= timeout
    }

    /// The response to `/up`. Load balancers and tools may read the texts, so they are fixed.
    pub(super) fn readiness_response(&self) -> ClientResponse {
        match (self.lifecycle.phase(), self.is_ready()) {
            (Phase::Serving, true) => text_response(StatusCode::OK, "ok"),
            (Phase::Starting, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "starting"),
            (Phase::Serving, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no backend list yet"),
            (Phase::Draining, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "draining"),
            (Phase::Stopping, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        }
    }
}
