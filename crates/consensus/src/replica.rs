//! A keeper's part in the consensus. The crate decides; here are the promises around it: nothing is told before it is on
//! the disk, a disk that is new, torn or older than its word does not vote as the old one did, and a keeper whose disk
//! fails falls silent.

use crate::log::RaftLog;
use crate::state::{Command, Outcome, Proposal, State};
use crate::storage::{PersistentState, ReplicaStorage, WriteBatch};
use hillstall_lease::table::LeaseRecord as DutyEntry;
use hillstall_lease::Millis;
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeSingle, ConfChangeType, ConfChangeV2, Entry, EntryType};
use raft::eraftpb::{Message, MessageType};
use raft::{Config, ProgressState, RawNode, SnapshotStatus, StateRole, Storage};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::panic::{catch_unwind, AssertUnwindSafe};

/// Between two ticks of the consensus.
const TICK: Millis = 50;
/// Ticks between two signs of a leader, and the least without one after which another is elected; at most twice as many.
const SIGN_TICKS: usize = 2;
const ELECTION_TICKS: usize = 10;
/// Entries applied after which a snapshot is made, and entries before it that stay.
const SNAPSHOT_EACH: u64 = 256;
const SNAPSHOT_KEEP: u64 = 64;
/// A keeper that does not take part yet says so this often, and believes what others said for so long.
const MEET_EACH: Millis = 200;
const MET_FOR: Millis = 2_000;
/// How near a new keeper's log must be to the leader's before it votes.
const NEAR: u64 = 16;
/// A snapshot of which nothing was heard for so long is taken as lost, and sent again.
const SNAPSHOT_FOR: Millis = 1_000;
/// Bytes of one message to another keeper, without its last entry.
const MESSAGE_MOST: u64 = 256 * 1024;

/// What keepers tell each other outside of the consensus.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MembershipMessage {
    /// Who one is, and what one's disk holds.
    Announce {
        /// See [`PersistentState::id`].
        id: u64,
        /// See [`PersistentState::boot`].
        boot: u64,
        /// Drawn at each start: a disk that was put back may count the same start again.
        incarnation: u64,
        /// See [`PersistentState::founders`].
        founders: Vec<u64>,
    },
    /// That start is the newest known, and is known from now on.
    Acknowledge {
        /// See above.
        incarnation: u64,
    },
    /// A newer start from that disk is known: the disk is older than its word.
    Outdated {
        /// See above.
        incarnation: u64,
    },
    /// Asks to be made a member.
    Join {
        /// Its id.
        id: u64,
    },
}

/// What a keeper sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReplicaMessage {
    /// Outside of the consensus.
    Membership(MembershipMessage),
    /// Of the consensus, as its crate encodes it.
    Raft(Vec<u8>),
}

/// What became of what a keeper was asked.
#[derive(Clone, Debug, PartialEq)]
pub enum ReplicaEvent {
    /// Send this to a keeper, by its slot.
    Send(usize, ReplicaMessage),
    /// An entry was applied; with the duty as it was right after, if it was about one: what others are told of it must not
    /// be ahead of what follows. And when it came to this keeper.
    Applied(u64, Proposal, Outcome, Option<DutyEntry>, Millis),
    /// The whole state was replaced.
    Restored,
    /// A true read has its answer: the state is as new as when it was asked.
    Read(u64),
    /// A line for the log.
    Log(String),
}

/// The slot of a keeper's id.
pub fn slot_of(id: u64) -> usize {
    (id >> 32) as usize
}

/// An id for a new disk: the slot, and what makes it differ from all disks that were there before.
pub fn new_id(slot: usize, random: u64) -> u64 {
    // Over zero, as the crate knows no id of zero.
    ((slot as u64) << 32) | (random & 0xFFFF_FFFF).max(1)
}

struct KnownPeer {
    id: u64,
    incarnation: u64,
    boot: u64,
    founders: Vec<u64>,
    at: Millis,
}

