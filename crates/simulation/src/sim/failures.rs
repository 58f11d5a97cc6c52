//! What goes wrong, and what the proxies learn of it.

use super::queue::{Happening, Step};
use super::setup::count_of;
use super::World;
use crate::scenario::FailureKind;
use hillstall_decision::{BackendInfo, BackendState, Event, ListKind};

/// How long a drained machine takes to start again.
const RESTART_MS: f64 = 500.0;

impl World {
    /// The machines that a failure is about: those it names, or this part of its tier, from the first on, and at
    /// least one.
    fn meant(&self, index: usize, part: f64) -> Vec<usize> {
        let failure = &self.figures.failures[index];
        if !failure.on.is_empty() {
            return failure.on.clone();
        }
        let all = &self.tiers[failure.tier];
        all[..count_of(part, all.len())].to_vec()
    }

    pub(super) fn failure(&mut self, index: usize, begins: bool) {
        let failure = &self.figures.failures[index];
        let (what, zone, part, times) = (failure.what, failure.zone, failure.part, failure.times);
        match what {
            // The arrivals know it themselves.
            FailureKind::Burst => {}
            FailureKind::DiscoveryDown => {
                self.discovery_down = begins;
                if !begins {
                    for machine in std::mem::take(&mut self.untold) {
                        self.told(machine);
                    }
                }
            }
            FailureKind::Slow => {
                // Something that they share: all of the tier, whatever part is given.
                for machine in self.meant(index, 1.0) {
                    let times = if begins { times.max(1e-3) } else { 1.0 };
                    self.hosts[machine].machine.slow(self.now, times, &mut self.done);
                    self.worked(machine);
                }
            }
            FailureKind::Hang => {
                for machine in self.meant(index, part) {
                    self.hosts[machine].machine.hang(self.now, begins, &mut self.done);
                    self.worked(machine);
                }
            }
            FailureKind::TurnAway => {
                for machine in self.meant(index, part) {
                    self.hosts[machine].turns_away = begins;
                }
            }
            FailureKind::Crash => {
                for machine in self.meant(index, part) {
                    if begins {
                        self.die(machine, true)
                    } else {
                        self.revive(machine)
                    }
                }
            }
            FailureKind::Lose => {
                self.meant(index, part).into_iter().for_each(|machine| self.lose(machine, begins));
            }
            FailureKind::LoseZone => {
                let machines: Vec<usize> =
                    (0..self.hosts.len()).filter(|h| self.hosts[*h].zone == zone).collect();
                machines.into_iter().for_each(|machine| self.lose(machine, begins));
                for proxy in 0..self.proxies.len() {
                    if self.proxies[proxy].zone == zone && self.proxies[proxy].tier == 0 {
                        self.proxies[proxy].alive = !begins;
                        self.proxies[proxy].silent = begins;
                        self.proxies[proxy].gone_at = self.now;
                        if begins {
                            self.abandon(proxy);
                        }
                    }
                }
            }
            FailureKind::Release if begins => {
                let machines = self.meant(index, part);
                let each = self.figures.failures[index].lasts / machines.len() as f64;
                for (i, machine) in machines.into_iter().enumerate() {
                    let at = self.now + i as f64 * each;
                    self.queue.put(at, Happening::Release { machine, step: Step::Drain });
                    self.queue.put(at + 0.8 * each, Happening::Release { machine, step: Step::Stop });
                }
            }
            FailureKind::Release => {}
            FailureKind::KillProxies => {
                for proxy in self.fronts(part) {
                    if begins {
                        self.kill_front(proxy)
                    } else {
                        self.start_front(proxy)
                    }
                }
            }
            FailureKind::RollProxies if begins => {
                let fronts = self.fronts(part);
                let each = self.figures.failures[index].lasts / fronts.len() as f64;
                for (i, proxy) in fronts.into_iter().enumerate() {
                    self.queue.put(self.now + i as f64 * each, Happening::Roll { proxy });
                }
            }
            // A file that says the same changes nothing; what stands still has no model here.
            FailureKind::RollProxies | FailureKind::ReloadProxies | FailureKind::StopProxies => {}
            FailureKind::Cut => self.cut(index, begins),
        }
    }

    /// A proxy is gone: what it held is lost to its callers, who find out by waiting.
    fn abandon(&mut self, proxy: usize) {
        for ask in self.asks.iter_mut().filter(|a| a.proxy == proxy && !a.answered) {
            ask.gone = true;
        }
    }

    fn die(&mut self, machine: usize, reset: bool) {
        let mut done = Vec::new();
        self.hosts[machine].machine.kill(self.now, &mut done);
        // What ended in this very moment is lost with the rest.
        done.clear();
        self.hosts[machine].stamp += 1;
        self.lose_held(machine, reset);
        let notice = if reset { self.figures.notice } else { self.figures.silent_notice };
        self.changed(machine, BackendState::Gone, notice);
    }

    /// A machine is gone from the network, or is back.
    fn lose(&mut self, machine: usize, begins: bool) {
        if begins {
            self.die(machine, false);
        } else {
            self.revive(machine);
        }
        self.hosts[machine].lost = begins;
    }

    fn revive(&mut self, machine: usize) {
        self.hosts[machine].machine.start(self.now);
        self.hosts[machine].started_at = Some(self.now);
        self.changed(machine, BackendState::Ready, self.figures.add_notice);
    }

    pub(super) fn release_step(&mut self, machine: usize, step: Step) {
        match step {
            Step::Drain if self.hosts[machine].state == BackendState::Ready => {
                self.changed(machine, BackendState::Draining, self.figures.notice);
            }
            Step::Drain => {}
            // A machine that something else took down meanwhile is not started again here.
            Step::Stop if self.hosts[machine].state == BackendState::Draining => {
                self.die(machine, true);
                let at = self.now + RESTART_MS;
                self.queue.put(at, Happening::Release { machine, step: Step::Start });
            }
            Step::Stop => {}
            Step::Start => {
                if !self.hosts[machine].lost {
                    self.revive(machine);
                }
            }
        }
    }

    /// The list changes; the proxies are told after a while.
    fn changed(&mut self, machine: usize, state: BackendState, notice: f64) {
        self.hosts[machine].state = state;
        self.queue.put(self.now + notice, Happening::Told { machine });
    }

    pub(super) fn told(&mut self, machine: usize) {
        if self.discovery_down {
            return self.untold.push(machine);
        }
        let away = self.hosts[machine].state != BackendState::Ready;
        let host = &mut self.hosts[machine];
        host.told_away = if away { Some(host.told_away.unwrap_or(self.now)) } else { None };
        for proxy in self.before[self.hosts[machine].tier].clone() {
            match self.hears_nothing(proxy) {
                true => self.missed.push((proxy, machine)),
                false => self.tell_one(proxy, machine),
            }
        }
    }

    /// Tells one proxy of one machine.
    pub(super) fn tell_one(&mut self, proxy: usize, machine: usize) {
        let list: [BackendInfo; 1] = [self.info(machine)];
        self.tell(proxy, Event::EndpointsChanged { kind: ListKind::Delta, version: 0, backends: &list });
    }
}
