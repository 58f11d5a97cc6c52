//! Decides when a replica proposes that a grant or a candidate has expired.
//!
//! Every replica runs the timers, each on its own monotonic clock; readings of two clocks are never compared.
//! Only the leader proposes the resulting commands.

use crate::table::{Grant, LeaseCommand, LeaseTable};
use crate::timers::DeadlineTimers;
use crate::timing::LeaseTiming;
use crate::{FencingToken, Instance, LeaseName, Millis};

/// Identifies what must happen before a timer runs out.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum TimerKey {
    /// The holder renews its grant.
    Renewal { lease: LeaseName, holder: Instance, token: FencingToken },
    /// The candidate repeats its [`LeaseCommand::Acquire`].
    Heartbeat { lease: LeaseName, instance: Instance },
}

/// The expiry timers of one replica, for all grants and candidates of a [`LeaseTable`].
#[derive(Clone, Debug)]
pub struct ExpiryMonitor {
    timing: LeaseTiming,
    timers: DeadlineTimers<TimerKey>,
}

impl ExpiryMonitor {
    /// Creates a monitor without running timers. A replica that has just started waits for a whole term
    /// before it expires a grant, as it does not know how long other replicas have waited.
    pub fn new(timing: LeaseTiming) -> ExpiryMonitor {
        ExpiryMonitor { timing, timers: DeadlineTimers::default() }
    }

    /// Records that the renewal which led to `grant` was received by this replica at `at`, before it was
    /// applied.
    ///
    /// The timer starts at the receipt, so that a lease is not prolonged by the time until the entry is
    /// applied, such as during an election. This is safe, as the holder counts from the earlier time at which
    /// it sent the renewal.
    pub fn observe(&mut self, at: Millis, lease: &LeaseName, grant: Grant) {
        self.timers.observe(at, renewal_key(lease, grant), grant.renewals);
    }

    /// Returns the commands to propose now, given the applied table: removals of candidates, then expired
    /// grants.
    ///
    /// A command is returned on each call until the table has changed, as a proposal may be lost; a second
    /// proposal of the same command has no effect.
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
        // Expired candidates are removed first: an expired lease could otherwise be granted to one of them.
        commands.sort_by_key(|command| matches!(command, LeaseCommand::Expire { .. }));
        commands
    }
}

fn renewal_key(lease: &LeaseName, grant: Grant) -> TimerKey {
    TimerKey::Renewal { lease: lease.clone(), holder: grant.holder, token: grant.token }
}

/// The command to propose for a timer that has run out. `version` is the number of renewals or heartbeats for
/// which it was started.
fn expiry_command(key: TimerKey, version: u64) -> LeaseCommand {
    match key {
        TimerKey::Renewal { lease, token, .. } => LeaseCommand::Expire { lease, token, renewals: version },
        TimerKey::Heartbeat { lease, instance } => {
            LeaseCommand::RemoveCandidate { lease, instance, heartbeats: version }
        }
    }
}
