//! Many instances of the proxy behind one slow discovery service: what each does alone must not harm all together.
//! Everything runs in simulated time, from seeds.

#[path = "../../decision/tests/common/mod.rs"]
mod common;

use common::{backends, settings};
use hillstall_decision::Balancer;
use hillstall_decision::{Action, Event, ListKind, Millis, Settings};
use hillstall_proxy_core::discovery::RESPONSE_TIMEOUT;

/// How long the simulation goes on, in milliseconds.
const END_MS: Millis = 30_000.0;
const INSTANCES: u32 = 40;
const BACKENDS: u32 = 12;

/// A discovery service that handles requests one after another. It answers those that have waited up to
/// `max_wait_ms`, rejects at once those that would have to wait longer, and does not notice that a client has given
/// up.
struct DiscoveryService {
    service_time_ms: Millis,
    max_wait_ms: Millis,
    down_until_ms: Millis,
    busy_until_ms: Millis,
}

impl DiscoveryService {
    /// When a request made now is answered; `None` if it is rejected.
    fn request(&mut self, now: Millis) -> Option<Millis> {
        let done = now.max(self.busy_until_ms) + self.service_time_ms;
        if now < self.down_until_ms || done - now > self.max_wait_ms {
            return None;
        }
        self.busy_until_ms = done;
        Some(done)
    }
}

/// What an instance does next.
#[derive(Clone, Copy, PartialEq)]
enum Step {
    Request,
    GiveUp,
    /// It receives the list, after which it does nothing more.
    ReceiveList,
}

/// An instance of the proxy, its next step, and when it takes it.
struct Instance {
    balancer: Balancer,
    next_at: Millis,
    next: Step,
}

impl Instance {
    /// An instance of a fleet whose watch ends at the start.
    fn new(rank: u32, fleet_size: u32, seed: u64) -> Instance {
        let settings = Settings { rank, fleet_size, ..settings() };
        let mut balancer = Balancer::new(settings, seed * 1_000 + u64::from(rank));
        let cached =
            Event::EndpointsChanged { kind: ListKind::Cached, version: 0, backends: &backends(BACKENDS) };
        balancer.handle(0.0, cached, &mut Vec::new());
        let mut instance = Instance { balancer, next_at: 0.0, next: Step::Request };
        instance.on_failure(0.0);
        instance
    }

    /// Notifies the decision module of a failed request; the next one is made when the module says.
    fn on_failure(&mut self, now: Millis) {
        let mut actions = Vec::new();
        let failed = Event::EndpointsChanged { kind: ListKind::Failed, version: 0, backends: &[] };
        self.balancer.handle(now, failed, &mut actions);
        let backoff_ms = actions.iter().find_map(|action| match action {
            Action::SetTimer { after_ms, .. } => Some(*after_ms),
            _ => None,
        });
        (self.next_at, self.next) = (now + backoff_ms.expect("it retries"), Step::Request);
    }

    /// Takes the next step. A client gives up on a response after `timeout_ms`.
    fn step(&mut self, service: &mut DiscoveryService, timeout_ms: Millis) {
        let now = self.next_at;
        let answered_at = if self.next == Step::Request { service.request(now) } else { None };
        match answered_at {
            Some(at) if at <= now + timeout_ms => (self.next_at, self.next) = (at, Step::ReceiveList),
            Some(_) => (self.next_at, self.next) = (now + timeout_ms, Step::GiveUp),
            None => self.on_failure(now),
        }
    }

    fn list_received_at(&self) -> Option<Millis> {
        (self.next == Step::ReceiveList && self.next_at <= END_MS).then_some(self.next_at)
    }
}

/// Simulates a fleet whose watches have all ended at once, while the service is down for 2 s. Returns when each
/// instance received the list.
fn simulate(timeout_ms: Millis, seed: u64) -> Vec<Option<Millis>> {
    let mut service = DiscoveryService {
        service_time_ms: 240.0,
        max_wait_ms: 3_000.0,
        down_until_ms: 2_000.0,
        busy_until_ms: 0.0,
    };
    let mut fleet: Vec<Instance> = (0..INSTANCES).map(|rank| Instance::new(rank, INSTANCES, seed)).collect();
    while let Some(instance) = fleet
        .iter_mut()
        .filter(|instance| instance.next != Step::ReceiveList && instance.next_at <= END_MS)
        .min_by(|a, b| a.next_at.total_cmp(&b.next_at))
    {
        instance.step(&mut service, timeout_ms);
    }
    fleet.iter().map(Instance::list_received_at).collect()
}

#[test]
fn a_whole_fleet_receives_the_list_again_from_a_slow_service() {
    for seed in 0..5 {
        let received_at = simulate(RESPONSE_TIMEOUT.as_secs_f64() * 1000.0, seed);
        let last = received_at.iter().map(|at| at.unwrap_or(f64::MAX)).fold(0.0, f64::max);
        // 40 requests take 9.6 s one after another, from 2 s on.
        assert!(last < 20_000.0, "seed {seed}: the last instance received the list after {last} ms");
    }
}

#[test]
fn instances_that_give_up_sooner_than_the_service_answers_receive_next_to_nothing() {
    // Shows that the test above can fail: this is the fault that it is about.
    let received_at = simulate(2_500.0, 1);
    assert!(received_at.iter().flatten().count() < 30, "a service that works for clients that gave up");
}
