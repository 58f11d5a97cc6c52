//! Which connection to a server carries the next attempt: one that is kept, a new one, or one that has to rest a
//! little first. It does no I/O and takes the time as an argument; what it keeps is the protocol's own.
//!
//! A server may send more than belongs to an answer, right behind it. On a connection that is used again at
//! once, that would be taken for the next answer. So a connection rests after each answer, and is looked at
//! when the rest is over, right before it is written to. A busy pool keeps enough connections that some have
//! always rested; it opens those only when calls had to wait for a rest several times in a short while, as a
//! new connection costs the server work and the call a round trip.

use rustc_hash::FxHashMap;
use std::collections::VecDeque;
use std::hash::Hash;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// What bounds a pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PoolLimits {
    /// How long a connection rests after an answer.
    pub min_rest: Duration,
    /// How long a connection is kept that carries nothing. Servers close them too, and a call that crosses such
    /// a close is lost, so this is well below their time.
    pub max_idle: Duration,
    /// The most that are kept for one server while they carry nothing.
    pub max_idle_per_backend: usize,
    /// Waits for a rest within [`WAIT_COUNT_WINDOW`] that are borne before another connection is opened.
    pub max_waits: u32,
}

/// The time over which waits for a rest are counted.
pub const WAIT_COUNT_WINDOW: Duration = Duration::from_millis(250);

/// What is to be done for an attempt.
#[derive(Debug, PartialEq, Eq)]
pub enum Checkout<T> {
    /// This connection has rested. It must still be looked at: if it is not quiet, ask again.
    Reuse(T),
    /// All that there are rest; ask again after this time.
    Wait(Duration),
    /// Open another.
    Open,
}

struct Idle<T> {
    kept: T,
    address: SocketAddr,
    since: Instant,
}

struct Server<T> {
    /// The one used last stands last.
    idle: VecDeque<Idle<T>>,
    pinches: u32,
    pinched_at: Instant,
}

/// The connections that carry nothing at the moment, by server.
pub struct Pool<K, T> {
    limits: PoolLimits,
    servers: FxHashMap<K, Server<T>>,
}

impl<K: Copy + Eq + Hash + Ord, T> Pool<K, T> {
    /// An empty pool.
    pub fn new(limits: PoolLimits) -> Pool<K, T> {
        Pool { limits, servers: FxHashMap::default() }
    }

    /// Other limits from now on.
    pub fn limit(&mut self, limits: PoolLimits) {
        self.limits = limits;
    }

    /// Chooses for an attempt at a server, which listens at `address` now. `room` tells whether another
    /// connection could be opened without closing one; `waited`, whether this attempt has waited already.
    pub fn check_out(
        &mut self,
        server: K,
        address: SocketAddr,
        now: Instant,
        room: bool,
        waited: bool,
    ) -> Checkout<T> {
        let Some(of) = self.servers.get_mut(&server) else { return Checkout::Open };
        let (rest, idle_most) = (self.limits.min_rest, self.limits.max_idle);
        let age = |idle: &Idle<T>| now.saturating_duration_since(idle.since);
        of.idle.retain(|idle| idle.address == address && age(idle) < idle_most);
        // Of those that have rested, the one used last: the others can grow old, and be let go of.
        let rested = of.idle.partition_point(|idle| age(idle) >= rest);
        if let Some(last) = rested.checked_sub(1) {
            if let Some(idle) = of.idle.remove(last) {
                return Checkout::Reuse(idle.kept);
            }
        }
        let Some(next) = of.idle.front() else { return Checkout::Open };
        let left = rest.saturating_sub(age(next));
        if !waited {
            if now.saturating_duration_since(of.pinched_at) >= WAIT_COUNT_WINDOW {
                of.pinches = 0;
                of.pinched_at = now;
            }
            of.pinches = of.pinches.saturating_add(1);
        }
        let grows = of.pinches > self.limits.max_waits && of.idle.len() < self.limits.max_idle_per_backend;
        if grows && room {
            return Checkout::Open;
        }
        Checkout::Wait(left)
    }

    /// Keeps a connection whose answer has just ended. Gives what has to be let go of for it, if anything.
    pub fn check_in(&mut self, server: K, address: SocketAddr, kept: T, now: Instant) -> Option<T> {
        let of = self.servers.entry(server).or_insert_with(|| Server {
            idle: VecDeque::new(),
            pinches: 0,
            pinched_at: now,
        });
        // Guards the order against a caller whose clock reading is older than the last.
        let since = of.idle.back().map_or(now, |last| last.since.max(now));
        of.idle.push_back(Idle { kept, address, since });
        let over = of.idle.len() > self.limits.max_idle_per_backend;
        over.then(|| of.idle.pop_front()).flatten().map(|idle| idle.kept)
    }

    /// Lets go of all connections to a server.
    pub fn remove(&mut self, server: K) {
        self.servers.remove(&server);
    }

    /// Lets go of the connections to a server that have carried nothing since then: one that is silent there
    /// was likely cut off, and its other connections look alive for ever.
    pub fn remove_older_than(&mut self, server: K, then: Instant) {
        if let Some(of) = self.servers.get_mut(&server) {
            of.idle.retain(|idle| idle.since > then);
        }
    }

    /// Lets go of what is too old, or what `is_alive` says is dead.
    pub fn expire(&mut self, now: Instant, mut is_alive: impl FnMut(&T) -> bool) {
        let idle_most = self.limits.max_idle;
        self.servers.retain(|_, of| {
            of.idle
                .retain(|idle| now.saturating_duration_since(idle.since) < idle_most && is_alive(&idle.kept));
            !of.idle.is_empty() || now.saturating_duration_since(of.pinched_at) < WAIT_COUNT_WINDOW
        });
    }

    /// Takes out the connection that has carried nothing for longest.
    pub fn shed(&mut self) -> Option<T> {
        let oldest = self.servers.iter().filter_map(|(server, of)| Some((of.idle.front()?.since, *server)));
        let (_, server) = oldest.min()?;
        self.servers.get_mut(&server)?.idle.pop_front().map(|idle| idle.kept)
    }

    /// How many are kept in all.
    pub fn len(&self) -> usize {
        self.servers.values().map(|of| of.idle.len()).sum()
    }

    /// Whether none is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
