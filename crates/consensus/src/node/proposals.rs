//! Proposals of this instance. Each is retried until it has an outcome or times out. A retry has the same id,
//! so that the proposal is applied at most once.

use super::{Node, Output};
use crate::frame::Frame;
use crate::state::{Command, Outcome, Proposal, ProposalId};
use crate::storage::ReplicaStorage;
use hillstall_lease::{FencingToken, Millis};

/// A proposal without an outcome is sent again after this long.
pub(super) const PROPOSAL_RETRY_INTERVAL_MS: Millis = 250;
/// How long a proposal of the node itself is retried.
pub(super) const PROPOSAL_TIMEOUT_MS: Millis = 3_000;
/// How long a proposal for a requester is retried before the requester is told that there is no outcome.
const REQUEST_TIMEOUT_MS: Millis = 1_700;

/// The origin of a proposal, which determines how its outcome is handled.
#[derive(Clone, Copy, Debug)]
pub(super) enum ProposalOrigin {
    /// This instance acquires, renews or releases a lease. A renewal has the token of the grant to renew.
    Lease { renewed_token: Option<FencingToken> },
    /// A requester waits for the outcome; the ticket identifies the request.
    Request { ticket: u64 },
    /// The outcome is ignored.
    Background,
}

/// A proposal without an outcome yet.
#[derive(Clone, Debug)]
pub(super) struct PendingProposal {
    pub(super) proposal: Proposal,
    pub(super) origin: ProposalOrigin,
    created_at: Millis,
    sent_at: Millis,
    deadline: Millis,
}

impl<D: ReplicaStorage> Node<D> {
    /// Proposes a command for a requester. [`Output::Answered`] with this `ticket`, which the caller chooses,
    /// gives the outcome.
    pub fn request(&mut self, now: Millis, ticket: u64, command: Command) {
        self.propose(now, command, ProposalOrigin::Request { ticket }, REQUEST_TIMEOUT_MS);
    }

    /// Proposes a command whose outcome the caller does not need; there is no [`Output::Answered`].
    pub fn submit(&mut self, now: Millis, command: Command) {
        self.propose(now, command, ProposalOrigin::Background, PROPOSAL_TIMEOUT_MS);
    }

    /// Sends a new proposal and retries it until `timeout` milliseconds have passed.
    pub(super) fn propose(&mut self, now: Millis, command: Command, origin: ProposalOrigin, timeout: Millis) {
        self.last_number += 1;
        let number = self.last_number;
        let id = ProposalId { instance: self.config.instance, number };
        let proposal = Proposal { id, command };
        self.send_proposal(&proposal);
        let deadline = now.saturating_add(timeout);
        let pending = PendingProposal { proposal, origin, created_at: now, sent_at: now, deadline };
        self.pending_proposals.insert(number, pending);
    }

    /// Proposes a command whose outcome is not needed, unless the same command is pending.
    pub(super) fn propose_once(&mut self, now: Millis, command: Command, timeout: Millis) {
        if !self.has_pending(|pending| *pending == command) {
            self.propose(now, command, ProposalOrigin::Background, timeout);
        }
    }

    /// Whether a pending proposal has a command that matches.
    pub(super) fn has_pending(&self, matches: impl Fn(&Command) -> bool) -> bool {
        self.pending_proposals.values().any(|pending| matches(&pending.proposal.command))
    }

    fn send_proposal(&mut self, proposal: &Proposal) {
        match &mut self.replica {
            Some(replica) => replica.propose(proposal),
            None if self.followed.connected => {
                self.send_to_replica(self.followed.slot, Frame::Propose(proposal.clone()));
            }
            None => {}
        }
    }

    /// Drops the proposals whose deadline has passed, and sends those again whose retry is due.
    pub(super) fn retry_proposals(&mut self, now: Millis) {
        self.time_out_proposals(now);
        let mut retries = Vec::new();
        for pending in self.pending_proposals.values_mut() {
            if now.saturating_sub(pending.sent_at) >= PROPOSAL_RETRY_INTERVAL_MS {
                pending.sent_at = now;
                retries.push(pending.proposal.clone());
            }
        }
        for proposal in &retries {
            self.send_proposal(proposal);
        }
    }

    fn time_out_proposals(&mut self, now: Millis) {
        let is_over = |pending: &PendingProposal| now >= pending.deadline;
        let pending = self.pending_proposals.iter();
        let timed_out: Vec<u64> =
            pending.filter(|(_, pending)| is_over(pending)).map(|(number, _)| *number).collect();
        for number in timed_out {
            let origin = self.pending_proposals.remove(&number).map(|pending| pending.origin);
            if let Some(ProposalOrigin::Request { ticket }) = origin {
                self.outputs.push(Output::Answered(ticket, None));
            }
        }
    }

    /// Handles the outcome of this instance's proposal with this number.
    pub(super) fn on_outcome(&mut self, now: Millis, number: u64, outcome: Outcome) {
        let Some(pending) = self.pending_proposals.remove(&number) else { return };
        match pending.origin {
            ProposalOrigin::Request { ticket } => self.outputs.push(Output::Answered(ticket, Some(outcome))),
            ProposalOrigin::Background => {}
            ProposalOrigin::Lease { renewed_token } => {
                if let Command::Lease(command) = &pending.proposal.command {
                    self.leases.on_outcome(now, pending.created_at, command, renewed_token, &outcome);
                }
            }
        }
    }
}
