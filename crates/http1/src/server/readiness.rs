//! `/up`: whether this proxy serves requests.

use super::response::{text_response, ClientResponse};
use super::HttpServer;
use hillstall_proxy_core::lifecycle::Phase;
use hyper::StatusCode;
use std::time::Duration;

/// How long `/up` waits for discovery where a list of backends is known from before.
const READY_TIMEOUT_WITH_KNOWN_BACKENDS: Duration = Duration::from_millis(1_000);
/// How long `/up` waits for discovery where no backend is known.
const READY_TIMEOUT: Duration = Duration::from_millis(4_000);

impl HttpServer {
    /// Whether requests can be served: there is an endpoint list, or discovery has been waited for long enough.
    pub fn is_ready(&self) -> bool {
        let timeout = if self.has_known_backends { READY_TIMEOUT_WITH_KNOWN_BACKENDS } else { READY_TIMEOUT };
        self.driver.has_endpoint_list() || self.started.elapsed() >= timeout
    }

    /// The response to `/up`.
    pub(super) fn up(&self) -> ClientResponse {
        match (self.lifecycle.phase(), self.is_ready()) {
            (Phase::Serving, true) => text_response(StatusCode::OK, "ok"),
            (Phase::Starting, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "starting"),
            (Phase::Serving, false) => text_response(StatusCode::SERVICE_UNAVAILABLE, "no backend list yet"),
            (Phase::Draining, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "draining"),
            (Phase::Stopping, _) => text_response(StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        }
    }
}
