//! The clients: an open loop. A call is to start when the arrival process says so, whatever became of the others.

use super::queue::{End, Happening};
use super::tally::Ended;
use super::{Call, Caller, World};
use crate::chance::part;
use crate::model::work;
use hillstall_module::api::Event;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

/// Which of some parts a number from 0 to 1 falls on.
fn drawn(number: f64, parts: impl Iterator<Item = f64> + Clone) -> usize {
    let mut left = number * parts.clone().sum::<f64>();
    let mut last = 0;
    for (i, part) in parts.enumerate() {
        last = i;
        left -= part;
        if left < 0.0 {
            break;
        }
    }
    last
}

impl World {
    /// A Poisson process whose rate changes: drawn at the highest rate, and thinned.
    pub(super) fn arrive(&mut self) {
        let most = self.most_rate;
        if most <= 0.0 || self.now > self.figures.length {
            return;
        }
        if self.now > 0.0 {
            let turn = self.now / self.figures.period * std::f64::consts::TAU;
            let swing = 1.0 + self.figures.swing * turn.sin();
            let rate = self.figures.rate * swing * self.figures.factor(self.now) * self.burst / 1e3;
            // Drawn in any case, so that the stream is the same for all policies and bursts.
            let [keep, class, zone, tenant] = [(); 4].map(|()| part(&mut self.arrivals));
            // Shapes take different counts of draws, so each call's work has a stream of its own.
            let size = Xoshiro256PlusPlus::seed_from_u64(self.arrivals.next_u64());
            if keep * most < rate {
                self.call(class, size, zone, tenant);
            }
        }
        let gap = -(1.0 - part(&mut self.arrivals)).ln() / most;
        self.queue.put(self.now + gap, Happening::Arrival);
    }

    fn call(&mut self, class: f64, mut size: Xoshiro256PlusPlus, zone: f64, tenant: f64) {
        let class = drawn(class, self.figures.classes.iter().map(|c| c.share));
        let tenant = drawn(tenant, self.figures.tenants.iter().map(|t| t.traffic));
        let of = &self.figures.classes[class];
        let work = work::draw(of.shape, of.work, of.cv, &mut size);
        let worth = of.worth * work / of.work.max(1e-9);
        self.tally.asked(self.now, tenant, worth);
        self.calls.push(Call {
            class,
            tenant,
            work,
            worth,
            first_at: self.now,
            deadline_at: self.now + of.deadline,
            zone: drawn(zone, self.figures.zone_share.iter().copied()),
            no: 0,
            ask: None,
            closed: false,
        });
        self.make_try(self.calls.len() - 1, 0.0);
    }

    /// A client sets out on a try after a wait. Its patience counts from when it sets out.
    fn make_try(&mut self, call: usize, wait: f64) {
        let of = &self.calls[call];
        let (no, at) = (of.no, self.now + wait);
        let over = (at + self.patience(of.class)).min(of.deadline_at);
        self.tally.tried(at);
        self.queue.put(at + self.figures.client, Happening::Try { call, no });
        self.queue.put(over, Happening::TryOver { call, no });
    }

    /// How long a client of a class waits for one try.
    fn patience(&self, class: usize) -> f64 {
        self.figures.try_part * self.figures.classes[class].deadline
    }

    /// A try comes to a proxy of its hall, or of another where that has none.
    pub(super) fn try_at_proxy(&mut self, call: usize, no: u32) {
        let of = &self.calls[call];
        if of.closed || of.no != no {
            return;
        }
        let (class, tenant, work) = (of.class, of.tenant, of.work);
        let (zone, deadline) = (of.zone, of.deadline_at);
        // The front layer sends past a proxy that is gone only once it has noticed.
        let alive = |p: &&usize| {
            let proxy = &self.proxies[**p];
            proxy.alive || self.now - proxy.gone_at < self.figures.front_notice
        };
        let near: Vec<usize> = (self.before[0].iter().filter(alive))
            .filter(|p| self.proxies[**p].zone == zone)
            .copied()
            .collect();
        let able =
            if near.is_empty() { self.before[0].iter().filter(alive).copied().collect() } else { near };
        if able.is_empty() {
            return;
        }
        let heat = able.iter().map(|p| self.figures.heat.get(*p).copied().unwrap_or(1.0));
        let proxy = able[drawn(part(&mut self.network), heat)];
        if !self.proxies[proxy].alive {
            return;
        }
        self.tally.came_to(proxy);
        let patience = self.patience(class);
        // What is left when the answer must set out.
        let ttl = patience.min(deadline - self.now + self.figures.client) - 2.0 * self.figures.client;
        self.calls[call].ask = Some(self.asks.len());
        self.ask(proxy, Caller::Client { call, no }, (class, tenant), work, ttl.max(0.0));
    }

    /// The client has waited long enough for this try.
    pub(super) fn try_over(&mut self, call: usize, no: u32) {
        if self.calls[call].closed || self.calls[call].no != no {
            return;
        }
        if let Some(ask) = self.calls[call].ask {
            self.leave(ask);
        }
        self.next_try(call, Ended::Failed, 0.0);
    }

    /// Whoever asked has gone: nothing more is owed.
    pub(super) fn leave(&mut self, ask: usize) {
        let of = &mut self.asks[ask];
        if of.answered || of.gone {
            return;
        }
        of.gone = true;
        let proxy = of.proxy;
        if self.proxies[proxy].alive {
            self.tell(proxy, Event::ClientGone { request: ask as u64 });
        }
    }

    pub(super) fn final_at_client(&mut self, call: usize, no: u32, end: End, come_back: f64) {
        if self.calls[call].closed || self.calls[call].no != no {
            return;
        }
        match end {
            End::Served => {
                let of = &mut self.calls[call];
                of.closed = true;
                let latency_ms = self.now - of.first_at;
                let (first_at, tenant, worth) = (of.first_at, of.tenant, of.worth);
                let in_aim = latency_ms <= self.figures.classes[of.class].aim;
                self.tally.ended(first_at, (tenant, worth), Ended::Answered { latency_ms, in_aim });
            }
            End::Refused => self.next_try(call, Ended::Refused, come_back),
            End::Failed => self.next_try(call, Ended::Failed, 0.0),
        }
    }

    fn next_try(&mut self, call: usize, ended: Ended, come_back: f64) {
        let follows = come_back > 0.0 && part(&mut self.network) < self.figures.honour;
        let wait = if follows { come_back.max(self.figures.wait) } else { self.figures.wait };
        let of = &mut self.calls[call];
        of.no += 1;
        of.ask = None;
        if of.no > self.figures.retries || self.now + wait >= of.deadline_at {
            of.closed = true;
            let first_at = of.first_at;
            return self.tally.ended(first_at, (0, 0.0), ended);
        }
        self.make_try(call, wait);
    }
}
