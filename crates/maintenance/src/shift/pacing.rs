//! Sizes, intervals and limits of a traffic shift and of the restoration after it.

use crate::{Millis, TrafficFraction};

/// Sizes, intervals and limits of a traffic shift and of the restoration after it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftPacing {
    /// The largest step in either direction, in thousandths of the usual traffic.
    pub max_step: TrafficFraction,
    /// The minimum time between two steps, in milliseconds, so that the effect of a step can be observed.
    pub step_interval: Millis,
    /// A site counts as empty at or below this fraction of its usual request rate; from 0 to 1.
    pub empty_ratio: f64,
    /// The fraction of the instances whose reports must be recent, from 0 to 1.
    pub min_reporting_ratio: f64,
    /// The fraction of its requests that a site must serve for its traffic to count as served; from 0 to 1.
    pub min_success_ratio: f64,
    /// How long each instance takes to raise a site's traffic from none to all, in milliseconds. See
    /// [`crate::traffic::TrafficRamp`].
    pub ramp_duration: Millis,
    /// A site counts as restored at or above this fraction of its usual request rate, averaged over a few
    /// seconds.
    pub restored_ratio: f64,
    /// How much longer than `ramp_duration` the wait after a step may last before the return is overdue, in
    /// milliseconds.
    pub return_grace: Millis,
}

impl Default for ShiftPacing {
    /// Eight steps, at least 1 s apart. A site is empty at 0.5% of its usual rate and restored at 80%; its
    /// ramp takes 30 s. Reports of 75% of the instances are required, and sites must serve 90% of their
    /// requests.
    fn default() -> ShiftPacing {
        ShiftPacing {
            max_step: 125,
            step_interval: 1_000,
            empty_ratio: 0.005,
            min_reporting_ratio: 0.75,
            min_success_ratio: 0.9,
            ramp_duration: 30_000,
            restored_ratio: 0.8,
            return_grace: 10_000,
        }
    }
}
