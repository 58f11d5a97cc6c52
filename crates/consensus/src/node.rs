//! What every copy does for the fleet: it stands for duties, carries out orders, reports, and learns the state. Keepers
//! hold a [`Keeper`]; all others follow one of them.

use crate::follower_streams::Streams;
use crate::frame::{Frame, Piece};
use crate::lease_manager::{Duties, Owned};
use crate::load_reports::{Report, Reports};
use crate::replica::{Keeper, News};
use crate::state::{Command, Id, Outcome, Proposal, State, COORDINATOR};
use crate::storage::Disk;
use hillstall_change_freeze::detection::{Detector, Observation, Symptom, Thresholds};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{ChangeStatus, FreezeState, TimerKey};
use hillstall_lease::expiry::ExpiryMonitor;
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::table;
use hillstall_lease::timers::DeadlineTimers;
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{FencingToken, Instance, LeaseName, Millis};
use hillstall_maintenance::shift::{Figures, Pace, Steps};
use hillstall_maintenance::windows::Command as Window;
use hillstall_maintenance::TrafficFraction;
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::BTreeMap;

/// A proposal that was not answered is made again after so long; it acts once.
const AGAIN: Millis = 250;
/// How long a proposal that nobody waits for is made again.
const OWN_FOR: Millis = 3_000;
/// How long a person waits for one.
const LINE_FOR: Millis = 1_700;
/// A follower that hears nothing for so long turns to another keeper; each waits a little longer or less.
const SILENCE: Millis = 1_500;
/// How often a keeper tells the others what it has heard.
const SHARE_EACH: Millis = 500;
/// How often an owner looks at what it is to do.
const LOOK_EACH: Millis = 100;
/// A true read that was not answered is asked for again.
const READ_AGAIN: Millis = 300;
/// What another keeper's clock said longer ago does not count.
const CLOCK_FOR: Millis = 10_000;

/// How a copy takes part.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Who it is.
    pub copy: Instance,
    /// Its slot, if it is a keeper.
    pub keeper: Option<usize>,
    /// How many keepers there are.
    pub keepers: usize,
    /// Its site.
    pub site: String,
    /// The fleet's sites.
    pub sites: Vec<String>,
    /// How leases last.
    pub terms: LeaseTiming,
    /// How a shift goes.
    pub pace: Pace,
    /// When reports make an incident.
    pub limits: Thresholds,
    /// How long an order holds that is not heard again.
    pub holds_for: Millis,
    /// How long a site takes from nothing to all of its load where nobody leads it back.
    pub whole_way: Millis,
    /// For random numbers.
    pub seed: u64,
}

/// Whom a frame goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum To {
    /// A keeper, over the connection that this copy opened to it.
    Keeper(usize),
    /// A copy that is attached here, over the connection that it opened.
    Copy(Instance),
}

/// What is to be done by whoever has sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Out {
    /// Send a frame, or lose it.
    Send(To, Frame),
    /// Connect to this keeper and leave others: it is the one to follow.
    Follow(usize),
    /// From now on a site gets this part of its usual load, from 0 to 1.
    Part(String, f64),
    /// What became of a line, by its ticket; `None` if the keepers did not answer.
    Done(u64, Option<Outcome>),
    /// Something for the log.
    Log(String),
    /// Something for the record by which a fleet is judged afterwards.
    Did(Did),
}

/// An act that has to follow the rules on owners.
#[derive(Clone, Debug, PartialEq)]
pub enum Did {
    /// This copy may act by a token from now on.
    Holds(LeaseName, FencingToken),
    /// It may not any more.
    Lost(LeaseName, FencingToken),
    /// An order was carried out here.
    CarriedOut(FencedCommand<TrafficFraction>),
    /// One was refused, and why.
    Refused(FencedCommand<TrafficFraction>, String),
}

enum Why {
    /// A lease is asked for, stood for or renewed; with the token if it is renewed.
    Lease(Option<FencingToken>),
    /// Somebody waits, by this ticket.
    Line(u64),
    /// Nobody waits.
    Own,
}

