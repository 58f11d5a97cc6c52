//! The concurrency limiter: bounds the number of requests in flight. In the platform's reference design it is
//! the check of a FlowSlot node with thread grade (in flight + 1 <= limit). Here the limit is learned: it
//! rises additively while requests finish in time, and is reduced by a factor when they finish late or fail.
//!
//! The limit applies to an instance that gets an even share of the traffic; an instance with demand skew
//! admits the limit times its skew. If each instance learned a limit for its own traffic, all limits would
//! converge to the same value, and an instance with ten times the requests would reject nine in ten.

use crate::baseline::MIN_CONGESTED_RATIO;
use crate::Millis;

/// Limit of a new limiter before the endpoint list is known, and below the top tier: far above any real
/// limit, so that the limiter rejects nothing until it has learned.
pub(crate) const UNLEARNED_LIMIT: f64 = 10_000.0;
/// Multiple of its initial limit that a limiter admits before the first request has finished: clients that
/// connect all at once must not be rejected while there is no evidence of an overload.
const UNPROVEN_LIMIT_FACTOR: f64 = 2.0;
/// The lowest limit, in requests. It is below 1 because one request at each of many instances can be too much
/// for a small tier.
const MIN_LIMIT: f64 = 0.2;
/// A reduction sets the limit to this fraction of the recent peak of the requests in flight.
const REDUCTION_FACTOR: f64 = 0.75;
/// Fraction of the initial limit below which congestion alone does not reduce a limit: random fluctuation
/// must not close the limiter of a tier that is not overloaded.
const MIN_CONGESTED_LIMIT_FRACTION: f64 = 0.5;
/// Minimum weight of one sample in the smoothed latency ratio.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// Maximum weight of one sample: an instance with few requests must not reduce its limits on one failure.
const MAX_SAMPLE_WEIGHT: f64 = 0.06;
/// Additional weight that a sample may have if instances far outnumber the backends: with only a few requests
/// a second each, they would otherwise detect an overload only after it has slowed the backends down.
const SPARSE_SAMPLE_WEIGHT: f64 = 0.2;
/// Minimum rise of a limit for each round of timely answers in the steady state (after the first reduction),
/// as a fraction of the limit, so that large limits rise as fast as small ones.
const RISE_PER_ROUND: f64 = 0.1;
/// A limit that was never reduced rises faster by a factor of the initial limit divided by this number of
/// requests: with many answers in each round, an overload shows soon enough.
const LIMIT_PER_FAST_RISE: f64 = 10.0;
/// Minimum factor by which a limit that was never reduced rises faster.
const MIN_FAST_RISE: f64 = 2.0;
/// Maximum factor by which a limit that was never reduced rises faster.
const MAX_FAST_RISE: f64 = 10.0;
/// Utilization from which a timely answer raises a limit: answers at low utilization do not show that the
/// tier can serve more.
const MIN_UTILIZATION_TO_RAISE: f64 = 0.7;
/// Time constant with which the recent peak of the requests in flight decays, in milliseconds.
const PEAK_TIME_CONSTANT_MS: Millis = 2_000.0;
/// Time constant of the smoothed latency ratio, in milliseconds.
const RATIO_TIME_CONSTANT_MS: Millis = 500.0;

/// The latency ratios above which a limit is reduced.
#[derive(Clone, Copy)]
pub(crate) struct Thresholds {
    /// Threshold for lateness: requests finish close to or after their latency objective, or fail.
    pub(crate) late: f64,
    /// Threshold for congestion: requests take much longer than the baseline. Congestion alone reduces a
    /// limit only down to [`MIN_CONGESTED_LIMIT_FRACTION`] of its initial value.
    pub(crate) congested: f64,
}

