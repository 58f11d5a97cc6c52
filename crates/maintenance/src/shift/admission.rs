//! Decides whether a window may begin to shift traffic away from its site.

use super::{FleetLoad, ShiftPacing};
use crate::windows::WindowPlan;

/// Why a window is not admitted now. The text may become the reason of a postponed window, which is
/// replicated, so all versions must write the same bytes.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum AdmissionBlocker {
    /// Too few instances have sent recent reports.
    #[error("only {:.0}% of the copies are heard of", 100.0 * reporting_ratio)]
    MissingReports {
        /// The value of [`FleetLoad::reporting_ratio`].
        reporting_ratio: f64,
    },
    /// The fleet's load has a [`FleetLoad::blocker`]; holds its text.
    #[error("{0}")]
    Fleet(String),
    /// No instance reports the site's load.
    #[error("no copy reports anything of {site}")]
    UnknownLoad {
        /// The site of the window.
        site: String,
    },
    /// There is no other site that could take over the traffic.
    #[error("there is no other site")]
    NoOtherSite,
    /// Another site does not serve its own traffic well enough.
    #[error("{site} serves only {:.0}% of its calls", 100.0 * success_ratio)]
    OtherSiteFailing {
        /// The name of the other site.
        site: String,
        /// The other site's [`super::SiteLoad::success_ratio`].
        success_ratio: f64,
    },
    /// The other sites can't take over the traffic.
    #[error("the others can take {headroom:.0} calls a second above their reserve, {site} has {rate:.0}")]
    InsufficientHeadroom {
        /// How many more requests per second the other sites can take above their reserve.
        headroom: f64,
        /// The site of the window.
        site: String,
        /// The site's traffic, in requests per second.
        rate: f64,
    },
}

/// Returns the first reason for which the window can't be admitted now; `None` if it can.
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
    // If the backends report no utilization, the headroom is unknown. Each step then waits for the effect of
    // the previous one, which shows whether the other sites can take more.
    let headroom = load.other_headroom(plan)?;
    let rate = own.baseline.max(own.sent);
    let site = plan.site.clone();
    (rate > headroom).then_some(AdmissionBlocker::InsufficientHeadroom { headroom, site, rate })
}
