//! Runs a scenario in simulated time: clients, proxies that run a policy, machines, and failures. Runs are
//! deterministic: the same scenario, seed and policy give the same result, byte for byte.

pub mod accounting;
pub mod arrivals;
mod attempts;
mod clients;
mod failures;
mod link_faults;
mod proxy_restarts;
mod queue;
mod recorded_day;
pub mod setup;
pub mod side_effects;

pub use accounting::{RunSummary, Second};
pub use recorded_day::DayError;

use crate::model::machine::{Job, Machine, MachineSpec};
use crate::policy::{Policy, PolicyName};
use crate::scenario::Scenario;
use arrivals::{Arrival, Arrivals};
use hillstall_decision::{Action, BackendInfo, BackendState, Event, ListKind};
use queue::{Queue, SimEvent};
use rand_xoshiro::rand_core::RngCore;
use rand_xoshiro::Xoshiro256PlusPlus;
use setup::{DrawnScenario, Stream};

/// Interval of the samples of the machines' capacity.
const SAMPLE_INTERVAL_MS: f64 = 100.0;

/// A machine with its place in the fleet.
struct Host {
    machine: Machine,
    tier: usize,
    /// The machine's index among those of its tier.
    index_in_tier: usize,
    zone: usize,
    /// The true state; the proxies' endpoint lists follow later.
    state: BackendState,
    started_at: Option<f64>,
    /// Whether the machine is cut off from the network.
    unreachable: bool,
    /// Whether the machine rejects new attempts, as if its queue were full.
    rejects_new: bool,
    /// Changes whenever the machine's next change is scheduled anew, so that events with an older stamp are
    /// stale.
    change_stamp: u64,
    /// The machine's own proxy in front of the next tier; `None` at the last tier.
    proxy: Option<usize>,
    /// When the proxies were notified that the machine drains or is gone; `None` while it is listed as ready.
    away_notified_at: Option<f64>,
}

/// A proxy instance in front of a tier.
struct Proxy {
    policy: Box<dyn Policy>,
    tier: usize,
    rank: usize,
    zone: usize,
    /// Traffic as a multiple of an ordinary proxy's; only first-tier proxies differ.
    traffic_weight: f64,
    alive: bool,
    /// The proxy shuts down gracefully: the load balancer no longer sends it new requests.
    draining: bool,
    /// The proxy's machine is gone too, so connections are not refused but time out.
    silent: bool,
    /// When the proxy was last killed or lost.
    gone_at: f64,
}

/// Who sent a request to a proxy.
#[derive(Clone, Copy)]
enum RequestSource {
    Client { client_request: usize, attempt_number: u32 },
    Machine { attempt: usize },
}

/// A request at a proxy.
struct ProxyRequest {
    proxy: usize,
    source: RequestSource,
    class: usize,
    tenant: usize,
    work: f64,
    deadline_at: f64,
    attempts: u32,
    in_flight: Option<usize>,
    answered: bool,
    /// Whether the client has disconnected or the proxy is gone.
    abandoned: bool,
}

/// An attempt of a proxy at a machine.
struct Attempt {
    request: usize,
    number: u32,
    machine: usize,
    sent_at: f64,
    /// Whether the attempt's outcome was passed to the policy.
    ended: bool,
    /// Whether the attempt occupies a slot or a queue place of its machine; false once the machine's process
    /// has died.
    on_machine: bool,
    /// Whether the attempt was cancelled; its running phase still ends.
    cancelled: bool,
    /// Phases of work at the machine that have not ended; between two phases is a request to the next tier.
    phases_left: usize,
    /// Work of one phase, in core milliseconds.
    phase_work: f64,
    /// The request to the next tier that the attempt waits for.
    request_below: Option<usize>,
}

/// A request of a client, with all its attempts.
struct ClientRequest {
    class: usize,
    tenant: usize,
    work: f64,
    weight: f64,
    started_at: f64,
    deadline_at: f64,
    zone: usize,
    attempt_number: u32,
    /// The current client attempt's request at a proxy; `None` until it reaches one.
    proxy_request: Option<usize>,
    closed: bool,
}

/// The state of one run.
struct World {
    parameters: DrawnScenario,
    now: f64,
    queue: Queue,
    hosts: Vec<Host>,
    /// The machines of each tier, by their index in `hosts`.
    tiers: Vec<Vec<usize>>,
    proxies: Vec<Proxy>,
    /// The proxies in front of each tier, by their index in `proxies`.
    proxies_of_tier: Vec<Vec<usize>>,
    requests: Vec<ProxyRequest>,
    attempts: Vec<Attempt>,
    client_requests: Vec<ClientRequest>,
    arrivals: Arrivals,
    /// The next client request to start.
    next_arrival: Option<Arrival>,
    network_rng: Xoshiro256PlusPlus,
    discovery_down: bool,
    /// Machines whose state changed while discovery was down; the proxies are notified once it works again.
    unsent_notices: Vec<usize>,
    /// Endpoint updates that proxies missed while they were cut off from discovery, as proxy and machine.
    missed_notices: Vec<(usize, usize)>,
    /// Active link faults, by their index among the failures.
    active_link_faults: Vec<usize>,
    policy_name: PolicyName,
    policy_seeds: Xoshiro256PlusPlus,
    completed_jobs: Vec<Job>,
    totals: RunSummary,
    side_effects: side_effects::SideEffectCounts,
    last_sample_at: f64,
}

