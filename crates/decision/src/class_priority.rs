//! Load shedding by priority: which request classes are shed first. The platform's reference design only
//! gives every class a limiter of its own; shedding classes of lower priority first is an addition that
//! follows from the weights of the objective.

use crate::decay::DecayingSum;
use crate::{Millis, Settings};

/// Time constant over which the traffic of each class is averaged, in milliseconds.
const TRAFFIC_TIME_CONSTANT_MS: Millis = 10_000.0;
/// Time between two evaluations of the priorities, in milliseconds.
const EVALUATION_INTERVAL_MS: Millis = 100.0;
/// Number of recent requests above which a class is considered in the search for the worst-served class.
const MIN_COMPARED_REQUESTS: f64 = 1.0;

/// The recent traffic of the classes, and which of them have a lower priority than another.
pub(crate) struct ClassPriorities {
    offered: Vec<DecayingSum>,
    admitted: Vec<DecayingSum>,
    is_lower: Vec<bool>,
    lower_fraction: f64,
    evaluated_at: Millis,
}

impl ClassPriorities {
    /// Creates equal priorities for this number of classes.
    pub(crate) fn new(classes: usize) -> ClassPriorities {
        ClassPriorities {
            offered: (0..classes).map(|_| DecayingSum::default()).collect(),
            admitted: (0..classes).map(|_| DecayingSum::default()).collect(),
            is_lower: vec![false; classes],
            lower_fraction: 0.0,
            evaluated_at: f64::MIN,
        }
    }

    /// Counts a request that arrived towards the offered traffic of its class.
    pub(crate) fn record_offered(&mut self, now: Millis, class: usize) {
        self.offered[class].add(now, TRAFFIC_TIME_CONSTANT_MS, 1.0);
    }

    /// Counts a request whose first attempt was sent.
    pub(crate) fn record_admitted(&mut self, now: Millis, class: usize) {
        self.admitted[class].add(now, TRAFFIC_TIME_CONSTANT_MS, 1.0);
    }

    /// Whether a class is shed before some other class.
    pub(crate) fn is_lower(&self, class: usize) -> bool {
        self.is_lower[class]
    }

    /// Returns for each class whether it is shed before some other class.
    pub(crate) fn lower(&self) -> &[bool] {
        &self.is_lower
    }

    /// Returns the fraction of the traffic that belongs to classes of lower priority, from 0 to 1.
    pub(crate) fn lower_fraction(&self) -> f64 {
        self.lower_fraction
    }

    /// Determines the classes whose requests contribute less to the objective than those of another class.
    /// The worst-served class gets a bonus, so that classes of similar weight are served alike, while a class
    /// of far greater weight takes precedence.
    pub(crate) fn evaluate(&mut self, now: Millis, settings: &Settings) {
        if now - self.evaluated_at < EVALUATION_INTERVAL_MS {
            return;
        }
        self.evaluated_at = now;
        let offered: Vec<f64> =
            self.offered.iter().map(|sum| sum.value(now, TRAFFIC_TIME_CONSTANT_MS).max(1e-9)).collect();
        let total: f64 = offered.iter().sum();
        let weight = |class: usize| settings.classes[class].priority_weight;
        let mean: f64 = offered.iter().enumerate().map(|(class, n)| weight(class) * n / total).sum();
        let worst_served = self.worst_served(now, &offered);
        let weights = &settings.objective_weights;
        let value = |class: usize| {
            let is_worst = worst_served == Some(class);
            let bonus = if is_worst { weights.worst_class * total / offered[class] } else { 0.0 };
            (weights.whole_run + weights.worst_window) * weight(class) / mean.max(1e-9) + bonus
        };
        let best = (0..offered.len()).map(value).fold(0.0, f64::max);
        self.is_lower = (0..offered.len()).map(|class| value(class) < best).collect();
        let lower = offered.iter().zip(&self.is_lower).filter(|pair| *pair.1);
        self.lower_fraction = lower.map(|pair| pair.0 / total).sum();
    }

    /// Returns the class with the smallest fraction of admitted requests recently.
    fn worst_served(&self, now: Millis, offered: &[f64]) -> Option<usize> {
        let served =
            |class: usize| self.admitted[class].value(now, TRAFFIC_TIME_CONSTANT_MS) / offered[class];
        let compared = (0..offered.len()).filter(|class| offered[*class] > MIN_COMPARED_REQUESTS);
        compared.min_by(|a, b| served(*a).total_cmp(&served(*b)))
    }
}
