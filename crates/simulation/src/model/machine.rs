//! Model of one machine: cores that work first come, first served, slots for requests in progress, and a
//! bounded queue. It gets slower in slow start, when it thrashes, when it is choked, when it hangs, and with
//! a slow shared dependency.
//!
//! Work is in core milliseconds at speed 1. Between two changes of state the speed is constant, so the moment
//! at which work ends is exact; in slow start the speed rises in steps of 25 ms.

use std::collections::VecDeque;

/// A time, in milliseconds.
pub type Millis = f64;
/// A request at a machine, by a number that the caller assigns.
pub type Job = u64;

/// Interval at which the speed is raised in slow start.
const WARMUP_STEP_MS: Millis = 25.0;
/// Interval of the checks whether a choked machine has been idle for long enough.
const CHOKE_CHECK_INTERVAL_MS: Millis = 100.0;
/// Time constant of the moving average of a machine's utilization.
const UTILIZATION_WINDOW_MS: Millis = 1_000.0;
/// Remaining work, in core milliseconds, below which a phase counts as done: far below any real phase, and
/// above the rounding error of sums.
const WORK_EPSILON: f64 = 1e-9;

/// A slowdown that outlasts its cause: a machine whose queue was long for some time becomes choked, and stays
/// slow until it has been mostly idle. This is what makes an overload metastable.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choke {
    /// Requests per core that wait for a slot or a core, from which on the machine counts as saturated.
    pub queued_per_core: f64,
    /// How long the machine must be saturated without a break to become choked.
    pub saturated_for: Millis,
    /// Factor by which a choked machine is slower.
    pub slowdown: f64,
    /// Utilization of its cores, from 0 to 1, below which a choked machine counts as mostly idle.
    pub idle_below: f64,
    /// How long a choked machine must be mostly idle to recover.
    pub idle_for: Millis,
    /// Time after which a choked machine recovers in any case.
    pub max_duration: Millis,
}

/// The capacity and limits of a machine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MachineSpec {
    /// Number of cores; at least 1.
    pub cores: usize,
    /// Core milliseconds of work that one core does in a millisecond, when warm.
    pub speed: f64,
    /// Maximum number of requests in progress, including those that wait for a response of the next tier.
    pub slots: usize,
    /// Maximum number of requests that wait for a slot; further ones are rejected.
    pub queue_capacity: usize,
    /// Requests per core, queued ones included, above which the machine thrashes: all its work runs slower.
    pub thrash_per_core: f64,
    /// Fraction of the speed that is left while the machine thrashes.
    pub thrash_fraction: f64,
    /// Fraction of the speed right after a start.
    pub warmup_start_fraction: f64,
    /// Duration of the slow start; the speed rises linearly.
    pub warmup: Millis,
    /// The slowdown after saturation; `None` if the machine recovers at once.
    pub choke: Option<Choke>,
}

/// Whether a machine has accepted a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// The request is in a slot or in the queue.
    Accepted,
    /// The slots and the queue are full; the request never ran.
    QueueFull,
}

struct Running {
    job: Job,
    work_left: f64,
}

/// A machine whose state is advanced by its callers.
pub struct Machine {
    spec: MachineSpec,
    /// Jobs on a core.
    running: Vec<Running>,
    /// Jobs with a slot that wait for a core, and their work.
    ready: VecDeque<(Job, f64)>,
    /// Jobs that wait for a slot, and their work.
    waiting: VecDeque<(Job, f64)>,
    slots_in_use: usize,
    /// The time up to which work has been done.
    advanced_to: Millis,
    started_at: Millis,
    up: bool,
    hung: bool,
    /// Factor by which a shared dependency slows the machine down; 1 without a failure.
    dependency_slowdown: f64,
    /// Moving average of the fraction of cores in use.
    utilization: f64,
    saturated_since: Option<Millis>,
    choked_since: Option<Millis>,
    idle_since: Option<Millis>,
    chokes: u32,
    work_done: f64,
}

