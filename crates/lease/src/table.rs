//! Who holds which duty, as the keepers agree on it. It is the state of a replicated log: each keeper applies the same
//! commands in the same order, so nothing in here looks at a clock, and each command may come twice.

use crate::{FencingToken, Instance, LeaseName};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Most duties of a fleet, and most copies that stand for one: what a snapshot carries is bounded.
pub const DUTIES_MOST: usize = 1_024;
/// See [`DUTIES_MOST`].
pub const STANDING_MOST: usize = 64;

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
pub struct Standing {
    /// Who.
    pub copy: Instance,
    /// Lower ones come first: the copy's site seen from the duty's.
    pub rank: u8,
    /// Rises with each sign of life.
    pub signs: u64,
}

/// All that the book has of one duty.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    grant: Option<Grant>,
    /// The highest token that was ever given out for it.
    last: FencingToken,
    /// In the order in which they came.
    standing: Vec<Standing>,
}

impl Entry {
    /// Whether the same copies hold it and stand for it, however often they have said so since.
    pub fn is_like(&self, other: &Entry) -> bool {
        let grant = |of: &Entry| of.grant.map(|grant| (grant.holder, grant.token));
        let same = |a: &Standing, b: &Standing| (a.copy, a.rank) == (b.copy, b.rank);
        grant(self) == grant(other)
            && self.standing.len() == other.standing.len()
            && self.standing.iter().zip(&other.standing).all(|(a, b)| same(a, b))
    }
}

/// What is proposed to the keepers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// A copy would take the duty, or gives a sign that it still would. It gets it at once if nobody holds it.
    Stand {
        /// Which.
        duty: LeaseName,
        /// Who.
        copy: Instance,
        /// See [`Standing::rank`].
        rank: u8,
    },
    /// The holder goes on.
    Renew {
        /// Which.
        duty: LeaseName,
        /// Who.
        copy: Instance,
        /// By which grant.
        token: FencingToken,
        /// The renewals of it that the holder has heard of. One that is heard and hears nothing renews once more at the
        /// most: else it would keep for ever what it can't act by.
        heard: u64,
    },
    /// The holder goes, and the next one in line has it in the same instant; also one that stands and would no more.
    Leave {
        /// Which.
        duty: LeaseName,
        /// Who.
        copy: Instance,
    },
    /// A keeper has waited for a whole term since this renewal.
    Lapse {
        /// Which.
        duty: LeaseName,
        /// The grant it waited for.
        token: FencingToken,
        /// What it had counted when it began to wait.
        renewals: u64,
    },
    /// A keeper has waited as long for a sign of one that stands.
    Gone {
        /// Which.
        duty: LeaseName,
        /// Who.
        copy: Instance,
        /// What it had counted when it began to wait.
        signs: u64,
    },
}

impl Command {
    /// The duty it is about.
    pub fn duty(&self) -> &LeaseName {
        match self {
            Command::Stand { duty, .. }
            | Command::Renew { duty, .. }
            | Command::Leave { duty, .. }
            | Command::Lapse { duty, .. }
            | Command::Gone { duty, .. } => duty,
        }
    }
}

/// Why a command changed nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Refused {
    /// It goes by a grant that is over.
    #[error("the grant is over; the duty's newest token is {newest:?}")]
    Over {
        /// The highest token given out for the duty.
        newest: FencingToken,
    },
    /// It was renewed since, and the holder does not know.
    #[error("there was a renewal that the holder has not heard of")]
    Unheard,
    /// There are as many duties as a fleet may have.
    #[error("a fleet has at most {DUTIES_MOST} duties")]
    Duties,
    /// As many stand for it as may.
    #[error("at most {STANDING_MOST} copies stand for one duty")]
    Standing,
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Book {
    newest: FencingToken,
    duties: BTreeMap<LeaseName, Entry>,
}

