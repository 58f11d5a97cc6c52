//! Incidents: opening, assignment, resolution and cooldown.

use super::{
    check_name, printable_prefix, Change, ChangeRequest, ChangeStatus, FreezeState, RejectReason, Requester,
    Response, SequenceNumber,
};
use crate::rules::{blocking_rule, ChangeKind, Reaction, Severity};
use crate::scope::Scope;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Maximum number of incidents, which bounds the size of a snapshot.
pub const MAX_INCIDENTS: usize = 256;
const MAX_EVIDENCE_CHARS: usize = 200;

/// An incident that is open or cooling down. The order of the fields is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incident {
    /// The highest severity that the incident has had.
    pub severity: Severity,
    /// The part of the fleet that the incident concerns.
    pub scope: Scope,
    /// What was last observed, for people; truncated if it is long.
    pub evidence: String,
    /// Who opened the incident first.
    pub opened_by: Requester,
    /// The person who has taken responsibility, if any.
    pub assignee: Option<String>,
    /// Whether the incident is resolved. It still blocks changes until its cooldown has elapsed.
    pub cooling_down: bool,
    /// The changes that are linked as remedies; the incident does not block them.
    pub remedies: BTreeSet<SequenceNumber>,
    /// Increases with each update, so that a timer that was started for an older version has no effect.
    pub version: u64,
}

impl Incident {
    pub(crate) fn is_opened_by_coordinator(&self) -> bool {
        self.opened_by.is_coordinator()
    }

    /// Whether the coordinator may resolve the incident: no person has opened it or is assigned to it.
    pub(crate) fn is_resolvable_by_coordinator(&self) -> bool {
        self.is_opened_by_coordinator() && self.assignee.is_none()
    }

    /// Whether the incident blocks a change. It blocks neither its remedies nor emergency changes.
    pub(super) fn blocks(&self, number: SequenceNumber, change: &Change) -> bool {
        let ChangeRequest { kind, scope, .. } = &change.request;
        !change.emergency
            && !self.remedies.contains(&number)
            && blocking_rule(self.severity, &self.scope, *kind, scope).is_some()
    }
}

impl FreezeState {
    pub(super) fn open_incident(
        &mut self,
        severity: Severity,
        scope: &Scope,
        evidence: &str,
        opened_by: &Requester,
    ) -> Result<Response, RejectReason> {
        if let Requester::Person(person) = opened_by {
            check_name(person)?;
        }
        let evidence = printable_prefix(evidence, MAX_EVIDENCE_CHARS);
        // A recurring incident keeps its number: it is reopened, and its severity may rise.
        let number = match self.reopen_incident(severity, scope, &evidence, opened_by) {
            Some(number) => number,
            None => self.insert_incident(severity, scope.clone(), evidence, opened_by.clone())?,
        };
        let description = format!("{severity} incident at {scope} by {opened_by}");
        let response = self.append_audit(number, description);
        self.interrupt_blocked_changes(number);
        Ok(response)
    }

    /// Updates the incident that the same kind of requester opened for this scope, if there is one.
    fn reopen_incident(
        &mut self,
        severity: Severity,
        scope: &Scope,
        evidence: &str,
        opened_by: &Requester,
    ) -> Option<SequenceNumber> {
        let (number, incident) = self.incidents.iter_mut().find(|(_, incident)| {
            incident.scope == *scope && incident.is_opened_by_coordinator() == opened_by.is_coordinator()
        })?;
        incident.severity = incident.severity.max(severity);
        incident.evidence = evidence.to_owned();
        incident.cooling_down = false;
        incident.version += 1;
        Some(*number)
    }

    fn insert_incident(
        &mut self,
        severity: Severity,
        scope: Scope,
        evidence: String,
        opened_by: Requester,
    ) -> Result<SequenceNumber, RejectReason> {
        if self.incidents.len() >= MAX_INCIDENTS {
            return Err(RejectReason::CapacityReached);
        }
        let number = self.next_number();
        let incident = Incident {
            severity,
            scope,
            evidence,
            opened_by,
            assignee: None,
            cooling_down: false,
            remedies: BTreeSet::new(),
            version: 0,
        };
        self.incidents.insert(number, incident);
        Ok(number)
    }

    /// Moves the changes in flight that an incident blocks to [`ChangeStatus::Reacting`]. Changes that
    /// declared [`Reaction::Finish`] stay in flight for their whole duration.
    fn interrupt_blocked_changes(&mut self, incident_number: SequenceNumber) {
        let Some(incident) = self.incidents.get(&incident_number) else { return };
        let mut interrupted = Vec::new();
        for (number, change) in &mut self.changes {
            let must_react = change.status == ChangeStatus::InFlight
                && change.request.reaction != Reaction::Finish
                && incident.blocks(*number, change);
            if must_react {
                change.status = ChangeStatus::Reacting;
                change.version += 1;
                interrupted.push((*number, change.request.reaction));
            }
        }
        for (number, reaction) in interrupted {
            self.append_audit(number, format!("has to {reaction} for incident {incident_number}"));
        }
    }

    pub(super) fn assign_incident(
        &mut self,
        number: SequenceNumber,
        person: &str,
    ) -> Result<Response, RejectReason> {
        check_name(person)?;
        let incident = self.incidents.get_mut(&number).ok_or(RejectReason::NotFound)?;
        incident.assignee = Some(person.to_owned());
        incident.version += 1;
        Ok(self.append_audit(number, format!("taken by {person}")))
    }

    pub(super) fn resolve_incident(
        &mut self,
        number: SequenceNumber,
        resolved_by: &Requester,
    ) -> Result<Response, RejectReason> {
        let incident = self.incidents.get_mut(&number).ok_or(RejectReason::NotFound)?;
        match resolved_by {
            Requester::Person(person) => check_name(person)?,
            Requester::Coordinator(_) if !incident.is_resolvable_by_coordinator() => {
                return Err(RejectReason::RequiresPerson)
            }
            Requester::Coordinator(_) => {}
        }
        if incident.cooling_down {
            return Err(RejectReason::Superseded);
        }
        incident.cooling_down = true;
        incident.version += 1;
        Ok(self.append_audit(number, format!("resolved by {resolved_by}")))
    }

    pub(super) fn end_cooldown(
        &mut self,
        number: SequenceNumber,
        version: u64,
    ) -> Result<Response, RejectReason> {
        let incident = self.incidents.get(&number).ok_or(RejectReason::NotFound)?;
        if !incident.cooling_down || incident.version != version {
            return Err(RejectReason::Superseded);
        }
        self.incidents.remove(&number);
        Ok(self.append_audit(number, "over".into()))
    }

    pub(super) fn link_remedy(
        &mut self,
        incident_number: SequenceNumber,
        change: SequenceNumber,
        person: &str,
    ) -> Result<Response, RejectReason> {
        check_name(person)?;
        if !self.changes.contains_key(&change) {
            return Err(RejectReason::NotFound);
        }
        let incident = self.incidents.get_mut(&incident_number).ok_or(RejectReason::NotFound)?;
        incident.remedies.insert(change);
        let description = format!("{person} names change {change} as its remedy");
        Ok(self.append_audit(incident_number, description))
    }

    /// The first incident that blocks a change of this kind and scope which is neither a remedy nor an
    /// emergency.
    pub fn blocking_incident(&self, kind: ChangeKind, scope: &Scope) -> Option<SequenceNumber> {
        let blocks =
            |incident: &Incident| blocking_rule(incident.severity, &incident.scope, kind, scope).is_some();
        self.incidents.iter().find(|(_, incident)| blocks(incident)).map(|(number, _)| *number)
    }
}