struct Pending {
    proposal: Proposal,
    asked_at: Millis,
    sent_at: Millis,
    until: Millis,
    why: Why,
}

#[derive(Clone, Copy)]
enum Reader {
    Own,
    Copy(Instance, u64),
}

/// See the module's text.
pub struct Member<D> {
    setup: Setup,
    random: Xoshiro256PlusPlus,
    keeper: Option<Keeper<D>>,
    /// What a follower knows.
    replica: State,
    replica_at: Option<Millis>,
    following: usize,
    connected: bool,
    heard_at: Millis,
    patience: Millis,
    streams: Streams,
    duties: Duties,
    pending: BTreeMap<u64, Pending>,
    count: u64,
    reads: BTreeMap<u64, Reader>,
    /// The index that the state must reach before a true read opens the gates.
    opens_at: Option<u64>,
    read_at: Option<Millis>,
    leases: ExpiryMonitor,
    timers: DeadlineTimers<TimerKey>,
    reports: Reports,
    detector: Detector,
    steps: BTreeMap<LeaseName, Steps>,
    clocks: BTreeMap<usize, (i64, Millis)>,
    shared_at: Millis,
    looked_at: Millis,
    leaving: bool,
    out: Vec<Out>,
}

impl<D: Disk> Member<D> {
    /// A copy that begins. A keeper's disk must be given where there is a slot, and only there.
    pub fn start(setup: Setup, disk: Option<D>, now: Millis) -> Member<D> {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(setup.seed);
        let keeper = setup.keeper.zip(disk);
        let seed = random.next_u64();
        let keeper = keeper.map(|(slot, disk)| Keeper::start(slot, setup.keepers, disk, seed, now));
        let following = (random.next_u64() % setup.keepers.max(1) as u64) as usize;
        let mut member = Member {
            duties: Duties::new(&setup, now),
            leases: ExpiryMonitor::new(setup.terms),
            detector: Detector::new(setup.limits),
            setup,
            random,
            keeper,
            replica: State::default(),
            replica_at: None,
            following,
            connected: false,
            heard_at: now,
            patience: SILENCE,
            streams: Streams::default(),
            pending: BTreeMap::new(),
            count: 0,
            reads: BTreeMap::new(),
            opens_at: None,
            read_at: None,
            timers: DeadlineTimers::default(),
            reports: Reports::default(),
            steps: BTreeMap::new(),
            clocks: BTreeMap::new(),
            shared_at: now,
            looked_at: now,
            leaving: false,
            out: Vec::new(),
        };
        if member.keeper.is_none() {
            member.out.push(Out::Follow(following));
        }
        member
    }

    /// What is to be done since this was last asked.
    pub fn out(&mut self) -> Vec<Out> {
        std::mem::take(&mut self.out)
    }

    /// The state as this copy knows it.
    pub fn state(&self) -> &State {
        known(&self.keeper, &self.replica)
    }

    /// How old that may be, in milliseconds; `None` if nothing was heard yet. A keeper's is as old as its last word with
    /// the leader, which it does not know; so 0 there says only that nothing newer has come.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        match &self.keeper {
            Some(_) => Some(0),
            None => self.replica_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// The keeper in this copy.
    pub fn keeper(&self) -> Option<&Keeper<D>> {
        self.keeper.as_ref()
    }

    /// The duties that this copy may act by now.
    pub fn holds(&self, now: Millis) -> Vec<(LeaseName, FencingToken)> {
        self.duties.held(now)
    }

    /// Which keeper a follower follows, and whether it is connected.
    pub fn following(&self) -> Option<(usize, bool)> {
        self.keeper.is_none().then_some((self.following, self.connected))
    }

    /// Whether orders about a site can be carried out yet.
    pub fn is_open(&self) -> bool {
        self.duties.is_open()
    }

    /// The part that a site gets here.
    pub fn part(&self, site: &str, now: Millis) -> f64 {
        self.duties.part(site, now)
    }

