//! The clients, and the layer before the proxies: an open loop. A call sets out when the arrival process says so,
//! whatever became of the others; its client tries again as the scenario has it.

use crate::fleet::{says_up, Fleet, LinkEnds};
use crate::history::{ClientAttempt, ClientResult};
use crate::http::{Call, Wire};
use crate::server::{ask, target, MadeTry};
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

/// How often the layer before the proxies looks whether they take calls.
const LOOK: Duration = Duration::from_millis(100);
/// How long a client that has given a try up still watches for its answer, so that the referee knows of it.
const WATCH: Duration = Duration::from_millis(250);

/// A front as the layer before it sees it.
struct Listed {
    heat: f64,
    /// Whether it gets calls.
    listed: Cell<bool>,
    idle: RefCell<Vec<Wire>>,
}

/// Clients and the layer before the proxies.
pub struct OpenLoopClients {
    fleet: Rc<Fleet>,
    fronts: Vec<Listed>,
    chance: RefCell<Xoshiro256PlusPlus>,
    open: Cell<usize>,
}

impl OpenLoopClients {
    /// Clients of a fleet that is up.
    pub fn new(fleet: Rc<Fleet>, seed: u64) -> Rc<OpenLoopClients> {
        let listed = |front: usize| Listed {
            heat: fleet.figures.heat.get(front).copied().unwrap_or(1.0),
            listed: Cell::new(true),
            idle: RefCell::default(),
        };
        let fronts = (0..fleet.fronts).map(listed).collect();
        let chance = RefCell::new(chance(seed, Stream::Network));
        Rc::new(OpenLoopClients { fleet, fronts, chance, open: Cell::new(0) })
    }

    /// Calls that have not ended.
    pub fn open(&self) -> usize {
        self.open.get()
    }

    fn part(&self) -> f64 {
        part(&mut self.chance.borrow_mut())
    }

    /// Makes all calls of a seed, each at its time; returns once the last has set out.
    pub async fn play(self: &Rc<OpenLoopClients>, seed: u64) {
        let looks: Vec<JoinHandle<()>> =
            (0..self.fronts.len()).map(|front| spawn_local(self.clone().look(front))).collect();
        let history = self.fleet.history.clone();
        for (number, arrival) in Arrivals::new(&self.fleet.figures, seed).enumerate() {
            sleep_until(history.instant(arrival.at)).await;
            let late = history.now() - arrival.at;
            history.note(|seen| seen.lateness.push(late));
            self.open.set(self.open.get() + 1);
            let clients = self.clone();
            spawn_local(async move {
                clients.call(number, arrival).await;
                clients.open.set(clients.open.get() - 1);
            });
        }
        sleep_until(history.instant(self.fleet.figures.length)).await;
        looks.iter().for_each(JoinHandle::abort);
    }

    /// Watches one front: it is listed as soon as it says yes, and no more once it has not for a while. One that says
    /// no is believed at once.
    async fn look(self: Rc<OpenLoopClients>, front: usize) {
        let notice = self.fleet.figures.front_notice;
        let mut well_at = self.fleet.history.now();
        loop {
            sleep(LOOK).await;
            let asked_at = self.fleet.history.now();
            let well = says_up(self.fleet.link(LinkEnds::Door { process: front }).address()).await;
            if well {
                well_at = asked_at;
            }
            let listed = self.fleet.history.now() - well_at <= notice.max(LOOK.as_secs_f64() * 1e3);
            if self.fronts[front].listed.replace(listed) != listed && !listed {
                self.fronts[front].idle.borrow_mut().clear();
            }
        }
    }

    /// The front that the next try goes to: one of the client's zone, or of another where that has none.
    fn front(&self, zone: usize) -> Option<usize> {
        let listed = |near: bool| {
            let of = self.fronts.iter().enumerate();
            of.filter(|(n, f)| f.listed.get() && (!near || self.fleet.processes[*n].zone == zone))
                .map(|(n, _)| n)
                .collect::<Vec<usize>>()
        };
        let able = Some(listed(true)).filter(|near| !near.is_empty()).unwrap_or_else(|| listed(false));
        let place = drawn(self.part(), able.iter().map(|front| self.fronts[*front].heat));
        able.get(place).copied()
    }

