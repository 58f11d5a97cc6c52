//! Open-loop clients, and the load balancer in front of the proxies. A request starts at the time that the
//! arrival process gives, however earlier requests fare; its client retries by the rules of the scenario.

use crate::fleet::{is_ready, Fleet, LinkEnds};
use crate::history::{ClientAttempt, ClientResult};
use crate::http::{HttpConnection, OutgoingRequest};
use crate::server::{send_request, target, RecordedAttempt};
use hillstall_decision::RetrySafety;
use hillstall_simulation::random::uniform;
use hillstall_simulation::sim::accounting::RequestOutcome;
use hillstall_simulation::sim::arrivals::{weighted_index, Arrival, Arrivals};
use hillstall_simulation::sim::setup::{stream_rng, Stream};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout};

/// Interval of the load balancer's health checks.
const HEALTH_CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long the response of an attempt that has timed out is still awaited, to record it.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(250);

/// A first-tier proxy, as the load balancer sees it.
struct BalancedProxy {
    /// Its share of the traffic, relative to the other proxies.
    traffic_weight: f64,
    /// Whether the load balancer sends requests to it.
    in_rotation: Cell<bool>,
    idle_connections: RefCell<Vec<HttpConnection>>,
}

/// The clients and the load balancer in front of the proxies.
pub struct OpenLoopClients {
    fleet: Rc<Fleet>,
    proxies: Vec<BalancedProxy>,
    random: RefCell<Xoshiro256PlusPlus>,
    open_requests: Cell<usize>,
}

impl OpenLoopClients {
    /// Creates the clients of a running fleet.
    pub fn new(fleet: Rc<Fleet>, seed: u64) -> Rc<OpenLoopClients> {
        let balanced = |proxy: usize| BalancedProxy {
            traffic_weight: fleet.parameters.proxy_traffic.get(proxy).copied().unwrap_or(1.0),
            in_rotation: Cell::new(true),
            idle_connections: RefCell::default(),
        };
        let proxies = (0..fleet.first_tier_count).map(balanced).collect();
        let random = RefCell::new(stream_rng(seed, Stream::Network));
        Rc::new(OpenLoopClients { fleet, proxies, random, open_requests: Cell::new(0) })
    }

    /// The number of requests that have not ended.
    pub fn open_requests(&self) -> usize {
        self.open_requests.get()
    }

    /// A random number from 0 to below 1.
    fn fraction(&self) -> f64 {
        uniform(&mut self.random.borrow_mut())
    }

    /// Starts all requests of a seed, each at its time; returns at the end of the scenario.
    pub async fn run(self: &Rc<OpenLoopClients>, seed: u64) {
        let health_checks: Vec<JoinHandle<()>> =
            (0..self.proxies.len()).map(|proxy| spawn_local(self.clone().watch_health(proxy))).collect();
        let history = self.fleet.history.clone();
        for (number, arrival) in Arrivals::new(&self.fleet.parameters, seed).enumerate() {
            sleep_until(history.instant(arrival.at_ms)).await;
            let delay_ms = history.now() - arrival.at_ms;
            history.record(|observations| observations.start_delays_ms.push(delay_ms));
            self.open_requests.set(self.open_requests.get() + 1);
            let clients = self.clone();
            spawn_local(async move {
                clients.run_request(number, arrival).await;
                clients.open_requests.set(clients.open_requests.get() - 1);
            });
        }
        sleep_until(history.instant(self.fleet.parameters.length)).await;
        health_checks.iter().for_each(JoinHandle::abort);
    }

    /// Checks one proxy's health. A proxy leaves the rotation once it has not answered 200 for the load
    /// balancer's notice time, and returns with its next 200.
    async fn watch_health(self: Rc<OpenLoopClients>, proxy: usize) {
        let notice_ms = self.fleet.parameters.front_notice_delay;
        let mut healthy_at = self.fleet.history.now();
        loop {
            sleep(HEALTH_CHECK_INTERVAL).await;
            let checked_at = self.fleet.history.now();
            let is_healthy =
                is_ready(self.fleet.link(LinkEnds::ClientToProxy { process: proxy }).address()).await;
            if is_healthy {
                healthy_at = checked_at;
            }
            let in_rotation = self.fleet.history.now() - healthy_at
                <= notice_ms.max(HEALTH_CHECK_INTERVAL.as_secs_f64() * 1e3);
            if self.proxies[proxy].in_rotation.replace(in_rotation) != in_rotation && !in_rotation {
                self.proxies[proxy].idle_connections.borrow_mut().clear();
            }
        }
    }

    /// Chooses the proxy for an attempt: one of the client's zone or, if none of these is in rotation, of any
    /// zone. `None` if no proxy is in rotation.
    fn choose_proxy(&self, zone: usize) -> Option<usize> {
        let in_rotation = |same_zone_only: bool| {
            let proxies = self.proxies.iter().enumerate();
            proxies
                .filter(|(number, proxy)| {
                    proxy.in_rotation.get() && (!same_zone_only || self.fleet.processes[*number].zone == zone)
                })
                .map(|(number, _)| number)
                .collect::<Vec<usize>>()
        };
        let candidates = Some(in_rotation(true))
            .filter(|same_zone| !same_zone.is_empty())
            .unwrap_or_else(|| in_rotation(false));
        let index = weighted_index(
            self.fraction(),
            candidates.iter().map(|proxy| self.proxies[*proxy].traffic_weight),
        );
        candidates.get(index).copied()
    }

