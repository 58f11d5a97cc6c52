//! The audit log: one record for each effect of a command.

use super::{printable_prefix, FreezeState, Response, SequenceNumber};
use serde::{Deserialize, Serialize};

/// Maximum number of audit records, which bounds the size of a snapshot; the oldest are dropped.
pub const MAX_AUDIT_RECORDS: usize = 512;

/// The subject of records that concern no incident and no change.
const NO_SUBJECT: SequenceNumber = 0;

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Its number; increases by one with each record.
    pub sequence: u64,
    /// The incident or change that it concerns; 0 for none.
    pub subject: SequenceNumber,
    /// What happened. It is replicated, so every version has to write the same bytes.
    pub description: String,
}

impl FreezeState {
    /// Appends a record and returns the response that its subject was accepted.
    pub(super) fn append_audit(&mut self, subject: SequenceNumber, description: String) -> Response {
        self.audit_sequence += 1;
        self.audit_log.push_back(AuditRecord { sequence: self.audit_sequence, subject, description });
        if self.audit_log.len() > MAX_AUDIT_RECORDS {
            self.audit_log.pop_front();
        }
        Response::Accepted(subject)
    }

    pub(super) fn record_signal(&mut self, description: &str) -> Response {
        let description = printable_prefix(description, crate::MAX_NAME_BYTES);
        self.append_audit(NO_SUBJECT, format!("without a permit: {description}"))
    }
}
