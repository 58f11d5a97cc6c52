//! The interface to the `raft` crate: proposals, reads and messages are passed to it, and its `Ready` results
//! are processed: changes are stored first, then messages are sent, then committed entries are applied.

use super::{replica_slot, AppliedProposal, Replica, ReplicaEvent, ReplicaMessage};
use crate::state::{Command, Proposal, State};
use crate::storage::{ReplicaStorage, WriteBatch};
use protobuf::Message as _;
use raft::eraftpb::{ConfChange, ConfChangeV2, ConfState, Entry, EntryType, Message, MessageType, Snapshot};
use raft::{ReadState, Ready, Storage};
use std::panic::{catch_unwind, AssertUnwindSafe};

/// The position of the read's number in the context of a read request; the replica's id comes before.
const READ_NUMBER_RANGE: std::ops::Range<usize> = 8..16;

/// A linearizable read whose index is known, but may not be applied yet.
pub(super) struct PendingRead {
    /// The index that must be applied before the read is ready.
    index: u64,
    /// The number under which the read was requested.
    number: u64,
}

impl<D: ReplicaStorage> Replica<D> {
    /// Passes a proposal to the raft protocol; [`Replica::flush`] processes the results. The proposal may be
    /// lost, so the proposer has to retry it until there is an outcome.
    pub fn propose(&mut self, proposal: &Proposal) {
        let Ok(bytes) = postcard::to_stdvec(proposal) else { return };
        if !self.is_start_acknowledged() {
            return;
        }
        if let Some(node) = &mut self.raft {
            // Without a leader the proposal is rejected, which the proposer's retries cover like a loss.
            let _ = node.propose(Vec::new(), bytes);
        }
    }

    /// Requests a linearizable read. [`ReplicaEvent::ReadReady`] with this `number` follows once the state is
    /// new enough; it never follows if the request is lost.
    pub fn read_index(&mut self, number: u64) {
        if !self.is_start_acknowledged() {
            return;
        }
        if let Some(node) = &mut self.raft {
            let mut context = self.persistent.id.to_be_bytes().to_vec();
            context.extend(number.to_be_bytes());
            node.read_index(context);
        }
    }

    /// Handles an encoded message of the raft protocol.
    pub(super) fn on_raft_message(&mut self, bytes: &[u8]) {
        if !self.is_start_acknowledged() {
            return;
        }
        let Some(node) = &mut self.raft else { return };
        let Ok(message) = Message::parse_from_bytes(bytes) else {
            return self
                .log(format!("ignored a raft message of {} bytes that cannot be decoded", bytes.len()));
        };
        // A message may be addressed to the id of the slot's previous storage, or come from a slot that does
        // not exist.
        if message.to != self.persistent.id || replica_slot(message.from) >= self.slots {
            return;
        }
        // A leader's heartbeat never has a higher commit index than the last entry that this replica has
        // confirmed. If it has, the entries were lost with the storage.
        let commits_unknown = message.commit > node.store().last_index().unwrap_or(0);
        let is_heartbeat = message.msg_type == MessageType::MsgHeartbeat;
        if is_heartbeat && commits_unknown && message.term >= node.raft.term {
            return self.reset_storage();
        }
        // The raft crate panics if the log contradicts what this replica has confirmed before, so the storage
        // was replaced. An error, such as for a message of an older term, needs no action.
        let result = catch_unwind(AssertUnwindSafe(|| node.step(message)));
        if result.is_err() {
            self.reset_storage();
        }
    }

    /// Processes the results of all inputs since the last call: stores changes, sends messages and applies
    /// committed entries. Inputs that arrived together share one write to the storage.
    pub fn flush(&mut self) {
        while self.raft.as_ref().is_some_and(|node| node.has_ready()) {
            if !self.process_one_ready() {
                return;
            }
        }
    }

    /// Processes one `Ready` of the raft crate. Returns false if this replica has halted.
    fn process_one_ready(&mut self) -> bool {
        let Some(node) = &mut self.raft else { return false };
        let mut ready = node.ready();
        let batch = self.append_ready(&ready);
        if !self.save(batch) {
            return false;
        }
        self.send(ready.take_messages());
        self.send(ready.take_persisted_messages());
        if !self.restore(ready.snapshot()) {
            return false;
        }
        self.add_pending_reads(ready.take_read_states());
        self.apply(ready.take_committed_entries());
        if !self.advance(ready) {
            return false;
        }
        self.compact_log();
        self.draw_election_timeout();
        self.answer_reads();
        true
    }

