//! The baseline: the latency ratio of a tier that is not overloaded. A ratio well above the baseline means
//! that requests queue at the backends without being served any sooner. The platform's reference design
//! reacts only to timeouts and failures; the baseline is an addition, because the first late answers arrive
//! only after the backends are saturated.

use crate::Millis;

/// Multiple of the baseline above which the tier's limits are reduced, if that is below the threshold for
/// lateness. A queue twice as long as normal serves no more requests, and backends that stay congested slow
/// down permanently.
pub(crate) const CONGESTION_FACTOR: f64 = 1.5;
/// Latency ratio below which a tier never counts as congested: if answers take so small a fraction of their
/// latency objective, the queue does no harm, and it may only be an artifact of the clock resolution.
pub(crate) const MIN_CONGESTED_RATIO: f64 = 0.02;
/// Number of samples over which the mean latency ratio is averaged.
const BASELINE_SAMPLES: f64 = 120.0;
/// Fraction per second by which a recorded minimum rises, so that it adapts to a tier that has changed.
const BASELINE_DRIFT_PER_S: f64 = 0.02;
/// The longest interval between two samples for which a minimum rises, in milliseconds.
const MAX_DRIFT_MS: Millis = 1e4;

/// The minimum of the mean latency ratio of a tier, which rises slowly over time.
#[derive(Default)]
pub(crate) struct LatencyBaseline {
    mean: f64,
    samples: f64,
    minimum: f64,
    updated_at: Millis,
}

impl LatencyBaseline {
    /// Whether enough samples were recorded for a reliable baseline.
    pub(crate) fn is_known(&self) -> bool {
        self.samples >= BASELINE_SAMPLES / 4.0
    }

    /// Returns the baseline; 0 until it is known.
    pub(crate) fn ratio(&self) -> f64 {
        self.minimum
    }

    /// Records the latency ratio of a finished attempt. Returns the ratio above which the tier is congested.
    pub(crate) fn record(&mut self, now: Millis, latency_ratio: f64) -> f64 {
        self.samples = (self.samples + 1.0).min(BASELINE_SAMPLES);
        self.mean += (latency_ratio - self.mean) / self.samples;
        self.minimum *=
            1.0 + BASELINE_DRIFT_PER_S * (now - self.updated_at).clamp(0.0, MAX_DRIFT_MS) / 1000.0;
        self.updated_at = now;
        if !self.is_known() {
            return f64::MAX;
        }
        self.minimum = if self.minimum == 0.0 { self.mean } else { self.minimum.min(self.mean) };
        (self.minimum * CONGESTION_FACTOR).max(MIN_CONGESTED_RATIO)
    }
}

/// The minimum of the tier limiter's smoothed latency ratio, which rises slowly over time.
#[derive(Default)]
pub(crate) struct MinimumRatio {
    minimum: f64,
    updated_at: Millis,
}

impl MinimumRatio {
    /// Records the current smoothed ratio and returns the minimum.
    pub(crate) fn record(&mut self, now: Millis, latency_ratio: f64) -> f64 {
        self.minimum *= 1.0 + BASELINE_DRIFT_PER_S * (now - self.updated_at).min(MAX_DRIFT_MS) / 1000.0;
        self.updated_at = now;
        if self.minimum == 0.0 || latency_ratio < self.minimum {
            self.minimum = latency_ratio;
        }
        self.minimum
    }
}
