//! The load-balancing policies of an experiment: the decision module, and textbook policies to compare it
//! with.

use hillstall_decision::Balancer;
use hillstall_decision::{
    Action, BackendId, BackendInfo, BackendState, Event, ListKind, Millis, Outcome, RequestId, Settings,
    UnservedReason,
};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::collections::HashMap;

/// The policies that can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PolicyName {
    /// The decision module, as the proxy runs it.
    Hillstall,
    /// A random ready backend.
    Random,
    /// Round robin over the ready backends.
    RoundRobin,
    /// The ready backend with the fewest requests of this proxy in flight.
    LeastOutstanding,
    /// The less loaded of two random ready backends (power of two choices).
    TwoChoices,
    /// The ready backend with the least true load, that is, requests over capacity at this moment. It is an
    /// upper bound of backend selection, as no real proxy knows the true load. It rejects nothing.
    Oracle,
}

impl PolicyName {
    /// All policies, in the order of the tables.
    pub const ALL: [PolicyName; 6] = [
        PolicyName::Hillstall,
        PolicyName::Random,
        PolicyName::RoundRobin,
        PolicyName::LeastOutstanding,
        PolicyName::TwoChoices,
        PolicyName::Oracle,
    ];

    /// The policy's name in tables, in stored runs and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            PolicyName::Hillstall => "hillstall",
            PolicyName::Random => "random",
            PolicyName::RoundRobin => "round-robin",
            PolicyName::LeastOutstanding => "least-outstanding",
            PolicyName::TwoChoices => "two-choices",
            PolicyName::Oracle => "oracle",
        }
    }

    /// Creates the policy of one proxy.
    pub fn start(self, settings: Settings, seed: u64) -> Box<dyn Policy> {
        match self {
            PolicyName::Hillstall => Box::new(DecisionModule(Balancer::new(settings, seed))),
            _ => Box::new(Textbook::new(self, &settings, seed)),
        }
    }
}

impl std::fmt::Display for PolicyName {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        out.write_str(self.name())
    }
}

impl std::str::FromStr for PolicyName {
    type Err = String;

    fn from_str(name: &str) -> Result<PolicyName, String> {
        PolicyName::ALL.into_iter().find(|n| n.name() == name).ok_or_else(|| {
            let names = PolicyName::ALL.map(PolicyName::name).join(", ");
            format!("no policy is called {name}; there are {names}")
        })
    }
}

/// The policy of one proxy.
pub trait Policy {
    /// Handles an event and appends the resulting actions; see [`Balancer::handle`].
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>);

    /// Whether the policy needs [`Policy::set_true_load`] before each request.
    fn needs_true_load(&self) -> bool {
        false
    }

    /// Sets the true load of each backend: its requests over its capacity at this moment, and `f64::MAX` for
    /// a backend that is down, unreachable or hung.
    fn set_true_load(&mut self, _truth: &[(BackendId, f64)]) {}
}

/// The decision module as a [`Policy`].
struct DecisionModule(Balancer);

impl Policy for DecisionModule {
    fn handle(&mut self, now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        self.0.handle(now, event, actions);
    }
}

/// A request with an attempt in flight.
struct OpenRequest {
    server_index: usize,
    attempts: u32,
    tried: Vec<BackendId>,
}

/// A textbook policy. It retries at once at another backend if an attempt never ran, and does not retry
/// otherwise.
struct Textbook {
    policy: PolicyName,
    rng: Xoshiro256PlusPlus,
    /// The backends, each with the number of this proxy's requests in flight.
    servers: Vec<(BackendInfo, f64)>,
    true_loads: HashMap<BackendId, f64>,
    open: HashMap<RequestId, OpenRequest>,
    next_in_turn: usize,
    max_attempts: u32,
}

impl Textbook {
    fn new(rule: PolicyName, settings: &Settings, seed: u64) -> Textbook {
        Textbook {
            policy: rule,
            rng: Xoshiro256PlusPlus::seed_from_u64(seed),
            servers: Vec::new(),
            true_loads: HashMap::new(),
            open: HashMap::new(),
            next_in_turn: settings.rank as usize,
            max_attempts: settings.permissions.max_attempts,
        }
    }