    // ---- what comes from outside ----

    /// A copy has connected here.
    pub fn attached(&mut self, now: Millis, copy: Instance) {
        if self.keeper.is_some() {
            self.streams.attach(now, copy);
        }
    }

    /// Its connection is gone.
    pub fn detached(&mut self, copy: Instance) {
        self.streams.detach(copy);
    }

    /// The connection to a keeper is up, or is gone.
    pub fn connected(&mut self, keeper: usize, up: bool) {
        if self.keeper.is_some() || keeper != self.following {
            return;
        }
        self.connected = up;
        // That somebody takes the connection says nothing of the keeper: what stands before a dead one does it as well, and
        // only a word ends the silence.
        if up {
            self.read_at = None;
        }
    }

    /// A keeper sent this: one that is followed, or, to a keeper, another over a connection that it opened.
    pub fn hear_keeper(&mut self, now: Millis, slot: usize, frame: Frame) {
        match frame {
            Frame::Word(word) => {
                if let Some(keeper) = &mut self.keeper {
                    keeper.hear(now, slot, &word);
                    self.keeper_news(now);
                }
            }
            Frame::Reports { unix, heard } => {
                self.clocks.insert(slot, (unix as i64 - now as i64, now));
                heard.into_iter().for_each(|report| self.reports.take(now, report));
            }
            Frame::Order(order) => {
                self.relay(&order);
                self.carry_out(now, order);
            }
            _ if self.keeper.is_some() || slot != self.following => {}
            frame => self.hear_followed(now, frame),
        }
    }

    fn hear_followed(&mut self, now: Millis, frame: Frame) {
        self.heard_at = now;
        self.connected = true;
        let told = match frame {
            Frame::State(bytes) => match State::from_bytes(&bytes) {
                Ok(state) => {
                    self.replica = state;
                    self.replica_at = Some(now);
                    Some(self.replica.index())
                }
                Err(why) => {
                    self.out.push(Out::Log(format!("a state of another version: {why}")));
                    None
                }
            },
            Frame::Applied { after, index, piece } => {
                let known = self.replica.index();
                if after <= known && index > known {
                    match piece {
                        Piece::Command(proposal) => {
                            self.replica.apply(index, &proposal);
                        }
                        Piece::Duty(duty, entry) => self.replica.set_duty(index, &duty, entry),
                    }
                    self.replica_at = Some(now);
                }
                // With a gap nothing later can be applied: the whole state is asked for.
                Some(if after > known { 0 } else { index })
            }
            Frame::Beat(told) => {
                let missed = told > self.replica.index();
                if !missed && self.replica_at.is_some() {
                    self.replica_at = Some(now);
                }
                Some(if missed { 0 } else { self.replica.index() })
            }
            Frame::Answer { id, outcome } if id.copy == self.setup.copy => {
                self.settle(now, id.number, outcome);
                None
            }
            Frame::Told { number, index } => {
                if self.reads.remove(&number).is_some() {
                    self.opens_at = Some(index);
                }
                None
            }
            _ => None,
        };
        if let Some(index) = told {
            self.out.push(Out::Send(To::Keeper(self.following), Frame::Ack(index)));
            self.state_changed(now);
        }
    }

    /// A copy that is attached here sent this.
    pub fn hear_copy(&mut self, now: Millis, copy: Instance, frame: Frame) {
        let Some(keeper) = &mut self.keeper else { return };
        match frame {
            Frame::Propose(proposal) if proposal.id.copy == copy => {
                keeper.propose(&proposal);
                self.keeper_news(now);
            }
            Frame::Read { number } => {
                self.count += 1;
                self.reads.insert(self.count, Reader::Copy(copy, number));
                keeper.read(self.count);
                self.keeper_news(now);
            }
            Frame::Ack(index) => self.streams.ack(now, copy, index),
            Frame::Report(report) if report.copy == Some(copy) => self.reports.take(now, report),
            _ => {}
        }
    }

