//! Results of a run. Latency counts from the intended start of a client's first attempt, so that no wait is
//! left out (no coordinated omission). A request is counted in the second in which it was to start.

use super::side_effects::SideEffects;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Length of the window of [`RunSummary::worst_window`], in seconds.
const WORST_WINDOW_SECONDS: usize = 10;
/// Latencies above this are recorded as this value, in microseconds.
const MAX_LATENCY_US: u64 = 600_000_000;

/// Window in which a tenant's weight is compared with its quota.
const QUOTA_WINDOW_SECONDS: usize = 5;

/// The tenants' quotas. Weight that a tenant requests, or is served, beyond its quota within a window counts
/// only in part.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Each tenant's quota in weight per second; empty if there are no tenants.
    pub quotas: Vec<f64>,
    /// Fraction that counts of the weight beyond a quota.
    pub over_quota_weight: f64,
}

impl TenantQuotas {
    fn counted_weight(&self, tenant: usize, weight: f64, seconds: f64) -> f64 {
        let quota = self.quotas.get(tenant).map_or(f64::MAX, |quota| quota * seconds);
        weight.min(quota) + self.over_quota_weight * (weight - quota).max(0.0)
    }
}

/// How a request ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// The client got a response with status 200.
    Answered {
        /// Milliseconds from the intended start of the first attempt.
        latency_ms: f64,
        /// Whether that is within the class's latency objective.
        within_objective: bool,
    },
    /// The last attempt was rejected.
    Rejected,
    /// The last attempt failed or timed out at the client.
    Failed,
}

/// Results for one second of a run. Serialized names are those of stored runs.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Client requests that were to start in this second.
    pub offered: u64,
    /// Requests answered within the latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Requests answered after the latency objective.
    pub late: u64,
    /// Requests whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Requests that failed or timed out at the client.
    pub failed: u64,
    /// Client attempts that started in this second, retries included.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Attempts that the first tier's proxies sent in this second.
    pub attempts: u64,
    /// Weight of the requests, as far as it counts under the tenants' quotas.
    #[serde(rename = "worth")]
    pub offered_weight: f64,
    /// Weight answered within the latency objective, as far as it counts under the tenants' quotas.
    #[serde(rename = "earned")]
    pub served_weight: f64,
    /// Capacity of the first tier's machines as a fraction of their capacity when warm and healthy; mean of
    /// the samples.
    pub capacity: f64,
    /// Maximum number of choked machines in the first tier over the samples of this second.
    pub choked: u64,
    /// Median latency of the answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the answered requests, in milliseconds.
    pub p99_ms: f64,
    /// For each tenant, the weight requested and the weight answered within the latency objective.
    #[serde(skip)]
    tenants: Vec<[f64; 2]>,
    #[serde(skip)]
    samples: u64,
    #[serde(skip)]
    latencies: Vec<f64>,
}

/// Results of a run. Serialized names are those of stored runs.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunSummary {
    /// The cell of the results table that the run belongs to: a cell of a sweep or of a stability map, or a
    /// recorded day. Empty for a run that stands alone.
    #[serde(default)]
    pub cell: String,
    /// Name of the policy.
    pub policy: String,
    /// The seed of the run.
    pub seed: u64,
    /// Service: the weight answered within the latency objective, as a fraction of the weight requested.
    pub service: f64,
    /// The lowest service in any ten consecutive seconds.
    #[serde(rename = "worst")]
    pub worst_window: f64,
    /// Number of client requests.
    pub offered: u64,
    /// Fraction of the requests answered after the latency objective.
    pub late: f64,
    /// Fraction of the requests whose last attempt was rejected.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Fraction of the requests that failed or timed out at the client.
    pub failed: f64,
    /// Fraction of client attempts rejected by the quarter of the first tier's proxies with the most traffic.
    #[serde(default, rename = "refused_hot")]
    pub rejected_hot: f64,
    /// Fraction of client attempts rejected by the quarter of the first tier's proxies with the least
    /// traffic.
    #[serde(default, rename = "refused_cool")]
    pub rejected_cool: f64,
    /// Client attempts per client request.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Attempts of all proxies per client request.
    pub attempts: f64,
    /// Mean latency of the answered requests, in milliseconds.
    pub mean_ms: f64,
    /// Median latency of the answered requests, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the latency of the answered requests, in milliseconds.
    pub p99_ms: f64,
    /// How often a machine became choked, that is, slow after it was saturated.
    pub chokes: u64,
    /// Attempts sent to a machine more than 2 s after the proxies were notified that it drains or is gone.
    pub late_sends: u64,
    /// Number of responses to a request beyond its first, and of requests that a proxy never answered.
    #[serde(rename = "wrong_answers")]
    pub response_errors: u64,
    /// Side effects of all proxies together; zero where they were not counted.
    #[serde(default, rename = "harm")]
    pub side_effects: SideEffects,
    /// The results of each second.
    pub seconds: Vec<Second>,
    #[serde(skip)]
    histogram: Option<Histogram<u64>>,
    /// For each first-tier proxy, the client attempts that reached it and those that it rejected.
    #[serde(skip)]
    by_proxy: Vec<[u64; 2]>,
    #[serde(skip)]
    all_attempts: u64,
    #[serde(skip)]
    tenant_quotas: TenantQuotas,
}