/// The observation of one finished attempt.
#[derive(Clone, Copy)]
pub(crate) struct Sample {
    /// Clock time at which the attempt was sent.
    pub(crate) sent_at: Millis,
    /// Duration divided by the latency objective.
    pub(crate) latency_ratio: f64,
    /// The fraction of the full rise that the backend's spare CPU permits, from 0 to 1.
    pub(crate) headroom: f64,
    /// The factor by which this instance currently scales its limits.
    pub(crate) scale: f64,
    /// How far a limit may rise while the capacity of the tier is reduced, as a multiple of the limit at full
    /// capacity; `None` if the capacity is not reduced.
    pub(crate) max_limit_factor: Option<f64>,
}

/// A limit on the requests in flight, learned from the latency ratios of finished attempts.
pub(crate) struct ConcurrencyLimiter {
    limit: f64,
    initial_limit: f64,
    /// The limit when the tier last had its full capacity. While it has less, timely answers raise the limit
    /// only a little above this value.
    limit_at_full_capacity: f64,
    /// Backends per instance, at most 1. All instances start and raise their limits at the same time; if they
    /// outnumber the backends, one more request at each instance is many more requests per backend.
    backends_per_instance: f64,
    in_flight: f64,
    peak_in_flight: f64,
    latency_ratio: f64,
    /// Clock time at which the last attempt finished; `f64::MIN` before the first.
    updated_at: Millis,
    /// Clock time of the last reduction; `f64::MIN` if there was none.
    reduced_at: Millis,
}

impl ConcurrencyLimiter {
    /// Creates a limiter with the limit `initial_limit` and no samples.
    pub(crate) fn new(initial_limit: f64, backends_per_instance: f64) -> ConcurrencyLimiter {
        ConcurrencyLimiter {
            limit: initial_limit,
            initial_limit,
            limit_at_full_capacity: initial_limit,
            backends_per_instance,
            in_flight: 0.0,
            peak_in_flight: 0.0,
            latency_ratio: 0.0,
            updated_at: f64::MIN,
            reduced_at: f64::MIN,
        }
    }

    /// Returns the learned limit, in requests.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// Returns the smoothed latency ratio.
    pub(crate) fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// Returns the recent peak of the requests in flight.
    pub(crate) fn peak_in_flight(&self) -> f64 {
        self.peak_in_flight
    }

    /// Returns the number of backends per instance, at most 1.
    pub(crate) fn backends_per_instance(&self) -> f64 {
        self.backends_per_instance
    }

    /// Raises the initial limit after the tier turned out to be larger than known. A limit that was never
    /// reduced rises by the difference.
    pub(crate) fn raise_initial_limit(&mut self, initial_limit: f64) {
        if initial_limit > self.initial_limit && !self.was_reduced() {
            self.limit += initial_limit - self.initial_limit;
        }
        self.initial_limit = self.initial_limit.max(initial_limit);
    }

    /// Whether one more request may be sent under `scale` times the limit. `random` is a random number from 0
    /// to 1: the fractional part of the scaled limit is the probability of admitting one more request.
    pub(crate) fn admits(&self, scale: f64, random: f64) -> bool {
        let is_unproven = self.updated_at == f64::MIN;
        let factor = if is_unproven { self.interpolate(UNPROVEN_LIMIT_FACTOR, 1.0) } else { 1.0 };
        self.in_flight + 1.0 <= self.limit * scale * factor + random
    }

    /// Counts an attempt that is sent.
    pub(crate) fn on_send(&mut self) {
        self.in_flight += 1.0;
    }

