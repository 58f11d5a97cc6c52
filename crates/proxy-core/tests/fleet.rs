//! Many copies behind one service that knows the servers: what each does alone must not harm in the sum. All of
//! it in simulated time, from seeds.

#[path = "../../decision/tests/common/mod.rs"]
mod common;

use common::{backends, settings};
use hillstall_decision::Balancer;
use hillstall_decision::{Action, Event, ListKind, Millis, Settings};
use hillstall_proxy_core::discovery::RESPONSE_TIMEOUT;

/// A service that handles calls one after another. It answers what has waited up to so long, refuses at once what
/// would have to wait longer, and does not see that a caller has given up.
struct Service {
    each: Millis,
    most: Millis,
    down_until: Millis,
    free_at: Millis,
}

impl Service {
    /// When a call made now is answered; `None` if it is refused.
    fn call(&mut self, now: Millis) -> Option<Millis> {
        let done = now.max(self.free_at) + self.each;
        if now < self.down_until || done - now > self.most {
            return None;
        }
        self.free_at = done;
        Some(done)
    }
}

/// What a copy does next.
#[derive(Clone, Copy, PartialEq)]
enum Next {
    Ask,
    GiveUp,
    Hear,
}

/// A copy, and when it does what is next. After it has heard there is nothing more to do.
struct Proxy {
    balancer: Balancer,
    at: Millis,
    next: Next,
}

impl Proxy {
    /// Tells of a failed call, and asks again when the module says.
    fn failed(&mut self, now: Millis) {
        let mut actions = Vec::new();
        let failed = Event::EndpointsChanged { kind: ListKind::Failed, version: 0, backends: &[] };
        self.balancer.handle(now, failed, &mut actions);
        let wait = actions.iter().find_map(|action| match action {
            Action::SetTimer { after_ms, .. } => Some(*after_ms),
            _ => None,
        });
        (self.at, self.next) = (now + wait.expect("it asks again"), Next::Ask);
    }
}

/// Plays a fleet whose watches have all ended at once, while the service is down for 2 s; when each copy heard.
fn heard(copies: u32, patience: Millis, seed: u64) -> Vec<Option<Millis>> {
    let mut service = Service { each: 240.0, most: 3_000.0, down_until: 2_000.0, free_at: 0.0 };
    let mut fleet: Vec<Proxy> = (0..copies)
        .map(|rank| {
            let told = Settings { rank, fleet_size: copies, ..settings() };
            let mut balancer = Balancer::new(told, seed * 1_000 + u64::from(rank));
            let list =
                Event::EndpointsChanged { kind: ListKind::Cached, version: 0, backends: &backends(12) };
            balancer.handle(0.0, list, &mut Vec::new());
            let mut copy = Proxy { balancer, at: 0.0, next: Next::Ask };
            copy.failed(0.0);
            copy
        })
        .collect();
    let last = 30_000.0;
    while let Some(copy) = fleet
        .iter_mut()
        .filter(|copy| copy.next != Next::Hear && copy.at <= last)
        .min_by(|a, b| a.at.total_cmp(&b.at))
    {
        let now = copy.at;
        let answered = if copy.next == Next::Ask { service.call(now) } else { None };
        match answered {
            Some(at) if at <= now + patience => (copy.at, copy.next) = (at, Next::Hear),
            Some(_) => (copy.at, copy.next) = (now + patience, Next::GiveUp),
            None => copy.failed(now),
        }
    }
    fleet.into_iter().map(|copy| (copy.next == Next::Hear && copy.at <= last).then_some(copy.at)).collect()
}

#[test]
fn a_whole_fleet_hears_of_the_servers_again_from_a_service_that_is_slow() {
    for seed in 0..5 {
        let all = heard(40, RESPONSE_TIMEOUT.as_secs_f64() * 1000.0, seed);
        let last = all.iter().map(|at| at.unwrap_or(f64::MAX)).fold(0.0, f64::max);
        // 40 calls take 9.6 s one after another, from 2 s on.
        assert!(last < 20_000.0, "seed {seed}: the last copy heard after {last} ms");
    }
}

#[test]
fn copies_that_give_up_sooner_than_the_service_answers_hear_next_to_nothing() {
    // Guards the test above: this is the fault it is about.
    let all = heard(40, 2_500.0, 1);
    assert!(all.iter().flatten().count() < 30, "a service that works for callers who left");
}