impl RunSummary {
    /// The name of the group of runs that this run belongs to: its policy, and its cell in a sweep.
    pub fn group(&self) -> String {
        match self.cell.is_empty() {
            true => self.policy.clone(),
            false => format!("{} {}", self.policy, self.cell),
        }
    }
}

impl RunSummary {
    /// Creates an empty summary of a run; [`RunSummary::finish`] computes the totals.
    pub fn new(policy: &str, seed: u64, length_ms: f64, tenant_quotas: TenantQuotas) -> RunSummary {
        let seconds = (length_ms / 1e3).ceil().max(1.0) as usize;
        RunSummary {
            cell: String::new(),
            policy: policy.to_string(),
            seed,
            service: 0.0,
            worst_window: 0.0,
            offered: 0,
            late: 0.0,
            rejected: 0.0,
            failed: 0.0,
            rejected_hot: 0.0,
            rejected_cool: 0.0,
            client_attempts: 0.0,
            attempts: 0.0,
            mean_ms: 0.0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            chokes: 0,
            late_sends: 0,
            response_errors: 0,
            side_effects: SideEffects::default(),
            seconds: vec![
                Second {
                    tenants: vec![[0.0; 2]; tenant_quotas.quotas.len().max(1)],
                    ..Second::default()
                };
                seconds
            ],
            histogram: Histogram::new_with_max(MAX_LATENCY_US, 3).ok(),
            by_proxy: Vec::new(),
            all_attempts: 0,
            tenant_quotas,
        }
    }

