//! What every copy does for the fleet: it stands for duties, carries out orders, reports, and learns the state. Keepers
//! hold a [`Replica`]; all others follow one of them.

use crate::follower_streams::FollowerStreams;
use crate::frame::{Frame, StreamItem};
use crate::lease_manager::{HeldLease, LeaseManager};
use crate::load_reports::{LoadReport, LoadReports};
use crate::replica::{Replica, ReplicaEvent};
use crate::state::{Command, Outcome, Proposal, ProposalId, State, COORDINATOR_LEASE};
use crate::storage::ReplicaStorage;
use hillstall_change_freeze::detection::{Detector, Observation, Symptom, Thresholds};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{ChangeStatus, FreezeState, TimerKey};
use hillstall_lease::expiry::ExpiryMonitor;
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::table;
use hillstall_lease::timers::DeadlineTimers;
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{FencingToken, Instance, LeaseName, Millis};
use hillstall_maintenance::shift::{FleetLoad, ShiftController, ShiftPacing};
use hillstall_maintenance::windows::WindowCommand as Window;
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
pub struct NodeConfig {
    /// Who it is.
    pub instance: Instance,
    /// Its slot, if it is a keeper.
    pub slot: Option<usize>,
    /// How many keepers there are.
    pub replicas: usize,
    /// Its site.
    pub site: String,
    /// The fleet's sites.
    pub sites: Vec<String>,
    /// How leases last.
    pub lease_timing: LeaseTiming,
    /// How a shift goes.
    pub pacing: ShiftPacing,
    /// When reports make an incident.
    pub thresholds: Thresholds,
    /// How long an order holds that is not heard again.
    pub command_ttl: Millis,
    /// How long a site takes from nothing to all of its load where nobody leads it back.
    pub ramp_duration: Millis,
    /// For random numbers.
    pub seed: u64,
}

/// Whom a frame goes to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A keeper, over the connection that this copy opened to it.
    Replica(usize),
    /// A copy that is attached here, over the connection that it opened.
    Instance(Instance),
}

/// What is to be done by whoever has sockets.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a frame, or lose it.
    Send(Destination, Frame),
    /// Connect to this keeper and leave others: it is the one to follow.
    Follow(usize),
    /// From now on a site gets this part of its usual load, from 0 to 1.
    SiteFraction(String, f64),
    /// What became of a line, by its ticket; `None` if the keepers did not answer.
    Answered(u64, Option<Outcome>),
    /// Something for the log.
    Log(String),
    /// Something for the record by which a fleet is judged afterwards.
    Audit(AuditEvent),
}

/// An act that has to follow the rules on owners.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditEvent {
    /// This copy may act by a token from now on.
    LeaseAcquired(LeaseName, FencingToken),
    /// It may not any more.
    LeaseLost(LeaseName, FencingToken),
    /// An order was carried out here.
    CommandApplied(FencedCommand<TrafficFraction>),
    /// One was refused, and why.
    CommandRejected(FencedCommand<TrafficFraction>, String),
}

enum ProposalOrigin {
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
    why: ProposalOrigin,
}

#[derive(Clone, Copy)]
enum Reader {
    Own,
    Copy(Instance, u64),
}

/// See the module's text.
pub struct Node<D> {
    config: NodeConfig,
    random: Xoshiro256PlusPlus,
    replica_state_machine: Option<Replica<D>>,
    /// What a follower knows.
    followed_state: State,
    followed_state_at: Option<Millis>,
    following: usize,
    connected: bool,
    heard_at: Millis,
    patience: Millis,
    streams: FollowerStreams,
    duties: LeaseManager,
    pending: BTreeMap<u64, Pending>,
    count: u64,
    reads: BTreeMap<u64, Reader>,
    /// The index that the state must reach before a true read opens the gates.
    opens_at: Option<u64>,
    read_at: Option<Millis>,
    leases: ExpiryMonitor,
    timers: DeadlineTimers<TimerKey>,
    reports: LoadReports,
    detector: Detector,
    steps: BTreeMap<LeaseName, ShiftController>,
    clocks: BTreeMap<usize, (i64, Millis)>,
    shared_at: Millis,
    looked_at: Millis,
    leaving: bool,
    outputs: Vec<Output>,
}