    /// What this copy has counted itself.
    pub fn report(&mut self, now: Millis, mut report: Report) {
        report.copy = Some(self.setup.copy);
        for (site, counts) in &mut report.sites {
            counts.part = (self.duties.part(site, now) * 1_000.0).round() as u16;
        }
        if self.keeper.is_some() {
            self.reports.take(now, report);
        } else if self.connected {
            self.out.push(Out::Send(To::Keeper(self.following), Frame::Report(report)));
        }
    }

    /// A person, or the shell, wants something; [`Out::Done`] tells what became of it.
    pub fn ask(&mut self, now: Millis, ticket: u64, command: Command) {
        self.propose(now, command, Why::Line(ticket), LINE_FOR);
    }

    /// Something that nobody waits for.
    pub fn tell(&mut self, now: Millis, command: Command) {
        self.propose(now, command, Why::Own, OWN_FOR);
    }

    /// This copy ends: others have its duties before it goes.
    pub fn leave(&mut self, now: Millis) {
        if !self.leaving {
            self.leaving = true;
            self.duties.leave(now);
            self.ask_leases(now);
        }
    }

    /// Gives up one duty, and stands for it again later.
    pub fn hand_over(&mut self, now: Millis, duty: &LeaseName) -> bool {
        let given = self.duties.hand_over(now, duty);
        self.ask_leases(now);
        given
    }

    /// Whether all that it left has been answered.
    pub fn has_left(&self) -> bool {
        self.duties.has_left()
    }

    // ---- time ----

    /// Lets time pass. `unix` is the system's clock, which may step; it is held against the other keepers' clocks.
    pub fn tick(&mut self, now: Millis, unix: Millis) {
        if let Some(keeper) = &mut self.keeper {
            keeper.tick(now);
            self.keeper_news(now);
            self.run_out(now);
            self.share(now, unix);
        } else if now.saturating_sub(self.heard_at) >= self.patience {
            self.turn(now);
        }
        self.ask_leases(now);
        self.read_truth(now);
        self.propose_again(now);
        if now.saturating_sub(self.looked_at) >= LOOK_EACH {
            self.looked_at = now;
            self.work(now, unix);
            let parts = self.duties.run_out(now);
            self.out.extend(parts.into_iter().map(|(site, part)| Out::Part(site, part)));
        }
        let state = self.keeper.as_ref().map(|keeper| (keeper.applied(), keeper.state()));
        if let Some((applied, state)) = state {
            let fed = self.streams.feed(now, applied, state);
            self.out.extend(fed.into_iter().map(|(copy, frame)| Out::Send(To::Copy(copy), frame)));
        }
        self.out.extend(self.duties.did(now).into_iter().map(Out::Did));
    }

    /// Follows another keeper than the one that says nothing.
    fn turn(&mut self, now: Millis) {
        let others = self.setup.keepers.max(2) as u64 - 1;
        let step = 1 + (self.random.next_u64() % others) as usize;
        self.following = (self.following + step) % self.setup.keepers.max(1);
        (self.connected, self.heard_at) = (false, now);
        // Spread, so that those who lost one keeper together don't come to the next together for ever.
        self.patience = SILENCE + self.random.next_u64() % SILENCE;
        self.out.push(Out::Follow(self.following));
    }

