//! The replicated table of leases: holders, candidates and tokens.
//!
//! All replicas apply the same commands in the same order, so the result must depend on nothing else, and
//! nothing here reads a clock. Commands are idempotent, as each may be applied twice.

use crate::{FencingToken, Instance, LeaseName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of leases in the table, which bounds the size of a snapshot.
pub const MAX_LEASES: usize = 1_024;
/// Maximum number of candidates for one lease, which bounds the size of a snapshot.
pub const MAX_CANDIDATES_PER_LEASE: usize = 64;

/// The grant of a lease to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The instance that holds the lease.
    pub holder: Instance,
    /// The token that the holder's commands carry.
    pub token: FencingToken,
    /// Increases with each renewal, so that an expiry proposed before a renewal has no effect.
    pub renewals: u64,
}

/// An instance that waits for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The waiting process; a restarted process is another candidate.
    pub instance: Instance,
    /// The candidate with the lowest rank is granted the lease first; of equal ranks, the one that came
    /// first.
    pub rank: u8,
    /// Increases with each repeated [`LeaseCommand::Acquire`].
    pub heartbeats: u64,
}

/// The table's entry for one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    grant: Option<Grant>,
    /// The token of the lease's newest grant, which may have ended; 0 before the first grant.
    highest_token: FencingToken,
    /// In the order of arrival.
    candidates: Vec<Candidate>,
}

impl Candidate {
    fn is_same_candidate(&self, other: &Candidate) -> bool {
        (self.instance, self.rank) == (other.instance, other.rank)
    }
}

impl LeaseRecord {
    /// Whether holder, token and candidates are equal; the numbers of renewals and heartbeats may differ.
    pub fn has_same_holder_and_candidates(&self, other: &LeaseRecord) -> bool {
        self.holder_and_token() == other.holder_and_token()
            && self.candidates.len() == other.candidates.len()
            && self.candidates.iter().zip(&other.candidates).all(|(a, b)| a.is_same_candidate(b))
    }

    fn holder_and_token(&self) -> Option<(Instance, FencingToken)> {
        self.grant.map(|grant| (grant.holder, grant.token))
    }

    fn remove_candidate(&mut self, instance: Instance) {
        self.candidates.retain(|candidate| candidate.instance != instance);
    }

    /// Grants the lease to the preferred candidate, with a higher token than all earlier grants. Without a
    /// candidate the lease becomes free.
    fn grant_next(&mut self, newest_token: &mut FencingToken) {
        let preferred = (0..self.candidates.len()).min_by_key(|index| self.candidates[*index].rank);
        self.grant = preferred.map(|index| {
            let holder = self.candidates.remove(index).instance;
            newest_token.0 += 1;
            self.highest_token = *newest_token;
            Grant { holder, token: *newest_token, renewals: 0 }
        });
    }
}

/// A command to the replicated table.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// An instance becomes a candidate, or confirms that it still is one. A free lease is granted at once.
    Acquire {
        /// The lease to become a candidate for; an unknown one is added to the table.
        lease: LeaseName,
        /// The candidate.
        instance: Instance,
        /// See [`Candidate::rank`]; replaces the rank of an earlier `Acquire`.
        rank: u8,
    },
    /// The holder renews its grant.
    Renew {
        /// The lease to renew.
        lease: LeaseName,
        /// The holder.
        instance: Instance,
        /// The token of the holder's grant.
        token: FencingToken,
        /// The number of renewals that the holder has observed. Unless it is the current number, the command
        /// is rejected: a holder that sends requests but receives no responses can't act on the lease, and
        /// would otherwise keep it by its renewals.
        known_renewals: u64,
    },
    /// The holder gives up the lease, which is granted to the next candidate at once; or a candidate
    /// withdraws.
    Release {
        /// The lease to give up, or to be no candidate for any more.
        lease: LeaseName,
        /// The holder or candidate.
        instance: Instance,
    },
    /// Ends a grant that was not renewed for a whole term; the lease is granted to the next candidate.
    Expire {
        /// The lease whose grant has expired.
        lease: LeaseName,
        /// The token of the expired grant.
        token: FencingToken,
        /// The number of renewals when the replica's timer started; a renewal since then voids the command.
        renewals: u64,
    },
    /// Removes a candidate that did not repeat its `Acquire` for a whole term.
    RemoveCandidate {
        /// The lease for which the instance is a candidate.
        lease: LeaseName,
        /// The candidate.
        instance: Instance,
        /// The number of heartbeats when the replica's timer started; a heartbeat since then voids the
        /// command.
        heartbeats: u64,
    },
}

impl LeaseCommand {
    /// The lease to which the command applies.
    pub fn lease(&self) -> &LeaseName {
        match self {
            LeaseCommand::Acquire { lease, .. }
            | LeaseCommand::Renew { lease, .. }
            | LeaseCommand::Release { lease, .. }
            | LeaseCommand::Expire { lease, .. }
            | LeaseCommand::RemoveCandidate { lease, .. } => lease,
        }
    }
}

