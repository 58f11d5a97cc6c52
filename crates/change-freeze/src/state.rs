//! Incidents, changes and permits, as the keepers agree on them. Each command may come twice and late; a permit's number
//! is its token and rises for ever.

use crate::rules::{blocking_rule, ChangeKind, Reaction, Rule, Severity};
use crate::scope::Scope;
use crate::{is_valid_name, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Most incidents, changes and lines of the record that are kept: what a snapshot carries is bounded.
pub const MAX_INCIDENTS: usize = 256;
/// See [`MAX_INCIDENTS`].
pub const MAX_CHANGES: usize = 256;
/// See [`MAX_INCIDENTS`]; the oldest go first.
pub const MAX_AUDIT_RECORDS: usize = 512;
/// Longest time that a change may ask for: a day.
pub const MAX_CHANGE_DURATION_MS: Millis = 86_400_000;
/// How long a change that was barred in flight has to finish, pause or undo before it counts as stuck.
pub const REACTION_TIMEOUT_MS: Millis = 60_000;
/// How long an incident that was resolved still bars: what comes back at once is the same incident.
pub const INCIDENT_COOLDOWN_MS: Millis = 30_000;
/// How long an emergency waits for its second person.
pub const SECOND_APPROVAL_TIMEOUT_MS: Millis = 60_000;
/// When a refused change is told to ask again.
pub const BLOCKED_RETRY_AFTER_MS: Millis = 5_000;
/// How much worth a waiting change gains each time that another goes before it.
const PRIORITY_PER_OVERTAKE: u32 = 16;

/// Number of an incident or a change; they share one count, which rises for ever.
pub type Number = u64;

/// Who did something.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Requester {
    /// A person, by the one name that all of theirs lead to.
    Person(String),
    /// The coordinator, by this token. Whether it is the newest is checked before it comes here.
    Rule(u64),
}

impl fmt::Display for Requester {
    /// The form that stands in audit records. These are replicated, so every version has to write the same bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Requester::Person(name) => write!(f, "Person({name:?})"),
            Requester::Rule(token) => write!(f, "Rule({token})"),
        }
    }
}

/// An incident.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Incident {
    /// How bad.
    pub severity: Severity,
    /// What it touches.
    pub scope: Scope,
    /// What was seen.
    pub evidence: String,
    /// Who opened it.
    pub opened_by: Requester,
    /// Who has taken it on.
    pub assignee: Option<String>,
    /// Resolved, and not forgotten yet.
    pub cooling_down: bool,
    /// The changes that remedy it.
    pub remedies: BTreeSet<Number>,
    /// Rises with each news of it, so that a wait that began before one ends nothing.
    pub version: u64,
}

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum ChangeStatus {
    /// Barred by an incident, or in line.
    Queued,
    /// An emergency that one person has asked for.
    AwaitingSecondApproval,
    /// It may be carried out.
    InFlight,
    /// An incident has opened: it does what it declared.
    Reacting,
    /// It has not said in time that it did.
    Overdue,
}

impl ChangeStatus {
    /// Whether it may be altering the fleet.
    pub fn is_in_flight(self) -> bool {
        matches!(self, ChangeStatus::InFlight | ChangeStatus::Reacting | ChangeStatus::Overdue)
    }
}

/// What a change asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct ChangeRequest {
    /// What it is.
    pub kind: ChangeKind,
    /// What it touches.
    pub scope: Scope,
    /// Who asks.
    pub requested_by: String,
    /// How much it matters, 0 to 255.
    pub priority: u8,
    /// How long it runs at most, in milliseconds, from when it asked.
    pub max_duration: Millis,
    /// What it does if an incident opens.
    pub reaction: Reaction,
}

/// A change that waits or is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// What it asked for.
    pub request: ChangeRequest,
    /// Where it stands.
    pub status: ChangeStatus,
    /// Two people have asked for it.
    pub emergency: bool,
    /// How often another went before it while it waited.
    pub overtaken: u32,
    /// See [`Incident::version`].
    pub version: u64,
}

