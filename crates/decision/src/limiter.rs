//! The concurrency limiter: how many requests may be in flight at once. In the platform's design it is the
//! check of a FlowSlot node under thread grade (in flight + 1 <= limit) with a limit that is learned: it
//! rises in steps while requests finish in time, and is reduced by a factor when they finish late or fail.
//!
//! The limit is for an instance that gets no more than an even part of the traffic; a skewed one admits as
//! many times more. Were limits learned for each instance as it is, all would settle alike, and an instance
//! with ten times the requests would reject nine in ten.

use crate::baseline::MIN_CONGESTED_RATIO;
use crate::Millis;

/// Requests in flight that a new limiter admits before the backend list is known and below the top tier: far
/// above any real limit, so that it rejects nothing until it has learned.
pub(crate) const UNLEARNED_LIMIT: f64 = 10_000.0;
/// Times its initial limit that a limiter admits before the first answer: nothing speaks against more yet,
/// and clients that all come at once must not be rejected on behalf of backends that have not been tried.
const UNPROVEN_LIMIT_FACTOR: f64 = 2.0;
/// The lowest limit, in requests: under one, as a request at each of many sparse instances is too much for a
/// small tier.
const MIN_LIMIT: f64 = 0.2;
/// Part of the requests in flight that a limiter admits after a reduction.
const REDUCTION_FACTOR: f64 = 0.75;
/// Part of the initial limit below which crowding alone does not reduce: a random fluctuation must not close
/// the limiter of a tier that is not overloaded.
const MIN_CONGESTED_LIMIT_FRACTION: f64 = 0.5;
/// The least weight of one sample in the smoothed latency ratio.
const MIN_SAMPLE_WEIGHT: f64 = 0.02;
/// The greatest weight of one sample: sparse instances must not reduce their limits on one failure.
const MAX_SAMPLE_WEIGHT: f64 = 0.06;
/// What a sample may weigh beside that where instances outnumber the backends by far: with a few requests a
/// second each, they would learn of an overload only once it has slowed the backends down.
const SPARSE_SAMPLE_WEIGHT: f64 = 0.2;
/// The least that a timely answer adds to a limit in the steady state, as a part of the limit for each round
/// of answers: large limits rise as fast as small ones.
const RISE_PER_ROUND: f64 = 0.1;
/// Initial limit, in requests, for each time by which a limit that was never reduced rises faster: many
/// answers a round show an overload soon enough.
const LIMIT_PER_FAST_RISE: f64 = 10.0;
/// The fewest times by which a limit that was never reduced rises faster.
const MIN_FAST_RISE: f64 = 2.0;
/// The most times by which a limit that was never reduced rises faster.
const MAX_FAST_RISE: f64 = 10.0;
/// Part of the limit in flight from which a timely answer raises it: an unused limit proves nothing.
const MIN_UTILIZATION_TO_RAISE: f64 = 0.7;
/// Time constant with which the peak of the requests in flight decays, in milliseconds.
const PEAK_TIME_CONSTANT_MS: Millis = 2_000.0;
/// Time constant of the smoothed latency ratio, in milliseconds.
const RATIO_TIME_CONSTANT_MS: Millis = 500.0;

/// The latency ratios above which a limit is reduced.
#[derive(Clone, Copy)]
pub(crate) struct Thresholds {
    /// As requests finish late or fail.
    pub(crate) late: f64,
    /// As requests take longer than the baseline; this alone reduces a limit only to a part of its initial
    /// value.
    pub(crate) congested: f64,
}

/// What one finished request shows.
#[derive(Clone, Copy)]
pub(crate) struct Sample {
    /// When it was sent.
    pub(crate) sent_at: Millis,
    /// Time taken over the latency objective.
    pub(crate) latency_ratio: f64,
    /// The part of a full rise that the backend's spare CPU permits, from 0 to 1.
    pub(crate) headroom: f64,
    /// How many times its limit this instance admits at present.
    pub(crate) scale: f64,
    /// While the tier has lost capacity: how many times its limit at full capacity a limit may rise to.
    pub(crate) max_limit_factor: Option<f64>,
}

