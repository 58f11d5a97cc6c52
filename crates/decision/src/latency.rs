//! The latencies of each request class, learned from the requests served.

use crate::Millis;

/// Weight of one request in the averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Mean and mean deviation of a class's latencies, and the mean of its requests' expected work.
#[derive(Default)]
pub(crate) struct ClassLatency {
    /// In milliseconds; 0 until a request was served.
    pub(crate) mean: Millis,
    /// Mean absolute deviation from the mean, in milliseconds.
    pub(crate) deviation: Millis,
    /// Mean expected work, in milliseconds; 0 where no request carries it.
    mean_work: Millis,
}

impl ClassLatency {
    /// Takes the latency of a request served and its expected work, 0 where unknown.
    pub(crate) fn record(&mut self, latency: Millis, expected_work: Millis) {
        if self.mean == 0.0 {
            *self = ClassLatency { mean: latency, deviation: latency / 2.0, mean_work: expected_work };
        }
        self.deviation += SAMPLE_WEIGHT * ((latency - self.mean).abs() - self.deviation);
        self.mean += SAMPLE_WEIGHT * (latency - self.mean);
        self.mean_work += SAMPLE_WEIGHT * (expected_work - self.mean_work);
    }

    /// The latency to expect of a request with so much expected work, 0 where unknown.
    pub(crate) fn expected(&self, expected_work: Millis) -> Millis {
        if expected_work > 0.0 && self.mean_work > 0.0 {
            self.mean * expected_work / self.mean_work
        } else {
            self.mean
        }
    }
}
