//! Samples of incidents, changes and change permits.

use super::{each_variant, Sample};
use hillstall_change_freeze::detection::{Detector, Observation, Symptom, Thresholds};
use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{
    AuditRecord, Change, ChangeRequest, ChangeStatus, FreezeCommand, FreezeState, Incident, RejectReason,
    Requester, Response,
};

/// A request for a change, with a fixed priority, maximum duration and reaction.
pub fn request(kind: ChangeKind, scope: Scope, who: &str) -> ChangeRequest {
    ChangeRequest {
        kind,
        scope,
        requested_by: who.into(),
        priority: 130,
        max_duration: 70_001,
        reaction: Reaction::Undo,
    }
}

/// A site as a scope.
pub fn site(name: &str) -> Scope {
    Scope::Site(name.into())
}

fn commands() -> Vec<Sample> {
    let person = |name: &str| Requester::Person(name.into());
    each_variant!(Sample::of, FreezeCommand {
        "freeze/command/open-incident": FreezeCommand::OpenIncident { .. } => FreezeCommand::OpenIncident {
            severity: Severity::Major,
            scope: site("north"),
            evidence: "half of it is lost".into(),
            opened_by: person("mira"),
        },
        "freeze/command/assign-incident": FreezeCommand::AssignIncident { .. } =>
            FreezeCommand::AssignIncident { incident: 401, person: "tom".into() },
        "freeze/command/resolve-incident": FreezeCommand::ResolveIncident { .. } =>
            FreezeCommand::ResolveIncident { incident: 402, resolved_by: Requester::Coordinator(403) },
        "freeze/command/cooldown-elapsed": FreezeCommand::CooldownElapsed { .. } =>
            FreezeCommand::CooldownElapsed { incident: 404, version: 405 },
        "freeze/command/link-remedy": FreezeCommand::LinkRemedy { .. } =>
            FreezeCommand::LinkRemedy { incident: 406, change: 407, person: "ida".into() },
        "freeze/command/request-change": FreezeCommand::RequestChange(_) =>
            FreezeCommand::RequestChange(request(ChangeKind::Upgrade, Scope::Tier("cache".into()), "ben")),
        "freeze/command/request-emergency-change": FreezeCommand::RequestEmergencyChange(_) =>
            FreezeCommand::RequestEmergencyChange(request(ChangeKind::Drain, Scope::Replicas, "ana")),
        "freeze/command/finish-change": FreezeCommand::FinishChange { .. } => FreezeCommand::FinishChange { change: 408 },
        "freeze/command/expire-change": FreezeCommand::ExpireChange { .. } =>
            FreezeCommand::ExpireChange { change: 409, version: 410 },
        "freeze/command/clear-overdue-change": FreezeCommand::ClearOverdueChange { .. } =>
            FreezeCommand::ClearOverdueChange { change: 411, person: "kai".into() },
        "freeze/command/record-signal": FreezeCommand::RecordSignal { .. } =>
            FreezeCommand::RecordSignal { description: "terminated at 12".into() },
    })
}

fn scopes() -> Vec<Sample> {
    each_variant!(Sample::of, Scope {
        "freeze/scope/fleet": Scope::Fleet => Scope::Fleet,
        "freeze/scope/site": Scope::Site(_) => Scope::Site("south".into()),
        "freeze/scope/tier": Scope::Tier(_) => Scope::Tier("store".into()),
        "freeze/scope/replicas": Scope::Replicas => Scope::Replicas,
        "freeze/scope/class": Scope::Class(_) => Scope::Class("bulk".into()),
        "freeze/scope/tenant": Scope::Tenant(_) => Scope::Tenant("acme".into()),
        "freeze/scope/instance": Scope::Instance { .. } => Scope::Instance { site: "west".into(), rank: 412 },
    })
}

fn enum_values() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, ChangeKind {
        "freeze/kind/operator-file": ChangeKind::OperatorFile => ChangeKind::OperatorFile,
        "freeze/kind/upgrade": ChangeKind::Upgrade => ChangeKind::Upgrade,
        "freeze/kind/drain": ChangeKind::Drain => ChangeKind::Drain,
        "freeze/kind/window": ChangeKind::Window => ChangeKind::Window,
        "freeze/kind/replica": ChangeKind::Replica => ChangeKind::Replica,
        "freeze/kind/settings": ChangeKind::Settings => ChangeKind::Settings,
    });
    samples.extend(each_variant!(Sample::of, Severity {
        "freeze/severity/minor": Severity::Minor => Severity::Minor,
        "freeze/severity/major": Severity::Major => Severity::Major,
        "freeze/severity/critical": Severity::Critical => Severity::Critical,
    }));
    samples.extend(each_variant!(Sample::of, Reaction {
        "freeze/reaction/finish": Reaction::Finish => Reaction::Finish,
        "freeze/reaction/pause": Reaction::Pause => Reaction::Pause,
        "freeze/reaction/undo": Reaction::Undo => Reaction::Undo,
    }));
    samples.extend(each_variant!(Sample::of, Requester {
        "freeze/requester/person": Requester::Person(_) => Requester::Person("eva".into()),
        "freeze/requester/coordinator": Requester::Coordinator(_) => Requester::Coordinator(413),
    }));
    samples.extend(each_variant!(Sample::of, ChangeStatus {
        "freeze/status/queued": ChangeStatus::Queued => ChangeStatus::Queued,
        "freeze/status/awaiting-second-approval": ChangeStatus::AwaitingSecondApproval => ChangeStatus::AwaitingSecondApproval,
        "freeze/status/in-flight": ChangeStatus::InFlight => ChangeStatus::InFlight,
        "freeze/status/reacting": ChangeStatus::Reacting => ChangeStatus::Reacting,
        "freeze/status/overdue": ChangeStatus::Overdue => ChangeStatus::Overdue,
    }));
    samples
}

