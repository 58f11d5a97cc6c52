//! Injects the scenario's failures: each begins and ends at its time, on processes, backends, discovery and
//! links. What the simulation does to its models is done here to real ones.

use crate::discovery_server::{unix_ms, BackendStarted};
use crate::fleet::{Fleet, FleetError, LinkEnds};
use crate::history::ClientLinkFault;
use crate::platform_rules::earliest_kill_ms;
use crate::process_supervisor::ProcessSignal;
use crate::tcp_proxy::Fault;
use hillstall_decision::BackendState;
use hillstall_simulation::scenario::{CutMode, FailureKind, LinkKind};
use hillstall_simulation::sim::setup::{count_of, DrawnFailure};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// Restart time of a drained backend, in milliseconds.
const RESTART_MS: f64 = 500.0;

/// Injects the failures of a fleet's scenario.
pub struct Faults {
    fleet: Rc<Fleet>,
    errors: RefCell<Vec<String>>,
}

impl Faults {
    /// The failures of a fleet's scenario.
    pub fn new(fleet: Rc<Fleet>) -> Rc<Faults> {
        Rc::new(Faults { fleet, errors: RefCell::default() })
    }

    /// Takes the errors of the harness itself.
    pub fn take_errors(&self) -> Vec<String> {
        self.errors.take()
    }

    /// Schedules all failures.
    pub fn play(self: &Rc<Faults>) {
        for failure in self.fleet.parameters.failures.iter().cloned() {
            let faults = self.clone();
            spawn_local(async move {
                let history = faults.fleet.history.clone();
                sleep_until(history.instant(failure.at)).await;
                faults.begin(&failure).await;
                sleep_until(history.instant(failure.at + failure.lasts)).await;
                faults.end(&failure);
            });
        }
    }

    fn record_error(&self, done: Result<(), FleetError>) {
        if let Err(why) = done {
            self.errors.borrow_mut().push(why.to_string());
        }
    }

    /// The numbers of a tier's servers.
    fn tier(&self, tier: usize) -> std::ops::Range<usize> {
        self.fleet.parameters.machines_of(tier)
    }

    /// The backends that a failure affects, as in the simulation: a part of the tier, from the first on.
    fn affected_servers(&self, failure: &DrawnFailure) -> Vec<usize> {
        let all = self.tier(failure.tier);
        let count = count_of(failure.part, all.len());
        all.take(count).collect()
    }

    fn first_tier_proxies(&self, part: f64) -> Vec<usize> {
        (0..count_of(part, self.fleet.first_tier_count)).collect()
    }

