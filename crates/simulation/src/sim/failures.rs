//! Begin and end of failures, and how the proxies are notified of machines that drain, are gone or have
//! started.

use super::queue::{SimEvent, Step};
use super::setup::count_of_fraction;
use super::World;
use crate::scenario::FailureKind;
use hillstall_decision::{BackendInfo, BackendState, Event, ListKind};

/// Time from the stop of a drained machine to its start.
const MACHINE_RESTART_MS: f64 = 500.0;

impl World {
    /// The machines that a failure affects: those that it names, or else a fraction of its tier in order,
    /// rounded to at least one.
    fn affected_machines(&self, index: usize, fraction: f64) -> Vec<usize> {
        let failure = &self.parameters.failures[index];
        if !failure.machines.is_empty() {
            return failure.machines.clone();
        }
        let all = &self.tiers[failure.tier];
        all[..count_of_fraction(fraction, all.len())].to_vec()
    }

    #[allow(clippy::too_many_lines, reason = "one arm per kind of failure")]
    pub(super) fn switch_failure(&mut self, index: usize, begins: bool) {
        let failure = &self.parameters.failures[index];
        let (kind, zone, fraction, factor) = (failure.kind, failure.zone, failure.fraction, failure.factor);
        match kind {
            // Bursts are applied by the arrival process.
            FailureKind::Burst => {}
            FailureKind::DiscoveryDown => {
                self.discovery_down = begins;
                if !begins {
                    for machine in std::mem::take(&mut self.unsent_notices) {
                        self.notify_proxies(machine);
                    }
                }
            }
            FailureKind::Slow => {
                // A shared dependency affects the whole tier, whatever fraction the failure has.
                for machine in self.affected_machines(index, 1.0) {
                    let factor = if begins { factor.max(1e-3) } else { 1.0 };
                    self.hosts[machine].machine.set_dependency_slowdown(
                        self.now,
                        factor,
                        &mut self.completed_jobs,
                    );
                    self.continue_completed_work(machine);
                }
            }
            FailureKind::Hang => {
                for machine in self.affected_machines(index, fraction) {
                    self.hosts[machine].machine.set_hung(self.now, begins, &mut self.completed_jobs);
                    self.continue_completed_work(machine);
                }
            }
            FailureKind::TurnAway => {
                for machine in self.affected_machines(index, fraction) {
                    self.hosts[machine].rejects_new = begins;
                }
            }
            FailureKind::Crash => {
                for machine in self.affected_machines(index, fraction) {
                    if begins {
                        self.kill_machine(machine, true)
                    } else {
                        self.restart_machine(machine)
                    }
                }
            }
            FailureKind::Lose => {
                self.affected_machines(index, fraction)
                    .into_iter()
                    .for_each(|machine| self.set_unreachable(machine, begins));
            }
            FailureKind::LoseZone => {
                let machines: Vec<usize> =
                    (0..self.hosts.len()).filter(|h| self.hosts[*h].zone == zone).collect();
                machines.into_iter().for_each(|machine| self.set_unreachable(machine, begins));
                for proxy in 0..self.proxies.len() {
                    if self.proxies[proxy].zone == zone && self.proxies[proxy].tier == 0 {
                        self.proxies[proxy].alive = !begins;
                        self.proxies[proxy].silent = begins;
                        self.proxies[proxy].gone_at = self.now;
                        if begins {
                            self.abandon_requests(proxy);
                        }
                    }
                }
            }
            FailureKind::Release if begins => {
                let machines = self.affected_machines(index, fraction);
                let interval = self.parameters.failures[index].duration / machines.len() as f64;
                for (i, machine) in machines.into_iter().enumerate() {
                    let at = self.now + i as f64 * interval;
                    self.queue.schedule(at, SimEvent::Release { machine, step: Step::Drain });
                    self.queue.schedule(at + 0.8 * interval, SimEvent::Release { machine, step: Step::Stop });
                }
            }
            FailureKind::Release => {}
            FailureKind::KillProxies => {
                for proxy in self.first_tier_proxies(fraction) {
                    if begins {
                        self.kill_proxy(proxy)
                    } else {
                        self.restart_proxy(proxy)
                    }
                }
            }
            FailureKind::RollProxies if begins => {
                let proxies = self.first_tier_proxies(fraction);
                let interval = self.parameters.failures[index].duration / proxies.len() as f64;
                for (i, proxy) in proxies.into_iter().enumerate() {
                    self.queue.schedule(self.now + i as f64 * interval, SimEvent::GracefulRestart { proxy });
                }
            }
            // Reloading an unchanged file has no effect, and stopped proxies are not modelled in simulated
            // time.
            FailureKind::RollProxies | FailureKind::ReloadProxies | FailureKind::StopProxies => {}
            FailureKind::Cut => self.switch_link_fault(index, begins),
        }
    }

