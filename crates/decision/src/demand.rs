//! Demand skew: the traffic of this instance as a multiple of an even share of all traffic. The platform's
//! reference design assumes that each instance sees enough requests to learn from them alone; a learned limit
//! would then not follow traffic that moves between instances. Instances exchange no state, but all of them
//! know the tenants' quotas, whose sum is close to what the tier can serve.

use crate::decay::DecayingSum;
use crate::{Millis, Settings, Tenant};

/// Time constant over which the demand on this instance is averaged, in milliseconds; the skew follows moving
/// traffic within a few seconds.
const DEMAND_TIME_CONSTANT_MS: Millis = 3_000.0;
/// Minimum age assumed for a new instance's average, in milliseconds; over a shorter time it is mostly
/// random.
const MIN_DEMAND_AGE_MS: Millis = 500.0;
/// Time between two evaluations, in milliseconds.
const EVALUATION_INTERVAL_MS: Millis = 20.0;
/// Multiple of an even share up to which demand is no evidence of skew, as all instances may get as much.
const MIN_SKEW: f64 = 1.5;
/// Multiple of an even share from which demand is certain evidence of skew.
const CERTAIN_SKEW: f64 = 2.5;
/// Number of standard deviations by which demand may exceed [`MIN_SKEW`] at an instance with few requests and
/// still be no evidence of skew.
const RANDOM_DEVIATIONS: f64 = 2.0;
/// The skew is at most the number of instances divided by this; a fleet of up to this many instances is
/// small. There each instance has enough traffic to learn its limits well and can overload the tier by
/// itself.
pub(crate) const INSTANCES_PER_SKEW: f64 = 8.0;
/// Multiple of the baseline latency ratio above which the skew follows a rise of demand slowly.
pub(crate) const SLOW_RISE_CONGESTION_FACTOR: f64 = 1.2;
/// Time over which the skew follows a rise of demand at a congested tier, in milliseconds. Traffic that moves
/// between instances does not congest the tier; a burst at all instances does, and must not raise the limits
/// of all instances at once.
const SLOW_RISE_MS: Millis = 10_000.0;
/// Multiple of the tenants' median demand up to which the demand of one tenant counts.
const MAX_TENANT_DEMAND: f64 = 2.0;

/// The demand of one tenant at this instance.
struct TenantDemand {
    /// Demand divided by an even share of the tenant's quota.
    ratio: f64,
    /// An even share of the tenant's quota, in requests per averaging window.
    even_share: f64,
}

/// The demand skew of this instance, at least 1, and the traffic that it is derived from.
pub(crate) struct DemandSkew {
    skew: f64,
    evaluated_at: Millis,
    first_request_at: Option<Millis>,
    /// Recent requests of each tenant, without those that clients marked as retries: a rejection must not
    /// lead to a higher limit.
    offered: Vec<DecayingSum>,
}

impl DemandSkew {
    /// Creates a skew of 1 for this number of tenants.
    pub(crate) fn new(tenants: usize) -> DemandSkew {
        DemandSkew {
            skew: 1.0,
            evaluated_at: f64::MIN,
            first_request_at: None,
            offered: (0..tenants).map(|_| DecayingSum::default()).collect(),
        }
    }

    /// Returns the traffic of this instance as a multiple of an even share, at least 1.
    pub(crate) fn value(&self) -> f64 {
        self.skew
    }

    /// Counts a request that is not marked as a retry.
    pub(crate) fn record(&mut self, now: Millis, tenant: usize) {
        if let Some(offered) = self.offered.get_mut(tenant) {
            offered.add(now, DEMAND_TIME_CONSTANT_MS, 1.0);
        }
    }

    /// Whether the next evaluation is due.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now - self.evaluated_at >= EVALUATION_INTERVAL_MS
    }

    /// Derives the skew from the recent demand. `is_congested` says whether the tier's latency ratio is well
    /// above its baseline.
    pub(crate) fn evaluate(
        &mut self,
        now: Millis,
        settings: &Settings,
        backends_per_instance: f64,
        is_congested: bool,
    ) {
        let elapsed = (now - self.evaluated_at).min(SLOW_RISE_MS);
        self.evaluated_at = now;
        let mut demands = self.tenant_demands(now, settings);
        demands.sort_by(|a, b| a.ratio.total_cmp(&b.ratio));
        let total: f64 = demands.iter().map(|demand| demand.even_share).sum();
        // The burst of one tenant must not raise the limits: its demand counts only up to a multiple of the
        // median demand.
        let max_ratio = median_ratio(&demands, total).map_or(0.0, |ratio| MAX_TENANT_DEMAND * ratio);
        let offered: f64 = demands.iter().map(|demand| demand.ratio.min(max_ratio) * demand.even_share).sum();
        let ratio = Some(offered / total).filter(|ratio| ratio.is_finite()).unwrap_or(1.0);
        // If an even share is only a few requests, random fluctuation can look like skew.
        let fluctuation = (1.0 - backends_per_instance) * RANDOM_DEVIATIONS / total.max(1.0).sqrt();
        let certainty = (ratio - MIN_SKEW - fluctuation) / (CERTAIN_SKEW - MIN_SKEW);
        let max_skew = f64::from(settings.fleet_size) / INSTANCES_PER_SKEW;
        let skew = (1.0 + certainty * (CERTAIN_SKEW - 1.0)).min(ratio).min(max_skew).max(1.0);
        let step = if skew > self.skew && is_congested { elapsed / SLOW_RISE_MS } else { 1.0 };
        self.skew += (skew - self.skew) * step;
    }

    /// Returns the demand of each tenant that has a quota.
    fn tenant_demands(&mut self, now: Millis, settings: &Settings) -> Vec<TenantDemand> {
        // The decaying sum started empty, so it covers less than a full window at first.
        let age = now - *self.first_request_at.get_or_insert(now);
        let window =
            DEMAND_TIME_CONSTANT_MS * (1.0 - (-age.max(MIN_DEMAND_AGE_MS) / DEMAND_TIME_CONSTANT_MS).exp());
        let instances = f64::from(settings.fleet_size);
        let even_share = |tenant: &Tenant| tenant.quota_per_s / instances * window / 1000.0;
        let with_quota =
            self.offered.iter().zip(&settings.tenants).filter(|(_, tenant)| even_share(tenant) > 0.0);
        with_quota
            .map(|(offered, tenant)| TenantDemand {
                ratio: offered.value(now, DEMAND_TIME_CONSTANT_MS) / even_share(tenant),
                even_share: even_share(tenant),
            })
            .collect()
    }
}

/// Returns the median ratio of `demands`, which are sorted by ratio, weighted by their even shares, whose sum
/// is `total`.
fn median_ratio(demands: &[TenantDemand], total: f64) -> Option<f64> {
    let mut below = 0.0;
    let median = demands.iter().find(|demand| {
        below += demand.even_share;
        below >= total / 2.0
    });
    median.map(|demand| demand.ratio)
}
