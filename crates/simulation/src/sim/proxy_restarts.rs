//! Proxies before the first tier that end and start again.

use super::queue::{End, Happening};
use super::setup::count_of;
use super::{Caller, Proxy, World};
use rand_xoshiro::rand_core::RngCore;

/// How long a proxy takes to start.
const START_MS: f64 = 100.0;

impl World {
    /// This part of the proxies before the first tier, from the first on, and at least one.
    pub(super) fn fronts(&self, part: f64) -> Vec<usize> {
        let all = &self.before[0];
        all[..count_of(part, all.len())].to_vec()
    }

    /// Its process is gone at once: its connections are reset, and new ones refused.
    pub(super) fn kill_front(&mut self, proxy: usize) {
        self.proxies[proxy].alive = false;
        self.proxies[proxy].gone_at = self.now;
        let open: Vec<usize> = (0..self.asks.len())
            .filter(|a| self.asks[*a].proxy == proxy && !self.asks[*a].answered && !self.asks[*a].gone)
            .collect();
        for ask in open {
            self.asks[ask].gone = true;
            if let Some(attempt) = self.asks[ask].out {
                self.queue.put(self.now, Happening::Cancel { attempt });
            }
            if let Caller::Client { call, no } = self.asks[ask].caller {
                self.broken(call, no);
            }
        }
    }

    /// A try that ends at once, as its connection broke or was refused.
    pub(super) fn broken(&mut self, call: usize, no: u32) {
        let at = self.now + self.figures.client;
        self.queue.put(at, Happening::Final { call, no, end: End::Failed, come_back: 0.0 });
    }

    /// A process with nothing learned, in place of an older one.
    fn fresh(&mut self, of: usize) -> Proxy {
        let old = &self.proxies[of];
        let (tier, rank, zone, heat) = (old.tier, old.rank, old.zone, old.heat);
        let settings = self.figures.settings(tier, rank, self.before[tier].len(), zone);
        let policy = self.named.start(settings, self.seeds.next_u64());
        let gone_at = f64::MIN;
        Proxy { policy, tier, rank, zone, heat, alive: true, leaves: false, silent: false, gone_at }
    }

    pub(super) fn start_front(&mut self, proxy: usize) {
        self.proxies[proxy] = self.fresh(proxy);
        self.tell_all(proxy);
    }

    /// It takes nothing new and ends what it has, while a fresh one starts in its place.
    pub(super) fn roll(&mut self, proxy: usize) {
        if self.proxies[proxy].leaves {
            // Second step: the new one is up.
            let new = self.fresh(proxy);
            let number = self.proxies.len();
            self.proxies.push(new);
            if let Some(place) = self.before[0].iter_mut().find(|p| **p == proxy) {
                *place = number;
            }
            return self.tell_all(number);
        }
        if self.proxies[proxy].alive {
            self.proxies[proxy].leaves = true;
            self.queue.put(self.now + START_MS, Happening::Roll { proxy });
        }
    }
}
