//! The loop: frames, lines, reports and time go in, and what the member wants is done.

use crate::admin_commands::{self, AdminCommand, PersonDirectory};
use crate::connections::{accept, ConnectionEvent, LocalIdentity, OutboundConnection};
use crate::millis;
use crate::redb_storage::{RedbStorage, StorageError};
use crate::settings::Settings;
use bytes::Bytes;
use hillstall_consensus::load_reports::LoadReport;
use hillstall_consensus::node::{AuditEvent, Destination, Node, NodeConfig, Output};
use hillstall_consensus::state::Command;
use hillstall_lease::Instance;
use hillstall_maintenance::windows::WindowCommand as Window;
use std::collections::BTreeMap;
use std::hash::{BuildHasher, RandomState};
use std::net::IpAddr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::net::TcpListener;
use tokio::sync::mpsc::{unbounded_channel, Sender, UnboundedReceiver, UnboundedSender};
use tokio::sync::oneshot;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{interval, sleep, timeout, MissedTickBehavior};

/// Between two looks at the time.
const TICK: Duration = Duration::from_millis(20);
/// Between two tries for a disk or an address that another process has.
const TAKEN: Duration = Duration::from_millis(100);
/// How long the end of a copy waits for its duties to be taken over.
const LEAVE_WITHIN: Duration = Duration::from_millis(1_200);
/// How far ahead windows of the calendar are planned.
const AHEAD: u64 = 24 * 3_600_000;
/// Between two looks at the calendar.
const CALENDAR: Duration = Duration::from_secs(1);
/// Lines of one kind are written at most once in so long.
const SPELL: Duration = Duration::from_secs(5);

/// Where a copy stands, as the platform tells it.
#[derive(Clone, Debug)]
pub struct InstanceLocation {
    /// Its number among all copies of all tiers.
    pub rank: u32,
    /// Its site.
    pub site: String,
    /// The fleet's sites.
    pub sites: Vec<String>,
}

/// Something for the calls' loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Advisory {
    /// A site gets this part of its usual load from now on, from 0 to 1.
    SiteFraction(String, f64),
}

/// Why the fleet's part could not be started.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// The system gives no thread.
    #[error("fleet: no thread: {0}")]
    Thread(std::io::Error),
    /// The disk of a keeper can't be used.
    #[error("fleet.disk: {0}")]
    Disk(String),
}

enum Request {
    Signal(&'static str),
    Report(LoadReport),
    Line(String, oneshot::Sender<String>),
    Leave(oneshot::Sender<()>),
}

/// What the calls' loop has of the fleet's part. All of it returns at once.
pub struct CoordinationHandle {
    say: UnboundedSender<Request>,
}

impl CoordinationHandle {
    /// What this copy has counted since it was last told.
    pub fn report(&self, report: LoadReport) {
        // The loop may have failed; calls go on.
        let _ = self.say.send(Request::Report(report));
    }

    /// A line of the second address, if it is one for the fleet. The answer comes within two seconds.
    pub fn admin_command(&self, line: &str) -> Option<oneshot::Receiver<String>> {
        let first = line.split_ascii_whitespace().next()?;
        if !["FLEET", "WINDOW", "INCIDENT", "CHANGE", "RECORD"].contains(&first) {
            return None;
        }
        let (answer, answered) = oneshot::channel();
        let _ = self.say.send(Request::Line(line.to_owned(), answer));
        Some(answered)
    }

    /// The platform has signalled this copy. It is written down as a change without a permit, and holds nothing up.
    pub fn on_signal(&self, signal: &'static str) {
        let _ = self.say.send(Request::Signal(signal));
    }

    /// This copy ends: returns once others have its duties, or after a while.
    pub async fn release_leases(&self) {
        let (done, left) = oneshot::channel();
        if self.say.send(Request::Leave(done)).is_ok() {
            let _ = timeout(LEAVE_WITHIN, left).await;
        }
    }
}

/// Starts the fleet's part on a thread of its own. A keeper without its disk does not start.
pub fn start(
    settings: Settings,
    place: InstanceLocation,
) -> Result<(CoordinationHandle, UnboundedReceiver<Advisory>), StartError> {
    if let (Some(_), Some(folder)) = (settings.keeper, &settings.disk) {
        if !folder.is_dir() {
            let why =
                format!("{}: there is no such folder; a keeper needs one that outlives it", folder.display());
            return Err(StartError::Disk(why));
        }
    }
    let (say, said) = unbounded_channel();
    let (hint, hints) = unbounded_channel();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime.inspect_err(|why| tracing::error!("fleet: {why}")) else { return };
        LocalSet::new().block_on(&runtime, Runtime::run(settings, place, said, hint));
    };
    // Whatever goes wrong in there ends this thread alone, and calls go on.
    std::thread::Builder::new().name("fleet".into()).spawn(run).map_err(StartError::Thread)?;
    Ok((CoordinationHandle { say }, hints))
}

