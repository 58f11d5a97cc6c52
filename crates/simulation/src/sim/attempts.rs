//! Requests at proxies, their attempts, and the machines that these reach.

use super::link_faults::Way;
use super::queue::{End, Happening};
use super::setup::CONNECT_TIMEOUT;
use super::{Ask, Attempt, Caller, World};
use crate::model::machine::Admission;
use crate::model::work::{self, Shape};
use crate::random::part;
use hillstall_decision::{BackendId, Event, LoadReport, Outcome};

impl World {
    fn way(&self, proxy: usize, host: usize) -> f64 {
        match self.proxies[proxy].zone == self.hosts[host].zone {
            true => self.figures.same_zone,
            false => self.figures.cross_zone,
        }
    }

    /// A request comes to a proxy.
    pub(super) fn ask(
        &mut self,
        proxy: usize,
        caller: Caller,
        (class, tenant): (usize, usize),
        work: f64,
        ttl: f64,
    ) {
        let id = self.asks.len();
        // Clients mark what they try again, as the settings say.
        let repeat = matches!(caller, Caller::Client { no, .. } if no > 0);
        self.asks.push(Ask {
            proxy,
            caller,
            class,
            tenant,
            work,
            give_up_at: self.now + ttl,
            attempts: 0,
            out: None,
            answered: false,
            gone: false,
        });
        if self.proxies[proxy].policy.sees() {
            let truth: Vec<(BackendId, f64)> =
                self.tiers[self.proxies[proxy].tier].iter().map(|h| (*h as u32, self.load(*h))).collect();
            self.proxies[proxy].policy.show(&truth);
        }
        let event = Event::Request {
            id: id as u64,
            key: None,
            class: class as u8,
            tenant: tenant as u16,
            expected_work_ms: None,
            is_retry: repeat,
            is_write: false,
            timeout_ms: ttl,
        };
        self.tell(proxy, event);
    }

    fn load(&self, host: usize) -> f64 {
        let h = &self.hosts[host];
        let able = h.machine.capacity(self.now);
        match able > 0.0 && !h.lost {
            true => (h.machine.holds() + 1) as f64 / able,
            false => f64::MAX,
        }
    }

    pub(super) fn send(&mut self, ask: usize, machine: usize, timeout: f64) {
        let proxy = self.asks[ask].proxy;
        let tier = self.proxies[proxy].tier;
        self.tally.sent(self.now, tier);
        if self.hosts[machine].told_away.is_some_and(|told| self.now > told + 2_000.0) {
            self.tally.late_sends += 1;
        }
        let of = &self.figures.tiers[tier];
        let whole = of.calls.floor();
        let calls = whole as usize + usize::from(part(&mut self.network) < of.calls - whole);
        let phases = calls + 1;
        let attempt = self.attempts.len();
        let noise = self.figures.classes[self.asks[ask].class].noise;
        let off = work::draw(Shape::Lognormal, 1.0, noise, &mut self.network);
        let (class, part) = (self.asks[ask].class, of.part);
        if tier == 0 && self.asks[ask].attempts == 0 {
            self.account.let_in(self.now, proxy, class);
        }
        let host = &self.hosts[machine];
        let started = host.started_at.map(|at| (at, self.now - at));
        let failing = host.lost || !host.machine.works();
        self.account.sent((proxy, machine), failing, started, self.asks[ask].work * off * part);
        let a = &mut self.asks[ask];
        self.attempts.push(Attempt {
            ask,
            no: a.attempts,
            machine,
            sent_at: self.now,
            over: false,
            held: false,
            dropped: false,
            phases_left: phases,
            phase_work: a.work * off * part / phases as f64,
            below: None,
        });
        a.attempts += 1;
        a.out = Some(attempt);
        let end = if timeout > 0.0 { (self.now + timeout).min(a.give_up_at) } else { a.give_up_at };
        let way = self.way(proxy, machine);
        match self.way_to(proxy, machine) {
            Way::Open(more) => self.queue.put(self.now + way + more, Happening::Reach { attempt }),
            Way::Held(_) => {
                let outcome = Outcome::ConnectFailed;
                self.queue.put(self.now + CONNECT_TIMEOUT, Happening::Back { attempt, outcome });
            }
            Way::Refused => {
                let outcome = Outcome::ConnectFailed;
                self.queue.put(self.now + 2.0 * way, Happening::Back { attempt, outcome });
            }
            Way::Broken => {
                let outcome = Outcome::Reset;
                self.queue.put(self.now + 2.0 * way, Happening::Back { attempt, outcome });
            }
        }
        self.queue.put(end, Happening::TimeUp { attempt });
    }

