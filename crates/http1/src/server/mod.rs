//! The server side: client connections, `/up`, and graceful shutdown. One request is handled in `request`.

mod accept;
mod access_log;
mod body_prefix;
mod client_connection;
mod connection_task;
mod maintenance;
mod readiness;
mod request;
mod request_error;
mod request_head;
mod response;
mod shutdown;

use crate::client::HttpClient;
use client_connection::ClientConnection;
use hillstall_decision::{Class, Settings, Tenant};
use hillstall_proxy_core::driver::Driver;
use hillstall_proxy_core::lifecycle::Lifecycle;
use hillstall_proxy_core::limits::Limits;
use hillstall_proxy_core::metrics::Metrics;
use maintenance::MAINTENANCE_INTERVAL;
use rustc_hash::{FxHashMap, FxHashSet};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;
use tokio::sync::Notify;

/// The HTTP/1.1 server for clients.
pub struct HttpServer {
    driver: Rc<Driver<HttpClient>>,
    client: Rc<HttpClient>,
    classes: Vec<Class>,
    tenants: Vec<Tenant>,
    /// The name of the tier this proxy sends to, for the access log.
    tier_name: String,
    /// Whether rejections for want of capacity say when to retry.
    retry_after: bool,
    connections: RefCell<FxHashMap<u64, Rc<ClientConnection>>>,
    next_connection_id: Cell<u64>,
    open_request_ids: Rc<RefCell<FxHashSet<String>>>,
    limits: Rc<Limits>,
    started: Instant,
    /// Whether a list of backends is known from before this process started.
    has_known_backends: bool,
    lifecycle: Rc<Lifecycle>,
    metrics: Rc<Metrics>,
    /// Makes the accept loop close the listener.
    stop_accepting: Notify,
    /// Whether the accept loop has closed the listener, and admitted what waited there.
    listener_closed: Cell<bool>,
}

impl HttpServer {
    /// A server for the clients of a deployment. `has_known_backends` says that a list of backends is known from
    /// before, so that `/up` waits less long for discovery.
    pub fn new(
        driver: Rc<Driver<HttpClient>>,
        client: Rc<HttpClient>,
        limits: Rc<Limits>,
        (lifecycle, metrics): (Rc<Lifecycle>, Rc<Metrics>),
        settings: &Settings,
        has_known_backends: bool,
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
            open_request_ids: Rc::default(),
            limits,
            started: Instant::now(),
            has_known_backends,
            lifecycle,
            metrics,
            stop_accepting: Notify::new(),
            listener_closed: Cell::new(false),
        })
    }

    /// Restricts this process to its part of the limits, beside so many other processes.
    pub fn apply_resource_share(&self, others: usize) {
        self.limits.share_with(others);
        self.driver.share_quota_with(others);
    }

    /// Whether this process is within its part of the connection limits; closes what it can to get there.
    pub fn is_within_limits(&self) -> bool {
        if self.limits.client_connections.is_exceeded() {
            self.shed_connection();
        }
        while self.limits.backend_connections.is_exceeded() && self.client.shed() {}
        !self.limits.client_connections.is_exceeded() && !self.limits.backend_connections.is_exceeded()
    }
}
