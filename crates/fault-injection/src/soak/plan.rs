//! The plan of one run of the soak, drawn from its seed.

use crate::platform_rules::{earliest_kill_ms, CONNECT_AFTER_TERM_MS};
use crate::process_supervisor::ProcessSignal;
use crate::tcp_proxy::Fault;
use hillstall_simulation::random::uniform;
use hillstall_simulation::scenario::{Scenario, ScenarioError};
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;

/// The time of the first SIGTERM, in milliseconds since the first request.
pub const TERM_AT_MS: f64 = 1_500.0;
/// The run continues this long after SIGKILL, in milliseconds.
const AFTER_KILL_MS: f64 = 500.0;

/// If backends hang, they start to hang this long before SIGTERM, in milliseconds.
const HANG_LEAD_MS: f64 = 100.0;
/// The scenario, with placeholders in angle brackets for what a plan decides.
const SCENARIO_TEMPLATE: &str = include_str!("scenario.toml");
/// The failure that is added to the scenario if backends hang.
const HANG_TEMPLATE: &str = include_str!("hang.toml");

/// A signal to the proxy under test, with its time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct TimedSignal {
    /// The time in milliseconds after the first SIGTERM; negative before it.
    pub at_ms: f64,
    /// The signal to send.
    pub signal: ProcessSignal,
}

/// Additional load on the proxy under test by clients whose requests are not recorded.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum BackgroundLoad {
    /// No additional load.
    None,
    /// This number of connections that never send anything.
    IdleConnections(usize),
    /// Connections that send a request and close at once, this many per second.
    ShortConnections(usize),
}

/// How a client uses its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientBehavior {
    /// Sends one request after another, with short pauses.
    Steady,
    /// Pauses for up to seconds after each response.
    LongPauses,
    /// Sends each request in pieces, except on a new connection.
    InPieces,
    /// Sends several requests at once, without waiting for responses.
    Pipelined,
    /// Closes the connection before the response of some requests.
    Abandoning,
    /// After its first response, sends half a request and keeps the connection open.
    PartialRequest,
}

const BEHAVIORS: [ClientBehavior; 6] = [
    ClientBehavior::Steady,
    ClientBehavior::LongPauses,
    ClientBehavior::InPieces,
    ClientBehavior::Pipelined,
    ClientBehavior::Abandoning,
    ClientBehavior::PartialRequest,
];

/// What one run of the soak does.
#[derive(Clone, Debug, PartialEq)]
pub struct SoakPlan {
    /// The seed that the plan was drawn from.
    pub seed: u64,
    /// The longest deadline of all classes, in milliseconds.
    pub deadline_ms: f64,
    /// The fraction of the first tier's backends that hang from just before SIGTERM to the end.
    pub hanging_fraction: f64,
    /// The fault of the link to discovery from just before SIGTERM on.
    pub discovery_fault: Option<Fault>,
    /// Whether the instances coordinate; the proxy under test is a voter then.
    pub coordination: bool,
    /// The signals to the proxy under test before SIGKILL, in order of time.
    pub signals: Vec<TimedSignal>,
    /// The additional load on the proxy under test.
    pub background_load: BackgroundLoad,
    /// The behavior of each client whose requests are recorded.
    pub clients: Vec<ClientBehavior>,
}

/// A random generator with the distributions that a plan needs.
struct Draw(Xoshiro256PlusPlus);

impl Draw {
    fn between(&mut self, low: f64, high: f64) -> f64 {
        low + (high - low) * uniform(&mut self.0)
    }

    fn happens(&mut self, probability: f64) -> bool {
        uniform(&mut self.0) < probability
    }

    fn count(&mut self, low: usize, high: usize) -> usize {
        self.between(low as f64, high as f64 + 1.0) as usize
    }

    fn one_of<T: Copy>(&mut self, all: &[T]) -> T {
        all[self.count(0, all.len() - 1).min(all.len() - 1)]
    }
}

impl SoakPlan {
    /// Draws the plan of a seed. The same seed always gives the same plan.
    pub fn draw(seed: u64) -> SoakPlan {
        let mut draw = Draw(Xoshiro256PlusPlus::seed_from_u64(seed));
        let is_long = draw.happens(0.3);
        let deadline_ms = if is_long { draw.between(3_200.0, 9_000.0) } else { draw.between(500.0, 2_500.0) };
        let hanging_fraction = draw.one_of(&[0.0, 0.0, 0.25, 0.5, 1.0]);
        let discovery_fault = draw.one_of(&[None, None, Some(Fault::Silent), Some(Fault::Reset)]);
        let coordination = draw.happens(0.5);
        let signals = draw_signals(&mut draw, earliest_kill_ms(deadline_ms));
        let background_load = match draw.count(0, 3) {
            0 => BackgroundLoad::IdleConnections(draw.count(100, 600)),
            1 => BackgroundLoad::ShortConnections(draw.count(50, 300)),
            _ => BackgroundLoad::None,
        };
        let client_count = draw.count(8, 24);
        let clients = (0..client_count).map(|_| draw.one_of(&BEHAVIORS)).collect();
        SoakPlan {
            seed,
            deadline_ms,
            hanging_fraction,
            discovery_fault,
            coordination,
            signals,
            background_load,
            clients,
        }
    }

    /// The time of SIGKILL, in milliseconds since the first request.
    pub fn killed_at_ms(&self) -> f64 {
        TERM_AT_MS + earliest_kill_ms(self.deadline_ms)
    }

    /// The scenario of the plan: the fleet, its load and its hanging backends.
    ///
    /// # Errors
    /// If the scenario is invalid, which tests exclude for all seeds that they draw.
    pub fn scenario(&self) -> Result<Scenario, ScenarioError> {
        Scenario::parse(&self.scenario_text())
    }

    fn scenario_text(&self) -> String {
        let length = self.killed_at_ms() + AFTER_KILL_MS;
        let class_deadline = |fraction: f64| format!("{:.0}ms", fraction * self.deadline_ms);
        let hang = if self.hanging_fraction > 0.0 { HANG_TEMPLATE } else { "" };
        [SCENARIO_TEMPLATE, hang]
            .concat()
            .replace("<length>", &format!("{length:.0}ms"))
            .replace("<notice>", &format!("{CONNECT_AFTER_TERM_MS}ms"))
            .replace("<hang-at>", &format!("{:.0}ms", TERM_AT_MS - HANG_LEAD_MS))
            .replace("<hanging-fraction>", &self.hanging_fraction.to_string())
            .replace("<browse-deadline>", &class_deadline(0.8))
            .replace("<purchase-deadline>", &class_deadline(1.0))
            .replace("<refund-deadline>", &class_deadline(0.9))
    }
}

/// Draws the signals: SIGTERM, in some runs a second one, and up to three SIGHUP from before SIGTERM until
/// SIGKILL. Some are sent at the same instant as SIGTERM.
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