    pub(super) fn reach(&mut self, attempt: usize) {
        let (machine, work) = (self.attempts[attempt].machine, self.attempts[attempt].phase_work);
        if self.attempts[attempt].over {
            return;
        }
        let way = self.way(self.asks[self.attempts[attempt].ask].proxy, machine);
        let host = &mut self.hosts[machine];
        if host.lost {
            let outcome = Outcome::ConnectFailed;
            return self.queue.put(self.now + CONNECT_TIMEOUT, Happening::Back { attempt, outcome });
        }
        if !host.machine.is_up() {
            let outcome = Outcome::ConnectFailed;
            return self.queue.put(self.now + way, Happening::Back { attempt, outcome });
        }
        if host.turns_away {
            let outcome = Outcome::Rejected;
            return self.queue.put(self.now + way, Happening::Back { attempt, outcome });
        }
        match host.machine.offer(self.now, attempt as u64, work, &mut self.done) {
            Admission::Yes => self.attempts[attempt].held = true,
            Admission::Full => {
                let outcome = Outcome::Rejected;
                self.queue.put(self.now + way, Happening::Back { attempt, outcome });
            }
        }
        self.worked(machine);
    }

    /// Goes on with what a machine has done, and notes when it has more to say.
    pub(super) fn worked(&mut self, machine: usize) {
        while !self.done.is_empty() {
            for job in std::mem::take(&mut self.done) {
                self.phase_done(job as usize);
            }
        }
        let host = &mut self.hosts[machine];
        host.stamp += 1;
        let stamp = host.stamp;
        if let Some(due) = host.machine.due() {
            self.queue.put(due.max(self.now), Happening::Due { machine, stamp });
        }
    }

    fn phase_done(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        a.phases_left -= 1;
        if a.phases_left == 0 || a.dropped {
            return self.finish(attempt, Outcome::Ok);
        }
        let (machine, ask) = (a.machine, a.ask);
        let of = &self.asks[ask];
        let (whose, work, ttl) = ((of.class, of.tenant), of.work, of.give_up_at - self.now);
        let calls = a.phases_left as f64;
        let Some(proxy) = self.hosts[machine].proxy else {
            return self.finish(attempt, Outcome::Ok);
        };
        // The work of the tiers below is spread over the calls that are left of this one.
        let tier = self.hosts[machine].tier;
        let all = self.figures.tiers[tier].calls.max(1.0).max(calls);
        self.attempts[attempt].below = Some(self.asks.len());
        let work = if self.figures.own_work {
            let class = &self.figures.classes[whose.0];
            work::draw(class.shape, class.work, class.cv, &mut self.network)
        } else {
            work
        };
        self.ask(proxy, Caller::Machine { attempt }, whose, work / all, ttl.max(0.0));
    }

    /// A machine is done with an attempt.
    fn finish(&mut self, attempt: usize, outcome: Outcome) {
        let machine = self.attempts[attempt].machine;
        if !std::mem::take(&mut self.attempts[attempt].held) {
            return;
        }
        let now = self.now;
        self.hosts[machine].machine.release(now, &mut self.done);
        let proxy = self.asks[self.attempts[attempt].ask].proxy;
        let way = self.way(proxy, machine);
        if !self.hosts[machine].lost {
            match self.way_to(proxy, machine) {
                Way::Open(more) => self.queue.put(now + way + more, Happening::Back { attempt, outcome }),
                // What is held is sent again, and comes once it can.
                Way::Held(until) => self.queue.put(until + way, Happening::Back { attempt, outcome }),
                Way::Refused => self.queue.put(now + way, Happening::Back { attempt, outcome }),
                Way::Broken => {
                    let outcome = Outcome::Reset;
                    self.queue.put(now + way, Happening::Back { attempt, outcome });
                }
            }
        }
        self.worked(machine);
    }

