//! Tenant quotas: whether a request is within its tenant's share. In the platform's reference design this is
//! the flow rule with an origin and QPS grade, which counts the requests that passed. A request beyond the
//! quota is not rejected for that alone: it needs burst capacity, which has a limiter of its own in the
//! admission control.

use crate::decay::DecayingSum;
use crate::{Millis, Settings};

/// Window over which a tenant's requests are compared with its quota, in milliseconds. It is long because
/// the requests of an instance with little traffic arrive in clusters, with which a tenant well within its
/// quota would exceed it in a short window.
const QUOTA_WINDOW_MS: Millis = 10_000.0;
/// Multiple of an even share of a quota that an instance grants, as clients do not spread load quite evenly.
const QUOTA_TOLERANCE: f64 = 1.1;
/// Upper bound of the granted requests in the fluctuation term, which must stay finite for unlimited quotas.
const MAX_FLUCTUATION_BASE_REQUESTS: f64 = 1e12;

/// The use of each tenant's quota at this instance.
pub(crate) struct TenantQuotas {
    used: Vec<DecayingSum>,
}

impl TenantQuotas {
    /// Creates unused quotas for this number of tenants.
    pub(crate) fn new(tenants: usize) -> TenantQuotas {
        TenantQuotas { used: (0..tenants).map(|_| DecayingSum::default()).collect() }
    }

    /// Marks all quotas as used up: with an empty window, a tenant could send a whole window's traffic at
    /// once.
    pub(crate) fn fill(&mut self, now: Millis, settings: &Settings) {
        for (used, tenant) in self.used.iter_mut().zip(&settings.tenants) {
            let share_per_s = tenant.quota_per_s / f64::from(settings.fleet_size);
            *used = DecayingSum::starting_at(share_per_s * QUOTA_WINDOW_MS / 1000.0, now);
        }
    }

    /// Whether one more request exceeds the tenant's quota at an instance with this demand skew. Only the top
    /// tier enforces quotas: below it, the tiers above have already spent work on the request. Rejected
    /// requests use no quota; otherwise the retries of their clients would exceed it.
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
        let share_per_s = tenant.quota_per_s / f64::from(settings.fleet_size) * QUOTA_TOLERANCE;
        let granted = share_per_s * QUOTA_WINDOW_MS / 1000.0;
        // Small request counts fluctuate: one standard deviation is granted on top, as otherwise much of the
        // quota would never be used.
        let fluctuation = (1.0 - backends_per_instance) * granted.min(MAX_FLUCTUATION_BASE_REQUESTS).sqrt();
        used.value(now, QUOTA_WINDOW_MS) + 1.0 / skew > (granted + fluctuation).max(1.0)
    }

    /// Counts a request within the quota that was sent, at an instance with this demand skew.
    pub(crate) fn record(&mut self, tenant: usize, now: Millis, skew: f64) {
        let amount = 1.0 / skew;
        if let Some(used) = self.used.get_mut(tenant) {
            used.add(now, QUOTA_WINDOW_MS, amount);
        }
    }
}
