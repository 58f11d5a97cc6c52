//! What the latency ratio of a tier is while it is not overloaded. A ratio well above the baseline means a
//! queue that serves nothing sooner. The platform's design knows time-outs and failures only; the baseline is
//! an addition, as the first late answers come only after the backends are jammed.

use crate::Millis;

/// Times the baseline above which the tier's limits are reduced, where that is below the threshold for
/// lateness: a queue twice as long as normal serves no more, and servers that stay congested slow down for
/// good.
pub(crate) const CONGESTION_FACTOR: f64 = 1.5;
/// Latency ratio below which nothing counts as congested: where answers take so small a part of their latency
/// objective, a queue of that length does no damage, and what looks like one may be the resolution of a
/// clock.
pub(crate) const MIN_CONGESTED_RATIO: f64 = 0.02;
/// Samples over which the mean latency ratio is averaged.
const BASELINE_SAMPLES: f64 = 120.0;
/// Part per second by which a remembered minimum rises, so that it follows a tier that has changed.
const BASELINE_DRIFT_PER_S: f64 = 0.02;
/// The longest pause between samples over which a minimum rises, in milliseconds.
const MAX_DRIFT_MS: Millis = 1e4;

/// The lowest that the mean latency ratio of a tier has been, rising slowly.
#[derive(Default)]
pub(crate) struct LatencyBaseline {
    mean: f64,
    samples: f64,
    minimum: f64,
    updated_at: Millis,
}

impl LatencyBaseline {
    /// Whether there were enough samples to rely on.
    pub(crate) fn is_known(&self) -> bool {
        self.samples >= BASELINE_SAMPLES / 4.0
    }

    /// The baseline; 0 until it is known.
    pub(crate) fn ratio(&self) -> f64 {
        self.minimum
    }

    /// Takes the latency ratio of a finished request. Returns the ratio above which the tier is congested.
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

/// The lowest that the tier limiter's smoothed latency ratio has been, rising slowly.
#[derive(Default)]
pub(crate) struct MinimumRatio {
    minimum: f64,
    updated_at: Millis,
}

impl MinimumRatio {
    /// Takes the present smoothed ratio and returns the minimum.
    pub(crate) fn record(&mut self, now: Millis, latency_ratio: f64) -> f64 {
        self.minimum *= 1.0 + BASELINE_DRIFT_PER_S * (now - self.updated_at).min(MAX_DRIFT_MS) / 1000.0;
        self.updated_at = now;
        if self.minimum == 0.0 || latency_ratio < self.minimum {
            self.minimum = latency_ratio;
        }
        self.minimum
    }
}
