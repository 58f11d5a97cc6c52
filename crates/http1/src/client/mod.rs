//! The client side: attempts, health checks, and the pool of connections to backends.

mod attempt;
mod connect;
mod forwarding;
mod health_check;

use crate::backend_connection::BackendConnection;
use crate::load_report::LoadReportParser;
use hillstall_decision::{BackendId, ReportField};
use hillstall_proxy_core::clock::duration_from_ms;
use hillstall_proxy_core::connect_hedging::ConnectHedging;
use hillstall_proxy_core::driver::SendPermit;
use hillstall_proxy_core::limits::Limits;
use hillstall_proxy_core::pool::{Checkout, Pool, PoolLimits};
use hillstall_proxy_core::tuning::Tuning;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Sends requests to backends over HTTP/1.1.
pub struct HttpClient {
    pool: RefCell<Pool<BackendId, BackendConnection>>,
    connect_hedging: RefCell<ConnectHedging<BackendId>>,
    limits: Rc<Limits>,
    /// Idle time after which a connection is dropped from the pool.
    max_idle: Duration,
    connect_timeout: Duration,
    load_report_parser: LoadReportParser,
}

/// The backend of an attempt, and the permit to use it.
#[derive(Clone)]
struct Target {
    backend: BackendId,
    address: SocketAddr,
    permit: Rc<SendPermit>,
}

impl HttpClient {
    /// A client whose connections count against `limits`. Backends close idle connections after
    /// `idle_close_ms`. The pool drops them after half of that time, because a request sent during such a
    /// close would be lost.
    pub fn new(
        limits: Rc<Limits>,
        connect_timeout_ms: f64,
        idle_close_ms: f64,
        load_report_fields: Vec<ReportField>,
    ) -> HttpClient {
        let max_idle = duration_from_ms(idle_close_ms / 2.0);
        let pool = Pool::new(pool_limits(&limits.tuning(), max_idle));
        HttpClient {
            pool: RefCell::new(pool),
            connect_hedging: RefCell::default(),
            max_idle,
            limits,
            connect_timeout: duration_from_ms(connect_timeout_ms),
            load_report_parser: LoadReportParser::new(load_report_fields),
        }
    }

    /// Applies the current tuning to the pool. Called after a reload of the operator file.
    pub fn apply_tuning(&self) {
        self.pool.borrow_mut().set_limits(pool_limits(&self.limits.tuning(), self.max_idle));
    }

    /// Drops idle connections that have reached the maximum idle time, or that the backend has closed.
    pub fn drop_expired_idle(&self) {
        self.pool.borrow_mut().expire(Instant::now(), |connection| connection.stream().is_idle_and_open());
    }

    /// Closes the backend connection that has been idle longest; false if none is idle.
    pub fn close_longest_idle(&self) -> bool {
        self.pool.borrow_mut().remove_longest_idle().is_some()
    }

    /// Returns a connection to the pool, unless its backend no longer accepts attempts or has been replaced.
    fn return_to_pool(&self, target: &Target, connection: BackendConnection) {
        if target.permit.is_backend_current() {
            // The pool may return a surplus connection, which is dropped.
            let _ =
                self.pool.borrow_mut().check_in(target.backend, target.address, connection, Instant::now());
        }
    }

    /// Takes an idle connection from the pool, after waiting for its reuse delay if necessary; `None` if a
    /// new one must be opened.
    async fn take_idle(&self, backend: BackendId, address: SocketAddr) -> Option<BackendConnection> {
        let mut has_waited = false;
        loop {
            let has_capacity = self.limits.backend_connections.has_capacity();
            let checkout =
                self.pool.borrow_mut().check_out(backend, address, Instant::now(), has_capacity, has_waited);
            match checkout {
                // The check reads the state of the socket itself, right before the write.
                Checkout::Reuse(connection) if connection.stream().is_idle_and_open() => {
                    return Some(connection)
                }
                // The backend has closed it, or has sent stray bytes after the response: it is dropped.
                Checkout::Reuse(_) => {}
                Checkout::Wait(delay) => {
                    has_waited = true;
                    sleep(delay).await;
                }
                Checkout::Open => return None,
            }
        }
    }
}

fn pool_limits(tuning: &Tuning, max_idle: Duration) -> PoolLimits {
    PoolLimits {
        min_reuse_delay: tuning.min_connection_reuse_delay,
        max_idle,
        max_idle_per_backend: tuning.max_idle_per_backend,
        max_reuse_waits: tuning.max_reuse_waits,
    }
}
