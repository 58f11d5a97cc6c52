//! Tenant quotas: whether a request is within its tenant's share. In the platform's design this is the rule
//! that names an origin, read by the requests that passed (QPS grade). A request beyond the quota is not
//! rejected for it: it must find burst capacity, for which the admission control has a limiter of its own.

use crate::decay::DecayingSum;
use crate::{Millis, Settings};

/// Window in which a tenant's requests are held against its quota, in milliseconds: long, as a sparse
/// instance's few requests come in clusters, and a tenant well within its quota would exceed it in a short
/// one.
const QUOTA_WINDOW_MS: Millis = 10_000.0;
/// Times its even part of a quota that an instance grants, as clients do not spread it quite evenly.
const QUOTA_TOLERANCE: f64 = 1.1;
/// Most requests in a window for which a random fluctuation is allowed: a quota without a bound has none.
const MAX_FLUCTUATING_REQUESTS: f64 = 1e12;

/// What each tenant has used of its quota at this instance.
pub(crate) struct TenantQuotas {
    used: Vec<DecayingSum>,
}

impl TenantQuotas {
    /// Unused quotas for so many tenants.
    pub(crate) fn new(tenants: usize) -> TenantQuotas {
        TenantQuotas { used: (0..tenants).map(|_| DecayingSum::default()).collect() }
    }

    /// Sets all quotas to used: a window that began empty would admit a whole window of a tenant's traffic at
    /// once.
    pub(crate) fn fill(&mut self, now: Millis, settings: &Settings) {
        for (used, tenant) in self.used.iter_mut().zip(&settings.tenants) {
            let part_per_s = tenant.quota_per_s / f64::from(settings.fleet_size);
            *used = DecayingSum::starting_at(part_per_s * QUOTA_WINDOW_MS / 1000.0, now);
        }
    }

    /// Whether one more request goes beyond the tenant's quota at an instance with so much demand skew. The
    /// top tier decides: below it the work of the tiers above is already spent. Requests that were rejected
    /// use no quota, or their clients' next attempts would exceed it.
    pub(crate) fn is_exceeded(
        &self,
        tenant: usize,
        now: Millis,
        settings: &Settings,
        backends_per_instance: f64,
        skew: f64,
    ) -> bool {
        let (Some(used), Some(tenant)) = (self.used.get(tenant), settings.tenants.get(tenant)) else {
            return false;
        };
        if settings.tier > 0 {
            return false;
        }
        let part_per_s = tenant.quota_per_s / f64::from(settings.fleet_size) * QUOTA_TOLERANCE;
        let granted = part_per_s * QUOTA_WINDOW_MS / 1000.0;
        // Few requests fluctuate: one standard deviation is granted beside, or much of a quota is never used.
        let fluctuation = (1.0 - backends_per_instance) * granted.min(MAX_FLUCTUATING_REQUESTS).sqrt();
        used.value(now, QUOTA_WINDOW_MS) + 1.0 / skew > (granted + fluctuation).max(1.0)
    }

    /// Counts a request within the quota that was sent, at an instance with so much demand skew.
    pub(crate) fn record(&mut self, tenant: usize, now: Millis, skew: f64) {
        let amount = 1.0 / skew;
        if let Some(used) = self.used.get_mut(tenant) {
            used.add(now, QUOTA_WINDOW_MS, amount);
        }
    }
}
