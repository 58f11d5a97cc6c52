//! Admission control: whether a request may be sent at all. As in the platform's reference design, every
//! request is checked before each send by the limiter of the tier, by that of its class and, if it exceeds
//! its tenant's quota, by that of the burst capacity. A request that would exceed a limit is rejected unsent.
//! This module owns the limiters, sets their initial limits, and determines the latency ratios above which
//! they are reduced.

use crate::baseline::{LatencyBaseline, MinimumRatio, CONGESTION_FACTOR, MIN_CONGESTED_RATIO};
use crate::class_priority::ClassPriorities;
use crate::demand::INSTANCES_PER_SKEW;
use crate::limiter::{ConcurrencyLimiter, Sample, Thresholds, UNLEARNED_LIMIT};
use crate::request::PendingRequest;
use crate::{Millis, Settings, UnservedReason};

/// Initial limit of the top tier's limiters, in requests per listed backend, divided among the instances. It
/// is low because the first late answers arrive only after the backends are saturated.
const INITIAL_LIMIT_PER_BACKEND: f64 = 8.0;
/// The initial limit per backend if instances outnumber the backends; see also [`MIN_INITIAL_LIMIT`].
const SPARSE_INITIAL_LIMIT_PER_BACKEND: f64 = 5.0;
/// Requests added to [`SPARSE_INITIAL_LIMIT_PER_BACKEND`] to absorb random fluctuation, times the squared
/// number of backends per instance.
const MIN_INITIAL_LIMIT: f64 = 4.0;
/// Initial limit of an instance for requests in flight beyond their quotas, times the number of backends per
/// instance (at most 1). Capacity beyond the quotas must first show in answers; otherwise all new instances
/// together would flood a tier that is just large enough for the quotas before the first answer arrives.
const INITIAL_BURST_LIMIT: f64 = 1.0;
/// Smoothed latency ratio (duration divided by latency objective) above which a limit is reduced at the top
/// tier.
pub(crate) const TOP_TIER_LATE_RATIO: f64 = 0.6;
/// The same threshold for the tier's limiter and for classes of high priority if all other traffic had a
/// lower priority, which is shed first; with less of such traffic, the threshold lies between the two.
const HIGH_PRIORITY_LATE_RATIO: f64 = 1.0;
/// The same threshold below the top tier. It is higher because the tiers above have already spent work on the
/// request.
const LOWER_TIER_LATE_RATIO: f64 = 0.9;
/// Fraction of the way from the lowest latency ratio to the objective at which burst capacity is reduced.
const BURST_LATENESS: f64 = 0.15;
/// Fraction of the additional tolerance of high priority classes for lateness that also applies to
/// congestion.
const CONGESTION_TOLERANCE_FRACTION: f64 = 0.5;
/// Fraction of the tier's limit that is reserved for classes of higher priority in a very large fleet.
/// Without it, requests of high weight would be rejected as often as those of low weight. In a small fleet
/// the limits are large, so that a reserve would mostly stay unused.
const RESERVED_FRACTION: f64 = 0.5;

/// The limiters of one balancer.
pub(crate) struct AdmissionControl {
    tier: ConcurrencyLimiter,
    burst: ConcurrencyLimiter,
    classes: Vec<ConcurrencyLimiter>,
    priorities: ClassPriorities,
    baseline: LatencyBaseline,
    lowest_ratio: MinimumRatio,
}

impl AdmissionControl {
    /// Creates limiters without learned limits for this number of classes.
    pub(crate) fn new(classes: usize) -> AdmissionControl {
        AdmissionControl {
            tier: ConcurrencyLimiter::new(UNLEARNED_LIMIT, 1.0),
            burst: ConcurrencyLimiter::new(INITIAL_BURST_LIMIT, 1.0),
            classes: (0..classes).map(|_| ConcurrencyLimiter::new(UNLEARNED_LIMIT, 1.0)).collect(),
            priorities: ClassPriorities::new(classes),
            baseline: LatencyBaseline::default(),
            lowest_ratio: MinimumRatio::default(),
        }
    }

    /// Returns the limiter of the tier.
    pub(crate) fn tier(&self) -> &ConcurrencyLimiter {
        &self.tier
    }

    /// Returns the baseline latency ratio of the tier; 0 until it is known.
    pub(crate) fn baseline_ratio(&self) -> f64 {
        self.baseline.ratio()
    }

    /// Whether the tier's latency ratio is known to exceed its baseline by this factor.
    pub(crate) fn is_congested(&self, factor: f64) -> bool {
        let congested_ratio = (self.baseline.ratio() * factor).max(MIN_CONGESTED_RATIO);
        self.baseline.is_known() && self.tier.latency_ratio() > congested_ratio
    }

