//! A small fleet in simulated time: replicas that change, instances that are suspended and restarted, clocks
//! that run at different rates, and messages that arrive late, twice or never.

use crate::common::lease_name;
use crate::events::{Event, EventQueue, LeaseResponse, PlantedFault};
use hillstall_lease::expiry::ExpiryMonitor;
use hillstall_lease::fencing::{FencedCommand, FencingChecks, MinimumToken};
use hillstall_lease::session::LeaseSession;
use hillstall_lease::table::{LeaseCommand, LeaseError, LeaseTable};
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{FencingToken, Instance, Millis};
use rand_xoshiro::rand_core::{RngCore, SeedableRng};
use rand_xoshiro::Xoshiro256PlusPlus;

const INSTANCES: usize = 4;
const TICK_MS: Millis = 50;
const FIRST_FAULT_AT: Millis = 1_000;
/// No faults are injected from here on.
pub const FAULTS_END_AT: Millis = 40_000;
/// The end of the simulation.
pub const END_AT: Millis = 60_000;
/// Each clock's rate differs from true time by at most this, so that two clocks drift apart by less than the
/// lease timing allows.
const MAX_RATE_ERROR_PPM: u64 = 24_000;
const MAX_CLOCK_OFFSET: u64 = 1_000_000_000;
/// How long an instance is suspended: shorter than a lease term, as long, and longer.
const SUSPENSIONS_MS: [Millis; 3] = [300, 2_000, 10_000];

fn timing() -> LeaseTiming {
    LeaseTiming::new(2_000, 50_000, 100).expect("valid timing")
}

struct Clock {
    offset: Millis,
    rate_ppm: u64,
}

impl Clock {
    fn random(random: &mut Xoshiro256PlusPlus) -> Clock {
        let rate_ppm = 1_000_000 - MAX_RATE_ERROR_PPM + random.next_u64() % (2 * MAX_RATE_ERROR_PPM);
        Clock { offset: random.next_u64() % MAX_CLOCK_OFFSET, rate_ppm }
    }

    fn read(&self, now: Millis) -> Millis {
        self.offset + now * self.rate_ppm / 1_000_000
    }
}

struct SimulatedInstance {
    id: Instance,
    clock: Clock,
    session: LeaseSession,
    fencing: FencingChecks<u64>,
    suspended_until: Millis,
    /// The token of a command that the instance decided to send before a suspension, and sends after it.
    pending_token: Option<FencingToken>,
    commands_sent: u64,
}

impl SimulatedInstance {
    fn new(rank: usize, clock: Clock) -> SimulatedInstance {
        let id = Instance { rank: rank as u32, incarnation: 1 };
        let session = new_session(id, clock.read(0));
        let fencing = FencingChecks::default();
        SimulatedInstance {
            id,
            clock,
            session,
            fencing,
            suspended_until: 0,
            pending_token: None,
            commands_sent: 0,
        }
    }

    /// Replaces the process by a new one, which has no state.
    fn restart(&mut self, now: Millis) {
        self.id.incarnation += 1;
        self.pending_token = None;
        self.suspended_until = 0;
        self.commands_sent = 0;
        self.session = new_session(self.id, self.clock.read(now));
    }

    /// Suspends the process. A holder is suspended between the check of its lease and the sending of a
    /// command.
    fn suspend(&mut self, now: Millis, duration: Millis) {
        self.pending_token = self.session.token(self.clock.read(now));
        self.suspended_until = now + duration;
    }

    fn release_if_holder(&mut self, now: Millis) {
        let local = self.clock.read(now);
        if self.session.token(local).is_some() {
            self.session.release(local);
        }
    }

    fn next_command(&mut self, token: FencingToken) -> FencedCommand<u64> {
        self.commands_sent += 1;
        FencedCommand {
            lease: lease_name(),
            token,
            sequence: self.commands_sent,
            valid_for: 500,
            value: token.0,
            fallback: 0,
        }
    }
}

fn new_session(instance: Instance, local: Millis) -> LeaseSession {
    LeaseSession::new(lease_name(), instance, instance.rank as u8 % 2, timing(), local)
}

/// The simulated fleet and the observations of a run.
pub struct Simulation {
    fault: PlantedFault,
    random: Xoshiro256PlusPlus,
    now: Millis,
    queue: EventQueue,
    table: LeaseTable,
    expiry: ExpiryMonitor,
    leader_clock: Clock,
    leader_down_until: Millis,
    instances: Vec<SimulatedInstance>,
    /// The highest token of a command that each instance has executed.
    pub highest_accepted: Vec<FencingToken>,
    /// Descriptions of the invariants that were violated.
    pub violations: Vec<String>,
    /// The number of grants, which is the highest token that was granted.
    pub grants: u64,
    /// When an instance last believed that it held the lease.
    pub last_held_at: Millis,
    pub accepted_commands: u64,
}

