//! A scenario in simulated time: clients, proxies that run a policy, machines, and what goes wrong. One seed and one
//! policy give one run, to the byte.

pub mod accounting;
pub mod arrivals;
mod attempts;
mod clients;
mod failures;
mod link_faults;
mod proxy_restarts;
mod queue;
mod recorded_day;
pub mod setup;
pub mod side_effects;

pub use accounting::{RunSummary, Second};
pub use recorded_day::DayError;

use crate::model::machine::{Job, Kind, Machine};
use crate::policy::{Policy, PolicyName};
use crate::scenario::Scenario;
use arrivals::{Arrival, Arrivals};
use hillstall_decision::{Action, BackendInfo, BackendState, Event, ListKind};
use queue::{Happening, Queue};
use rand_xoshiro::rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;
use setup::{DrawnScenario, Stream};

/// How often the machines' state is written down.
const LOOK_MS: f64 = 100.0;

struct Host {
    machine: Machine,
    tier: usize,
    /// Its place in the tier.
    place: usize,
    zone: usize,
    /// Of the list: what is true now; proxies are told later.
    state: BackendState,
    started_at: Option<f64>,
    /// Cut off from the network.
    lost: bool,
    /// Takes nothing new, as if it were full.
    turns_away: bool,
    stamp: u64,
    /// Its own proxy to the next tier.
    proxy: Option<usize>,
    /// When the proxies were told that it drains or is gone.
    told_away: Option<f64>,
}

struct Proxy {
    policy: Box<dyn Policy>,
    tier: usize,
    rank: usize,
    zone: usize,
    /// How many times the calls of a common one it gets.
    heat: f64,
    alive: bool,
    /// It ends in order: it takes nothing new, and all know it.
    leaves: bool,
    /// It is gone with its machine, which refuses nothing and says nothing.
    silent: bool,
    /// Since when it is gone.
    gone_at: f64,
}

#[derive(Clone, Copy)]
enum Caller {
    Client { call: usize, no: u32 },
    Machine { attempt: usize },
}

struct Ask {
    proxy: usize,
    caller: Caller,
    class: usize,
    tenant: usize,
    work: f64,
    give_up_at: f64,
    attempts: u32,
    out: Option<usize>,
    answered: bool,
    gone: bool,
}

struct Attempt {
    ask: usize,
    no: u32,
    machine: usize,
    sent_at: f64,
    /// Its end was told to the policy.
    over: bool,
    /// The machine holds it; what a process held that has died is held no more.
    held: bool,
    /// Nobody waits for it any more.
    dropped: bool,
    phases_left: usize,
    phase_work: f64,
    below: Option<usize>,
}

struct Call {
    class: usize,
    tenant: usize,
    work: f64,
    worth: f64,
    first_at: f64,
    deadline_at: f64,
    zone: usize,
    no: u32,
    /// The request at the proxy that the current try became.
    ask: Option<usize>,
    closed: bool,
}

/// One run.
struct World {
    figures: DrawnScenario,
    now: f64,
    queue: Queue,
    hosts: Vec<Host>,
    tiers: Vec<Vec<usize>>,
    proxies: Vec<Proxy>,
    before: Vec<Vec<usize>>,
    asks: Vec<Ask>,
    attempts: Vec<Attempt>,
    calls: Vec<Call>,
    arrivals: Arrivals,
    /// The next call to set out.
    coming: Option<Arrival>,
    network: Xoshiro256PlusPlus,
    discovery_down: bool,
    untold: Vec<usize>,
    /// News that proxies cut off from the list have missed: proxy and machine.
    missed: Vec<(usize, usize)>,
    /// Cuts that are in force.
    cuts: Vec<usize>,
    named: PolicyName,
    seeds: Xoshiro256PlusPlus,
    done: Vec<Job>,
    tally: RunSummary,
    account: side_effects::Account,
    looked_at: f64,
}

/// Runs a scenario under a policy in simulated time.
pub fn run(scenario: &Scenario, policy: PolicyName, seed: u64) -> RunSummary {
    play(setup::draw(scenario, seed), policy, seed)
}

