//! Leases: their table, their commands and the orders that carry their tokens.

use super::{each_variant, Sample};
use hillstall_lease::book::{Book, Command, Entry, Grant, Refused, Standing};
use hillstall_lease::gate::{Floor, Order};
use hillstall_lease::{Copy, Duty, Token};

/// A process of the fleet.
pub fn instance(rank: u32) -> Copy {
    Copy { rank, life: 0x0123_4567_89ab_cd00 + u64::from(rank) }
}

/// The name of a lease.
pub fn lease_name(name: &str) -> Duty {
    Duty::new(name).expect("it is a name")
}

/// A lease that is held by one and waited for by two, with all counts above zero and apart.
pub fn record() -> Entry {
    let duty = lease_name("shift/north");
    let mut table = Book::default();
    let stand =
        |rank, site_rank| Command::Stand { duty: duty.clone(), copy: instance(rank), rank: site_rank };
    let other = Command::Stand { duty: lease_name("shift/south"), copy: instance(1), rank: 1 };
    let renew = |heard| Command::Renew { duty: duty.clone(), copy: instance(5), token: Token(2), heard };
    let commands = [other, stand(5, 1), stand(6, 4), stand(7, 3), stand(6, 4), renew(0), renew(1), renew(2)];
    for command in commands {
        table.apply(&command).expect("it is applied");
    }
    table.entry(&duty).cloned().expect("it is there")
}

/// See the module's text.
pub fn samples() -> Vec<Sample> {
    let duty = || lease_name("shift/north");
    let mut samples = each_variant!(Sample::of, Command {
        "lease/command/acquire": Command::Stand { .. } =>
            Command::Stand { duty: duty(), copy: instance(3), rank: 200 },
        "lease/command/renew": Command::Renew { .. } =>
            Command::Renew { duty: duty(), copy: instance(4), token: Token(300), heard: 301 },
        "lease/command/release": Command::Leave { .. } =>
            Command::Leave { duty: duty(), copy: instance(5) },
        "lease/command/expire-lease": Command::Lapse { .. } =>
            Command::Lapse { duty: duty(), token: Token(302), renewals: 303 },
        "lease/command/expire-candidate": Command::Gone { .. } =>
            Command::Gone { duty: duty(), copy: instance(6), signs: 304 },
    });
    let grant = Grant { holder: instance(7), token: Token(305), renewals: 306 };
    let candidate = Standing { copy: instance(8), rank: 9, signs: 307 };
    let order =
        Order { duty: duty(), token: Token(308), number: 309, holds_for: 310, what: 311_u16, after: 312_u16 };
    samples.extend([
        Sample::of("lease/instance", Copy { rank: 313, life: 314 }),
        Sample::of("lease/name", duty()),
        Sample::of("lease/token", Token(315)),
        Sample::of("lease/grant", grant),
        Sample::of("lease/candidate", candidate),
        Sample::of("lease/record/empty", Entry::default()),
        Sample::of("lease/record/held", record()),
        Sample::of("lease/order", order),
        Sample::of("lease/minimum-token/none", Floor { token: Token(316), number: None }),
        Sample::of("lease/minimum-token/some", Floor { token: Token(317), number: Some(318) }),
    ]);
    samples
}

/// The words of each reason: what was rejected is remembered with them.
pub fn reasons() -> Vec<(&'static str, Refused)> {
    each_variant!(named, Refused {
        "lease/rejected/superseded": Refused::Over { .. } => Refused::Over { newest: Token(319) },
        "lease/rejected/renewal-not-seen": Refused::Unheard => Refused::Unheard,
        "lease/rejected/too-many-leases": Refused::Duties => Refused::Duties,
        "lease/rejected/too-many-candidates": Refused::Standing => Refused::Standing,
    })
}

fn named(name: &'static str, reason: Refused) -> (&'static str, Refused) {
    (name, reason)
}
