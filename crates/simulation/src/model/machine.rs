//! One machine: cores that work first come, first served; slots for requests in progress; a bounded queue;
//! and the ways in which it gets slower: in slow start, saturated, choked, paused, or by a shared dependency.
//!
//! Work is in core milliseconds at speed 1. Between two changes the speed is constant, so the moment at which work
//! ends is exact; in slow start the speed rises in steps of 25 ms.

use std::collections::VecDeque;

/// A time, in milliseconds.
pub type Millis = f64;
/// A request at a machine; the caller assigns the number.
pub type Job = u64;

/// Steps of the speed in slow start, in milliseconds.
const WARM_STEP: Millis = 25.0;
/// Between two checks whether a choked machine has been idle, in milliseconds.
const CHOKE_STEP: Millis = 100.0;
/// Averaging time of a choked machine's utilization, in milliseconds.
const BUSY_OVER: Millis = 1_000.0;
/// Work under which a phase counts as done: far under any real one, and above the error of sums.
const NOTHING: f64 = 1e-9;

/// The slowdown of a machine whose queue was long for too long: it outlasts its cause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choke {
    /// Queued requests per core from which on it counts as saturated.
    pub queued_per_core: f64,
    /// How long it must be saturated.
    pub saturated_for: Millis,
    /// The slowdown factor.
    pub slowdown: f64,
    /// The part of its cores in use under which it is mostly idle.
    pub idle_below: f64,
    /// How long it must be mostly idle to recover.
    pub idle_for: Millis,
    /// After this time it recovers in any case.
    pub max_duration: Millis,
}

/// What a machine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSpec {
    /// Cores.
    pub cores: usize,
    /// Core milliseconds of work that one core does in a millisecond.
    pub speed: f64,
    /// Slots: requests in progress, those waiting for another tier included.
    pub slots: usize,
    /// Queue length; further requests are rejected.
    pub queue_capacity: usize,
    /// Requests per core from which on all run slower by `thrash_to`.
    pub thrash_per_core: f64,
    /// The part of its speed that is left then.
    pub thrash_fraction: f64,
    /// The part of its speed right after a start.
    pub warmup_start_fraction: f64,
    /// Duration of the slow start.
    pub warmup: Millis,
    /// The slowdown that outlasts its cause, where there is one.
    pub choke: Option<Choke>,
}

/// Whether a request was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in a slot or in the queue.
    Accepted,
    /// The queue is full; it never ran.
    QueueFull,
}

struct Running {
    job: Job,
    work_left: f64,
}

/// A model of a machine.
pub struct Machine {
    kind: MachineSpec,
    running: Vec<Running>,
    ready: VecDeque<(Job, f64)>,
    waiting: VecDeque<(Job, f64)>,
    slots_in_use: usize,
    advanced_to: Millis,
    started_at: Millis,
    up: bool,
    hung: bool,
    dependency_slowdown: f64,
    utilization: f64,
    saturated_since: Option<Millis>,
    choked_since: Option<Millis>,
    idle_since: Option<Millis>,
    chokes: u32,
    work_done: f64,
}

