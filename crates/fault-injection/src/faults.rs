//! Injects the failures of a scenario into a running fleet: each begins and ends at its time, on processes,
//! backends, discovery or links. The simulation injects the same failures into its models.

use crate::discovery_server::{unix_ms, BackendStarted};
use crate::fleet::{Fleet, FleetError, LinkEnds};
use crate::history::ClientLinkFault;
use crate::platform_rules::earliest_kill_ms;
use crate::process_supervisor::ProcessSignal;
use crate::tcp_proxy::Fault;
use hillstall_decision::BackendState;
use hillstall_simulation::scenario::{FailureKind, LinkFaultMode, LinkKind};
use hillstall_simulation::sim::setup::{count_of_fraction, DrawnFailure};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until};

/// Time from the end of a drained backend to its restart, in milliseconds.
const RESTART_DELAY_MS: f64 = 500.0;

/// The fault injector of a fleet.
pub struct Faults {
    fleet: Rc<Fleet>,
    errors: RefCell<Vec<String>>,
}

impl Faults {
    /// Creates the injector of the failures that the fleet's scenario has.
    pub fn new(fleet: Rc<Fleet>) -> Rc<Faults> {
        Rc::new(Faults { fleet, errors: RefCell::default() })
    }

    /// Returns the errors of the injection itself so far, and forgets them.
    pub fn take_errors(&self) -> Vec<String> {
        self.errors.take()
    }

    /// Schedules the begin and the end of all failures.
    pub fn schedule(self: &Rc<Faults>) {
        for failure in self.fleet.parameters.failures.iter().cloned() {
            let faults = self.clone();
            spawn_local(async move {
                let history = faults.fleet.history.clone();
                sleep_until(history.instant(failure.at)).await;
                faults.begin(&failure).await;
                sleep_until(history.instant(failure.at + failure.duration)).await;
                faults.end(&failure);
            });
        }
    }

    fn record_error(&self, result: Result<(), FleetError>) {
        if let Err(error) = result {
            self.errors.borrow_mut().push(error.to_string());
        }
    }

    /// The numbers of the backends of a tier.
    fn servers_of_tier(&self, tier: usize) -> std::ops::Range<usize> {
        self.fleet.parameters.machines_of_tier(tier)
    }

    /// The backends that a failure affects: as in the simulation, a fraction of the tier, from its first
    /// backend on.
    fn affected_servers(&self, failure: &DrawnFailure) -> Vec<usize> {
        let all = self.servers_of_tier(failure.tier);
        let count = count_of_fraction(failure.fraction, all.len());
        all.take(count).collect()
    }

    /// A fraction of the first tier's proxies, from the first on.
    fn first_tier_proxies(&self, fraction: f64) -> Vec<usize> {
        (0..count_of_fraction(fraction, self.fleet.first_tier_count)).collect()
    }