/// A day of the bench, read.
pub struct Day {
    figures: DrawnScenario,
    /// Troubles that the lab has no model for.
    pub unknown: Vec<String>,
}

impl Day {
    /// Reads a day file.
    pub fn read(text: &str) -> Result<Day, DayError> {
        let (figures, unknown) = recorded_day::figures(text)?;
        Ok(Day { figures, unknown })
    }

    /// Plays it under a policy in simulated time.
    pub fn run(&self, policy: PolicyName, seed: u64) -> RunSummary {
        play(self.figures.clone(), policy, seed)
    }
}

fn play(figures: DrawnScenario, policy: PolicyName, seed: u64) -> RunSummary {
    let mut world = World::new(figures, policy, seed);
    while let Some((at, what)) = world.queue.next() {
        world.now = at;
        world.happen(what);
        world.look();
    }
    let open = world.asks.iter().filter(|a| !a.answered && !a.gone).count() as u64;
    world.tally.wrong_answers += open;
    let account = std::mem::take(&mut world.account);
    let place = |host: usize| world.hosts[host].place;
    let start = |host: usize| world.figures.cold_start(world.hosts[host].tier, place(host));
    world.tally.harm = account.close(&world.figures, world.tally.by_proxy(), start);
    let chokes = world.hosts.iter().map(|h| u64::from(h.machine.chokes())).sum();
    world.tally.close(chokes)
}

impl World {
    fn new(figures: DrawnScenario, policy: PolicyName, seed: u64) -> World {
        let mut world = World {
            now: 0.0,
            queue: Queue::default(),
            hosts: Vec::new(),
            tiers: Vec::new(),
            proxies: Vec::new(),
            before: vec![Vec::new(); figures.tiers.len()],
            asks: Vec::new(),
            attempts: Vec::new(),
            calls: Vec::new(),
            arrivals: Arrivals::new(&figures, seed),
            coming: None,
            network: setup::chance(seed, Stream::Network),
            discovery_down: false,
            untold: Vec::new(),
            missed: Vec::new(),
            cuts: Vec::new(),
            named: policy,
            seeds: setup::chance(seed, Stream::Policies),
            done: Vec::new(),
            account: side_effects::Account::new(&figures),
            tally: RunSummary::new(policy.name(), seed, figures.length, figures.shares()),
            looked_at: f64::MIN,
            figures,
        };
        world.build(policy);
        world
    }

    fn build(&mut self, policy: PolicyName) {
        let mut seeds = self.seeds.clone();
        for (tier, of) in self.figures.tiers.iter().enumerate() {
            let first = self.hosts.len();
            for (n, place) in of.places.iter().enumerate() {
                self.hosts.push(Host {
                    machine: Machine::new(Kind { speed: place.speed, ..of.kind }),
                    tier,
                    place: n,
                    zone: place.zone,
                    state: BackendState::Ready,
                    started_at: None,
                    lost: false,
                    turns_away: false,
                    stamp: 0,
                    proxy: None,
                    told_away: None,
                });
            }
            self.tiers.push((first..self.hosts.len()).collect());
        }
        for tier in 0..self.tiers.len() {
            // The first tier's proxies stand alone; each machine has one of its own to the next tier.
            let owners: Vec<Option<usize>> = match tier {
                0 => vec![None; self.figures.proxies.len()],
                _ => self.tiers[tier - 1].iter().copied().map(Some).collect(),
            };
            for (rank, owner) in owners.iter().enumerate() {
                let zone = owner.map_or_else(|| self.figures.proxies[rank], |host| self.hosts[host].zone);
                let settings = self.figures.settings(tier, rank, owners.len(), zone);
                let number = self.proxies.len();
                self.proxies.push(Proxy {
                    policy: policy.start(settings, seeds.next_u64()),
                    tier,
                    rank,
                    zone,
                    heat: self.figures.heat.get(number).copied().unwrap_or(1.0),
                    alive: true,
                    leaves: false,
                    silent: false,
                    gone_at: f64::MIN,
                });
                self.before[tier].push(number);
                if let Some(host) = *owner {
                    self.hosts[host].proxy = Some(number);
                }
                self.tell_all(number);
            }
        }
        self.seeds = seeds;
        for (index, failure) in self.figures.failures.iter().enumerate() {
            self.queue.put(failure.at, Happening::Failure { index, begins: true });
            self.queue.put(failure.at + failure.lasts, Happening::Failure { index, begins: false });
        }
        self.queue.put(0.0, Happening::Arrival);
    }

