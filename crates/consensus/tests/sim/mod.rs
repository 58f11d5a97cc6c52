//! The simulated fleet.

use hillstall_change_freeze::detection::Thresholds;
use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{ChangeRequest, FreezeCommand as Freeze, Requester, Response};
use hillstall_consensus::frame::Frame;
use hillstall_consensus::load_reports::{LoadReport, SiteCounts};
use hillstall_consensus::node::{AuditEvent, Destination, Node, NodeConfig, Output};
use hillstall_consensus::replica::new_id;
use hillstall_consensus::state::{Command, Outcome};
use hillstall_consensus::storage::{PersistentState, ReplicaStorage, StorageFailed, WriteBatch};
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{FencingToken, Instance, LeaseName, Millis};
use hillstall_maintenance::shift::ShiftPacing;
use hillstall_maintenance::windows::{OverrunPolicy, Stage, WindowCommand as Window, WindowPlan};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::{Duration, Instant};

const KEEPERS: usize = 3;
const COPIES: usize = 6;
const TICK: Millis = 25;
const FAULTS_FROM: Millis = 3_000;
const FAULTS_END: Millis = 40_000;
const END: Millis = 60_000;
/// Writes after which a disk that is not synced writes by itself.
const SYNC_EACH: u64 = 64;
/// Rates of clocks lie within this of the true one, so that two run apart by what the terms allow.
const RATE_PPM: u64 = 24_000;
/// When a calm fleet is measured, and its first keeper is lost at the end of that.
const CALM_FROM: Millis = 10_000;
const CALM_TO: Millis = 20_000;
const UNIX: Millis = 1_800_000_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    None,
    /// What was written last is not on the disk after a crash.
    NoSync,
    /// A disk that was lost comes back under its old name, and votes as the old one.
    OldName,
    /// Orders are carried out whatever their token.
    NoCheck,
}

/// A disk that outlives its process.
struct MemDisk {
    slot: usize,
    kept: Rc<RefCell<PersistentState>>,
    /// As it was some writes ago, and how many there were.
    before: Rc<RefCell<PersistentState>>,
    saves: u64,
    /// Nothing more can be written.
    full: Rc<Cell<bool>>,
    random: u64,
}

impl ReplicaStorage for MemDisk {
    fn load(&mut self) -> Result<PersistentState, StorageFailed> {
        let mut kept = self.kept.borrow_mut();
        if kept.id == 0 {
            kept.id = new_id(self.slot, self.random);
        }
        Ok(kept.clone())
    }

    fn save(&mut self, change: WriteBatch) -> Result<(), StorageFailed> {
        if self.full.get() {
            return Err(StorageFailed("it is full".into()));
        }
        let mut kept = self.kept.borrow_mut();
        self.saves += 1;
        if self.saves % SYNC_EACH == 1 {
            *self.before.borrow_mut() = kept.clone();
        }
        change.apply(&mut kept);
        Ok(())
    }

    fn reset(&mut self) -> Result<PersistentState, StorageFailed> {
        self.random = self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        let id = new_id(self.slot, self.random >> 16);
        *self.kept.borrow_mut() = PersistentState { id, ..PersistentState::default() };
        Ok(self.kept.borrow().clone())
    }
}

struct Clock {
    from: Millis,
    ppm: u64,
    /// What the system's clock is off by.
    steps: i64,
}

impl Clock {
    fn read(&self, now: Millis) -> Millis {
        self.from + now * self.ppm / 1_000_000
    }
}

struct One {
    life: u64,
    member: Option<Node<MemDisk>>,
    clock: Clock,
    kept: Rc<RefCell<PersistentState>>,
    before: Rc<RefCell<PersistentState>>,
    old: Option<PersistentState>,
    full: Rc<Cell<bool>>,
    stopped_until: Millis,
    highest: BTreeMap<LeaseName, FencingToken>,
    follows: Option<usize>,
}

enum Happens {
    Tick(usize, u64),
    Report(usize),
    Frame(usize, u64, usize, Frame),
    Connected(usize, u64, usize),
    Start(usize),
    Person,
    Trouble,
    Heal(Vec<(usize, usize)>),
    Measure,
    Lose,
    MakeRoom(usize),
}

