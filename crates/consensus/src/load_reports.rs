//! Load reports: the counts of each instance, and the load and observations that lease holders derive from
//! them.

use hillstall_change_freeze::detection::{Observation, Symptom};
use hillstall_change_freeze::scope::Scope;
use hillstall_lease::{Instance, Millis};
use hillstall_maintenance::shift::{FleetLoad, SiteLoad};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A report older than this is ignored.
const REPORT_TTL_MS: Millis = 3_000;
/// An instance whose last report is older than this no longer counts as an instance that does not report.
const INSTANCE_TTL_MS: Millis = 60_000;
/// The time between two samples of a site's load.
const SAMPLE_INTERVAL_MS: Millis = 500;
/// The maximum number of stored samples of a site's load.
const MAX_SAMPLES: usize = 10;
/// A site's current load is the mean of this many latest samples.
const CURRENT_SAMPLES: usize = 2;
/// The minimum number of attempts ended at a site, over all instances, for the share of unanswered attempts
/// to be used.
const MIN_ENDED_ATTEMPTS: u64 = 5;
/// The minimum number of requests, over all instances, for the share of rejected requests to be used.
const MIN_REQUESTS: u64 = 20;
/// A higher [`SiteCounts::utilization_percent`] means that the backends do not report their utilization.
const MAX_UTILIZATION_PERCENT: u8 = 100;

/// The maximum number of instances whose reports are kept. Reports of further ones are ignored until older ones
/// have expired.
const MAX_INSTANCES: usize = 4_096;
/// The maximum number of sites in a report, and of sites whose samples are kept without a recent report.
const MAX_SITES: usize = 1_024;

/// An instance's counts for one site, over the period of the report.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteCounts {
    /// The number of attempts sent to the site.
    pub sent: u32,
    /// The number of attempts that were served.
    pub served: u32,
    /// The number of attempts that ended without a response: no connection, a broken connection, or a
    /// time-out.
    pub unanswered: u32,
    /// The share of the capacity of the site's backends in use, in percent; over 100 if the backends don't
    /// report it.
    pub utilization_percent: u8,
    /// The fraction of its usual traffic that this instance sends to the site, in thousandths. Filled in by
    /// [`Node::on_report`](crate::node::Node::on_report).
    pub fraction: u16,
}

/// The counts of an instance over a period of time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// The instance that reports. Filled in by [`Node::on_report`](crate::node::Node::on_report); a report
    /// without it is ignored.
    pub instance: Option<Instance>,
    /// The age of the report when it is sent, in milliseconds.
    pub age_ms: u32,
    /// The length of the period, in milliseconds.
    pub period_ms: u32,
    /// The number of client requests that arrived.
    pub requests: u32,
    /// The number of client requests that were rejected.
    pub rejected: u32,
    /// The counts for each site, by the site's name.
    pub sites: BTreeMap<String, SiteCounts>,
}

/// A report and the time at which it was made, by the local clock.
#[derive(Clone, Debug)]
struct ReceivedReport {
    report: LoadReport,
    made_at: Millis,
}

impl ReceivedReport {
    fn age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.made_at)
    }
}

/// The latest report of each instance, and recent samples of each site's load.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    /// By rank, so that the two processes of one rank during an upgrade count as one instance.
    latest: BTreeMap<u32, ReceivedReport>,
    /// Samples of the attempts per second sent to each site, newest last.
    samples: BTreeMap<String, VecDeque<f64>>,
    sampled_at: Millis,
}

/// The sums of the counts for one site over all recent reports.
#[derive(Default)]
struct SiteTotals {
    sent_per_second: f64,
    served: f64,
    ended: f64,
    /// The sum of the reported utilizations, each from 0 to 1.
    utilization: f64,
    /// The number of reports with a utilization.
    utilization_reports: f64,
    /// The traffic fraction at each instance, in thousandths.
    fractions: Vec<u16>,
}

impl SiteTotals {
    fn add(&mut self, counts: &SiteCounts, period_ms: u32) {
        let per_second = 1_000.0 / f64::from(period_ms.max(1));
        self.sent_per_second += f64::from(counts.sent) * per_second;
        self.served += f64::from(counts.served);
        self.ended += f64::from(counts.served + counts.unanswered);
        if counts.utilization_percent <= MAX_UTILIZATION_PERCENT {
            self.utilization += f64::from(counts.utilization_percent) / 100.0;
            self.utilization_reports += 1.0;
        }
        self.fractions.push(counts.fraction);
    }

    /// Two traffic fractions, from 0 to 1: at least three in four instances send no less than the first, and
    /// at least three in four send no more than the second.
    fn quartile_fractions(&mut self) -> (f64, f64) {
        self.fractions.sort_unstable();
        let upper_quartile = (self.fractions.len() * 3).div_ceil(4).max(1) - 1;
        let lower_quartile = self.fractions.len().saturating_sub(upper_quartile + 1);
        let fraction_at =
            |index: usize| self.fractions.get(index).map_or(0.0, |fraction| f64::from(*fraction) / 1_000.0);
        (fraction_at(lower_quartile), fraction_at(upper_quartile))
    }

    /// The site's load. `samples` are the site's attempts per second, newest last.
    fn into_load(mut self, samples: &VecDeque<f64>) -> SiteLoad {
        let mean =
            |latest: usize| samples.iter().rev().take(latest).sum::<f64>() / samples.len().min(latest) as f64;
        let (min_fraction, fraction) = self.quartile_fractions();
        SiteLoad {
            sent: mean(CURRENT_SAMPLES),
            baseline: mean(MAX_SAMPLES).max(mean(MAX_SAMPLES / 2)),
            fraction,
            min_fraction,
            success_ratio: if self.ended > 0.0 { self.served / self.ended } else { 1.0 },
            utilization: (self.utilization_reports > 0.0)
                .then(|| self.utilization / self.utilization_reports),
        }
    }
}