impl<D: ReplicaStorage> Node<D> {
    /// A copy that begins. A keeper's disk must be given where there is a slot, and only there.
    pub fn start(setup: NodeConfig, disk: Option<D>, now: Millis) -> Node<D> {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(setup.seed);
        let keeper = setup.slot.zip(disk);
        let seed = random.next_u64();
        let keeper = keeper.map(|(slot, disk)| Replica::start(slot, setup.replicas, disk, seed, now));
        let following = (random.next_u64() % setup.replicas.max(1) as u64) as usize;
        let mut member = Node {
            duties: LeaseManager::new(&setup, now),
            leases: ExpiryMonitor::new(setup.lease_timing),
            detector: Detector::new(setup.thresholds),
            config: setup,
            random,
            replica_state_machine: keeper,
            followed_state: State::default(),
            followed_state_at: None,
            following,
            connected: false,
            heard_at: now,
            patience: SILENCE,
            streams: FollowerStreams::default(),
            pending: BTreeMap::new(),
            count: 0,
            reads: BTreeMap::new(),
            opens_at: None,
            read_at: None,
            timers: DeadlineTimers::default(),
            reports: LoadReports::default(),
            steps: BTreeMap::new(),
            clocks: BTreeMap::new(),
            shared_at: now,
            looked_at: now,
            leaving: false,
            outputs: Vec::new(),
        };
        if member.replica_state_machine.is_none() {
            member.outputs.push(Output::Follow(following));
        }
        member
    }

