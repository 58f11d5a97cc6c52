//! The replicated table of leases: holders, candidates and tokens.
//!
//! Each replica applies the same commands in the same order, so nothing here reads a clock. Each command may be applied
//! twice.

use crate::{FencingToken, Instance, LeaseName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of leases in the table, which bounds the size of a snapshot.
pub const MAX_LEASES: usize = 1_024;
/// Maximum number of candidates for one lease, which bounds the size of a snapshot.
pub const MAX_CANDIDATES_PER_LEASE: usize = 64;

/// A lease granted to an instance.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// The instance that holds it.
    pub holder: Instance,
    /// The token that the holder's commands carry.
    pub token: FencingToken,
    /// Increases with each renewal, so that an expiry proposed before a renewal has no effect.
    pub renewals: u64,
}

/// An instance that waits for a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// The instance.
    pub instance: Instance,
    /// Candidates with a lower rank are preferred: it states how far the instance's site is from the lease's.
    pub rank: u8,
    /// Increases with each repeated [`LeaseCommand::Acquire`].
    pub heartbeats: u64,
}

/// The table's entry for one lease.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    grant: Option<Grant>,
    /// The highest token that was ever granted for it.
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
    /// Whether holder, token and candidates are the same, whatever the counts of renewals and heartbeats.
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

    /// Grants the lease to the preferred candidate, with a token above all earlier ones; leaves it free if there is none.
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
    /// An instance becomes a candidate, or confirms that it still is one. It is granted a free lease at once.
    Acquire {
        /// The lease.
        lease: LeaseName,
        /// The instance.
        instance: Instance,
        /// See [`Candidate::rank`].
        rank: u8,
    },
    /// The holder renews its grant.
    Renew {
        /// The lease.
        lease: LeaseName,
        /// The instance.
        instance: Instance,
        /// The token of its grant.
        token: FencingToken,
        /// The number of renewals that the holder has observed. A holder whose requests arrive while the responses are
        /// lost renews at most once more: otherwise it would keep a lease that it can't act on.
        known_renewals: u64,
    },
    /// The holder gives up the lease, which is granted to the next candidate at once; or a candidate withdraws.
    Release {
        /// The lease.
        lease: LeaseName,
        /// The instance.
        instance: Instance,
    },
    /// A replica has waited for a whole term since this renewal.
    Expire {
        /// The lease.
        lease: LeaseName,
        /// The token of the grant.
        token: FencingToken,
        /// The number of renewals when its timer started.
        renewals: u64,
    },
    /// A replica has waited for a whole term for a heartbeat of a candidate.
    RemoveCandidate {
        /// The lease.
        lease: LeaseName,
        /// The instance.
        instance: Instance,
        /// The number of heartbeats when its timer started.
        heartbeats: u64,
    },
}

impl LeaseCommand {
    /// The lease that it concerns.
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
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// It refers to a grant that is over.
    #[error("the grant is over; the duty's newest token is Token({})", newest.0)]
    GrantEnded {
        /// The highest token that was granted for the lease.
        newest: FencingToken,
    },
    /// The grant was renewed, and the holder has not observed that.
    #[error("there was a renewal that the holder has not heard of")]
    UnobservedRenewal,
    /// The table has [`MAX_LEASES`] leases.
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
        // The holder has not learned of its grant yet. This renews nothing, as it may be a late message of a holder that
        // is gone.
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
        // A live holder is not replaced by a preferred candidate: each change of holder costs more than it gains.
        if record.grant.is_none() {
            record.grant_next(&mut self.newest_token);
        }
        Ok(record.grant)
    }

    /// The current grant of a lease; `None` if nobody holds it.
    pub fn grant(&self, lease: &LeaseName) -> Option<Grant> {
        self.records.get(lease)?.grant
    }

    /// The highest token ever granted for a lease: the minimum of a fencing check that knows none. 0 for an unknown lease.
    pub fn highest_token(&self, lease: &LeaseName) -> FencingToken {
        self.records.get(lease).map_or(FencingToken::default(), |record| record.highest_token)
    }

    /// The table's entry for a lease.
    pub fn record(&self, lease: &LeaseName) -> Option<&LeaseRecord> {
        self.records.get(lease)
    }

    /// Replaces the entry for a lease, on an instance that is notified of outcomes and does not apply each command.
    pub fn set_record(&mut self, lease: &LeaseName, record: LeaseRecord) {
        self.newest_token = self.newest_token.max(record.highest_token);
        self.records.insert(lease.clone(), record);
    }

    /// All leases by name, each with its grant and its candidates in the order of arrival.
    pub fn leases(&self) -> impl Iterator<Item = (&LeaseName, Option<Grant>, &[Candidate])> {
        self.records.iter().map(|(lease, record)| (lease, record.grant, record.candidates.as_slice()))
    }
}
