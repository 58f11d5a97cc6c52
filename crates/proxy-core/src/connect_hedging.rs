//! Hedged connects: how long a connect to a backend may take before a second one is started. It does no I/O.
//!
//! If the network loses the SYN of a connection, the operating system retransmits it only after a long
//! timeout, while a second connect started in the meantime mostly succeeds at once. The request is written
//! to the connection that is established first, so it is never sent twice; the other connection goes into the
//! pool.
//!
//! Three bounds keep hedging from making an overload worse: the delay is a multiple of the backend's recent
//! connect times, a budget limits hedges to a fraction of all connects, and a backend whose last connect
//! failed is treated as unreachable and gets no hedge until a connect to it succeeds.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

/// Number of recent connect times kept per backend. The median stays typical while less than half of them are
/// late.
const CONNECT_TIMES_PER_BACKEND: usize = 9;
/// Minimum number of connect times from which a delay is derived.
const MIN_CONNECT_TIMES: usize = 3;
/// The hedge delay as a multiple of the median connect time.
const HEDGE_DELAY_FACTOR: u32 = 4;
/// The shortest hedge delay. Shorter delays may come from a brief stall of a machine rather than a lost
/// packet.
pub const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Hedges added to the budget by each connect that is not itself a hedge.
const HEDGES_PER_CONNECTION: f64 = 0.5;
/// The maximum of the hedge budget, and its initial value.
const MAX_HEDGE_BUDGET: f64 = 10.0;

#[derive(Default)]
struct BackendHistory {
    /// Most recent last; at most [`CONNECT_TIMES_PER_BACKEND`].
    connect_times: VecDeque<Duration>,
    /// Whether the last connect, and any hedge of it, failed.
    is_unreachable: bool,
}

impl BackendHistory {
    fn median_connect_time(&self) -> Duration {
        let mut times: Vec<Duration> = self.connect_times.iter().copied().collect();
        let middle = times.len() / 2;
        *times.select_nth_unstable(middle).1
    }
}

/// Recent connect times by backend, and the hedge budget that all backends share.
pub struct ConnectHedging<K> {
    backends: FxHashMap<K, BackendHistory>,
    /// Number of hedges that may be started now.
    hedge_budget: f64,
}

impl<K> Default for ConnectHedging<K> {
    fn default() -> ConnectHedging<K> {
        ConnectHedging { backends: FxHashMap::default(), hedge_budget: MAX_HEDGE_BUDGET }
    }
}

impl<K: Eq + Hash> ConnectHedging<K> {
    /// Called when a connect to a backend is started that is not itself a hedge. Returns the time after which
    /// it may be hedged; `None` if too few connect times of the backend are known, or its last connect
    /// failed.
    pub fn hedge_delay(&mut self, backend: &K) -> Option<Duration> {
        self.hedge_budget = (self.hedge_budget + HEDGES_PER_CONNECTION).min(MAX_HEDGE_BUDGET);
        let history = self.backends.get(backend)?;
        if history.is_unreachable || history.connect_times.len() < MIN_CONNECT_TIMES {
            return None;
        }
        Some((history.median_connect_time() * HEDGE_DELAY_FACTOR).max(MIN_HEDGE_DELAY))
    }

    /// Takes one hedge from the budget; false if the budget is used up.
    pub fn try_hedge(&mut self) -> bool {
        if self.hedge_budget < 1.0 {
            return false;
        }
        self.hedge_budget -= 1.0;
        true
    }

    /// Records that a connection was established after `connect_time`.
    pub fn on_connected(&mut self, backend: K, connect_time: Duration) {
        let history = self.backends.entry(backend).or_default();
        history.is_unreachable = false;
        if history.connect_times.len() == CONNECT_TIMES_PER_BACKEND {
            history.connect_times.pop_front();
        }
        history.connect_times.push_back(connect_time);
    }

    /// Records that a connect failed, together with any hedge of it.
    pub fn on_failed(&mut self, backend: &K) {
        if let Some(history) = self.backends.get_mut(backend) {
            history.is_unreachable = true;
        }
    }

    /// Drops the connect times of a backend that was removed or replaced.
    pub fn remove(&mut self, backend: &K) {
        self.backends.remove(backend);
    }
}
