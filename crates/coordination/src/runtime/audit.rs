//! Log lines of the runtime: the audit lines by which lease holders are judged afterwards, and warnings at a limited rate.

use hillstall_consensus::node::AuditEvent;
use hillstall_lease::Instance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Log target of the audit lines. Other programs read them: target, messages and field names are fixed.
const AUDIT_TARGET: &str = "hillstall_coordination::runtime";
/// Shortest time between two log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What is logged at a limited rate, each kind by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogKind {
    /// A fenced command was rejected.
    RejectedCommand,
    /// A replica introduced itself with a slot that does not exist.
    UnknownSlot,
    /// A connection was refused, or something unreadable came over one.
    Connection,
}

#[derive(Default)]
struct LogRecord {
    logged_at: Option<Instant>,
    suppressed: u64,
}

/// Limits how often each kind of line is logged.
#[derive(Default)]
pub struct LogLimiter {
    records: BTreeMap<LogKind, LogRecord>,
}

impl LogLimiter {
    /// Returns how many lines of a kind have been suppressed since the start if one may be logged now; otherwise counts
    /// this one as suppressed and returns `None`.
    pub fn admit(&mut self, kind: LogKind) -> Option<u64> {
        let now = Instant::now();
        let record = self.records.entry(kind).or_default();
        if record.logged_at.is_some_and(|at| now.duration_since(at) < LOG_INTERVAL) {
            record.suppressed += 1;
            return None;
        }
        record.logged_at = Some(now);
        Some(record.suppressed)
    }
}

/// Writes an audit line. `unix_ms` is the time of day.
pub fn log_audit_event(event: &AuditEvent, instance: Instance, unix_ms: u64, limiter: &mut LogLimiter) {
    let (copy, life, at) = (instance.rank, instance.incarnation, unix_ms);
    match event {
        AuditEvent::LeaseAcquired(lease, token) => {
            tracing::info!(
                target: AUDIT_TARGET, copy, life, at, duty = %lease, token = token.0, "fleet holds"
            );
        }
        AuditEvent::LeaseLost(lease, token) => {
            tracing::info!(
                target: AUDIT_TARGET, copy, life, at, duty = %lease, token = token.0, "fleet lost"
            );
        }
        AuditEvent::CommandApplied(command) => {
            tracing::info!(
                target: AUDIT_TARGET, copy, life, at, duty = %command.lease, token = command.token.0,
                number = command.sequence, part = command.value, "fleet carried out"
            );
        }
        AuditEvent::CommandRejected(command, reason) => {
            if limiter.admit(LogKind::RejectedCommand).is_some() {
                tracing::warn!(
                    target: AUDIT_TARGET, copy, life, at, duty = %command.lease, token = command.token.0,
                    "fleet refused: {reason}"
                );
            }
        }
    }
}