    /// The final answer of a proxy, to whoever asked.
    pub(super) fn answer(&mut self, ask: usize, end: End, come_back: f64) {
        let a = &mut self.asks[ask];
        if a.gone {
            return;
        }
        if std::mem::replace(&mut a.answered, true) {
            self.tally.wrong_answers += 1;
            return;
        }
        match a.caller {
            Caller::Client { call, no } => {
                if end == End::Refused {
                    self.tally.refused_by(a.proxy);
                    self.account.refused(self.now, a.proxy, a.class, a.attempts == 0);
                }
                let at = self.now + self.figures.client;
                self.queue.put(at, Happening::Final { call, no, end, come_back });
            }
            Caller::Machine { attempt } => {
                let of = &mut self.attempts[attempt];
                of.below = None;
                let (machine, work) = (of.machine, of.phase_work);
                if end != End::Served {
                    self.finish(attempt, Outcome::Error);
                } else if of.held {
                    let now = self.now;
                    self.hosts[machine].machine.resume(now, attempt as u64, work, &mut self.done);
                    self.worked(machine);
                }
            }
        }
    }

    pub(super) fn time_up(&mut self, attempt: usize) {
        if self.attempts[attempt].over {
            return;
        }
        self.drop_at_machine(attempt);
        self.end_attempt(attempt, Outcome::Timeout);
    }

    /// The policy calls an attempt off.
    pub(super) fn call_off(&mut self, ask: usize) {
        if let Some(attempt) = self.asks[ask].out {
            self.drop_at_machine(attempt);
            self.end_attempt(attempt, Outcome::Cancelled);
        }
    }

    fn drop_at_machine(&mut self, attempt: usize) {
        let way = self.way(self.asks[self.attempts[attempt].ask].proxy, self.attempts[attempt].machine);
        self.queue.put(self.now + way, Happening::Cancel { attempt });
    }

    /// What waits is dropped; what runs goes on to the end of its phase.
    pub(super) fn cancel_at_machine(&mut self, attempt: usize) {
        let a = &mut self.attempts[attempt];
        if !a.held || self.hosts[a.machine].lost {
            return;
        }
        a.dropped = true;
        let (machine, below) = (a.machine, a.below.take());
        if let Some(ask) = below {
            self.leave(ask);
            return self.finish(attempt, Outcome::Cancelled);
        }
        let now = self.now;
        if self.hosts[machine].machine.cancel(now, attempt as u64, &mut self.done) {
            self.attempts[attempt].held = false;
        }
        self.worked(machine);
    }

    /// An attempt ends for its proxy, once; what comes after that is passed over.
    pub(super) fn end_attempt(&mut self, attempt: usize, outcome: Outcome) {
        let a = &mut self.attempts[attempt];
        if std::mem::replace(&mut a.over, true) {
            return;
        }
        let (ask, no, machine, took) = (a.ask, a.no, a.machine, self.now - a.sent_at);
        self.asks[ask].out = None;
        let proxy = self.asks[ask].proxy;
        let kept = matches!(outcome, Outcome::Ok | Outcome::Rejected | Outcome::Error);
        self.account.ended((proxy, machine), kept);
        if !self.proxies[proxy].alive {
            return;
        }
        let served = outcome == Outcome::Ok && !self.asks[ask].gone;
        if served {
            self.answer(ask, End::Served, 0.0);
        }
        // Out of time is out of time, whatever the policy would like to do yet.
        let late = self.now >= self.asks[ask].give_up_at;
        let event = Event::Outcome {
            request: ask as u64,
            attempt: no as u8,
            backend: machine as u32,
            outcome,
            took_ms: took,
            ended: served || self.asks[ask].gone,
            report: LoadReport::default(),
        };
        self.tell(proxy, event);
        let a = &self.asks[ask];
        if late && !a.answered && !a.gone && a.out.is_none() {
            self.answer(ask, End::Failed, 0.0);
        }
    }

    /// What a machine held is lost, as its process died; those connected learn of it.
    pub(super) fn lose_held(&mut self, machine: usize, reset: bool) {
        for attempt in 0..self.attempts.len() {
            let a = &mut self.attempts[attempt];
            if a.machine != machine || !std::mem::take(&mut a.held) {
                continue;
            }
            if let Some(below) = a.below.take() {
                self.leave(below);
            }
            if reset {
                let way = self.way(self.asks[self.attempts[attempt].ask].proxy, machine);
                let outcome = Outcome::Reset;
                self.queue.put(self.now + way, Happening::Back { attempt, outcome });
            }
        }
    }
}
