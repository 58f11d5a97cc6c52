//! The state of one backend: its list entry, requests in flight, health, relative slowness, slow start budget
//! and drain.

use crate::health::{Health, ANSWERING_HEALTH, EJECTED_HEALTH, TIER_FAILURE_MIN_HEALTH};
use crate::slow_start::{ready_fraction, SlowStartBudget};
use crate::{BackendInfo, BackendState, Millis, Outcome, Rules};

/// Fraction of the drain grace period over which the weight of a draining backend falls to 0. The backend
/// still serves during the grace period; if all instances stopped at once, the other backends would get its
/// load in one instant.
const DRAIN_FRACTION: f64 = 0.5;
/// Maximum number of samples that the average of the slowness counts.
const MAX_SLOWNESS_SAMPLES: f64 = 15.0;
/// Number of samples that the initial slowness of 1 counts for.
const INITIAL_SLOWNESS_SAMPLES: f64 = 5.0;
/// Upper bound of one slowness sample, in multiples of the expected latency.
const MAX_SLOWNESS: f64 = 10.0;

/// A backend and what this balancer has learned about it.
pub(crate) struct Backend {
    /// The entry of the endpoint list.
    pub(crate) info: BackendInfo,
    /// This balancer's requests in flight at the backend.
    pub(crate) in_flight: f64,
    /// Average of latency divided by expected latency.
    pub(crate) slowness: f64,
    slowness_samples: f64,
    /// Clock time at which the oldest request in flight was sent, approximately; `f64::MAX` if there is none.
    pub(crate) oldest_sent_at: Millis,
    /// Clock time of the last answer; `f64::MIN` if there was none.
    pub(crate) answered_at: Millis,
    /// Clock time at which the latest request without any answer was sent; `f64::MIN` if there was none.
    unanswered_since: Millis,
    health: Health,
    health_by_class: Vec<Health>,
    /// Clock time of its last start as far as it is credible; `None` if that was long ago.
    started_at: Option<Millis>,
    /// Budget of requests while the backend is in slow start.
    pub(crate) slow_start: SlowStartBudget,
    /// Clock time at which the backend was listed as draining, if it was ready until then and has rejected or
    /// failed no request since.
    draining_since: Option<Millis>,
}

impl Backend {
    /// Creates a backend with full health and no requests, whose last start was at `started_at`.
    pub(crate) fn new(
        info: BackendInfo,
        started_at: Option<Millis>,
        classes: usize,
        slow_start: SlowStartBudget,
    ) -> Backend {
        Backend {
            info,
            started_at,
            in_flight: 0.0,
            slowness: 1.0,
            slowness_samples: 0.0,
            oldest_sent_at: f64::MAX,
            answered_at: f64::MIN,
            unanswered_since: f64::MIN,
            health: Health::default(),
            health_by_class: vec![Health::default(); classes],
            slow_start,
            draining_since: None,
        }
    }

    /// Applies a new list entry; `previous` is the state before it. If updates may have been missed, the
    /// drain may have begun long ago, and it is unknown how long the backend still serves, so it gets no more
    /// requests.
    pub(crate) fn update(
        &mut self,
        info: BackendInfo,
        previous: BackendState,
        is_continuous: bool,
        now: Millis,
    ) {
        self.info = info;
        match (previous, info.state) {
            (BackendState::Ready, BackendState::Draining) => {
                self.draining_since = Some(now).filter(|_| is_continuous);
            }
            (_, BackendState::Draining) => {}
            _ => self.draining_since = None,
        }
    }

    /// Returns the relative capacity; 1 if the list gives no valid rating.
    pub(crate) fn rating(&self) -> f64 {
        Some(self.info.rating).filter(|rating| *rating > 0.0 && rating.is_finite()).unwrap_or(1.0)
    }

    /// Returns the fraction of its capacity that the backend is guaranteed to have, from 0 to 1.
    pub(crate) fn ready_fraction(&self, now: Millis, rules: &Rules) -> f64 {
        ready_fraction(self.started_at, now, rules)
    }

    /// Returns the factor on the weight that results from the state: 1 if ready, falling to 0 while the
    /// backend drains, and 0 if it is gone.
    pub(crate) fn drain_fraction(&self, now: Millis, rules: &Rules) -> f64 {
        match (self.info.state, self.draining_since) {
            (BackendState::Ready, _) => 1.0,
            (BackendState::Draining, Some(since)) => {
                (1.0 - (now - since) / (DRAIN_FRACTION * rules.drain_grace_ms).max(1.0)).max(0.0)
            }
            _ => 0.0,
        }
    }

    /// Returns the health for one class: successes of other classes must not hide that the backend fails this
    /// one.
    pub(crate) fn class_health(&self, now: Millis, class: usize) -> f64 {
        self.health.value(now).min(self.health_by_class[class].value(now))
    }

    /// Whether the backend gets little more than half-open probes, because it is not ready or is ejected.
    pub(crate) fn is_avoided(&self, now: Millis) -> bool {
        self.info.state != BackendState::Ready || self.health.value(now) < EJECTED_HEALTH
    }

    /// Whether the backend answers requests, even if only to reject them. It also counts as answering if it
    /// has answered since the latest request without an answer was sent: then only a connection was slow.
    pub(crate) fn is_answering(&self, now: Millis) -> bool {
        self.health.value(now) >= ANSWERING_HEALTH || self.answered_at >= self.unanswered_since
    }

    /// Counts an attempt that is sent.
    pub(crate) fn on_send(&mut self, now: Millis) {
        self.in_flight += 1.0;
        self.oldest_sent_at = self.oldest_sent_at.min(now);
        self.slow_start.spend();
    }

    /// Records the end of an attempt. Returns whether a failure is attributed to the tier, because the
    /// backend was healthy and is not draining.
    pub(crate) fn on_attempt_end(
        &mut self,
        now: Millis,
        class: usize,
        sent_at: Millis,
        outcome: Outcome,
    ) -> bool {
        let succeeded = outcome == Outcome::Ok;
        self.in_flight = (self.in_flight - 1.0).max(0.0);
        self.oldest_sent_at = if self.in_flight > 0.0 { self.oldest_sent_at.max(sent_at) } else { f64::MAX };
        let mut counts_for_tier = self.class_health(now, class) > TIER_FAILURE_MIN_HEALTH;
        if self.info.state == BackendState::Draining && !succeeded {
            // A failure of a draining backend is expected and says nothing about the tier.
            self.draining_since = None;
            counts_for_tier = false;
        }
        if !outcome.was_abandoned() {
            self.health.record(now, succeeded);
            self.health_by_class[class].record(now, succeeded);
            if outcome != Outcome::Timeout && outcome != Outcome::ConnectFailed {
                self.answered_at = now;
            } else {
                self.unanswered_since = self.unanswered_since.max(sent_at);
            }
        }
        counts_for_tier
    }

    /// Records the latency of a served request relative to the expected latency.
    pub(crate) fn record_slowness(&mut self, latency: Millis, expected: Millis) {
        self.slowness_samples = (self.slowness_samples + 1.0).min(MAX_SLOWNESS_SAMPLES);
        let sample = (latency / expected).min(MAX_SLOWNESS);
        self.slowness += (sample - self.slowness) / (INITIAL_SLOWNESS_SAMPLES + self.slowness_samples);
    }
}