/// See the module's text.
pub struct Replica<D> {
    slot: usize,
    slots: usize,
    storage: D,
    persistent: PersistentState,
    incarnation: u64,
    random: Xoshiro256PlusPlus,
    node: Option<RawNode<RaftLog>>,
    /// Others that know of this start; it takes part once there are enough.
    welcomed: Vec<usize>,
    known_peers: BTreeMap<usize, KnownPeer>,
    state: State,
    applied: u64,
    halted: Option<String>,
    ticked_at: Millis,
    said_at: Option<Millis>,
    /// The term and role for which the present timeout was drawn.
    drawn_for: Option<(u64, StateRole)>,
    timeout: usize,
    /// What others that wait to be made members have said, by their ids.
    joins: BTreeMap<u64, Millis>,
    /// Since when a snapshot is out to a member, by its id.
    snapshots: BTreeMap<u64, Millis>,
    /// Since the last snapshot.
    members_changed: bool,
    /// When entries came that are not applied yet.
    came_at: BTreeMap<u64, Millis>,
    now: Millis,
    /// True reads, by the index that has to be applied for them.
    reads: Vec<(u64, u64)>,
    events: Vec<ReplicaEvent>,
}

impl<D: ReplicaStorage> Replica<D> {
    /// Starts from what the disk holds. `seed` must differ from start to start.
    pub fn start(slot: usize, slots: usize, mut disk: D, seed: u64, now: Millis) -> Replica<D> {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let life = random.next_u64();
        let mut news = Vec::new();
        let mut loaded = disk.load();
        if let Ok(kept) = &loaded {
            let whole = kept.participates.then(|| RaftLog::read(kept)).transpose();
            if let Err(torn) = whole {
                news.push(ReplicaEvent::Log(format!("{torn}; it comes back as a new member")));
                loaded = disk.reset();
            }
        }
        let mut keeper = Replica {
            slot,
            slots,
            storage: disk,
            persistent: PersistentState::default(),
            incarnation: life,
            random,
            node: None,
            welcomed: Vec::new(),
            known_peers: BTreeMap::new(),
            state: State::default(),
            applied: 0,
            halted: None,
            ticked_at: now,
            said_at: None,
            drawn_for: None,
            timeout: ELECTION_TICKS,
            joins: BTreeMap::new(),
            snapshots: BTreeMap::new(),
            members_changed: false,
            came_at: BTreeMap::new(),
            now,
            reads: Vec::new(),
            events: news,
        };
        match loaded {
            Ok(kept) => {
                keeper.persistent = kept;
                let boot = keeper.persistent.boot + 1;
                keeper.save(WriteBatch { boot: Some(boot), ..WriteBatch::default() });
                if keeper.persistent.participates {
                    if let Ok(log) = RaftLog::read(&keeper.persistent) {
                        keeper.open(log);
                    }
                }
            }
            Err(why) => keeper.halt(why.to_string()),
        }
        keeper
    }

    /// Writes to the disk first; gives whether that went well.
    fn save(&mut self, change: WriteBatch) -> bool {
        if change.is_empty() {
            return true;
        }
        // The log itself is kept once, in memory, by the node.
        let bare = WriteBatch {
            boot: change.boot,
            founders: change.founders.clone(),
            participates: change.participates,
            known_boots: change.known_boots.clone(),
            ..WriteBatch::default()
        };
        match self.storage.save(change) {
            Ok(()) => {
                bare.apply(&mut self.persistent);
                true
            }
            Err(why) => {
                self.halt(why.to_string());
                false
            }
        }
    }

    fn halt(&mut self, why: String) {
        self.events.push(ReplicaEvent::Log(format!("{why}; it says nothing more until it is started again")));
        self.node = None;
        self.halted = Some(why);
    }

    fn open(&mut self, log: RaftLog) {
        let (index, state) = log.state();
        let state = if state.is_empty() { Ok(State::default()) } else { State::from_bytes(state) };
        let state = match state {
            Ok(state) => state,
            Err(why) => return self.halt(format!("the snapshot is of another version: {why}")),
        };
        (self.applied, self.state) = (index, state);
        let config = Config {
            id: self.persistent.id,
            election_tick: ELECTION_TICKS,
            heartbeat_tick: SIGN_TICKS,
            applied: index,
            max_size_per_msg: MESSAGE_MOST,
            max_inflight_msgs: 64,
            check_quorum: true,
            pre_vote: true,
            max_uncommitted_size: 4 * MESSAGE_MOST,
            ..Config::default()
        };
        // What the crate logs is for those who work on it.
        let quiet = slog::Logger::root(slog::Discard, slog::o!());
        match RawNode::new(&config, log, &quiet) {
            Ok(node) => {
                self.node = Some(node);
                self.persistent.entries.clear();
                self.events.push(ReplicaEvent::Restored);
                self.draw();
            }
            Err(why) => self.halt(format!("the log can't be used: {why}")),
        }
    }

