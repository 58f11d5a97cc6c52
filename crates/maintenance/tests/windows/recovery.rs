//! Restoring a site's traffic: the pace of the steps, and when the window ends.

use crate::common::plan;
use hillstall_change_freeze::state::FreezeState;
use hillstall_maintenance::shift::{FleetLoad, ShiftController, ShiftPacing, SiteLoad};
use hillstall_maintenance::traffic::TrafficRamp;
use hillstall_maintenance::windows::{Stage, WindowCommand, Windows};
use hillstall_maintenance::{Millis, FULL_TRAFFIC};

const INSTANCES: usize = 8;
/// The site's usual traffic, in requests per second.
const USUAL_RATE: f64 = 80.0;
/// Much longer than the 2 s that the four steps of [`pacing`] take, so that the instances' ramps lag behind
/// the commands.
const SLOW_RAMP_MS: Millis = 20_000;
const POLL_INTERVAL_MS: Millis = 100;
/// A window that is not done by then fails the test.
const END_MS: Millis = 200_000;

fn pacing() -> ShiftPacing {
    ShiftPacing { max_step: 250, step_interval: 500, ramp_duration: SLOW_RAMP_MS, ..ShiftPacing::default() }
}

/// Simulates a site whose window has ended, and the instances that send requests to the site.
struct ReturningSite {
    windows: Windows,
    freeze: FreezeState,
    controller: ShiftController,
    ramps: Vec<TrafficRamp>,
    now: Millis,
    /// How many instances, counted from the first, commands don't reach.
    cut_off: usize,
    /// Whether instances report.
    has_reports: bool,
    /// The fraction of the usual request rate that clients send now.
    demand: f64,
}

impl ReturningSite {
    fn new() -> ReturningSite {
        let (mut windows, mut freeze) = (Windows::default(), FreezeState::default());
        let commands = [
            WindowCommand::Plan(plan("north")),
            WindowCommand::Admit { window: 1, baseline_rate: (USUAL_RATE * 1e3) as u64 },
            WindowCommand::ReduceTraffic { window: 1, fraction: 0 },
            WindowCommand::MarkEmpty { window: 1 },
            WindowCommand::Begin { window: 1 },
            WindowCommand::End { window: 1 },
        ];
        for command in commands {
            windows.apply(&command, &mut freeze).expect("the command applies");
        }
        let mut without_traffic = TrafficRamp::full(0, SLOW_RAMP_MS);
        without_traffic.set(0, 0);
        let ramps = vec![without_traffic; INSTANCES];
        let controller = ShiftController::default();
        ReturningSite {
            windows,
            freeze,
            controller,
            ramps,
            now: 0,
            cut_off: 0,
            has_reports: true,
            demand: 1.0,
        }
    }

    fn stage(&self) -> Stage {
        self.windows.all()[&1].stage
    }

    fn commanded_fraction(&self) -> u16 {
        self.windows.all()[&1].fraction
    }

    fn reason(&self) -> &str {
        &self.windows.all()[&1].reason
    }

    fn load(&self) -> FleetLoad {
        if !self.has_reports {
            return FleetLoad::default();
        }
        let mut fractions: Vec<f64> = self.ramps.iter().map(|ramp| ramp.fraction(self.now)).collect();
        fractions.sort_by(f64::total_cmp);
        let sent = self.demand * USUAL_RATE * fractions.iter().sum::<f64>() / INSTANCES as f64;
        let (min_fraction, fraction) = (fractions[INSTANCES / 4], fractions[INSTANCES * 3 / 4 - 1]);
        let site =
            SiteLoad { sent, baseline: sent, fraction, min_fraction, success_ratio: 1.0, utilization: None };
        FleetLoad { sites: [("north".into(), site)].into(), reporting_ratio: 1.0, blocker: None }
    }

    /// Polls the lease holder's controller and delivers its command to the instances.
    fn step(&mut self) {
        self.now += POLL_INTERVAL_MS;
        let load = self.load();
        let window = &self.windows.all()[&1];
        let command = self.controller.next_command((self.now, self.now), (1, window), &load, &pacing());
        if let Some(command) = command {
            self.windows.apply(&command, &mut self.freeze).expect("the command applies");
        }
        let commanded_fraction = self.commanded_fraction();
        for ramp in &mut self.ramps[self.cut_off..] {
            ramp.set(self.now, commanded_fraction);
        }
    }

