//! The server side: client connections, requests, readiness (`/up`) and graceful shutdown.

mod accept;
mod access_log;
mod body_prefix;
mod client_connection;
mod connection_task;
mod maintenance;
pub mod open_ids;
mod readiness;
mod request;
mod request_error;
mod request_head;
mod response;
mod shutdown;

use crate::client::HttpClient;
use client_connection::ClientConnection;
use hillstall_decision::{Class, Settings, Tenant};
use hillstall_proxy_core::clock::duration_from_ms;
use hillstall_proxy_core::driver::Driver;
use hillstall_proxy_core::lifecycle::Lifecycle;
use hillstall_proxy_core::limits::Limits;
use hillstall_proxy_core::metrics::Metrics;
use maintenance::MAINTENANCE_INTERVAL;
use open_ids::OpenRequestIds;
use rustc_hash::FxHashMap;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The HTTP/1.1 server: accepts client connections, validates requests and passes them to the driver.
pub struct HttpServer {
    driver: Rc<Driver<HttpClient>>,
    client: Rc<HttpClient>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    /// Name of the tier of backends that this instance sends to, for the access log.
    tier_name: String,
    /// Whether capacity rejections have a `Retry-After` header.
    retry_after: bool,
    connections: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_connection_id: Cell<u64>,
    open_request_ids: OpenRequestIds,
    limits: Rc<Limits>,
    started_at: Instant,
    /// Whether the process started with a cached endpoint list.
    has_cached_endpoints: bool,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    /// Makes the accept loop end and close the listener.
    stop_accepting: Notify,
    /// Whether the accept loop has closed the listener and admitted the connections that were queued.
    listener_closed: Cell<bool>,
}

impl HttpServer {
    /// A server that passes requests to `driver`. `has_cached_endpoints` says that the process starts with a
    /// cached endpoint list, which shortens the wait for discovery before the process is ready.
    pub fn new(
        driver: Rc<Driver<HttpClient>>,
        client: Rc<HttpClient>,
        limits: Rc<Limits>,
        (lifecycle, metrics): (Rc<Lifecycle>, Rc<Metrics>),
        settings: &Settings,
        has_cached_endpoints: bool,
    ) -> Rc<HttpServer> {
        Rc::new(HttpServer {
            driver,
            client,
            classes: settings.classes.clone(),
            tenants: settings.tenants.clone(),
            tier_name: settings.tier_names.get(settings.tier as usize).cloned().unwrap_or_default(),
            retry_after: settings.permissions.retry_after,
            connections: RefCell::default(),
            next_connection_id: Cell::new(0),
            open_request_ids: OpenRequestIds::default(),
            limits,
            started_at: Instant::now(),
            has_cached_endpoints,
            lifecycle,
            metrics,
            stop_accepting: Notify::new(),
            listener_closed: Cell::new(false),
        })
    }

    /// The ids of the open requests, which the processes of a proxy exchange during an upgrade.
    pub fn open_request_ids(&self) -> &OpenRequestIds {
        &self.open_request_ids
    }

    /// The longest time for which an id stays in use after its client has left, of all classes.
    pub fn max_id_retention(&self) -> Duration {
        let longest = |class: &Class| class.deadline_ms.max(class.dedup_window_ms);
        duration_from_ms(self.classes.iter().map(longest).fold(0.0, f64::max))
    }

    /// Limits this process to its share of sockets, memory and quotas, while `others` more processes of the
    /// same instance run.
    pub fn apply_resource_share(&self, others: usize) {
        self.limits.share_with(others);
        self.driver.share_quota_with(others);
    }

    /// Closes connections until this process is within its share of the connection limits; closes at most one
    /// client connection per call. Returns whether the limits are met, so that the caller can repeat the
    /// call.
    pub fn enforce_connection_limits(&self) -> bool {
        if self.limits.client_connections.is_exceeded() {
            self.shed_connection();
        }
        while self.limits.backend_connections.is_exceeded() && self.client.close_longest_idle() {}
        !self.limits.client_connections.is_exceeded() && !self.limits.backend_connections.is_exceeded()
    }
}
