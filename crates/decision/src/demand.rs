//! Demand skew: how many times an even part of the traffic this instance gets. The platform's design assumes
//! that each instance sees enough requests and learns from them alone; a learned limit would then never
//! follow traffic that moves between instances. Instances learn nothing from each other, but all know the
//! tenants' quotas, and those are much like what the tier can serve.

use crate::decay::DecayingSum;
use crate::{Millis, Settings, Tenant};

/// Time constant over which the demand on this instance is averaged, in milliseconds: traffic that moves is
/// followed within a few seconds.
const DEMAND_TIME_CONSTANT_MS: Millis = 3_000.0;
/// Age from which a new instance's average counts, in milliseconds: less is random.
const MIN_DEMAND_AGE_MS: Millis = 500.0;
/// Time between two evaluations, in milliseconds.
const EVALUATION_INTERVAL_MS: Millis = 20.0;
/// Times an even part up to which demand proves no skew, as all instances may get as much.
const MIN_SKEW: f64 = 1.5;
/// Times an even part from which an instance is skewed for certain.
const CERTAIN_SKEW: f64 = 2.5;
/// Standard deviations of a sparse instance's few requests above an even part that prove no skew.
const RANDOM_DEVIATIONS: f64 = 2.0;
/// Instances for each part of skew at most, and up to which a fleet is small. In a small fleet each instance
/// has enough of the traffic to learn its own limits well, and overloads the tier by itself.
pub(crate) const INSTANCES_PER_SKEW: f64 = 8.0;
/// Times the tier's baseline above which a rise of the skew is followed slowly.
pub(crate) const SLOW_RISE_CONGESTION_FACTOR: f64 = 1.2;
/// Time over which a rise is followed slowly, in milliseconds. Traffic that moves between instances leaves
/// the tier as it is; a burst at all instances crowds it, and must not raise all limits at once.
const SLOW_RISE_MS: Millis = 10_000.0;
/// Times the median demand of the tenants up to which one tenant's own demand counts.
const MAX_TENANT_DEMAND: f64 = 2.0;

/// The demand of one tenant at this instance.
struct TenantDemand {
    /// Demand over an even part of the tenant's quota.
    ratio: f64,
    /// An even part of the quota, in requests of the window.
    even_share: f64,
}

/// The skew of this instance, at least 1, and what it is derived from.
pub(crate) struct DemandSkew {
    skew: f64,
    evaluated_at: Millis,
    first_request_at: Option<Millis>,
    /// First attempts of each tenant. Clients' retries are left out where they are marked: rejecting must not
    /// raise the limits.
    offered: Vec<DecayingSum>,
}

impl DemandSkew {
    /// No skew, for so many tenants.
    pub(crate) fn new(tenants: usize) -> DemandSkew {
        DemandSkew {
            skew: 1.0,
            evaluated_at: f64::MIN,
            first_request_at: None,
            offered: (0..tenants).map(|_| DecayingSum::default()).collect(),
        }
    }

    /// How many times an even part of the traffic this instance gets, at least 1.
    pub(crate) fn value(&self) -> f64 {
        self.skew
    }

    /// Counts a request that a client sent for the first time.
    pub(crate) fn record(&mut self, now: Millis, tenant: usize) {
        if let Some(offered) = self.offered.get_mut(tenant) {
            offered.add(now, DEMAND_TIME_CONSTANT_MS, 1.0);
        }
    }

    /// Whether the skew is to be evaluated again.
    pub(crate) fn is_due(&self, now: Millis) -> bool {
        now - self.evaluated_at >= EVALUATION_INTERVAL_MS
    }

    /// Derives the skew from the recent demand. `is_congested` says whether the tier's latencies are above
    /// normal.
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
        // Nor must one tenant's flood raise the limits: what it demands beyond the other tenants does not
        // count.
        let max_ratio = median_ratio(&demands, total).map_or(0.0, |ratio| MAX_TENANT_DEMAND * ratio);
        let offered: f64 = demands.iter().map(|demand| demand.ratio.min(max_ratio) * demand.even_share).sum();
        let ratio = Some(offered / total).filter(|ratio| ratio.is_finite()).unwrap_or(1.0);
        // Where an even part is a few requests, random fluctuation makes it look like more now and then.
        let fluctuation = (1.0 - backends_per_instance) * RANDOM_DEVIATIONS / total.max(1.0).sqrt();
        let certainty = (ratio - MIN_SKEW - fluctuation) / (CERTAIN_SKEW - MIN_SKEW);
        let max_skew = f64::from(settings.fleet_size) / INSTANCES_PER_SKEW;
        let skew = (1.0 + certainty * (CERTAIN_SKEW - 1.0)).min(ratio).min(max_skew).max(1.0);
        let step = if skew > self.skew && is_congested { elapsed / SLOW_RISE_MS } else { 1.0 };
        self.skew += (skew - self.skew) * step;
    }

    /// The demand of each tenant that has a quota.
    fn tenant_demands(&mut self, now: Millis, settings: &Settings) -> Vec<TenantDemand> {
        // What a window that began empty contains by now of a steady rate.
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

/// The median of demands sorted by ratio, weighted by their even parts, whose sum is `total`.
fn median_ratio(demands: &[TenantDemand], total: f64) -> Option<f64> {
    let mut below = 0.0;
    let median = demands.iter().find(|demand| {
        below += demand.even_share;
        below >= total / 2.0
    });
    median.map(|demand| demand.ratio)
}
