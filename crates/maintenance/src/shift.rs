//! What the holder of a site's lease proposes next for its window.
//!
//! Each step waits for the effect of the last one, and is no larger than what the other sites can take above their
//! reserve.

use crate::windows::{OverrunPolicy, Stage, Window, WindowCommand, WindowPlan};
use crate::{Millis, TrafficFraction, FULL_TRAFFIC};
use hillstall_change_freeze::state::Number;
use std::collections::BTreeMap;

const LATE_REASON: &str = "it could not begin in time";
/// By how much the reported traffic fraction may exceed the commanded one.
const FRACTION_TOLERANCE: f64 = 0.001;
/// [`Window::baseline_rate`] counts requests per this many seconds.
const BASELINE_RATE_SECONDS: f64 = 1_000.0;

/// The load of one site, as the instances report it together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLoad {
    /// Requests per second sent there, over the last second.
    pub sent: f64,
    /// Requests per second sent there, over a few seconds: steps are measured against it and not against a short peak.
    pub baseline: f64,
    /// Three in four instances send it no more than this fraction of its usual traffic; from 0 to 1.
    pub fraction: f64,
    /// The fraction of completed requests that were served; from 0 to 1.
    pub success_ratio: f64,
    /// The fraction of its backends' capacity in use, if they report it.
    pub utilization: Option<f64>,
}

impl SiteLoad {
    /// How many more requests per second the site can take above its reserve; `None` if its utilization is unknown.
    fn headroom(&self, reserve_percent: u8) -> Option<f64> {
        let utilization = self.utilization.filter(|utilization| *utilization > 0.0)?;
        let max_utilization = 1.0 - f64::from(reserve_percent) / 100.0;
        Some((self.sent * (max_utilization / utilization - 1.0)).max(0.0))
    }

    fn serves_well(&self, pacing: &ShiftPacing) -> bool {
        self.sent <= 0.0 || self.success_ratio >= pacing.min_success_ratio
    }
}

/// The load of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// The load of each site.
    pub sites: BTreeMap<String, SiteLoad>,
    /// The fraction of the fleet's instances whose reports are recent; from 0 to 1.
    pub reporting_ratio: f64,
    /// Why no site may be shifted, such as an incident at another site; `None` if nothing speaks against it.
    pub blocker: Option<String>,
}

impl FleetLoad {
    fn sent_to(&self, site: &str) -> f64 {
        self.sites.get(site).map_or(0.0, |load| load.sent)
    }

    fn other_sites<'a>(&'a self, site: &'a str) -> impl Iterator<Item = (&'a String, &'a SiteLoad)> {
        self.sites.iter().filter(move |(other, _)| *other != site)
    }

    /// How many more requests per second the other sites can take; `None` if that is unknown for one of them.
    fn other_headroom(&self, plan: &WindowPlan) -> Option<f64> {
        self.other_sites(&plan.site).map(|(_, load)| load.headroom(plan.reserve_percent)).sum()
    }

    fn has_enough_reports(&self, pacing: &ShiftPacing) -> bool {
        self.reporting_ratio >= pacing.min_reporting_ratio
    }
}

/// The pace of a shift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftPacing {
    /// The largest step, in thousandths of the usual traffic.
    pub max_step: TrafficFraction,
    /// The minimum time between two steps, for their effect to be observed; in milliseconds.
    pub step_interval: Millis,
    /// A site counts as empty at or below this fraction of its usual traffic.
    pub empty_ratio: f64,
    /// The fraction of the instances whose reports must be recent.
    pub min_reporting_ratio: f64,
    /// The fraction of requests that the other sites must serve.
    pub min_success_ratio: f64,
}

impl Default for ShiftPacing {
    /// Eight steps of one second each; half a percent of the traffic left; reports of three in four instances; nine in ten
    /// requests served.
    fn default() -> ShiftPacing {
        ShiftPacing {
            max_step: 125,
            step_interval: 1_000,
            empty_ratio: 0.005,
            min_reporting_ratio: 0.75,
            min_success_ratio: 0.9,
        }
    }
}

/// Why a window is not admitted now. The text may become the reason of a postponed window, which is replicated.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AdmissionBlocker {
    /// The reports of too many instances are missing.
    #[error("only {:.0}% of the copies are heard of", 100.0 * reporting_ratio)]
    MissingReports {
        /// See [`FleetLoad::reporting_ratio`].
        reporting_ratio: f64,
    },
    /// See [`FleetLoad::blocker`].
    #[error("{0}")]
    Fleet(String),
    /// No instance reports the site's load.
    #[error("no copy reports anything of {site}")]
    UnknownLoad {
        /// The site of the window.
        site: String,
    },
    /// No site could take over the traffic.
    #[error("there is no other site")]
    NoOtherSite,
    /// Another site does not serve its own traffic well enough.
    #[error("{site} serves only {:.0}% of its calls", 100.0 * success_ratio)]
    OtherSiteFailing {
        /// The other site.
        site: String,
        /// See [`SiteLoad::success_ratio`].
        success_ratio: f64,
    },
    /// The other sites can't take over the traffic.
    #[error("the others can take {headroom:.0} calls a second above their reserve, {site} has {rate:.0}")]
    InsufficientHeadroom {
        /// What the other sites can take above their reserve, in requests per second.
        headroom: f64,
        /// The site of the window.
        site: String,
        /// The site's traffic, in requests per second.
        rate: f64,
    },
}

