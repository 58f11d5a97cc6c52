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
const SHARE_OVER: usize = 5;

/// The tenants' shares. Worth that a tenant asks for, or is served, beyond its share counts as a part of it only; it
/// is not single calls that lie beyond.
#[derive(Clone, Debug, Default)]
pub struct TenantQuotas {
    /// Worth a second; empty where there are no tenants.
    pub quotas: Vec<f64>,
    /// The part that counts of what goes beyond.
    pub beyond: f64,
}

impl TenantQuotas {
    fn counted(&self, tenant: usize, worth: f64, seconds: f64) -> f64 {
        let share = self.quotas.get(tenant).map_or(f64::MAX, |quota| quota * seconds);
        worth.min(share) + self.beyond * (worth - share).max(0.0)
    }
}

/// How a call ended for its client.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RequestOutcome {
    /// Answered; the latency is from the first try's intended start.
    Answered {
        /// In milliseconds.
        latency_ms: f64,
        /// Within the class's aim.
        in_aim: bool,
    },
    /// Turned away, at the last try.
    Refused,
    /// Failed, or given up by its client.
    Failed,
}

/// One second of a run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Second {
    /// Calls that were to start in it.
    pub offered: u64,
    /// Answered within the aim.
    pub in_aim: u64,
    /// Answered later.
    pub late: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed, or given up by the client.
    pub failed: u64,
    /// Tries by clients, repeats among them, by the time of the try.
    pub tries: u64,
    /// Attempts of the first tier's proxies, by the time of the send.
    pub attempts: u64,
    /// Worth asked for.
    pub worth: f64,
    /// Worth answered within the aim.
    pub earned: f64,
    /// What the first tier's machines can do, as a part of what they can when warm and sound; mean of the samples.
    pub capacity: f64,
    /// Machines of the first tier that are slower since they were crowded; the most in the second.
    pub choked: u64,
    /// Median latency of the answers, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// Of each tenant: worth asked for, and worth answered within the aim.
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
    /// Worth answered within the aim over the worth asked for.
    pub service: f64,
    /// The same in the worst ten seconds.
    pub worst: f64,
    /// Calls.
    pub offered: u64,
    /// Parts of the calls.
    pub late: f64,
    /// Turned away at the last try.
    pub refused: f64,
    /// Failed, or given up by the client.
    pub failed: f64,
    /// Of the tries at the quarter of the first tier's proxies that got most of them, the part refused ...
    #[serde(default)]
    pub refused_hot: f64,
    /// ... and at the quarter that got fewest.
    #[serde(default)]
    pub refused_cool: f64,
    /// Tries for each call.
    pub tries: f64,
    /// Attempts of all proxies for each call.
    pub attempts: f64,
    /// Mean latency of the answers, in milliseconds.
    pub mean_ms: f64,
    /// Median latency, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile, in milliseconds.
    pub p99_ms: f64,
    /// How often a machine choked.
    pub chokes: u64,
    /// Sends to a machine more than 2 s after the proxy was told that it drains or is gone.
    pub late_sends: u64,
    /// Final answers beyond the first, and calls that a proxy left without one.
    pub wrong_answers: u64,
    /// What the proxies did in the sum, where that was counted.
    #[serde(default)]
    pub harm: SideEffects,
    /// Each second.
    pub seconds: Vec<Second>,
    #[serde(skip)]
    histogram: Option<Histogram<u64>>,
    /// Of each proxy before the first tier: tries that came to it, and tries it refused.
    #[serde(skip)]
    by_proxy: Vec<[u64; 2]>,
    #[serde(skip)]
    all_attempts: u64,
    #[serde(skip)]
    shares: TenantQuotas,
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
    /// An empty one of a run that is so long.
    pub fn new(policy: &str, seed: u64, length_ms: f64, shares: TenantQuotas) -> RunSummary {
        let seconds = (length_ms / 1e3).ceil().max(1.0) as usize;
        RunSummary {
            cell: String::new(),
            policy: policy.to_string(),
            seed,
            service: 0.0,
            worst: 0.0,
            offered: 0,
            late: 0.0,
            refused: 0.0,
            failed: 0.0,
            refused_hot: 0.0,
            refused_cool: 0.0,
            tries: 0.0,
            attempts: 0.0,
            mean_ms: 0.0,
            p50_ms: 0.0,
            p99_ms: 0.0,
            chokes: 0,
            late_sends: 0,
            wrong_answers: 0,
            harm: SideEffects::default(),
            seconds: vec![
                Second { tenants: vec![[0.0; 2]; shares.quotas.len().max(1)], ..Second::default() };
                seconds
            ],
            histogram: Histogram::new_with_max(LONGEST_US, 3).ok(),
            by_proxy: Vec::new(),
            all_attempts: 0,
            shares,
        }
    }

    fn second(&mut self, at_ms: f64) -> &mut Second {
        let last = self.seconds.len() - 1;
        &mut self.seconds[((at_ms / 1e3) as usize).min(last)]
    }

    /// A call sets out.
    pub fn asked(&mut self, at_ms: f64, tenant: usize, worth: f64) {
        let second = self.second(at_ms);
        second.offered += 1;
        second.tenants[tenant][0] += worth;
    }

    /// A client makes a try.
    pub fn tried(&mut self, at_ms: f64) {
        self.second(at_ms).tries += 1;
    }

    fn at_proxy(&mut self, proxy: usize) -> &mut [u64; 2] {
        if self.by_proxy.len() <= proxy {
            self.by_proxy.resize(proxy + 1, [0; 2]);
        }
        &mut self.by_proxy[proxy]
    }

    /// A try comes to a proxy before the first tier.
    pub fn came_to(&mut self, proxy: usize) {
        self.at_proxy(proxy)[0] += 1;
    }

    /// Such a proxy refuses one.
    pub fn refused_by(&mut self, proxy: usize) {
        self.at_proxy(proxy)[1] += 1;
    }

    /// Of each proxy before the first tier, by its number: tries that came to it, and tries it refused.
    pub(super) fn by_proxy(&self) -> &[[u64; 2]] {
        &self.by_proxy
    }

    /// The parts refused at the proxies with most and with fewest tries, a quarter of them each.
    fn compare_proxies(&mut self) {
        self.by_proxy.retain(|[came, _]| *came > 0);
        self.by_proxy.sort_unstable();
        let quarter = (self.by_proxy.len() / 4).max(1).min(self.by_proxy.len());
        let part = |proxies: &[[u64; 2]]| {
            let [came, refused] = [0, 1].map(|of| proxies.iter().map(|p| p[of]).sum::<u64>() as f64);
            refused / came.max(1.0)
        };
        self.refused_cool = part(&self.by_proxy[..quarter]);
        self.refused_hot = part(&self.by_proxy[self.by_proxy.len() - quarter..]);
    }

    /// A proxy sends an attempt.
    pub fn sent(&mut self, at_ms: f64, tier: usize) {
        self.all_attempts += 1;
        if tier == 0 {
            self.second(at_ms).attempts += 1;
        }
    }

    /// What the first tier can do now, as a part of what it can do at best, and how many of its machines are choked.
    pub fn looked(&mut self, at_ms: f64, capacity: f64, choked: u64) {
        let second = self.second(at_ms);
        second.samples += 1;
        second.capacity += (capacity - second.capacity) / second.samples as f64;
        second.choked = second.choked.max(choked);
    }

    /// A call ends, for its client.
    pub fn ended(&mut self, first_at_ms: f64, (tenant, worth): (usize, f64), ended: RequestOutcome) {
        let second = self.second(first_at_ms);
        match ended {
            RequestOutcome::Answered { latency_ms, in_aim } => {
                if in_aim {
                    second.in_aim += 1;
                    second.tenants[tenant][1] += worth;
                } else {
                    second.late += 1;
                }
                second.latencies.push(latency_ms);
                if let Some(histogram) = &mut self.histogram {
                    histogram.saturating_record((latency_ms * 1e3) as u64);
                }
            }
            RequestOutcome::Refused => second.refused += 1,
            RequestOutcome::Failed => second.failed += 1,
        }
    }

    /// Counts each tenant's worth as far as its share goes, over some seconds at a time, and spreads it over them.
    fn count_worth(&mut self) {
        let shares = std::mem::take(&mut self.shares);
        for stretch in self.seconds.chunks_mut(SHARE_OVER) {
            for tenant in 0..shares.quotas.len().max(1) {
                let part = [0, 1].map(|of| {
                    let worth: f64 = stretch.iter().map(|s| s.tenants[tenant][of]).sum();
                    shares.counted(tenant, worth, stretch.len() as f64) / worth.max(1e-9)
                });
                for second in stretch.iter_mut() {
                    second.worth += part[0] * second.tenants[tenant][0];
                    second.earned += part[1] * second.tenants[tenant][1];
                }
            }
        }
    }

    /// Sums up what was told.
    pub fn close(mut self, chokes: u64) -> RunSummary {
        self.chokes = chokes;
        self.count_worth();
        self.compare_proxies();
        let sum = |f: fn(&Second) -> f64| self.seconds.iter().map(f).sum::<f64>();
        let offered = sum(|s| s.offered as f64).max(1.0);
        let (late, refused, failed) =
            (sum(|s| s.late as f64), sum(|s| s.refused as f64), sum(|s| s.failed as f64));
        let (tries, earned, worth) = (sum(|s| s.tries as f64), sum(|s| s.earned), sum(|s| s.worth).max(1e-9));
        self.offered = offered as u64;
        (self.late, self.refused, self.failed) = (late / offered, refused / offered, failed / offered);
        (self.tries, self.attempts) = (tries / offered, self.all_attempts as f64 / offered);
        self.service = earned / worth;
        let part = |seconds: &[Second]| {
            let worth: f64 = seconds.iter().map(|s| s.worth).sum();
            let earned: f64 = seconds.iter().map(|s| s.earned).sum();
            if worth > 0.0 {
                earned / worth
            } else {
                1.0
            }
        };
        let over = WORST_OVER.min(self.seconds.len());
        self.worst = self.seconds.windows(over).map(part).fold(1.0, f64::min);
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