/// What a calm fleet costs.
pub struct Measured {
    /// Bytes that came to each copy.
    pub bytes: Vec<u64>,
    /// The time that each copy computed.
    pub busy: Vec<Duration>,
    /// When each follower of the lost keeper had the state from another.
    pub changed: BTreeMap<usize, Millis>,
}

pub struct Sim {
    fault: Fault,
    copies: usize,
    pub measured: Option<Measured>,
    random: Xoshiro256PlusPlus,
    now: Millis,
    pub events: u64,
    queue: BinaryHeap<Reverse<(Millis, u64)>>,
    what: BTreeMap<u64, Happens>,
    ones: Vec<One>,
    cut: BTreeMap<(usize, usize), u32>,
    last: BTreeMap<(usize, usize), Millis>,
    states: BTreeMap<u64, u64>,
    tickets: u64,
    pub acknowledged: Vec<u64>,
    pub carried_out: u64,
    pub wrong: Vec<String>,
    pub digest: u64,
    worn: Millis,
    /// `HILLSTALL_TRACE` tells on standard error what each copy does.
    traced: bool,
}

fn name(i: usize) -> String {
    ["north", "south", "west"][i % 3].to_owned()
}

impl Sim {
    pub fn new(seed: u64, fault: Fault) -> Sim {
        let mut sim = Sim::of(COPIES, seed, fault);
        sim.at(2_000, Happens::Person);
        sim.at(FAULTS_FROM, Happens::Trouble);
        sim
    }

    /// A fleet of any size that nothing happens to but the loss of one keeper, for figures.
    pub fn calm(copies: usize, seed: u64) -> Sim {
        let mut sim = Sim::of(copies, seed, Fault::None);
        sim.measured = Some(Measured {
            bytes: vec![0; copies],
            busy: vec![Duration::ZERO; copies],
            changed: BTreeMap::new(),
        });
        sim.at(CALM_FROM, Happens::Measure);
        sim.at(CALM_TO, Happens::Measure);
        sim.at(CALM_TO, Happens::Lose);
        sim
    }

    fn of(copies: usize, seed: u64, fault: Fault) -> Sim {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let ones = (0..copies).map(|_| One {
            life: 0,
            member: None,
            clock: Clock {
                from: random.next_u64() % 1_000_000_000,
                ppm: 1_000_000 - RATE_PPM + random.next_u64() % (2 * RATE_PPM),
                steps: 0,
            },
            kept: Rc::default(),
            before: Rc::default(),
            old: None,
            full: Rc::default(),
            stopped_until: 0,
            highest: BTreeMap::new(),
            follows: None,
        });
        let mut sim = Sim {
            fault,
            copies,
            measured: None,
            ones: ones.collect(),
            random,
            now: 0,
            events: 0,
            queue: BinaryHeap::new(),
            what: BTreeMap::new(),
            cut: BTreeMap::new(),
            last: BTreeMap::new(),
            states: BTreeMap::new(),
            tickets: 0,
            acknowledged: Vec::new(),
            carried_out: 0,
            wrong: Vec::new(),
            digest: 0,
            worn: 0,
            traced: std::env::var_os("HILLSTALL_TRACE").is_some(),
        };
        for i in 0..copies {
            let when = sim.below(300);
            sim.at(when, Happens::Start(i));
        }
        sim
    }

    fn at(&mut self, when: Millis, what: Happens) {
        self.events += 1;
        self.queue.push(Reverse((when, self.events)));
        self.what.insert(self.events, what);
    }

    fn below(&mut self, n: u64) -> u64 {
        self.random.next_u64() % n
    }

    pub fn run(mut self) -> Sim {
        while let Some(Reverse((when, id))) = self.queue.pop() {
            if when > END || !self.wrong.is_empty() {
                break;
            }
            self.now = when;
            if let Some(what) = self.what.remove(&id) {
                self.happen(what);
                if self.measured.is_none() {
                    self.look();
                } else if self.now > CALM_TO + 10_000 {
                    break;
                }
            }
        }
        if self.wrong.is_empty() && self.measured.is_none() {
            self.judge_end();
        }
        self
    }