impl Simulation {
    pub fn new(seed: u64, fault: PlantedFault) -> Simulation {
        let mut random = Xoshiro256PlusPlus::seed_from_u64(seed);
        let leader_clock = Clock::random(&mut random);
        let instances =
            (0..INSTANCES).map(|rank| SimulatedInstance::new(rank, Clock::random(&mut random))).collect();
        let mut simulation = Simulation {
            fault,
            random,
            now: 0,
            queue: EventQueue::default(),
            table: LeaseTable::default(),
            expiry: ExpiryMonitor::new(timing()),
            leader_clock,
            leader_down_until: 0,
            instances,
            highest_accepted: vec![FencingToken(0); INSTANCES],
            violations: Vec::new(),
            grants: 0,
            last_held_at: 0,
            accepted_commands: 0,
        };
        (0..INSTANCES).for_each(|index| simulation.start(index));
        simulation.queue.schedule(0, Event::PollExpiry);
        simulation.queue.schedule(FIRST_FAULT_AT, Event::InjectFault);
        simulation
    }

    /// Runs to the end, or to the first violated invariant.
    pub fn run(mut self) -> Simulation {
        while let Some((at, event)) = self.queue.pop() {
            if at > END_AT || !self.violations.is_empty() {
                break;
            }
            self.now = at;
            self.handle(event);
            self.check_invariants();
        }
        self
    }

    /// Whether the lease has a holder or a candidate.
    pub fn has_holder_or_candidates(&self) -> bool {
        self.table.leases().any(|(_, grant, candidates)| grant.is_some() || !candidates.is_empty())
    }

    pub fn scheduled_events(&self) -> u64 {
        self.queue.scheduled()
    }

    fn random_below(&mut self, limit: u64) -> u64 {
        self.random.next_u64() % limit
    }

    /// Sends a message. As long as faults are injected, it may arrive late, twice or never.
    fn send(&mut self, message: impl Fn() -> Event) {
        let faulty = self.now < FAULTS_END_AT;
        let fate = if faulty { self.random_below(100) } else { 50 };
        let deliveries = match fate {
            0..=4 => 0,
            5..=9 => 2,
            _ => 1,
        };
        for _ in 0..deliveries {
            let is_late = faulty && self.random_below(20) == 0;
            let delay = if is_late { self.random_below(30_000) } else { 1 + self.random_below(20) };
            self.queue.schedule(self.now + delay, message());
        }
    }

    fn start(&mut self, index: usize) {
        let instance = &mut self.instances[index];
        instance.fencing = FencingChecks::default();
        if self.fault == PlantedFault::AcceptAtStart {
            instance.fencing.raise_minimum(&lease_name(), MinimumToken::default());
        }
        let delay = self.random_below(TICK_MS);
        self.queue.schedule(self.now + delay, Event::Tick(index));
    }

    /// The position of a process, if it still runs.
    fn position(&self, instance: Instance) -> Option<usize> {
        self.instances.iter().position(|other| other.id == instance)
    }

