//! Incidents, changes and their permits.

use super::{each_variant, Sample};
use hillstall_freeze::detect::{Detector, Fact, Limits, Sign};
use hillstall_freeze::register::{
    Answer, By, Change, Command, Incident, Line, Refused, Register, Stand, Wish,
};
use hillstall_freeze::rules::{Kind, Reaction, Severity};
use hillstall_freeze::scope::Scope;

/// What a change asks for.
pub fn request(kind: Kind, scope: Scope, who: &str) -> Wish {
    Wish { kind, scope, who: who.into(), worth: 130, runs_for: 70_001, reaction: Reaction::Undo }
}

/// A site as a scope.
pub fn site(name: &str) -> Scope {
    Scope::Site(name.into())
}

fn commands() -> Vec<Sample> {
    let person = |name: &str| By::Person(name.into());
    each_variant!(Sample::of, Command {
        "freeze/command/open-incident": Command::Open { .. } => Command::Open {
            severity: Severity::Major,
            scope: site("north"),
            evidence: "half of it is lost".into(),
            by: person("mira"),
        },
        "freeze/command/take-incident": Command::Take { .. } =>
            Command::Take { incident: 401, person: "tom".into() },
        "freeze/command/resolve-incident": Command::Resolve { .. } =>
            Command::Resolve { incident: 402, by: By::Rule(403) },
        "freeze/command/close-incident": Command::Cooled { .. } =>
            Command::Cooled { incident: 404, version: 405 },
        "freeze/command/name-remedy": Command::Name { .. } =>
            Command::Name { incident: 406, change: 407, person: "ida".into() },
        "freeze/command/request-change": Command::Ask(_) =>
            Command::Ask(request(Kind::Upgrade, Scope::Tier("cache".into()), "ben")),
        "freeze/command/request-emergency": Command::Emergency(_) =>
            Command::Emergency(request(Kind::Drain, Scope::Keepers, "ana")),
        "freeze/command/finish-change": Command::Done { .. } => Command::Done { change: 408 },
        "freeze/command/expire-change": Command::Lapse { .. } =>
            Command::Lapse { change: 409, version: 410 },
        "freeze/command/clear-change": Command::Clear { .. } =>
            Command::Clear { change: 411, person: "kai".into() },
        "freeze/command/record-signal": Command::Signal { .. } =>
            Command::Signal { what: "terminated at 12".into() },
    })
}

fn scopes() -> Vec<Sample> {
    each_variant!(Sample::of, Scope {
        "freeze/scope/fleet": Scope::Fleet => Scope::Fleet,
        "freeze/scope/site": Scope::Site(_) => Scope::Site("south".into()),
        "freeze/scope/tier": Scope::Tier(_) => Scope::Tier("store".into()),
        "freeze/scope/replicas": Scope::Keepers => Scope::Keepers,
        "freeze/scope/class": Scope::Class(_) => Scope::Class("bulk".into()),
        "freeze/scope/tenant": Scope::Tenant(_) => Scope::Tenant("acme".into()),
        "freeze/scope/instance": Scope::Copy { .. } => Scope::Copy { site: "west".into(), rank: 412 },
    })
}

fn words() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, Kind {
        "freeze/kind/operator-file": Kind::OperatorFile => Kind::OperatorFile,
        "freeze/kind/upgrade": Kind::Upgrade => Kind::Upgrade,
        "freeze/kind/drain": Kind::Drain => Kind::Drain,
        "freeze/kind/window": Kind::Window => Kind::Window,
        "freeze/kind/replica": Kind::Keeper => Kind::Keeper,
        "freeze/kind/settings": Kind::Settings => Kind::Settings,
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
    samples.extend(each_variant!(Sample::of, By {
        "freeze/requester/person": By::Person(_) => By::Person("eva".into()),
        "freeze/requester/rule": By::Rule(_) => By::Rule(413),
    }));
    samples.extend(each_variant!(Sample::of, Stand {
        "freeze/status/queued": Stand::Waits => Stand::Waits,
        "freeze/status/awaiting-second-approval": Stand::Half => Stand::Half,
        "freeze/status/in-flight": Stand::InFlight => Stand::InFlight,
        "freeze/status/reacting": Stand::Reacts => Stand::Reacts,
        "freeze/status/overdue": Stand::Stuck => Stand::Stuck,
    }));
    samples
}

