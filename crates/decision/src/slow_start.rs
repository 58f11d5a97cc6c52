//! Slow start: how much a backend that has just started may get. In the platform's design a new server starts
//! low; how low is fixed by the rules' ramp, and a hard budget keeps this instance's part of what makes it
//! fail.

use crate::{Millis, Rules};

/// Part of the budget of a backend in slow start that this instance uses at most: the rest covers random
/// bursts.
const USABLE_BUDGET_FRACTION: f64 = 0.5;
/// Part of a window's requests to a backend in slow start that can be saved up for a burst.
const SAVED_FRACTION: f64 = 0.25;
/// Requests a second that all instances together may send to a backend in slow start at least.
const MIN_FLEET_RATE_PER_S: f64 = 2.0;

/// The part of its capacity that a backend has for certain at `now`, from 0 to 1.
pub(crate) fn ready_fraction(started_at: Option<Millis>, now: Millis, rules: &Rules) -> f64 {
    match started_at {
        Some(start) if now - start < rules.warmup_ms => {
            let progress = ((now - start) / rules.warmup_ms).max(0.0);
            rules.warmup_start_fraction + (1.0 - rules.warmup_start_fraction) * progress
        }
        _ => 1.0,
    }
}

/// The tokens that this instance may spend on one backend in slow start; one token is one request.
pub(crate) struct SlowStartBudget {
    tokens: f64,
    refilled_at: Millis,
}

impl SlowStartBudget {
    /// A budget with so many tokens at `now`.
    pub(crate) fn new(tokens: f64, now: Millis) -> SlowStartBudget {
        SlowStartBudget { tokens, refilled_at: now }
    }

    /// Counts a request that is sent.
    pub(crate) fn spend(&mut self) {
        self.tokens -= 1.0;
    }

    /// Refills the budget; returns whether there is a token. `capacity_rate` is what the backend serves by
    /// now, in requests a second, by the rate of this instance's requests; `instances` is the size of the
    /// fleet, and `process_fraction` the part of this instance's budget that belongs to this process. What
    /// all instances serve is what a backend can do at least.
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
        // What is saved and what comes in together must stay within the budget of any one window.
        let max_tokens = (rate_per_s * rules.overload_window_ms / 1000.0 * SAVED_FRACTION).max(1.0);
        self.tokens = (self.tokens + rate_per_s * elapsed / 1000.0).min(max_tokens);
        self.tokens >= 1.0
    }
}