/// Runs a scenario with a policy in simulated time.
pub fn run(scenario: &Scenario, policy: PolicyName, seed: u64) -> RunSummary {
    run_drawn(setup::draw(scenario, seed), policy, seed)
}

/// A recorded day of the platform's simulator, ready to be run.
pub struct RecordedDay {
    parameters: DrawnScenario,
    /// Kinds of failures in the file that the simulation does not support; they are left out.
    pub unsupported_failures: Vec<String>,
}

impl RecordedDay {
    /// Parses a day file (JSON).
    pub fn read(text: &str) -> Result<RecordedDay, DayError> {
        let (parameters, unsupported_failures) = recorded_day::parameters(text)?;
        Ok(RecordedDay { parameters, unsupported_failures })
    }

    /// Runs the day with a policy in simulated time.
    pub fn run(&self, policy: PolicyName, seed: u64) -> RunSummary {
        run_drawn(self.parameters.clone(), policy, seed)
    }
}

fn run_drawn(parameters: DrawnScenario, policy: PolicyName, seed: u64) -> RunSummary {
    let mut world = World::new(parameters, policy, seed);
    while let Some((at, event)) = world.queue.pop() {
        world.now = at;
        world.handle_event(event);
        world.sample_capacity();
    }
    let open = world.requests.iter().filter(|r| !r.answered && !r.abandoned).count() as u64;
    world.totals.response_errors += open;
    let counts = std::mem::take(&mut world.side_effects);
    let index = |host: usize| world.hosts[host].index_in_tier;
    let start = |host: usize| world.parameters.slow_start_model(world.hosts[host].tier, index(host));
    world.totals.side_effects = counts.into_side_effects(&world.parameters, world.totals.by_proxy(), start);
    let chokes = world.hosts.iter().map(|h| u64::from(h.machine.chokes())).sum();
    world.totals.finish(chokes)
}

impl World {
    fn new(parameters: DrawnScenario, policy: PolicyName, seed: u64) -> World {
        let mut world = World {
            now: 0.0,
            queue: Queue::default(),
            hosts: Vec::new(),
            tiers: Vec::new(),
            proxies: Vec::new(),
            proxies_of_tier: vec![Vec::new(); parameters.tiers.len()],
            requests: Vec::new(),
            attempts: Vec::new(),
            client_requests: Vec::new(),
            arrivals: Arrivals::new(&parameters, seed),
            next_arrival: None,
            network_rng: setup::stream_rng(seed, Stream::Network),
            discovery_down: false,
            unsent_notices: Vec::new(),
            missed_notices: Vec::new(),
            active_link_faults: Vec::new(),
            policy_name: policy,
            policy_seeds: setup::stream_rng(seed, Stream::Policies),
            completed_jobs: Vec::new(),
            side_effects: side_effects::SideEffectCounts::new(&parameters),
            totals: RunSummary::new(policy.name(), seed, parameters.length, parameters.tenant_quotas()),
            last_sample_at: f64::MIN,
            parameters,
        };
        world.build(policy);
        world
    }

    #[allow(clippy::too_many_lines, reason = "builds machines, proxies and first events in order")]
    fn build(&mut self, policy: PolicyName) {
        let mut seeds = self.policy_seeds.clone();
        for (tier, of) in self.parameters.tiers.iter().enumerate() {
            let first = self.hosts.len();
            for (n, place) in of.machines.iter().enumerate() {
                self.hosts.push(Host {
                    machine: Machine::new(MachineSpec { speed: place.speed, ..of.spec }),
                    tier,
                    index_in_tier: n,
                    zone: place.zone,
                    state: BackendState::Ready,
                    started_at: None,
                    unreachable: false,
                    rejects_new: false,
                    change_stamp: 0,
                    proxy: None,
                    away_notified_at: None,
                });
            }
            self.tiers.push((first..self.hosts.len()).collect());
        }
        for tier in 0..self.tiers.len() {
            // First-tier proxies are processes of their own; in front of any other tier, each machine of the
            // tier above has its own proxy.
            let hosts_of_proxies: Vec<Option<usize>> = match tier {
                0 => vec![None; self.parameters.proxy_zones.len()],
                _ => self.tiers[tier - 1].iter().copied().map(Some).collect(),
            };
            for (rank, host) in hosts_of_proxies.iter().enumerate() {
                let zone =
                    host.map_or_else(|| self.parameters.proxy_zones[rank], |host| self.hosts[host].zone);
                let settings = self.parameters.settings(tier, rank, hosts_of_proxies.len(), zone);
                let number = self.proxies.len();
                self.proxies.push(Proxy {
                    policy: policy.start(settings, seeds.next_u64()),
                    tier,
                    rank,
                    zone,
                    traffic_weight: self.parameters.proxy_traffic.get(number).copied().unwrap_or(1.0),
                    alive: true,
                    draining: false,
                    silent: false,
                    gone_at: f64::MIN,
                });
                self.proxies_of_tier[tier].push(number);
                if let Some(host) = *host {
                    self.hosts[host].proxy = Some(number);
                }
                self.send_endpoint_list(number);
            }
        }
        self.policy_seeds = seeds;
        for (index, failure) in self.parameters.failures.iter().enumerate() {
            self.queue.schedule(failure.at, SimEvent::Failure { index, begins: true });
            self.queue.schedule(failure.at + failure.duration, SimEvent::Failure { index, begins: false });
        }
        self.queue.schedule(0.0, SimEvent::Arrival);
    }