/// Why a command had no effect.
// The messages are stored and replicated as outcomes of commands, so they keep their words: duty for lease,
// copies for instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// The command refers to a grant that has ended, or to an unknown lease.
    #[error("the grant is over; the duty's newest token is Token({})", newest.0)]
    GrantEnded {
        /// The highest token that was ever granted for the lease; 0 if there was no grant.
        newest: FencingToken,
    },
    /// The grant was renewed, and the holder has not observed that renewal.
    #[error("there was a renewal that the holder has not heard of")]
    UnobservedRenewal,
    /// The lease is new, and the table has [`MAX_LEASES`] leases.
    #[error("a fleet has at most {MAX_LEASES} duties")]
    TooManyLeases,
    /// The lease has [`MAX_CANDIDATES_PER_LEASE`] candidates.
    #[error("at most {MAX_CANDIDATES_PER_LEASE} copies stand for one duty")]
    TooManyCandidates,
}

/// The replicated table of leases.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    newest_token: FencingToken,
    records: BTreeMap<LeaseName, LeaseRecord>,
}

impl LeaseTable {
    /// Applies a committed command and returns the lease's grant after it.
    pub fn apply(&mut self, command: &LeaseCommand) -> Result<Option<Grant>, LeaseError> {
        if let LeaseCommand::Acquire { lease, instance, rank } = command {
            return self.add_candidate(lease, *instance, *rank);
        }
        let Some(record) = self.records.get_mut(command.lease()) else {
            return Err(LeaseError::GrantEnded { newest: FencingToken::default() });
        };
        let grant_ended = LeaseError::GrantEnded { newest: record.highest_token };
        match (command, &mut record.grant) {
            (LeaseCommand::Renew { instance, token, known_renewals, .. }, Some(grant))
                if grant.holder == *instance && grant.token == *token =>
            {
                if *known_renewals != grant.renewals {
                    return Err(LeaseError::UnobservedRenewal);
                }
                grant.renewals += 1;
            }
            (LeaseCommand::Release { instance, .. }, Some(grant)) if grant.holder == *instance => {
                record.remove_candidate(*instance);
                record.grant_next(&mut self.newest_token);
            }
            (LeaseCommand::Release { instance, .. }, _) => record.remove_candidate(*instance),
            (LeaseCommand::Expire { token, renewals, .. }, Some(grant))
                if grant.token == *token && grant.renewals == *renewals =>
            {
                record.grant_next(&mut self.newest_token);
            }
            (LeaseCommand::RemoveCandidate { instance, heartbeats, .. }, _) => {
                let is_expired = |candidate: &Candidate| {
                    candidate.instance == *instance && candidate.heartbeats == *heartbeats
                };
                record.candidates.retain(|candidate| !is_expired(candidate));
            }
            _ => return Err(grant_ended),
        }
        Ok(record.grant)
    }

    fn add_candidate(
        &mut self,
        lease: &LeaseName,
        instance: Instance,
        rank: u8,
    ) -> Result<Option<Grant>, LeaseError> {
        if self.records.len() >= MAX_LEASES && !self.records.contains_key(lease) {
            return Err(LeaseError::TooManyLeases);
        }
        let record = self.records.entry(lease.clone()).or_default();
        // The holder has not learned of its grant yet. The grant is not renewed: the command may be a delayed
        // message of a holder that no longer runs.
        if record.grant.is_some_and(|grant| grant.holder == instance) {
            return Ok(record.grant);
        }
        if let Some(known) = record.candidates.iter_mut().find(|candidate| candidate.instance == instance) {
            known.rank = rank;
            known.heartbeats += 1;
        } else if record.candidates.len() >= MAX_CANDIDATES_PER_LEASE {
            return Err(LeaseError::TooManyCandidates);
        } else {
            record.candidates.push(Candidate { instance, rank, heartbeats: 0 });
        }
        // A holder keeps the lease even if a candidate is preferred to it by a lower rank: a change of holder
        // costs more than it gains.
        if record.grant.is_none() {
            record.grant_next(&mut self.newest_token);
        }
        Ok(record.grant)
    }

    /// The current grant of a lease; `None` if the lease is free or unknown.
    pub fn grant(&self, lease: &LeaseName) -> Option<Grant> {
        self.records.get(lease)?.grant
    }

    /// The highest token ever granted for a lease, from which a fencing check starts after a restart; 0 for
    /// an unknown lease.
    pub fn highest_token(&self, lease: &LeaseName) -> FencingToken {
        self.records.get(lease).map_or(FencingToken::default(), |record| record.highest_token)
    }

    /// The table's entry for a lease; `None` if nobody was ever a candidate for it.
    pub fn record(&self, lease: &LeaseName) -> Option<&LeaseRecord> {
        self.records.get(lease)
    }

    /// Replaces the entry for a lease, on an instance that receives whole entries instead of applying each
    /// command.
    pub fn set_record(&mut self, lease: &LeaseName, record: LeaseRecord) {
        self.newest_token = self.newest_token.max(record.highest_token);
        self.records.insert(lease.clone(), record);
    }

    /// All leases by name, each with its grant and its candidates in the order of arrival.
    pub fn leases(&self) -> impl Iterator<Item = (&LeaseName, Option<Grant>, &[Candidate])> {
        self.records.iter().map(|(lease, record)| (lease, record.grant, record.candidates.as_slice()))
    }
}
