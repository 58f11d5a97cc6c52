//! Who holds which duty, as the keepers agree on it. It is the state of a replicated log: each keeper applies the same
//! commands in the same order, so nothing in here looks at a clock, and each command may come twice.

use crate::{FencingToken, Instance, LeaseName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most duties of a fleet, and most copies that stand for one: what a snapshot carries is bounded.
pub const MAX_LEASES: usize = 1_024;
/// See [`MAX_LEASES`].
pub const MAX_CANDIDATES_PER_LEASE: usize = 64;

/// A duty given to a copy.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Grant {
    /// Who holds it.
    pub holder: Instance,
    /// What its orders carry.
    pub token: FencingToken,
    /// Rises with each renewal, so that a lapse that was proposed before one does nothing.
    pub renewals: u64,
}

/// A copy that would take a duty.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Candidate {
    /// Who.
    pub instance: Instance,
    /// Lower ones come first: the copy's site seen from the duty's.
    pub rank: u8,
    /// Rises with each sign of life.
    pub heartbeats: u64,
}

/// All that the book has of one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseRecord {
    grant: Option<Grant>,
    /// The highest token that was ever given out for it.
    highest_token: FencingToken,
    /// In the order in which they came.
    candidates: Vec<Candidate>,
}

impl LeaseRecord {
    /// Whether the same copies hold it and stand for it, however often they have said so since.
    pub fn has_same_parties(&self, other: &LeaseRecord) -> bool {
        let grant = |of: &LeaseRecord| of.grant.map(|grant| (grant.holder, grant.token));
        let same = |a: &Candidate, b: &Candidate| (a.instance, a.rank) == (b.instance, b.rank);
        grant(self) == grant(other)
            && self.candidates.len() == other.candidates.len()
            && self.candidates.iter().zip(&other.candidates).all(|(a, b)| same(a, b))
    }
}

/// What is proposed to the keepers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum LeaseCommand {
    /// A copy would take the duty, or gives a sign that it still would. It gets it at once if nobody holds it.
    Acquire {
        /// Which.
        lease: LeaseName,
        /// Who.
        instance: Instance,
        /// See [`Candidate::rank`].
        rank: u8,
    },
    /// The holder goes on.
    Renew {
        /// Which.
        lease: LeaseName,
        /// Who.
        instance: Instance,
        /// By which grant.
        token: FencingToken,
        /// The renewals of it that the holder has heard of. One that is heard and hears nothing renews once more at the
        /// most: else it would keep for ever what it can't act by.
        known_renewals: u64,
    },
    /// The holder goes, and the next one in line has it in the same instant; also one that stands and would no more.
    Release {
        /// Which.
        lease: LeaseName,
        /// Who.
        instance: Instance,
    },
    /// A keeper has waited for a whole term since this renewal.
    Expire {
        /// Which.
        lease: LeaseName,
        /// The grant it waited for.
        token: FencingToken,
        /// What it had counted when it began to wait.
        renewals: u64,
    },
    /// A keeper has waited as long for a sign of one that stands.
    RemoveCandidate {
        /// Which.
        lease: LeaseName,
        /// Who.
        instance: Instance,
        /// What it had counted when it began to wait.
        heartbeats: u64,
    },
}