    fn random_index(&mut self, bound: usize) -> usize {
        ((u128::from(self.rng.next_u64()) * bound as u128) >> 64) as usize
    }

    fn pick(&mut self, tried: &[BackendId]) -> Option<usize> {
        let ready = |s: &(BackendInfo, f64)| s.0.state == BackendState::Ready;
        let mut candidates: Vec<usize> = (0..self.servers.len())
            .filter(|&i| ready(&self.servers[i]) && !tried.contains(&self.servers[i].0.id))
            .collect();
        if candidates.is_empty() {
            candidates = (0..self.servers.len()).filter(|&i| ready(&self.servers[i])).collect();
        }
        if candidates.is_empty() {
            return None;
        }
        let in_flight = |i: &usize| self.servers[*i].1;
        let true_load = |i: &usize| self.true_loads.get(&self.servers[*i].0.id).copied().unwrap_or(f64::MAX);
        match self.policy {
            PolicyName::RoundRobin => {
                self.next_in_turn += 1;
                Some(candidates[self.next_in_turn % candidates.len()])
            }
            PolicyName::LeastOutstanding => {
                candidates.iter().copied().min_by(|a, b| in_flight(a).total_cmp(&in_flight(b)))
            }
            PolicyName::Oracle => {
                candidates.iter().copied().min_by(|a, b| true_load(a).total_cmp(&true_load(b)))
            }
            PolicyName::TwoChoices => {
                let (a, b) = (
                    candidates[self.random_index(candidates.len())],
                    candidates[self.random_index(candidates.len())],
                );
                Some(if self.servers[a].1 <= self.servers[b].1 { a } else { b })
            }
            PolicyName::Random | PolicyName::Hillstall => {
                Some(candidates[self.random_index(candidates.len())])
            }
        }
    }

    fn send(&mut self, id: RequestId, attempts: u32, tried: Vec<BackendId>, actions: &mut Vec<Action>) {
        let picked = if attempts < self.max_attempts { self.pick(&tried) } else { None };
        let Some(at) = picked else {
            return actions.push(Action::Reject {
                request: id,
                retry_after_ms: 0.0,
                reason: UnservedReason::NoBackend,
            });
        };
        self.servers[at].1 += 1.0;
        let backend = self.servers[at].0.id;
        let mut tried = tried;
        tried.push(backend);
        self.open.insert(id, OpenRequest { server_index: at, attempts: attempts + 1, tried });
        actions.push(Action::Send { request: id, backend, timeout_ms: 0.0, write_by: None });
    }

    fn on_list(&mut self, kind: ListKind, list: &[BackendInfo]) {
        if matches!(kind, ListKind::Full | ListKind::Cached) {
            self.servers.iter_mut().for_each(|s| s.0.state = BackendState::Gone);
        }
        // Backends are never removed, as open requests refer to them by index.
        for info in list {
            match self.servers.iter_mut().find(|s| s.0.id == info.id) {
                Some(known) => known.0 = *info,
                None => self.servers.push((*info, 0.0)),
            }
        }
    }
}

impl Policy for Textbook {
    fn handle(&mut self, _now: Millis, event: Event<'_>, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointsChanged { kind: ListKind::Failed, .. } => {}
            Event::EndpointsChanged { kind, backends, .. } => self.on_list(kind, backends),
            Event::Request { id, .. } => self.send(id, 0, Vec::new(), actions),
            Event::Outcome { request, outcome, ended, .. } => {
                let Some(open) = self.open.remove(&request) else { return };
                self.servers[open.server_index].1 = (self.servers[open.server_index].1 - 1.0).max(0.0);
                if ended {
                } else if outcome.never_ran() && outcome != Outcome::NotSent {
                    self.send(request, open.attempts, open.tried, actions);
                } else {
                    actions.push(Action::Fail { request, reason: UnservedReason::NotRetryable });
                }
            }
            _ => {}
        }
    }

    fn needs_true_load(&self) -> bool {
        self.policy == PolicyName::Oracle
    }

    fn set_true_load(&mut self, truth: &[(BackendId, f64)]) {
        self.true_loads.clear();
        self.true_loads.extend(truth.iter().copied());
    }
}