    fn start(&mut self, i: usize) {
        let seed = self.random.next_u64();
        let one = &mut self.ones[i];
        one.life += 1;
        let slot = (i < KEEPERS).then_some(i);
        let disk = slot.map(|slot| MemDisk {
            slot,
            kept: one.kept.clone(),
            before: one.before.clone(),
            saves: 0,
            full: one.full.clone(),
            random: seed >> 8,
        });
        let setup = NodeConfig {
            instance: Instance { rank: i as u32, life: one.life },
            slot,
            replicas: KEEPERS,
            site: name(i),
            sites: (0..3).map(name).collect(),
            lease_timing: LeaseTiming::new(2_000, 50_000, 100).expect("terms"),
            pacing: ShiftPacing { step_interval: 300, ..ShiftPacing::default() },
            thresholds: Thresholds::default(),
            command_ttl: 4_000,
            ramp_duration: 6_000,
            seed,
        };
        one.member = Some(Node::start(setup, disk, one.clock.read(self.now)));
        (one.highest, one.follows) = (BTreeMap::new(), None);
        let life = one.life;
        self.at(self.now, Happens::Tick(i, life));
        self.at(self.now + 500, Happens::Report(i));
        self.drain(i);
    }

    fn happen(&mut self, what: Happens) {
        let now = self.now;
        match what {
            Happens::Start(i) => self.start(i),
            Happens::Tick(i, life) => {
                let one = &mut self.ones[i];
                if one.life != life || one.member.is_none() {
                    return;
                }
                if one.stopped_until > now {
                    let until = one.stopped_until;
                    return self.at(until, Happens::Tick(i, life));
                }
                let (local, unix) = one.clocks(now);
                let at = Instant::now();
                if let Some(member) = &mut one.member {
                    member.tick(local, unix);
                }
                self.busy(i, at);
                self.drain(i);
                self.at(now + TICK, Happens::Tick(i, life));
            }
            Happens::Report(i) => {
                let one = &mut self.ones[i];
                let local = one.clock.read(now);
                if let Some(member) = one.member.as_mut().filter(|_| one.stopped_until <= now) {
                    let away = 1.0 - member.site_fraction("north", local);
                    let counts = |sent: f64| SiteCounts {
                        sent: sent as u32,
                        served: sent as u32,
                        unanswered: 0,
                        utilization_percent: (sent * 0.5) as u8,
                        fraction: 0,
                    };
                    let more = 100.0 + 50.0 * away;
                    let sites = [("north", 100.0 - 100.0 * away), ("south", more), ("west", more)];
                    let sites = sites.map(|(site, sent)| (site.to_owned(), counts(sent)));
                    let report = LoadReport {
                        period_ms: 500,
                        requests: 200,
                        sites: sites.into(),
                        ..LoadReport::default()
                    };
                    member.on_report(local, report);
                }
                self.drain(i);
                self.at(now + 500, Happens::Report(i));
            }
            Happens::Connected(i, life, keeper) => {
                let one = &self.ones[i];
                if one.life != life || one.follows != Some(keeper) || self.ones[keeper].member.is_none() {
                    return;
                }
                if self.is_cut(i, keeper) || self.is_cut(keeper, i) || self.ones[keeper].stopped_until > now {
                    return self.at(now + 200, Happens::Connected(i, life, keeper));
                }
                let copy = Instance { rank: i as u32, life };
                let local = self.ones[keeper].clock.read(now);
                if let Some(member) = &mut self.ones[keeper].member {
                    member.on_attached(local, copy);
                }
                if let Some(member) = &mut self.ones[i].member {
                    member.on_connection(keeper, true);
                }
            }
            Happens::Frame(to, life, from, frame) => {
                let one = &mut self.ones[to];
                if one.life != life || one.member.is_none() {
                    return;
                }
                if one.stopped_until > now {
                    let until = one.stopped_until;
                    return self.at(until, Happens::Frame(to, life, from, frame));
                }
                let local = one.clock.read(now);
                let from_life = self.ones[from].life;
                if let Some(measured) = &mut self.measured {
                    if now <= CALM_TO {
                        measured.bytes[to] += frame.encode().len() as u64 + 4;
                    } else if matches!(frame, Frame::State(_)) {
                        measured.changed.entry(to).and_modify(|at| *at = (*at).min(now - CALM_TO));
                    }
                }
                let at = Instant::now();
                if let Some(member) = &mut self.ones[to].member {
                    match from < KEEPERS {
                        true => member.on_replica_frame(local, from, frame),
                        false => member.on_instance_frame(
                            local,
                            Instance { rank: from as u32, life: from_life },
                            frame,
                        ),
                    }
                }
                self.busy(to, at);
                self.drain(to);
            }
            Happens::Measure => {
                if let Some(measured) = self.measured.as_mut().filter(|_| now == CALM_FROM) {
                    measured.bytes.fill(0);
                    measured.busy.fill(Duration::ZERO);
                }
            }
            Happens::Lose => {
                let all = self.ones.iter().enumerate();
                let followers: Vec<usize> =
                    all.filter(|(_, one)| one.follows == Some(0)).map(|(i, _)| i).collect();
                if let Some(measured) = &mut self.measured {
                    measured.changed = followers.into_iter().map(|i| (i, Millis::MAX)).collect();
                }
                self.kill(0);
            }
            Happens::MakeRoom(i) => {
                self.ones[i].full.set(false);
                if self.ones[i].member.is_some() {
                    self.kill(i);
                    self.at(now + 100, Happens::Start(i));
                }
            }
            Happens::Person => self.person(),
            Happens::Trouble => self.trouble(),
            Happens::Heal(links) => {
                for link in links {
                    if let Some(cuts) = self.cut.get_mut(&link) {
                        *cuts = cuts.saturating_sub(1);
                    }
                }
            }
        }
    }

