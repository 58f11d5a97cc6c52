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
    pub at: f64,
    /// How long it must be saturated.
    pub over: Millis,
    /// The slowdown factor.
    pub slower: f64,
    /// The part of its cores in use under which it is mostly idle.
    pub below: f64,
    /// How long it must be mostly idle to recover.
    pub rest: Millis,
    /// After this time it recovers in any case.
    pub most: Millis,
}

/// What a machine can do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Kind {
    /// Cores.
    pub cores: usize,
    /// Core milliseconds of work that one core does in a millisecond.
    pub speed: f64,
    /// Slots: requests in progress, those waiting for another tier included.
    pub slots: usize,
    /// Queue length; further requests are rejected.
    pub room: usize,
    /// Requests per core from which on all run slower by `thrash_to`.
    pub thrash_at: f64,
    /// The part of its speed that is left then.
    pub thrash_to: f64,
    /// The part of its speed right after a start.
    pub cold_from: f64,
    /// Duration of the slow start.
    pub cold: Millis,
    /// The slowdown that outlasts its cause, where there is one.
    pub choke: Option<Choke>,
}

/// Whether a request was accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in a slot or in the queue.
    Yes,
    /// The queue is full; it never ran.
    Full,
}

struct Running {
    job: Job,
    left: f64,
}

/// A model of a machine.
pub struct Machine {
    kind: Kind,
    running: Vec<Running>,
    ready: VecDeque<(Job, f64)>,
    waiting: VecDeque<(Job, f64)>,
    held: usize,
    at: Millis,
    started: Millis,
    up: bool,
    hung: bool,
    slow: f64,
    busy: f64,
    crowded_since: Option<Millis>,
    choked_since: Option<Millis>,
    quiet_since: Option<Millis>,
    chokes: u32,
    worked: f64,
}

impl Machine {
    /// A machine at full speed without work.
    pub fn new(kind: Kind) -> Machine {
        Machine {
            kind,
            running: Vec::with_capacity(kind.cores),
            ready: VecDeque::new(),
            waiting: VecDeque::new(),
            held: 0,
            at: 0.0,
            started: f64::MIN,
            up: true,
            hung: false,
            slow: 1.0,
            busy: 0.0,
            crowded_since: None,
            choked_since: None,
            quiet_since: None,
            chokes: 0,
            worked: 0.0,
        }
    }

    /// Whether its process runs.
    pub fn is_up(&self) -> bool {
        self.up
    }