    /// Runs a request with its retries, and accounts for its outcome.
    async fn run_request(self: &Rc<OpenLoopClients>, number: usize, arrival: Arrival) {
        let (parameters, history) = (&self.fleet.parameters, &self.fleet.history);
        let class = &parameters.classes[arrival.class];
        let finish = |outcome| {
            let worth = (arrival.tenant, arrival.weight);
            self.fleet.summary.borrow_mut().record_outcome(arrival.at_ms, worth, outcome);
        };
        self.fleet.summary.borrow_mut().record_request(arrival.at_ms, arrival.tenant, arrival.weight);
        let deadline = arrival.at_ms + class.deadline;
        let (mut retries, mut sent_at) = (0, arrival.at_ms);
        loop {
            self.fleet.summary.borrow_mut().record_client_attempt(sent_at);
            let timeout_at = (sent_at + parameters.attempt_timeout_fraction * class.deadline).min(deadline);
            let (result, retry_after_ms) = self.run_attempt(number, retries, &arrival, timeout_at).await;
            let now = history.now();
            if result == ClientResult::Served && now <= timeout_at {
                let latency_ms = now - arrival.at_ms;
                return finish(RequestOutcome::Answered {
                    latency_ms,
                    within_objective: latency_ms <= class.latency_objective,
                });
            }
            let refused = result == ClientResult::Refused;
            let honoured = retry_after_ms.is_some_and(|ms| ms > 0.0) && self.fraction() < parameters.honour;
            let wait_ms = match honoured {
                true => retry_after_ms.unwrap_or(0.0).max(parameters.retry_wait),
                false => parameters.retry_wait,
            };
            retries += 1;
            if retries > parameters.retries || now + wait_ms >= deadline {
                return finish(if refused { RequestOutcome::Rejected } else { RequestOutcome::Failed });
            }
            sleep_until(history.instant(now + wait_ms)).await;
            sent_at = now + wait_ms;
        }
    }

    /// Runs one attempt, and returns its result and its Retry-After in milliseconds. A response that comes
    /// after `timeout_at` is recorded and has no other effect.
    #[allow(clippy::too_many_lines, reason = "one attempt with its late response")]
    async fn run_attempt(
        self: &Rc<OpenLoopClients>,
        number: usize,
        retries: u32,
        arrival: &Arrival,
        timeout_at: f64,
    ) -> (ClientResult, Option<f64>) {
        let history = self.fleet.history.clone();
        let Some(proxy) = self.choose_proxy(arrival.zone) else {
            sleep_until(history.instant(timeout_at)).await;
            return (ClientResult::NotAccepted, None);
        };
        let process = &self.fleet.processes[proxy];
        let class_settings = &process.settings.classes[arrival.class];
        let timeout_ms = (timeout_at - history.now()).max(1.0);
        let id = format!("c{number}-{retries}");
        let key =
            (class_settings.retry_safety == RetrySafety::IdempotencyKey).then(|| format!("key-{number}"));
        let attempt = Rc::new(RecordedAttempt::new(
            history.clone(),
            ClientAttempt {
                id: id.clone(),
                class: arrival.class,
                tenant: arrival.tenant,
                key: key.clone(),
                process: proxy,
                written_at: None,
                timeout_ms,
                ended_at: 0.0,
                result: ClientResult::Abandoned,
                retry_after_ms: None,
            },
        ));
        let (clients, sent_attempt) = (self.clone(), attempt.clone());
        let (class, idempotent) =
            (class_settings.name.clone(), class_settings.retry_safety == RetrySafety::Idempotent);
        let target = target(arrival.class, arrival.tenant, arrival.work_ms);
        let tenant = self.fleet.parameters.tenants.get(arrival.tenant).map(|t| t.name.clone());
        let mut sending = Box::pin(async move {
            let request = OutgoingRequest {
                id: &id,
                class: &class,
                tenant: tenant.as_deref(),
                timeout_ms: timeout_ms as u64,
                key: key.as_deref(),
                idempotent,
                target: &target,
                is_retry: retries > 0,
            };
            let link = clients.fleet.link(LinkEnds::ClientToProxy { process: proxy }).clone();
            let idle = clients.proxies[proxy].idle_connections.borrow_mut().pop();
            send_request(idle, link.address(), &request, &sent_attempt, |local_address| {
                link.take_unaccepted(local_address)
            })
            .await
        });
        let return_connection = move |clients: &OpenLoopClients, connection: Option<HttpConnection>| {
            if let Some(connection) = connection.filter(|_| clients.proxies[proxy].in_rotation.get()) {
                clients.proxies[proxy].idle_connections.borrow_mut().push(connection);
            }
        };
        tokio::select! {
            (result, retry_after_ms, connection) = &mut sending => {
                attempt.end(result.clone(), retry_after_ms);
                return_connection(self, connection);
                (result, retry_after_ms)
            }
            () = sleep_until(history.instant(timeout_at)) => {
                let clients = self.clone();
                spawn_local(async move {
                    match timeout(LATE_RESPONSE_WAIT, &mut sending).await {
                        Ok((result, retry_after_ms, connection)) => {
                            attempt.end(result, retry_after_ms);
                            return_connection(&clients, connection);
                        }
                        Err(_) => attempt.end(ClientResult::Unanswered, None),
                    }
                });
                (ClientResult::Unanswered, None)
            }
        }
    }
}