/// Why a window is not admitted now; `None` if it can be.
pub fn admission_blocker(
    plan: &WindowPlan,
    load: &FleetLoad,
    pacing: &ShiftPacing,
) -> Option<AdmissionBlocker> {
    let reporting_ratio = load.reporting_ratio;
    if reporting_ratio < pacing.min_reporting_ratio {
        return Some(AdmissionBlocker::MissingReports { reporting_ratio });
    }
    if let Some(reason) = &load.blocker {
        return Some(AdmissionBlocker::Fleet(reason.clone()));
    }
    let Some(own) = load.sites.get(&plan.site) else {
        return Some(AdmissionBlocker::UnknownLoad { site: plan.site.clone() });
    };
    if load.other_sites(&plan.site).next().is_none() {
        return Some(AdmissionBlocker::NoOtherSite);
    }
    if let Some((site, other)) = load.other_sites(&plan.site).find(|(_, other)| !other.serves_well(pacing)) {
        let success_ratio = other.success_ratio;
        return Some(AdmissionBlocker::OtherSiteFailing { site: site.clone(), success_ratio });
    }
    // Without utilization the headroom is unknown; each step is then judged by the effect of the last one.
    let headroom = load.other_headroom(plan)?;
    let rate = own.baseline.max(own.sent);
    let site = plan.site.clone();
    (rate > headroom).then_some(AdmissionBlocker::InsufficientHeadroom { headroom, site, rate })
}

/// What was last observed of a window, and since when.
#[derive(Clone, Copy, Debug)]
struct ObservedStep {
    window: Number,
    stage: Stage,
    fraction: TrafficFraction,
    since: Millis,
}

/// What a lease holder remembers between two calls. A new holder starts without it.
#[derive(Clone, Debug, Default)]
pub struct ShiftController {
    last_step: Option<ObservedStep>,
}

impl ShiftController {
    /// The command to propose now for a window, if any. The first pair is the time as `(Unix time, monotonic clock)`.
    pub fn next_command(
        &mut self,
        (unix_now, monotonic_now): (Millis, Millis),
        (number, window): (Number, &Window),
        load: &FleetLoad,
        pacing: &ShiftPacing,
    ) -> Option<WindowCommand> {
        let unchanged_for = monotonic_now.saturating_sub(self.unchanged_since(monotonic_now, number, window));
        let has_waited = unchanged_for >= pacing.step_interval;
        Decision { now: unix_now, number, window, load, pacing, has_waited }.next_command()
    }

    /// Since when the window has its stage and its fraction.
    fn unchanged_since(&mut self, now: Millis, number: Number, window: &Window) -> Millis {
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
    number: Number,
    window: &'a Window,
    load: &'a FleetLoad,
    pacing: &'a ShiftPacing,
    /// The last step is at least [`ShiftPacing::step_interval`] ago.
    has_waited: bool,
}

impl Decision<'_> {
    fn next_command(&self) -> Option<WindowCommand> {
        match self.window.stage {
            Stage::Planned => self.when_planned(),
            Stage::Admitted => self.abort().or_else(|| self.when_admitted()),
            Stage::Shifting => self.abort().or_else(|| self.when_shifting()),
            Stage::Empty => self.abort().or_else(|| self.when_empty()),
            Stage::Running => self.when_running(),
            Stage::Returning => self.when_returning(),
            Stage::Done | Stage::Postponed | Stage::Cancelled => None,
        }
    }

    fn when_planned(&self) -> Option<WindowCommand> {
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

    fn when_admitted(&self) -> Option<WindowCommand> {
        if self.window.fraction == 0 {
            return None;
        }
        self.reduce_traffic()
    }

    fn when_shifting(&self) -> Option<WindowCommand> {
        if !self.has_waited {
            None
        } else if self.window.fraction > 0 {
            self.last_step_took_effect().then(|| self.reduce_traffic()).flatten()
        } else {
            self.is_empty().then_some(WindowCommand::MarkEmpty { window: self.number })
        }
    }

    fn when_empty(&self) -> Option<WindowCommand> {
        let has_come = self.now >= self.window.plan.starts_at;
        has_come.then_some(WindowCommand::Begin { window: self.number })
    }

    fn when_running(&self) -> Option<WindowCommand> {
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

    fn when_returning(&self) -> Option<WindowCommand> {
        if !self.has_waited {
            return None;
        }
        if self.window.fraction == FULL_TRAFFIC {
            return Some(WindowCommand::Finish { window: self.number });
        }
        let fraction = self.window.fraction.saturating_add(self.pacing.max_step).min(FULL_TRAFFIC);
        Some(self.restore_traffic(fraction, None))
    }

    /// Ends a window that has not begun, if it is late or something has come up.
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

    /// Whether next to nothing is sent to the site any more.
    fn is_empty(&self) -> bool {
        let max_rate = self.baseline_rate() * self.pacing.empty_ratio;
        self.load.has_enough_reports(self.pacing) && self.load.sent_to(&self.window.plan.site) <= max_rate
    }

    /// Whether the instances carry out the last step and the other sites serve their traffic.
    ///
    /// The rate of requests to the site says little before the end: it changes with each instance that is lost or returns.
    fn last_step_took_effect(&self) -> bool {
        let site = &self.window.plan.site;
        let commanded = f64::from(self.window.fraction) / f64::from(FULL_TRAFFIC);
        let reported = self.load.sites.get(site).map_or(1.0, |load| load.fraction);
        self.load.has_enough_reports(self.pacing)
            && reported <= commanded + FRACTION_TOLERANCE
            && self.load.other_sites(site).all(|(_, other)| other.serves_well(self.pacing))
    }

    /// The next step down; `None` if the other sites can't take more.
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