    fn busy(&mut self, i: usize, since: Instant) {
        let calm = (CALM_FROM..=CALM_TO).contains(&self.now);
        if let Some(measured) = self.measured.as_mut().filter(|_| calm) {
            measured.busy[i] += since.elapsed();
        }
    }

    fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cut.get(&(from, to)).is_some_and(|cuts| *cuts > 0)
    }

    /// Carries out what a member wants.
    fn drain(&mut self, i: usize) {
        let Some(member) = &mut self.ones[i].member else { return };
        let out = member.take_outputs();
        let life = self.ones[i].life;
        for out in out {
            if self.traced && !matches!(out, Output::Send(..) | Output::SiteFraction(..)) {
                eprintln!("{} {i}/{life} {out:?}", self.now);
            }
            match out {
                Output::Send(Destination::Replica(k), frame) => self.send(i, k, frame),
                Output::Send(Destination::Instance(copy), frame) => {
                    let to = copy.rank as usize;
                    if self.ones[to].life == copy.life && self.ones[to].follows == Some(i) {
                        self.send(i, to, frame);
                    }
                }
                Output::Follow(keeper) => {
                    if let Some(old) = self.ones[i].follows.replace(keeper) {
                        if let Some(member) = &mut self.ones[old].member {
                            member.on_detached(Instance { rank: i as u32, life });
                        }
                    }
                    self.at(self.now + 2, Happens::Connected(i, life, keeper));
                }
                Output::Audit(did) => self.did(i, did),
                Output::Answered(_, Some(Outcome::Freeze(Response::Accepted(number)))) => {
                    self.acknowledged.push(number)
                }
                Output::Answered(..) | Output::SiteFraction(..) | Output::Log(_) => {}
            }
        }
    }

    fn did(&mut self, i: usize, did: AuditEvent) {
        let mut hasher = DefaultHasher::new();
        (self.digest, self.now, i, format!("{did:?}")).hash(&mut hasher);
        self.digest = hasher.finish();
        let order = match did {
            AuditEvent::CommandApplied(order) => order,
            AuditEvent::CommandRejected(order, _) if self.fault == Fault::NoCheck => order,
            _ => return,
        };
        self.carried_out += 1;
        let highest = self.ones[i].highest.entry(order.lease.clone()).or_default();
        if order.token < *highest {
            let line = format!("{}: copy {i} carried out {order:?} after {highest:?}", self.now);
            self.wrong.push(line);
        }
        let highest = self.ones[i].highest.entry(order.lease).or_default();
        *highest = (*highest).max(order.token);
    }

    fn send(&mut self, from: usize, to: usize, frame: Frame) {
        let troubled = self.now > FAULTS_FROM && self.now < FAULTS_END;
        if self.is_cut(from, to) {
            return;
        }
        // A stream's frames come in order, as they do over one connection; others may be late, double or reordered.
        let loose = matches!(frame, Frame::FencedCommand(_) | Frame::Replica(_) | Frame::Propose(_));
        let wait = 1 + self.below(8);
        let when = self.now + wait;
        let life = self.ones[to].life;
        if troubled && loose && self.below(50) == 0 {
            let late = self.now + self.below(30_000);
            self.at(late, Happens::Frame(to, life, from, frame.clone()));
            if self.below(2) == 0 {
                return;
            }
        }
        let last = self.last.entry((from, to)).or_default();
        let when = when.max(*last);
        *last = when;
        self.at(when, Happens::Frame(to, life, from, frame));
    }

    /// Somebody plans a window, opens an incident, or asks for a permit, at a copy that may be anywhere.
    fn person(&mut self) {
        let i = self.below(self.copies as u64) as usize;
        let command = match self.below(6) {
            0 | 1 => {
                let site = self.below(2) as usize;
                let begin = UNIX + self.now + 6_000 + self.below(4_000);
                let plan = WindowPlan {
                    site: name(site),
                    starts_at: begin,
                    duration: 3_000,
                    lead_time: 12_000,
                    max_delay: 6_000,
                    reserve_percent: 10,
                    overrun_policy: OverrunPolicy::Return,
                };
                Command::Window { token: None, command: Window::Plan(plan) }
            }
            2 if self.now > 20_000 => Command::Freeze(Freeze::OpenIncident {
                severity: Severity::Minor,
                scope: Scope::Tenant(format!("t{}", self.now)),
                evidence: "seen".into(),
                opened_by: Requester::Person("ann".into()),
            }),
            _ => Command::Freeze(Freeze::RequestChange(ChangeRequest {
                kind: ChangeKind::Settings,
                scope: Scope::Class(format!("c{}", self.now % 3)),
                requested_by: "tom".into(),
                priority: 1,
                max_duration: 3_000,
                reaction: Reaction::Finish,
            })),
        };
        self.tickets += 1;
        let (ticket, now) = (self.tickets, self.now);
        let one = &mut self.ones[i];
        let local = one.clock.read(now);
        if let Some(member) = one.member.as_mut().filter(|_| one.stopped_until <= now) {
            member.request(local, ticket, command);
        }
        self.drain(i);
        let next = now + 300 + self.below(1_500);
        // Nobody acts in the last seconds, so that followers can be held to what was acknowledged.
        if next < END - 3_000 {
            self.at(next, Happens::Person);
        }
    }

    fn kill(&mut self, i: usize) {
        let one = &mut self.ones[i];
        (one.member, one.stopped_until) = (None, 0);
        one.life += 1;
        // Its connections are seen to break.
        let copies: Vec<usize> =
            (KEEPERS..self.copies).filter(|c| self.ones[*c].follows == Some(i)).collect();
        for copy in copies {
            if let Some(member) = &mut self.ones[copy].member {
                member.on_connection(i, false);
            }
            let life = self.ones[copy].life;
            self.at(self.now + 200, Happens::Connected(copy, life, i));
        }
        if self.fault == Fault::NoSync {
            let before = self.ones[i].before.borrow().clone();
            *self.ones[i].kept.borrow_mut() = before;
        }
    }

    fn cut_links(&mut self, links: Vec<(usize, usize)>) {
        for link in &links {
            *self.cut.entry(*link).or_default() += 1;
        }
        let long = 300 + self.below(6_000);
        self.at(self.now + long, Happens::Heal(links));
    }

    fn trouble(&mut self) {
        let now = self.now;
        if now >= FAULTS_END {
            for i in 0..self.copies {
                if self.ones[i].member.is_none() {
                    self.at(now, Happens::Start(i));
                }
                self.ones[i].stopped_until = self.ones[i].stopped_until.min(now);
            }
            return;
        }
        let i = self.below(self.copies as u64) as usize;
        let all = 0..self.copies;
        match self.below(12) {
            // One is cut off, in one direction or in both.
            0 => self.cut_links(all.filter(|j| *j != i).map(|j| (i, j)).collect()),
            1 => self.cut_links(all.filter(|j| *j != i).map(|j| (j, i)).collect()),
            2 => self.cut_links(all.filter(|j| *j != i).flat_map(|j| [(i, j), (j, i)]).collect()),
            // From the keepers alone.
            3 => {
                let keepers = (0..KEEPERS).filter(|j| *j != i);
                self.cut_links(keepers.flat_map(|j| [(i, j), (j, i)]).collect());
            }
            4 | 5 => {
                let long = [300, 2_500, 9_000][self.below(3) as usize];
                self.ones[i].stopped_until = self.ones[i].stopped_until.max(now + long);
            }
            6 | 7 if self.ones[i].member.is_some() => {
                self.kill(i);
                let again = now + self.below(3_000);
                self.at(again, Happens::Start(i));
            }
            // All keepers at once.
            9 if self.below(3) == 0 => {
                for keeper in 0..KEEPERS {
                    if self.ones[keeper].member.is_some() {
                        self.kill(keeper);
                        let again = now + self.below(1_500);
                        self.at(again, Happens::Start(keeper));
                    }
                }
            }
            // A keeper loses its disk, or gets an older copy of it; the next one only once all is well again.
            8 if i < KEEPERS && self.is_whole() && now > self.worn => {
                self.worn = now + 5_000;
                self.kill(i);
                let one = &mut self.ones[i];
                let old = one.old.take().filter(|_| self.fault == Fault::None);
                let id = if self.fault == Fault::OldName { one.kept.borrow().id } else { 0 };
                let founders = if id == 0 { Vec::new() } else { one.kept.borrow().founders.clone() };
                let blank = PersistentState {
                    id,
                    boot: if id == 0 { 0 } else { 50 },
                    founders,
                    ..PersistentState::default()
                };
                *one.kept.borrow_mut() = old.unwrap_or(blank);
                self.at(now + 200, Happens::Start(i));
            }
            // A disk is full until somebody makes room and starts the copy again.
            10 if i < KEEPERS && self.ones[i].member.is_some() => {
                self.ones[i].full.set(true);
                let long = 500 + self.below(4_000);
                self.at(now + long, Happens::MakeRoom(i));
            }
            _ => {
                // A clock steps, and a copy of a disk is put by.
                let step = self.below(7_200_000) as i64 - 3_600_000;
                let one = &mut self.ones[i];
                one.clock.steps = step;
                one.old = Some(one.kept.borrow().clone()).filter(|kept| kept.participates);
            }
        }
        let next = now + 200 + self.below(2_500);
        self.at(next, Happens::Trouble);
    }

    /// Whether all keepers run, are members, and know the same: then one of them may lose all that it knows.
    fn is_whole(&self) -> bool {
        let keepers = || self.ones[..KEEPERS].iter().map(|one| one.member.as_ref().and_then(|m| m.replica()));
        let ids: Vec<u64> = keepers().flatten().map(|k| k.id()).collect();
        let applied = keepers().flatten().map(|k| k.applied());
        ids.len() == KEEPERS
            && self.cut.values().all(|cuts| *cuts == 0)
            && self.ones.iter().all(|one| one.stopped_until <= self.now)
            && keepers()
                .flatten()
                .all(|k| ids.iter().all(|id| k.members().contains(id)) && k.members().len() == KEEPERS)
            && applied.clone().max().unwrap_or(0) - applied.min().unwrap_or(0) < 3
    }

    fn look(&mut self) {
        let now = self.now;
        let mut held: BTreeMap<LeaseName, usize> = BTreeMap::new();
        for one in &self.ones {
            let Some(member) = &one.member else { continue };
            for (duty, _) in member.held_leases(one.clock.read(now)) {
                *held.entry(duty).or_default() += 1;
            }
        }
        if let Some((duty, many)) = held.iter().find(|(_, many)| **many > 1) {
            self.wrong.push(format!("{now}: {many} copies hold {duty}"));
        }
        for i in 0..KEEPERS {
            let Some(keeper) = self.ones[i].member.as_ref().and_then(|m| m.replica()) else { continue };
            let (state, index) = (keeper.state(), keeper.state().index());
            if self.states.contains_key(&index) && !self.events.is_multiple_of(16) {
                continue;
            }
            let mut hasher = DefaultHasher::new();
            state.hash(&mut hasher);
            let hash = hasher.finish();
            if *self.states.entry(index).or_insert(hash) != hash {
                self.wrong.push(format!("{now}: keeper {i} knows another state of index {index}"));
            }
            let wrong = state.freeze().check_invariants().or(state.windows().check_invariants());
            self.wrong.extend(wrong.map(|why| format!("{now}: {why}")));
        }
    }

    fn judge_end(&mut self) {
        for i in 0..self.copies {
            let Some(member) = &self.ones[i].member else {
                self.wrong.push(format!("copy {i} is not there at the end"));
                continue;
            };
            let state = member.state();
            let lost = self.acknowledged.iter().find(|n| {
                let known = state.freeze().incidents().contains_key(n);
                !known && !state.freeze().audit_log().iter().any(|line| line.subject == **n)
            });
            if let Some(lost) = lost {
                self.wrong.push(format!("copy {i} has forgotten what was acknowledged as {lost}"));
            }
            if !member.accepts_commands() {
                self.wrong.push(format!("the gates of copy {i} are closed"));
            }
        }
        let coordinator = LeaseName::new(hillstall_consensus::state::COORDINATOR_LEASE).expect("a name");
        let held = self.ones.iter().filter_map(|one| Some((one.member.as_ref()?, one.clock.read(self.now))));
        let held: usize = held
            .map(|(m, now)| m.held_leases(now).iter().filter(|(duty, _)| *duty == coordinator).count())
            .sum();
        if held != 1 {
            self.wrong.push(format!("{held} coordinators 20 s after the last fault"));
        }
        let keepers = self.ones[..KEEPERS].iter().filter_map(|o| Some(o.member.as_ref()?.state().index()));
        let (low, high) = (keepers.clone().min().unwrap_or(0), keepers.max().unwrap_or(0));
        if high - low > 40 {
            self.wrong.push(format!("some keepers know much less than others: {low} and {high}"));
        }
        // Followers are told what matters of duties, so they know who holds them and not each sign of life.
        let held = |m: &Node<MemDisk>| {
            let duties = m.state().leases().leases();
            let duties = duties.map(|(d, grant, _)| (d.clone(), grant.map(|g| g.token))).collect::<Vec<_>>();
            (duties, m.state().freeze().incidents().clone())
        };
        let known: Vec<_> = self.ones.iter().filter_map(|o| Some(held(o.member.as_ref()?))).collect();
        if known.windows(2).any(|pair| pair[0] != pair[1]) {
            self.wrong.push(format!("copies differ over who holds what: {known:?}"));
        }
    }

    pub fn applied_most(&self) -> u64 {
        self.ones.iter().filter_map(|o| Some(o.member.as_ref()?.state().index())).max().unwrap_or(0)
    }

    pub fn windows_begun(&self) -> usize {
        let state = self.ones[0].member.as_ref().map(|m| m.state());
        let begun = |w: &&hillstall_maintenance::windows::Window| {
            w.fraction < 1_000 || (w.stage == Stage::Done && w.reason.is_empty())
        };
        state.map_or(0, |s| s.windows().all().values().filter(begun).count())
    }
}

impl One {
    fn clocks(&self, now: Millis) -> (Millis, Millis) {
        let unix = (UNIX + now) as i64 + self.clock.steps;
        (self.clock.read(now), unix as Millis)
    }
}