    async fn call(self: &Rc<OpenLoopClients>, number: usize, arrival: Arrival) {
        let (figures, history) = (&self.fleet.figures, &self.fleet.history);
        let class = &figures.classes[arrival.class];
        let tell = |ended| {
            let worth = (arrival.tenant, arrival.worth);
            self.fleet.tally.borrow_mut().ended(arrival.at, worth, ended);
        };
        self.fleet.tally.borrow_mut().asked(arrival.at, arrival.tenant, arrival.worth);
        let deadline_at = arrival.at + class.deadline;
        let (mut no, mut at) = (0, arrival.at);
        loop {
            self.fleet.tally.borrow_mut().tried(at);
            let over = (at + figures.try_part * class.deadline).min(deadline_at);
            let (ended, come_back) = self.one_try(number, no, &arrival, over).await;
            let now = history.now();
            if ended == ClientResult::Served && now <= over {
                let latency_ms = now - arrival.at;
                return tell(accounting::RequestOutcome::Answered {
                    latency_ms,
                    in_aim: latency_ms <= class.aim,
                });
            }
            let refused = ended == ClientResult::Refused;
            let follows = come_back.is_some_and(|wait| wait > 0.0) && self.part() < figures.honour;
            let wait = match follows {
                true => come_back.unwrap_or(0.0).max(figures.wait),
                false => figures.wait,
            };
            no += 1;
            if no > figures.retries || now + wait >= deadline_at {
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

    /// One try; what comes after its time is written down and no more.
    async fn one_try(
        self: &Rc<OpenLoopClients>,
        number: usize,
        no: u32,
        arrival: &Arrival,
        over: f64,
    ) -> (ClientResult, Option<f64>) {
        let history = self.fleet.history.clone();
        let Some(front) = self.front(arrival.zone) else {
            sleep_until(history.instant(over)).await;
            return (ClientResult::NotTaken, None);
        };
        let process = &self.fleet.processes[front];
        let of = &process.settings.classes[arrival.class];
        let ttl = (over - history.now()).max(1.0);
        let id = format!("c{number}-{no}");
        let key = (of.retry_safety == RetrySafety::IdempotencyKey).then(|| format!("key-{number}"));
        let made = Rc::new(MadeTry::new(
            history.clone(),
            ClientAttempt {
                id: id.clone(),
                class: arrival.class,
                tenant: arrival.tenant,
                key: key.clone(),
                process: front,
                written_at: None,
                ttl,
                ended_at: 0.0,
                ended: ClientResult::Left,
                come_back: None,
            },
        ));
        let (clients, noted) = (self.clone(), made.clone());
        let (class, safe) = (of.name.clone(), of.retry_safety == RetrySafety::Idempotent);
        let target = target(arrival.class, arrival.tenant, arrival.work);
        let tenant = self.fleet.figures.tenants.get(arrival.tenant).map(|t| t.name.clone());
        let mut asked = Box::pin(async move {
            let call = Call {
                id: &id,
                class: &class,
                tenant: tenant.as_deref(),
                timeout_ms: ttl as u64,
                key: key.as_deref(),
                safe,
                target: &target,
                retry: no > 0,
            };
            let door = clients.fleet.link(LinkEnds::Door { process: front }).clone();
            let kept = clients.fronts[front].idle.borrow_mut().pop();
            ask(kept, door.address(), &call, &noted, |own| door.never_took(own)).await
        });
        let keep = move |clients: &OpenLoopClients, wire: Option<Wire>| {
            if let Some(wire) = wire.filter(|_| clients.fronts[front].listed.get()) {
                clients.fronts[front].idle.borrow_mut().push(wire);
            }
        };
        tokio::select! {
            (ended, wait, wire) = &mut asked => {
                made.ended(ended.clone(), wait);
                keep(self, wire);
                (ended, wait)
            }
            () = sleep_until(history.instant(over)) => {
                let clients = self.clone();
                spawn_local(async move {
                    match timeout(WATCH, &mut asked).await {
                        Ok((ended, wait, wire)) => {
                            made.ended(ended, wait);
                            keep(&clients, wire);
                        }
                        Err(_) => made.ended(ClientResult::Unanswered, None),
                    }
                });
                (ClientResult::Unanswered, None)
            }
        }
    }
}
