//! What goes wrong, as the scenario has it: each failure begins and ends at its time, on processes, servers, lists and
//! links. What simulated time does to its models is done here to real ones.

use crate::fleet::{Ends, Fleet, NoDrill};
use crate::keeper::Sign;
use crate::link::Fault;
use crate::list::{unix_ms, Started};
use crate::record::Cut as CutSeen;
use hillstall_decision::BackendState;
use hillstall_simulation::scenario::{Between, Mode, What};
use hillstall_simulation::sim::setup::{some_of, FailureOf};
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

    fn sure(&self, done: Result<(), NoDrill>) {
        if let Err(why) = done {
            self.wrong.borrow_mut().push(why.to_string());
        }
    }

    /// The numbers of a tier's servers.
    fn tier(&self, tier: usize) -> std::ops::Range<usize> {
        self.fleet.figures.machines_of(tier)
    }

    /// The servers that a failure is about, as in simulated time: a part of the tier, from the first on.
    fn meant(&self, failure: &FailureOf) -> Vec<usize> {
        let all = self.tier(failure.tier);
        let count = some_of(failure.part, all.len());
        all.take(count).collect()
    }

    fn fronts(&self, part: f64) -> Vec<usize> {
        (0..some_of(part, self.fleet.fronts)).collect()
    }

    async fn begin(self: &Rc<Faults>, failure: &FailureOf) {
        match failure.what {
            What::Burst => {}
            What::DiscoveryDown => self.fleet.lists.iter().for_each(|list| list.set_down(true)),
            What::Slow => {
                let times = failure.times.max(1e-3);
                self.tier(failure.tier).for_each(|server| self.fleet.servers[server].slow(times));
            }
            What::Hang => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].hang(true));
            }
            What::TurnAway => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].drain(true));
            }
            What::Crash => self.meant(failure).into_iter().for_each(|server| self.die(server, false)),
            What::Lose => {
                let servers = self.meant(failure);
                self.lose(&servers, |ends| self.is_about(&servers, ends));
            }
            What::LoseZone => {
                let zone = failure.zone;
                self.lose(&self.servers_of(zone), |ends| self.of_zone(zone, ends));
                for front in self.fronts_of(zone) {
                    self.sure(self.fleet.signal(front, Sign::Kill));
                }
            }
            What::Release => self.release(failure),
            What::KillProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, Sign::Kill));
                }
            }
            What::StopProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, Sign::Stop));
                }
            }
            What::ReloadProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, Sign::Reload));
                }
            }
            What::RollProxies => self.roll(failure).await,
            What::Cut => self.cut(failure, true),
        }
    }

    fn end(self: &Rc<Faults>, failure: &FailureOf) {
        match failure.what {
            What::DiscoveryDown => self.fleet.lists.iter().for_each(|list| list.set_down(false)),
            What::Slow => self.tier(failure.tier).for_each(|server| self.fleet.servers[server].slow(1.0)),
            What::Hang => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].hang(false));
            }
            What::TurnAway => {
                self.meant(failure).into_iter().for_each(|server| self.fleet.servers[server].drain(false));
            }
            What::Crash => self.meant(failure).into_iter().for_each(|server| self.revive(server)),
            What::Lose => {
                let servers = self.meant(failure);
                self.give_back(&servers, |ends| self.is_about(&servers, ends));
            }
            What::LoseZone => {
                let zone = failure.zone;
                self.give_back(&self.servers_of(zone), |ends| self.of_zone(zone, ends));
                self.fronts_of(zone).into_iter().for_each(|front| self.start(front));
            }
            What::KillProxies => self.fronts(failure.part).into_iter().for_each(|front| self.start(front)),
            What::StopProxies => {
                for front in self.fronts(failure.part) {
                    self.sure(self.fleet.signal(front, Sign::Go));
                }
            }
            What::Cut => self.cut(failure, false),
            What::Burst | What::Release | What::ReloadProxies | What::RollProxies => {}
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
        let since = (status == BackendState::Ready).then(|| Started { since_ms: unix_ms(), weight });
        spawn_local(async move {
            sleep(Duration::from_secs_f64(notice / 1e3)).await;
            fleet.lists.iter().for_each(|list| list.change(server, status, since));
        });
    }

    fn die(self: &Rc<Faults>, server: usize, silently: bool) {
        let of = &self.fleet.servers[server];
        of.die(silently);
        if let Some(process) = of.own_proxy() {
            self.sure(self.fleet.signal(process, Sign::Kill));
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
    fn of_zone(&self, zone: usize, ends: Ends) -> bool {
        let process = &self.fleet.processes[ends.process()];
        match ends {
            Ends::Server { server, .. } => {
                self.fleet.servers[server].figures.zone == zone || process.zone == zone
            }
            Ends::Door { .. } | Ends::List { .. } | Ends::Keeper { .. } => process.zone == zone,
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
    fn lose(self: &Rc<Faults>, servers: &[usize], links: impl Fn(Ends) -> bool) {
        self.fleet.set(Fault::Silent, links);
        servers.iter().for_each(|server| self.die(*server, true));
    }

    fn give_back(self: &Rc<Faults>, servers: &[usize], links: impl Fn(Ends) -> bool) {
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
    fn is_about(&self, servers: &[usize], ends: Ends) -> bool {
        let own = servers.iter().any(|s| self.fleet.servers[*s].own_proxy() == Some(ends.process()));
        own || matches!(ends, Ends::Server { server, .. } if servers.contains(&server))
    }

    /// One after another: the list says that it drains; it serves on for a while, ends, and starts again cold.
    fn release(self: &Rc<Faults>, failure: &FailureOf) {
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
    async fn roll(self: &Rc<Faults>, failure: &FailureOf) {
        let fronts = self.fronts(failure.part);
        let each = Duration::from_secs_f64(failure.lasts / fronts.len() as f64 / 1e3);
        for front in fronts {
            let faults = self.clone();
            spawn_local(async move { faults.restart(front).await });
            sleep(each).await;
        }
    }

    async fn restart(self: Rc<Faults>, front: usize) {
        self.sure(self.fleet.signal(front, Sign::Term));
        let deadline = self.fleet.figures.classes.iter().map(|c| c.deadline).fold(0.0, f64::max);
        let until = self.fleet.history.now() + deadline + KILL_MS;
        while self.fleet.processes[front].runs.get() {
            if self.fleet.history.now() > until {
                self.sure(self.fleet.signal(front, Sign::Kill));
                break;
            }
            sleep(Duration::from_millis(10)).await;
        }
        let started = self.fleet.start_process(front).await;
        self.sure(started);
    }

    fn cut(&self, failure: &FailureOf, begins: bool) {
        let cut = &failure.cut;
        let fault = match cut.mode {
            _ if !begins => Fault::None,
            Mode::Silent => Fault::Silent,
            Mode::LoseForth => Fault::LoseForth,
            Mode::LoseBack => Fault::LoseBack,
            Mode::Reset => Fault::Reset,
            Mode::Refuse => Fault::Refuse,
            Mode::Delay => Fault::Delay(Duration::from_secs_f64(cut.delay / 1e3)),
        };
        let copies = |tier: usize| self.fleet.processes.iter().filter(|p| p.tier == tier).count();
        let meant = |ends: Ends| {
            let of = &self.fleet.processes[ends.process()];
            let from = cut.is_from(failure.part, (of.rank, copies(of.tier)), of.zone);
            from && match (cut.link, ends) {
                (Between::ProxyServer, Ends::Server { server, .. }) => {
                    of.tier == failure.tier && cut.is_to(self.fleet.servers[server].figures.zone)
                }
                (Between::ClientFront, Ends::Door { .. }) => true,
                (Between::ProxyDiscovery, Ends::List { .. }) => of.tier == failure.tier,
                _ => false,
            }
        };
        self.fleet.set(fault, meant);
        if begins && cut.link == Between::ClientFront {
            let (from, to) = (failure.at, failure.at + failure.lasts);
            let doors = self.fleet.links.iter().map(|(ends, _)| *ends).filter(|ends| meant(*ends));
            for process in doors.map(Ends::process) {
                self.fleet.history.note(|seen| seen.cuts.push(CutSeen { process, from, to }));
            }
        }
    }
}
