//! The load of the sites, aggregated from the instances' reports.

use super::ShiftPacing;
use crate::windows::WindowPlan;
use std::collections::BTreeMap;

/// The load of one site, aggregated from the reports of all instances.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteLoad {
    /// Requests per second sent to the site, averaged over the last second.
    pub sent: f64,
    /// Requests per second sent to the site, averaged over a few seconds, so that a short peak does not
    /// distort the steps.
    pub baseline: f64,
    /// Three in four instances send the site at most this fraction of its usual traffic; from 0 to 1.
    pub fraction: f64,
    /// Three in four instances send the site at least this fraction of its usual traffic; from 0 to 1.
    pub min_fraction: f64,
    /// The fraction of completed requests that were served; from 0 to 1.
    pub success_ratio: f64,
    /// The fraction of the backends' capacity that is in use; `None` if the backends don't report it.
    pub utilization: Option<f64>,
}

impl SiteLoad {
    /// How many more requests per second the site can take above its reserve; `None` if its utilization is
    /// unknown.
    pub(super) fn headroom(&self, reserve_percent: u8) -> Option<f64> {
        let utilization = self.utilization.filter(|utilization| *utilization > 0.0)?;
        let max_utilization = 1.0 - f64::from(reserve_percent) / 100.0;
        Some((self.sent * (max_utilization / utilization - 1.0)).max(0.0))
    }

    /// Whether the site serves enough of its requests, or gets none.
    pub(super) fn serves_well(&self, pacing: &ShiftPacing) -> bool {
        self.sent <= 0.0 || self.success_ratio >= pacing.min_success_ratio
    }
}

/// The load of the whole fleet, as the basis of a decision about a traffic shift.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetLoad {
    /// The load of each site, by the site's name.
    pub sites: BTreeMap<String, SiteLoad>,
    /// The fraction of the fleet's instances whose reports are recent; from 0 to 1.
    pub reporting_ratio: f64,
    /// Why no traffic may be shifted now, such as an incident at another site; `None` if there is no such
    /// reason.
    pub blocker: Option<String>,
}

impl FleetLoad {
    pub(super) fn sent_to(&self, site: &str) -> f64 {
        self.sites.get(site).map_or(0.0, |load| load.sent)
    }

    pub(super) fn other_sites<'a>(
        &'a self,
        site: &'a str,
    ) -> impl Iterator<Item = (&'a String, &'a SiteLoad)> {
        self.sites.iter().filter(move |(other, _)| *other != site)
    }

    /// How many more requests per second the other sites can take above the plan's reserve; `None` if the
    /// utilization of one of them is unknown.
    pub(super) fn other_headroom(&self, plan: &WindowPlan) -> Option<f64> {
        self.other_sites(&plan.site).map(|(_, load)| load.headroom(plan.reserve_percent)).sum()
    }

    pub(super) fn has_enough_reports(&self, pacing: &ShiftPacing) -> bool {
        self.reporting_ratio >= pacing.min_reporting_ratio
    }
}