    fn is_leader_up(&self) -> bool {
        self.leader_down_until <= self.now
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick(index) => self.on_tick(index),
            Event::PollExpiry => self.on_poll_expiry(),
            Event::InjectFault => self.on_inject_fault(),
            Event::Request { command, instance, sent_at } => self.on_request(&command, instance, sent_at),
            Event::Response(response) => self.on_response(response),
            Event::Command { to, command } => self.on_command(to, command),
            Event::ReadMinimum(instance) => self.on_read_minimum(instance),
            Event::MinimumRead { instance, token } => self.on_minimum_read(instance, token),
            Event::Cancelled => {}
        }
    }

    fn on_poll_expiry(&mut self) {
        if self.is_leader_up() {
            for command in self.expiry.poll(self.leader_clock.read(self.now), &self.table) {
                // Fails if an earlier command of this poll has changed the entry, which is no fault.
                let _ = self.table.apply(&command);
            }
        }
        self.queue.schedule(self.now + TICK_MS, Event::PollExpiry);
    }

    fn on_request(&mut self, command: &LeaseCommand, instance: Instance, sent_at: Millis) {
        if !self.is_leader_up() {
            return;
        }
        let renewal = match command {
            LeaseCommand::Renew { token, .. } => Some(*token),
            _ => None,
        };
        let applied = self.table.apply(command);
        // A holder whose last response was lost receives the current grant, so that it can renew again.
        let unobserved = applied == Err(LeaseError::UnobservedRenewal);
        let renewed = renewal.filter(|_| !unobserved);
        let result = match unobserved {
            true => Ok(self.table.grant(&lease_name())),
            false => applied.map_err(|_| self.table.highest_token(&lease_name())),
        };
        let response = LeaseResponse { instance, sent_at, renewed, result };
        self.send(move || Event::Response(response));
    }

    fn on_response(&mut self, response: LeaseResponse) {
        let Some(index) = self.position(response.instance) else { return };
        let instance = &mut self.instances[index];
        if instance.suspended_until > self.now {
            return self.queue.schedule(instance.suspended_until, Event::Response(response));
        }
        let local = instance.clock.read(self.now);
        let counted_from =
            if self.fault == PlantedFault::CountFromResponse { local } else { response.sent_at };
        match (response.result, response.renewed) {
            (Err(newest), _) => instance.session.on_rejected(newest),
            (Ok(grant), Some(token)) => {
                instance.session.on_renewed(local, counted_from, token);
                instance.session.on_update(local, grant);
            }
            (Ok(grant), None) => instance.session.on_update(local, grant),
        }
    }

    fn on_read_minimum(&mut self, instance: Instance) {
        if self.is_leader_up() {
            let token = self.table.highest_token(&lease_name());
            self.send(move || Event::MinimumRead { instance, token });
        }
    }

    fn on_minimum_read(&mut self, instance: Instance, token: FencingToken) {
        if let Some(index) = self.position(instance) {
            let minimum = MinimumToken { token, sequence: None };
            self.instances[index].fencing.raise_minimum(&lease_name(), minimum);
        }
    }

    fn on_tick(&mut self, index: usize) {
        let suspended_until = self.instances[index].suspended_until;
        if suspended_until > self.now {
            return self.queue.schedule(suspended_until, Event::Tick(index));
        }
        let jitter = self.random_below(1_000) as f64 / 1_000.0;
        let instance = &mut self.instances[index];
        let (id, local) = (instance.id, instance.clock.read(self.now));
        let request = instance.session.due_command(local, jitter);
        // A command decided on before a suspension is sent without another check of the lease.
        let token = instance.pending_token.take().or(instance.session.token(local));
        let needs_minimum = instance.fencing.minimum(&lease_name()).is_none();
        if let Some(command) = request {
            self.send(move || Event::Request { command: command.clone(), instance: id, sent_at: local });
        }
        if needs_minimum {
            self.send(move || Event::ReadMinimum(id));
        }
        if let Some(token) = token {
            self.broadcast_command(index, token);
        }
        self.queue.schedule(self.now + TICK_MS, Event::Tick(index));
    }

    fn broadcast_command(&mut self, from: usize, token: FencingToken) {
        let command = self.instances[from].next_command(token);
        for to in 0..INSTANCES {
            let command = command.clone();
            self.send(move || Event::Command { to, command: command.clone() });
        }
    }

    fn on_command(&mut self, index: usize, command: FencedCommand<u64>) {
        let (now, token) = (self.now, command.token);
        let instance = &mut self.instances[index];
        let accepted = instance.fencing.accept(instance.clock.read(now), command);
        if accepted.is_err() && self.fault != PlantedFault::NoFencingCheck {
            return;
        }
        self.accepted_commands += 1;
        let highest = &mut self.highest_accepted[index];
        if token < *highest {
            self.violations.push(format!("{now}: instance {index} accepted {token:?} after {highest:?}"));
        }
        *highest = token.max(*highest);
    }

    fn on_inject_fault(&mut self) {
        if self.now >= FAULTS_END_AT {
            return;
        }
        let index = self.random_below(INSTANCES as u64) as usize;
        match self.random_below(4) {
            0 => {
                let duration = SUSPENSIONS_MS[self.random_below(SUSPENSIONS_MS.len() as u64) as usize];
                self.instances[index].suspend(self.now, duration);
            }
            1 => {
                self.instances[index].restart(self.now);
                self.queue.cancel_ticks(index);
                self.start(index);
            }
            2 => self.replace_leader(),
            _ => self.instances[index].release_if_holder(self.now),
        }
        let next = self.now + 200 + self.random_below(4_000);
        self.queue.schedule(next, Event::InjectFault);
    }

    /// After a time without a leader, a replica with another clock becomes leader.
    fn replace_leader(&mut self) {
        self.leader_down_until = self.now + self.random_below(3_000);
        self.leader_clock = Clock::random(&mut self.random);
        self.expiry = ExpiryMonitor::new(timing());
    }

    fn check_invariants(&mut self) {
        let now = self.now;
        let tokens =
            self.instances.iter().filter_map(|instance| instance.session.token(instance.clock.read(now)));
        let tokens: Vec<FencingToken> = tokens.collect();
        if tokens.len() > 1 {
            self.violations.push(format!("{now}: {tokens:?} are valid at once"));
        }
        if !tokens.is_empty() {
            self.last_held_at = now;
        }
        let newest = self.table.highest_token(&lease_name()).0;
        if newest < self.grants {
            self.violations.push(format!("{now}: the highest token fell from {} to {newest}", self.grants));
        }
        self.grants = newest;
    }
}
