//! What goes wrong, as the scenario has it: each failure begins and ends at its time, on processes, servers, lists and
//! links. What simulated time does to its models is done here to real ones.

use crate::discovery_server::{unix_ms, BackendStarted};
use crate::fleet::{Fleet, FleetError, LinkEnds};
use crate::history::LinkCut as CutSeen;
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

/// How long a drained server takes to start again (ms).
const RESTART_MS: f64 = 500.0;
/// How long after SIGTERM a proxy is killed: the longest deadline and this (ms).
const KILL_MS: f64 = 700.0;

/// Plays the scenario's failures.
pub struct Faults {
    fleet: Rc<Fleet>,
    wrong: RefCell<Vec<String>>,
}

impl Faults {
    /// Those of a fleet.
    pub fn new(fleet: Rc<Fleet>) -> Rc<Faults> {
        Rc::new(Faults { fleet, wrong: RefCell::default() })
    }

    /// What went wrong with the rig itself.
    pub fn wrong(&self) -> Vec<String> {
        self.wrong.take()
    }

    /// Starts all of them.
    pub fn play(self: &Rc<Faults>) {
        for failure in self.fleet.figures.failures.iter().cloned() {
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

    fn sure(&self, done: Result<(), FleetError>) {
        if let Err(why) = done {
            self.wrong.borrow_mut().push(why.to_string());
        }
    }

    /// The numbers of a tier's servers.
    fn tier(&self, tier: usize) -> std::ops::Range<usize> {
        self.fleet.figures.machines_of(tier)
    }

    /// The servers that a failure is about, as in simulated time: a part of the tier, from the first on.
    fn meant(&self, failure: &DrawnFailure) -> Vec<usize> {
        let all = self.tier(failure.tier);
        let count = count_of(failure.part, all.len());
        all.take(count).collect()
    }

    fn fronts(&self, part: f64) -> Vec<usize> {
        (0..count_of(part, self.fleet.fronts)).collect()
    }

    async fn begin(self: &Rc<Faults>, failure: &DrawnFailure) {
        match failure.what {
            FailureKind::Burst => {}
            FailureKind::DiscoveryDown => self.fleet.lists.iter().for_each(|list| list.set_down(true)),
            FailureKind::Slow => {
                let times = failure.times.max(1e-3);
                self.tier(failure.tier).for_each(|server| self.fleet.servers[server].slow(times));
            }
            FailureKind::Hang => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].hang(true));
            }
            FailureKind::TurnAway => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].drain(true));
            }
            FailureKind::Crash => self.meant(failure).into_iter().for_each(|server| self.die(server, false)),
            FailureKind::Lose => {
                let servers = self.meant(failure);
                self.lose(&servers, |ends| self.is_about(&servers, ends));
            }
            FailureKind::LoseZone => {
                let zone = failure.zone;
                self.lose(&self.servers_of(zone), |ends| self.of_zone(zone, ends));
                for front in self.fronts_of(zone) {
                    self.sure(self.fleet.signal(front, ProcessSignal::Kill));
                }
            }
            FailureKind::Release => self.release(failure),
            FailureKind::KillProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, ProcessSignal::Kill));
                }
            }
            FailureKind::StopProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, ProcessSignal::Stop));
                }
            }
            FailureKind::ReloadProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, ProcessSignal::Reload));
                }
            }
            FailureKind::RollProxies => self.roll(failure).await,
            FailureKind::Cut => self.cut(failure, true),
        }
    }

    fn end(self: &Rc<Faults>, failure: &DrawnFailure) {
        match failure.what {
            FailureKind::DiscoveryDown => self.fleet.lists.iter().for_each(|list| list.set_down(false)),
            FailureKind::Slow => {
                self.tier(failure.tier).for_each(|server| self.fleet.servers[server].slow(1.0))
            }
            FailureKind::Hang => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].hang(false));
            }
            FailureKind::TurnAway => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].drain(false));
            }
            FailureKind::Crash => self.meant(failure).into_iter().for_each(|server| self.revive(server)),
            FailureKind::Lose => {
                let servers = self.meant(failure);
                self.give_back(&servers, |ends| self.is_about(&servers, ends));
            }
            FailureKind::LoseZone => {
                let zone = failure.zone;
                self.give_back(&self.servers_of(zone), |ends| self.of_zone(zone, ends));
                self.fronts_of(zone).into_iter().for_each(|front| self.start(front));
            }
            FailureKind::KillProxies => {
                self.fronts(failure.part).into_iter().for_each(|front| self.start(front))
            }
            FailureKind::StopProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, ProcessSignal::Go));
                }
            }
            FailureKind::Cut => self.cut(failure, false),
            FailureKind::Burst
            | FailureKind::Release
            | FailureKind::ReloadProxies
            | FailureKind::RollProxies => {}
        }
    }

    /// Starts a proxy again, in its own time.
    fn start(self: &Rc<Faults>, process: usize) {
        let faults = self.clone();
        spawn_local(async move {
            let started = faults.fleet.start_process(process).await;
            faults.sure(started);
        });
    }

    /// Tells the list of a server, as late as it is.
    fn list(self: &Rc<Faults>, server: usize, status: BackendState, notice: f64) {
        let fleet = self.fleet.clone();
        let weight = fleet.weight_again.get();
        let since = (status == BackendState::Ready).then(|| BackendStarted { since_ms: unix_ms(), weight });
        spawn_local(async move {
            sleep(Duration::from_secs_f64(notice / 1e3)).await;
            fleet.lists.iter().for_each(|list| list.change(server, status, since));
        });
    }

    fn die(self: &Rc<Faults>, server: usize, silently: bool) {
        let of = &self.fleet.servers[server];
        of.die(silently);
        if let Some(process) = of.own_proxy() {
            self.sure(self.fleet.signal(process, ProcessSignal::Kill));
        }
        let figures = &self.fleet.figures;
        let notice = if silently { figures.silent_notice } else { figures.notice };
        self.list(server, BackendState::Gone, notice);
    }

    /// A server starts, cold, with its proxy; it takes calls once that is up.
    fn revive(self: &Rc<Faults>, server: usize) {
        let faults = self.clone();
        spawn_local(async move {
            let of = faults.fleet.servers[server].clone();
            if let Some(process) = of.own_proxy() {
                let started = faults.fleet.start_process(process).await;
                faults.sure(started);
            }
            of.start();
            if let Err(why) = of.listen() {
                faults.wrong.borrow_mut().push(format!("server {server} can't listen again: {why}"));
            }
            faults.list(server, BackendState::Ready, faults.fleet.figures.add_notice);
        });
    }

    /// The links that lead into a zone, or from a zone into another.
    fn of_zone(&self, zone: usize, ends: LinkEnds) -> bool {
        let process = &self.fleet.processes[ends.process()];
        match ends {
            LinkEnds::Server { server, .. } => {
                self.fleet.servers[server].figures.zone == zone || process.zone == zone
            }
            LinkEnds::Door { .. } | LinkEnds::List { .. } | LinkEnds::Keeper { .. } => process.zone == zone,
        }
    }

    fn servers_of(&self, zone: usize) -> Vec<usize> {
        let all = self.fleet.servers.iter().enumerate();
        all.filter(|(_, server)| server.figures.zone == zone).map(|(number, _)| number).collect()
    }

    fn fronts_of(&self, zone: usize) -> Vec<usize> {
        (0..self.fleet.fronts).filter(|front| self.fleet.processes[*front].zone == zone).collect()
    }

    /// Servers that are gone from the network, with the proxies that stand beside them and some links.
    fn lose(self: &Rc<Faults>, servers: &[usize], links: impl Fn(LinkEnds) -> bool) {
        self.fleet.set(Fault::Silent, links);
        servers.iter().for_each(|server| self.die(*server, true));
    }

    fn give_back(self: &Rc<Faults>, servers: &[usize], links: impl Fn(LinkEnds) -> bool) {
        for (_, link) in self.fleet.links.iter().filter(|(ends, _)| links(*ends)) {
            link.reset();
            link.set(Fault::None);
        }
        for server in servers {
            // Until its process listens, connections are refused.
            self.fleet.servers[*server].die(false);
            self.revive(*server);
        }
    }

    /// The links to some servers, and those of the proxies beside them.
    fn is_about(&self, servers: &[usize], ends: LinkEnds) -> bool {
        let own = servers.iter().any(|s| self.fleet.servers[*s].own_proxy() == Some(ends.process()));
        own || matches!(ends, LinkEnds::Server { server, .. } if servers.contains(&server))
    }

    /// One after another: the list says that it drains; it serves on for a while, ends, and starts again cold.
    fn release(self: &Rc<Faults>, failure: &DrawnFailure) {
        let machines = self.meant(failure);
        let each = failure.lasts / machines.len() as f64;
        for (i, server) in machines.into_iter().enumerate() {
            let faults = self.clone();
            spawn_local(async move {
                let history = faults.fleet.history.clone();
                let begins = history.now() + i as f64 * each;
                sleep_until(history.instant(begins)).await;
                let of = faults.fleet.servers[server].clone();
                let notice = faults.fleet.figures.notice;
                faults.list(server, BackendState::Draining, notice);
                let stops = begins + 0.8 * each;
                // Never before all know of it: such a stop would be a crash.
                let refuses = (begins + notice + faults.fleet.figures.serves_on).min(stops);
                sleep_until(history.instant(refuses)).await;
                of.drain(true);
                sleep_until(history.instant(stops)).await;
                faults.die(server, false);
                sleep(Duration::from_secs_f64(RESTART_MS / 1e3)).await;
                faults.revive(server);
            });
        }
    }

    /// Fronts are restarted in order, one after another.
    async fn roll(self: &Rc<Faults>, failure: &DrawnFailure) {
        let fronts = self.fronts(failure.part);
        let each = Duration::from_secs_f64(failure.lasts / fronts.len() as f64 / 1e3);
        for front in fronts {
            let faults = self.clone();
            spawn_local(async move { faults.restart(front).await });
            sleep(each).await;
        }
    }

    async fn restart(self: Rc<Faults>, front: usize) {
        self.sure(self.fleet.signal(front, ProcessSignal::Term));
        let deadline = self.fleet.figures.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let until = self.fleet.history.now() + deadline + KILL_MS;
        while self.fleet.processes[front].runs.get() {
            if self.fleet.history.now() > until {
                self.sure(self.fleet.signal(front, ProcessSignal::Kill));
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        let started = self.fleet.start_process(front).await;
        self.sure(started);
    }

    fn cut(&self, failure: &DrawnFailure, begins: bool) {
        let cut = &failure.cut;
        let fault = match cut.mode {
            _ if !begins => Fault::None,
            CutMode::Silent => Fault::Silent,
            CutMode::LoseForth => Fault::LoseForth,
            CutMode::LoseBack => Fault::LoseBack,
            CutMode::Reset => Fault::Reset,
            CutMode::Refuse => Fault::Refuse,
            CutMode::Delay => Fault::Delay(Duration::from_secs_f64(cut.delay / 1e3)),
        };
        let copies = |tier: usize| self.fleet.processes.iter().filter(|p| p.tier == tier).count();
        let meant = |ends: LinkEnds| {
            let of = &self.fleet.processes[ends.process()];
            let from = cut.is_from(failure.part, (of.rank, copies(of.tier)), of.zone);
            from && match (cut.link, ends) {
                (LinkKind::ProxyServer, LinkEnds::Server { server, .. }) => {
                    of.tier == failure.tier && cut.is_to(self.fleet.servers[server].figures.zone)
                }
                (LinkKind::ClientFront, LinkEnds::Door { .. }) => true,
                (LinkKind::ProxyDiscovery, LinkEnds::List { .. }) => of.tier == failure.tier,
                _ => false,
            }
        };
        self.fleet.set(fault, meant);
        if begins && cut.link == LinkKind::ClientFront {
            let (from, to) = (failure.at, failure.at + failure.lasts);
            let doors = self.fleet.links.iter().map(|(ends, _)| *ends).filter(|ends| meant(*ends));
            for process in doors.map(LinkEnds::process) {
                self.fleet.history.note(|seen| seen.cuts.push(CutSeen { process, from, to }));
            }
        }
    }
}