/// A limit on the requests in flight, learned from how requests finish.
pub(crate) struct ConcurrencyLimiter {
    limit: f64,
    initial_limit: f64,
    /// The limit when the tier last had all of its capacity: until it has again, timely answers justify
    /// little more.
    limit_at_full_capacity: f64,
    /// Backends per instance, at most 1: how much of a backend the instance knows. All instances start and
    /// rise at once; where they outnumber the backends, each by a whole request would be many requests per
    /// backend.
    backends_per_instance: f64,
    in_flight: f64,
    peak_in_flight: f64,
    latency_ratio: f64,
    /// When the last request finished; `f64::MIN` before the first.
    updated_at: Millis,
    /// When the limit was last reduced; `f64::MIN` if never.
    reduced_at: Millis,
}

impl ConcurrencyLimiter {
    /// A limiter that starts with `initial_limit` and has learned nothing.
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

    /// The learned limit, in requests.
    pub(crate) fn limit(&self) -> f64 {
        self.limit
    }

    /// The smoothed latency ratio.
    pub(crate) fn latency_ratio(&self) -> f64 {
        self.latency_ratio
    }

    /// The recent peak of the requests in flight.
    pub(crate) fn peak_in_flight(&self) -> f64 {
        self.peak_in_flight
    }

    /// Backends per instance, at most 1.
    pub(crate) fn backends_per_instance(&self) -> f64 {
        self.backends_per_instance
    }

    /// Takes a higher initial limit, as the tier is larger than was known; one never reduced rises by the
    /// difference.
    pub(crate) fn raise_initial_limit(&mut self, initial_limit: f64) {
        if initial_limit > self.initial_limit && !self.was_reduced() {
            self.limit += initial_limit - self.initial_limit;
        }
        self.initial_limit = self.initial_limit.max(initial_limit);
    }

    /// Whether one more request may be sent, at `scale` times the limit. `random` is from 0 to 1: a fraction
    /// in the limit admits one more request with that probability.
    pub(crate) fn admits(&self, scale: f64, random: f64) -> bool {
        let is_unproven = self.updated_at == f64::MIN;
        let factor = if is_unproven { self.interpolate(UNPROVEN_LIMIT_FACTOR, 1.0) } else { 1.0 };
        self.in_flight + 1.0 <= self.limit * scale * factor + random
    }

    /// Counts a request that is sent.
    pub(crate) fn on_send(&mut self) {
        self.in_flight += 1.0;
    }

    /// Counts a request that has ended.
    pub(crate) fn on_end(&mut self) {
        self.in_flight -= 1.0;
    }

    /// Learns from one finished request, itself still counted as in flight. Returns whether the limit was
    /// reduced.
    pub(crate) fn learn(&mut self, now: Millis, sample: Sample, thresholds: Thresholds) -> bool {
        let elapsed = self.update_peak(now);
        // A request sent before the last reduction shows a load that was already reacted to: one cause, one
        // reduction.
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

    /// Follows the requests in flight; returns the time since the last sample. What is in use is a recent
    /// peak: an instance with few requests has next to none in flight at most moments, and a reduction from
    /// such a moment would close its limiter, or keep an open one from rising.
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
        // Until the first reduction the limit rises at least twice as fast: nothing speaks against it yet.
        let never_reduced = !self.was_reduced();
        let fast = if never_reduced {
            (self.initial_limit / LIMIT_PER_FAST_RISE).clamp(MIN_FAST_RISE, MAX_FAST_RISE)
        } else {
            1.0
        };
        // A sparse instance rises by a part of its limit in the time in which it would learn of an overload.
        let dense_step = RISE_PER_ROUND.max(1.0 / self.limit.max(1.0));
        let sparse_step = RISE_PER_ROUND * self.limit.max(self.backends_per_instance) * max_weight;
        let step = self.interpolate(fast, 1.0) * self.interpolate(dense_step, sparse_step.min(dense_step));
        // A skewed instance has as many more answers in each round, and rises as fast as the others.
        self.limit += step / sample.scale * sample.headroom * (1.0 - self.latency_ratio / threshold);
        // An answer that took next to none of its time proves capacity for all that was in flight with it.
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

    /// Between the value for an instance with backends enough of its own and that for one of very many
    /// instances.
    fn interpolate(&self, dense: f64, sparse: f64) -> f64 {
        dense.powf(self.backends_per_instance) * sparse.powf(1.0 - self.backends_per_instance)
    }
}
