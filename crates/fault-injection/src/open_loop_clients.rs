//! Open-loop clients, and the load balancer in front of the proxies. A request starts when the arrival
//! process says so, whatever became of the others; its client retries as the scenario says.

use crate::fleet::{is_ready, Fleet, LinkEnds};
use crate::history::{ClientAttempt, ClientResult};
use crate::http::{HttpConnection, OutgoingRequest};
use crate::server::{send_request, target, RecordedAttempt};
use hillstall_decision::RetrySafety;
use hillstall_simulation::random::part;
use hillstall_simulation::sim::accounting;
use hillstall_simulation::sim::arrivals::{drawn, Arrival, Arrivals};
use hillstall_simulation::sim::setup::{chance, Stream};
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, timeout};

/// Interval of the load balancer's health checks.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// How long a client still waits for the response of an attempt that timed out, so that it is recorded.
const LATE_RESPONSE_WATCH: Duration = Duration::from_millis(250);

/// A first-tier proxy, as the load balancer sees it.
struct ProxyInRotation {
    traffic_weight: f64,
    /// Whether it gets requests.
    listed: Cell<bool>,
    idle: RefCell<Vec<HttpConnection>>,
}

/// The clients and the load balancer in front of the proxies.
pub struct OpenLoopClients {
    fleet: Rc<Fleet>,
    proxies: Vec<ProxyInRotation>,
    random: RefCell<Xoshiro256PlusPlus>,
    open: Cell<usize>,
}

impl OpenLoopClients {
    /// Clients of a fleet that is up.
    pub fn new(fleet: Rc<Fleet>, seed: u64) -> Rc<OpenLoopClients> {
        let listed = |proxy: usize| ProxyInRotation {
            traffic_weight: fleet.parameters.heat.get(proxy).copied().unwrap_or(1.0),
            listed: Cell::new(true),
            idle: RefCell::default(),
        };
        let proxies = (0..fleet.first_tier_count).map(listed).collect();
        let chance = RefCell::new(chance(seed, Stream::Network));
        Rc::new(OpenLoopClients { fleet, proxies, random: chance, open: Cell::new(0) })
    }

