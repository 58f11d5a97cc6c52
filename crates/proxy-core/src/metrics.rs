//! Counters and gauges of this process, and the text form in which the admin address returns them. Operators'
//! tools read the metric names, so they are fixed.

use hillstall_decision::{Class, Outcome, UnservedReason};
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// A shared counter that only increases.
pub type Counter = Rc<Cell<u64>>;

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// How a request ended, as counted in the metrics.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The response of a backend was sent completely (`svc_answered`).
    Answered,
    /// The request was rejected and is safe to retry (`svc_deferred`).
    Deferred,
    /// The request failed (`svc_errored`).
    Errored,
}

#[derive(Default)]
struct ClassMetrics {
    name: String,
    answered: Cell<u64>,
    deferred: Cell<u64>,
    errored: Cell<u64>,
    sent_attempts: Counter,
    /// Rejected and failed requests by reason, in the order of [`UnservedReason::ALL`].
    unserved: [Cell<u64>; UnservedReason::ALL.len()],
    /// Attempts that have ended, by outcome, in the order of [`Outcome::ALL`].
    attempts: [Cell<u64>; Outcome::ALL.len()],
}

impl ClassMetrics {
    fn new(class: &Class) -> ClassMetrics {
        ClassMetrics { name: class.name.clone(), ..ClassMetrics::default() }
    }

    /// Appends the metrics of this class, one per line.
    fn render(&self, text: &mut String) {
        let counters = [
            ("answered", &self.answered),
            ("deferred", &self.deferred),
            ("errored", &self.errored),
            ("sends", &*self.sent_attempts),
        ];
        let name = escape_label(&self.name);
        for (metric, counter) in counters {
            let _ = writeln!(text, "svc_{metric}{{group=\"{name}\"}} {}", counter.get());
        }
        for (reason, counter) in UnservedReason::ALL.iter().zip(&self.unserved) {
            if counter.get() > 0 {
                let reason = reason.name();
                let _ =
                    writeln!(text, "svc_unserved{{group=\"{name}\",reason=\"{reason}\"}} {}", counter.get());
            }
        }
        for (outcome, counter) in Outcome::ALL.iter().zip(&self.attempts) {
            if counter.get() > 0 {
                let outcome = outcome.name();
                let _ = writeln!(
                    text,
                    "svc_attempts{{group=\"{name}\",outcome=\"{outcome}\"}} {}",
                    counter.get()
                );
            }
        }
    }
}

/// Escapes a label value. Class names come from the settings and may contain quotes.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// The number of known backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterSize {
    /// Backends in the endpoint list.
    pub size: usize,
    /// Backends of these that the decision module currently avoids.
    pub unhealthy: usize,
}

/// The metrics of this process. All start at 0.
pub struct Metrics {
    classes: Vec<ClassMetrics>,
    /// Number of requests that have begun and not ended.
    in_progress: Cell<u64>,
}

impl Metrics {
    /// Metrics for these request classes.
    pub fn new(classes: &[Class]) -> Rc<Metrics> {
        let classes = classes.iter().map(ClassMetrics::new).collect();
        Rc::new(Metrics { classes, in_progress: Cell::new(0) })
    }

    /// Records that a request of a class begins. It counts as in progress until the result is dropped.
    pub fn begin(self: &Rc<Metrics>, class: u8) -> InProgress {
        increment(&self.in_progress);
        InProgress { metrics: self.clone(), class }
    }

    fn class(&self, class: u8) -> Option<&ClassMetrics> {
        self.classes.get(usize::from(class))
    }

    /// Counts a request of a class that has ended.
    pub fn count_outcome(&self, class: u8, outcome: RequestOutcome) {
        let Some(class) = self.class(class) else { return };
        increment(match outcome {
            RequestOutcome::Answered => &class.answered,
            RequestOutcome::Deferred => &class.deferred,
            RequestOutcome::Errored => &class.errored,
        });
    }

    /// The number of requests that have ended, and how many of them were rejected.
    pub fn ended_and_rejected(&self) -> (u64, u64) {
        let sum = |counter: fn(&ClassMetrics) -> u64| self.classes.iter().map(counter).sum::<u64>();
        let deferred = sum(|class| class.deferred.get());
        let others = sum(|class| class.answered.get() + class.errored.get());
        (others + deferred, deferred)
    }

    /// Counts a request of a class that the decision module rejected or failed.
    pub fn count_unserved(&self, class: u8, reason: UnservedReason) {
        if let Some(class) = self.class(class) {
            increment(&class.unserved[reason as usize]);
        }
    }

    /// Counts an attempt of a request of a class that has ended.
    pub fn count_attempt(&self, class: u8, outcome: Outcome) {
        if let Some(class) = self.class(class) {
            increment(&class.attempts[outcome as usize]);
        }
    }

    /// The counter of attempts of a class whose request was written completely. The transport increments it.
    pub fn sent_counter(&self, class: u8) -> Counter {
        self.class(class).map(|class| class.sent_attempts.clone()).unwrap_or_default()
    }

    /// All metrics as text, one per line.
    pub fn render(&self, cluster: ClusterSize) -> String {
        let mut text = String::new();
        for class in &self.classes {
            class.render(&mut text);
        }
        let _ = writeln!(text, "svc_current {}", self.in_progress.get());
        let _ = writeln!(text, "svc_cluster_size {}", cluster.size);
        let _ = writeln!(text, "svc_cluster_unhealthy {}", cluster.unhealthy);
        text
    }
}

/// A request that has begun and not ended. Dropping it without [`InProgress::end`], as when the client has
/// disconnected, counts no outcome.
pub struct InProgress {
    metrics: Rc<Metrics>,
    class: u8,
}

impl InProgress {
    /// Counts how the request ended.
    pub fn end(self, outcome: RequestOutcome) {
        self.metrics.count_outcome(self.class, outcome);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.metrics.in_progress.set(self.metrics.in_progress.get() - 1);
    }
}