/// What is proposed to the keepers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum FreezeCommand {
    /// Opens an incident, or adds to the one that is open for the same scope by the same kind of opener.
    OpenIncident {
        /// How bad.
        severity: Severity,
        /// What it touches.
        scope: Scope,
        /// What was seen.
        evidence: String,
        /// Who opens it.
        opened_by: Requester,
    },
    /// A person takes it on.
    AssignIncident {
        /// Which.
        incident: Number,
        /// Who.
        person: String,
    },
    /// It is over; it cools down before it is forgotten.
    ResolveIncident {
        /// Which.
        incident: Number,
        /// Who says so. A rule closes only what a rule has opened and nobody has taken.
        resolved_by: Requester,
    },
    /// It has cooled down.
    CooldownElapsed {
        /// Which.
        incident: Number,
        /// What was waited for.
        version: u64,
    },
    /// A change remedies an incident.
    LinkRemedy {
        /// The incident.
        incident: Number,
        /// The change.
        change: Number,
        /// Who says so.
        person: String,
    },
    /// Asks for a permit.
    RequestChange(ChangeRequest),
    /// Asks for one in spite of incidents; the second of two different people gets it.
    RequestEmergencyChange(ChangeRequest),
    /// The change is over, was undone, or waits no more.
    FinishChange {
        /// Which.
        change: Number,
    },
    /// A keeper has waited for as long as the change's stand lasts at most.
    ExpireChange {
        /// Which.
        change: Number,
        /// What was waited for.
        version: u64,
    },
    /// A person has looked at a stuck change, and it is over.
    ClearOverdueChange {
        /// Which.
        change: Number,
        /// Who.
        person: String,
    },
    /// A signal of the platform: nothing bars it, it is only written down.
    RecordSignal {
        /// What came to which copy.
        description: String,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Response {
    /// It is done; the number is the incident's or the change's.
    Accepted(Number),
    /// The change may be carried out under this number.
    Permitted(Number),
    /// It waits in line.
    Queued {
        /// Its number.
        change: Number,
        /// Behind which.
        behind: Number,
    },
    /// It waits for the second of two people.
    AwaitingSecondApproval(Number),
    /// An incident bars it.
    Blocked {
        /// Its number: it can be named as a remedy.
        change: Number,
        /// By which incident.
        incident: Number,
        /// When to ask again, in milliseconds.
        retry_after: Millis,
    },
    /// Nothing came of it.
    Rejected(RejectReason),
}

/// Why nothing came of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum RejectReason {
    /// There is none of that number.
    #[error("there is none of that number")]
    NotFound,
    /// What it goes by is over.
    #[error("it has changed since")]
    Superseded,
    /// A rule closes only what a rule has opened.
    #[error("a person has opened it or taken it on, so only a person closes it")]
    NotByRule,
    /// The same person asked twice.
    #[error("the same person has asked already; an emergency takes two")]
    SamePerson,
    /// A text is empty, too long or holds what can't be printed.
    #[error("{}", crate::NAME_RULE)]
    InvalidName,
    /// It would run for too long or not at all.
    #[error("a change runs for 1 ms to a day")]
    InvalidDuration,
    /// The register is full.
    #[error("there are as many incidents or changes as may be open")]
    CapacityReached,
}

/// A line of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AuditRecord {
    /// Its number, without gaps.
    pub sequence: u64,
    /// What it is about.
    pub subject: Number,
    /// What happened.
    pub description: String,
}

/// Something that runs out by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum TimerKey {
    /// An incident that cools down.
    Incident(Number),
    /// A change: its permit, its reaction, or its second person.
    Change(Number),
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct FreezeState {
    last_number: Number,
    incidents: BTreeMap<Number, Incident>,
    changes: BTreeMap<Number, Change>,
    audit_sequence: u64,
    audit_log: VecDeque<AuditRecord>,
}

impl FreezeState {
    /// Applies what the keepers have agreed on.
    pub fn apply(&mut self, command: &FreezeCommand) -> Response {
        let answer = self.execute(command).unwrap_or_else(Response::Rejected);
        self.grant_unblocked_changes();
        answer
    }

