//! The loop: frames, lines, reports and time go in, and what the member wants is done.

use crate::admin_commands::{self, Line, People};
use crate::connections::{accept, Dialed, Heard, Own};
use crate::millis;
use crate::redb_storage::{NoDisk, RedbDisk};
use crate::settings::Settings;
use bytes::Bytes;
use hillstall_consensus::load_reports::Report;
use hillstall_consensus::node::{Did, Member, Out, Setup, To};
use hillstall_consensus::state::Command;
use hillstall_lease::Instance;
use hillstall_maintenance::windows::Command as Window;
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
pub struct Place {
    /// Its number among all copies of all tiers.
    pub rank: u32,
    /// Its site.
    pub site: String,
    /// The fleet's sites.
    pub sites: Vec<String>,
}

/// Something for the calls' loop.
#[derive(Clone, Debug, PartialEq)]
pub enum Hint {
    /// A site gets this part of its usual load from now on, from 0 to 1.
    Part(String, f64),
}

/// Why the fleet's part could not be started.
#[derive(Debug, thiserror::Error)]
pub enum NotStarted {
    /// The system gives no thread.
    #[error("fleet: no thread: {0}")]
    Thread(std::io::Error),
    /// The disk of a keeper can't be used.
    #[error("fleet.disk: {0}")]
    Disk(String),
}

enum Said {
    Signal(&'static str),
    Report(Report),
    Line(String, oneshot::Sender<String>),
    Leave(oneshot::Sender<()>),
}

/// What the calls' loop has of the fleet's part. All of it returns at once.
pub struct Handle {
    say: UnboundedSender<Said>,
}

impl Handle {
    /// What this copy has counted since it was last told.
    pub fn report(&self, report: Report) {
        // The loop may have failed; calls go on.
        let _ = self.say.send(Said::Report(report));
    }

    /// A line of the second address, if it is one for the fleet. The answer comes within two seconds.
    pub fn line(&self, line: &str) -> Option<oneshot::Receiver<String>> {
        let first = line.split_ascii_whitespace().next()?;
        if !["FLEET", "WINDOW", "INCIDENT", "CHANGE", "RECORD"].contains(&first) {
            return None;
        }
        let (answer, answered) = oneshot::channel();
        let _ = self.say.send(Said::Line(line.to_owned(), answer));
        Some(answered)
    }

    /// The platform has signalled this copy. It is written down as a change without a permit, and holds nothing up.
    pub fn signalled(&self, signal: &'static str) {
        let _ = self.say.send(Said::Signal(signal));
    }

    /// This copy ends: returns once others have its duties, or after a while.
    pub async fn leave(&self) {
        let (done, left) = oneshot::channel();
        if self.say.send(Said::Leave(done)).is_ok() {
            let _ = timeout(LEAVE_WITHIN, left).await;
        }
    }
}

/// Starts the fleet's part on a thread of its own. A keeper without its disk does not start.
pub fn start(settings: Settings, place: Place) -> Result<(Handle, UnboundedReceiver<Hint>), NotStarted> {
    if let (Some(_), Some(folder)) = (settings.keeper, &settings.disk) {
        if !folder.is_dir() {
            let why =
                format!("{}: there is no such folder; a keeper needs one that outlives it", folder.display());
            return Err(NotStarted::Disk(why));
        }
    }
    let (say, said) = unbounded_channel();
    let (hint, hints) = unbounded_channel();
    let run = move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        let Ok(runtime) = runtime.inspect_err(|why| tracing::error!("fleet: {why}")) else { return };
        LocalSet::new().block_on(&runtime, Shell::run(settings, place, said, hint));
    };
    // Whatever goes wrong in there ends this thread alone, and calls go on.
    std::thread::Builder::new().name("fleet".into()).spawn(run).map_err(NotStarted::Thread)?;
    Ok((Handle { say }, hints))
}

struct Shell {
    settings: Settings,
    place: Place,
    own: Own,
    zero: Instant,
    member: Member<RedbDisk>,
    tell: UnboundedSender<Heard>,
    dialed: BTreeMap<usize, Dialed>,
    attached: BTreeMap<Instance, (u64, Sender<Bytes>)>,
    lines: BTreeMap<u64, oneshot::Sender<String>>,
    tickets: u64,
    hint: UnboundedSender<Hint>,
    leaving: Option<oneshot::Sender<()>>,
    looked_at: Instant,
    logged: BTreeMap<&'static str, (Instant, u64)>,
}