    fn keeper_news(&mut self, now: Millis) {
        let Some(keeper) = &mut self.keeper else { return };
        for news in keeper.news() {
            match news {
                News::Send(slot, word) => self.out.push(Out::Send(To::Keeper(slot), Frame::Word(word))),
                News::Applied(index, proposal, outcome, duty, came_at) => {
                    if let (Command::Lease(command), Outcome::Grant(Some(grant))) =
                        (&proposal.command, &outcome)
                    {
                        self.leases.observe(came_at, command.lease(), *grant);
                    }
                    // A follower knows fewer of a copy's commands, so it could take one that was refused here for its age.
                    if outcome != Outcome::TooLate {
                        self.streams.applied(index, &proposal, duty);
                    }
                    let id = proposal.id;
                    if id.copy == self.setup.copy {
                        self.settle(now, id.number, outcome);
                    } else if self.streams.has(id.copy) {
                        self.out.push(Out::Send(To::Copy(id.copy), Frame::Answer { id, outcome }));
                    }
                }
                News::Restored => {
                    let index = self.keeper.as_ref().map_or(0, |keeper| keeper.state().index());
                    self.streams.restored(index);
                }
                News::Read(number) => {
                    let index = self.streams.last();
                    match self.reads.remove(&number) {
                        Some(Reader::Own) => self.opens_at = Some(index),
                        Some(Reader::Copy(copy, number)) => {
                            self.out.push(Out::Send(To::Copy(copy), Frame::Told { number, index }));
                        }
                        None => {}
                    }
                }
                News::Log(line) => self.out.push(Out::Log(line)),
            }
        }
        self.state_changed(now);
    }

    fn state_changed(&mut self, now: Millis) {
        let state = known(&self.keeper, &self.replica);
        self.duties.heard(now, state.book());
        if self.opens_at.is_some_and(|index| state.index() >= index || self.keeper.is_some()) {
            self.opens_at = None;
            self.duties.open(state.book());
        }
    }

    /// What has run out is proposed by the keeper that leads; all of them wait.
    fn run_out(&mut self, now: Millis) {
        let Some(keeper) = &self.keeper else { return };
        let leads = keeper.leads();
        let lapsed = self.leases.poll(now, keeper.state().book());
        let over = self.timers.poll(now, keeper.state().register().timers());
        if leads {
            let lapsed = lapsed.into_iter().map(Command::Lease);
            let over = over
                .into_iter()
                .map(|(wait, version)| Command::Freeze(FreezeState::expiry_command(wait, version)));
            for command in lapsed.chain(over).collect::<Vec<_>>() {
                // It is due again at each look until the state has changed; one at a time is enough.
                if !self.pending.values().any(|p| p.proposal.command == command) {
                    self.propose(now, command, Why::Own, AGAIN);
                }
            }
        }
    }

    fn share(&mut self, now: Millis, unix: Millis) {
        if now.saturating_sub(self.shared_at) < SHARE_EACH {
            return;
        }
        self.shared_at = now;
        let (streams, own) = (&self.streams, self.setup.copy);
        let heard = self.reports.share(now, |copy| copy == own || streams.has(copy));
        for slot in (0..self.setup.keepers).filter(|slot| Some(*slot) != self.setup.keeper) {
            let frame = Frame::Reports { unix, heard: heard.clone() };
            self.out.push(Out::Send(To::Keeper(slot), frame));
        }
    }

    // ---- proposals ----

    fn propose(&mut self, now: Millis, command: Command, why: Why, for_: Millis) {
        self.count += 1;
        let proposal = Proposal { id: Id { copy: self.setup.copy, number: self.count }, command };
        self.send_proposal(&proposal);
        let until = now.saturating_add(for_);
        self.pending.insert(self.count, Pending { proposal, asked_at: now, sent_at: now, until, why });
        self.keeper_news(now);
    }

    fn send_proposal(&mut self, proposal: &Proposal) {
        match &mut self.keeper {
            Some(keeper) => keeper.propose(proposal),
            None if self.connected => {
                let frame = Frame::Propose(proposal.clone());
                self.out.push(Out::Send(To::Keeper(self.following), frame));
            }
            None => {}
        }
    }

    fn propose_again(&mut self, now: Millis) {
        let over: Vec<u64> = self.pending.iter().filter(|(_, p)| now >= p.until).map(|(n, _)| *n).collect();
        for number in over {
            if let Some(Pending { why: Why::Line(ticket), .. }) = self.pending.remove(&number) {
                self.out.push(Out::Done(ticket, None));
            }
        }
        let mut again = Vec::new();
        for pending in self.pending.values_mut().filter(|p| now.saturating_sub(p.sent_at) >= AGAIN) {
            pending.sent_at = now;
            again.push(pending.proposal.clone());
        }
        let some = !again.is_empty();
        for proposal in again {
            self.send_proposal(&proposal);
        }
        if some {
            self.keeper_news(now);
        }
    }