    fn second(&mut self, at_ms: f64) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at_ms / 1e3) as usize).min(last)]
    }

    /// Records the start of a client request.
    pub fn record_request(&mut self, at_ms: f64, tenant: usize, weight: f64) {
        let second = self.second(at_ms);
        second.offered += 1;
        second.tenants[tenant][0] += weight;
    }

    /// Records the start of a client's attempt.
    pub fn record_client_attempt(&mut self, at_ms: f64) {
        self.second(at_ms).client_attempts += 1;
    }

    fn at_proxy(&mut self, proxy: usize) -> &mut [u64; 2] {
        if self.by_proxy.len() <= proxy {
            self.by_proxy.resize(proxy + 1, [0; 2]);
        }
        &mut self.by_proxy[proxy]
    }

    /// Records that a client's attempt reaches a first-tier proxy.
    pub fn record_arrival_at(&mut self, proxy: usize) {
        self.at_proxy(proxy)[0] += 1;
    }

    /// Records that a first-tier proxy rejects a client's attempt.
    pub fn record_rejection_by(&mut self, proxy: usize) {
        self.at_proxy(proxy)[1] += 1;
    }

    /// For each first-tier proxy, by its number: the client attempts that reached it and those that it
    /// rejected.
    pub(super) fn by_proxy(&self) -> &[[u64; 2]] {
        &self.by_proxy
    }

    /// Computes the rejected fractions of the quarters of the proxies with the most and with the least
    /// traffic.
    fn compute_rejections_by_traffic(&mut self) {
        self.by_proxy.retain(|[arrived, _]| *arrived > 0);
        self.by_proxy.sort_unstable();
        let quarter = (self.by_proxy.len() / 4).max(1).min(self.by_proxy.len());
        let rejected_fraction = |proxies: &[[u64; 2]]| {
            let [arrived, rejected] = [0, 1].map(|of| proxies.iter().map(|p| p[of]).sum::<u64>() as f64);
            rejected / arrived.max(1.0)
        };
        self.rejected_cool = rejected_fraction(&self.by_proxy[..quarter]);
        self.rejected_hot = rejected_fraction(&self.by_proxy[self.by_proxy.len() - quarter..]);
    }

    /// Records that a proxy in front of a tier sends an attempt.
    pub fn record_attempt(&mut self, at_ms: f64, tier: usize) {
        self.all_attempts += 1;
        if tier == 0 {
            self.second(at_ms).attempts += 1;
        }
    }

    /// Records a sample of the first tier: its capacity as a fraction of the healthy capacity, and its choked
    /// machines.
    pub fn record_capacity_sample(&mut self, at_ms: f64, capacity: f64, choked: u64) {
        let second = self.second(at_ms);
        second.samples += 1;
        second.capacity += (capacity - second.capacity) / second.samples as f64;
        second.choked = second.choked.max(choked);
    }

    /// Records how a client request ended, in the second of its intended start.
    pub fn record_outcome(
        &mut self,
        started_at_ms: f64,
        (tenant, weight): (usize, f64),
        outcome: RequestOutcome,
    ) {
        let second = self.second(started_at_ms);
        match outcome {
            RequestOutcome::Answered { latency_ms, within_objective } => {
                if within_objective {
                    second.within_objective += 1;
                    second.tenants[tenant][1] += weight;
                } else {
                    second.late += 1;
                }
                second.latencies.push(latency_ms);
                if let Some(histogram) = &mut self.histogram {
                    histogram.saturating_record((latency_ms * 1e3) as u64);
                }
            }
            RequestOutcome::Rejected => second.rejected += 1,
            RequestOutcome::Failed => second.failed += 1,
        }
    }

    /// Counts each tenant's weight up to its quota in each window, and spreads it evenly over the window's
    /// seconds.
    fn count_weight(&mut self) {
        let quotas = std::mem::take(&mut self.tenant_quotas);
        for window in self.seconds.chunks_mut(QUOTA_WINDOW_SECONDS) {
            for tenant in 0..quotas.quotas.len().max(1) {
                let counted = [0, 1].map(|of| {
                    let weight: f64 = window.iter().map(|s| s.tenants[tenant][of]).sum();
                    quotas.counted_weight(tenant, weight, window.len() as f64) / weight.max(1e-9)
                });
                for second in window.iter_mut() {
                    second.offered_weight += counted[0] * second.tenants[tenant][0];
                    second.served_weight += counted[1] * second.tenants[tenant][1];
                }
            }
        }
    }

    /// Computes the totals at the end of a run.
    pub fn finish(mut self, chokes: u64) -> RunSummary {
        self.chokes = chokes;
        self.count_weight();
        self.compute_rejections_by_traffic();
        let sum = |f: fn(&Second) -> f64| self.seconds.iter().map(f).sum::<f64>();
        let offered = sum(|s| s.offered as f64).max(1.0);
        let (late, rejected, failed) =
            (sum(|s| s.late as f64), sum(|s| s.rejected as f64), sum(|s| s.failed as f64));
        let client_attempts = sum(|s| s.client_attempts as f64);
        let (served, weight) = (sum(|s| s.served_weight), sum(|s| s.offered_weight).max(1e-9));
        self.offered = offered as u64;
        (self.late, self.rejected, self.failed) = (late / offered, rejected / offered, failed / offered);
        (self.client_attempts, self.attempts) =
            (client_attempts / offered, self.all_attempts as f64 / offered);
        self.service = served / weight;
        let service = |seconds: &[Second]| {
            let weight: f64 = seconds.iter().map(|s| s.offered_weight).sum();
            let served: f64 = seconds.iter().map(|s| s.served_weight).sum();
            if weight > 0.0 {
                served / weight
            } else {
                1.0
            }
        };
        let window = WORST_WINDOW_SECONDS.min(self.seconds.len());
        self.worst_window = self.seconds.windows(window).map(service).fold(1.0, f64::min);
        if let Some(histogram) = &self.histogram {
            self.mean_ms = histogram.mean() / 1e3;
            self.p50_ms = histogram.value_at_quantile(0.5) as f64 / 1e3;
            self.p99_ms = histogram.value_at_quantile(0.99) as f64 / 1e3;
        }
        for second in &mut self.seconds {
            second.latencies.sort_by(f64::total_cmp);
            let quantile = |fraction: f64| {
                let place = (fraction * second.latencies.len() as f64) as usize;
                second.latencies.get(place.min(second.latencies.len().saturating_sub(1))).copied()
            };
            (second.p50_ms, second.p99_ms) = (quantile(0.5).unwrap_or(0.0), quantile(0.99).unwrap_or(0.0));
        }
        self
    }
}