    /// The crate draws its timeouts from a source of its own; ours come from the seed, so that a run repeats.
    fn draw(&mut self) {
        let Some(node) = &mut self.node else { return };
        let now = (node.raft.term, node.raft.state);
        if self.drawn_for != Some(now) {
            self.drawn_for = Some(now);
            self.timeout = ELECTION_TICKS + (self.random.next_u64() % ELECTION_TICKS as u64) as usize;
        }
        node.raft.set_randomized_election_timeout(self.timeout);
    }

    /// Others that must know of a start before it takes part: with them it is a majority.
    fn welcomes_needed(&self) -> usize {
        self.slots / 2
    }

    fn may_speak(&self) -> bool {
        self.welcomed.len() >= self.welcomes_needed()
    }

    fn others(&self) -> impl Iterator<Item = usize> + use<D> {
        let own = self.slot;
        (0..self.slots).filter(move |slot| *slot != own)
    }

    fn tell(&mut self, slot: usize, meeting: MembershipMessage) {
        self.events.push(ReplicaEvent::Send(slot, ReplicaMessage::Membership(meeting)));
    }

    /// Lets time pass. Of a long stop only one tick counts: nothing could be heard meanwhile.
    pub fn tick(&mut self, now: Millis) {
        self.now = now;
        if self.halted.is_some() {
            return;
        }
        let settled = self.node.is_some() && self.may_speak() && self.is_member();
        let due = self.said_at.is_none_or(|at| now.saturating_sub(at) >= MEET_EACH);
        if !settled && due {
            self.said_at = Some(now);
            self.say_here();
        }
        if now.saturating_sub(self.ticked_at) < TICK {
            return;
        }
        self.ticked_at = now;
        if !self.may_speak() {
            return;
        }
        if let Some(node) = &mut self.node {
            node.tick();
        }
        self.draw();
        self.change_members(now);
        self.send_snapshots_again(now);
        self.pump();
    }

    /// The crate waits for word of a snapshot for ever, and a lost one would keep its member out.
    fn send_snapshots_again(&mut self, now: Millis) {
        let Some(node) = self.node.as_mut().filter(|node| node.raft.state == StateRole::Leader) else {
            return self.snapshots.clear();
        };
        let out = node.raft.prs().iter().filter(|(_, progress)| progress.state == ProgressState::Snapshot);
        let out: Vec<u64> = out.map(|(id, _)| *id).collect();
        self.snapshots.retain(|id, _| out.contains(id));
        for id in out {
            let since = *self.snapshots.entry(id).or_insert(now);
            if now.saturating_sub(since) >= SNAPSHOT_FOR {
                node.report_snapshot(id, SnapshotStatus::Failure);
                self.snapshots.remove(&id);
            }
        }
    }

    fn say_here(&mut self) {
        let joins = self.node.is_some() && self.may_speak() && !self.is_member();
        for slot in self.others() {
            let here = self.here();
            self.tell(slot, here);
            if joins {
                self.tell(slot, MembershipMessage::Join { id: self.persistent.id });
            }
        }
    }

    fn here(&self) -> MembershipMessage {
        let PersistentState { id, boot, founders, .. } = &self.persistent;
        MembershipMessage::Announce {
            id: *id,
            boot: *boot,
            incarnation: self.incarnation,
            founders: founders.clone(),
        }
    }

