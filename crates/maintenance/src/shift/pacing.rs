//! The pace of a shift and of the way back.

use crate::{Millis, TrafficFraction};

/// The pace of a shift.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShiftPacing {
    /// The largest step, in thousandths of the usual traffic.
    pub max_step: TrafficFraction,
    /// The minimum time between two steps, for their effect to be observed; in milliseconds.
    pub step_interval: Millis,
    /// A site counts as empty at or below this fraction of its usual traffic.
    pub empty_ratio: f64,
    /// The fraction of the instances whose reports must be recent.
    pub min_reporting_ratio: f64,
    /// The fraction of requests that the other sites must serve.
    pub min_success_ratio: f64,
    /// How long each instance takes to raise a site's traffic from none to all, in milliseconds.
    pub ramp_duration: Millis,
    /// A site has its load back at this fraction of its usual traffic or more, over a few seconds.
    pub restored_ratio: f64,
    /// How much longer than its ramp a site's return may take before it is given up as overdue, in milliseconds.
    pub return_grace: Millis,
}

impl Default for ShiftPacing {
    /// Eight steps of one second each; half a percent of the traffic left; reports of three in four instances; nine in ten
    /// requests served. A site takes 30 s to come back, and has its load at four fifths of what is usual.
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
