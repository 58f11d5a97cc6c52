//! What one run of the soak does, drawn from its seed.

use crate::platform_rules::{earliest_kill_ms, CONNECT_AFTER_TERM_MS};
use crate::process_supervisor::ProcessSignal;
use crate::tcp_proxy::Fault;
use hillstall_simulation::random::uniform;
use hillstall_simulation::scenario::{Scenario, ScenarioError};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// When the first SIGTERM is sent, in milliseconds since the first request.
pub const TERM_AT_MS: f64 = 1_500.0;
/// The run goes on this long after the kill, in milliseconds.
const AFTER_KILL_MS: f64 = 500.0;

/// Backends that hang do so from this long before SIGTERM on, in milliseconds.
const HANG_LEAD_MS: f64 = 100.0;
/// The scenario, with marks for what a plan decides.
const TEMPLATE: &str = include_str!("scenario.toml");
/// What is added where backends hang.
const HANG_TEMPLATE: &str = include_str!("hang.toml");

/// A signal and its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedSignal {
    /// Milliseconds after the first SIGTERM; negative before it.
    pub at_ms: f64,
    /// The signal.
    pub signal: ProcessSignal,
}

/// Clients beside those that are judged.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Crowd {
    /// None.
    Nobody,
    /// This many connections that never send anything.
    Idle(usize),
    /// Connections that send a request and leave, this many a second.
    Flood(usize),
}

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Habit {
    /// One request after another.
    Steady,
    /// Rests after each answer for up to seconds.
    Resting,
    /// Sends each request in pieces.
    Pieces,
    /// Sends several requests at once.
    Pipelined,
    /// Leaves some requests before their answer.
    Leaving,
    /// Sends half a request, and stays.
    Half,
}

const HABITS: [Habit; 6] =
    [Habit::Steady, Habit::Resting, Habit::Pieces, Habit::Pipelined, Habit::Leaving, Habit::Half];

/// One run of the soak.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// Its seed.
    pub seed: u64,
    /// The longest deadline of a class, in milliseconds.
    pub deadline_ms: f64,
    /// The fraction of the first tier's backends that hang from just before SIGTERM on.
    pub hanging: f64,
    /// What happens to the watch on discovery just before SIGTERM.
    pub watch_fault: Option<Fault>,
    /// Whether the instances coordinate; the proxy that ends is a replica then.
    pub coordination: bool,
    /// What is sent to the proxy, by time.
    pub signals: Vec<TimedSignal>,
    /// Who crowds it.
    pub crowd: Crowd,
    /// Its clients.
    pub habits: Vec<Habit>,
}

struct Draw(Xoshiro256PlusPlus);

impl Draw {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * uniform(&mut self.0)
    }

    fn happens(&mut self, chance: f64) -> bool {
        uniform(&mut self.0) < chance
    }

    fn count(&mut self, low: usize, high: usize) -> usize {
        self.between(low as f64, high as f64 + 1.0) as usize
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.count(0, all.len() - 1).min(all.len() - 1)]
    }
}

impl SoakPlan {
    /// The plan of a seed; one seed gives the same plan each time.
    pub fn draw(seed: u64) -> SoakPlan {
        let mut draw = Draw(Xoshiro256PlusPlus::seed_from_u64(seed));
        let is_long = draw.happens(0.3);
        let deadline_ms = if is_long { draw.between(3_200.0, 9_000.0) } else { draw.between(500.0, 2_500.0) };
        let hanging = draw.one_of(&[0.0, 0.0, 0.25, 0.5, 1.0]);
        let watch_fault = draw.one_of(&[None, None, Some(Fault::Silent), Some(Fault::Reset)]);
        let coordination = draw.happens(0.5);
        let signals = draw_signals(&mut draw, earliest_kill_ms(deadline_ms));
        let crowd = match draw.count(0, 3) {
            0 => Crowd::Idle(draw.count(100, 600)),
            1 => Crowd::Flood(draw.count(50, 300)),
            _ => Crowd::Nobody,
        };
        let clients = draw.count(8, 24);
        let habits = (0..clients).map(|_| draw.one_of(&HABITS)).collect();
        SoakPlan { seed, deadline_ms, hanging, watch_fault, coordination, signals, crowd, habits }
    }

    /// When the proxy is killed, in milliseconds since the first request.
    pub fn killed_at_ms(&self) -> f64 {
        TERM_AT_MS + earliest_kill_ms(self.deadline_ms)
    }

    /// The fleet and its load.
    ///
    /// # Errors
    /// None that depends on the seed: the tests parse what they draw.
    pub fn scenario(&self) -> Result<Scenario, ScenarioError> {
        Scenario::parse(&self.scenario_text())
    }

    fn scenario_text(&self) -> String {
        let length = self.killed_at_ms() + AFTER_KILL_MS;
        let class_deadline = |part: f64| format!("{:.0}ms", part * self.deadline_ms);
        let hang = if self.hanging > 0.0 { HANG_TEMPLATE } else { "" };
        [TEMPLATE, hang]
            .concat()
            .replace("<length>", &format!("{length:.0}ms"))
            .replace("<notice>", &format!("{CONNECT_AFTER_TERM_MS}ms"))
            .replace("<hang-at>", &format!("{:.0}ms", TERM_AT_MS - HANG_LEAD_MS))
            .replace("<hanging>", &self.hanging.to_string())
            .replace("<browse-deadline>", &class_deadline(0.8))
            .replace("<purchase-deadline>", &class_deadline(1.0))
            .replace("<refund-deadline>", &class_deadline(0.9))
    }
}

/// SIGTERM, in some runs once more, and SIGHUP before, between and after, in one instant or spread.
fn draw_signals(draw: &mut Draw, kill_ms: f64) -> Vec<TimedSignal> {
    let mut signals = vec![TimedSignal { at_ms: 0.0, signal: ProcessSignal::Term }];
    let mut add = |at_ms, signal| signals.push(TimedSignal { at_ms, signal });
    if draw.happens(0.5) {
        add(if draw.happens(0.4) { 0.0 } else { draw.between(0.0, kill_ms) }, ProcessSignal::Term);
    }
    for _ in 0..draw.count(0, 3) {
        add(if draw.happens(0.3) { 0.0 } else { draw.between(-400.0, kill_ms) }, ProcessSignal::Reload);
    }
    signals.sort_by(|a, b| a.at_ms.total_cmp(&b.at_ms));
    signals
}
