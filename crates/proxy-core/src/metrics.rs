//! What has happened since the start and what is going on now, in figures for the operators.

use hillstall_decision::{Class, UnservedReason};
use std::cell::Cell;
use std::fmt::Write;
use std::rc::Rc;

/// A count that only rises.
pub type Counter = Rc<Cell<u64>>;

fn raise(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestOutcome {
    /// A backend's answer went out whole.
    Answered,
    /// It was turned away; trying again is harmless.
    Deferred,
    /// It failed.
    Errored,
}

#[derive(Default)]
struct OfClass {
    name: String,
    answered: Cell<u64>,
    deferred: Cell<u64>,
    errored: Cell<u64>,
    sends: Counter,
    unserved: [Cell<u64>; UnservedReason::ALL.len()],
}

/// What the proxy knows of its backends.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClusterSize {
    /// Backends in the list.
    pub size: usize,
    /// Those of them that are now avoided.
    pub unhealthy: usize,
}

/// The figures of this process. All start at 0.
pub struct Metrics {
    classes: Vec<OfClass>,
    current: Cell<u64>,
}

impl Metrics {
    /// Figures for these classes.
    pub fn new(classes: &[Class]) -> Rc<Metrics> {
        let classes = classes.iter().map(|c| OfClass { name: c.name.clone(), ..OfClass::default() });
        Rc::new(Metrics { classes: classes.collect(), current: Cell::new(0) })
    }

    /// A request of a class was taken; it is current until what this gives is dropped.
    pub fn begin(self: &Rc<Metrics>, class: u8) -> InProgress {
        raise(&self.current);
        InProgress { metrics: self.clone(), class }
    }

    /// A request of a class ended.
    pub fn count(&self, class: u8, how: RequestOutcome) {
        let Some(class) = self.classes.get(usize::from(class)) else { return };
        raise(match how {
            RequestOutcome::Answered => &class.answered,
            RequestOutcome::Deferred => &class.deferred,
            RequestOutcome::Errored => &class.errored,
        });
    }

    /// Requests that have ended, and those of them that were turned away.
    pub fn ended(&self) -> (u64, u64) {
        let all = |of: fn(&OfClass) -> u64| self.classes.iter().map(of).sum::<u64>();
        let deferred = all(|class| class.deferred.get());
        (all(|class| class.answered.get() + class.errored.get()) + deferred, deferred)
    }

    /// The module gave up a request of a class, for this reason.
    pub fn unserved(&self, class: u8, why: UnservedReason) {
        if let Some(class) = self.classes.get(usize::from(class)) {
            raise(&class.unserved[why as usize]);
        }
    }

    /// The count of attempts written whole, to be raised where that is seen.
    pub fn sends(&self, class: u8) -> Counter {
        self.classes.get(usize::from(class)).map(|class| class.sends.clone()).unwrap_or_default()
    }

    /// All figures, one a line.
    pub fn render(&self, cluster: ClusterSize) -> String {
        let mut text = String::new();
        for class in &self.classes {
            let counts = [
                ("answered", &class.answered),
                ("deferred", &class.deferred),
                ("errored", &class.errored),
                ("sends", &*class.sends),
            ];
            // Names come from the settings; a quote in one must not end the label.
            let name = class.name.replace('\\', "\\\\").replace('"', "\\\"").replace('\n', "\\n");
            for (figure, count) in counts {
                let _ = writeln!(text, "svc_{figure}{{group=\"{name}\"}} {}", count.get());
            }
            for (why, count) in
                UnservedReason::ALL.iter().zip(&class.unserved).filter(|(_, count)| count.get() > 0)
            {
                let why = why.name();
                let _ = writeln!(text, "svc_unserved{{group=\"{name}\",reason=\"{why}\"}} {}", count.get());
            }
        }
        let _ = writeln!(text, "svc_current {}", self.current.get());
        let _ = writeln!(text, "svc_cluster_size {}", cluster.size);
        let _ = writeln!(text, "svc_cluster_unhealthy {}", cluster.unhealthy);
        text
    }
}

/// A request that was taken and has not ended. Dropped without a word, its client has left.
pub struct InProgress {
    metrics: Rc<Metrics>,
    class: u8,
}

impl InProgress {
    /// Counts how it ended.
    pub fn end(self, how: RequestOutcome) {
        self.metrics.count(self.class, how);
    }
}

impl Drop for InProgress {
    fn drop(&mut self) {
        self.metrics.current.set(self.metrics.current.get() - 1);
    }
}