impl Machine {
    /// A machine at full speed without work.
    pub fn new(kind: MachineSpec) -> Machine {
        Machine {
            kind,
            running: Vec::with_capacity(kind.cores),
            ready: VecDeque::new(),
            waiting: VecDeque::new(),
            slots_in_use: 0,
            advanced_to: 0.0,
            started_at: f64::MIN,
            up: true,
            hung: false,
            dependency_slowdown: 1.0,
            utilization: 0.0,
            saturated_since: None,
            choked_since: None,
            idle_since: None,
            chokes: 0,
            work_done: 0.0,
        }
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether its process runs and does not hang.
    pub fn is_responsive(&self) -> bool {
        self.up && !self.hung
    }

    /// Whether it is choked.
    pub fn is_choked(&self) -> bool {
        self.choked_since.is_some()
    }

    /// How often it choked.
    pub fn chokes(&self) -> u32 {
        self.chokes
    }

    /// Core milliseconds of work done, at speed 1.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// Requests in slots and in the queue.
    pub fn requests(&self) -> usize {
        self.slots_in_use + self.waiting.len()
    }

    /// Its capacity now, in core milliseconds per millisecond.
    pub fn capacity(&self, now: Millis) -> f64 {
        self.kind.cores as f64 * self.speed(now)
    }

    fn warmup_fraction(&self, now: Millis) -> f64 {
        let passed = now - self.started_at;
        if passed >= self.kind.warmup {
            return 1.0;
        }
        self.kind.warmup_start_fraction
            + (1.0 - self.kind.warmup_start_fraction) * (passed / self.kind.warmup).max(0.0)
    }

    fn speed(&self, now: Millis) -> f64 {
        if !self.up || self.hung {
            return 0.0;
        }
        let mut speed = self.kind.speed * self.warmup_fraction(now) / self.dependency_slowdown;
        if self.requests() as f64 > self.kind.thrash_per_core * self.kind.cores as f64 {
            speed *= self.kind.thrash_fraction;
        }
        if let (Some(choke), true) = (self.kind.choke, self.is_choked()) {
            speed /= choke.slowdown;
        }
        speed
    }

    /// Accepts a request whose first phase has an amount of work, or rejects it.
    pub fn offer(&mut self, now: Millis, job: Job, work: f64, done: &mut Vec<Job>) -> Admission {
        self.advance(now, done);
        if self.slots_in_use >= self.kind.slots && self.waiting.len() >= self.kind.queue_capacity {
            return Admission::QueueFull;
        }
        if self.slots_in_use < self.kind.slots {
            self.slots_in_use += 1;
            self.ready.push_back((job, work));
        } else {
            self.waiting.push_back((job, work));
        }
        self.assign_free_slots_and_cores(now);
        Admission::Accepted
    }

    /// Gives more work to a request that kept its slot while it waited for another tier.
    pub fn resume(&mut self, now: Millis, job: Job, work: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.ready.push_back((job, work));
        self.assign_free_slots_and_cores(now);
    }

    /// Ends a request: its slot is free for the next in the queue.
    pub fn release(&mut self, now: Millis, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.slots_in_use = self.slots_in_use.saturating_sub(1);
        self.assign_free_slots_and_cores(now);
    }

    /// Drops a request that waits for a slot or a core; `false` if it runs, and goes on.
    pub fn cancel(&mut self, now: Millis, job: Job, done: &mut Vec<Job>) -> bool {
        self.advance(now, done);
        if let Some(place) = self.waiting.iter().position(|(j, _)| *j == job) {
            self.waiting.remove(place);
            self.assign_free_slots_and_cores(now);
            return true;
        }
        if let Some(place) = self.ready.iter().position(|(j, _)| *j == job) {
            self.ready.remove(place);
            self.slots_in_use = self.slots_in_use.saturating_sub(1);
            self.assign_free_slots_and_cores(now);
            return true;
        }
        false
    }

    /// Kills the process: all its requests are lost.
    pub fn kill(&mut self, now: Millis, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.up = false;
        self.running.clear();
        self.ready.clear();
        self.waiting.clear();
        self.slots_in_use = 0;
        (self.saturated_since, self.choked_since, self.idle_since) = (None, None, None);
    }

    /// Starts the process, in slow start.
    pub fn start(&mut self, now: Millis) {
        self.advanced_to = now;
        self.started_at = now;
        self.up = true;
        self.hung = false;
    }

    /// Hangs, or continues from where it was.
    pub fn set_hung(&mut self, now: Millis, hung: bool, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.hung = hung;
    }

    /// Slows down by a factor, as a dependency does; 1 ends it.
    pub fn set_dependency_slowdown(&mut self, now: Millis, times: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.dependency_slowdown = times;
    }

    /// Works up to `now`, and appends the requests whose phase ended, in the order of their ends.
    pub fn advance(&mut self, now: Millis, done: &mut Vec<Job>) {
        while self.advanced_to < now {
            let step = self.step_end().min(now);
            self.work_until(step, done);
        }
        self.assign_free_slots_and_cores(now);
    }

    /// When its state changes next without input: work ends, or its speed changes.
    pub fn next_change(&self) -> Option<Millis> {
        let end = self.step_end();
        (end < f64::MAX).then_some(end)
    }

    fn step_end(&self) -> Millis {
        if !self.up || self.hung {
            return f64::MAX;
        }
        let speed = self.speed(self.advanced_to);
        let least = self.running.iter().map(|r| r.work_left).fold(f64::MAX, f64::min);
        let mut end = if least < f64::MAX { self.advanced_to + least / speed } else { f64::MAX };
        if self.advanced_to - self.started_at < self.kind.warmup && !self.running.is_empty() {
            end = end.min(self.advanced_to + WARM_STEP);
        }
        if let Some(choke) = self.kind.choke {
            end = match (self.is_choked(), self.saturated_since) {
                (true, _) => end.min(self.advanced_to + CHOKE_STEP),
                (false, Some(since)) => {
                    end.min((since + choke.saturated_for).max(self.advanced_to + NOTHING))
                }
                (false, None) => end,
            };
        }
        end
    }

    fn work_until(&mut self, until: Millis, done: &mut Vec<Job>) {
        let speed = self.speed(self.advanced_to);
        let passed = until - self.advanced_to;
        let share = self.running.len() as f64 / self.kind.cores as f64;
        self.utilization = share + (self.utilization - share) * (-passed / BUSY_OVER).exp();
        self.work_done += speed * passed * self.running.len() as f64;
        for running in &mut self.running {
            running.work_left -= speed * passed;
        }
        self.advanced_to = until;
        // In the order of their start, so that equal ends have an order of their own.
        self.running.retain(|r| {
            let over = r.work_left <= NOTHING;
            if over {
                done.push(r.job);
            }
            !over
        });
        self.assign_free_slots_and_cores(until);
        self.update_choke(until);
    }

    /// Free slots and cores go to those that wait longest.
    fn assign_free_slots_and_cores(&mut self, now: Millis) {
        if !self.up {
            return;
        }
        self.advanced_to = self.advanced_to.max(now);
        while self.slots_in_use < self.kind.slots {
            let Some(next) = self.waiting.pop_front() else { break };
            self.slots_in_use += 1;
            self.ready.push_back(next);
        }
        while self.running.len() < self.kind.cores {
            let Some((job, left)) = self.ready.pop_front() else { break };
            self.running.push(Running { job, work_left: left.max(0.0) });
        }
        if let Some(choke) = self.kind.choke {
            let waiting = (self.ready.len() + self.waiting.len()) as f64;
            let crowded = waiting >= choke.queued_per_core * self.kind.cores as f64;
            self.saturated_since = crowded.then(|| self.saturated_since.unwrap_or(now));
        }
    }

    fn update_choke(&mut self, now: Millis) {
        let Some(choke) = self.kind.choke else { return };
        match self.choked_since {
            None if self.saturated_since.is_some_and(|since| now - since >= choke.saturated_for) => {
                self.choked_since = Some(now);
                self.idle_since = None;
                self.chokes += 1;
            }
            None => {}
            Some(since) => {
                let quiet = self.utilization < choke.idle_below;
                self.idle_since = quiet.then(|| self.idle_since.unwrap_or(now));
                let rested = self.idle_since.is_some_and(|quiet| now - quiet >= choke.idle_for);
                if rested || now - since >= choke.max_duration {
                    self.choked_since = None;
                    self.saturated_since = None;
                }
            }
        }
    }
}
