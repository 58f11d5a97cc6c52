//! How long a connection to a server is waited for before another is tried beside it. It does no I/O.
//!
//! A network loses the first packet of a connection now and then, and the system asks again only after a long while;
//! a second connection that is asked for in the meantime mostly comes up at once. Nothing is sent on either before it
//! is up, so no call is ever out twice; and the one that comes late is kept for the next call.
//!
//! Three bounds keep it from making a bad hour worse. It waits for several times what connections to that server took
//! of late. Only a part of all connections earns a second one. And a server to which none came up last is not late
//! but gone, until one comes up.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::time::Duration;

/// Connections by which a server is known. Their median counts, so less than half of them may be late.
const KNOWN: usize = 9;
/// The fewest of these.
const KNOWN_LEAST: usize = 3;
/// Times the median after which a connection is late.
const LATE: u32 = 4;
/// The least of that, as a hiccup of a machine is no loss.
pub const MIN_HEDGE_DELAY: Duration = Duration::from_millis(10);
/// Second connections earned by each first one, and the most that can be saved up.
const EARNED: f64 = 0.5;
const SAVED: f64 = 10.0;

#[derive(Default)]
struct Server {
    took: VecDeque<Duration>,
    gone: bool,
}

/// What is known of how connections come up, by server.
pub struct ConnectHedging<K> {
    servers: FxHashMap<K, Server>,
    saved: f64,
}

impl<K> Default for ConnectHedging<K> {
    fn default() -> ConnectHedging<K> {
        ConnectHedging { servers: FxHashMap::default(), saved: SAVED }
    }
}

impl<K: Eq + Hash> ConnectHedging<K> {
    /// A first connection to a server is asked for: how long to wait until a second one is of use, or `None` where
    /// too little is known of it or it is gone.
    pub fn hedge_delay(&mut self, server: &K) -> Option<Duration> {
        self.saved = (self.saved + EARNED).min(SAVED);
        let of = self.servers.get(server).filter(|of| !of.gone && of.took.len() >= KNOWN_LEAST)?;
        let mut took: Vec<Duration> = of.took.iter().copied().collect();
        let middle = took.len() / 2;
        let median = *took.select_nth_unstable(middle).1;
        Some((median * LATE).max(MIN_HEDGE_DELAY))
    }

    /// Whether a second connection may be asked for now; it is counted as asked for.
    pub fn try_hedge(&mut self) -> bool {
        let may = self.saved >= 1.0;
        self.saved -= f64::from(u8::from(may));
        may
    }

    /// A connection came up.
    pub fn on_connected(&mut self, server: K, took: Duration) {
        let of = self.servers.entry(server).or_default();
        of.gone = false;
        if of.took.len() == KNOWN {
            of.took.pop_front();
        }
        of.took.push_back(took);
    }

    /// A connection did not come up, nor did one beside it.
    pub fn on_failed(&mut self, server: &K) {
        if let Some(of) = self.servers.get_mut(server) {
            of.gone = true;
        }
    }

    /// The server has left, or another stands in its place.
    pub fn remove(&mut self, server: &K) {
        self.servers.remove(server);
    }
}
