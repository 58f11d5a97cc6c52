//! Helpers for the tests of this crate.

use hillstall_decision::{Class, DedupScope, RetrySafety};

/// A non-idempotent, buffered request class with this name.
pub fn class(name: &str) -> Class {
    Class {
        name: name.into(),
        latency_objective_ms: 100.0,
        objective_per_work_ms: 0.0,
        deadline_ms: 200.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        retry_safety: RetrySafety::NonIdempotent,
        dedup_scope: DedupScope::All,
        dedup_window_ms: 0.0,
        streaming: false,
    }
}