impl Book {
    /// Applies what the keepers have agreed on; gives the duty's grant as it is then.
    pub fn apply(&mut self, command: &Command) -> Result<Option<Grant>, Refused> {
        if let Command::Stand { duty, copy, rank } = command {
            return self.stand(duty, *copy, *rank);
        }
        let Some(entry) = self.duties.get_mut(command.duty()) else {
            return Err(Refused::Over { newest: FencingToken::default() });
        };
        let over = Err(Refused::Over { newest: entry.last });
        match (command, &mut entry.grant) {
            (Command::Renew { copy, token, heard, .. }, Some(grant))
                if grant.holder == *copy && grant.token == *token =>
            {
                if *heard != grant.renewals {
                    return Err(Refused::Unheard);
                }
                grant.renewals += 1;
            }
            (Command::Leave { copy, .. }, Some(grant)) if grant.holder == *copy => {
                entry.standing.retain(|s| s.copy != *copy);
                Book::give_next(&mut self.newest, entry);
            }
            (Command::Leave { copy, .. }, _) => entry.standing.retain(|s| s.copy != *copy),
            (Command::Lapse { token, renewals, .. }, Some(grant))
                if grant.token == *token && grant.renewals == *renewals =>
            {
                Book::give_next(&mut self.newest, entry);
            }
            (Command::Gone { copy, signs, .. }, _) => {
                entry.standing.retain(|s| s.copy != *copy || s.signs != *signs);
            }
            _ => return over,
        }
        Ok(self.duties.get(command.duty()).and_then(|entry| entry.grant))
    }

    fn stand(&mut self, duty: &LeaseName, copy: Instance, rank: u8) -> Result<Option<Grant>, Refused> {
        if self.duties.len() >= DUTIES_MOST && !self.duties.contains_key(duty) {
            return Err(Refused::Duties);
        }
        let entry = self.duties.entry(duty.clone()).or_default();
        // It has not heard that it holds it. That is no renewal, as this may be an old message of a holder that is gone.
        if entry.grant.is_some_and(|grant| grant.holder == copy) {
            return Ok(entry.grant);
        }
        if let Some(known) = entry.standing.iter_mut().find(|s| s.copy == copy) {
            known.rank = rank;
            known.signs += 1;
        } else if entry.standing.len() >= STANDING_MOST {
            return Err(Refused::Standing);
        } else {
            entry.standing.push(Standing { copy, rank, signs: 0 });
        }
        // A holder that is well keeps its duty, whoever would be nearer: duties that move are worth less.
        if entry.grant.is_none() {
            Book::give_next(&mut self.newest, entry);
        }
        Ok(entry.grant)
    }

    /// Gives the duty to the first in line, with a token above all that there were.
    fn give_next(newest: &mut FencingToken, entry: &mut Entry) {
        let next = (0..entry.standing.len()).min_by_key(|i| entry.standing[*i].rank);
        entry.grant = next.map(|next| {
            let holder = entry.standing.remove(next).copy;
            newest.0 += 1;
            entry.last = *newest;
            Grant { holder, token: *newest, renewals: 0 }
        });
    }

    /// Who holds a duty.
    pub fn grant(&self, duty: &LeaseName) -> Option<Grant> {
        self.duties.get(duty)?.grant
    }

    /// The highest token ever given out for a duty: what a gate that knows nothing begins with.
    pub fn floor(&self, duty: &LeaseName) -> FencingToken {
        self.duties.get(duty).map_or(FencingToken::default(), |entry| entry.last)
    }

    /// What the book has of a duty.
    pub fn entry(&self, duty: &LeaseName) -> Option<&Entry> {
        self.duties.get(duty)
    }

    /// Takes over what another book has of a duty: for copies that are told the outcome and not each command.
    pub fn set(&mut self, duty: &LeaseName, entry: Entry) {
        self.newest = self.newest.max(entry.last);
        self.duties.insert(duty.clone(), entry);
    }

    /// All duties, with who holds them and who stands for them.
    pub fn duties(&self) -> impl Iterator<Item = (&LeaseName, Option<Grant>, &[Standing])> {
        self.duties.iter().map(|(duty, entry)| (duty, entry.grant, entry.standing.as_slice()))
    }
}
