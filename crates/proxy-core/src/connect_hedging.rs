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
const LATE_LEAST: Duration = Duration::from_millis(10);
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
        Some((median * LATE).max(LATE_LEAST))
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

#[cfg(test)]
mod tests {
    use super::*;

    const MS: Duration = Duration::from_millis(1);

    fn known(took: &[u32]) -> ConnectHedging<u32> {
        let mut connects = ConnectHedging::default();
        took.iter().for_each(|ms| connects.on_connected(1, MS * *ms));
        connects
    }

    #[test]
    fn late_connections_do_not_move_the_wait() {
        let mut connects = known(&[5, 300, 5, 5, 400, 5, 300]);
        assert_eq!(connects.hedge_delay(&1), Some(MS * 20));
        assert_eq!(known(&[1, 1, 1]).hedge_delay(&1), Some(LATE_LEAST));
    }

    #[test]
    fn an_unknown_server_and_a_gone_one_get_no_second() {
        let mut connects = known(&[5, 5]);
        assert_eq!(connects.hedge_delay(&1), None);
        connects.on_connected(1, MS * 5);
        assert!(connects.hedge_delay(&1).is_some());
        connects.on_failed(&1);
        assert_eq!(connects.hedge_delay(&1), None);
        connects.on_connected(1, MS * 5);
        assert!(connects.hedge_delay(&1).is_some());
        connects.remove(&1);
        assert_eq!(connects.hedge_delay(&1), None);
    }

    #[test]
    fn all_late_connections_earn_half_as_many_seconds() {
        let mut connects = known(&[5, 5, 5]);
        let spent = (0..1000).filter(|_| connects.hedge_delay(&1).is_some() && connects.try_hedge()).count();
        assert!((500..=510).contains(&spent), "{spent}");
    }
}
