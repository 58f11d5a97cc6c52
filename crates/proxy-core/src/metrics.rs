//! Counters and gauges of this process, and their form for the operators.

use hillstall_decision::{Class, UnservedReason};
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// A count that only grows.
pub type Counter = Rc<Cell<u64>>;

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend's response was sent completely.
    Answered,
    /// It was rejected and is safe to retry.
    Deferred,
    /// It failed.
    Errored,
}

#[derive(Default)]
struct ClassMetrics {
    name: String,
    answered: Cell<u64>,
    deferred: Cell<u64>,
    errored: Cell<u64>,
    sends: Counter,
    /// By reason, in the order of [`UnservedReason::ALL`].
    unserved: [Cell<u64>; UnservedReason::ALL.len()],
}

impl ClassMetrics {
    fn new(class: &Class) -> ClassMetrics {
        ClassMetrics { name: class.name.clone(), ..ClassMetrics::default() }
    }

    /// Appends the figures of this class, one a line.
    fn render(&self, text: &mut String) {
        let counters = [
            ("answered", &self.answered),
            ("deferred", &self.deferred),
            ("errored", &self.errored),
            ("sends", &*self.sends),
        ];
        let name = escape_label(&self.name);
        for (figure, counter) in counters {
            let _ = writeln!(text, "svc_{figure}{{group=\"{name}\"}} {}", counter.get());
        }
        for (reason, counter) in UnservedReason::ALL.iter().zip(&self.unserved) {
            if counter.get() > 0 {
                let reason = reason.name();
                let _ =
                    writeln!(text, "svc_unserved{{group=\"{name}\",reason=\"{reason}\"}} {}", counter.get());
            }
        }
    }
}

/// Escapes the value of a label: class names come from the settings, and a quote in one must not end the label.
fn escape_label(value: &str) -> String {
    value.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n")
}

/// The number of backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterSize {
    /// Backends in the endpoint list.
    pub size: usize,
    /// Those of them that the decision module avoids at present.
    pub unhealthy: usize,
}

/// The figures of this process. All start at 0.
pub struct Metrics {
    classes: Vec<ClassMetrics>,
    /// Requests that have begun and not ended.
    in_progress: Cell<u64>,
}

impl Metrics {
    /// Figures for these classes.
    pub fn new(classes: &[Class]) -> Rc<Metrics> {
        let classes = classes.iter().map(ClassMetrics::new).collect();
        Rc::new(Metrics { classes, in_progress: Cell::new(0) })
    }

    /// Records that a request of a class begins; it is in progress until the result is dropped.
    pub fn begin(self: &Rc<Metrics>, class: u8) -> InProgress {
        increment(&self.in_progress);
        InProgress { metrics: self.clone(), class }
    }

    fn class(&self, class: u8) -> Option<&ClassMetrics> {
        self.classes.get(usize::from(class))
    }

    /// Counts a request of a class that ended.
    pub fn count_outcome(&self, class: u8, outcome: RequestOutcome) {
        let Some(class) = self.class(class) else { return };
        increment(match outcome {
            RequestOutcome::Answered => &class.answered,
            RequestOutcome::Deferred => &class.deferred,
            RequestOutcome::Errored => &class.errored,
        });
    }

    /// The number of requests that have ended, and of those of them that were rejected.
    pub fn ended_and_rejected(&self) -> (u64, u64) {
        let sum = |count: fn(&ClassMetrics) -> u64| self.classes.iter().map(count).sum::<u64>();
        let deferred = sum(|class| class.deferred.get());
        let others = sum(|class| class.answered.get() + class.errored.get());
        (others + deferred, deferred)
    }

    /// Counts a request of a class that the decision module gave up, and why.
    pub fn count_unserved(&self, class: u8, reason: UnservedReason) {
        if let Some(class) = self.class(class) {
            increment(&class.unserved[reason as usize]);
        }
    }

    /// The counter of attempts of a class that were written completely, to be incremented where that is observed.
    pub fn sent_counter(&self, class: u8) -> Counter {
        self.class(class).map(|class| class.sends.clone()).unwrap_or_default()
    }

    /// All figures, one a line.
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

/// A request that has begun and not ended. If it is dropped without [`InProgress::end`], its client has
/// disconnected.
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