    fn settle(&mut self, now: Millis, number: u64, outcome: Outcome) {
        let Some(Pending { proposal, asked_at, why, .. }) = self.pending.remove(&number) else { return };
        match why {
            Why::Line(ticket) => self.out.push(Out::Done(ticket, Some(outcome))),
            Why::Own => {}
            Why::Lease(renewed) => {
                if let Command::Lease(command) = &proposal.command {
                    self.duties.answered(now, asked_at, command, renewed, &outcome);
                }
            }
        }
    }

    fn ask_leases(&mut self, now: Millis) {
        let random = (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        for command in self.duties.ask(now, random) {
            let renewed = match &command {
                table::LeaseCommand::Renew { token, .. } => Some(*token),
                _ => None,
            };
            // A newer question of the same lease takes the place of one that was lost.
            let duty = command.lease().clone();
            let same = |p: &Pending| {
                matches!(&p.proposal.command, Command::Lease(c) if *c.lease() == duty)
                    && matches!(p.why, Why::Lease(_))
            };
            self.pending.retain(|_, p| !same(p));
            self.propose(now, Command::Lease(command), Why::Lease(renewed), OWN_FOR);
        }
    }

    /// Gates that are closed are opened by a true read alone.
    fn read_truth(&mut self, now: Millis) {
        let due = self.read_at.is_none_or(|at| now.saturating_sub(at) >= READ_AGAIN);
        if self.duties.is_open() || self.opens_at.is_some() || !due {
            return;
        }
        self.read_at = Some(now);
        self.count += 1;
        let number = self.count;
        match &mut self.keeper {
            Some(keeper) => {
                self.reads.insert(number, Reader::Own);
                keeper.read(number);
                self.keeper_news(now);
            }
            None if self.connected => {
                self.reads.insert(number, Reader::Own);
                self.out.push(Out::Send(To::Keeper(self.following), Frame::Read { number }));
            }
            None => {}
        }
        // Those that were never answered are too old to be.
        while self.reads.len() > 4_096 {
            self.reads.pop_first();
        }
    }

    // ---- orders ----

    /// An order of another keeper goes on to the copies that are attached here.
    fn relay(&mut self, order: &FencedCommand<TrafficFraction>) {
        for copy in self.streams.copies().collect::<Vec<_>>() {
            self.out.push(Out::Send(To::Copy(copy), Frame::Order(order.clone())));
        }
    }

    fn carry_out(&mut self, now: Millis, order: FencedCommand<TrafficFraction>) {
        let did = self.duties.carry_out(now, order);
        let parts = self.duties.run_out(now);
        self.out.extend(parts.into_iter().map(|(site, part)| Out::Part(site, part)));
        self.out.extend(did.map(Out::Did));
    }

    /// Gives an order to all copies; only its gates decide whether it is carried out.
    fn give(&mut self, now: Millis, order: FencedCommand<TrafficFraction>) {
        for slot in (0..self.setup.keepers).filter(|slot| Some(*slot) != self.setup.keeper) {
            self.out.push(Out::Send(To::Keeper(slot), Frame::Order(order.clone())));
        }
        self.relay(&order);
        self.carry_out(now, order);
    }

    // ---- what owners do ----

    /// The time of the day, by most of the keepers' clocks.
    pub fn time(&self, now: Millis, unix: Millis) -> Millis {
        let young = self.clocks.values().filter(|(_, at)| now.saturating_sub(*at) < CLOCK_FOR);
        let mut offsets: Vec<i64> = young.map(|(offset, _)| *offset).collect();
        offsets.push(unix as i64 - now as i64);
        offsets.sort_unstable();
        (now as i64 + offsets[offsets.len() / 2]).max(0) as Millis
    }

    fn work(&mut self, now: Millis, unix: Millis) {
        let held = self.duties.owned(now);
        if held.is_empty() {
            return;
        }
        let time = self.time(now, unix);
        let mut figures = self.reports.figures(now);
        for Owned { duty, token, site } in held {
            match site {
                Some(site) => {
                    let orders = self.shift(now, time, &duty, token, &site, &mut figures);
                    orders.into_iter().for_each(|order| self.give(now, order));
                }
                None if duty.to_string() == COORDINATOR => self.coordinate(now, token),
                None => {}
            }
        }
    }

    fn coordinate(&mut self, now: Millis, token: FencingToken) {
        let mut facts = self.reports.facts(now);
        if let Some(heard) = self.keeper.as_ref().and_then(|keeper| keeper.heard()) {
            let margin = heard <= self.setup.keepers / 2 + 1 && self.setup.keepers > 1;
            let level = if margin { 1.0 } else { 0.0 };
            facts.push(Observation { scope: Scope::Replicas, symptom: Symptom::QuorumMargin, level });
        }
        let register = known(&self.keeper, &self.replica).register();
        let commands = self.detector.poll(now, &facts, register, token.0);
        for command in commands.into_iter().map(Command::Freeze) {
            if !self.pending.values().any(|p| p.proposal.command == command) {
                self.propose(now, command, Why::Own, OWN_FOR);
            }
        }
    }

    /// One site's windows: the next step is proposed, and what was agreed on is ordered, again and again.
    fn shift(
        &mut self,
        now: Millis,
        time: Millis,
        duty: &LeaseName,
        token: FencingToken,
        site: &str,
        figures: &mut Figures,
    ) -> Vec<FencedCommand<TrafficFraction>> {
        let state = known(&self.keeper, &self.replica);
        let windows = state.windows().all().iter().filter(|(_, w)| w.plan.site == site && !w.stage.is_over());
        // One that has begun goes first, then the earliest.
        let Some((number, window)) = windows.min_by_key(|(_, w)| (!w.stage.is_away(), w.plan.begin)) else {
            return Vec::new();
        };
        let (number, window) = (*number, window.clone());
        figures.trouble = trouble(state.register(), &window, site);
        let steps = self.steps.entry(duty.clone()).or_default();
        let next = steps.next((time, now), (number, &window), figures, &self.setup.pace);
        let orders = match window.stage.is_away() {
            true => vec![self.duties.order(duty, token, window.part, &self.setup)],
            false => Vec::new(),
        };
        if let Some(command) = next {
            let command = Command::Window { token: Some(token), command };
            let busy = self.pending.values().any(|p| is_shift(&p.proposal.command, token));
            if !busy {
                self.propose(now, command, Why::Own, OWN_FOR);
            }
        }
        orders
    }
}

/// The state as a copy knows it, beside whatever else of it is in use.
fn known<'a, D: Disk>(keeper: &'a Option<Keeper<D>>, replica: &'a State) -> &'a State {
    keeper.as_ref().map_or(replica, |keeper| keeper.state())
}

fn is_shift(command: &Command, by: FencingToken) -> bool {
    matches!(command, Command::Window { token, command } if *token == Some(by) && !matches!(command, Window::Plan(_)))
}

/// What keeps a window from going on: its permit has to be given back, or another site is in trouble.
fn trouble(
    register: &FreezeState,
    window: &hillstall_maintenance::windows::Window,
    site: &str,
) -> Option<String> {
    let own = Scope::Site(site.to_owned());
    let stand = window.change.and_then(|change| register.changes().get(&change)).map(|c| c.status);
    if window.change.is_some() && stand != Some(ChangeStatus::InFlight) {
        return Some("its permit is over".into());
    }
    let bad = register.incidents().iter().find(|(_, i)| {
        // What happens at the site itself, while people work there, is what the window is for.
        !i.cooling_down && i.scope != own && i.severity >= hillstall_change_freeze::rules::Severity::Major
    });
    bad.map(|(number, i)| format!("incident {number} at {}: {}", i.scope, i.evidence))
}