    fn execute(&mut self, command: &FreezeCommand) -> Result<Response, RejectReason> {
        match command {
            FreezeCommand::OpenIncident { severity, scope, evidence, opened_by: by } => {
                self.open_incident(*severity, scope, evidence, by)
            }
            FreezeCommand::AssignIncident { incident, person } => {
                check_name(person)?;
                let of = self.incidents.get_mut(incident).ok_or(RejectReason::NotFound)?;
                of.assignee = Some(person.clone());
                of.version += 1;
                Ok(self.append_audit(*incident, format!("taken by {person}")))
            }
            FreezeCommand::ResolveIncident { incident, resolved_by: by } => {
                self.resolve_incident(*incident, by)
            }
            FreezeCommand::CooldownElapsed { incident, version } => {
                let of = self.incidents.get(incident).ok_or(RejectReason::NotFound)?;
                if !of.cooling_down || of.version != *version {
                    return Err(RejectReason::Superseded);
                }
                self.incidents.remove(incident);
                Ok(self.append_audit(*incident, "over".into()))
            }
            FreezeCommand::LinkRemedy { incident, change, person } => {
                check_name(person)?;
                if !self.changes.contains_key(change) {
                    return Err(RejectReason::NotFound);
                }
                let of = self.incidents.get_mut(incident).ok_or(RejectReason::NotFound)?;
                of.remedies.insert(*change);
                Ok(self.append_audit(*incident, format!("{person} names change {change} as its remedy")))
            }
            FreezeCommand::RequestChange(wish) => self.request_change(wish),
            FreezeCommand::RequestEmergencyChange(wish) => self.request_emergency_change(wish),
            FreezeCommand::FinishChange { change } => self.remove_change(*change, "done".into()),
            FreezeCommand::ExpireChange { change, version } => self.expire_change(*change, *version),
            FreezeCommand::ClearOverdueChange { change, person } => {
                check_name(person)?;
                self.remove_change(*change, format!("cleared by {person}"))
            }
            FreezeCommand::RecordSignal { description: what } => {
                let what: String =
                    what.chars().filter(|c| !c.is_control()).take(crate::MAX_NAME_BYTES).collect();
                Ok(self.append_audit(0, format!("without a permit: {what}")))
            }
        }
    }

    fn append_audit(&mut self, about: Number, what: String) -> Response {
        self.audit_sequence += 1;
        self.audit_log.push_back(AuditRecord {
            sequence: self.audit_sequence,
            subject: about,
            description: what,
        });
        if self.audit_log.len() > MAX_AUDIT_RECORDS {
            self.audit_log.pop_front();
        }
        Response::Accepted(about)
    }

    fn next_number(&mut self) -> Number {
        self.last_number += 1;
        self.last_number
    }

    // ---- incidents ----

    fn open_incident(
        &mut self,
        severity: Severity,
        scope: &Scope,
        evidence: &str,
        by: &Requester,
    ) -> Result<Response, RejectReason> {
        if let Requester::Person(person) = by {
            check_name(person)?;
        }
        let evidence: String = evidence.chars().filter(|c| !c.is_control()).take(200).collect();
        let by_rule = |by: &Requester| matches!(by, Requester::Rule(_));
        // What flaps is one incident: it is open again, or worse than it was.
        let known = self
            .incidents
            .iter_mut()
            .find(|(_, i)| i.scope == *scope && by_rule(&i.opened_by) == by_rule(by));
        let number = if let Some((number, known)) = known {
            known.severity = known.severity.max(severity);
            known.evidence = evidence;
            known.cooling_down = false;
            known.version += 1;
            *number
        } else if self.incidents.len() >= MAX_INCIDENTS {
            return Err(RejectReason::CapacityReached);
        } else {
            let number = self.next_number();
            let (taken, remedies) = (None, BTreeSet::new());
            let (scope, by) = (scope.clone(), by.clone());
            let new = Incident {
                severity,
                scope,
                evidence,
                opened_by: by,
                assignee: taken,
                cooling_down: false,
                remedies,
                version: 0,
            };
            self.incidents.insert(number, new);
            number
        };
        let answer = self.append_audit(number, format!("{severity} incident at {scope} by {by}"));
        self.notify_blocked_changes(number);
        Ok(answer)
    }

