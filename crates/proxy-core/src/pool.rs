//! The pool of idle connections to backends. For each attempt it returns a pooled connection, asks for a new
//! one, or makes the attempt wait until a pooled one may be reused.
//!
//! The pool does no I/O and takes the time as an argument. The connection type is the protocol's.
//!
//! A faulty backend may send extra bytes right after a response. On a connection that is reused at once, they
//! would be read as the next response. A connection is therefore reused only after a delay, and is checked
//! for stray bytes right before the next request is written. A busy pool needs enough connections that one is
//! always past its delay. It grows only after several attempts had to wait within a short window, because a
//! new connection costs the backend work and the request a round trip.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The limits of a [`Pool`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// The shortest time between a response and the next request on the same connection.
    pub min_reuse_delay: Duration,
    /// How long an idle connection is kept. It must be well below the idle timeout of the backends: a
    /// request that is sent while the backend closes the connection is lost.
    pub max_idle: Duration,
    /// The maximum number of idle connections to one backend.
    pub max_idle_per_backend: usize,
    /// Number of waits for the reuse delay, within [`WAIT_COUNT_WINDOW`], above which another connection is
    /// opened.
    pub max_reuse_waits: u32,
}

/// The window in which waits for the reuse delay are counted.
pub const WAIT_COUNT_WINDOW: Duration = Duration::from_millis(250);

/// How an attempt gets its connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Checkout<T> {
    /// Use this connection, whose reuse delay has passed. The caller checks it for stray bytes, and if there
    /// are any drops it and calls [`Pool::check_out`] again.
    Reuse(T),
    /// No idle connection may be reused yet; call [`Pool::check_out`] again after this time.
    Wait(Duration),
    /// Open a new connection.
    Open,
}

struct IdleConnection<T> {
    connection: T,
    address: SocketAddr,
    idle_since: Instant,
}

impl<T> IdleConnection<T> {
    fn idle_time(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.idle_since)
    }
}

/// The idle connections to one backend.
struct BackendPool<T> {
    /// In order of last use, most recent last.
    idle: VecDeque<IdleConnection<T>>,
    /// Number of attempts that had to wait for the reuse delay in the current window.
    waits: u32,
    wait_window_start: Instant,
}

impl<T> BackendPool<T> {
    fn new(now: Instant) -> BackendPool<T> {
        BackendPool { idle: VecDeque::new(), waits: 0, wait_window_start: now }
    }

    /// Whether the window in which `waits` was counted is still current.
    fn is_in_wait_window(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.wait_window_start) < WAIT_COUNT_WINDOW
    }

    fn count_wait(&mut self, now: Instant) {
        if !self.is_in_wait_window(now) {
            self.waits = 0;
            self.wait_window_start = now;
        }
        self.waits = self.waits.saturating_add(1);
    }

    /// Removes and returns the most recently used connection past its reuse delay, so that surplus
    /// connections expire.
    fn take_reusable(&mut self, now: Instant, min_reuse_delay: Duration) -> Option<T> {
        let reusable_count = self.idle.partition_point(|idle| idle.idle_time(now) >= min_reuse_delay);
        let last_reusable = reusable_count.checked_sub(1)?;
        self.idle.remove(last_reusable).map(|idle| idle.connection)
    }
}

/// The idle connections by backend. `K` is the backend's key, `T` the connection.
pub struct Pool<K, T> {
    limits: PoolLimits,
    backends: FxHashMap<K, BackendPool<T>>,
}

impl<K: Copy + Eq + Hash + Ord, T> Pool<K, T> {
    /// An empty pool.
    pub fn new(limits: PoolLimits) -> Pool<K, T> {
        Pool { limits, backends: FxHashMap::default() }
    }

    /// Replaces the limits.
    pub fn set_limits(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Selects a connection for an attempt at `backend`, which listens at `address`. `can_open` says whether
    /// a new connection fits the limits without closing another. `has_waited` says that this attempt has
    /// already got [`Checkout::Wait`], so that its wait is not counted twice.
    pub fn check_out(
        &mut self,
        backend: K,
        address: SocketAddr,
        now: Instant,
        can_open: bool,
        has_waited: bool,
    ) -> Checkout<T> {
        let limits = self.limits;
        let Some(pool) = self.backends.get_mut(&backend) else { return Checkout::Open };
        pool.idle.retain(|idle| idle.address == address && idle.idle_time(now) < limits.max_idle);
        if let Some(connection) = pool.take_reusable(now, limits.min_reuse_delay) {
            return Checkout::Reuse(connection);
        }
        let Some(next) = pool.idle.front() else { return Checkout::Open };
        let remaining_delay = limits.min_reuse_delay.saturating_sub(next.idle_time(now));
        if !has_waited {
            pool.count_wait(now);
        }
        let should_grow =
            pool.waits > limits.max_reuse_waits && pool.idle.len() < limits.max_idle_per_backend;
        if should_grow && can_open {
            return Checkout::Open;
        }
        Checkout::Wait(remaining_delay)
    }

    /// Adds a connection whose response has just ended. If the backend then has more than
    /// `max_idle_per_backend`, the one that has been idle longest is removed and returned for the caller to
    /// close.
    pub fn check_in(&mut self, backend: K, address: SocketAddr, connection: T, now: Instant) -> Option<T> {
        let pool = self.backends.entry(backend).or_insert_with(|| BackendPool::new(now));
        // Keeps the queue ordered by time even if `now` is before that of the last call.
        let idle_since = pool.idle.back().map_or(now, |last| last.idle_since.max(now));
        pool.idle.push_back(IdleConnection { connection, address, idle_since });
        if pool.idle.len() <= self.limits.max_idle_per_backend {
            return None;
        }
        pool.idle.pop_front().map(|idle| idle.connection)
    }

    /// Drops all idle connections to a backend.
    pub fn remove(&mut self, backend: K) {
        self.backends.remove(&backend);
    }

    /// Drops the connections to a backend that became idle at `instant` or before. If one of them timed out
    /// because the backend's machine is unreachable, the others probably are dead too, although their sockets
    /// look open.
    pub fn remove_older_than(&mut self, backend: K, instant: Instant) {
        if let Some(pool) = self.backends.get_mut(&backend) {
            pool.idle.retain(|idle| idle.idle_since > instant);
        }
    }

    /// Drops the connections that have been idle for `max_idle`, or for which `is_alive` returns false.
    pub fn expire(&mut self, now: Instant, mut is_alive: impl FnMut(&T) -> bool) {
        let max_idle = self.limits.max_idle;
        self.backends.retain(|_, pool| {
            pool.idle.retain(|idle| idle.idle_time(now) < max_idle && is_alive(&idle.connection));
            !pool.idle.is_empty() || pool.is_in_wait_window(now)
        });
    }

    /// Removes and returns the connection that has been idle longest, over all backends.
    pub fn remove_longest_idle(&mut self) -> Option<T> {
        let oldest_of_each = self
            .backends
            .iter()
            .filter_map(|(backend, pool)| Some((pool.idle.front()?.idle_since, *backend)));
        let (_, backend) = oldest_of_each.min()?;
        self.backends.get_mut(&backend)?.idle.pop_front().map(|idle| idle.connection)
    }

    /// The number of idle connections to all backends.
    pub fn len(&self) -> usize {
        self.backends.values().map(|pool| pool.idle.len()).sum()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