impl LoadReports {
    /// Records a report received at `now`, unless a newer report of the same rank is known.
    pub fn record(&mut self, now: Millis, report: LoadReport) {
        let Some(instance) = report.instance else { return };
        let made_at = now.saturating_sub(u64::from(report.age_ms));
        if report.sites.len() > MAX_SITES || !self.has_capacity_for(now, instance.rank) {
            return;
        }
        if self.latest.get(&instance.rank).is_none_or(|known| known.made_at < made_at) {
            self.latest.insert(instance.rank, ReceivedReport { report, made_at });
        }
    }

    /// Whether the report of this rank can be kept, if need be after dropping those that have expired.
    fn has_capacity_for(&mut self, now: Millis, rank: u32) -> bool {
        if self.latest.contains_key(&rank) {
            return true;
        }
        if self.latest.len() >= MAX_INSTANCES {
            self.drop_expired(now);
        }
        self.latest.len() < MAX_INSTANCES
    }

    fn drop_expired(&mut self, now: Millis) {
        self.latest.retain(|_, received| received.age(now) < INSTANCE_TTL_MS);
    }

    /// The recent reports of the selected instances, each with its age at `now`.
    pub fn recent(&self, now: Millis, is_selected: impl Fn(Instance) -> bool) -> Vec<LoadReport> {
        let recent = self.recent_entries(now);
        let selected = recent.filter(|received| received.report.instance.is_some_and(&is_selected));
        selected
            .map(|received| LoadReport { age_ms: received.age(now) as u32, ..received.report.clone() })
            .collect()
    }

    /// The load of all sites, from which the steps of a traffic shift are decided. Also takes the samples
    /// that are due. The caller fills in [`FleetLoad::blocker`].
    pub fn fleet_load(&mut self, now: Millis) -> FleetLoad {
        self.drop_expired(now);
        let known_instances = self.latest.len().max(1);
        let reporting_instances = self.recent_entries(now).count();
        let totals = self.site_totals(now);
        self.sample(now, &totals);
        let sites = totals.into_iter().map(|(site, totals)| {
            let load = totals.into_load(&self.samples[&site]);
            (site, load)
        });
        FleetLoad {
            sites: sites.collect(),
            reporting_ratio: reporting_instances as f64 / known_instances as f64,
            blocker: None,
        }
    }

    /// The fraction of its usual traffic, from 0 to 1, that at least three in four instances send to each
    /// site, by their recent reports.
    pub fn min_fractions(&self, now: Millis) -> BTreeMap<String, f64> {
        let totals = self.site_totals(now).into_iter();
        totals.map(|(site, mut totals)| (site, totals.quartile_fractions().0)).collect()
    }

    fn site_totals(&self, now: Millis) -> BTreeMap<String, SiteTotals> {
        let mut totals: BTreeMap<String, SiteTotals> = BTreeMap::new();
        for received in self.recent_entries(now) {
            for (site, counts) in &received.report.sites {
                totals.entry(site.clone()).or_default().add(counts, received.report.period_ms);
            }
        }
        totals
    }

    /// Adds a sample of each site's load if one is due, and the first sample of a new site at once.
    fn sample(&mut self, now: Millis, totals: &BTreeMap<String, SiteTotals>) {
        let is_due = now.saturating_sub(self.sampled_at) >= SAMPLE_INTERVAL_MS;
        if is_due {
            self.sampled_at = now;
        }
        if self.samples.len() > MAX_SITES {
            self.samples.retain(|site, _| totals.contains_key(site));
        }
        for (site, totals) in totals {
            let samples = self.samples.entry(site.clone()).or_default();
            if is_due || samples.is_empty() {
                samples.push_back(totals.sent_per_second);
            }
            if samples.len() > MAX_SAMPLES {
                samples.pop_front();
            }
        }
    }

    fn recent_entries(&self, now: Millis) -> impl Iterator<Item = &ReceivedReport> {
        self.latest.values().filter(move |received| received.age(now) < REPORT_TTL_MS)
    }

    /// The observations for the coordinator's rules: the fleet's share of rejected requests, and each site's
    /// share of unanswered attempts. A share of too few requests or attempts is left out.
    pub fn observations(&self, now: Millis) -> Vec<Observation> {
        let (mut requests, mut rejected) = (0, 0);
        let mut sites: BTreeMap<&String, (u64, u64)> = BTreeMap::new();
        for ReceivedReport { report, .. } in self.recent_entries(now) {
            requests += u64::from(report.requests);
            rejected += u64::from(report.rejected);
            for (site, counts) in &report.sites {
                let (unanswered, ended) = sites.entry(site).or_default();
                *unanswered += u64::from(counts.unanswered);
                *ended += u64::from(counts.unanswered + counts.served);
            }
        }
        let mut observations = Vec::new();
        if requests >= MIN_REQUESTS {
            let level = rejected as f64 / requests as f64;
            observations.push(Observation { scope: Scope::Fleet, symptom: Symptom::Rejected, level });
        }
        for (site, (unanswered, ended)) in sites {
            if ended >= MIN_ENDED_ATTEMPTS {
                let level = unanswered as f64 / ended as f64;
                let scope = Scope::Site(site.clone());
                observations.push(Observation { scope, symptom: Symptom::Unanswered, level });
            }
        }
        observations
    }
}