impl Shell {
    async fn run(
        settings: Settings,
        place: Place,
        mut said: UnboundedReceiver<Said>,
        hint: UnboundedSender<Hint>,
    ) {
        let copy = Instance { rank: place.rank, life: RandomState::new().hash_one(std::process::id()) };
        let own = Own { fleet: settings.name.clone(), copy, keeper: settings.keeper.map(|(slot, _)| slot) };
        let (tell, mut heard) = unbounded_channel();
        let mut disk = None;
        if let Some((slot, address)) = settings.keeper {
            let folder = settings.disk.clone().unwrap_or_default();
            // The older process of an upgrade has both until it ends.
            let opened = take(|| RedbDisk::open(&folder, slot), &mut said).await;
            let listener = take_address(address, &mut said).await;
            let (Some(opened), Some(listener)) = (opened, listener) else { return };
            disk = Some(opened);
            let mut from: Vec<IpAddr> = settings.keepers.iter().map(|keeper| keeper.ip()).collect();
            from.extend(&settings.from);
            spawn_local(accept(listener, own.clone(), move |ip| from.contains(&ip), tell.clone()));
        }
        let zero = Instant::now();
        let setup = Setup {
            copy,
            keeper: own.keeper,
            keepers: settings.keepers.len(),
            site: place.site.clone(),
            sites: place.sites.clone(),
            terms: settings.terms,
            pace: settings.pace,
            limits: Default::default(),
            holds_for: millis(settings.holds_for),
            whole_way: millis(settings.whole_way),
            seed: copy.life,
        };
        let member = Member::start(setup, disk, 0);
        let mut shell = Shell {
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
            if shell.member.has_left() {
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
        self.dialed.insert(slot, Dialed::open(slot, address, self.own.clone(), self.tell.clone()));
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
        if !self.member.keeper().is_some_and(|keeper| keeper.leads()) {
            return;
        }
        let time = self.member.time(now, unix());
        for rule in &self.settings.windows {
            let Some(next) = rule.next(time).filter(|next| next.begin < time + AHEAD) else { continue };
            let plan = rule.plan(next);
            let all = self.member.state().windows().all();
            if !all.values().any(|w| w.plan.site == plan.site && w.plan.begin == plan.begin) {
                self.member.tell(now, Command::Window { token: None, command: Window::Plan(plan) });
            }
        }
    }

    fn heard(&mut self, heard: Heard) {
        let now = self.now();
        match heard {
            Heard::Keeper(slot, frame) if slot < self.settings.keepers.len() => {
                self.member.hear_keeper(now, slot, frame)
            }
            Heard::Keeper(slot, _) => self.log("slot", format!("a keeper says that it is number {slot}")),
            Heard::Copy(copy, number, frame) => {
                if self.attached.get(&copy).is_some_and(|(n, _)| *n == number) {
                    self.member.hear_copy(now, copy, frame);
                }
            }
            Heard::Attached(copy, number, queue) => {
                self.attached.insert(copy, (number, queue));
                self.member.attached(now, copy);
            }
            Heard::Detached(copy, number) => {
                if self.attached.get(&copy).is_some_and(|(n, _)| *n == number) {
                    self.attached.remove(&copy);
                    self.member.detached(copy);
                }
            }
            Heard::Up(slot, up) => self.member.connected(slot, up),
            Heard::Unreadable(why) => self.log("unreadable", why),
        }
    }

    fn said(&mut self, said: Said) {
        let now = self.now();
        match said {
            Said::Report(report) => self.member.report(now, report),
            Said::Signal(signal) => self.write_down(now, signal),
            Said::Leave(done) => {
                self.leaving = Some(done);
                self.write_down(now, "SIGTERM");
                self.member.leave(now);
                // What it has lost is written down before it ends.
                self.tick();
            }
            Said::Line(line, answer) => {
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
        self.member.tell(
            now,
            Command::Freeze(hillstall_change_freeze::state::FreezeCommand::RecordSignal {
                description: what,
            }),
        );
    }

    /// The answer, or `None` if the keepers have to agree first.
    fn line(&mut self, now: u64, line: &str) -> Option<String> {
        let state = self.member.state();
        Some(match admin_commands::read(line, &People(&self.settings.people)) {
            None => "400 not a call for the fleet\n".into(),
            Some(Err(why)) => format!("400 {why}\n"),
            Some(Ok(Line::Fleet)) => self.fleet(now),
            Some(Ok(Line::Windows)) => admin_commands::windows(state.windows()),
            Some(Ok(Line::Incidents)) => admin_commands::incidents(state.register()),
            Some(Ok(Line::Changes)) => admin_commands::changes(state.register()),
            Some(Ok(Line::Record)) => admin_commands::record(state.register()),
            Some(Ok(Line::HandOver(duty))) => match self.member.hand_over(now, &duty) {
                true => "200 handed over\n".into(),
                false => format!("400 this copy does not hold {duty}\n"),
            },
            Some(Ok(Line::Agree(command))) => {
                self.tickets += 1;
                self.member.ask(now, self.tickets, command);
                return None;
            }
        })
    }

    fn fleet(&self, now: u64) -> String {
        let mut text = String::new();
        let mut say = |line: String| text.push_str(&(line + "\n"));
        say(format!("copy {} life {:016x} site {}", self.own.copy.rank, self.own.copy.life, self.place.site));
        match self.member.keeper() {
            Some(keeper) => {
                let leads = if keeper.leads() { " leads" } else { "" };
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
            if self.member.is_open() { "open" } else { "closed" }
        ));
        for (duty, grant, standing) in state.book().leases() {
            let held = grant.map_or("-".to_owned(), |g| format!("{} token {}", g.holder.rank, g.token.0));
            say(format!("duty {duty} held {held} standing {}", standing.len()));
        }
        for (duty, token) in self.member.holds(now) {
            say(format!("holds {duty} token {}", token.0));
        }
        for site in &self.place.sites {
            say(format!("part {site} {:.3}", self.member.part(site, now)));
        }
        text + "EOF\n"
    }

    fn carry_out(&mut self) {
        for out in self.member.out() {
            match out {
                Out::Send(To::Keeper(slot), frame) => {
                    if let Some(dialed) = self.dialed.get(&slot) {
                        dialed.send(frame.encode().into());
                    }
                }
                Out::Send(To::Copy(copy), frame) => {
                    if let Some((_, queue)) = self.attached.get(&copy) {
                        let _ = queue.try_send(frame.encode().into());
                    }
                }
                Out::Follow(slot) => {
                    self.dialed.clear();
                    self.dial(slot);
                }
                Out::Part(site, part) => {
                    let _ = self.hint.send(Hint::Part(site, part));
                }
                Out::Done(ticket, outcome) => {
                    if let Some(answer) = self.lines.remove(&ticket) {
                        let _ = answer.send(admin_commands::outcome(outcome.as_ref()));
                    }
                }
                Out::Log(line) => tracing::info!("fleet: {line}"),
                Out::Did(did) => self.record(&did),
            }
        }
    }

    /// The record by which owners are judged afterwards.
    fn record(&mut self, did: &Did) {
        let (copy, life, at) = (self.own.copy.rank, self.own.copy.life, unix());
        match did {
            Did::Holds(duty, token) => {
                tracing::info!(copy, life, at, %duty, token = token.0, "fleet holds");
            }
            Did::Lost(duty, token) => tracing::info!(copy, life, at, %duty, token = token.0, "fleet lost"),
            Did::CarriedOut(order) => {
                let (duty, token, number, part) = (&order.lease, order.token.0, order.sequence, order.value);
                tracing::info!(copy, life, at, %duty, token, number, part, "fleet carried out");
            }
            Did::Refused(order, why) => {
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
    mut open: impl FnMut() -> Result<T, NoDisk>,
    said: &mut UnboundedReceiver<Said>,
) -> Option<T> {
    let mut told = false;
    loop {
        match open() {
            Ok(opened) => return Some(opened),
            Err(NoDisk::Failed(why)) => {
                tracing::error!("fleet: {why}; this copy is no keeper until it is started again");
                return None;
            }
            Err(NoDisk::Taken) if !told => {
                told = true;
                tracing::info!("fleet: waits for the older process to let the keeper's disk go");
            }
            Err(NoDisk::Taken) => {}
        }
        wait(said).await?;
    }
}

async fn take_address(
    address: std::net::SocketAddr,
    said: &mut UnboundedReceiver<Said>,
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
async fn wait(said: &mut UnboundedReceiver<Said>) -> Option<()> {
    let pause = sleep(TAKEN);
    tokio::pin!(pause);
    loop {
        tokio::select! {
            () = &mut pause => return Some(()),
            said = said.recv() => match said? {
                Said::Line(_, answer) => {
                    let _ = answer.send("400 this copy does not take part yet\n".into());
                }
                Said::Leave(done) => {
                    let _ = done.send(());
                }
                Said::Report(_) | Said::Signal(_) => {}
            },
        }
    }
}

fn unix() -> u64 {
    millis(SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default())
}
