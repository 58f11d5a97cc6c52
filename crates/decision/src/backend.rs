//! What a balancer knows of one backend: its list entry, its requests in flight, its health, how slow it is
//! against others, its slow start and its drain.

use crate::health::{Health, ANSWERING_HEALTH, EJECTED_HEALTH, TIER_FAILURE_MIN_HEALTH};
use crate::slow_start::{ready_fraction, SlowStartBudget};
use crate::{BackendInfo, BackendState, Millis, Outcome, Rules};

/// Part of the drain grace over which a backend that was ready leaves the draw. It serves on for a while
/// after the list says so, and if all instances stopped at once, the others would get its load in one
/// instant.
const DRAIN_FRACTION: f64 = 0.5;
/// The most samples that the average of the slowness goes by.
const MAX_SLOWNESS_SAMPLES: f64 = 15.0;
/// Samples that the initial slowness of 1 counts for.
const INITIAL_SLOWNESS_SAMPLES: f64 = 5.0;
/// The most that one request adds to the slowness, in expected latencies.
const MAX_SLOWNESS: f64 = 10.0;

/// One backend.
pub(crate) struct Backend {
    /// Its list entry.
    pub(crate) info: BackendInfo,
    /// Requests of this balancer in flight.
    pub(crate) in_flight: f64,
    /// Latency over the expected latency, averaged.
    pub(crate) slowness: f64,
    slowness_samples: f64,
    /// When the oldest request in flight was sent, as far as known; `f64::MAX` if there is none.
    pub(crate) oldest_sent_at: Millis,
    /// When it last answered.
    pub(crate) answered_at: Millis,
    /// When the last request was sent that got no answer at all.
    unanswered_since: Millis,
    health: Health,
    health_by_class: Vec<Health>,
    /// What may be sent to it in slow start.
    pub(crate) slow_start: SlowStartBudget,
    /// When its drain was listed, if it was ready until then and has rejected nothing since.
    draining_since: Option<Millis>,
}

impl Backend {
    /// A backend of which only its list entry is known.
    pub(crate) fn new(info: BackendInfo, classes: usize, slow_start: SlowStartBudget) -> Backend {
        Backend {
            info,
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

    /// Takes a new list entry; `previous` is the state before. Where updates may have been missed a drain may
    /// be old, and nobody knows how long the backend serves on.
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

    /// Its relative size; 1 where the list gives none.
    pub(crate) fn rating(&self) -> f64 {
        Some(self.info.rating).filter(|rating| *rating > 0.0 && rating.is_finite()).unwrap_or(1.0)
    }

    /// The part of its capacity that it has for certain by now.
    pub(crate) fn ready_fraction(&self, now: Millis, rules: &Rules) -> f64 {
        ready_fraction(self.info.started_at, now, rules)
    }

    /// The part of its normal weight that its state leaves it: less and less while it drains.
    pub(crate) fn drain_fraction(&self, now: Millis, rules: &Rules) -> f64 {
        match (self.info.state, self.draining_since) {
            (BackendState::Ready, _) => 1.0,
            (BackendState::Draining, Some(since)) => {
                (1.0 - (now - since) / (DRAIN_FRACTION * rules.drain_grace_ms).max(1.0)).max(0.0)
            }
            _ => 0.0,
        }
    }

    /// Its health for one class. Guards against a backend that fails this class alone: the successes of the
    /// others must not hide that.
    pub(crate) fn class_health(&self, now: Millis, class: usize) -> f64 {
        self.health.value(now).min(self.health_by_class[class].value(now))
    }

    /// Whether it gets little more than probes: it is not ready, or ejected for its failures.
    pub(crate) fn is_avoided(&self, now: Millis) -> bool {
        self.info.state != BackendState::Ready || self.health.value(now) < EJECTED_HEALTH
    }

    /// Whether it answers, if only to reject. One that has answered since the last request was sent that got
    /// no answer does: a connection was late there.
    pub(crate) fn is_answering(&self, now: Millis) -> bool {
        self.health.value(now) >= ANSWERING_HEALTH || self.answered_at >= self.unanswered_since
    }

    /// Counts a request that is sent.
    pub(crate) fn on_send(&mut self, now: Millis) {
        self.in_flight += 1.0;
        self.oldest_sent_at = self.oldest_sent_at.min(now);
        self.slow_start.spend();
    }

    /// Learns from the end of an attempt. Returns whether a failure can be put down to the tier: the backend
    /// was healthy and is not draining.
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
            // It rejects or ends, as the list announced: that shows nothing of the tier.
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

    /// Takes the latency of a request served, over the latency that was expected of it.
    pub(crate) fn record_slowness(&mut self, latency: Millis, expected: Millis) {
        self.slowness_samples = (self.slowness_samples + 1.0).min(MAX_SLOWNESS_SAMPLES);
        let sample = (latency / expected).min(MAX_SLOWNESS);
        self.slowness += (sample - self.slowness) / (INITIAL_SLOWNESS_SAMPLES + self.slowness_samples);
    }
}
