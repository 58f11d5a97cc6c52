//! The way back: when the next share of a site's traffic is restored, and what still speaks against the end of its window.
//!
//! Each instance raises a site's traffic by a ramp of its own, so the commanded fraction says little about the traffic that
//! comes. The steps follow the fraction that the instances report. Once all of it is commanded, the window waits until they
//! report all of it and the site's usual traffic is there. Both waits have a bound: a lost instance or a quiet hour must not
//! hold up the next window for ever.

use super::load::{FleetLoad, SiteLoad};
use super::{ShiftPacing, FRACTION_TOLERANCE};
use crate::windows::Window;
use crate::{Millis, TrafficFraction, FULL_TRAFFIC};

/// Why a site does not count as restored though all of its traffic is commanded. The text may become the reason of a window,
/// which is replicated.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryBlocker {
    /// The reports of too many instances are missing.
    #[error("only {:.0}% of the instances report", 100.0 * reporting_ratio)]
    MissingReports {
        /// See [`FleetLoad::reporting_ratio`].
        reporting_ratio: f64,
    },
    /// The instances still raise the site's traffic.
    #[error("most instances send the site {:.0}% of its usual traffic", 100.0 * reported)]
    InstancesBehind {
        /// See [`SiteLoad::min_fraction`].
        reported: f64,
    },
    /// Less than its usual traffic comes to the site.
    #[error("the site gets {rate:.1} of its usual {baseline_rate:.1} requests a second")]
    LowTraffic {
        /// Requests per second sent to the site, over a few seconds.
        rate: f64,
        /// The site's traffic before the window, in requests per second.
        baseline_rate: f64,
    },
    /// The site does not serve what it gets.
    #[error("the site serves {:.0}% of its requests", 100.0 * success_ratio)]
    SiteFailing {
        /// See [`SiteLoad::success_ratio`].
        success_ratio: f64,
    },
}

/// The return of one site's traffic.
pub(super) struct Recovery<'a> {
    pub(super) window: &'a Window,
    pub(super) load: &'a FleetLoad,
    pub(super) pacing: &'a ShiftPacing,
    /// The site's usual traffic, in requests per second.
    pub(super) baseline_rate: f64,
    /// How long the window has had its stage and fraction, in milliseconds.
    pub(super) unchanged_for: Millis,
}

impl Recovery<'_> {
    /// Whether the next step may be commanded. The instances may still carry out the last one then, but none before it, so
    /// that their ramps don't stand still between two reports.
    pub(super) fn may_step(&self) -> bool {
        // Without reports the instances are taken to keep to their ramps: other sites may be lost, and this one is needed.
        let Some(site) = self.site().filter(|_| self.load.has_enough_reports(self.pacing)) else {
            return self.unchanged_for >= self.ramp_time(self.pacing.max_step);
        };
        let previous_step = self.window.fraction.saturating_sub(self.pacing.max_step);
        let expected = f64::from(previous_step) / f64::from(FULL_TRAFFIC);
        site.min_fraction + FRACTION_TOLERANCE >= expected || self.is_overdue()
    }

    /// What speaks against the end of the window, once all of the site's traffic is commanded.
    pub(super) fn blocker(&self) -> Option<RecoveryBlocker> {
        let reporting_ratio = self.load.reporting_ratio;
        let Some(site) = self.site().filter(|_| self.load.has_enough_reports(self.pacing)) else {
            return Some(RecoveryBlocker::MissingReports { reporting_ratio });
        };
        if site.min_fraction + FRACTION_TOLERANCE < 1.0 {
            return Some(RecoveryBlocker::InstancesBehind { reported: site.min_fraction });
        }
        // Over a few seconds: one busy moment does not end a window.
        let (rate, baseline_rate) = (site.baseline, self.baseline_rate);
        if rate < baseline_rate * self.pacing.restored_ratio {
            return Some(RecoveryBlocker::LowTraffic { rate, baseline_rate });
        }
        let success_ratio = site.success_ratio;
        (!site.serves_well(self.pacing)).then_some(RecoveryBlocker::SiteFailing { success_ratio })
    }

    /// Whether the wait since the last step has reached its bound.
    pub(super) fn is_overdue(&self) -> bool {
        self.unchanged_for >= self.pacing.ramp_duration.saturating_add(self.pacing.return_grace)
    }

    fn site(&self) -> Option<&SiteLoad> {
        self.load.sites.get(&self.window.plan.site)
    }

    /// How long an instance takes to raise a site's traffic by so much, in milliseconds.
    fn ramp_time(&self, step: TrafficFraction) -> Millis {
        self.pacing.ramp_duration.saturating_mul(Millis::from(step)) / Millis::from(FULL_TRAFFIC)
    }
}
