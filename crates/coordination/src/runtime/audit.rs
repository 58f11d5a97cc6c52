//! Log lines of the runtime: audit lines on leases and fenced commands, and rate-limited warnings. In the
//! audit lines the fault-injection tests look for stale commands, two holders of one token, and two sites
//! drained at once.

use hillstall_consensus::node::AuditEvent;
use hillstall_lease::Instance;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Log target of the audit lines. Other programs read these lines, so target, messages and field names stay
/// as they are.
const AUDIT_TARGET: &str = "hillstall_coordination::runtime";
/// Minimum time between two log lines of one kind.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// A kind of log line; the rate limit applies to each kind separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum LogKind {
    /// A fenced command was rejected.
    RejectedCommand,
    /// A frame came from a replica slot that is not configured.
    UnknownSlot,
    /// A connection was rejected, or a frame could not be decoded.
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
    /// If a line of this kind may be logged now, returns how many lines of the kind have been suppressed
    /// since the process started. Otherwise counts this line as suppressed and returns `None`.
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

/// Logs an audit event of this instance. `unix_ms` is the Unix time in milliseconds.
pub fn log_audit_event(event: &AuditEvent, instance: Instance, unix_ms: u64, limiter: &mut LogLimiter) {
    let (rank, incarnation) = (instance.rank, instance.incarnation);
    match event {
        AuditEvent::LeaseAcquired(lease, token) => {
            tracing::info!(
                target: AUDIT_TARGET, copy = rank, life = incarnation, at = unix_ms,
                duty = %lease, token = token.0, "fleet holds"
            );
        }
        AuditEvent::LeaseLost(lease, token) => {
            tracing::info!(
                target: AUDIT_TARGET, copy = rank, life = incarnation, at = unix_ms,
                duty = %lease, token = token.0, "fleet lost"
            );
        }
        AuditEvent::CommandApplied(command) => {
            tracing::info!(
                target: AUDIT_TARGET, copy = rank, life = incarnation, at = unix_ms,
                duty = %command.lease, token = command.token.0,
                number = command.sequence, part = command.value, "fleet carried out"
            );
        }
        AuditEvent::CommandRejected(command, reason) => {
            if limiter.admit(LogKind::RejectedCommand).is_some() {
                tracing::warn!(
                    target: AUDIT_TARGET, copy = rank, life = incarnation, at = unix_ms,
                    duty = %command.lease, token = command.token.0,
                    "fleet refused: {reason}"
                );
            }
        }
    }
}
