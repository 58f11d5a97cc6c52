//! A simulated instance, with its process, its clocks and its disk.

use super::storage::{Disk, MemoryStorage};
use super::{MAX_RATE_ERROR_PPM, UNIX_START_MS};
use hillstall_consensus::node::Node;
use hillstall_consensus::storage::PersistentState;
use hillstall_lease::{FencingToken, Instance, LeaseName, Millis};
use rand_xoshiro::rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;

/// The clocks of an instance, whose rate differs from that of other instances.
pub struct Clock {
    start: Millis,
    rate_ppm: u64,
    /// The error of the system clock, in milliseconds; its steps change it.
    pub system_offset: i64,
}

impl Clock {
    /// The monotonic time of the instance.
    pub fn monotonic(&self, now: Millis) -> Millis {
        self.start + now * self.rate_ppm / 1_000_000
    }

    /// The system clock of the instance.
    pub fn unix(&self, now: Millis) -> Millis {
        ((UNIX_START_MS + now) as i64 + self.system_offset) as Millis
    }
}

pub struct SimInstance {
    rank: usize,
    pub incarnation: u64,
    /// The node of the running process; `None` while no process runs.
    pub node: Option<Node<MemoryStorage>>,
    pub clock: Clock,
    pub disk: Disk,
    /// An earlier copy of the disk's contents, from which a lost disk may be restored.
    pub backup: Option<PersistentState>,
    /// The process is paused until this time.
    pub paused_until: Millis,
    /// The highest token of an applied command since the start of the process, by lease.
    pub highest_tokens: BTreeMap<LeaseName, FencingToken>,
    /// The slot of the replica that a follower is connected to, or tries to connect to.
    pub follows: Option<usize>,
}

impl SimInstance {
    pub fn new(rank: usize, random: &mut Xoshiro256PlusPlus) -> SimInstance {
        let start = random.next_u64() % 1_000_000_000;
        let rate_ppm = 1_000_000 - MAX_RATE_ERROR_PPM + random.next_u64() % (2 * MAX_RATE_ERROR_PPM);
        SimInstance {
            rank,
            incarnation: 0,
            node: None,
            clock: Clock { start, rate_ppm, system_offset: 0 },
            disk: Disk::default(),
            backup: None,
            paused_until: 0,
            highest_tokens: BTreeMap::new(),
            follows: None,
        }
    }

    /// The identity of the current process.
    pub fn id(&self) -> Instance {
        Instance { rank: self.rank as u32, incarnation: self.incarnation }
    }

    pub fn is_paused(&self, now: Millis) -> bool {
        self.paused_until > now
    }

    /// The node of the process, if it runs and isn't paused.
    pub fn active_node(&mut self, now: Millis) -> Option<&mut Node<MemoryStorage>> {
        let is_paused = self.is_paused(now);
        self.node.as_mut().filter(|_| !is_paused)
    }

    /// Whether the process of this incarnation still runs.
    pub fn runs(&self, incarnation: u64) -> bool {
        self.incarnation == incarnation && self.node.is_some()
    }
}
