//! Decides which command the holder of a site's lease proposes next for the site's window.
//!
//! Each step of the shift waits for the effect of the previous one. A step that reduces the site's traffic is
//! no larger than what the other sites can take above their reserve.
//!
//! - `load`: the load of the sites, aggregated from the instances' reports;
//! - `pacing`: the size and pace of the steps;
//! - `admission`: whether a window's shift may begin;
//! - `recovery`: how the traffic is restored, and when the window is over.

mod admission;
mod load;
mod pacing;
mod recovery;

pub use admission::{admission_blocker, AdmissionBlocker};
pub use load::{FleetLoad, SiteLoad};
pub use pacing::ShiftPacing;
pub use recovery::RecoveryBlocker;

use crate::windows::{OverrunPolicy, Stage, Window, WindowCommand};
use crate::{Millis, TrafficFraction, FULL_TRAFFIC};
use hillstall_change_freeze::state::SequenceNumber;
use recovery::Recovery;

/// The reason of a window that is postponed or aborted as late. It is replicated, so all versions must write
/// the same bytes.
const LATE_REASON: &str = "it could not begin in time";
/// By how much a reported traffic fraction may exceed the commanded one while traffic is reduced, and fall
/// short of the expected one while it is restored.
const FRACTION_TOLERANCE: f64 = 0.001;
/// [`Window::baseline_rate`] is in requests per this many seconds.
const BASELINE_RATE_SECONDS: f64 = 1_000.0;

/// The stage and fraction of a window that were last observed, and since when they have been unchanged.
#[derive(Clone, Copy, Debug)]
struct ObservedStep {
    window: SequenceNumber,
    stage: Stage,
    fraction: TrafficFraction,
    since: Millis,
}

/// Chooses the commands of a lease holder. It remembers since when the window's stage and fraction are
/// unchanged; a new holder starts with a new controller.
#[derive(Clone, Debug, Default)]
pub struct ShiftController {
    last_step: Option<ObservedStep>,
}

impl ShiftController {
    /// The command to propose now for a window, if any. The first argument is the time by both clocks, the
    /// second the window with its number.
    pub fn next_command(
        &mut self,
        (unix_now, monotonic_now): (Millis, Millis),
        (number, window): (SequenceNumber, &Window),
        load: &FleetLoad,
        pacing: &ShiftPacing,
    ) -> Option<WindowCommand> {
        let unchanged_for = monotonic_now.saturating_sub(self.unchanged_since(monotonic_now, number, window));
        Decision { now: unix_now, number, window, load, pacing, unchanged_for }.next_command()
    }

    /// Since when the window's stage and fraction have been unchanged, by the monotonic clock.
    fn unchanged_since(&mut self, now: Millis, number: SequenceNumber, window: &Window) -> Millis {
        let is_same = |step: &ObservedStep| {
            (step.window, step.stage, step.fraction) == (number, window.stage, window.fraction)
        };
        if let Some(step) = self.last_step.filter(is_same) {
            return step.since;
        }
        let (stage, fraction) = (window.stage, window.fraction);
        self.last_step = Some(ObservedStep { window: number, stage, fraction, since: now });
        now
    }
}

/// The inputs of one decision about a window.
struct Decision<'a> {
    /// Unix time.
    now: Millis,
    number: SequenceNumber,
    window: &'a Window,
    load: &'a FleetLoad,
    pacing: &'a ShiftPacing,
    /// How long the window's stage and fraction have been unchanged, in milliseconds.
    unchanged_for: Millis,
}