    /// What is in flight and barred now does what it declared, with a deadline.
    fn notify_blocked_changes(&mut self, incident: Number) {
        let Some(of) = self.incidents.get(&incident) else { return };
        let barred = |(number, change): &(&Number, &mut Change)| {
            change.status == ChangeStatus::InFlight
                && !change.emergency
                && !of.remedies.contains(number)
                && blocking_rule(of.severity, &of.scope, change.request.kind, &change.request.scope).is_some()
        };
        let mut notes = Vec::new();
        for (number, change) in self.changes.iter_mut().filter(barred) {
            // What declared that it finishes keeps the time it was given.
            if change.request.reaction != Reaction::Finish {
                change.status = ChangeStatus::Reacting;
                change.version += 1;
                notes.push((*number, format!("has to {} for incident {incident}", change.request.reaction)));
            }
        }
        for (number, note) in notes {
            self.append_audit(number, note);
        }
    }

    fn resolve_incident(&mut self, incident: Number, by: &Requester) -> Result<Response, RejectReason> {
        let of = self.incidents.get_mut(&incident).ok_or(RejectReason::NotFound)?;
        match by {
            Requester::Person(person) => check_name(person)?,
            Requester::Rule(_) if !matches!(of.opened_by, Requester::Rule(_)) || of.assignee.is_some() => {
                return Err(RejectReason::NotByRule)
            }
            Requester::Rule(_) => {}
        }
        if of.cooling_down {
            return Err(RejectReason::Superseded);
        }
        of.cooling_down = true;
        of.version += 1;
        Ok(self.append_audit(incident, format!("resolved by {by}")))
    }

    // ---- changes ----

    fn enqueue(
        &mut self,
        wish: &ChangeRequest,
        stand: ChangeStatus,
        emergency: bool,
    ) -> Result<Number, RejectReason> {
        check_name(&wish.requested_by)?;
        if !(1..=MAX_CHANGE_DURATION_MS).contains(&wish.max_duration) {
            return Err(RejectReason::InvalidDuration);
        }
        if self.changes.len() >= MAX_CHANGES {
            return Err(RejectReason::CapacityReached);
        }
        let number = self.next_number();
        let wish = wish.clone();
        self.changes
            .insert(number, Change { request: wish, status: stand, emergency, overtaken: 0, version: 0 });
        Ok(number)
    }

    fn request_change(&mut self, wish: &ChangeRequest) -> Result<Response, RejectReason> {
        let number = self.enqueue(wish, ChangeStatus::Queued, false)?;
        self.append_audit(
            number,
            format!("{} at {} asked for by {}", wish.kind, wish.scope, wish.requested_by),
        );
        Ok(self.decide(number))
    }

    fn request_emergency_change(&mut self, wish: &ChangeRequest) -> Result<Response, RejectReason> {
        check_name(&wish.requested_by)?;
        let same = |c: &Change| {
            c.status == ChangeStatus::AwaitingSecondApproval
                && c.request.kind == wish.kind
                && c.request.scope == wish.scope
        };
        let Some((number, half)) = self.changes.iter_mut().find(|(_, c)| same(c)) else {
            let number = self.enqueue(wish, ChangeStatus::AwaitingSecondApproval, false)?;
            self.append_audit(
                number,
                format!("emergency {} at {} by {}", wish.kind, wish.scope, wish.requested_by),
            );
            return Ok(Response::AwaitingSecondApproval(number));
        };
        if half.request.requested_by == wish.requested_by {
            return Err(RejectReason::SamePerson);
        }
        let number = *number;
        half.emergency = true;
        half.status = ChangeStatus::Queued;
        half.version += 1;
        self.append_audit(number, format!("emergency seconded by {}", wish.requested_by));
        Ok(self.decide(number))
    }