    fn run_until(&mut self, is_reached: impl Fn(&ReturningSite) -> bool) {
        while !is_reached(self) {
            assert!(self.now < END_MS, "{:?} at {} in a thousand", self.stage(), self.commanded_fraction());
            self.step();
        }
    }

    fn run_until_done(&mut self) {
        self.run_until(|site| site.stage() == Stage::Done);
    }
}

// Guards against a window that ends while the instances are still raising the site's traffic.
#[test]
fn a_window_ends_once_the_instances_have_restored_the_site() {
    let mut site = ReturningSite::new();
    site.run_until_done();
    assert!(site.load().sites["north"].sent >= USUAL_RATE * 0.99, "{:?}", site.load());
    assert_eq!(site.reason(), "");
    // Waiting for reports between two steps must not pause the ramps.
    assert!(site.now <= SLOW_RAMP_MS + 3 * pacing().step_interval, "{} ms", site.now);
}

// Guards against steps that get ahead of the fraction that the instances report.
#[test]
fn a_restoring_step_waits_until_the_instances_have_completed_the_step_before_the_last() {
    let mut site = ReturningSite::new();
    while site.stage() != Stage::Done {
        site.step();
        let reported = site.load().sites["north"].min_fraction * f64::from(FULL_TRAFFIC);
        assert!(
            f64::from(site.commanded_fraction()) <= reported + 501.0,
            "{} at {reported}",
            site.commanded_fraction()
        );
    }
}

// Guards against a new lease holder that ends the window because full traffic is commanded, before the site
// gets it.
#[test]
fn a_new_lease_holder_waits_for_the_instances_although_full_traffic_is_commanded() {
    let mut site = ReturningSite::new();
    site.run_until(|site| site.commanded_fraction() == FULL_TRAFFIC);
    site.controller = ShiftController::default();
    site.run_until_done();
    assert!(site.load().sites["north"].sent >= USUAL_RATE * 0.99, "{:?}", site.load());
}

// Guards against a window that ends as restored although commands don't reach half of the instances, and
// against one that never ends because of them.
#[test]
fn a_return_that_many_instances_do_not_follow_ends_as_overdue_with_a_reason() {
    let mut site = ReturningSite::new();
    site.cut_off = INSTANCES / 2;
    site.run_until_done();
    assert!(site.now >= pacing().ramp_duration + pacing().return_grace, "{} ms", site.now);
    assert_eq!(site.reason(), "overdue: most instances send the site 0% of its usual traffic");
}

// One lost instance out of eight does not delay the return.
#[test]
fn a_few_lost_instances_do_not_delay_a_return() {
    let mut site = ReturningSite::new();
    site.cut_off = 1;
    site.run_until_done();
    assert_eq!(site.reason(), "");
}

// Guards against a window that never ends, and so delays the next one, because clients send fewer requests
// than usual.
#[test]
fn a_return_in_a_quiet_hour_ends_as_overdue_with_a_reason() {
    let mut site = ReturningSite::new();
    site.demand = 0.5;
    site.run_until_done();
    assert_eq!(site.reason(), "overdue: the site gets 40.0 of its usual 80.0 requests a second");
}

// Without any reports, the steps follow the pace of the ramp and the window ends as overdue.
#[test]
fn a_return_without_reports_follows_the_ramp_and_ends() {
    let mut site = ReturningSite::new();
    site.has_reports = false;
    site.run_until(|site| site.commanded_fraction() == FULL_TRAFFIC);
    assert!(site.now <= SLOW_RAMP_MS + 1_000, "{} ms", site.now);
    site.run_until_done();
    assert_eq!(site.reason(), "overdue: only 0% of the instances report");
}

// The reason of an abort is not replaced by the reason of an overdue return.
#[test]
fn the_reason_of_an_abort_is_kept_when_the_return_is_overdue() {
    let mut site = ReturningSite::new();
    let reason = Some("incident 3 at site:south".to_owned());
    let abort = WindowCommand::RestoreTraffic { window: 1, fraction: 0, reason };
    site.windows.apply(&abort, &mut site.freeze).expect("the command applies");
    site.has_reports = false;
    site.run_until_done();
    assert_eq!(site.reason(), "incident 3 at site:south");
}
