//! The clients: an open loop. A call is to start when the arrival process says so, whatever became of the others.

use super::accounting::RequestOutcome;
use super::arrivals::{drawn, Arrival};
use super::link_faults::Way;
use super::queue::{End, Happening};
use super::{Call, Caller, World};
use crate::random::part;
use hillstall_decision::Event;

impl World {
    /// The next call sets out, and the one after it is put down.
    pub(super) fn arrive(&mut self) {
        if let Some(call) = self.coming.take() {
            self.call(call);
        }
        self.coming = self.arrivals.next();
        if let Some(next) = self.coming {
            self.queue.put(next.at, Happening::Arrival);
        }
    }

    fn call(&mut self, arrival: Arrival) {
        let Arrival { class, tenant, zone, work, worth, .. } = arrival;
        self.tally.asked(self.now, tenant, worth);
        self.calls.push(Call {
            class,
            tenant,
            work,
            worth,
            first_at: self.now,
            deadline_at: self.now + self.figures.classes[class].deadline,
            zone,
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
            !proxy.leaves && (proxy.alive || self.now - proxy.gone_at < self.figures.front_notice)
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
        let heat = able.iter().map(|p| self.proxies[*p].heat);
        let proxy = able[drawn(part(&mut self.network), heat)];
        if !self.proxies[proxy].alive {
            // One that is gone with its machine says nothing, not even that.
            if !self.proxies[proxy].silent {
                self.broken(call, no);
            }
            return;
        }
        match self.way_in(proxy) {
            Way::Open(_) => {}
            Way::Held(_) => return,
            Way::Refused | Way::Broken => return self.broken(call, no),
        }
        self.tally.came_to(proxy);
        self.account.came(class);
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
        self.next_try(call, RequestOutcome::Failed, 0.0);
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
                self.tally.ended(first_at, (tenant, worth), RequestOutcome::Answered { latency_ms, in_aim });
            }
            End::Refused => self.next_try(call, RequestOutcome::Refused, come_back),
            End::Failed => self.next_try(call, RequestOutcome::Failed, 0.0),
        }
    }

    fn next_try(&mut self, call: usize, ended: RequestOutcome, come_back: f64) {
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