    fn is_member(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.store().members().voters.contains(&self.persistent.id))
    }

    /// Takes a word of another keeper.
    pub fn on_message(&mut self, now: Millis, slot: usize, word: &ReplicaMessage) {
        self.now = now;
        if self.halted.is_some() {
            return;
        }
        match word {
            ReplicaMessage::Membership(meeting) => self.meet(now, slot, meeting),
            ReplicaMessage::Raft(bytes) => self.step(bytes),
        }
        self.draw();
        self.pump();
    }

    fn meet(&mut self, now: Millis, slot: usize, meeting: &MembershipMessage) {
        match meeting {
            MembershipMessage::Announce { id, boot, incarnation: life, founders } => {
                if slot_of(*id) != slot {
                    return;
                }
                let known = self.persistent.known_boots.get(id).copied().unwrap_or(0);
                let same =
                    self.known_peers.get(&slot).is_some_and(|met| met.id == *id && met.incarnation == *life);
                let newer = *boot > known;
                if !newer && !same {
                    // After a start of our own, the one known may be just this one: then its life was not kept.
                    let unsure = *boot == known && !self.known_peers.contains_key(&slot);
                    if !unsure {
                        return self.tell(slot, MembershipMessage::Outdated { incarnation: *life });
                    }
                }
                if newer
                    && !self.save(WriteBatch { known_boots: [(*id, *boot)].into(), ..WriteBatch::default() })
                {
                    return;
                }
                // One that is new has to know what became of the fleet; two that are new both say who they are anyway.
                let is_new = founders.is_empty() && !self.persistent.founders.is_empty();
                let (id, boot, life, founders) = (*id, *boot, *life, founders.clone());
                self.known_peers.insert(slot, KnownPeer { id, boot, incarnation: life, founders, at: now });
                self.tell(slot, MembershipMessage::Acknowledge { incarnation: life });
                if is_new {
                    let here = self.here();
                    self.tell(slot, here);
                }
                self.begin(now);
            }
            MembershipMessage::Acknowledge { incarnation: life } if *life == self.incarnation => {
                if !self.welcomed.contains(&slot) {
                    self.welcomed.push(slot);
                }
                self.begin(now);
            }
            MembershipMessage::Outdated { incarnation: life } if *life == self.incarnation => {
                self.come_back_new()
            }
            MembershipMessage::Join { id } if slot_of(*id) == slot => {
                self.joins.insert(*id, now);
            }
            _ => {}
        }
    }

    /// Whatever this disk has said before is not all it has said: it is given up.
    fn come_back_new(&mut self) {
        self.events
            .push(ReplicaEvent::Log("the disk is older than its word; it comes back as a new member".into()));
        self.node = None;
        self.welcomed.clear();
        match self.storage.reset() {
            Ok(kept) => {
                self.persistent = kept;
                self.said_at = None;
                self.incarnation = self.random.next_u64();
                self.save(WriteBatch { boot: Some(1), ..WriteBatch::default() });
            }
            Err(why) => self.halt(why.to_string()),
        }
    }

    /// A keeper whose disk is new: founds the fleet with the others if all of them are new, or joins it.
    fn begin(&mut self, now: Millis) {
        if self.node.is_some() || self.persistent.participates || !self.may_speak() {
            return;
        }
        let founded =
            self.known_peers.values().find(|met| !met.founders.is_empty()).map(|met| met.founders.clone());
        let young = |met: &&KnownPeer| now.saturating_sub(met.at) < MET_FOR && met.boot > 0;
        let log = match founded {
            // It was met when the fleet was founded, and has taken no part yet.
            Some(founders) if founders.contains(&self.persistent.id) => {
                (RaftLog::founded(&founders, initial_state()), founders)
            }
            Some(founders) => (RaftLog::empty(), founders),
            None if self.known_peers.values().filter(young).count() + 1 == self.slots => {
                let mut ids: Vec<u64> = self.known_peers.values().map(|met| met.id).collect();
                ids.push(self.persistent.id);
                ids.sort_unstable();
                (RaftLog::founded(&ids, initial_state()), ids)
            }
            None => return,
        };
        let (mut log, founders) = log;
        let change = WriteBatch { participates: Some(true), founders: Some(founders), ..log.unsaved() };
        if self.save(change) {
            self.open(log);
            self.say_here();
        }
    }

    fn step(&mut self, bytes: &[u8]) {
        if !self.may_speak() {
            return;
        }
        let Some(node) = &mut self.node else { return };
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return self.events.push(ReplicaEvent::Log("a keeper's word can't be read".into()));
        };
        // Meant for the disk that was here before, or from a keeper that is no keeper.
        if message.to != self.persistent.id || slot_of(message.from) >= self.slots {
            return;
        }
        // The leader only tells a follower of what that follower has said that it holds.
        let beyond = message.commit > node.store().last_index().unwrap_or(0);
        let is_sign = message.msg_type == MessageType::MsgHeartbeat;
        if is_sign && beyond && message.term >= node.raft.term {
            return self.come_back_new();
        }
        // The crate panics where its log contradicts what others know it to hold: then the disk is not what it was. What it
        // refuses otherwise, as a word of an older term, is no fault.
        let stepped = catch_unwind(AssertUnwindSafe(|| node.step(message)));
        if stepped.is_err() {
            self.come_back_new();
        }
    }

    /// The leader makes members of those that wait: first one that only listens, then one in the place of the old disk.
    fn change_members(&mut self, now: Millis) {
        self.joins.retain(|_, at| now.saturating_sub(*at) < MET_FOR);
        let Some(node) = &mut self.node else { return };
        if node.raft.state != StateRole::Leader || node.raft.has_pending_conf() {
            return;
        }
        let single = |change: ConfChangeType, id: u64| ConfChangeSingle {
            change_type: change,
            node_id: id,
            ..ConfChangeSingle::default()
        };
        let members = node.store().members().clone();
        for id in self.joins.keys().copied().collect::<Vec<_>>() {
            let changes = if members.learners.contains(&id) {
                let matched = node.raft.prs().get(id).map_or(0, |progress| progress.matched);
                if matched + NEAR < node.raft.raft_log.committed {
                    continue;
                }
                let old = members.voters.iter().filter(|old| slot_of(**old) == slot_of(id));
                let mut changes: Vec<_> = old.map(|old| single(ConfChangeType::RemoveNode, *old)).collect();
                changes.push(single(ConfChangeType::AddNode, id));
                changes
            } else if !members.voters.contains(&id) {
                // A disk that was replaced before it voted is forgotten with the next one.
                let old = members.learners.iter().filter(|old| slot_of(**old) == slot_of(id));
                let mut changes: Vec<_> = old.map(|old| single(ConfChangeType::RemoveNode, *old)).collect();
                changes.push(single(ConfChangeType::AddLearnerNode, id));
                changes
            } else {
                continue;
            };
            let change = ConfChangeV2 { changes: changes.into(), ..ConfChangeV2::default() };
            if node.propose_conf_change(Vec::new(), change).is_ok() {
                return;
            }
        }
    }

    /// Proposes something; it may be lost, and is proposed again by whoever wants it.
    pub fn propose(&mut self, proposal: &Proposal) {
        let Ok(bytes) = postcard::to_stdvec(proposal) else { return };
        if !self.may_speak() {
            return;
        }
        if let Some(node) = &mut self.node {
            // Without a leader it is dropped.
            let _ = node.propose(Vec::new(), bytes);
            self.pump();
        }
    }

    /// Asks for a true read under a number; [`ReplicaEvent::Read`] tells when the state is new enough.
    pub fn read_index(&mut self, number: u64) {
        if !self.may_speak() {
            return;
        }
        if let Some(node) = &mut self.node {
            let mut context = self.persistent.id.to_be_bytes().to_vec();
            context.extend(number.to_be_bytes());
            node.read_index(context);
            self.pump();
        }
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let slot = slot_of(message.to);
            if slot < self.slots && slot != self.slot {
                self.events.push(ReplicaEvent::Send(
                    slot,
                    ReplicaMessage::Raft(message.write_to_bytes().unwrap_or_default()),
                ));
            }
        }
    }

    /// Does all that the crate has ready: first the disk, then the others, then the state.
    fn pump(&mut self) {
        while self.node.as_ref().is_some_and(|node| node.has_ready()) {
            let Some(node) = &mut self.node else { return };
            let mut ready = node.ready();
            let first = ready.take_messages();
            let snapshot = ready.snapshot().clone();
            let store = node.mut_store();
            if !snapshot.is_empty() {
                store.restore(&snapshot);
            }
            store.append(ready.entries());
            for entry in ready.entries() {
                self.came_at.insert(entry.index, self.now);
            }
            if let Some(hard) = ready.hs() {
                store.set_hard(hard);
            }
            let change = store.unsaved();
            if !self.save(change) {
                return;
            }
            self.send(first);
            let persisted = ready.take_persisted_messages();
            self.send(persisted);
            if !snapshot.is_empty() {
                match State::from_bytes(&snapshot.data) {
                    Ok(state) => self.state = state,
                    Err(why) => return self.halt(format!("a snapshot of another version: {why}")),
                }
                self.applied = snapshot.get_metadata().index;
                self.events.push(ReplicaEvent::Restored);
            }
            for read in ready.take_read_states() {
                let number = read.request_ctx.get(8..16).and_then(|b| b.try_into().ok());
                self.reads.extend(number.map(|number| (read.index, u64::from_be_bytes(number))));
            }
            self.apply(ready.take_committed_entries());
            let Some(node) = &mut self.node else { return };
            let mut light = node.advance(ready);
            if let Some(commit) = light.commit_index() {
                node.mut_store().set_commit(commit);
            }
            let (messages, entries) = (light.take_messages(), light.take_committed_entries());
            self.send(messages);
            self.apply(entries);
            if let Some(node) = &mut self.node {
                node.advance_apply();
            }
            self.compact();
            self.draw();
            // A read is answered once all is applied that was committed when it was asked.
            let (applied, news) = (self.applied, &mut self.events);
            self.reads.retain(|(index, number)| {
                let done = *index <= applied;
                if done {
                    news.push(ReplicaEvent::Read(*number));
                }
                !done
            });
        }
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.applied = self.applied.max(entry.index);
            self.came_at.retain(|index, _| *index >= entry.index);
            let Some(node) = &mut self.node else { return };
            let changed = match entry.entry_type {
                EntryType::EntryConfChange => ConfChange::parse_from_bytes(&entry.data)
                    .ok()
                    .map(|change| node.apply_conf_change(&change)),
                EntryType::EntryConfChangeV2 => ConfChangeV2::parse_from_bytes(&entry.data)
                    .ok()
                    .map(|change| node.apply_conf_change(&change)),
                _ if entry.data.is_empty() => None,
                _ => {
                    if let Ok(proposal) = postcard::from_bytes::<Proposal>(&entry.data) {
                        let outcome = self.state.apply(entry.index, &proposal);
                        let duty = match &proposal.command {
                            Command::Lease(command) => self.state.leases().record(command.lease()).cloned(),
                            _ => None,
                        };
                        let came_at = self.came_at.get(&entry.index).copied().unwrap_or(self.now);
                        self.events.push(ReplicaEvent::Applied(
                            entry.index,
                            proposal,
                            outcome,
                            duty,
                            came_at,
                        ));
                    }
                    None
                }
            };
            if let Some(Ok(members)) = changed {
                let told = format!("keepers are {:?}, and {:?} listen", members.voters, members.learners);
                node.mut_store().set_members(members);
                self.members_changed = true;
                self.events.push(ReplicaEvent::Log(told));
            }
        }
    }

    fn compact(&mut self) {
        let Some(node) = &mut self.node else { return };
        // A new member takes no snapshot that it is not in, so one is made with each change.
        if !self.members_changed && self.applied < node.store().state().0 + SNAPSHOT_EACH {
            return;
        }
        self.members_changed = false;
        let state = self.state.to_bytes();
        node.mut_store().compact(self.applied, state, SNAPSHOT_KEEP);
        let change = node.mut_store().unsaved();
        self.save(change);
    }

    /// What happened since this was last asked.
    pub fn take_events(&mut self) -> Vec<ReplicaEvent> {
        std::mem::take(&mut self.events)
    }

    /// The state, as this keeper has applied it.
    pub fn state(&self) -> &State {
        &self.state
    }

    /// The last entry that was applied.
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// Whether this keeper leads, as it believes.
    pub fn is_leader(&self) -> bool {
        self.node.as_ref().is_some_and(|node| node.raft.state == StateRole::Leader)
    }

    /// The slot of the leader that this keeper knows of.
    pub fn leader(&self) -> Option<usize> {
        let leader = self.node.as_ref()?.raft.leader_id;
        (leader != 0).then(|| slot_of(leader))
    }

    /// Who this keeper is, by its disk.
    pub fn id(&self) -> u64 {
        self.persistent.id
    }

    /// The ids of the members that vote.
    pub fn members(&self) -> Vec<u64> {
        self.node.as_ref().map_or(Vec::new(), |node| node.store().members().voters.clone())
    }

    /// Whether members are being changed: until that is over, the loss of one more may end the quorum.
    pub fn changes_members(&self) -> bool {
        self.node.as_ref().is_some_and(|node| {
            let members = node.store().members();
            !members.voters_outgoing.is_empty() || !members.learners.is_empty()
        })
    }

    /// How many members the leader has heard of lately, itself included; `None` on others.
    pub fn active_voters(&self) -> Option<usize> {
        let node = self.node.as_ref().filter(|node| node.raft.state == StateRole::Leader)?;
        let own = self.persistent.id;
        let active = |id: &&u64| **id == own || node.raft.prs().get(**id).is_some_and(|p| p.recent_active);
        Some(node.store().members().voters.iter().filter(active).count())
    }

    /// Why it says nothing, if so.
    pub fn halted(&self) -> Option<&str> {
        self.halted.as_deref()
    }
}

/// The state that a fleet begins with.
fn initial_state() -> Vec<u8> {
    State::default().to_bytes()
}
