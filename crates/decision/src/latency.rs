//! Latency statistics of a request class, learned from served requests.

use crate::Millis;

/// Weight of one request in the moving averages.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Moving averages of the latency, its deviation and the expected work of a class.
#[derive(Default)]
pub(crate) struct ClassLatency {
    /// Mean latency, in milliseconds; 0 until a request was served.
    pub(crate) mean: Millis,
    /// Mean absolute deviation from the mean, in milliseconds.
    pub(crate) deviation: Millis,
    /// Mean expected work, in milliseconds; 0 if requests do not state it.
    mean_work: Millis,
}

impl ClassLatency {
    /// Records the latency and the expected work (0 if unknown) of a served request.
    pub(crate) fn record(&mut self, latency: Millis, expected_work: Millis) {
        if self.mean == 0.0 {
            *self = ClassLatency { mean: latency, deviation: latency / 2.0, mean_work: expected_work };
        }
        self.deviation += SAMPLE_WEIGHT * ((latency - self.mean).abs() - self.deviation);
        self.mean += SAMPLE_WEIGHT * (latency - self.mean);
        self.mean_work += SAMPLE_WEIGHT * (expected_work - self.mean_work);
    }

    /// Returns the expected latency of a request with this expected work (0 if unknown). The result is 0
    /// until a request was served.
    pub(crate) fn expected(&self, expected_work: Millis) -> Millis {
        if expected_work > 0.0 && self.mean_work > 0.0 {
            self.mean * expected_work / self.mean_work
        } else {
            self.mean
        }
    }
}