    /// Requests that have not ended.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    fn next_fraction(&self) -> f64 {
        part(&mut self.random.borrow_mut())
    }

    /// Starts all requests of a seed, each at its time; returns once the last has started.
    pub async fn play(self: &Rc<OpenLoopClients>, seed: u64) {
        let looks: Vec<JoinHandle<()>> =
            (0..self.proxies.len()).map(|proxy| spawn_local(self.clone().watch_health(proxy))).collect();
        let history = self.fleet.history.clone();
        for (number, arrival) in Arrivals::new(&self.fleet.parameters, seed).enumerate() {
            sleep_until(history.instant(arrival.at)).await;
            let late = history.now() - arrival.at;
            history.record(|observations| observations.start_delays_ms.push(late));
            self.open.set(self.open.get() + 1);
            let clients = self.clone();
            spawn_local(async move {
                clients.run_request(number, arrival).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
        sleep_until(history.instant(self.fleet.parameters.length)).await;
        looks.iter().for_each(JoinHandle::abort);
    }

    /// Checks one proxy's health: it is listed from its first 200 on, until it has not answered 200 for the
    /// load balancer's notice time.
    async fn watch_health(self: Rc<OpenLoopClients>, proxy: usize) {
        let notice = self.fleet.parameters.front_notice;
        let mut well_at = self.fleet.history.now();
        loop {
            sleep(POLL_INTERVAL).await;
            let asked_at = self.fleet.history.now();
            let well = is_ready(self.fleet.link(LinkEnds::ClientToProxy { process: proxy }).address()).await;
            if well {
                well_at = asked_at;
            }
            let listed = self.fleet.history.now() - well_at <= notice.max(POLL_INTERVAL.as_secs_f64() * 1e3);
            if self.proxies[proxy].listed.replace(listed) != listed && !listed {
                self.proxies[proxy].idle.borrow_mut().clear();
            }
        }
    }

    /// The proxy for the next attempt: one of the client's zone, or of another where that has none.
    fn choose_proxy(&self, zone: usize) -> Option<usize> {
        let listed = |near: bool| {
            let of = self.proxies.iter().enumerate();
            of.filter(|(n, f)| f.listed.get() && (!near || self.fleet.processes[*n].zone == zone))
                .map(|(n, _)| n)
                .collect::<Vec<usize>>()
        };
        let able = Some(listed(true)).filter(|near| !near.is_empty()).unwrap_or_else(|| listed(false));
        let place = drawn(self.next_fraction(), able.iter().map(|proxy| self.proxies[*proxy].traffic_weight));
        able.get(place).copied()
    }

    async fn run_request(self: &Rc<OpenLoopClients>, number: usize, arrival: Arrival) {
        let (parameters, history) = (&self.fleet.parameters, &self.fleet.history);
        let class = &parameters.classes[arrival.class];
        let tell = |ended| {
            let worth = (arrival.tenant, arrival.worth);
            self.fleet.summary.borrow_mut().ended(arrival.at, worth, ended);
        };
        self.fleet.summary.borrow_mut().asked(arrival.at, arrival.tenant, arrival.worth);
        let deadline_at = arrival.at + class.deadline;
        let (mut no, mut at) = (0, arrival.at);
        loop {
            self.fleet.summary.borrow_mut().tried(at);
            let over = (at + parameters.try_part * class.deadline).min(deadline_at);
            let (ended, retry_after_ms) = self.run_attempt(number, no, &arrival, over).await;
            let now = history.now();
            if ended == ClientResult::Served && now <= over {
                let latency_ms = now - arrival.at;
                return tell(accounting::RequestOutcome::Answered {
                    latency_ms,
                    in_aim: latency_ms <= class.aim,
                });
            }
            let refused = ended == ClientResult::Refused;
            let follows =
                retry_after_ms.is_some_and(|wait| wait > 0.0) && self.next_fraction() < parameters.honour;
            let wait = match follows {
                true => retry_after_ms.unwrap_or(0.0).max(parameters.wait),
                false => parameters.wait,
            };
            no += 1;
            if no > parameters.retries || now + wait >= deadline_at {
                return tell(if refused {
                    accounting::RequestOutcome::Refused
                } else {
                    accounting::RequestOutcome::Failed
                });
            }
            sleep_until(history.instant(now + wait)).await;
            at = now + wait;
        }
    }

    /// One attempt. A response after its timeout is recorded and has no other effect.
    #[allow(clippy::too_many_lines, reason = "one attempt with its late response")]
    async fn run_attempt(
        self: &Rc<OpenLoopClients>,
        number: usize,
        no: u32,
        arrival: &Arrival,
        over: f64,
    ) -> (ClientResult, Option<f64>) {
        let history = self.fleet.history.clone();
        let Some(proxy) = self.choose_proxy(arrival.zone) else {
            sleep_until(history.instant(over)).await;
            return (ClientResult::NotAccepted, None);
        };
        let process = &self.fleet.processes[proxy];
        let of = &process.settings.classes[arrival.class];
        let timeout_ms = (over - history.now()).max(1.0);
        let id = format!("c{number}-{no}");
        let key = (of.retry_safety == RetrySafety::IdempotencyKey).then(|| format!("key-{number}"));
        let made = Rc::new(RecordedAttempt::new(
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
        let (clients, noted) = (self.clone(), made.clone());
        let (class, idempotent) = (of.name.clone(), of.retry_safety == RetrySafety::Idempotent);
        let target = target(arrival.class, arrival.tenant, arrival.work);
        let tenant = self.fleet.parameters.tenants.get(arrival.tenant).map(|t| t.name.clone());
        let mut asked = Box::pin(async move {
            let call = OutgoingRequest {
                id: &id,
                class: &class,
                tenant: tenant.as_deref(),
                timeout_ms: timeout_ms as u64,
                key: key.as_deref(),
                idempotent,
                target: &target,
                is_retry: no > 0,
            };
            let door = clients.fleet.link(LinkEnds::ClientToProxy { process: proxy }).clone();
            let kept = clients.proxies[proxy].idle.borrow_mut().pop();
            send_request(kept, door.address(), &call, &noted, |own| door.take_unaccepted(own)).await
        });
        let keep = move |clients: &OpenLoopClients, connection: Option<HttpConnection>| {
            if let Some(connection) = connection.filter(|_| clients.proxies[proxy].listed.get()) {
                clients.proxies[proxy].idle.borrow_mut().push(connection);
            }
        };
        tokio::select! {
            (ended, wait, connection) = &mut asked => {
                made.ended(ended.clone(), wait);
                keep(self, connection);
                (ended, wait)
            }
            () = sleep_until(history.instant(over)) => {
                let clients = self.clone();
                spawn_local(async move {
                    match timeout(LATE_RESPONSE_WATCH, &mut asked).await {
                        Ok((ended, wait, connection)) => {
                            made.ended(ended, wait);
                            keep(&clients, connection);
                        }
                        Err(_) => made.ended(ClientResult::Unanswered, None),
                    }
                });
                (ClientResult::Unanswered, None)
            }
        }
    }
}