    /// Tells a proxy the whole list.
    fn tell_all(&mut self, proxy: usize) {
        let tier = self.proxies[proxy].tier;
        let list: Vec<BackendInfo> = self.tiers[tier].iter().map(|h| self.info(*h)).collect();
        self.tell(proxy, Event::EndpointsChanged { kind: ListKind::Cached, version: 0, backends: &list });
    }

    /// A machine as the list has it.
    fn info(&self, host: usize) -> BackendInfo {
        let h = &self.hosts[host];
        BackendInfo {
            id: host as u32,
            zone: h.zone as u16,
            kind: 0,
            cell: 0,
            state: h.state,
            rating: 1.0,
            started_at: h.started_at,
        }
    }

    /// Tells a proxy's policy, and carries out what it wants.
    fn tell(&mut self, proxy: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.proxies[proxy].policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.carry_out(proxy, action);
        }
    }

    fn carry_out(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send { request, backend, timeout_ms } => {
                self.send(request as usize, backend as usize, timeout_ms);
            }
            Action::Reject { request, retry_after_ms, .. } => {
                self.answer(request as usize, queue::End::Refused, retry_after_ms);
            }
            Action::Fail { request, .. } => self.answer(request as usize, queue::End::Failed, 0.0),
            Action::Cancel { request, .. } => self.call_off(request as usize),
            Action::SetTimer { after_ms, token } => {
                self.queue.put(self.now + after_ms, Happening::Timer { proxy, token });
            }
            // The list comes by itself here, and nothing is probed.
            _ => {}
        }
    }

    fn happen(&mut self, what: Happening) {
        match what {
            Happening::Arrival => self.arrive(),
            Happening::Try { call, no } => self.try_at_proxy(call, no),
            Happening::TryOver { call, no } => self.try_over(call, no),
            Happening::Final { call, no, end, come_back } => self.final_at_client(call, no, end, come_back),
            Happening::Reach { attempt } => self.reach(attempt),
            Happening::Due { machine, stamp } => {
                if self.hosts[machine].stamp == stamp {
                    let now = self.now;
                    self.hosts[machine].machine.advance(now, &mut self.done);
                    self.worked(machine);
                }
            }
            Happening::Back { attempt, outcome } => self.end_attempt(attempt, outcome),
            Happening::TimeUp { attempt } => self.time_up(attempt),
            Happening::Cancel { attempt } => self.cancel_at_machine(attempt),
            Happening::Timer { proxy, token } => self.tell(proxy, Event::Timer { token }),
            Happening::Failure { index, begins } => self.failure(index, begins),
            Happening::Roll { proxy } => self.roll(proxy),
            Happening::Release { machine, step } => self.release_step(machine, step),
            Happening::Told { machine } => self.told(machine),
        }
    }

    /// Writes down from time to time what the first tier can do.
    fn look(&mut self) {
        if self.now - self.looked_at < LOOK_MS || self.now > self.figures.length {
            return;
        }
        self.looked_at = self.now;
        let failing = self.hosts.iter().filter(|h| h.lost || !h.machine.works()).count();
        self.account.failing(failing as f64 * LOOK_MS);
        let whole = self.figures.tiers[0].able();
        let hosts = || self.tiers[0].iter().map(|h| &self.hosts[*h]).filter(|h| !h.lost);
        let able: f64 = hosts().map(|h| h.machine.capacity(self.now)).sum();
        let choked = hosts().filter(|h| h.machine.is_choked()).count() as u64;
        self.tally.looked(self.now, able / whole, choked);
    }
}
