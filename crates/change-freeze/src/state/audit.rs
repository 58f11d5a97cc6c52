//! The audit log: a record for each effect of a command. Descriptions are stored and replicated, so their
//! texts stay as they are, also where today's names differ.

use super::{printable_prefix, FreezeState, Response, SequenceNumber};
use serde::{Deserialize, Serialize};

/// Maximum number of audit records; the oldest are dropped. It bounds the size of a snapshot.
pub const MAX_AUDIT_RECORDS: usize = 512;

/// The subject of records that concern no incident and no change.
const NO_SUBJECT: SequenceNumber = 0;

/// An entry of the audit log.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AuditRecord {
    /// The record's number; increases by one with each record.
    pub sequence: u64,
    /// The number of the incident or change that the record concerns; 0 for none.
    pub subject: SequenceNumber,
    /// What happened. The text is replicated, so all versions must write the same bytes.
    pub description: String,
}

impl FreezeState {
    /// Appends a record and returns [`Response::Accepted`] with its subject.
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