struct Runtime {
    settings: Settings,
    place: InstanceLocation,
    own: LocalIdentity,
    zero: Instant,
    member: Node<RedbStorage>,
    tell: UnboundedSender<ConnectionEvent>,
    dialed: BTreeMap<usize, OutboundConnection>,
    attached: BTreeMap<Instance, (u64, Sender<Bytes>)>,
    lines: BTreeMap<u64, oneshot::Sender<String>>,
    tickets: u64,
    hint: UnboundedSender<Advisory>,
    leaving: Option<oneshot::Sender<()>>,
    looked_at: Instant,
    logged: BTreeMap<&'static str, (Instant, u64)>,
}

impl Runtime {
    async fn run(
        settings: Settings,
        place: InstanceLocation,
        mut said: UnboundedReceiver<Request>,
        hint: UnboundedSender<Advisory>,
    ) {
        let copy = Instance { rank: place.rank, life: RandomState::new().hash_one(std::process::id()) };
        let own = LocalIdentity {
            fleet: settings.name.clone(),
            copy,
            keeper: settings.keeper.map(|(slot, _)| slot),
        };
        let (tell, mut heard) = unbounded_channel();
        let mut disk = None;
        if let Some((slot, address)) = settings.keeper {
            let folder = settings.disk.clone().unwrap_or_default();
            // The older process of an upgrade has both until it ends.
            let opened = take(|| RedbStorage::open(&folder, slot), &mut said).await;
            let listener = take_address(address, &mut said).await;
            let (Some(opened), Some(listener)) = (opened, listener) else { return };
            disk = Some(opened);
            let mut from: Vec<IpAddr> = settings.keepers.iter().map(|keeper| keeper.ip()).collect();
            from.extend(&settings.from);
            spawn_local(accept(listener, own.clone(), move |ip| from.contains(&ip), tell.clone()));
        }
        let zero = Instant::now();
        let setup = NodeConfig {
            instance: copy,
            slot: own.keeper,
            replicas: settings.keepers.len(),
            site: place.site.clone(),
            sites: place.sites.clone(),
            lease_timing: settings.terms,
            pacing: settings.pace,
            thresholds: Default::default(),
            command_ttl: millis(settings.holds_for),
            ramp_duration: millis(settings.whole_way),
            seed: copy.life,
        };
        let member = Node::start(setup, disk, 0);
        let mut shell = Runtime {
            member,
            own: own.clone(),
            zero,
            place,
            tell,
            dialed: BTreeMap::new(),
            attached: BTreeMap::new(),
            lines: BTreeMap::new(),
            tickets: 0,
            hint,
            leaving: None,
            looked_at: zero,
            logged: BTreeMap::new(),
            settings,
        };
        for slot in (0..shell.settings.keepers.len()).filter(|slot| own.keeper.is_some_and(|me| me != *slot))
        {
            shell.dial(slot);
        }
        let mut tick = interval(TICK);
        tick.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = tick.tick() => shell.tick(),
                heard = heard.recv() => {
                    if let Some(heard) = heard {
                        shell.heard(heard);
                    }
                }
                said = said.recv() => match said {
                    Some(said) => shell.said(said),
                    // The process ends.
                    None => return,
                },
            }
            shell.carry_out();
            if shell.member.has_released_leases() {
                if let Some(done) = shell.leaving.take() {
                    let _ = done.send(());
                }
            }
        }
    }

    fn now(&self) -> u64 {
        millis(self.zero.elapsed())
    }

    fn dial(&mut self, slot: usize) {
        let address = self.settings.keepers[slot];
        self.dialed
            .insert(slot, OutboundConnection::open(slot, address, self.own.clone(), self.tell.clone()));
    }

    fn tick(&mut self) {
        let now = self.now();
        self.member.tick(now, unix());
        if self.looked_at.elapsed() >= CALENDAR {
            self.looked_at = Instant::now();
            self.plan(now);
        }
    }

    /// The keeper that leads plans what the calendar has.
    fn plan(&mut self, now: u64) {
        if !self.member.replica().is_some_and(|keeper| keeper.is_leader()) {
            return;
        }
        let time = self.member.consensus_time(now, unix());
        for rule in &self.settings.windows {
            let Some(next) = rule.next(time).filter(|next| next.starts_at < time + AHEAD) else { continue };
            let plan = rule.plan(next);
            let all = self.member.state().windows().all();
            if !all.values().any(|w| w.plan.site == plan.site && w.plan.starts_at == plan.starts_at) {
                self.member.submit(now, Command::Window { token: None, command: Window::Plan(plan) });
            }
        }
    }

    fn heard(&mut self, heard: ConnectionEvent) {
        let now = self.now();
        match heard {
            ConnectionEvent::Keeper(slot, frame) if slot < self.settings.keepers.len() => {
                self.member.on_replica_frame(now, slot, frame)
            }
            ConnectionEvent::Keeper(slot, _) => {
                self.log("slot", format!("a keeper says that it is number {slot}"))
            }
            ConnectionEvent::Copy(copy, number, frame) => {
                if self.attached.get(&copy).is_some_and(|(n, _)| *n == number) {
                    self.member.on_instance_frame(now, copy, frame);
                }
            }
            ConnectionEvent::Attached(copy, number, queue) => {
                self.attached.insert(copy, (number, queue));
                self.member.on_attached(now, copy);
            }
            ConnectionEvent::Detached(copy, number) => {
                if self.attached.get(&copy).is_some_and(|(n, _)| *n == number) {
                    self.attached.remove(&copy);
                    self.member.on_detached(copy);
                }
            }
            ConnectionEvent::Up(slot, up) => self.member.on_connection(slot, up),
            ConnectionEvent::Unreadable(why) => self.log("unreadable", why),
        }
    }

    fn said(&mut self, said: Request) {
        let now = self.now();
        match said {
            Request::Report(report) => self.member.on_report(now, report),
            Request::Signal(signal) => self.write_down(now, signal),
            Request::Leave(done) => {
                self.leaving = Some(done);
                self.write_down(now, "SIGTERM");
                self.member.release_leases(now);
                // What it has lost is written down before it ends.
                self.tick();
            }
            Request::Line(line, answer) => {
                if let Some(text) = self.line(now, &line) {
                    let _ = answer.send(text);
                } else {
                    self.lines.insert(self.tickets, answer);
                }
            }
        }
    }

    fn write_down(&mut self, now: u64, signal: &str) {
        let what = format!("{signal} at copy {}", self.own.copy.rank);
        self.member.submit(
            now,
            Command::Freeze(hillstall_change_freeze::state::FreezeCommand::RecordSignal {
                description: what,
            }),
        );
    }

    /// The answer, or `None` if the keepers have to agree first.
    fn line(&mut self, now: u64, line: &str) -> Option<String> {
        let state = self.member.state();
        Some(match admin_commands::read(line, &PersonDirectory(&self.settings.people)) {
            None => "400 not a call for the fleet\n".into(),
            Some(Err(why)) => format!("400 {why}\n"),
            Some(Ok(AdminCommand::Fleet)) => self.fleet(now),
            Some(Ok(AdminCommand::Windows)) => admin_commands::windows(state.windows()),
            Some(Ok(AdminCommand::Incidents)) => admin_commands::incidents(state.freeze()),
            Some(Ok(AdminCommand::Changes)) => admin_commands::changes(state.freeze()),
            Some(Ok(AdminCommand::Record)) => admin_commands::record(state.freeze()),
            Some(Ok(AdminCommand::HandOver(duty))) => match self.member.hand_over(now, &duty) {
                true => "200 handed over\n".into(),
                false => format!("400 this copy does not hold {duty}\n"),
            },
            Some(Ok(AdminCommand::Agree(command))) => {
                self.tickets += 1;
                self.member.request(now, self.tickets, command);
                return None;
            }
        })
    }

    fn fleet(&self, now: u64) -> String {
        let mut text = String::new();
        let mut say = |line: String| text.push_str(&(line + "\n"));
        say(format!("copy {} life {:016x} site {}", self.own.copy.rank, self.own.copy.life, self.place.site));
        match self.member.replica() {
            Some(keeper) => {
                let leads = if keeper.is_leader() { " leads" } else { "" };
                let leader = keeper.leader().map_or("-".to_owned(), |slot| slot.to_string());
                let members: Vec<String> = keeper.members().iter().map(|id| format!("{id:x}")).collect();
                let changes = if keeper.changes_members() { " changing" } else { "" };
                let members = members.join(",");
                say(format!("keeper {:x}{leads} leader {leader} members {members}{changes}", keeper.id()));
                if let Some(why) = keeper.halted() {
                    say(format!("halted {why}"));
                }
            }
            None => {
                let (slot, up) = self.member.following().unwrap_or((0, false));
                let age = self.member.age(now).map_or("-".to_owned(), |age| age.to_string());
                say(format!("follows {slot} {} age {age}", if up { "connected" } else { "searching" }));
            }
        }
        let state = self.member.state();
        say(format!(
            "index {} gates {}",
            state.index(),
            if self.member.accepts_commands() { "open" } else { "closed" }
        ));
        for (duty, grant, standing) in state.leases().leases() {
            let held = grant.map_or("-".to_owned(), |g| format!("{} token {}", g.holder.rank, g.token.0));
            say(format!("duty {duty} held {held} standing {}", standing.len()));
        }
        for (duty, token) in self.member.held_leases(now) {
            say(format!("holds {duty} token {}", token.0));
        }
        for site in &self.place.sites {
            say(format!("part {site} {:.3}", self.member.site_fraction(site, now)));
        }
        text + "EOF\n"
    }

    fn carry_out(&mut self) {
        for out in self.member.take_outputs() {
            match out {
                Output::Send(Destination::Replica(slot), frame) => {
                    if let Some(dialed) = self.dialed.get(&slot) {
                        dialed.send(frame.encode().into());
                    }
                }
                Output::Send(Destination::Instance(copy), frame) => {
                    if let Some((_, queue)) = self.attached.get(&copy) {
                        let _ = queue.try_send(frame.encode().into());
                    }
                }
                Output::Follow(slot) => {
                    self.dialed.clear();
                    self.dial(slot);
                }
                Output::SiteFraction(site, part) => {
                    let _ = self.hint.send(Advisory::SiteFraction(site, part));
                }
                Output::Answered(ticket, outcome) => {
                    if let Some(answer) = self.lines.remove(&ticket) {
                        let _ = answer.send(admin_commands::outcome(outcome.as_ref()));
                    }
                }
                Output::Log(line) => tracing::info!("fleet: {line}"),
                Output::Audit(did) => self.record(&did),
            }
        }
    }

    /// The record by which owners are judged afterwards.
    fn record(&mut self, did: &AuditEvent) {
        let (copy, life, at) = (self.own.copy.rank, self.own.copy.life, unix());
        match did {
            AuditEvent::LeaseAcquired(duty, token) => {
                tracing::info!(copy, life, at, %duty, token = token.0, "fleet holds");
            }
            AuditEvent::LeaseLost(duty, token) => {
                tracing::info!(copy, life, at, %duty, token = token.0, "fleet lost")
            }
            AuditEvent::CommandApplied(order) => {
                let (duty, token, number, part) = (&order.lease, order.token.0, order.sequence, order.value);
                tracing::info!(copy, life, at, %duty, token, number, part, "fleet carried out");
            }
            AuditEvent::CommandRejected(order, why) => {
                let (duty, token) = (order.lease.clone(), order.token.0);
                if self.is_news("refused") {
                    tracing::warn!(copy, life, at, %duty, token, "fleet refused: {why}");
                }
            }
        }
    }

    /// Whether a kind of line has not been written for a spell; counts those that were not.
    fn is_news(&mut self, kind: &'static str) -> bool {
        let now = Instant::now();
        let (at, passed) = self.logged.entry(kind).or_insert((now - SPELL, 0));
        if now.duration_since(*at) < SPELL {
            *passed += 1;
            return false;
        }
        *at = now;
        true
    }

    fn log(&mut self, kind: &'static str, line: String) {
        if self.is_news(kind) {
            let passed = self.logged.get(kind).map_or(0, |(_, passed)| *passed);
            tracing::warn!(passed, "fleet: {line}");
        }
    }
}