    /// Counts an attempt that has ended.
    pub(crate) fn on_end(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Adjusts the limit after one finished attempt, which must still count as in flight. Returns whether the
    /// limit was reduced.
    pub(crate) fn learn(&mut self, now: Millis, sample: Sample, thresholds: Thresholds) -> bool {
        let elapsed = self.update_peak(now);
        // An attempt sent before the last reduction reflects load that was already reacted to; it must not
        // reduce the limit a second time.
        if sample.sent_at < self.reduced_at {
            return false;
        }
        let max_weight = MAX_SAMPLE_WEIGHT + SPARSE_SAMPLE_WEIGHT * (1.0 - self.backends_per_instance);
        let weight = (elapsed / RATIO_TIME_CONSTANT_MS).clamp(MIN_SAMPLE_WEIGHT, max_weight);
        self.latency_ratio += weight * (sample.latency_ratio - self.latency_ratio);
        let threshold = thresholds.late.min(thresholds.congested);
        if self.latency_ratio > threshold {
            self.reduce(now, sample, thresholds);
            return true;
        }
        if sample.latency_ratio <= threshold && self.is_in_use(sample.scale) {
            self.raise(sample, max_weight, threshold);
        }
        match sample.max_limit_factor {
            Some(factor) => {
                self.limit = self.limit.min(self.limit_at_full_capacity.max(self.initial_limit) * factor);
            }
            None => self.limit_at_full_capacity = self.limit,
        }
        false
    }

    /// Updates the recent peak of the requests in flight and returns the time since the last sample.
    /// The peak counts as the number in use, because an instance with few requests has almost none in flight
    /// most of the time. With the number at such a moment, a reduction would close its limiter, and a timely
    /// answer would not raise an open one.
    fn update_peak(&mut self, now: Millis) -> Millis {
        let elapsed = (now - self.updated_at).max(0.0);
        self.peak_in_flight =
            (self.peak_in_flight * (-elapsed / PEAK_TIME_CONSTANT_MS).exp()).max(self.in_flight);
        self.updated_at = now;
        elapsed
    }

    fn reduce(&mut self, now: Millis, sample: Sample, thresholds: Thresholds) {
        let is_late = self.latency_ratio > thresholds.late;
        let floor = if is_late { 0.0 } else { MIN_CONGESTED_LIMIT_FRACTION * self.initial_limit };
        self.reduced_at = now;
        self.latency_ratio = thresholds.late.min(thresholds.congested);
        let in_use = self.limit.min(self.peak_in_flight / sample.scale);
        self.limit = self.limit.min((in_use * REDUCTION_FACTOR).max(floor).max(MIN_LIMIT));
    }

    fn raise(&mut self, sample: Sample, max_weight: f64, threshold: f64) {
        // Until the first reduction there is no evidence of an overload, so the limit rises faster.
        let never_reduced = !self.was_reduced();
        let fast = if never_reduced {
            (self.initial_limit / LIMIT_PER_FAST_RISE).clamp(MIN_FAST_RISE, MAX_FAST_RISE)
        } else {
            1.0
        };
        // If instances outnumber the backends, the limit rises by at most a fraction of itself in the time
        // that the instance needs to detect an overload.
        let dense_step = RISE_PER_ROUND.max(1.0 / self.limit.max(1.0));
        let sparse_step = RISE_PER_ROUND * self.limit.max(self.backends_per_instance) * max_weight;
        let step = self.interpolate(fast, 1.0) * self.interpolate(dense_step, sparse_step.min(dense_step));
        // An instance with demand skew gets more answers in each round; dividing by the scale makes its limit
        // rise as fast as those of the others.
        self.limit += step / sample.scale * sample.headroom * (1.0 - self.latency_ratio / threshold);
        // A very fast answer shows that the tier has capacity for all requests in flight at the same time.
        if never_reduced && sample.latency_ratio <= MIN_CONGESTED_RATIO && sample.headroom >= 1.0 {
            self.limit = self.limit.max((self.peak_in_flight + 1.0) / sample.scale);
        }
    }

    fn is_in_use(&self, scale: f64) -> bool {
        let scaled = self.limit * scale;
        self.peak_in_flight >= (MIN_UTILIZATION_TO_RAISE * scaled).min(scaled - 1.0)
    }

    fn was_reduced(&self) -> bool {
        self.reduced_at != f64::MIN
    }

    /// Interpolates geometrically between the value for at least one backend per instance
    /// (`dense`) and the value for instances that far outnumber the backends (`sparse`).
    fn interpolate(&self, dense: f64, sparse: f64) -> f64 {
        dense.powf(self.backends_per_instance) * sparse.powf(1.0 - self.backends_per_instance)
    }
}