    /// What keeps a waiting change from its permit, by the rules in their order.
    fn blocking_reason(&self, number: Number) -> Option<(Rule, Number)> {
        let change = self.changes.get(&number)?;
        let wish = &change.request;
        let meets = |other: &Change| other.request.scope.overlaps(&wish.scope);
        let others = || self.changes.iter().filter(|(n, _)| **n != number);
        if let Some((other, _)) = others().find(|(_, c)| c.status.is_in_flight() && meets(c)) {
            return Some((Rule::ExclusiveScope, *other));
        }
        if !change.emergency {
            let barred = self.incidents.iter().find_map(|(n, i)| {
                let rule = blocking_rule(i.severity, &i.scope, wish.kind, &wish.scope)?;
                (!i.remedies.contains(&number)).then_some((rule, *n))
            });
            if barred.is_some() {
                return barred;
            }
        }
        // One that waits for something else than an incident keeps its place before later ones, or a wide scope would
        // never find all its parts free.
        let first = |n: Number, c: &Change| (c.emergency, c.effective_priority(), std::cmp::Reverse(n));
        let own = first(number, change);
        let ahead = others().find(|(n, c)| {
            c.status == ChangeStatus::Queued
                && meets(c)
                && first(**n, c) > own
                && !self.is_blocked_by_incident(**n, c)
        });
        ahead.map(|(n, _)| (Rule::QueueOrder, *n))
    }

    fn is_blocked_by_incident(&self, number: Number, change: &Change) -> bool {
        let wish = &change.request;
        !change.emergency
            && self.incidents.values().any(|i| {
                blocking_rule(i.severity, &i.scope, wish.kind, &wish.scope).is_some()
                    && !i.remedies.contains(&number)
            })
    }

    fn decide(&mut self, number: Number) -> Response {
        match self.blocking_reason(number) {
            None => {
                self.grant_permit(number);
                Response::Permitted(number)
            }
            Some((Rule::ExclusiveScope | Rule::QueueOrder, behind)) => {
                Response::Queued { change: number, behind }
            }
            Some((_, incident)) => {
                Response::Blocked { change: number, incident, retry_after: BLOCKED_RETRY_AFTER_MS }
            }
        }
    }

    fn grant_permit(&mut self, number: Number) {
        let Some(change) = self.changes.get_mut(&number) else { return };
        change.status = ChangeStatus::InFlight;
        change.version += 1;
        let scope = change.request.scope.clone();
        for (other, waits) in &mut self.changes {
            if *other < number && waits.status == ChangeStatus::Queued && waits.request.scope.overlaps(&scope)
            {
                waits.overtaken += 1;
            }
        }
        self.append_audit(number, "permit given".into());
    }

    /// Gives permits to those in line that nothing keeps from theirs any more.
    fn grant_unblocked_changes(&mut self) {
        loop {
            let waiting = self.changes.iter().filter(|(_, c)| c.status == ChangeStatus::Queued);
            let mut waiting: Vec<Number> = waiting.map(|(n, _)| *n).collect();
            waiting.sort_by_key(|n| std::cmp::Reverse(self.changes[n].effective_priority()));
            match waiting.into_iter().find(|n| self.blocking_reason(*n).is_none()) {
                Some(free) => self.grant_permit(free),
                None => return,
            }
        }
    }

    fn remove_change(&mut self, change: Number, what: String) -> Result<Response, RejectReason> {
        self.changes.remove(&change).ok_or(RejectReason::NotFound)?;
        for incident in self.incidents.values_mut() {
            incident.remedies.remove(&change);
        }
        Ok(self.append_audit(change, what))
    }

