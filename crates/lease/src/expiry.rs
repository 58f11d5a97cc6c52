//! When a keeper proposes that a grant has lapsed. All keepers wait, each by its own monotonic clock alone: no reading of
//! one clock is ever held against another's. The one that leads proposes.

use crate::table::{Book, Command, Grant};
use crate::timers::Timers;
use crate::timing::Terms;
use crate::{FencingToken, Instance, LeaseName, Millis};

/// What is waited for: a renewal by the holder of a token, or a sign of one that stands and has none.
type Key = (LeaseName, Instance, Option<FencingToken>);

/// The waits of a keeper.
#[derive(Clone, Debug)]
pub struct Watch {
    terms: Terms,
    waits: Timers<Key>,
}

impl Watch {
    /// A keeper that has just started waits a whole term for each: it does not know how long others have waited.
    pub fn new(terms: Terms) -> Watch {
        Watch { terms, waits: Timers::default() }
    }

    /// A renewal that is applied now came to this keeper at `at`. Its holder had asked before that, so the wait may begin
    /// there: what was on its way while keepers changed does not prolong a lease.
    pub fn saw(&mut self, at: Millis, duty: &LeaseName, grant: Grant) {
        self.waits.saw(at, (duty.clone(), grant.holder, Some(grant.token)), grant.renewals);
    }

    /// Looks at the book as it is applied; gives what is to be proposed now. It proposes again each time that it is
    /// asked, until the book has changed: a proposal may be lost, and the book takes it once.
    pub fn look(&mut self, now: Millis, book: &Book) -> Vec<Command> {
        let term = self.terms.term();
        let all = book.duties().flat_map(|(duty, grant, standing)| {
            let holder = grant.map(|g| ((duty.clone(), g.holder, Some(g.token)), g.renewals, term));
            let others = standing.iter().map(move |one| ((duty.clone(), one.copy, None), one.signs, term));
            holder.into_iter().chain(others)
        });
        let over = self.waits.look(now, all).into_iter();
        let mut due: Vec<Command> = over
            .map(|((duty, copy, token), count)| match token {
                Some(token) => Command::Lapse { duty, token, renewals: count },
                None => Command::Gone { duty, copy, signs: count },
            })
            .collect();
        // Those that stand and are gone go first, or a lapse would give the duty to one of them.
        due.sort_by_key(|command| matches!(command, Command::Lapse { .. }));
        due
    }
}
