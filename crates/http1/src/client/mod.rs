//! The client side: attempts at backends, and the pool of connections to them.

mod attempt;
mod connect;
mod forwarding;
mod health_check;

use crate::backend_connection::BackendConnection;
use crate::load_report::LoadReportParser;
use hillstall_decision::{BackendId, ReportField};
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

/// The longest duration that a setting can give, in milliseconds: an hour.
const MAX_SETTING_MS: f64 = 3.6e6;

/// Sends requests to backends over HTTP/1.1.
pub struct HttpClient {
    pool: RefCell<Pool<BackendId, BackendConnection>>,
    connect_hedging: RefCell<ConnectHedging<BackendId>>,
    limits: Rc<Limits>,
    /// How long a connection may stay in the pool.
    max_idle: Duration,
    connect_timeout: Duration,
    load_reports: LoadReportParser,
}

/// Where an attempt goes, and whether it still may.
#[derive(Clone)]
struct Target {
    backend: BackendId,
    address: SocketAddr,
    permit: Rc<SendPermit>,
}

impl HttpClient {
    /// A client whose connections count against `limits`. Backends close idle connections after `idle_close_ms`;
    /// the pool drops them at half of that, as a request that crosses such a close would be lost.
    pub fn new(
        limits: Rc<Limits>,
        connect_ms: f64,
        idle_close_ms: f64,
        fields: Vec<ReportField>,
    ) -> HttpClient {
        let max_idle = duration_from_ms(idle_close_ms / 2.0);
        let pool = Pool::new(pool_limits(&limits.tuning(), max_idle));
        HttpClient {
            pool: RefCell::new(pool),
            connect_hedging: RefCell::default(),
            max_idle,
            limits,
            connect_timeout: duration_from_ms(connect_ms),
            load_reports: LoadReportParser::new(fields),
        }
    }

    /// Applies the tuning in force.
    pub fn apply_tuning(&self) {
        self.pool.borrow_mut().set_limits(pool_limits(&self.limits.tuning(), self.max_idle));
    }

    /// Drops idle connections that are too old, or that the backend has closed.
    pub fn drop_expired_idle(&self) {
        self.pool.borrow_mut().expire(Instant::now(), |connection| connection.stream().is_idle_and_open());
    }

    /// Drops the connection that has been idle longest; false if there is none.
    pub fn close_longest_idle(&self) -> bool {
        self.pool.borrow_mut().remove_longest_idle().is_some()
    }

    /// Puts a connection into the pool, unless its backend has been removed or replaced.
    fn return_to_pool(&self, target: &Target, connection: BackendConnection) {
        if target.permit.is_backend_current() {
            // The pool may give back a connection that has to make way: it is dropped here.
            let _ =
                self.pool.borrow_mut().check_in(target.backend, target.address, connection, Instant::now());
        }
    }

    /// An idle connection to a backend; `None` if a new one is to be opened.
    async fn take_idle(&self, backend: BackendId, address: SocketAddr) -> Option<BackendConnection> {
        let mut has_waited = false;
        loop {
            let has_capacity = self.limits.backend_connections.has_capacity();
            let checkout =
                self.pool.borrow_mut().check_out(backend, address, Instant::now(), has_capacity, has_waited);
            match checkout {
                // The socket itself is asked, at the last moment before the write.
                Checkout::Reuse(connection) if connection.stream().is_idle_and_open() => {
                    return Some(connection)
                }
                // It was closed, or more bytes followed its response than belong to it.
                Checkout::Reuse(_) => {}
                Checkout::Wait(rest) => {
                    has_waited = true;
                    sleep(rest).await;
                }
                Checkout::Open => return None,
            }
        }
    }
}

fn duration_from_ms(ms: f64) -> Duration {
    Duration::from_secs_f64(ms.clamp(0.0, MAX_SETTING_MS) / 1000.0)
}

fn pool_limits(tuning: &Tuning, max_idle: Duration) -> PoolLimits {
    PoolLimits {
        min_reuse_delay: tuning.min_connection_reuse_delay,
        max_idle,
        max_idle_per_backend: tuning.max_idle_per_backend,
        max_reuse_waits: tuning.max_reuse_waits,
    }
}
