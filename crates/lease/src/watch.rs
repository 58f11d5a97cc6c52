//! When a keeper proposes that a grant has lapsed. Only the keeper that leads asks this, and by its own monotonic clock
//! alone: no reading of one clock is ever held against another's.

use crate::book::{Book, Command, Grant};
use crate::terms::Terms;
use crate::{Copy, Duty, Millis};
use std::collections::BTreeMap;

/// What is waited for: a renewal by the holder, or a sign of one that stands.
type Key = (Duty, Copy);

/// The waits of a keeper that leads.
#[derive(Clone, Debug)]
pub struct Watch {
    terms: Terms,
    /// Since when each count stands as it is.
    since: BTreeMap<Key, (u64, u64, Millis)>,
}

impl Watch {
    /// A keeper that has just begun to lead waits a whole term for each: it does not know how long others have waited,
    /// and what was renewed under the leader before counts from then at the latest.
    pub fn new(terms: Terms) -> Watch {
        Watch { terms, since: BTreeMap::new() }
    }

    /// A renewal that is applied now came to this keeper at `at`. Its holder had asked before that, so the wait may begin
    /// there: what was on its way while keepers changed does not prolong a lease.
    pub fn saw(&mut self, at: Millis, duty: &Duty, grant: Grant) {
        let (key, count) = ((duty.clone(), grant.holder), (grant.token.0, grant.renewals));
        // One that comes twice was seen before.
        let known = self.since.get(&key).is_some_and(|(token, n, _)| (*token, *n) >= count);
        if !known {
            self.since.insert(key, (count.0, count.1, at));
        }
    }

    /// Looks at the book as it is applied; gives what is to be proposed now. It proposes again each time that it is
    /// asked, until the book has changed: a proposal may be lost, and the book takes it once.
    pub fn look(&mut self, now: Millis, book: &Book) -> Vec<Command> {
        let mut seen = BTreeMap::new();
        let mut due = Vec::new();
        let term = self.terms.term();
        let mut waits = |duty: &Duty, copy: Copy, token: u64, count: u64| {
            let key = (duty.clone(), copy);
            let known = self.since.get(&key).filter(|(t, c, _)| *t == token && *c == count);
            let from = known.map_or(now, |(_, _, from)| *from);
            seen.insert(key, (token, count, from));
            now.saturating_sub(from) > term
        };
        for (duty, grant, standing) in book.duties() {
            if let Some(grant) = grant {
                if waits(duty, grant.holder, grant.token.0, grant.renewals) {
                    let (token, renewals) = (grant.token, grant.renewals);
                    due.push(Command::Lapse { duty: duty.clone(), token, renewals });
                }
            }
            for one in standing {
                if waits(duty, one.copy, 0, one.signs) {
                    due.push(Command::Gone { duty: duty.clone(), copy: one.copy, signs: one.signs });
                }
            }
        }
        // Those that stand and are gone go first, or a lapse would give the duty to one of them.
        due.sort_by_key(|command| matches!(command, Command::Lapse { .. }));
        self.since = seen;
        due
    }
}