fn responses() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, Answer {
        "freeze/response/done": Answer::Done(_) => Answer::Done(414),
        "freeze/response/permit": Answer::Permit(_) => Answer::Permit(415),
        "freeze/response/queued": Answer::Waits { .. } => Answer::Waits { change: 416, behind: 417 },
        "freeze/response/awaiting-second-approval": Answer::Half(_) => Answer::Half(418),
        "freeze/response/blocked": Answer::Barred { .. } =>
            Answer::Barred { change: 419, incident: 420, ask_again: 421 },
        "freeze/response/rejected": Answer::Refused(_) => Answer::Refused(Refused::SamePerson),
    });
    samples.extend(each_variant!(Sample::of, Refused {
        "freeze/rejected/unknown": Refused::Unknown => Refused::Unknown,
        "freeze/rejected/stale": Refused::Over => Refused::Over,
        "freeze/rejected/not-by-rule": Refused::NotByRule => Refused::NotByRule,
        "freeze/rejected/same-person": Refused::SamePerson => Refused::SamePerson,
        "freeze/rejected/name": Refused::Name => Refused::Name,
        "freeze/rejected/duration": Refused::Runs => Refused::Runs,
        "freeze/rejected/full": Refused::Full => Refused::Full,
    }));
    samples
}

fn stored() -> Vec<Sample> {
    let incident = Incident {
        severity: Severity::Critical,
        scope: Scope::Class("batch".into()),
        evidence: "seen twice".into(),
        by: By::Rule(422),
        taken: Some("leo".into()),
        cooling: true,
        remedies: [423, 424].into(),
        version: 425,
    };
    let change = Change {
        wish: request(Kind::Settings, Scope::Tenant("umbra".into()), "zoe"),
        stand: Stand::Reacts,
        emergency: true,
        passed: 426,
        version: 427,
    };
    let line = Line { number: 428, about: 429, what: "permit given".into() };
    vec![
        Sample::of("freeze/incident", incident),
        Sample::of("freeze/request", request(Kind::Keeper, Scope::Fleet, "ivo")),
        Sample::of("freeze/change", change),
        Sample::of("freeze/audit-record", line),
    ]
}

/// What the coordinator proposes for a symptom: the words of its evidence are kept with the incident.
fn opened_for(sign: Sign, level: f64) -> Command {
    let mut detector = Detector::new(Limits::default());
    let register = Register::default();
    let facts = [Fact { scope: site("east"), sign, level }];
    assert!(detector.look(0, &facts, &register, 430).is_empty(), "it opens only after a time");
    let mut commands = detector.look(5_000, &facts, &register, 430);
    assert_eq!(commands.len(), 1);
    commands.remove(0)
}

fn evidence() -> Vec<Sample> {
    let sample = |name: &str, (sign, level): (Sign, f64)| Sample::of(name, opened_for(sign, level));
    each_variant!(sample, (Sign, f64) {
        "freeze/evidence/lost": (Sign::Lost, _) => (Sign::Lost, 0.61),
        "freeze/evidence/rejected": (Sign::Refused, _) => (Sign::Refused, 0.62),
        "freeze/evidence/failed": (Sign::Failed, _) => (Sign::Failed, 0.63),
        "freeze/evidence/margin": (Sign::Margin, _) => (Sign::Margin, 1.0),
    })
}

/// See the module's text.
pub fn samples() -> Vec<Sample> {
    [commands(), scopes(), words(), responses(), stored(), evidence()].into_iter().flatten().collect()
}