    /// Passes the whole endpoint list of a proxy's tier to the proxy.
    fn send_endpoint_list(&mut self, proxy: usize) {
        let tier = self.proxies[proxy].tier;
        let list: Vec<BackendInfo> = self.tiers[tier].iter().map(|h| self.backend_info(*h)).collect();
        self.pass_event(
            proxy,
            Event::EndpointsChanged { kind: ListKind::Cached, version: 0, backends: &list },
        );
    }

    /// A machine's entry in the endpoint list, by its true state.
    fn backend_info(&self, host: usize) -> BackendInfo {
        let h = &self.hosts[host];
        BackendInfo {
            id: host as u32,
            zone: h.zone as u16,
            kind: 0,
            cell: 0,
            state: h.state,
            rating: 1.0,
            started_at: h.started_at,
        }
    }

    /// Passes an event to a proxy's policy, and carries out its actions.
    fn pass_event(&mut self, proxy: usize, event: Event<'_>) {
        let mut actions = Vec::new();
        self.proxies[proxy].policy.handle(self.now, event, &mut actions);
        for action in actions {
            self.dispatch(proxy, action);
        }
    }

    fn dispatch(&mut self, proxy: usize, action: Action) {
        match action {
            Action::Send { request, backend, timeout_ms, .. } => {
                self.send_attempt(request as usize, backend as usize, timeout_ms);
            }
            Action::Reject { request, retry_after_ms, .. } => {
                self.respond(request as usize, queue::ResponseKind::Rejected, retry_after_ms);
            }
            Action::Fail { request, .. } => self.respond(request as usize, queue::ResponseKind::Failed, 0.0),
            Action::Cancel { request, .. } => self.cancel_attempt(request as usize),
            Action::SetTimer { after_ms, token } => {
                self.queue.schedule(self.now + after_ms, SimEvent::Timer { proxy, token });
            }
            // Polls are not needed, as the endpoint list is pushed; probes are not permitted by the settings.
            _ => {}
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival => self.start_next_request(),
            SimEvent::ClientAttempt { client_request, attempt_number } => {
                self.client_attempt_arrives(client_request, attempt_number)
            }
            SimEvent::ClientAttemptTimeout { client_request, attempt_number } => {
                self.client_attempt_timed_out(client_request, attempt_number)
            }
            SimEvent::ResponseArrival { client_request, attempt_number, end, retry_after } => {
                self.response_arrives(client_request, attempt_number, end, retry_after)
            }
            SimEvent::AttemptArrival { attempt } => self.attempt_arrives(attempt),
            SimEvent::MachineChange { machine, stamp } => {
                if self.hosts[machine].change_stamp == stamp {
                    let now = self.now;
                    self.hosts[machine].machine.advance(now, &mut self.completed_jobs);
                    self.continue_completed_work(machine);
                }
            }
            SimEvent::AttemptOutcome { attempt, outcome } => self.end_attempt(attempt, outcome),
            SimEvent::AttemptTimeout { attempt } => self.attempt_timed_out(attempt),
            SimEvent::CancelArrival { attempt } => self.cancel_at_machine(attempt),
            SimEvent::Timer { proxy, token } => self.pass_event(proxy, Event::Timer { token }),
            SimEvent::Failure { index, begins } => self.switch_failure(index, begins),
            SimEvent::GracefulRestart { proxy } => self.restart_gracefully(proxy),
            SimEvent::Release { machine, step } => self.release_step(machine, step),
            SimEvent::EndpointNotice { machine } => self.notify_proxies(machine),
        }
    }

    /// Samples the capacity of the first tier, once per [`SAMPLE_INTERVAL_MS`].
    fn sample_capacity(&mut self) {
        if self.now - self.last_sample_at < SAMPLE_INTERVAL_MS || self.now > self.parameters.length {
            return;
        }
        self.last_sample_at = self.now;
        let failing = self.hosts.iter().filter(|h| h.unreachable || !h.machine.is_responsive()).count();
        self.side_effects.add_failing_time(failing as f64 * SAMPLE_INTERVAL_MS);
        let full_capacity = self.parameters.tiers[0].full_capacity();
        let hosts = || self.tiers[0].iter().map(|h| &self.hosts[*h]).filter(|h| !h.unreachable);
        let capacity: f64 = hosts().map(|h| h.machine.capacity(self.now)).sum();
        let choked = hosts().filter(|h| h.machine.is_choked()).count() as u64;
        self.totals.record_capacity_sample(self.now, capacity / full_capacity, choked);
    }
}