impl Decision<'_> {
    fn next_command(&self) -> Option<WindowCommand> {
        match self.window.stage {
            Stage::Planned => self.command_when_planned(),
            Stage::Admitted => self.abort().or_else(|| self.command_when_admitted()),
            Stage::Shifting => self.abort().or_else(|| self.command_when_shifting()),
            Stage::Empty => self.abort().or_else(|| self.command_when_empty()),
            Stage::Running => self.command_when_running(),
            Stage::Returning => self.command_when_returning(),
            Stage::Done | Stage::Postponed | Stage::Cancelled => None,
        }
    }

    fn command_when_planned(&self) -> Option<WindowCommand> {
        let plan = &self.window.plan;
        if self.now + plan.lead_time < plan.starts_at {
            return None;
        }
        if self.is_late() {
            return Some(self.postpone(LATE_REASON.to_owned()));
        }
        match admission_blocker(plan, self.load, self.pacing) {
            None => Some(self.admit()),
            Some(blocker) if self.now >= plan.starts_at => Some(self.postpone(blocker.to_string())),
            Some(_) => None,
        }
    }

    fn command_when_admitted(&self) -> Option<WindowCommand> {
        if self.window.fraction == 0 {
            return None;
        }
        self.reduce_traffic()
    }

    fn command_when_shifting(&self) -> Option<WindowCommand> {
        if !self.has_waited() {
            None
        } else if self.window.fraction > 0 {
            self.last_step_took_effect().then(|| self.reduce_traffic()).flatten()
        } else {
            self.is_empty().then_some(WindowCommand::MarkEmpty { window: self.number })
        }
    }

    fn command_when_empty(&self) -> Option<WindowCommand> {
        let is_due = self.now >= self.window.plan.starts_at;
        is_due.then_some(WindowCommand::Begin { window: self.number })
    }

    fn command_when_running(&self) -> Option<WindowCommand> {
        if let Some(reason) = &self.load.blocker {
            return Some(self.restore_traffic(0, Some(reason.clone())));
        }
        let plan = &self.window.plan;
        if self.now < plan.starts_at.saturating_add(plan.duration) {
            return None;
        }
        match plan.overrun_policy {
            OverrunPolicy::Return => Some(self.restore_traffic(self.window.fraction, None)),
            OverrunPolicy::Hold if self.window.overrun => None,
            OverrunPolicy::Hold => Some(WindowCommand::MarkOverrun { window: self.number }),
        }
    }

    fn command_when_returning(&self) -> Option<WindowCommand> {
        if !self.has_waited() {
            return None;
        }
        let Decision { window, load, pacing, unchanged_for, .. } = *self;
        let recovery = Recovery { window, load, pacing, baseline_rate: self.baseline_rate(), unchanged_for };
        if window.fraction < FULL_TRAFFIC {
            let fraction = window.fraction.saturating_add(pacing.max_step).min(FULL_TRAFFIC);
            return recovery.may_step().then(|| self.restore_traffic(fraction, None));
        }
        let blocker = recovery.blocker();
        if blocker.is_some() && !recovery.is_overdue() {
            return None;
        }
        // An overdue return gets its blocker as the reason before the window ends, unless an abort has set a
        // reason.
        match blocker.filter(|_| window.reason.is_empty()) {
            Some(blocker) => Some(self.restore_traffic(FULL_TRAFFIC, Some(format!("overdue: {blocker}")))),
            None => Some(WindowCommand::Finish { window: self.number }),
        }
    }

    /// Whether at least [`ShiftPacing::step_interval`] has passed since the last step.
    fn has_waited(&self) -> bool {
        self.unchanged_for >= self.pacing.step_interval
    }

    /// Postpones or aborts a window that has not begun, if it is late or the fleet's load has a blocker.
    fn abort(&self) -> Option<WindowCommand> {
        let late = || self.is_late().then(|| LATE_REASON.to_owned());
        let reason = self.load.blocker.clone().or_else(late)?;
        Some(match self.window.stage {
            Stage::Admitted => self.postpone(reason),
            _ => self.restore_traffic(self.window.fraction, Some(reason)),
        })
    }

    fn is_late(&self) -> bool {
        let plan = &self.window.plan;
        self.now > plan.starts_at.saturating_add(plan.max_delay)
    }

    /// The site's usual traffic, in requests per second.
    fn baseline_rate(&self) -> f64 {
        self.window.baseline_rate as f64 / BASELINE_RATE_SECONDS
    }

    /// Whether at most [`ShiftPacing::empty_ratio`] of the usual traffic is still sent to the site.
    fn is_empty(&self) -> bool {
        let max_rate = self.baseline_rate() * self.pacing.empty_ratio;
        self.load.has_enough_reports(self.pacing) && self.load.sent_to(&self.window.plan.site) <= max_rate
    }

    /// Whether the instances apply the commanded fraction and the other sites serve their traffic.
    ///
    /// The site's request rate is compared only once no traffic is commanded, by [`Decision::is_empty`].
    /// Before that it says little, as it also changes with each instance that is lost or returns.
    fn last_step_took_effect(&self) -> bool {
        let site = &self.window.plan.site;
        let commanded = f64::from(self.window.fraction) / f64::from(FULL_TRAFFIC);
        let reported = self.load.sites.get(site).map_or(1.0, |load| load.fraction);
        self.load.has_enough_reports(self.pacing)
            && reported <= commanded + FRACTION_TOLERANCE
            && self.load.other_sites(site).all(|(_, other)| other.serves_well(self.pacing))
    }

    /// The next step that reduces traffic; `None` if the other sites can't take more.
    fn reduce_traffic(&self) -> Option<WindowCommand> {
        let step = self.pacing.max_step.min(self.max_step_by_headroom());
        (step > 0).then(|| WindowCommand::ReduceTraffic {
            window: self.number,
            fraction: self.window.fraction.saturating_sub(step),
        })
    }

    fn max_step_by_headroom(&self) -> TrafficFraction {
        let baseline_rate = self.baseline_rate();
        match self.load.other_headroom(&self.window.plan) {
            Some(headroom) if baseline_rate > 0.0 => {
                (headroom / baseline_rate * f64::from(FULL_TRAFFIC)) as TrafficFraction
            }
            _ => FULL_TRAFFIC,
        }
    }

    fn admit(&self) -> WindowCommand {
        let own = self.load.sites.get(&self.window.plan.site);
        let baseline_rate = own.map_or(0.0, |load| load.baseline * BASELINE_RATE_SECONDS) as u64;
        WindowCommand::Admit { window: self.number, baseline_rate }
    }

    fn postpone(&self, reason: String) -> WindowCommand {
        WindowCommand::Postpone { window: self.number, reason }
    }

    fn restore_traffic(&self, fraction: TrafficFraction, reason: Option<String>) -> WindowCommand {
        WindowCommand::RestoreTraffic { window: self.number, fraction, reason }
    }
}