impl LeaseCommand {
    /// The duty it is about.
    pub fn lease(&self) -> &LeaseName {
        match self {
            LeaseCommand::Acquire { lease: duty, .. }
            | LeaseCommand::Renew { lease: duty, .. }
            | LeaseCommand::Release { lease: duty, .. }
            | LeaseCommand::Expire { lease: duty, .. }
            | LeaseCommand::RemoveCandidate { lease: duty, .. } => duty,
        }
    }
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum LeaseError {
    /// It goes by a grant that is over.
    #[error("the grant is over; the duty's newest token is Token({})", newest.0)]
    GrantEnded {
        /// The highest token given out for the duty.
        newest: FencingToken,
    },
    /// It was renewed since, and the holder does not know.
    #[error("there was a renewal that the holder has not heard of")]
    UnobservedRenewal,
    /// There are as many duties as a fleet may have.
    #[error("a fleet has at most {MAX_LEASES} duties")]
    TooManyLeases,
    /// As many stand for it as may.
    #[error("at most {MAX_CANDIDATES_PER_LEASE} copies stand for one duty")]
    TooManyCandidates,
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct LeaseTable {
    newest_token: FencingToken,
    records: BTreeMap<LeaseName, LeaseRecord>,
}

impl LeaseTable {
    /// Applies what the keepers have agreed on; gives the duty's grant as it is then.
    pub fn apply(&mut self, command: &LeaseCommand) -> Result<Option<Grant>, LeaseError> {
        if let LeaseCommand::Acquire { lease: duty, instance: copy, rank } = command {
            return self.add_candidate(duty, *copy, *rank);
        }
        let Some(entry) = self.records.get_mut(command.lease()) else {
            return Err(LeaseError::GrantEnded { newest: FencingToken::default() });
        };
        let over = Err(LeaseError::GrantEnded { newest: entry.highest_token });
        match (command, &mut entry.grant) {
            (LeaseCommand::Renew { instance: copy, token, known_renewals: heard, .. }, Some(grant))
                if grant.holder == *copy && grant.token == *token =>
            {
                if *heard != grant.renewals {
                    return Err(LeaseError::UnobservedRenewal);
                }
                grant.renewals += 1;
            }
            (LeaseCommand::Release { instance: copy, .. }, Some(grant)) if grant.holder == *copy => {
                entry.candidates.retain(|s| s.instance != *copy);
                LeaseTable::grant_next(&mut self.newest_token, entry);
            }
            (LeaseCommand::Release { instance: copy, .. }, _) => {
                entry.candidates.retain(|s| s.instance != *copy)
            }
            (LeaseCommand::Expire { token, renewals, .. }, Some(grant))
                if grant.token == *token && grant.renewals == *renewals =>
            {
                LeaseTable::grant_next(&mut self.newest_token, entry);
            }
            (LeaseCommand::RemoveCandidate { instance: copy, heartbeats: signs, .. }, _) => {
                entry.candidates.retain(|s| s.instance != *copy || s.heartbeats != *signs);
            }
            _ => return over,
        }
        Ok(self.records.get(command.lease()).and_then(|entry| entry.grant))
    }

    fn add_candidate(
        &mut self,
        duty: &LeaseName,
        copy: Instance,
        rank: u8,
    ) -> Result<Option<Grant>, LeaseError> {
        if self.records.len() >= MAX_LEASES && !self.records.contains_key(duty) {
            return Err(LeaseError::TooManyLeases);
        }
        let entry = self.records.entry(duty.clone()).or_default();
        // It has not heard that it holds it. That is no renewal, as this may be an old message of a holder that is gone.
        if entry.grant.is_some_and(|grant| grant.holder == copy) {
            return Ok(entry.grant);
        }
        if let Some(known) = entry.candidates.iter_mut().find(|s| s.instance == copy) {
            known.rank = rank;
            known.heartbeats += 1;
        } else if entry.candidates.len() >= MAX_CANDIDATES_PER_LEASE {
            return Err(LeaseError::TooManyCandidates);
        } else {
            entry.candidates.push(Candidate { instance: copy, rank, heartbeats: 0 });
        }
        // A holder that is well keeps its duty, whoever would be nearer: duties that move are worth less.
        if entry.grant.is_none() {
            LeaseTable::grant_next(&mut self.newest_token, entry);
        }
        Ok(entry.grant)
    }

    /// Gives the duty to the first in line, with a token above all that there were.
    fn grant_next(newest: &mut FencingToken, entry: &mut LeaseRecord) {
        let next = (0..entry.candidates.len()).min_by_key(|i| entry.candidates[*i].rank);
        entry.grant = next.map(|next| {
            let holder = entry.candidates.remove(next).instance;
            newest.0 += 1;
            entry.highest_token = *newest;
            Grant { holder, token: *newest, renewals: 0 }
        });
    }

    /// Who holds a duty.
    pub fn grant(&self, duty: &LeaseName) -> Option<Grant> {
        self.records.get(duty)?.grant
    }

    /// The highest token ever given out for a duty: what a gate that knows nothing begins with.
    pub fn highest_token(&self, duty: &LeaseName) -> FencingToken {
        self.records.get(duty).map_or(FencingToken::default(), |entry| entry.highest_token)
    }

    /// What the book has of a duty.
    pub fn record(&self, duty: &LeaseName) -> Option<&LeaseRecord> {
        self.records.get(duty)
    }

    /// Takes over what another book has of a duty: for copies that are told the outcome and not each command.
    pub fn set_record(&mut self, duty: &LeaseName, entry: LeaseRecord) {
        self.newest_token = self.newest_token.max(entry.highest_token);
        self.records.insert(duty.clone(), entry);
    }

    /// All duties, with who holds them and who stands for them.
    pub fn leases(&self) -> impl Iterator<Item = (&LeaseName, Option<Grant>, &[Candidate])> {
        self.records.iter().map(|(duty, entry)| (duty, entry.grant, entry.candidates.as_slice()))
    }
}