    /// What is to be done since this was last asked.
    pub fn take_outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.outputs)
    }

    /// The state as this copy knows it.
    pub fn state(&self) -> &State {
        known(&self.replica_state_machine, &self.followed_state)
    }

    /// How old that may be, in milliseconds; `None` if nothing was heard yet. A keeper's is as old as its last word with
    /// the leader, which it does not know; so 0 there says only that nothing newer has come.
    pub fn age(&self, now: Millis) -> Option<Millis> {
        match &self.replica_state_machine {
            Some(_) => Some(0),
            None => self.followed_state_at.map(|at| now.saturating_sub(at)),
        }
    }

    /// The keeper in this copy.
    pub fn replica(&self) -> Option<&Replica<D>> {
        self.replica_state_machine.as_ref()
    }

    /// The duties that this copy may act by now.
    pub fn held_leases(&self, now: Millis) -> Vec<(LeaseName, FencingToken)> {
        self.duties.held(now)
    }

    /// Which keeper a follower follows, and whether it is connected.
    pub fn following(&self) -> Option<(usize, bool)> {
        self.replica_state_machine.is_none().then_some((self.following, self.connected))
    }

    /// Whether orders about a site can be carried out yet.
    pub fn accepts_commands(&self) -> bool {
        self.duties.is_open()
    }

    /// The part that a site gets here.
    pub fn site_fraction(&self, site: &str, now: Millis) -> f64 {
        self.duties.part(site, now)
    }

    // ---- what comes from outside ----

    /// A copy has connected here.
    pub fn on_attached(&mut self, now: Millis, copy: Instance) {
        if self.replica_state_machine.is_some() {
            self.streams.attach(now, copy);
        }
    }

    /// Its connection is gone.
    pub fn on_detached(&mut self, copy: Instance) {
        self.streams.detach(copy);
    }

    /// The connection to a keeper is up, or is gone.
    pub fn on_connection(&mut self, keeper: usize, up: bool) {
        if self.replica_state_machine.is_some() || keeper != self.following {
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
    pub fn on_replica_frame(&mut self, now: Millis, slot: usize, frame: Frame) {
        match frame {
            Frame::Replica(word) => {
                if let Some(keeper) = &mut self.replica_state_machine {
                    keeper.on_message(now, slot, &word);
                    self.keeper_news(now);
                }
            }
            Frame::Reports { unix, reports: heard } => {
                self.clocks.insert(slot, (unix as i64 - now as i64, now));
                heard.into_iter().for_each(|report| self.reports.take(now, report));
            }
            Frame::FencedCommand(order) => {
                self.relay(&order);
                self.carry_out(now, order);
            }
            _ if self.replica_state_machine.is_some() || slot != self.following => {}
            frame => self.on_followed_frame(now, frame),
        }
    }

    fn on_followed_frame(&mut self, now: Millis, frame: Frame) {
        self.heard_at = now;
        self.connected = true;
        let told = match frame {
            Frame::State(bytes) => match State::from_bytes(&bytes) {
                Ok(state) => {
                    self.followed_state = state;
                    self.followed_state_at = Some(now);
                    Some(self.followed_state.index())
                }
                Err(why) => {
                    self.outputs.push(Output::Log(format!("a state of another version: {why}")));
                    None
                }
            },
            Frame::Applied { after, index, item: piece } => {
                let known = self.followed_state.index();
                if after <= known && index > known {
                    match piece {
                        StreamItem::Command(proposal) => {
                            self.followed_state.apply(index, &proposal);
                        }
                        StreamItem::Lease(duty, entry) => self.followed_state.set_lease(index, &duty, entry),
                    }
                    self.followed_state_at = Some(now);
                }
                // With a gap nothing later can be applied: the whole state is asked for.
                Some(if after > known { 0 } else { index })
            }
            Frame::Heartbeat(told) => {
                let missed = told > self.followed_state.index();
                if !missed && self.followed_state_at.is_some() {
                    self.followed_state_at = Some(now);
                }
                Some(if missed { 0 } else { self.followed_state.index() })
            }
            Frame::Answer { id, outcome } if id.instance == self.config.instance => {
                self.settle(now, id.number, outcome);
                None
            }
            Frame::ReadIndex { number, index } => {
                if self.reads.remove(&number).is_some() {
                    self.opens_at = Some(index);
                }
                None
            }
            _ => None,
        };
        if let Some(index) = told {
            self.outputs.push(Output::Send(Destination::Replica(self.following), Frame::Ack(index)));
            self.state_changed(now);
        }
    }

    /// A copy that is attached here sent this.
    pub fn on_instance_frame(&mut self, now: Millis, copy: Instance, frame: Frame) {
        let Some(keeper) = &mut self.replica_state_machine else { return };
        match frame {
            Frame::Propose(proposal) if proposal.id.instance == copy => {
                keeper.propose(&proposal);
                self.keeper_news(now);
            }
            Frame::Read { number } => {
                self.count += 1;
                self.reads.insert(self.count, Reader::Copy(copy, number));
                keeper.read_index(self.count);
                self.keeper_news(now);
            }
            Frame::Ack(index) => self.streams.ack(now, copy, index),
            Frame::Report(report) if report.instance == Some(copy) => self.reports.take(now, report),
            _ => {}
        }
    }

    /// What this copy has counted itself.
    pub fn on_report(&mut self, now: Millis, mut report: LoadReport) {
        report.instance = Some(self.config.instance);
        for (site, counts) in &mut report.sites {
            counts.fraction = (self.duties.part(site, now) * 1_000.0).round() as u16;
        }
        if self.replica_state_machine.is_some() {
            self.reports.take(now, report);
        } else if self.connected {
            self.outputs.push(Output::Send(Destination::Replica(self.following), Frame::Report(report)));
        }
    }

    /// A person, or the shell, wants something; [`Output::Answered`] tells what became of it.
    pub fn request(&mut self, now: Millis, ticket: u64, command: Command) {
        self.propose(now, command, ProposalOrigin::Line(ticket), LINE_FOR);
    }

    /// Something that nobody waits for.
    pub fn submit(&mut self, now: Millis, command: Command) {
        self.propose(now, command, ProposalOrigin::Own, OWN_FOR);
    }

    /// This copy ends: others have its duties before it goes.
    pub fn release_leases(&mut self, now: Millis) {
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
    pub fn has_released_leases(&self) -> bool {
        self.duties.has_left()
    }

    // ---- time ----

    /// Lets time pass. `unix` is the system's clock, which may step; it is held against the other keepers' clocks.
    pub fn tick(&mut self, now: Millis, unix: Millis) {
        if let Some(keeper) = &mut self.replica_state_machine {
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
            self.outputs.extend(parts.into_iter().map(|(site, part)| Output::SiteFraction(site, part)));
        }
        let state = self.replica_state_machine.as_ref().map(|keeper| (keeper.applied(), keeper.state()));
        if let Some((applied, state)) = state {
            let fed = self.streams.feed(now, applied, state);
            self.outputs.extend(
                fed.into_iter().map(|(copy, frame)| Output::Send(Destination::Instance(copy), frame)),
            );
        }
        self.outputs.extend(self.duties.did(now).into_iter().map(Output::Audit));
    }

    /// Follows another keeper than the one that says nothing.
    fn turn(&mut self, now: Millis) {
        let others = self.config.replicas.max(2) as u64 - 1;
        let step = 1 + (self.random.next_u64() % others) as usize;
        self.following = (self.following + step) % self.config.replicas.max(1);
        (self.connected, self.heard_at) = (false, now);
        // Spread, so that those who lost one keeper together don't come to the next together for ever.
        self.patience = SILENCE + self.random.next_u64() % SILENCE;
        self.outputs.push(Output::Follow(self.following));
    }

    fn keeper_news(&mut self, now: Millis) {
        let Some(keeper) = &mut self.replica_state_machine else { return };
        for news in keeper.take_events() {
            match news {
                ReplicaEvent::Send(slot, word) => {
                    self.outputs.push(Output::Send(Destination::Replica(slot), Frame::Replica(word)))
                }
                ReplicaEvent::Applied(index, proposal, outcome, duty, came_at) => {
                    if let (Command::Lease(command), Outcome::Lease(Some(grant))) =
                        (&proposal.command, &outcome)
                    {
                        self.leases.observe(came_at, command.lease(), *grant);
                    }
                    // A follower knows fewer of a copy's commands, so it could take one that was refused here for its age.
                    if outcome != Outcome::TooLate {
                        self.streams.applied(index, &proposal, duty);
                    }
                    let id = proposal.id;
                    if id.instance == self.config.instance {
                        self.settle(now, id.number, outcome);
                    } else if self.streams.has(id.instance) {
                        self.outputs.push(Output::Send(
                            Destination::Instance(id.instance),
                            Frame::Answer { id, outcome },
                        ));
                    }
                }
                ReplicaEvent::Restored => {
                    let index =
                        self.replica_state_machine.as_ref().map_or(0, |keeper| keeper.state().index());
                    self.streams.restored(index);
                }
                ReplicaEvent::Read(number) => {
                    let index = self.streams.last();
                    match self.reads.remove(&number) {
                        Some(Reader::Own) => self.opens_at = Some(index),
                        Some(Reader::Copy(copy, number)) => {
                            self.outputs.push(Output::Send(
                                Destination::Instance(copy),
                                Frame::ReadIndex { number, index },
                            ));
                        }
                        None => {}
                    }
                }
                ReplicaEvent::Log(line) => self.outputs.push(Output::Log(line)),
            }
        }
        self.state_changed(now);
    }

    fn state_changed(&mut self, now: Millis) {
        let state = known(&self.replica_state_machine, &self.followed_state);
        self.duties.heard(now, state.leases());
        if self.opens_at.is_some_and(|index| state.index() >= index || self.replica_state_machine.is_some()) {
            self.opens_at = None;
            self.duties.open(state.leases());
        }
    }

    /// What has run out is proposed by the keeper that leads; all of them wait.
    fn run_out(&mut self, now: Millis) {
        let Some(keeper) = &self.replica_state_machine else { return };
        let leads = keeper.is_leader();
        let lapsed = self.leases.poll(now, keeper.state().leases());
        let over = self.timers.poll(now, keeper.state().freeze().timers());
        if leads {
            let lapsed = lapsed.into_iter().map(Command::Lease);
            let over = over
                .into_iter()
                .map(|(wait, version)| Command::Freeze(FreezeState::expiry_command(wait, version)));
            for command in lapsed.chain(over).collect::<Vec<_>>() {
                // It is due again at each look until the state has changed; one at a time is enough.
                if !self.pending.values().any(|p| p.proposal.command == command) {
                    self.propose(now, command, ProposalOrigin::Own, AGAIN);
                }
            }
        }
    }

    fn share(&mut self, now: Millis, unix: Millis) {
        if now.saturating_sub(self.shared_at) < SHARE_EACH {
            return;
        }
        self.shared_at = now;
        let (streams, own) = (&self.streams, self.config.instance);
        let heard = self.reports.share(now, |copy| copy == own || streams.has(copy));
        for slot in (0..self.config.replicas).filter(|slot| Some(*slot) != self.config.slot) {
            let frame = Frame::Reports { unix, reports: heard.clone() };
            self.outputs.push(Output::Send(Destination::Replica(slot), frame));
        }
    }

    // ---- proposals ----

    fn propose(&mut self, now: Millis, command: Command, why: ProposalOrigin, for_: Millis) {
        self.count += 1;
        let proposal =
            Proposal { id: ProposalId { instance: self.config.instance, number: self.count }, command };
        self.send_proposal(&proposal);
        let until = now.saturating_add(for_);
        self.pending.insert(self.count, Pending { proposal, asked_at: now, sent_at: now, until, why });
        self.keeper_news(now);
    }

    fn send_proposal(&mut self, proposal: &Proposal) {
        match &mut self.replica_state_machine {
            Some(keeper) => keeper.propose(proposal),
            None if self.connected => {
                let frame = Frame::Propose(proposal.clone());
                self.outputs.push(Output::Send(Destination::Replica(self.following), frame));
            }
            None => {}
        }
    }

    fn propose_again(&mut self, now: Millis) {
        let over: Vec<u64> = self.pending.iter().filter(|(_, p)| now >= p.until).map(|(n, _)| *n).collect();
        for number in over {
            if let Some(Pending { why: ProposalOrigin::Line(ticket), .. }) = self.pending.remove(&number) {
                self.outputs.push(Output::Answered(ticket, None));
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
            ProposalOrigin::Line(ticket) => self.outputs.push(Output::Answered(ticket, Some(outcome))),
            ProposalOrigin::Own => {}
            ProposalOrigin::Lease(renewed) => {
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
                    && matches!(p.why, ProposalOrigin::Lease(_))
            };
            self.pending.retain(|_, p| !same(p));
            self.propose(now, Command::Lease(command), ProposalOrigin::Lease(renewed), OWN_FOR);
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
        match &mut self.replica_state_machine {
            Some(keeper) => {
                self.reads.insert(number, Reader::Own);
                keeper.read_index(number);
                self.keeper_news(now);
            }
            None if self.connected => {
                self.reads.insert(number, Reader::Own);
                self.outputs.push(Output::Send(Destination::Replica(self.following), Frame::Read { number }));
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
            self.outputs.push(Output::Send(Destination::Instance(copy), Frame::FencedCommand(order.clone())));
        }
    }

    fn carry_out(&mut self, now: Millis, order: FencedCommand<TrafficFraction>) {
        let did = self.duties.carry_out(now, order);
        let parts = self.duties.run_out(now);
        self.outputs.extend(parts.into_iter().map(|(site, part)| Output::SiteFraction(site, part)));
        self.outputs.extend(did.map(Output::Audit));
    }

    /// Gives an order to all copies; only its gates decide whether it is carried out.
    fn give(&mut self, now: Millis, order: FencedCommand<TrafficFraction>) {
        for slot in (0..self.config.replicas).filter(|slot| Some(*slot) != self.config.slot) {
            self.outputs.push(Output::Send(Destination::Replica(slot), Frame::FencedCommand(order.clone())));
        }
        self.relay(&order);
        self.carry_out(now, order);
    }

    // ---- what owners do ----

    /// The time of the day, by most of the keepers' clocks.
    pub fn consensus_time(&self, now: Millis, unix: Millis) -> Millis {
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
        let time = self.consensus_time(now, unix);
        let mut figures = self.reports.figures(now);
        for HeldLease { lease: duty, token, site } in held {
            match site {
                Some(site) => {
                    let orders = self.shift(now, time, &duty, token, &site, &mut figures);
                    orders.into_iter().for_each(|order| self.give(now, order));
                }
                None if duty.to_string() == COORDINATOR_LEASE => self.coordinate(now, token),
                None => {}
            }
        }
    }

    fn coordinate(&mut self, now: Millis, token: FencingToken) {
        let mut facts = self.reports.facts(now);
        if let Some(heard) = self.replica_state_machine.as_ref().and_then(|keeper| keeper.active_voters()) {
            let margin = heard <= self.config.replicas / 2 + 1 && self.config.replicas > 1;
            let level = if margin { 1.0 } else { 0.0 };
            facts.push(Observation { scope: Scope::Replicas, symptom: Symptom::QuorumMargin, level });
        }
        let register = known(&self.replica_state_machine, &self.followed_state).freeze();
        let commands = self.detector.poll(now, &facts, register, token.0);
        for command in commands.into_iter().map(Command::Freeze) {
            if !self.pending.values().any(|p| p.proposal.command == command) {
                self.propose(now, command, ProposalOrigin::Own, OWN_FOR);
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
        figures: &mut FleetLoad,
    ) -> Vec<FencedCommand<TrafficFraction>> {
        let state = known(&self.replica_state_machine, &self.followed_state);
        let windows =
            state.windows().all().iter().filter(|(_, w)| w.plan.site == site && !w.stage.is_final());
        // One that has begun goes first, then the earliest.
        let Some((number, window)) =
            windows.min_by_key(|(_, w)| (!w.stage.takes_traffic_away(), w.plan.starts_at))
        else {
            return Vec::new();
        };
        let (number, window) = (*number, window.clone());
        figures.blocker = trouble(state.freeze(), &window, site);
        let steps = self.steps.entry(duty.clone()).or_default();
        let next = steps.next_command((time, now), (number, &window), figures, &self.config.pacing);
        let orders = match window.stage.takes_traffic_away() {
            true => vec![self.duties.order(duty, token, window.fraction, &self.config)],
            false => Vec::new(),
        };
        if let Some(command) = next {
            let command = Command::Window { token: Some(token), command };
            let busy = self.pending.values().any(|p| is_shift(&p.proposal.command, token));
            if !busy {
                self.propose(now, command, ProposalOrigin::Own, OWN_FOR);
            }
        }
        orders
    }
}

/// The state as a copy knows it, beside whatever else of it is in use.
fn known<'a, D: ReplicaStorage>(keeper: &'a Option<Replica<D>>, replica: &'a State) -> &'a State {
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
