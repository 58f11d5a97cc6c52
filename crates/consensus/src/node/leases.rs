//! The proposals that acquire, renew and release the leases of this instance.

use super::proposals::{PendingProposal, ProposalOrigin, PROPOSAL_TIMEOUT_MS};
use super::Node;
use crate::state::Command;
use crate::storage::ReplicaStorage;
use hillstall_lease::table::LeaseCommand;
use hillstall_lease::{LeaseName, Millis};
use rand_xoshiro::rand_core::RngCore;

impl<D: ReplicaStorage> Node<D> {
    /// Releases all leases before a shutdown; this instance competes for none any more. The caller waits
    /// until [`Node::has_released_leases`].
    pub fn release_leases(&mut self, now: Millis) {
        if !self.releasing_leases {
            self.releasing_leases = true;
            self.leases.release_all(now);
            self.propose_lease_commands(now);
        }
    }

    /// Releases one lease, and competes for it again after a pause. Returns false if this instance does not
    /// hold it.
    pub fn hand_over(&mut self, now: Millis, lease: &LeaseName) -> bool {
        let was_held = self.leases.hand_over(now, lease);
        self.propose_lease_commands(now);
        was_held
    }

    /// Whether the replicas have acknowledged the release of all leases after [`Node::release_leases`].
    pub fn has_released_leases(&self) -> bool {
        self.leases.has_released_all()
    }

    /// Proposes the lease commands that are due.
    pub(super) fn propose_lease_commands(&mut self, now: Millis) {
        // The upper 53 bits give a uniform number from 0 to 1 that an f64 represents exactly.
        let random = (self.random.next_u64() >> 11) as f64 / (1u64 << 53) as f64;
        for command in self.leases.due_commands(now, random) {
            let renewed_token = match &command {
                LeaseCommand::Renew { token, .. } => Some(*token),
                _ => None,
            };
            self.discard_pending_lease_proposal(command.lease());
            let origin = ProposalOrigin::Lease { renewed_token };
            self.propose(now, Command::Lease(command), origin, PROPOSAL_TIMEOUT_MS);
        }
    }

    /// Drops this instance's pending proposal for a lease, which a newer one replaces.
    fn discard_pending_lease_proposal(&mut self, lease: &LeaseName) {
        let is_about_lease = |pending: &PendingProposal| {
            matches!(pending.origin, ProposalOrigin::Lease { .. })
                && matches!(&pending.proposal.command, Command::Lease(command) if command.lease() == lease)
        };
        self.pending_proposals.retain(|_, pending| !is_about_lease(pending));
    }
}
