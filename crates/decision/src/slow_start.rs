//! Slow start: how many requests a backend that has just started may get. As in the platform's reference
//! design, a new backend starts with a low weight, which follows the ramp prescribed by [`Rules`]. In
//! addition, a token bucket keeps this instance within its share of the rate that would overload the backend.

use crate::{Millis, Rules};

/// Fraction of its share of a slow start budget that this instance uses at most; the rest covers random
/// bursts.
const USABLE_BUDGET_FRACTION: f64 = 0.5;
/// Fraction of a window's requests to a backend in slow start that can be saved up for a burst.
const SAVED_FRACTION: f64 = 0.25;
/// Requests a second that all instances together may always send to a backend in slow start.
const MIN_FLEET_RATE_PER_S: f64 = 2.0;

/// Returns the fraction of its capacity that a backend is guaranteed to have at `now`, from 0 to 1.
pub(crate) fn ready_fraction(started_at: Option<Millis>, now: Millis, rules: &Rules) -> f64 {
    match started_at {
        Some(start) if now - start < rules.warmup_ms => {
            let progress = ((now - start) / rules.warmup_ms).max(0.0);
            rules.warmup_start_fraction + (1.0 - rules.warmup_start_fraction) * progress
        }
        _ => 1.0,
    }
}

/// The token bucket of this instance for one backend in slow start; one token is one request.
pub(crate) struct SlowStartBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl SlowStartBudget {
    /// Creates a bucket with this number of tokens at `now`.
    pub(crate) fn new(tokens: f64, now: Millis) -> SlowStartBudget {
        SlowStartBudget { tokens, refilled_at: now }
    }

    /// Takes one token for a request that is sent.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Refills the bucket and returns whether it holds a token. `capacity_rate` is the rate at which the
    /// backend is estimated to serve requests of this instance by now, in requests a second, derived from the
    /// served rate of other backends: what all instances together get served is a lower bound of what a
    /// backend can serve. `instances` is the size of the fleet, and `process_fraction` the fraction of the
    /// instance's budget that belongs to this process.
    pub(crate) fn refill(
        &mut self,
        now: Millis,
        rules: &Rules,
        capacity_rate: f64,
        instances: f64,
        process_fraction: f64,
    ) -> bool {
        let min_rate = MIN_FLEET_RATE_PER_S / instances;
        let rate_per_s =
            process_fraction * USABLE_BUDGET_FRACTION * rules.overload_multiple * capacity_rate.max(min_rate);
        let elapsed = (now - self.refilled_at).clamp(0.0, rules.overload_window_ms);
        self.refilled_at = now;
        // Saved tokens and refilled tokens together must stay within the budget of any one window.
        let max_tokens = (rate_per_s * rules.overload_window_ms / 1000.0 * SAVED_FRACTION).max(1.0);
        self.tokens = (self.tokens + rate_per_s * elapsed / 1000.0).min(max_tokens);
        self.tokens >= 1.0
    }
}