fn responses() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, Response {
        "freeze/response/accepted": Response::Accepted(_) => Response::Accepted(414),
        "freeze/response/permitted": Response::Permitted(_) => Response::Permitted(415),
        "freeze/response/queued": Response::Queued { .. } => Response::Queued { change: 416, behind: 417 },
        "freeze/response/awaiting-second-approval": Response::AwaitingSecondApproval(_) => Response::AwaitingSecondApproval(418),
        "freeze/response/blocked": Response::Blocked { .. } =>
            Response::Blocked { change: 419, incident: 420, retry_after: 421 },
        "freeze/response/rejected": Response::Rejected(_) => Response::Rejected(RejectReason::SamePerson),
    });
    samples.extend(each_variant!(Sample::of, RejectReason {
        "freeze/rejected/not-found": RejectReason::NotFound => RejectReason::NotFound,
        "freeze/rejected/superseded": RejectReason::Superseded => RejectReason::Superseded,
        "freeze/rejected/requires-person": RejectReason::RequiresPerson => RejectReason::RequiresPerson,
        "freeze/rejected/same-person": RejectReason::SamePerson => RejectReason::SamePerson,
        "freeze/rejected/invalid-name": RejectReason::InvalidName => RejectReason::InvalidName,
        "freeze/rejected/invalid-duration": RejectReason::InvalidDuration => RejectReason::InvalidDuration,
        "freeze/rejected/capacity-reached": RejectReason::CapacityReached => RejectReason::CapacityReached,
    }));
    samples
}

fn stored_values() -> Vec<Sample> {
    let incident = Incident {
        severity: Severity::Critical,
        scope: Scope::Class("batch".into()),
        evidence: "seen twice".into(),
        opened_by: Requester::Coordinator(422),
        assignee: Some("leo".into()),
        cooling_down: true,
        remedies: [423, 424].into(),
        version: 425,
    };
    let change = Change {
        request: request(ChangeKind::Settings, Scope::Tenant("umbra".into()), "zoe"),
        status: ChangeStatus::Reacting,
        emergency: true,
        overtaken: 426,
        version: 427,
    };
    let audit_record = AuditRecord { sequence: 428, subject: 429, description: "permit given".into() };
    vec![
        Sample::of("freeze/incident", incident),
        Sample::of("freeze/request", request(ChangeKind::Replica, Scope::Fleet, "ivo")),
        Sample::of("freeze/change", change),
        Sample::of("freeze/audit-record", audit_record),
    ]
}

/// The command by which the coordinator opens an incident for a symptom. The text of the evidence is stored
/// in the incident.
fn open_incident_for(symptom: Symptom, level: f64) -> FreezeCommand {
    let mut detector = Detector::new(Thresholds::default());
    let freeze = FreezeState::default();
    let observations = [Observation { scope: site("east"), symptom, level }];
    assert!(
        detector.poll(0, &observations, &freeze, 430).is_empty(),
        "an incident is opened only after the symptom has lasted for some time"
    );
    let mut commands = detector.poll(5_000, &observations, &freeze, 430);
    assert_eq!(commands.len(), 1);
    commands.remove(0)
}

fn evidence() -> Vec<Sample> {
    let sample =
        |name: &str, (symptom, level): (Symptom, f64)| Sample::of(name, open_incident_for(symptom, level));
    each_variant!(sample, (Symptom, f64) {
        "freeze/evidence/unanswered": (Symptom::Unanswered, _) => (Symptom::Unanswered, 0.61),
        "freeze/evidence/rejected": (Symptom::Rejected, _) => (Symptom::Rejected, 0.62),
        "freeze/evidence/failed": (Symptom::Failed, _) => (Symptom::Failed, 0.63),
        "freeze/evidence/quorum-margin": (Symptom::QuorumMargin, _) => (Symptom::QuorumMargin, 1.0),
    })
}

/// The samples of this module.
pub fn samples() -> Vec<Sample> {
    [commands(), scopes(), enum_values(), responses(), stored_values(), evidence()]
        .into_iter()
        .flatten()
        .collect()
}