    /// Adds the entries, snapshot and hard state of a `Ready` to the log. Returns the changes to store.
    fn append_ready(&mut self, ready: &Ready) -> WriteBatch {
        let Some(node) = &mut self.raft else { return WriteBatch::default() };
        let log = node.mut_store();
        if !ready.snapshot().is_empty() {
            log.restore(ready.snapshot());
        }
        log.append(ready.entries());
        for entry in ready.entries() {
            self.received_at.insert(entry.index, self.now);
        }
        if let Some(hard_state) = ready.hs() {
            log.set_hard_state(hard_state);
        }
        log.take_unsaved()
    }

    fn send(&mut self, messages: Vec<Message>) {
        for message in messages {
            let slot = replica_slot(message.to);
            if slot < self.slots && slot != self.slot {
                let bytes = message.write_to_bytes().unwrap_or_default();
                self.events.push(ReplicaEvent::Send { slot, message: ReplicaMessage::Raft(bytes) });
            }
        }
    }

    /// Replaces the state by that of a snapshot, unless the snapshot is empty. Returns false if this replica
    /// has halted, as the snapshot can't be decoded.
    fn restore(&mut self, snapshot: &Snapshot) -> bool {
        if snapshot.is_empty() {
            return true;
        }
        match State::from_bytes(&snapshot.data) {
            Ok(state) => self.state = state,
            Err(error) => {
                self.halt(format!("the received snapshot is not of this version: {error}"));
                return false;
            }
        }
        self.applied_index = snapshot.get_metadata().index;
        self.events.push(ReplicaEvent::Restored);
        true
    }

    /// Tells the raft crate that a `Ready` is processed, and processes the resulting `LightReady`. Returns
    /// false if this replica has halted.
    fn advance(&mut self, ready: Ready) -> bool {
        let Some(node) = &mut self.raft else { return false };
        let mut light_ready = node.advance(ready);
        if let Some(commit) = light_ready.commit_index() {
            node.mut_store().set_commit(commit);
        }
        self.send(light_ready.take_messages());
        self.apply(light_ready.take_committed_entries());
        if let Some(node) = &mut self.raft {
            node.advance_apply();
        }
        true
    }

    fn apply(&mut self, entries: Vec<Entry>) {
        for entry in entries {
            self.applied_index = self.applied_index.max(entry.index);
            self.received_at.retain(|index, _| *index >= entry.index);
            let Some(node) = &mut self.raft else { return };
            let members = match entry.entry_type {
                EntryType::EntryConfChange => ConfChange::parse_from_bytes(&entry.data)
                    .ok()
                    .and_then(|change| node.apply_conf_change(&change).ok()),
                EntryType::EntryConfChangeV2 => ConfChangeV2::parse_from_bytes(&entry.data)
                    .ok()
                    .and_then(|change| node.apply_conf_change(&change).ok()),
                EntryType::EntryNormal => {
                    self.apply_proposal(&entry);
                    None
                }
            };
            if let Some(members) = members {
                self.set_members(members);
            }
        }
    }

    fn apply_proposal(&mut self, entry: &Entry) {
        // A new leader begins its term with an empty entry, which has no proposal.
        if entry.data.is_empty() {
            return;
        }
        let Ok(proposal) = postcard::from_bytes::<Proposal>(&entry.data) else { return };
        let outcome = self.state.apply(entry.index, &proposal);
        let lease_record = match &proposal.command {
            Command::Lease(command) => self.state.leases().record(command.lease()).cloned(),
            _ => None,
        };
        let received_at = self.received_at.get(&entry.index).copied().unwrap_or(self.now);
        let applied = AppliedProposal { index: entry.index, proposal, outcome, lease_record, received_at };
        self.events.push(ReplicaEvent::Applied(applied));
    }

    fn set_members(&mut self, members: ConfState) {
        let Some(node) = &mut self.raft else { return };
        let line = format!("members changed: voters {:?}, learners {:?}", members.voters, members.learners);
        node.mut_store().set_members(members);
        self.members_changed = true;
        self.log(line);
    }

    fn add_pending_reads(&mut self, reads: Vec<ReadState>) {
        for read in reads {
            let number = read.request_ctx.get(READ_NUMBER_RANGE).and_then(|bytes| bytes.try_into().ok());
            if let Some(number) = number.map(u64::from_be_bytes) {
                self.pending_reads.push(PendingRead { index: read.index, number });
            }
        }
    }

    /// Answers the reads whose index is applied.
    fn answer_reads(&mut self) {
        let applied_index = self.applied_index;
        let events = &mut self.events;
        self.pending_reads.retain(|read| {
            let is_ready = read.index <= applied_index;
            if is_ready {
                events.push(ReplicaEvent::ReadReady { number: read.number });
            }
            !is_ready
        });
    }
}
