//! What a run measured. Latency counts from the intended start of a client's first try, so that no wait is left out
//! (no coordinated omission); a call belongs to the second in which it was to start.

use super::side_effects::SideEffects;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

/// Seconds over which the worst stretch is looked for.
const WORST_OVER: usize = 10;
/// Longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// Seconds over which a tenant's worth is held against its share.
const QUOTA_WINDOW_SECONDS: usize = 5;

/// The tenants' quotas. Weight that a tenant requests or is served beyond its quota counts only in part; this is counted
/// over a window, not by request.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Weight per second; empty where there are no tenants.
    pub quotas: Vec<f64>,
    /// The part of the weight beyond a quota that counts.
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
    /// Answered; the latency counts from the intended start of the first attempt.
    Answered {
        /// In milliseconds.
        latency_ms: f64,
        /// Within the class's latency objective.
        in_aim: bool,
    },
    /// Rejected, at the last attempt.
    Rejected,
    /// Failed, or given up by its client.
    Failed,
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Requests that were to start in it.
    pub offered: u64,
    /// Answered within the latency objective.
    #[serde(rename = "in_aim")]
    pub within_objective: u64,
    /// Answered later.
    pub late: u64,
    /// Rejected.
    #[serde(rename = "refused")]
    pub rejected: u64,
    /// Failed, or given up by the client.
    pub failed: u64,
    /// Tries by clients, repeats among them, by the time of the try.
    #[serde(rename = "tries")]
    pub client_attempts: u64,
    /// Attempts of the first tier's proxies, by the time of the send.
    pub attempts: u64,
    /// Worth asked for.
    #[serde(rename = "worth")]
    pub offered_weight: f64,
    /// Worth answered within the aim.
    #[serde(rename = "earned")]
    pub served_weight: f64,
    /// What the first tier's machines can do, as a part of what they can when warm and sound; mean of the samples.
    pub capacity: f64,
    /// Machines of the first tier that are slower since they were crowded; the most in the second.
    pub choked: u64,
    /// Median latency of the answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Of each tenant: weight requested, and weight answered within the latency objective.
    #[serde(skip)]
    tenants: Vec<[f64; 2]>,
    #[serde(skip)]
    samples: u64,
    #[serde(skip)]
    latencies: Vec<f64>,
}

/// A run.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RunSummary {
    /// The cell of a sweep it belongs to; empty for a run that stands alone.
    #[serde(default)]
    pub cell: String,
    /// The policy's name.
    pub policy: String,
    /// The seed.
    pub seed: u64,
    /// Weight answered within the latency objective over the weight requested.
    pub service: f64,
    /// The same in the worst ten seconds.
    #[serde(rename = "worst")]
    pub worst_window: f64,
    /// Client requests.
    pub offered: u64,
    /// Answered late, as a part of the requests.
    pub late: f64,
    /// Rejected at the last attempt, as a part of the requests.
    #[serde(rename = "refused")]
    pub rejected: f64,
    /// Failed, or given up by the client.
    pub failed: f64,
    /// The part of client attempts rejected at the quarter of the first tier's proxies with most traffic ...
    #[serde(default)]
    #[serde(rename = "refused_hot")]
    pub rejected_hot: f64,
    /// ... and at the quarter with least.
    #[serde(default)]
    #[serde(rename = "refused_cool")]
    pub rejected_cool: f64,
    /// Client attempts per request.
    #[serde(rename = "tries")]
    pub client_attempts: f64,
    /// Attempts of all proxies per client request.
    pub attempts: f64,
    /// Mean latency of the responses, in milliseconds.
    pub mean_ms: f64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Times that a machine choked (turned slow under a long queue).
    pub chokes: u64,
    /// Attempts sent to a machine more than 2 s after the proxies were notified that it drains or is gone.
    pub late_sends: u64,
    /// Final responses beyond the first, and requests that a proxy left without one.
    #[serde(rename = "wrong_answers")]
    pub response_errors: u64,
    /// Side effects of all proxies together, where they were counted.
    #[serde(default)]
    #[serde(rename = "harm")]
    pub side_effects: SideEffects,
    /// Each second.
    pub seconds: Vec<Second>,
    #[serde(skip)]
    histogram: Option<Histogram<u64>>,
    /// Of each proxy of the first tier: client attempts that reached it, and those it rejected.
    #[serde(skip)]
    by_proxy: Vec<[u64; 2]>,
    #[serde(skip)]
    all_attempts: u64,
    #[serde(skip)]
    tenant_quotas: TenantQuotas,
}

impl RunSummary {
    /// The group of runs it belongs to: its policy, and its cell in a sweep.
    pub fn group(&self) -> String {
        match self.cell.is_empty() {
            true => self.policy.clone(),
            false => format!("{} {}", self.policy, self.cell),
        }
    }
}