    /// Sets the initial limits at the top tier by the number of listed backends. Returns whether they were
    /// not set before.
    pub(crate) fn set_initial_limits(&mut self, backends: usize, settings: &Settings) -> bool {
        let backends_per_instance = backends as f64 / f64::from(settings.fleet_size);
        let density = backends_per_instance.min(1.0);
        let sparse_limit =
            SPARSE_INITIAL_LIMIT_PER_BACKEND * backends_per_instance + MIN_INITIAL_LIMIT * density * density;
        let initial_limit = (INITIAL_LIMIT_PER_BACKEND * backends_per_instance).max(sparse_limit);
        if self.tier.limit() < UNLEARNED_LIMIT {
            // The cached list may have been old and may have contained only a part of the tier.
            self.tier.raise_initial_limit(initial_limit);
            self.classes.iter_mut().for_each(|class| class.raise_initial_limit(initial_limit));
            return false;
        }
        self.tier = ConcurrencyLimiter::new(initial_limit, density);
        for class in &mut self.classes {
            *class = ConcurrencyLimiter::new(initial_limit, density);
        }
        self.burst = ConcurrencyLimiter::new(INITIAL_BURST_LIMIT * density, density);
        true
    }

    /// Returns the reason for which a limiter rejects the request, if one does. Limits are multiplied by
    /// `scale`.
    pub(crate) fn check(
        &self,
        request: &PendingRequest,
        scale: f64,
        random: f64,
        fleet_size: u32,
    ) -> Option<UnservedReason> {
        if request.exceeds_quota && !self.burst.admits(scale, random) {
            return Some(UnservedReason::TenantQuota);
        }
        if !self.tier.admits(scale * self.open_fraction(request.class, fleet_size), random) {
            return Some(UnservedReason::TierLimit);
        }
        let is_admitted = self.classes[request.class].admits(scale, random);
        (!is_admitted).then_some(UnservedReason::ClassLimit)
    }

    /// Returns the fraction of the tier's limit that is available to a class.
    fn open_fraction(&self, class: usize, fleet_size: u32) -> f64 {
        if !self.priorities.is_lower(class) {
            return 1.0;
        }
        let sparseness = (1.0 - INSTANCES_PER_SKEW / f64::from(fleet_size)).max(0.0);
        1.0 - RESERVED_FRACTION * sparseness
    }

    /// Counts a request that arrived towards the offered traffic of its class, from which the priorities of
    /// classes are derived.
    pub(crate) fn on_request(&mut self, now: Millis, class: usize) {
        self.priorities.record_offered(now, class);
    }

    /// Counts an attempt that is sent; `request.attempts` must already include it.
    pub(crate) fn on_send(&mut self, now: Millis, request: &PendingRequest) {
        self.tier.on_send();
        self.classes[request.class].on_send();
        if request.attempts == 1 {
            self.priorities.record_admitted(now, request.class);
        }
        if request.exceeds_quota {
            self.burst.on_send();
        }
    }

    /// Counts an attempt that has ended.
    pub(crate) fn on_attempt_end(&mut self, request: &PendingRequest) {
        self.tier.on_end();
        self.classes[request.class].on_end();
        if request.exceeds_quota {
            self.burst.on_end();
        }
    }

    /// Adjusts the limits after a finished attempt. Returns whether the tier's limit was reduced.
    pub(crate) fn learn(&mut self, now: Millis, sample: Sample, settings: &Settings) -> bool {
        let is_top_tier = settings.tier == 0;
        if is_top_tier {
            self.priorities.evaluate(now, settings);
        }
        let (low_priority, high_priority) = self.thresholds(now, sample, is_top_tier);
        let was_reduced = self.tier.learn(now, sample, high_priority);
        // All classes learn from every request; otherwise a class with a long latency objective would never
        // notice the load that it causes.
        for (class, is_lower) in self.classes.iter_mut().zip(self.priorities.lower()) {
            class.learn(now, sample, if *is_lower { low_priority } else { high_priority });
        }
        let lowest = self.lowest_ratio.record(now, self.tier.latency_ratio());
        let late = lowest + BURST_LATENESS * (1.0 - lowest).max(0.0);
        self.burst.learn(now, sample, Thresholds { late, congested: f64::MAX });
        was_reduced
    }

    /// Returns the thresholds for classes of lower priority, and those for the tier and all other classes.
    fn thresholds(&mut self, now: Millis, sample: Sample, is_top_tier: bool) -> (Thresholds, Thresholds) {
        let congested = self.baseline.record(now, sample.latency_ratio);
        // Latencies that the tier also has at low load are no sign of lateness.
        let idle =
            if self.baseline.is_known() { (self.baseline.ratio() * CONGESTION_FACTOR).min(1.0) } else { 0.0 };
        if !is_top_tier {
            let both = Thresholds { late: LOWER_TIER_LATE_RATIO.max(idle), congested: f64::MAX };
            return (both, both);
        }
        // The larger the fraction of traffic that can be shed first, the later the rest is limited.
        let tolerance = (HIGH_PRIORITY_LATE_RATIO - TOP_TIER_LATE_RATIO) * self.priorities.lower_fraction();
        let low_priority = Thresholds { late: TOP_TIER_LATE_RATIO.max(idle), congested };
        let high_priority = Thresholds {
            late: (TOP_TIER_LATE_RATIO + tolerance).max(idle),
            congested: congested + CONGESTION_TOLERANCE_FRACTION * tolerance,
        };
        (low_priority, high_priority)
    }
}