    /// Whether its process runs and does not hang.
    pub fn works(&self) -> bool {
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
    pub fn worked(&self) -> f64 {
        self.worked
    }

    /// Requests in slots and in the queue.
    pub fn holds(&self) -> usize {
        self.held + self.waiting.len()
    }

    /// Its capacity now, in core milliseconds per millisecond.
    pub fn capacity(&self, now: Millis) -> f64 {
        self.kind.cores as f64 * self.speed(now)
    }

    fn warmth(&self, now: Millis) -> f64 {
        let passed = now - self.started;
        if passed >= self.kind.cold {
            return 1.0;
        }
        self.kind.cold_from + (1.0 - self.kind.cold_from) * (passed / self.kind.cold).max(0.0)
    }

    fn speed(&self, now: Millis) -> f64 {
        if !self.up || self.hung {
            return 0.0;
        }
        let mut speed = self.kind.speed * self.warmth(now) / self.slow;
        if self.holds() as f64 > self.kind.thrash_at * self.kind.cores as f64 {
            speed *= self.kind.thrash_to;
        }
        if let (Some(choke), true) = (self.kind.choke, self.is_choked()) {
            speed /= choke.slower;
        }
        speed
    }

    /// Accepts a request whose first phase has an amount of work, or rejects it.
    pub fn offer(&mut self, now: Millis, job: Job, work: f64, done: &mut Vec<Job>) -> Admission {
        self.advance(now, done);
        if self.held >= self.kind.slots && self.waiting.len() >= self.kind.room {
            return Admission::Full;
        }
        if self.held < self.kind.slots {
            self.held += 1;
            self.ready.push_back((job, work));
        } else {
            self.waiting.push_back((job, work));
        }
        self.fill(now);
        Admission::Yes
    }

    /// Gives more work to a request that kept its slot while it waited for another tier.
    pub fn resume(&mut self, now: Millis, job: Job, work: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.ready.push_back((job, work));
        self.fill(now);
    }

    /// Ends a request: its slot is free for the next in the queue.
    pub fn release(&mut self, now: Millis, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.held = self.held.saturating_sub(1);
        self.fill(now);
    }

    /// Drops a request that waits for a slot or a core; `false` if it runs, and goes on.
    pub fn cancel(&mut self, now: Millis, job: Job, done: &mut Vec<Job>) -> bool {
        self.advance(now, done);
        if let Some(place) = self.waiting.iter().position(|(j, _)| *j == job) {
            self.waiting.remove(place);
            self.fill(now);
            return true;
        }
        if let Some(place) = self.ready.iter().position(|(j, _)| *j == job) {
            self.ready.remove(place);
            self.held = self.held.saturating_sub(1);
            self.fill(now);
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
        self.held = 0;
        (self.crowded_since, self.choked_since, self.quiet_since) = (None, None, None);
    }

    /// Starts the process, in slow start.
    pub fn start(&mut self, now: Millis) {
        self.at = now;
        self.started = now;
        self.up = true;
        self.hung = false;
    }

    /// Hangs, or continues from where it was.
    pub fn hang(&mut self, now: Millis, hung: bool, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.hung = hung;
    }

    /// Slows down by a factor, as a dependency does; 1 ends it.
    pub fn slow(&mut self, now: Millis, times: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.slow = times;
    }

    /// Works up to `now`, and appends the requests whose phase ended, in the order of their ends.
    pub fn advance(&mut self, now: Millis, done: &mut Vec<Job>) {
        while self.at < now {
            let step = self.step_end().min(now);
            self.work_until(step, done);
        }
        self.fill(now);
    }

    /// When its state changes next without input: work ends, or its speed changes.
    pub fn due(&self) -> Option<Millis> {
        let end = self.step_end();
        (end < f64::MAX).then_some(end)
    }

    fn step_end(&self) -> Millis {
        if !self.up || self.hung {
            return f64::MAX;
        }
        let speed = self.speed(self.at);
        let least = self.running.iter().map(|r| r.left).fold(f64::MAX, f64::min);
        let mut end = if least < f64::MAX { self.at + least / speed } else { f64::MAX };
        if self.at - self.started < self.kind.cold && !self.running.is_empty() {
            end = end.min(self.at + WARM_STEP);
        }
        if let Some(choke) = self.kind.choke {
            end = match (self.is_choked(), self.crowded_since) {
                (true, _) => end.min(self.at + CHOKE_STEP),
                (false, Some(since)) => end.min((since + choke.over).max(self.at + NOTHING)),
                (false, None) => end,
            };
        }
        end
    }

    fn work_until(&mut self, until: Millis, done: &mut Vec<Job>) {
        let speed = self.speed(self.at);
        let passed = until - self.at;
        let share = self.running.len() as f64 / self.kind.cores as f64;
        self.busy = share + (self.busy - share) * (-passed / BUSY_OVER).exp();
        self.worked += speed * passed * self.running.len() as f64;
        for running in &mut self.running {
            running.left -= speed * passed;
        }
        self.at = until;
        // In the order of their start, so that equal ends have an order of their own.
        self.running.retain(|r| {
            let over = r.left <= NOTHING;
            if over {
                done.push(r.job);
            }
            !over
        });
        self.fill(until);
        self.judge(until);
    }

    /// Free slots and cores go to those that wait longest.
    fn fill(&mut self, now: Millis) {
        if !self.up {
            return;
        }
        self.at = self.at.max(now);
        while self.held < self.kind.slots {
            let Some(next) = self.waiting.pop_front() else { break };
            self.held += 1;
            self.ready.push_back(next);
        }
        while self.running.len() < self.kind.cores {
            let Some((job, left)) = self.ready.pop_front() else { break };
            self.running.push(Running { job, left: left.max(0.0) });
        }
        if let Some(choke) = self.kind.choke {
            let waiting = (self.ready.len() + self.waiting.len()) as f64;
            let crowded = waiting >= choke.at * self.kind.cores as f64;
            self.crowded_since = crowded.then(|| self.crowded_since.unwrap_or(now));
        }
    }

    fn judge(&mut self, now: Millis) {
        let Some(choke) = self.kind.choke else { return };
        match self.choked_since {
            None if self.crowded_since.is_some_and(|since| now - since >= choke.over) => {
                self.choked_since = Some(now);
                self.quiet_since = None;
                self.chokes += 1;
            }
            None => {}
            Some(since) => {
                let quiet = self.busy < choke.below;
                self.quiet_since = quiet.then(|| self.quiet_since.unwrap_or(now));
                let rested = self.quiet_since.is_some_and(|quiet| now - quiet >= choke.rest);
                if rested || now - since >= choke.most {
                    self.choked_since = None;
                    self.crowded_since = None;
                }
            }
        }
    }
}