    fn expire_change(&mut self, number: Number, version: u64) -> Result<Response, RejectReason> {
        let change = self.changes.get_mut(&number).ok_or(RejectReason::NotFound)?;
        if change.version != version {
            return Err(RejectReason::Superseded);
        }
        match change.status {
            // It may still be half done, and nobody knows: it goes on to keep others away.
            ChangeStatus::Reacting => {
                change.status = ChangeStatus::Overdue;
                change.version += 1;
                Ok(self.append_audit(number, "stuck".into()))
            }
            ChangeStatus::Overdue => Err(RejectReason::Superseded),
            ChangeStatus::InFlight => self.remove_change(number, "its time ran out".into()),
            ChangeStatus::Queued | ChangeStatus::AwaitingSecondApproval => {
                self.remove_change(number, "nobody waits for it any more".into())
            }
        }
    }

    // ---- what is read ----

    /// What runs out by itself, what is counted of it, and after how long.
    pub fn timers(&self) -> impl Iterator<Item = (TimerKey, u64, Millis)> + '_ {
        let cooling = self.incidents.iter().filter(|(_, i)| i.cooling_down);
        let changes = self.changes.iter().filter(|(_, c)| c.status != ChangeStatus::Overdue);
        cooling.map(|(n, i)| (TimerKey::Incident(*n), i.version, INCIDENT_COOLDOWN_MS)).chain(changes.map(
            |(n, c)| {
                let after = match c.status {
                    ChangeStatus::AwaitingSecondApproval => SECOND_APPROVAL_TIMEOUT_MS,
                    ChangeStatus::Reacting => REACTION_TIMEOUT_MS,
                    // A wait in line is as long as the change itself may be.
                    ChangeStatus::Queued | ChangeStatus::InFlight | ChangeStatus::Overdue => {
                        c.request.max_duration
                    }
                };
                (TimerKey::Change(*n), c.version, after)
            },
        ))
    }

    /// The command by which a wait that is over ends.
    pub fn expiry_command(wait: TimerKey, version: u64) -> FreezeCommand {
        match wait {
            TimerKey::Incident(incident) => FreezeCommand::CooldownElapsed { incident, version },
            TimerKey::Change(change) => FreezeCommand::ExpireChange { change, version },
        }
    }

    /// All incidents that bar something.
    pub fn incidents(&self) -> &BTreeMap<Number, Incident> {
        &self.incidents
    }

    /// All changes that wait or are in flight.
    pub fn changes(&self) -> &BTreeMap<Number, Change> {
        &self.changes
    }

    /// What happened, in order; the oldest lines are gone.
    pub fn audit_log(&self) -> &VecDeque<AuditRecord> {
        &self.audit_log
    }

    /// The incident that would bar such a change now, if any.
    pub fn blocking_incident(&self, kind: ChangeKind, scope: &Scope) -> Option<Number> {
        let barring =
            self.incidents.iter().find(|(_, i)| blocking_rule(i.severity, &i.scope, kind, scope).is_some());
        barring.map(|(number, _)| *number)
    }

    /// What must never be: two in flight that meet. Asked by tests and by the referee, after each command.
    pub fn check_invariants(&self) -> Option<String> {
        let in_flight: Vec<_> = self.changes.iter().filter(|(_, c)| c.status.is_in_flight()).collect();
        for (i, (a, one)) in in_flight.iter().enumerate() {
            if let Some((b, _)) =
                in_flight[i + 1..].iter().find(|(_, c)| c.request.scope.overlaps(&one.request.scope))
            {
                return Some(format!("changes {a} and {b} are in flight at once"));
            }
        }
        let loose = self.changes.iter().find(|(number, c)| {
            c.status == ChangeStatus::InFlight
                && c.request.reaction != Reaction::Finish
                && self.is_blocked_by_incident(**number, c)
        });
        loose.map(|(number, _)| format!("change {number} goes on though an incident bars it"))
    }
}

impl Change {
    fn effective_priority(&self) -> u32 {
        u32::from(self.request.priority) + self.overtaken.saturating_mul(PRIORITY_PER_OVERTAKE)
    }
}

fn check_name(text: &str) -> Result<(), RejectReason> {
    is_valid_name(text).then_some(()).ok_or(RejectReason::InvalidName)
}
