//! Samples of leases, lease commands and fenced commands.

use super::{each_variant, Sample};
use hillstall_lease::fencing::{FencedCommand, MinimumToken};
use hillstall_lease::table::{Candidate, Grant, LeaseCommand, LeaseError, LeaseRecord, LeaseTable};
use hillstall_lease::{FencingToken, Instance, LeaseName};

/// An instance with this rank.
pub fn instance(rank: u32) -> Instance {
    Instance { rank, incarnation: 0x0123_4567_89ab_cd00 + u64::from(rank) }
}

pub fn lease_name(name: &str) -> LeaseName {
    LeaseName::new(name).expect("a valid lease name")
}

/// The record of a lease with a holder and two candidates. The token and the numbers of renewals and
/// heartbeats are above 0 where the commands allow it.
pub fn record() -> LeaseRecord {
    let lease = lease_name("shift/north");
    let mut table = LeaseTable::default();
    let acquire = |rank, site_rank| LeaseCommand::Acquire {
        lease: lease.clone(),
        instance: instance(rank),
        rank: site_rank,
    };
    let other = LeaseCommand::Acquire { lease: lease_name("shift/south"), instance: instance(1), rank: 1 };
    let renew = |known_renewals| LeaseCommand::Renew {
        lease: lease.clone(),
        instance: instance(5),
        token: FencingToken(2),
        known_renewals,
    };
    let commands =
        [other, acquire(5, 1), acquire(6, 4), acquire(7, 3), acquire(6, 4), renew(0), renew(1), renew(2)];
    for command in commands {
        table.apply(&command).expect("the command is valid");
    }
    table.record(&lease).cloned().expect("the lease is in the table")
}

/// The samples of this module.
pub fn samples() -> Vec<Sample> {
    let lease = || lease_name("shift/north");
    let mut samples = each_variant!(Sample::of, LeaseCommand {
        "lease/command/acquire": LeaseCommand::Acquire { .. } =>
            LeaseCommand::Acquire { lease: lease(), instance: instance(3), rank: 200 },
        "lease/command/renew": LeaseCommand::Renew { .. } =>
            LeaseCommand::Renew { lease: lease(), instance: instance(4), token: FencingToken(300), known_renewals: 301 },
        "lease/command/release": LeaseCommand::Release { .. } =>
            LeaseCommand::Release { lease: lease(), instance: instance(5) },
        "lease/command/expire": LeaseCommand::Expire { .. } =>
            LeaseCommand::Expire { lease: lease(), token: FencingToken(302), renewals: 303 },
        "lease/command/remove-candidate": LeaseCommand::RemoveCandidate { .. } =>
            LeaseCommand::RemoveCandidate { lease: lease(), instance: instance(6), heartbeats: 304 },
    });
    let grant = Grant { holder: instance(7), token: FencingToken(305), renewals: 306 };
    let candidate = Candidate { instance: instance(8), rank: 9, heartbeats: 307 };
    let command = FencedCommand {
        lease: lease(),
        token: FencingToken(308),
        sequence: 309,
        valid_for: 310,
        value: 311_u16,
        fallback: 312_u16,
    };
    samples.extend([
        Sample::of("lease/instance", Instance { rank: 313, incarnation: 314 }),
        Sample::of("lease/name", lease()),
        Sample::of("lease/token", FencingToken(315)),
        Sample::of("lease/grant", grant),
        Sample::of("lease/candidate", candidate),
        Sample::of("lease/record/empty", LeaseRecord::default()),
        Sample::of("lease/record/held", record()),
        Sample::of("lease/fenced-command", command),
        Sample::of("lease/minimum-token/none", MinimumToken { token: FencingToken(316), sequence: None }),
        Sample::of(
            "lease/minimum-token/some",
            MinimumToken { token: FencingToken(317), sequence: Some(318) },
        ),
    ]);
    samples
}

/// Each reason for which a lease command is rejected. The text is stored in the outcome.
pub fn reasons() -> Vec<(&'static str, LeaseError)> {
    each_variant!(named, LeaseError {
        "lease/rejected/grant-ended": LeaseError::GrantEnded { .. } => LeaseError::GrantEnded { newest: FencingToken(319) },
        "lease/rejected/unobserved-renewal": LeaseError::UnobservedRenewal => LeaseError::UnobservedRenewal,
        "lease/rejected/too-many-leases": LeaseError::TooManyLeases => LeaseError::TooManyLeases,
        "lease/rejected/too-many-candidates": LeaseError::TooManyCandidates => LeaseError::TooManyCandidates,
    })
}

fn named(name: &'static str, reason: LeaseError) -> (&'static str, LeaseError) {
    (name, reason)
}