    #[allow(clippy::too_many_lines, reason = "one arm per kind of failure")]
    async fn begin(self: &Rc<Faults>, failure: &DrawnFailure) {
        match failure.kind {
            FailureKind::Burst => {}
            FailureKind::DiscoveryDown => {
                self.fleet.discovery_servers.iter().for_each(|discovery| discovery.set_down(true))
            }
            FailureKind::Slow => {
                let factor = failure.factor.max(1e-3);
                self.servers_of_tier(failure.tier)
                    .for_each(|server| self.fleet.servers[server].set_slowdown(factor));
            }
            FailureKind::Hang => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].set_hung(true));
            }
            FailureKind::TurnAway => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].set_draining(true));
            }
            FailureKind::Crash => {
                self.affected_servers(failure).into_iter().for_each(|server| self.kill_server(server, false))
            }
            FailureKind::Lose => {
                let servers = self.affected_servers(failure);
                self.lose(&servers, |ends| self.touches_servers(&servers, ends));
            }
            FailureKind::LoseZone => {
                let zone = failure.zone;
                self.lose(&self.servers_of_zone(zone), |ends| self.touches_zone(zone, ends));
                for proxy in self.first_tier_proxies_in(zone) {
                    self.record_error(self.fleet.signal(proxy, ProcessSignal::Kill));
                }
            }
            FailureKind::Release => self.release(failure),
            FailureKind::KillProxies => self.signal_first_tier(failure.fraction, ProcessSignal::Kill),
            FailureKind::StopProxies => self.signal_first_tier(failure.fraction, ProcessSignal::Stop),
            FailureKind::ReloadProxies => self.signal_first_tier(failure.fraction, ProcessSignal::Reload),
            FailureKind::RollProxies => self.restart_in_turn(failure).await,
            FailureKind::Cut => self.set_link_fault(failure, true),
        }
    }

    fn end(self: &Rc<Faults>, failure: &DrawnFailure) {
        match failure.kind {
            FailureKind::DiscoveryDown => {
                self.fleet.discovery_servers.iter().for_each(|discovery| discovery.set_down(false))
            }
            FailureKind::Slow => self
                .servers_of_tier(failure.tier)
                .for_each(|server| self.fleet.servers[server].set_slowdown(1.0)),
            FailureKind::Hang => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].set_hung(false));
            }
            FailureKind::TurnAway => {
                self.affected_servers(failure)
                    .into_iter()
                    .for_each(|server| self.fleet.servers[server].set_draining(false));
            }
            FailureKind::Crash => {
                self.affected_servers(failure).into_iter().for_each(|server| self.restart_server(server))
            }
            FailureKind::Lose => {
                let servers = self.affected_servers(failure);
                self.restore(&servers, |ends| self.touches_servers(&servers, ends));
            }
            FailureKind::LoseZone => {
                let zone = failure.zone;
                self.restore(&self.servers_of_zone(zone), |ends| self.touches_zone(zone, ends));
                self.first_tier_proxies_in(zone).into_iter().for_each(|proxy| self.start_proxy(proxy));
            }
            FailureKind::KillProxies => self
                .first_tier_proxies(failure.fraction)
                .into_iter()
                .for_each(|proxy| self.start_proxy(proxy)),
            FailureKind::StopProxies => self.signal_first_tier(failure.fraction, ProcessSignal::Continue),
            FailureKind::Cut => self.set_link_fault(failure, false),
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

    /// Starts a proxy again, without waiting until it is ready.
    fn start_proxy(self: &Rc<Faults>, process: usize) {
        let faults = self.clone();
        spawn_local(async move {
            let started = faults.fleet.start_process(process).await;
            faults.record_error(started);
        });
    }

    /// Has discovery announce the state of a backend after `notice_ms`.
    fn announce(self: &Rc<Faults>, server: usize, status: BackendState, notice_ms: f64) {
        let fleet = self.fleet.clone();
        let weight = fleet.restarted_weight.get();
        let started = (status == BackendState::Ready).then(|| BackendStarted { since_ms: unix_ms(), weight });
        spawn_local(async move {
            sleep(Duration::from_secs_f64(notice_ms / 1e3)).await;
            fleet.discovery_servers.iter().for_each(|discovery| discovery.change(server, status, started));
        });
    }

    fn kill_server(self: &Rc<Faults>, server: usize, silently: bool) {
        let backend = &self.fleet.servers[server];
        backend.kill(silently);
        if let Some(process) = backend.own_proxy() {
            self.record_error(self.fleet.signal(process, ProcessSignal::Kill));
        }
        let parameters = &self.fleet.parameters;
        let notice_ms = if silently { parameters.silent_notice_delay } else { parameters.notice_delay };
        self.announce(server, BackendState::Gone, notice_ms);
    }

    /// Restarts a backend, in slow start, and its own proxy. The backend listens once the proxy is ready.
    fn restart_server(self: &Rc<Faults>, server: usize) {
        let faults = self.clone();
        spawn_local(async move {
            let backend = faults.fleet.servers[server].clone();
            if let Some(process) = backend.own_proxy() {
                let started = faults.fleet.start_process(process).await;
                faults.record_error(started);
            }
            backend.restart();
            if let Err(error) = backend.listen() {
                faults
                    .errors
                    .borrow_mut()
                    .push(format!("backend {server} cannot listen after its restart: {error}"));
            }
            faults.announce(server, BackendState::Ready, faults.fleet.parameters.start_notice_delay);
        });
    }

    /// Whether a link begins or ends in a zone.
    fn touches_zone(&self, zone: usize, ends: LinkEnds) -> bool {
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

    fn servers_of_zone(&self, zone: usize) -> Vec<usize> {
        let servers = self.fleet.servers.iter().enumerate();
        servers.filter(|(_, server)| server.parameters.zone == zone).map(|(number, _)| number).collect()
    }

    fn first_tier_proxies_in(&self, zone: usize) -> Vec<usize> {
        (0..self.fleet.first_tier_count).filter(|proxy| self.fleet.processes[*proxy].zone == zone).collect()
    }

    /// Makes the machines of some backends disappear: silences the selected links, and kills the backends and
    /// their own proxies. Discovery notices that later than a crash.
    fn lose(self: &Rc<Faults>, servers: &[usize], is_selected: impl Fn(LinkEnds) -> bool) {
        self.fleet.set_fault(Fault::Silent, is_selected);
        servers.iter().for_each(|server| self.kill_server(*server, true));
    }

    /// Ends [`Faults::lose`]: ends the fault of the selected links, and restarts the backends.
    fn restore(self: &Rc<Faults>, servers: &[usize], is_selected: impl Fn(LinkEnds) -> bool) {
        for (_, link) in self.fleet.links.iter().filter(|(ends, _)| is_selected(*ends)) {
            link.reset();
            link.set_fault(Fault::None);
        }
        for server in servers {
            // Connections are refused until the restarted process listens.
            self.fleet.servers[*server].kill(false);
            self.restart_server(*server);
        }
    }

    /// Whether a link leads to one of some backends, or belongs to the own proxy of one.
    fn touches_servers(&self, servers: &[usize], ends: LinkEnds) -> bool {
        let is_own_proxy = servers.iter().any(|s| self.fleet.servers[*s].own_proxy() == Some(ends.process()));
        is_own_proxy || matches!(ends, LinkEnds::ProxyToBackend { server, .. } if servers.contains(&server))
    }

    /// Replaces backends one after another, as a release does: each is announced as draining, serves on for a
    /// while, rejects new requests, ends, and restarts.
    fn release(self: &Rc<Faults>, failure: &DrawnFailure) {
        let servers = self.affected_servers(failure);
        let interval_ms = failure.duration / servers.len() as f64;
        for (i, server) in servers.into_iter().enumerate() {
            let faults = self.clone();
            spawn_local(async move {
                let history = faults.fleet.history.clone();
                let begins_at = history.now() + i as f64 * interval_ms;
                sleep_until(history.instant(begins_at)).await;
                let backend = faults.fleet.servers[server].clone();
                let notice_ms = faults.fleet.parameters.notice_delay;
                faults.announce(server, BackendState::Draining, notice_ms);
                let stops_at = begins_at + 0.8 * interval_ms;
                // Not before all proxies have been notified: a stop without notice would amount to a crash.
                let rejects_at = (begins_at + notice_ms + faults.fleet.parameters.drain_grace).min(stops_at);
                sleep_until(history.instant(rejects_at)).await;
                backend.set_draining(true);
                sleep_until(history.instant(stops_at)).await;
                faults.kill_server(server, false);
                sleep(Duration::from_secs_f64(RESTART_DELAY_MS / 1e3)).await;
                faults.restart_server(server);
            });
        }
    }

    /// Restarts first-tier proxies gracefully, one after another, without waiting for each to end.
    async fn restart_in_turn(self: &Rc<Faults>, failure: &DrawnFailure) {
        let proxies = self.first_tier_proxies(failure.fraction);
        let interval = Duration::from_secs_f64(failure.duration / proxies.len() as f64 / 1e3);
        for proxy in proxies {
            let faults = self.clone();
            spawn_local(async move { faults.restart_proxy(proxy).await });
            sleep(interval).await;
        }
    }

    /// Restarts a proxy: SIGTERM, then SIGKILL at the earliest time that the platform allows if it still
    /// runs.
    async fn restart_proxy(self: Rc<Faults>, proxy: usize) {
        self.record_error(self.fleet.signal(proxy, ProcessSignal::Term));
        let deadline = self.fleet.parameters.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let kill_at = self.fleet.history.now() + earliest_kill_ms(deadline);
        while self.fleet.processes[proxy].is_running.get() {
            if self.fleet.history.now() > kill_at {
                self.record_error(self.fleet.signal(proxy, ProcessSignal::Kill));
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        let started = self.fleet.start_process(proxy).await;
        self.record_error(started);
    }

    /// Sets the fault of a link failure on the links that it selects, or clears it.
    fn set_link_fault(&self, failure: &DrawnFailure, begins: bool) {
        let cut = &failure.link_fault;
        let fault = match cut.mode {
            _ if !begins => Fault::None,
            LinkFaultMode::Silent => Fault::Silent,
            LinkFaultMode::LoseForth => Fault::LoseFromClient,
            LinkFaultMode::LoseBack => Fault::LoseFromTarget,
            LinkFaultMode::Reset => Fault::Reset,
            LinkFaultMode::Refuse => Fault::Refuse,
            LinkFaultMode::Delay => Fault::Delay(Duration::from_secs_f64(cut.delay / 1e3)),
        };
        let instances = |tier: usize| self.fleet.processes.iter().filter(|p| p.tier == tier).count();
        let is_selected = |ends: LinkEnds| {
            let proxy = &self.fleet.processes[ends.process()];
            let is_from =
                cut.affects_proxy(failure.fraction, (proxy.rank, instances(proxy.tier)), proxy.zone);
            is_from
                && match (cut.link, ends) {
                    (LinkKind::ProxyServer, LinkEnds::ProxyToBackend { server, .. }) => {
                        proxy.tier == failure.tier
                            && cut.affects_zone(self.fleet.servers[server].parameters.zone)
                    }
                    (LinkKind::ClientFront, LinkEnds::ClientToProxy { .. }) => true,
                    (LinkKind::ProxyDiscovery, LinkEnds::ProxyToDiscovery { .. }) => {
                        proxy.tier == failure.tier
                    }
                    _ => false,
                }
        };
        self.fleet.set_fault(fault, is_selected);
        if begins && cut.link == LinkKind::ClientFront {
            let (from, to) = (failure.at, failure.at + failure.duration);
            let client_links =
                self.fleet.links.iter().map(|(ends, _)| *ends).filter(|ends| is_selected(*ends));
            for process in client_links.map(LinkEnds::process) {
                self.fleet.history.record(|observations| {
                    observations.client_link_faults.push(ClientLinkFault { process, from, to })
                });
            }
        }
    }
}