impl Machine {
    /// Creates a running, warm machine without work.
    pub fn new(spec: MachineSpec) -> Machine {
        Machine {
            spec,
            running: Vec::with_capacity(spec.cores),
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

    /// Whether the machine's process runs.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether the machine's process runs and does not hang.
    pub fn is_responsive(&self) -> bool {
        self.up && !self.hung
    }

    /// Whether the machine is slow because it was saturated; see [`Choke`].
    pub fn is_choked(&self) -> bool {
        self.choked_since.is_some()
    }

    /// How often the machine became choked.
    pub fn chokes(&self) -> u32 {
        self.chokes
    }

    /// Work done so far, in core milliseconds.
    pub fn work_done(&self) -> f64 {
        self.work_done
    }

    /// Number of requests in slots and in the queue.
    pub fn requests(&self) -> usize {
        self.slots_in_use + self.waiting.len()
    }

    /// The machine's capacity at a time, in core milliseconds per millisecond; 0 while it is down or hangs.
    pub fn capacity(&self, now: Millis) -> f64 {
        self.spec.cores as f64 * self.speed(now)
    }

    fn warmup_fraction(&self, now: Millis) -> f64 {
        let passed = now - self.started_at;
        if passed >= self.spec.warmup {
            return 1.0;
        }
        self.spec.warmup_start_fraction
            + (1.0 - self.spec.warmup_start_fraction) * (passed / self.spec.warmup).max(0.0)
    }

    fn speed(&self, now: Millis) -> f64 {
        if !self.up || self.hung {
            return 0.0;
        }
        let mut speed = self.spec.speed * self.warmup_fraction(now) / self.dependency_slowdown;
        if self.requests() as f64 > self.spec.thrash_per_core * self.spec.cores as f64 {
            speed *= self.spec.thrash_fraction;
        }
        if let (Some(choke), true) = (self.spec.choke, self.is_choked()) {
            speed /= choke.slowdown;
        }
        speed
    }

    /// Offers a request whose first phase has `work` core milliseconds. Like all methods with `done`, this
    /// first works up to `now`, and appends the jobs whose phase has ended.
    pub fn offer(&mut self, now: Millis, job: Job, work: f64, done: &mut Vec<Job>) -> Admission {
        self.advance(now, done);
        if self.slots_in_use >= self.spec.slots && self.waiting.len() >= self.spec.queue_capacity {
            return Admission::QueueFull;
        }
        if self.slots_in_use < self.spec.slots {
            self.slots_in_use += 1;
            self.ready.push_back((job, work));
        } else {
            self.waiting.push_back((job, work));
        }
        self.assign_free_slots_and_cores(now);
        Admission::Accepted
    }

    /// Starts the next phase of a request that has kept its slot while it waited for the next tier.
    pub fn resume(&mut self, now: Millis, job: Job, work: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.ready.push_back((job, work));
        self.assign_free_slots_and_cores(now);
    }

    /// Ends a request; its slot goes to the next one in the queue.
    pub fn release(&mut self, now: Millis, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.slots_in_use = self.slots_in_use.saturating_sub(1);
        self.assign_free_slots_and_cores(now);
    }

    /// Drops a request that waits for a slot or a core. Returns `false` if the request is running; it then
    /// goes on.
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

    /// Kills the process. All its requests are lost.
    pub fn kill(&mut self, now: Millis, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.up = false;
        self.running.clear();
        self.ready.clear();
        self.waiting.clear();
        self.slots_in_use = 0;
        (self.saturated_since, self.choked_since, self.idle_since) = (None, None, None);
    }

    /// Starts the process; the machine is in slow start.
    pub fn start(&mut self, now: Millis) {
        self.advanced_to = now;
        self.started_at = now;
        self.up = true;
        self.hung = false;
    }

    /// Makes the machine hang, or lets it continue where it stopped.
    pub fn set_hung(&mut self, now: Millis, hung: bool, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.hung = hung;
    }

    /// Slows the machine down by a factor, as a slow shared dependency does; 1 ends the slowdown.
    pub fn set_dependency_slowdown(&mut self, now: Millis, times: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.dependency_slowdown = times;
    }

    /// Works up to `now`, and appends the jobs whose phase has ended to `done`, in the order of their ends.
    pub fn advance(&mut self, now: Millis, done: &mut Vec<Job>) {
        while self.advanced_to < now {
            let step = self.step_end().min(now);
            self.work_until(step, done);
        }
        self.assign_free_slots_and_cores(now);
    }

    /// When the machine's state next changes without a call: work ends, or the speed changes. `None` if it
    /// never does.
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
        if self.advanced_to - self.started_at < self.spec.warmup && !self.running.is_empty() {
            end = end.min(self.advanced_to + WARMUP_STEP_MS);
        }
        if let Some(choke) = self.spec.choke {
            end = match (self.is_choked(), self.saturated_since) {
                (true, _) => end.min(self.advanced_to + CHOKE_CHECK_INTERVAL_MS),
                (false, Some(since)) => {
                    end.min((since + choke.saturated_for).max(self.advanced_to + WORK_EPSILON))
                }
                (false, None) => end,
            };
        }
        end
    }

    fn work_until(&mut self, until: Millis, done: &mut Vec<Job>) {
        let speed = self.speed(self.advanced_to);
        let passed = until - self.advanced_to;
        let share = self.running.len() as f64 / self.spec.cores as f64;
        self.utilization = share + (self.utilization - share) * (-passed / UTILIZATION_WINDOW_MS).exp();
        self.work_done += speed * passed * self.running.len() as f64;
        for running in &mut self.running {
            running.work_left -= speed * passed;
        }
        self.advanced_to = until;
        // `running` is in the order of start, so jobs that end at the same time are reported in that order.
        self.running.retain(|r| {
            let over = r.work_left <= WORK_EPSILON;
            if over {
                done.push(r.job);
            }
            !over
        });
        self.assign_free_slots_and_cores(until);
        self.update_choke(until);
    }

    /// Assigns free slots and cores to the jobs that have waited longest.
    fn assign_free_slots_and_cores(&mut self, now: Millis) {
        if !self.up {
            return;
        }
        self.advanced_to = self.advanced_to.max(now);
        while self.slots_in_use < self.spec.slots {
            let Some(next) = self.waiting.pop_front() else { break };
            self.slots_in_use += 1;
            self.ready.push_back(next);
        }
        while self.running.len() < self.spec.cores {
            let Some((job, left)) = self.ready.pop_front() else { break };
            self.running.push(Running { job, work_left: left.max(0.0) });
        }
        if let Some(choke) = self.spec.choke {
            let waiting = (self.ready.len() + self.waiting.len()) as f64;
            let saturated = waiting >= choke.queued_per_core * self.spec.cores as f64;
            self.saturated_since = saturated.then(|| self.saturated_since.unwrap_or(now));
        }
    }

    fn update_choke(&mut self, now: Millis) {
        let Some(choke) = self.spec.choke else { return };
        match self.choked_since {
            None if self.saturated_since.is_some_and(|since| now - since >= choke.saturated_for) => {
                self.choked_since = Some(now);
                self.idle_since = None;
                self.chokes += 1;
            }
            None => {}
            Some(since) => {
                let idle = self.utilization < choke.idle_below;
                self.idle_since = idle.then(|| self.idle_since.unwrap_or(now));
                let has_recovered = self.idle_since.is_some_and(|since| now - since >= choke.idle_for);
                if has_recovered || now - since >= choke.max_duration {
                    self.choked_since = None;
                    self.saturated_since = None;
                }
            }
        }
    }
}
