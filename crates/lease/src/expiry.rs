//! When a keeper proposes that a grant has lapsed. All keepers wait, each by its own monotonic clock alone: no reading of
//! one clock is ever held against another's. The one that leads proposes.

use crate::table::{Grant, LeaseCommand, LeaseTable};
use crate::timers::DeadlineTimers;
use crate::timing::LeaseTiming;
use crate::{FencingToken, Instance, LeaseName, Millis};

/// What is waited for: a renewal by the holder of a token, or a sign of one that stands and has none.
type TimerKey = (LeaseName, Instance, Option<FencingToken>);

/// The waits of a keeper.
#[derive(Clone, Debug)]
pub struct ExpiryMonitor {
    timing: LeaseTiming,
    timers: DeadlineTimers<TimerKey>,
}

impl ExpiryMonitor {
    /// A keeper that has just started waits a whole term for each: it does not know how long others have waited.
    pub fn new(terms: LeaseTiming) -> ExpiryMonitor {
        ExpiryMonitor { timing: terms, timers: DeadlineTimers::default() }
    }

    /// A renewal that is applied now came to this keeper at `at`. Its holder had asked before that, so the wait may begin
    /// there: what was on its way while keepers changed does not prolong a lease.
    pub fn observe(&mut self, at: Millis, duty: &LeaseName, grant: Grant) {
        self.timers.observe(at, (duty.clone(), grant.holder, Some(grant.token)), grant.renewals);
    }

    /// Looks at the book as it is applied; gives what is to be proposed now. It proposes again each time that it is
    /// asked, until the book has changed: a proposal may be lost, and the book takes it once.
    pub fn poll(&mut self, now: Millis, book: &LeaseTable) -> Vec<LeaseCommand> {
        let term = self.timing.term();
        let all = book.leases().flat_map(|(duty, grant, standing)| {
            let holder = grant.map(|g| ((duty.clone(), g.holder, Some(g.token)), g.renewals, term));
            let others =
                standing.iter().map(move |one| ((duty.clone(), one.instance, None), one.heartbeats, term));
            holder.into_iter().chain(others)
        });
        let over = self.timers.poll(now, all).into_iter();
        let mut due: Vec<LeaseCommand> = over
            .map(|((duty, copy, token), count)| match token {
                Some(token) => LeaseCommand::Expire { lease: duty, token, renewals: count },
                None => LeaseCommand::RemoveCandidate { lease: duty, instance: copy, heartbeats: count },
            })
            .collect();
        // Those that stand and are gone go first, or a lapse would give the duty to one of them.
        due.sort_by_key(|command| matches!(command, LeaseCommand::Expire { .. }));
        due
    }
}