    /// Abandons all open requests of a proxy that is gone; their clients time out.
    fn abandon_requests(&mut self, proxy: usize) {
        for request in self.requests.iter_mut().filter(|r| r.proxy == proxy && !r.answered) {
            request.abandoned = true;
        }
    }

    fn kill_machine(&mut self, machine: usize, reset: bool) {
        let mut done = Vec::new();
        self.hosts[machine].machine.kill(self.now, &mut done);
        // Jobs that complete at this very moment are lost with the rest.
        done.clear();
        self.hosts[machine].change_stamp += 1;
        self.lose_attempts_on(machine, reset);
        let notice = if reset { self.parameters.notice_delay } else { self.parameters.silent_notice_delay };
        self.change_state(machine, BackendState::Gone, notice);
    }

    /// Cuts a machine off from the network, or brings it back in slow start.
    fn set_unreachable(&mut self, machine: usize, begins: bool) {
        if begins {
            self.kill_machine(machine, false);
        } else {
            self.restart_machine(machine);
        }
        self.hosts[machine].unreachable = begins;
    }

    fn restart_machine(&mut self, machine: usize) {
        self.hosts[machine].machine.start(self.now);
        self.hosts[machine].started_at = Some(self.now);
        self.change_state(machine, BackendState::Ready, self.parameters.start_notice_delay);
    }

    pub(super) fn release_step(&mut self, machine: usize, step: Step) {
        match step {
            Step::Drain if self.hosts[machine].state == BackendState::Ready => {
                self.change_state(machine, BackendState::Draining, self.parameters.notice_delay);
            }
            Step::Drain => {}
            // A machine that another failure has taken down is not restarted by the release.
            Step::Stop if self.hosts[machine].state == BackendState::Draining => {
                self.kill_machine(machine, true);
                let at = self.now + MACHINE_RESTART_MS;
                self.queue.schedule(at, SimEvent::Release { machine, step: Step::Start });
            }
            Step::Stop => {}
            Step::Start => {
                if !self.hosts[machine].unreachable {
                    self.restart_machine(machine);
                }
            }
        }
    }

    /// Changes a machine's state; the proxies are notified `notice` milliseconds later.
    fn change_state(&mut self, machine: usize, state: BackendState, notice: f64) {
        self.hosts[machine].state = state;
        self.queue.schedule(self.now + notice, SimEvent::EndpointNotice { machine });
    }

    pub(super) fn notify_proxies(&mut self, machine: usize) {
        if self.discovery_down {
            return self.unsent_notices.push(machine);
        }
        let away = self.hosts[machine].state != BackendState::Ready;
        let host = &mut self.hosts[machine];
        host.away_notified_at = if away { Some(host.away_notified_at.unwrap_or(self.now)) } else { None };
        for proxy in self.proxies_of_tier[self.hosts[machine].tier].clone() {
            match self.is_cut_off_from_discovery(proxy) {
                true => self.missed_notices.push((proxy, machine)),
                false => self.notify_of_machine(proxy, machine),
            }
        }
    }

    /// Passes one machine's state to one proxy.
    pub(super) fn notify_of_machine(&mut self, proxy: usize, machine: usize) {
        let list: [BackendInfo; 1] = [self.backend_info(machine)];
        self.pass_event(
            proxy,
            Event::EndpointsChanged { kind: ListKind::Delta, version: 0, backends: &list },
        );
    }
}