impl RunSummary {
    /// Empty totals of a run of a length in milliseconds.
    pub fn new(policy: &str, seed: u64, length_ms: f64, shares: TenantQuotas) -> RunSummary {
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
                Second { tenants: vec![[0.0; 2]; shares.quotas.len().max(1)], ..Second::default() };
                seconds
            ],
            histogram: Histogram::new_with_max(LONGEST_US, 3).ok(),
            by_proxy: Vec::new(),
            all_attempts: 0,
            tenant_quotas: shares,
        }
    }

    fn second(&mut self, at_ms: f64) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at_ms / 1e3) as usize).min(last)]
    }

    /// A client request starts.
    pub fn record_request(&mut self, at_ms: f64, tenant: usize, weight: f64) {
        let second = self.second(at_ms);
        second.offered += 1;
        second.tenants[tenant][0] += weight;
    }

    /// A client starts an attempt.
    pub fn record_client_attempt(&mut self, at_ms: f64) {
        self.second(at_ms).client_attempts += 1;
    }

    fn at_proxy(&mut self, proxy: usize) -> &mut [u64; 2] {
        if self.by_proxy.len() <= proxy {
            self.by_proxy.resize(proxy + 1, [0; 2]);
        }
        &mut self.by_proxy[proxy]
    }

    /// A client's attempt reaches a proxy of the first tier.
    pub fn record_arrival_at(&mut self, proxy: usize) {
        self.at_proxy(proxy)[0] += 1;
    }

    /// Such a proxy rejects one.
    pub fn record_rejection_by(&mut self, proxy: usize) {
        self.at_proxy(proxy)[1] += 1;
    }

    /// Of each proxy of the first tier, by its number: client attempts that reached it, and those it rejected.
    pub(super) fn by_proxy(&self) -> &[[u64; 2]] {
        &self.by_proxy
    }

    /// Computes the parts rejected at the quarters of the proxies with most and with least traffic.
    fn compute_rejections_by_traffic(&mut self) {
        self.by_proxy.retain(|[came, _]| *came > 0);
        self.by_proxy.sort_unstable();
        let quarter = (self.by_proxy.len() / 4).max(1).min(self.by_proxy.len());
        let part = |proxies: &[[u64; 2]]| {
            let [came, refused] = [0, 1].map(|of| proxies.iter().map(|p| p[of]).sum::<u64>() as f64);
            refused / came.max(1.0)
        };
        self.rejected_cool = part(&self.by_proxy[..quarter]);
        self.rejected_hot = part(&self.by_proxy[self.by_proxy.len() - quarter..]);
    }

    /// A proxy sends an attempt.
    pub fn record_attempt(&mut self, at_ms: f64, tier: usize) {
        self.all_attempts += 1;
        if tier == 0 {
            self.second(at_ms).attempts += 1;
        }
    }

    /// A sample: the first tier's capacity as a part of its best, and its choked machines.
    pub fn record_capacity_sample(&mut self, at_ms: f64, capacity: f64, choked: u64) {
        let second = self.second(at_ms);
        second.samples += 1;
        second.capacity += (capacity - second.capacity) / second.samples as f64;
        second.choked = second.choked.max(choked);
    }

    /// A request ends, for its client.
    pub fn record_outcome(
        &mut self,
        first_at_ms: f64,
        (tenant, weight): (usize, f64),
        ended: RequestOutcome,
    ) {
        let second = self.second(first_at_ms);
        match ended {
            RequestOutcome::Answered { latency_ms, in_aim } => {
                if in_aim {
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

    /// Counts each tenant's weight up to its quota in each window, and spreads it evenly over the window's seconds.
    fn count_weight(&mut self) {
        let shares = std::mem::take(&mut self.tenant_quotas);
        for stretch in self.seconds.chunks_mut(QUOTA_WINDOW_SECONDS) {
            for tenant in 0..shares.quotas.len().max(1) {
                let part = [0, 1].map(|of| {
                    let worth: f64 = stretch.iter().map(|s| s.tenants[tenant][of]).sum();
                    shares.counted_weight(tenant, worth, stretch.len() as f64) / worth.max(1e-9)
                });
                for second in stretch.iter_mut() {
                    second.offered_weight += part[0] * second.tenants[tenant][0];
                    second.served_weight += part[1] * second.tenants[tenant][1];
                }
            }
        }
    }

    /// Computes the totals.
    pub fn into_summary(mut self, chokes: u64) -> RunSummary {
        self.chokes = chokes;
        self.count_weight();
        self.compute_rejections_by_traffic();
        let sum = |f: fn(&Second) -> f64| self.seconds.iter().map(f).sum::<f64>();
        let offered = sum(|s| s.offered as f64).max(1.0);
        let (late, rejected, failed) =
            (sum(|s| s.late as f64), sum(|s| s.rejected as f64), sum(|s| s.failed as f64));
        let (tries, earned, worth) = (
            sum(|s| s.client_attempts as f64),
            sum(|s| s.served_weight),
            sum(|s| s.offered_weight).max(1e-9),
        );
        self.offered = offered as u64;
        (self.late, self.rejected, self.failed) = (late / offered, rejected / offered, failed / offered);
        (self.client_attempts, self.attempts) = (tries / offered, self.all_attempts as f64 / offered);
        self.service = earned / worth;
        let part = |seconds: &[Second]| {
            let worth: f64 = seconds.iter().map(|s| s.offered_weight).sum();
            let earned: f64 = seconds.iter().map(|s| s.served_weight).sum();
            if worth > 0.0 {
                earned / worth
            } else {
                1.0
            }
        };
        let over = WORST_OVER.min(self.seconds.len());
        self.worst_window = self.seconds.windows(over).map(part).fold(1.0, f64::min);
        if let Some(histogram) = &self.histogram {
            self.mean_ms = histogram.mean() / 1e3;
            self.p50_ms = histogram.value_at_quantile(0.5) as f64 / 1e3;
            self.p99_ms = histogram.value_at_quantile(0.99) as f64 / 1e3;
        }
        for second in &mut self.seconds {
            second.latencies.sort_by(f64::total_cmp);
            let at = |part: f64| {
                let place = (part * second.latencies.len() as f64) as usize;
                second.latencies.get(place.min(second.latencies.len().saturating_sub(1))).copied()
            };
            (second.p50_ms, second.p99_ms) = (at(0.5).unwrap_or(0.0), at(0.99).unwrap_or(0.0));
        }
        self
    }
}
