//! What copies count and tell, with its age, and what is made of it for all.

use hillstall_change_freeze::detection::{Observation, Symptom};
use hillstall_change_freeze::scope::Scope;
use hillstall_lease::{Instance, Millis};
use hillstall_maintenance::shift::{FleetLoad, SiteLoad};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// A report older than this says nothing of now.
const YOUNG: Millis = 3_000;
/// Copies that were not heard of for so long are not counted as missing any more.
const KNOWN_FOR: Millis = 60_000;
/// Between two samples of a site's load, and how many are kept.
const SAMPLE_EACH: Millis = 500;
const SAMPLES: usize = 10;
/// Calls that must have ended at a site, over all copies, for a part of them to say anything.
const CALLS_LEAST: u64 = 5;
/// Calls that must have come, over all copies, for a part of them to say anything.
const ASKED_LEAST: u64 = 20;

/// What a copy has counted of one site.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SiteCounts {
    /// Attempts sent there.
    pub sent: u32,
    /// Attempts that were served.
    pub served: u32,
    /// Attempts that ended without any answer: no connection, a broken one, or silence.
    pub unanswered: u32,
    /// The part of its servers' capacity in use, in hundredths; over 100 if they don't tell.
    pub utilization_percent: u8,
    /// The part of its usual load that this copy gives it, in thousandths.
    pub fraction: u16,
}

/// What a copy has counted over some time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Whose.
    pub instance: Option<Instance>,
    /// How old it is when it is sent on, in milliseconds.
    pub age_ms: u32,
    /// Over how long it counts, in milliseconds.
    pub period_ms: u32,
    /// Calls of clients that came.
    pub requests: u32,
    /// Calls of clients that were refused.
    pub rejected: u32,
    /// By site.
    pub sites: BTreeMap<String, SiteCounts>,
}

/// All that was heard of lately.
#[derive(Clone, Debug, Default)]
pub struct LoadReports {
    /// By rank: two processes of one name are one copy here.
    heard: BTreeMap<u32, (LoadReport, Millis)>,
    /// What was sent to each site a second, newest last, sampled at the pace of the reports.
    samples: BTreeMap<String, VecDeque<f64>>,
    sampled_at: Millis,
}

impl LoadReports {
    /// Takes a report at `now`; what it tells may be older.
    pub fn take(&mut self, now: Millis, report: LoadReport) {
        let Some(copy) = report.instance else { return };
        let from = now.saturating_sub(u64::from(report.age_ms));
        if self.heard.get(&copy.rank).is_none_or(|(_, at)| *at < from) {
            self.heard.insert(copy.rank, (report, from));
        }
    }

    /// What is worth telling another keeper of some copies, with its age.
    pub fn share(&self, now: Millis, whose: impl Fn(Instance) -> bool) -> Vec<LoadReport> {
        let young = self.heard.values().filter(|(_, at)| now.saturating_sub(*at) < YOUNG);
        let own = young.filter(|(report, _)| report.instance.is_some_and(&whose));
        own.map(|(report, at)| LoadReport { age_ms: now.saturating_sub(*at) as u32, ..report.clone() })
            .collect()
    }

    /// What the steps of a shift go by. `trouble` is left to whoever knows of incidents.
    pub fn figures(&mut self, now: Millis) -> FleetLoad {
        self.heard.retain(|_, (_, at)| now.saturating_sub(*at) < KNOWN_FOR);
        let young: Vec<&LoadReport> = self.young(now).collect();
        let heard = young.len() as f64 / self.heard.len().max(1) as f64;
        let mut sites: BTreeMap<String, SiteLoad> = BTreeMap::new();
        let mut ended: BTreeMap<String, (f64, f64, f64, f64)> = BTreeMap::new();
        let mut parts: BTreeMap<String, Vec<u16>> = BTreeMap::new();
        for report in young {
            let per_s = 1_000.0 / f64::from(report.period_ms.max(1));
            for (site, counts) in &report.sites {
                parts.entry(site.clone()).or_default().push(counts.fraction);
                let load = sites.entry(site.clone()).or_default();
                load.sent += f64::from(counts.sent) * per_s;
                let (served, all, busy, told) = ended.entry(site.clone()).or_default();
                *served += f64::from(counts.served);
                *all += f64::from(counts.served + counts.unanswered);
                if counts.utilization_percent <= 100 {
                    *busy += f64::from(counts.utilization_percent) / 100.0;
                    *told += 1.0;
                }
            }
        }
        for (site, parts) in &mut parts {
            parts.sort_unstable();
            let three_in_four = (parts.len() * 3).div_ceil(4).max(1) - 1;
            if let (Some(load), Some(part)) = (sites.get_mut(site), parts.get(three_in_four)) {
                load.fraction = f64::from(*part) / 1_000.0;
            }
        }
        let sampled = now.saturating_sub(self.sampled_at) >= SAMPLE_EACH;
        if sampled {
            self.sampled_at = now;
        }
        for (site, load) in &mut sites {
            let samples = self.samples.entry(site.clone()).or_default();
            if sampled || samples.is_empty() {
                samples.push_back(load.sent);
                if samples.len() > SAMPLES {
                    samples.pop_front();
                }
            }
            let mean =
                |last: usize| samples.iter().rev().take(last).sum::<f64>() / samples.len().min(last) as f64;
            load.baseline = mean(SAMPLES).max(mean(SAMPLES / 2));
            load.sent = mean(2);
            let (served, all, busy, told) = ended[site];
            load.success_ratio = if all > 0.0 { served / all } else { 1.0 };
            load.utilization = (told > 0.0).then(|| busy / told);
        }
        FleetLoad { sites, reporting_ratio: heard, blocker: None }
    }

    fn young(&self, now: Millis) -> impl Iterator<Item = &LoadReport> {
        let young = move |at: Millis| now.saturating_sub(at) < YOUNG;
        self.heard.values().filter(move |(_, at)| young(*at)).map(|(report, _)| report)
    }

    /// What a coordinator goes by.
    pub fn facts(&self, now: Millis) -> Vec<Observation> {
        let (mut asked, mut refused) = (0, 0);
        let mut sites: BTreeMap<&String, (u64, u64)> = BTreeMap::new();
        for report in self.young(now) {
            asked += u64::from(report.requests);
            refused += u64::from(report.rejected);
            for (site, counts) in &report.sites {
                let (silent, ended) = sites.entry(site).or_default();
                *silent += u64::from(counts.unanswered);
                *ended += u64::from(counts.unanswered + counts.served);
            }
        }
        let mut facts = Vec::new();
        if asked >= ASKED_LEAST {
            let level = refused as f64 / asked as f64;
            facts.push(Observation { scope: Scope::Fleet, symptom: Symptom::Rejected, level });
        }
        for (site, (silent, ended)) in sites.into_iter().filter(|(_, (_, ended))| *ended >= CALLS_LEAST) {
            let level = silent as f64 / ended as f64;
            facts.push(Observation { scope: Scope::Site(site.clone()), symptom: Symptom::Unanswered, level });
        }
        facts
    }
}
