//! Decides when a replica proposes that a grant has expired.
//!
//! Every replica runs these timers, each on its own monotonic clock; readings of two clocks are never compared. Only the
//! leader proposes the commands that result.

use crate::table::{Grant, LeaseCommand, LeaseTable};
use crate::timers::DeadlineTimers;
use crate::timing::LeaseTiming;
use crate::{FencingToken, Instance, LeaseName, Millis};

/// What a timer waits for.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    /// A renewal of a grant by its holder.
    Renewal { lease: LeaseName, holder: Instance, token: FencingToken },
    /// A heartbeat of a candidate.
    Heartbeat { lease: LeaseName, instance: Instance },
}

/// The expiry timers of one replica, for all grants and candidates of a [`LeaseTable`].
#[derive(Clone, Debug)]
pub struct ExpiryMonitor {
    timing: LeaseTiming,
    timers: DeadlineTimers<TimerKey>,
}

impl ExpiryMonitor {
    /// Creates a monitor without running timers. A replica that has just started waits a whole term for each grant, as it
    /// does not know how long other replicas have waited.
    pub fn new(timing: LeaseTiming) -> ExpiryMonitor {
        ExpiryMonitor { timing, timers: DeadlineTimers::default() }
    }

    /// Records that the renewal which led to `grant` reached this replica at `at`, before it was applied. The holder sent
    /// it earlier still, so the timer may start there: time spent in a change of leader does not prolong a lease.
    pub fn observe(&mut self, at: Millis, lease: &LeaseName, grant: Grant) {
        self.timers.observe(at, renewal_key(lease, grant), grant.renewals);
    }

    /// Compares the timers with the applied table and returns the commands to propose now, removals of candidates first.
    ///
    /// A command is returned on each call until the table has changed: a proposal may be lost, and applying it twice has
    /// no further effect.
    pub fn poll(&mut self, now: Millis, table: &LeaseTable) -> Vec<LeaseCommand> {
        let term = self.timing.term();
        let deadlines = table.leases().flat_map(|(lease, grant, candidates)| {
            let renewal = grant.map(|grant| (renewal_key(lease, grant), grant.renewals, term));
            let heartbeats = candidates.iter().map(move |candidate| {
                let key = TimerKey::Heartbeat { lease: lease.clone(), instance: candidate.instance };
                (key, candidate.heartbeats, term)
            });
            renewal.into_iter().chain(heartbeats)
        });
        let expired = self.timers.poll(now, deadlines);
        let mut commands: Vec<LeaseCommand> =
            expired.into_iter().map(|(key, version)| expiry_command(key, version)).collect();
        // Lost candidates are removed first: an expiry would otherwise grant the lease to one of them.
        commands.sort_by_key(|command| matches!(command, LeaseCommand::Expire { .. }));
        commands
    }
}

fn renewal_key(lease: &LeaseName, grant: Grant) -> TimerKey {
    TimerKey::Renewal { lease: lease.clone(), holder: grant.holder, token: grant.token }
}

/// The command that ends what a timer waited for. `version` is the counter of renewals or heartbeats at its start.
fn expiry_command(key: TimerKey, version: u64) -> LeaseCommand {
    match key {
        TimerKey::Renewal { lease, token, .. } => LeaseCommand::Expire { lease, token, renewals: version },
        TimerKey::Heartbeat { lease, instance } => {
            LeaseCommand::RemoveCandidate { lease, instance, heartbeats: version }
        }
    }
}
