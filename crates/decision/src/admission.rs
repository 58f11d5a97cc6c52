//! Admission control: whether a request may be sent at all. As in the platform's design every request passes
//! a check of nodes before each send: the tier's, that of its class and, for traffic over its tenant's quota,
//! the one of the burst capacity. A request that would exceed one is rejected unsent. This module keeps these
//! limiters, gives them their initial limits, and decides from which latency ratio on each is reduced.

use crate::baseline::{LatencyBaseline, MinimumRatio, CONGESTION_FACTOR, MIN_CONGESTED_RATIO};
use crate::class_priority::ClassPriorities;
use crate::demand::INSTANCES_PER_SKEW;
use crate::limiter::{ConcurrencyLimiter, Sample, Thresholds, UNLEARNED_LIMIT};
use crate::request::PendingRequest;
use crate::{Millis, Settings, UnservedReason};

/// Initial limit of the top tier's limiters: requests for each listed backend, divided among the instances.
/// The first late answers come only after the backends are jammed.
const INITIAL_LIMIT_PER_BACKEND: f64 = 8.0;
/// The same where instances outnumber the backends: fewer for each backend ...
const SPARSE_INITIAL_LIMIT_PER_BACKEND: f64 = 5.0;
/// ... and, for random fluctuation, this many requests beside, less the sparser the instances are.
const MIN_INITIAL_LIMIT: f64 = 4.0;
/// Requests beyond quotas in flight that a new instance admits: capacity beyond the quotas must first be
/// proven, or all new instances together flood a tier that is just large enough for the quotas, before the
/// first answer.
const INITIAL_BURST_LIMIT: f64 = 1.0;
/// Latency ratio (time taken over latency objective, smoothed) above which a limit is reduced at the top tier
/// ...
pub(crate) const TOP_TIER_LATE_RATIO: f64 = 0.6;
/// ... there, for the tier and for classes of high priority, were all other traffic of lower priority: that
/// is shed first ...
const HIGH_PRIORITY_LATE_RATIO: f64 = 1.0;
/// ... and below the top tier: later, because work is already spent on a request that comes from a tier
/// above.
const LOWER_TIER_LATE_RATIO: f64 = 0.9;
/// How far from the lowest ratio to the objective the tier may go before burst capacity is taken back.
const BURST_LATENESS: f64 = 0.15;
/// Part of the tolerance of high priority classes for lateness that they also have for crowding.
const CONGESTION_TOLERANCE_FRACTION: f64 = 0.5;
/// Part of the tier's limit that classes of lower priority leave to the others, in a fleet of very many
/// instances: were it given to whoever comes first, requests of more weight would be rejected as often as
/// those of less. Where instances are few, limits are large, the last of them is seldom wanted, and stays
/// empty.
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
    /// Limiters for so many classes that have learned nothing.
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

    /// The tier's limiter.
    pub(crate) fn tier(&self) -> &ConcurrencyLimiter {
        &self.tier
    }

    /// The tier's baseline latency ratio; 0 until it is known.
    pub(crate) fn baseline_ratio(&self) -> f64 {
        self.baseline.ratio()
    }

    /// Whether the tier's latency ratio is known to be so many times its baseline.
    pub(crate) fn is_congested(&self, factor: f64) -> bool {
        let congested_ratio = (self.baseline.ratio() * factor).max(MIN_CONGESTED_RATIO);
        self.baseline.is_known() && self.tier.latency_ratio() > congested_ratio
    }

    /// Sets the top tier's initial limits by the backends listed. Returns whether these are the first.
    pub(crate) fn set_initial_limits(&mut self, backends: usize, settings: &Settings) -> bool {
        let backends_per_instance = backends as f64 / f64::from(settings.fleet_size);
        let density = backends_per_instance.min(1.0);
        let sparse_limit =
            SPARSE_INITIAL_LIMIT_PER_BACKEND * backends_per_instance + MIN_INITIAL_LIMIT * density * density;
        let initial_limit = (INITIAL_LIMIT_PER_BACKEND * backends_per_instance).max(sparse_limit);
        if self.tier.limit() < UNLEARNED_LIMIT {
            // The list known at the start may be old, and name but a part of the tier.
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

    /// The limiter that rejects a request, if one does. Limiters admit `scale` times their limits.
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

    /// The part of the tier's limit that is open to a class.
    fn open_fraction(&self, class: usize, fleet_size: u32) -> f64 {
        if !self.priorities.is_lower(class) {
            return 1.0;
        }
        let sparseness = (1.0 - INSTANCES_PER_SKEW / f64::from(fleet_size)).max(0.0);
        1.0 - RESERVED_FRACTION * sparseness
    }

    /// Counts a request that arrived.
    pub(crate) fn on_request(&mut self, now: Millis, class: usize) {
        self.priorities.record_offered(now, class);
    }

    /// Counts an attempt that is sent; `request` already counts it.
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

    /// Learns from a finished attempt. Returns whether the tier's limit was reduced.
    pub(crate) fn learn(&mut self, now: Millis, sample: Sample, settings: &Settings) -> bool {
        let is_top_tier = settings.tier == 0;
        if is_top_tier {
            self.priorities.evaluate(now, settings);
        }
        let (low_priority, high_priority) = self.thresholds(now, sample, is_top_tier);
        let was_reduced = self.tier.learn(now, sample, high_priority);
        // All classes learn from every request: one with a long objective would else never see the load it
        // makes.
        for (class, is_lower) in self.classes.iter_mut().zip(self.priorities.lower()) {
            class.learn(now, sample, if *is_lower { low_priority } else { high_priority });
        }
        let lowest = self.lowest_ratio.record(now, self.tier.latency_ratio());
        let late = lowest + BURST_LATENESS * (1.0 - lowest).max(0.0);
        self.burst.learn(now, sample, Thresholds { late, congested: f64::MAX });
        was_reduced
    }

    /// The thresholds of classes of lower priority, and those of the tier and all other classes.
    fn thresholds(&mut self, now: Millis, sample: Sample, is_top_tier: bool) -> (Thresholds, Thresholds) {
        let congested = self.baseline.record(now, sample.latency_ratio);
        // A tier that takes so long with little to do is not congested by it.
        let idle =
            if self.baseline.is_known() { (self.baseline.ratio() * CONGESTION_FACTOR).min(1.0) } else { 0.0 };
        if !is_top_tier {
            let both = Thresholds { late: LOWER_TIER_LATE_RATIO.max(idle), congested: f64::MAX };
            return (both, both);
        }
        // The more of the traffic has a lower priority, and can be shed first, the longer the rest may go on.
        let tolerance = (HIGH_PRIORITY_LATE_RATIO - TOP_TIER_LATE_RATIO) * self.priorities.lower_fraction();
        let low_priority = Thresholds { late: TOP_TIER_LATE_RATIO.max(idle), congested };
        let high_priority = Thresholds {
            late: (TOP_TIER_LATE_RATIO + tolerance).max(idle),
            congested: congested + CONGESTION_TOLERANCE_FRACTION * tolerance,
        };
        (low_priority, high_priority)
    }
}