/// Tries until something that another process has is free; `None` if this process ends meanwhile, or it can't be had.
async fn take<T>(
    mut open: impl FnMut() -> Result<T, StorageError>,
    said: &mut UnboundedReceiver<Request>,
) -> Option<T> {
    let mut told = false;
    loop {
        match open() {
            Ok(opened) => return Some(opened),
            Err(StorageError::Failed(why)) => {
                tracing::error!("fleet: {why}; this copy is no keeper until it is started again");
                return None;
            }
            Err(StorageError::InUse) if !told => {
                told = true;
                tracing::info!("fleet: waits for the older process to let the keeper's disk go");
            }
            Err(StorageError::InUse) => {}
        }
        wait(said).await?;
    }
}

async fn take_address(
    address: std::net::SocketAddr,
    said: &mut UnboundedReceiver<Request>,
) -> Option<TcpListener> {
    let mut told = false;
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return Some(listener),
            Err(why) if !told => {
                told = true;
                tracing::warn!("fleet.listen: {address}: {why}; trying again");
            }
            Err(_) => {}
        }
        wait(said).await?;
    }
}

/// Waits a little, and answers what is said meanwhile; `None` if the process ends.
async fn wait(said: &mut UnboundedReceiver<Request>) -> Option<()> {
    let pause = sleep(TAKEN);
    tokio::pin!(pause);
    loop {
        tokio::select! {
            () = &mut pause => return Some(()),
            said = said.recv() => match said? {
                Request::Line(_, answer) => {
                    let _ = answer.send("400 this copy does not take part yet\n".into());
                }
                Request::Leave(done) => {
                    let _ = done.send(());
                }
                Request::Report(_) | Request::Signal(_) => {}
            },
        }
    }
}

fn unix() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