    #[allow(clippy::too_many_lines, reason = "one arm per kind of failure")]
    async fn begin(self: &Rc<Faults>, failure: &DrawnFailure) {
        match failure.what {
            FailureKind::Burst => {}
            FailureKind::DiscoveryDown => {
                self.fleet.discovery_servers.iter().for_each(|discovery| discovery.set_down(true))
            }
            FailureKind::Slow => {
                let times = failure.times.max(1e-3);
                self.tier(failure.tier).for_each(|server| self.fleet.servers[server].slow(times));
            }
            FailureKind::Hang => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].hang(true));
            }
            FailureKind::TurnAway => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].drain(true));
            }
            FailureKind::Crash => {
                self.affected_servers(failure).into_iter().for_each(|server| self.die(server, false))
            }
            FailureKind::Lose => {
                let servers = self.affected_servers(failure);
                self.lose(&servers, |ends| self.touches(&servers, ends));
            }
            FailureKind::LoseZone => {
                let zone = failure.zone;
                self.lose(&self.servers_of(zone), |ends| self.of_zone(zone, ends));
                for proxy in self.first_tier_proxies_in(zone) {
                    self.record_error(self.fleet.signal(proxy, ProcessSignal::Kill));
                }
            }
            FailureKind::Release => self.release(failure),
            FailureKind::KillProxies => self.signal_first_tier(failure.part, ProcessSignal::Kill),
            FailureKind::StopProxies => self.signal_first_tier(failure.part, ProcessSignal::Stop),
            FailureKind::ReloadProxies => self.signal_first_tier(failure.part, ProcessSignal::Reload),
            FailureKind::RollProxies => self.roll(failure).await,
            FailureKind::Cut => self.cut(failure, true),
        }
    }

    fn end(self: &Rc<Faults>, failure: &DrawnFailure) {
        match failure.what {
            FailureKind::DiscoveryDown => {
                self.fleet.discovery_servers.iter().for_each(|discovery| discovery.set_down(false))
            }
            FailureKind::Slow => {
                self.tier(failure.tier).for_each(|server| self.fleet.servers[server].slow(1.0))
            }
            FailureKind::Hang => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].hang(false));
            }
            FailureKind::TurnAway => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].drain(false));
            }
            FailureKind::Crash => {
                self.affected_servers(failure).into_iter().for_each(|server| self.revive(server))
            }
            FailureKind::Lose => {
                let servers = self.affected_servers(failure);
                self.restore(&servers, |ends| self.touches(&servers, ends));
            }
            FailureKind::LoseZone => {
                let zone = failure.zone;
                self.restore(&self.servers_of(zone), |ends| self.of_zone(zone, ends));
                self.first_tier_proxies_in(zone).into_iter().for_each(|proxy| self.start(proxy));
            }
            FailureKind::KillProxies => {
                self.first_tier_proxies(failure.part).into_iter().for_each(|proxy| self.start(proxy))
            }
            FailureKind::StopProxies => self.signal_first_tier(failure.part, ProcessSignal::Continue),
            FailureKind::Cut => self.cut(failure, false),
            FailureKind::Burst
            | FailureKind::Release
            | FailureKind::ReloadProxies
            | FailureKind::RollProxies => {}
        }
    }

    /// Sends a signal to a fraction of the first tier's proxies.
    fn signal_first_tier(&self, fraction: f64, signal: ProcessSignal) {
        for proxy in self.first_tier_proxies(fraction) {
            self.record_error(self.fleet.signal(proxy, signal));
        }
    }

    /// Starts a proxy again, in its own time.
    fn start(self: &Rc<Faults>, process: usize) {
        let faults = self.clone();
        spawn_local(async move {
            let started = faults.fleet.start_process(process).await;
            faults.record_error(started);
        });
    }

    /// Has discovery announce a backend's state, `notice` milliseconds later.
    fn announce(self: &Rc<Faults>, server: usize, status: BackendState, notice: f64) {
        let fleet = self.fleet.clone();
        let weight = fleet.restarted_weight.get();
        let since = (status == BackendState::Ready).then(|| BackendStarted { since_ms: unix_ms(), weight });
        spawn_local(async move {
            sleep(Duration::from_secs_f64(notice / 1e3)).await;
            fleet.discovery_servers.iter().for_each(|discovery| discovery.change(server, status, since));
        });
    }

    fn die(self: &Rc<Faults>, server: usize, silently: bool) {
        let of = &self.fleet.servers[server];
        of.die(silently);
        if let Some(process) = of.own_proxy() {
            self.record_error(self.fleet.signal(process, ProcessSignal::Kill));
        }
        let parameters = &self.fleet.parameters;
        let notice = if silently { parameters.silent_notice } else { parameters.notice };
        self.announce(server, BackendState::Gone, notice);
    }

    /// Starts a backend, in slow start, with its proxy; it listens once that is ready.
    fn revive(self: &Rc<Faults>, server: usize) {
        let faults = self.clone();
        spawn_local(async move {
            let of = faults.fleet.servers[server].clone();
            if let Some(process) = of.own_proxy() {
                let started = faults.fleet.start_process(process).await;
                faults.record_error(started);
            }
            of.start();
            if let Err(why) = of.listen() {
                faults.errors.borrow_mut().push(format!("server {server} can't listen again: {why}"));
            }
            faults.announce(server, BackendState::Ready, faults.fleet.parameters.add_notice);
        });
    }

    /// The links that lead into a zone, or from a zone into another.
    fn of_zone(&self, zone: usize, ends: LinkEnds) -> bool {
        let process = &self.fleet.processes[ends.process()];
        match ends {
            LinkEnds::ProxyToBackend { server, .. } => {
                self.fleet.servers[server].parameters.zone == zone || process.zone == zone
            }
            LinkEnds::ClientToProxy { .. }
            | LinkEnds::ProxyToDiscovery { .. }
            | LinkEnds::ProxyToVoter { .. } => process.zone == zone,
        }
    }

    fn servers_of(&self, zone: usize) -> Vec<usize> {
        let all = self.fleet.servers.iter().enumerate();
        all.filter(|(_, server)| server.parameters.zone == zone).map(|(number, _)| number).collect()
    }

    fn first_tier_proxies_in(&self, zone: usize) -> Vec<usize> {
        (0..self.fleet.first_tier_count).filter(|proxy| self.fleet.processes[*proxy].zone == zone).collect()
    }

    /// Takes backends off the network, with the proxies beside them and some links.
    fn lose(self: &Rc<Faults>, servers: &[usize], links: impl Fn(LinkEnds) -> bool) {
        self.fleet.set_fault(Fault::Silent, links);
        servers.iter().for_each(|server| self.die(*server, true));
    }

    fn restore(self: &Rc<Faults>, servers: &[usize], links: impl Fn(LinkEnds) -> bool) {
        for (_, link) in self.fleet.links.iter().filter(|(ends, _)| links(*ends)) {
            link.reset();
            link.set_fault(Fault::None);
        }
        for server in servers {
            // Until its process listens, connections are refused.
            self.fleet.servers[*server].die(false);
            self.revive(*server);
        }
    }

    /// Whether a link leads to one of some backends, or belongs to the proxy beside one.
    fn touches(&self, servers: &[usize], ends: LinkEnds) -> bool {
        let own = servers.iter().any(|s| self.fleet.servers[*s].own_proxy() == Some(ends.process()));
        own || matches!(ends, LinkEnds::ProxyToBackend { server, .. } if servers.contains(&server))
    }

    /// Replaces backends one after another: each drains, serves on for a while, ends, and restarts.
    fn release(self: &Rc<Faults>, failure: &DrawnFailure) {
        let machines = self.affected_servers(failure);
        let each = failure.lasts / machines.len() as f64;
        for (i, server) in machines.into_iter().enumerate() {
            let faults = self.clone();
            spawn_local(async move {
                let history = faults.fleet.history.clone();
                let begins = history.now() + i as f64 * each;
                sleep_until(history.instant(begins)).await;
                let of = faults.fleet.servers[server].clone();
                let notice = faults.fleet.parameters.notice;
                faults.announce(server, BackendState::Draining, notice);
                let stops = begins + 0.8 * each;
                // Not before all proxies were notified: such a stop would be a crash.
                let refuses = (begins + notice + faults.fleet.parameters.serves_on).min(stops);
                sleep_until(history.instant(refuses)).await;
                of.drain(true);
                sleep_until(history.instant(stops)).await;
                faults.die(server, false);
                sleep(Duration::from_secs_f64(RESTART_MS / 1e3)).await;
                faults.revive(server);
            });
        }
    }

    /// Restarts first-tier proxies gracefully, one after another.
    async fn roll(self: &Rc<Faults>, failure: &DrawnFailure) {
        let proxies = self.first_tier_proxies(failure.part);
        let each = Duration::from_secs_f64(failure.lasts / proxies.len() as f64 / 1e3);
        for proxy in proxies {
            let faults = self.clone();
            spawn_local(async move { faults.restart(proxy).await });
            sleep(each).await;
        }
    }

    async fn restart(self: Rc<Faults>, proxy: usize) {
        self.record_error(self.fleet.signal(proxy, ProcessSignal::Term));
        let deadline = self.fleet.parameters.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let until = self.fleet.history.now() + earliest_kill_ms(deadline);
        while self.fleet.processes[proxy].is_running.get() {
            if self.fleet.history.now() > until {
                self.record_error(self.fleet.signal(proxy, ProcessSignal::Kill));
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        let started = self.fleet.start_process(proxy).await;
        self.record_error(started);
    }

    fn cut(&self, failure: &DrawnFailure, begins: bool) {
        let cut = &failure.cut;
        let fault = match cut.mode {
            _ if !begins => Fault::None,
            CutMode::Silent => Fault::Silent,
            CutMode::LoseForth => Fault::LoseFromClient,
            CutMode::LoseBack => Fault::LoseFromTarget,
            CutMode::Reset => Fault::Reset,
            CutMode::Refuse => Fault::Refuse,
            CutMode::Delay => Fault::Delay(Duration::from_secs_f64(cut.delay / 1e3)),
        };
        let copies = |tier: usize| self.fleet.processes.iter().filter(|p| p.tier == tier).count();
        let meant = |ends: LinkEnds| {
            let of = &self.fleet.processes[ends.process()];
            let from = cut.is_from(failure.part, (of.rank, copies(of.tier)), of.zone);
            from && match (cut.link, ends) {
                (LinkKind::ProxyServer, LinkEnds::ProxyToBackend { server, .. }) => {
                    of.tier == failure.tier && cut.is_to(self.fleet.servers[server].parameters.zone)
                }
                (LinkKind::ClientFront, LinkEnds::ClientToProxy { .. }) => true,
                (LinkKind::ProxyDiscovery, LinkEnds::ProxyToDiscovery { .. }) => of.tier == failure.tier,
                _ => false,
            }
        };
        self.fleet.set_fault(fault, meant);
        if begins && cut.link == LinkKind::ClientFront {
            let (from, to) = (failure.at, failure.at + failure.lasts);
            let doors = self.fleet.links.iter().map(|(ends, _)| *ends).filter(|ends| meant(*ends));
            for process in doors.map(LinkEnds::process) {
                self.fleet.history.record(|observations| {
                    observations.client_link_faults.push(ClientLinkFault { process, from, to })
                });
            }
        }
    }
}
