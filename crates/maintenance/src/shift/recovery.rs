//! Restores a site's traffic: decides when the next step may be commanded, and what blocks the end of the
//! window.
//!
//! Each instance raises a site's traffic with its own ramp, so the commanded fraction does not show how much
//! traffic the site gets. The steps therefore follow the fraction that the instances report. Once full
//! traffic is commanded, the window waits until the instances report full traffic and the site gets its usual
//! request rate. Both waits are bounded, so that lost instances or a quiet hour can't delay the next window
//! for ever.

use super::load::{FleetLoad, SiteLoad};
use super::{ShiftPacing, FRACTION_TOLERANCE};
use crate::windows::Window;
use crate::{Millis, TrafficFraction, FULL_TRAFFIC};

/// Why a site does not count as restored although full traffic is commanded. The text may become the reason
/// of a window, which is replicated, so all versions must write the same bytes.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum RecoveryBlocker {
    /// Too few instances have sent recent reports.
    #[error("only {:.0}% of the instances report", 100.0 * reporting_ratio)]
    MissingReports {
        /// The value of [`FleetLoad::reporting_ratio`].
        reporting_ratio: f64,
    },
    /// Too many instances don't send the site its full traffic yet.
    #[error("most instances send the site {:.0}% of its usual traffic", 100.0 * reported)]
    InstancesBehind {
        /// The value of [`SiteLoad::min_fraction`].
        reported: f64,
    },
    /// The site gets less than [`ShiftPacing::restored_ratio`] of its usual request rate.
    #[error("the site gets {rate:.1} of its usual {baseline_rate:.1} requests a second")]
    LowTraffic {
        /// Requests per second sent to the site, averaged over a few seconds.
        rate: f64,
        /// The site's request rate before the window, in requests per second.
        baseline_rate: f64,
    },
    /// The site fails too many of its requests.
    #[error("the site serves {:.0}% of its requests", 100.0 * success_ratio)]
    SiteFailing {
        /// The value of [`SiteLoad::success_ratio`].
        success_ratio: f64,
    },
}

/// The inputs of one decision about restoring a site's traffic.
pub(super) struct Recovery<'a> {
    pub(super) window: &'a Window,
    pub(super) load: &'a FleetLoad,
    pub(super) pacing: &'a ShiftPacing,
    /// The site's usual request rate, in requests per second.
    pub(super) baseline_rate: f64,
    /// How long the window's stage and fraction have been unchanged, in milliseconds.
    pub(super) unchanged_for: Millis,
}

impl Recovery<'_> {
    /// Whether the next step may be commanded. The instances must have completed the step before the last
    /// one; they may still be raising traffic for the last one, so that their ramps don't pause between two
    /// reports.
    pub(super) fn may_step(&self) -> bool {
        // Without reports, the instances are assumed to follow their ramps: the return must go on, as other
        // sites may be lost and this one needed.
        let Some(site) = self.site().filter(|_| self.load.has_enough_reports(self.pacing)) else {
            return self.unchanged_for >= self.ramp_time(self.pacing.max_step);
        };
        let previous_step = self.window.fraction.saturating_sub(self.pacing.max_step);
        let expected = f64::from(previous_step) / f64::from(FULL_TRAFFIC);
        site.min_fraction + FRACTION_TOLERANCE >= expected || self.is_overdue()
    }

    /// What blocks the end of the window once full traffic is commanded; `None` if the site is restored.
    pub(super) fn blocker(&self) -> Option<RecoveryBlocker> {
        let reporting_ratio = self.load.reporting_ratio;
        let Some(site) = self.site().filter(|_| self.load.has_enough_reports(self.pacing)) else {
            return Some(RecoveryBlocker::MissingReports { reporting_ratio });
        };
        if site.min_fraction + FRACTION_TOLERANCE < 1.0 {
            return Some(RecoveryBlocker::InstancesBehind { reported: site.min_fraction });
        }
        // The average over a few seconds, so that a short peak does not end the window.
        let (rate, baseline_rate) = (site.baseline, self.baseline_rate);
        if rate < baseline_rate * self.pacing.restored_ratio {
            return Some(RecoveryBlocker::LowTraffic { rate, baseline_rate });
        }
        let success_ratio = site.success_ratio;
        (!site.serves_well(self.pacing)).then_some(RecoveryBlocker::SiteFailing { success_ratio })
    }

    /// Whether the wait since the last step has reached [`ShiftPacing::ramp_duration`] plus
    /// [`ShiftPacing::return_grace`].
    pub(super) fn is_overdue(&self) -> bool {
        self.unchanged_for >= self.pacing.ramp_duration.saturating_add(self.pacing.return_grace)
    }

    fn site(&self) -> Option<&SiteLoad> {
        self.load.sites.get(&self.window.plan.site)
    }

    /// How long an instance takes to raise a site's traffic by `step`, in milliseconds.
    fn ramp_time(&self, step: TrafficFraction) -> Millis {
        self.pacing.ramp_duration.saturating_mul(Millis::from(step)) / Millis::from(FULL_TRAFFIC)
    }
}
