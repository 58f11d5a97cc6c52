//! Many instances of the proxy that retry against one slow discovery service must all receive the endpoint
//! list. Runs in simulated time with fixed seeds.

#[path = "../../decision/tests/common/mod.rs"]
mod common;

use common::{backends, settings};
use hillstall_decision::Balancer;
use hillstall_decision::{Action, Event, ListKind, Millis, Settings};
use hillstall_proxy_core::discovery::RESPONSE_TIMEOUT;

/// End of the simulation, in milliseconds from its start.
const END_MS: Millis = 30_000.0;
const INSTANCES: u32 = 40;
const BACKENDS: u32 = 12;

/// A discovery service that handles requests one after another. It immediately rejects requests whose
/// response would take longer than `max_wait_ms`. It does not notice that a client has given up, and
/// processes its request anyway.
struct DiscoveryService {
    service_time_ms: Millis,
    max_wait_ms: Millis,
    down_until_ms: Millis,
    busy_until_ms: Millis,
}

impl DiscoveryService {
    /// When the response to a request made at `now` is sent; `None` if the request is rejected.
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
    /// Receives the list; the last step of an instance.
    ReceiveList,
}

/// An instance of the proxy with its next step.
struct Instance {
    balancer: Balancer,
    next_at: Millis,
    next: Step,
}

impl Instance {
    /// An instance whose watch ends at the start of the simulation.
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

    /// Reports a failed request to the decision module, which determines when the next one is made.
    fn on_failure(&mut self, now: Millis) {
        let mut actions = Vec::new();
        let failed = Event::EndpointsChanged { kind: ListKind::Failed, version: 0, backends: &[] };
        self.balancer.handle(now, failed, &mut actions);
        let backoff_ms = actions.iter().find_map(|action| match action {
            Action::SetTimer { after_ms, .. } => Some(*after_ms),
            _ => None,
        });
        (self.next_at, self.next) =
            (now + backoff_ms.expect("the decision module sets a retry timer"), Step::Request);
    }

    /// Takes the next step. An instance gives up waiting for a response after `timeout_ms`.
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

/// Simulates a fleet whose watches all end at once, with the service down for the first 2 s. Returns when
/// each instance received the list; `None` if it did not.
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
fn all_instances_receive_the_list_from_a_slow_discovery_service() {
    for seed in 0..5 {
        let received_at = simulate(RESPONSE_TIMEOUT.as_secs_f64() * 1000.0, seed);
        let last = received_at.iter().map(|at| at.unwrap_or(f64::MAX)).fold(0.0, f64::max);
        // The service needs 9.6 s for 40 requests, and is up from 2 s on.
        assert!(last < 20_000.0, "seed {seed}: the last instance received the list after {last} ms");
    }
}

#[test]
fn too_short_a_timeout_keeps_instances_from_receiving_the_list() {
    // Shows that the test above detects the failure: clients that give up too soon re-enter the queue at its
    // end, while the service still processes their abandoned requests.
    let received_at = simulate(2_500.0, 1);
    assert!(
        received_at.iter().flatten().count() < 30,
        "with a timeout of 2.5 s most of the requests processed have been abandoned"
    );
}
