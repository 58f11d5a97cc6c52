//! One server: cores that work first come, first served; slots for calls it has taken up; a bounded waiting room;
//! and the ways in which it gets slower: cold after a start, crowded, choked, paused, or by something it shares.
//!
//! Work is in core milliseconds at speed 1. Between two changes the speed is constant, so the moment at which work
//! ends is exact; a cold machine's speed rises in steps of 25 ms.

use std::collections::VecDeque;

/// A time, in milliseconds.
pub type Millis = f64;
/// A piece of work at a machine; the caller gives the number.
pub type Job = u64;

/// Steps in which a cold machine gets faster.
const WARM_STEP: Millis = 25.0;
/// How often a choked machine looks whether it has been idle.
const CHOKE_STEP: Millis = 100.0;
/// Time over which a choked machine averages how busy it is.
const BUSY_OVER: Millis = 1_000.0;
/// Work under which a phase counts as done: far under any real one, and above the error of sums.
const NOTHING: f64 = 1e-9;

/// The slowdown of a machine that was crowded for too long.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Choke {
    /// Waiting calls for each core from which on it is crowded.
    pub at: f64,
    /// How long it must be crowded.
    pub over: Millis,
    /// How many times slower it turns.
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
    /// Calls it takes up at once, those that wait for another tier among them.
    pub slots: usize,
    /// Calls that may wait for a slot; the next is turned away.
    pub room: usize,
    /// Calls held for each core from which on all run slower by `thrash_to`.
    pub thrash_at: f64,
    /// The part of its speed that is left then.
    pub thrash_to: f64,
    /// The part of its speed that a fresh machine has.
    pub cold_from: f64,
    /// How long it takes to be warm.
    pub cold: Millis,
    /// The slowdown that outlasts its cause, where there is one.
    pub choke: Option<Choke>,
}

/// Whether a call was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admission {
    /// It is in a slot or in the waiting room.
    Yes,
    /// The waiting room is full; it never ran.
    Full,
}

struct Running {
    job: Job,
    left: f64,
}

/// A server in the model.
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
    /// A warm machine without work.
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

    /// Whether it is slower since it was crowded.
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

    /// Calls it holds: in slots and waiting for one.
    pub fn holds(&self) -> usize {
        self.held + self.waiting.len()
    }

    /// Core milliseconds that its cores do in a millisecond, as it is now.
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

    /// Takes a call whose first phase makes so much work, or turns it away.
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

    /// A call that kept its slot while it was away has more work.
    pub fn resume(&mut self, now: Millis, job: Job, work: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.ready.push_back((job, work));
        self.fill(now);
    }

    /// A call is over: its slot is free for the next in the waiting room.
    pub fn release(&mut self, now: Millis, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.held = self.held.saturating_sub(1);
        self.fill(now);
    }

    /// Drops a call that waits for a slot or a core; one that runs goes on, and `false` says so.
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

    /// The process dies: all it held is lost.
    pub fn kill(&mut self, now: Millis, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.up = false;
        self.running.clear();
        self.ready.clear();
        self.waiting.clear();
        self.held = 0;
        (self.crowded_since, self.choked_since, self.quiet_since) = (None, None, None);
    }

    /// The process starts, cold.
    pub fn start(&mut self, now: Millis) {
        self.at = now;
        self.started = now;
        self.up = true;
        self.hung = false;
    }

    /// Falls silent, or goes on from where it was.
    pub fn hang(&mut self, now: Millis, hung: bool, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.hung = hung;
    }

    /// Something it depends on makes it so many times slower; 1 for no more.
    pub fn slow(&mut self, now: Millis, times: f64, done: &mut Vec<Job>) {
        self.advance(now, done);
        self.slow = times;
    }

    /// Works up to `now`, and appends the calls whose phase ended, in the order of their ends.
    pub fn advance(&mut self, now: Millis, done: &mut Vec<Job>) {
        while self.at < now {
            let step = self.step_end().min(now);
            self.work_until(step, done);
        }
        self.fill(now);
    }

    /// When something changes by itself: work ends, or its speed changes.
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
