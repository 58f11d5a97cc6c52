//! Which connection to a backend carries the next attempt: a pooled one, a new one, or one that must rest first.
//!
//! The pool does no I/O and takes the time as an argument; the connections in it are the protocol's own.
//!
//! A backend may send more than belongs to a response, right behind it. On a connection that is used again at
//! once, that would be taken for the next response. So a connection rests after each response, and is checked for
//! stray bytes when the rest is over, right before it is written to. A busy pool keeps enough connections that some
//! have always rested. It opens these only when attempts had to wait for a rest several times within a short
//! window, as a new connection costs the backend work and the request a round trip.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The limits of a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// How long a connection rests after a response.
    pub min_reuse_delay: Duration,
    /// How long an idle connection is kept. Backends close idle connections too, and a request that crosses such a
    /// close is lost, so this is well below their timeout.
    pub max_idle: Duration,
    /// The maximum of idle connections to one backend.
    pub max_idle_per_backend: usize,
    /// The number of waits for a rest within [`WAIT_COUNT_WINDOW`] after which another connection is opened.
    pub max_reuse_waits: u32,
}

/// The window in which waits for a rest are counted.
pub const WAIT_COUNT_WINDOW: Duration = Duration::from_millis(250);

/// What an attempt is to do for a connection.
#[derive(Debug, PartialEq, Eq)]
pub enum Checkout<T> {
    /// Use this connection, which has rested. It must still be checked for stray bytes; if there are any, check
    /// out again.
    Reuse(T),
    /// All idle connections rest; check out again after this time.
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
    /// In order of last use, the latest last.
    idle: VecDeque<IdleConnection<T>>,
    /// Attempts that had to wait for a rest within the present window.
    waits: u32,
    wait_window_start: Instant,
}

impl<T> BackendPool<T> {
    fn new(now: Instant) -> BackendPool<T> {
        BackendPool { idle: VecDeque::new(), waits: 0, wait_window_start: now }
    }

    /// Whether waits that were counted are still within the window.
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

    /// Takes out the most recently used of the connections that have rested. The others can grow old and expire.
    fn take_reusable(&mut self, now: Instant, min_reuse_delay: Duration) -> Option<T> {
        let rested = self.idle.partition_point(|idle| idle.idle_time(now) >= min_reuse_delay);
        let latest = rested.checked_sub(1)?;
        self.idle.remove(latest).map(|idle| idle.connection)
    }
}

/// The idle connections by backend, for backends of key `K` and connections of type `T`.
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

    /// Chooses a connection for an attempt at a backend that now listens at `address`. `can_open` says whether
    /// another connection could be opened without closing one; `has_waited`, whether this attempt has waited
    /// already.
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

    /// Keeps a connection whose response has just ended. Returns the connection that must be closed for it, if any.
    pub fn check_in(&mut self, backend: K, address: SocketAddr, connection: T, now: Instant) -> Option<T> {
        let pool = self.backends.entry(backend).or_insert_with(|| BackendPool::new(now));
        // Keeps the order if `now` is older than at the last call.
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

    /// Drops the connections to a backend that have been idle since `instant` or longer. If one of that age turned
    /// out to be cut off without notice, the others likely are too, though they look open.
    pub fn remove_older_than(&mut self, backend: K, instant: Instant) {
        if let Some(pool) = self.backends.get_mut(&backend) {
            pool.idle.retain(|idle| idle.idle_since > instant);
        }
    }

    /// Drops the connections that have been idle for too long or that `is_alive` denies.
    pub fn expire(&mut self, now: Instant, mut is_alive: impl FnMut(&T) -> bool) {
        let max_idle = self.limits.max_idle;
        self.backends.retain(|_, pool| {
            pool.idle.retain(|idle| idle.idle_time(now) < max_idle && is_alive(&idle.connection));
            !pool.idle.is_empty() || pool.is_in_wait_window(now)
        });
    }

    /// Takes out the connection that has been idle for longest, of all backends.
    pub fn remove_longest_idle(&mut self) -> Option<T> {
        let oldest_of_each = self
            .backends
            .iter()
            .filter_map(|(backend, pool)| Some((pool.idle.front()?.idle_since, *backend)));
        let (_, backend) = oldest_of_each.min()?;
        self.backends.get_mut(&backend)?.idle.pop_front().map(|idle| idle.connection)
    }

    /// The number of idle connections.
    pub fn len(&self) -> usize {
        self.backends.values().map(|pool| pool.idle.len()).sum()
    }

    /// Whether there is no idle connection.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
