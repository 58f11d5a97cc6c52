//! The budget of a server in slow start, which all instances of a fleet share: what arrives there in any window.

mod common;

use common::*;
use hillstall_decision::*;
use std::collections::VecDeque;

const WARM_BACKENDS: u32 = 8;
const COLD_BACKEND: BackendId = WARM_BACKENDS + 1;
/// Requests a second that all clients together send: many, and so few that the budget is a handful.
const FLEET_RATES_PER_S: [f64; 2] = [400.0, 24.0];
/// How long a backend works on a request, in milliseconds.
const WORK_MS: Millis = 40.0;
/// How long the fleet serves before the cold backend starts, in milliseconds.
const LEAD_MS: Millis = 6_000.0;
/// How long after its start an instance hears of it, in milliseconds.
const NEWS_DELAY_MS: Millis = 50.0;

/// A fleet of instances in front of the same backends.
struct Fleet {
    instances: Vec<Proxy>,
    /// The attempts in flight: when each ends, and its instance.
    in_flight: VecDeque<(Millis, usize, Sent)>,
    random: u64,
    /// Requests a second that all clients together send.
    rate_per_s: f64,
}

impl Fleet {
    fn new(size: u32, rate_per_s: f64) -> Fleet {
        let instance = |rank| {
            let settings = Settings { rank, fleet_size: size, must_subscribe: true, ..settings() };
            let mut proxy = Proxy::new(settings, &backends(WARM_BACKENDS));
            proxy.list(ListKind::Full, &backends(WARM_BACKENDS));
            proxy
        };
        Fleet {
            instances: (0..size).map(instance).collect(),
            in_flight: VecDeque::new(),
            random: 7,
            rate_per_s,
        }
    }

    fn next_instance(&mut self) -> usize {
        self.random =
            self.random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.random >> 33) as usize % self.instances.len()
    }

    /// Ends the attempts that are due, and those that follow them.
    fn end_due(&mut self, now: Millis) {
        let due: Vec<_> = self.in_flight.iter().filter(|(at, ..)| *at <= now).copied().collect();
        self.in_flight.retain(|(at, ..)| *at > now);
        for (_, instance, sent) in due {
            let proxy = &mut self.instances[instance];
            proxy.now = now;
            proxy.end(sent, Outcome::Ok);
        }
    }

    /// Sends requests for `duration`; returns when each that the cold backend gets arrives there. Connections to
    /// it come up `lateness` after its start at the earliest.
    fn run(&mut self, from: Millis, duration: Millis, lateness: Millis) -> Vec<Millis> {
        let mut arrivals = Vec::new();
        let interval = 1_000.0 / self.rate_per_s;
        let mut now = from;
        while now < from + duration {
            self.end_due(now);
            let instance = self.next_instance();
            self.instances[instance].now = now;
            if let Some(sent) = self.instances[instance].send_request(0, 0, 4_000.0) {
                let mut arrives_at = now;
                if sent.backend == COLD_BACKEND {
                    arrives_at = now.max(from + lateness);
                    arrivals.push(arrives_at);
                }
                self.in_flight.push_back((arrives_at + WORK_MS, instance, sent));
            }
            now += interval;
        }
        arrivals
    }
}

/// The most that a server in slow start may get in a window that begins `age` after its start.
fn budget(age: Millis, rate_per_s: f64) -> f64 {
    let rules = settings().rules;
    let ramp = (1.0 - rules.warmup_start_fraction) * (age / rules.warmup_ms).min(1.0);
    let capacity_per_s = (rules.warmup_start_fraction + ramp) * rate_per_s / f64::from(WARM_BACKENDS);
    let allowed = rules.overload_multiple * capacity_per_s * rules.overload_window_ms / 1_000.0;
    if allowed < 30.0 {
        allowed + 3.0 * allowed.sqrt() + 3.0
    } else {
        allowed + 2.0 * allowed.sqrt() + 2.0
    }
}

/// The window in which the cold backend gets most of its budget: the fraction, and when the window begins.
fn fullest_window(instances: u32, rate_per_s: f64, lateness: Millis) -> (f64, Millis) {
    let mut fleet = Fleet::new(instances, rate_per_s);
    let start = 1_000.0 + LEAD_MS;
    fleet.run(1_000.0, LEAD_MS, 0.0);
    let cold = BackendInfo { started_at: Some(start), ..backend(COLD_BACKEND) };
    for instance in &mut fleet.instances {
        instance.now = start + NEWS_DELAY_MS;
        instance.list(ListKind::Delta, &[cold]);
    }
    let arrivals = fleet.run(start + NEWS_DELAY_MS, settings().rules.warmup_ms, lateness);
    let window = settings().rules.overload_window_ms;
    let fractions = arrivals.iter().map(|from| {
        let count = arrivals.iter().filter(|at| (*from..*from + window).contains(*at)).count();
        (count as f64 / budget(from - start, rate_per_s), from - start)
    });
    fractions.fold((0.0, 0.0), |fullest, next| if next.0 > fullest.0 { next } else { fullest })
}

fn assert_budget_holds(instances: u32, lateness: Millis) {
    for rate_per_s in FLEET_RATES_PER_S {
        let (fraction, at) = fullest_window(instances, rate_per_s, lateness);
        assert!(
            fraction <= 1.0,
            "{instances} instances, {rate_per_s} requests a second, connections {lateness} ms late: {fraction:.2} of \
             the budget {at:.0} ms after the start"
        );
    }
}

// Guards against a fleet whose instances, few or many, together send a cold server more than it bears.
#[test]
fn the_budget_of_a_cold_server_holds_for_any_number_of_instances() {
    for instances in [1, 2, 5, 30, 300] {
        assert_budget_holds(instances, 0.0);
    }
}

// Guards against attempts that are decided within the budget and arrive together, as connections come up late.
#[test]
fn the_budget_of_a_cold_server_holds_when_its_connections_come_up_late() {
    for lateness in [250.0, 1_000.0, 1_500.0, 3_000.0] {
        for instances in [1, 5, 30, 300] {
            assert_budget_holds(instances, lateness);
        }
    }
}
