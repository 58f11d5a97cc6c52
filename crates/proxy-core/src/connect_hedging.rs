//! How long a connection attempt to a backend may take before a second one is started beside it. It does no I/O.
//!
//! A network now and then loses the first packet of a connection, and the operating system retries only after a long
//! while; a second connection started in the meantime mostly succeeds at once. Nothing is sent on either before it
//! is established, so no request is ever sent twice; the connection that comes late is pooled for the next request.
//!
//! Three bounds keep hedging from making an overload worse. The delay is a multiple of the backend's recent connect
//! times. Only a fraction of all connections earns a second one. And a backend to which the last connection failed
//! is taken to be unreachable rather than late, until one succeeds.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

/// Recent connect times kept per backend. Their median counts, so less than half of them may be late.
const CONNECT_TIMES_PER_BACKEND: usize = 9;
/// The fewest connect times from which a delay is derived.
const MIN_CONNECT_TIMES: usize = 3;
/// The delay as a multiple of the median connect time.
const HEDGE_DELAY_FACTOR: u32 = 4;
/// The shortest delay, as a short stall of a machine is no packet loss.
pub const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Hedges earned by each first connection.
const HEDGES_PER_CONNECTION: f64 = 0.5;
/// The most hedges that can be saved up.
const MAX_HEDGE_BUDGET: f64 = 10.0;

#[derive(Default)]
struct BackendHistory {
    /// The latest last.
    connect_times: VecDeque<Duration>,
    /// Whether the last connection failed.
    is_unreachable: bool,
}

impl BackendHistory {
    fn median_connect_time(&self) -> Duration {
        let mut times: Vec<Duration> = self.connect_times.iter().copied().collect();
        let middle = times.len() / 2;
        *times.select_nth_unstable(middle).1
    }
}

/// Recent connect times by backend, and the budget of second connections.
pub struct ConnectHedging<K> {
    backends: FxHashMap<K, BackendHistory>,
    /// Second connections that may be started.
    budget: f64,
}

impl<K> Default for ConnectHedging<K> {
    fn default() -> ConnectHedging<K> {
        ConnectHedging { backends: FxHashMap::default(), budget: MAX_HEDGE_BUDGET }
    }
}

impl<K: Eq + Hash> ConnectHedging<K> {
    /// Called when a first connection to a backend is started. Returns after what time a second one is of use, or
    /// `None` where too little is known of the backend or it is unreachable.
    pub fn hedge_delay(&mut self, backend: &K) -> Option<Duration> {
        self.budget = (self.budget + HEDGES_PER_CONNECTION).min(MAX_HEDGE_BUDGET);
        let history = self.backends.get(backend)?;
        if history.is_unreachable || history.connect_times.len() < MIN_CONNECT_TIMES {
            return None;
        }
        Some((history.median_connect_time() * HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Whether a second connection may be started now. If so, it is taken from the budget.
    pub fn try_hedge(&mut self) -> bool {
        if self.budget < 1.0 {
            return false;
        }
        self.budget -= 1.0;
        true
    }

    /// Records that a connection was established.
    pub fn on_connected(&mut self, backend: K, connect_time: Duration) {
        let history = self.backends.entry(backend).or_default();
        history.is_unreachable = false;
        if history.connect_times.len() == CONNECT_TIMES_PER_BACKEND {
            history.connect_times.pop_front();
        }
        history.connect_times.push_back(connect_time);
    }

    /// Records that a connection failed, and any second one beside it as well.
    pub fn on_failed(&mut self, backend: &K) {
        if let Some(history) = self.backends.get_mut(backend) {
            history.is_unreachable = true;
        }
    }

    /// Forgets a backend that has left or was replaced.
    pub fn remove(&mut self, backend: &K) {
        self.backends.remove(backend);
    }
}
