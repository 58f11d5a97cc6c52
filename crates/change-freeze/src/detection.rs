//! What a coordinator makes of the copies' reports: incidents that open when something is bad for long enough, and close
//! when it was well for longer. It proposes only; the register has the last word.

use crate::rules::Severity;
use crate::scope::Scope;
use crate::state::{FreezeCommand, FreezeState, Requester};
use crate::Millis;
use std::collections::BTreeMap;
use std::fmt;

/// What is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Symptom {
    /// The part of a site's calls that no server of it answered.
    Unanswered,
    /// The part of the calls that were refused.
    Rejected,
    /// The part of the calls that failed.
    Failed,
    /// 1 if one more keeper lost would end the quorum.
    QuorumMargin,
}

impl fmt::Display for Symptom {
    /// The form that stands in an incident's evidence. It is replicated, so every version has to write the same bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Symptom::Unanswered => "Lost",
            Symptom::Rejected => "Refused",
            Symptom::Failed => "Failed",
            Symptom::QuorumMargin => "Margin",
        })
    }
}

/// A figure of now, from reports that are young enough.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// Where.
    pub scope: Scope,
    /// What.
    pub symptom: Symptom,
    /// From 0 to 1.
    pub level: f64,
}

/// When a sign is an incident.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Threshold {
    /// From this level on it is bad.
    pub opens_at: f64,
    /// Below this one it is well; between the two nothing changes.
    pub closes_below: f64,
    /// For how long it must be bad.
    pub opens_after: Millis,
    /// For how long it must be well.
    pub closes_after: Millis,
    /// How bad it is.
    pub severity: Severity,
}

/// The limits of all signs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// See [`Symptom::Unanswered`].
    pub unanswered: Threshold,
    /// See [`Symptom::Rejected`].
    pub rejected: Threshold,
    /// See [`Symptom::Failed`].
    pub failed: Threshold,
    /// See [`Symptom::QuorumMargin`].
    pub quorum_margin: Threshold,
}

impl Default for Thresholds {
    /// Half of a site's calls lost for a second, a fifth of all refused or a tenth failed for three; well again for ten.
    fn default() -> Thresholds {
        let limit = |bad, well, opens_after, severity| Threshold {
            opens_at: bad,
            closes_below: well,
            opens_after,
            closes_after: 10_000,
            severity,
        };
        Thresholds {
            unanswered: limit(0.5, 0.1, 1_000, Severity::Major),
            rejected: limit(0.2, 0.05, 3_000, Severity::Major),
            failed: limit(0.1, 0.03, 3_000, Severity::Major),
            quorum_margin: limit(1.0, 0.5, 5_000, Severity::Minor),
        }
    }
}

impl Thresholds {
    fn get(&self, sign: Symptom) -> Threshold {
        match sign {
            Symptom::Unanswered => self.unanswered,
            Symptom::Rejected => self.rejected,
            Symptom::Failed => self.failed,
            Symptom::QuorumMargin => self.quorum_margin,
        }
    }
}

/// Since when a sign is bad or well.
#[derive(Clone, Copy, Debug, Default)]
struct SymptomState {
    above_since: Option<Millis>,
    below_since: Option<Millis>,
    level: f64,
    observed_at: Millis,
}

/// What a coordinator remembers; a new one begins with nothing but the register.
#[derive(Clone, Debug)]
pub struct Detector {
    thresholds: Thresholds,
    symptoms: BTreeMap<(Scope, Symptom), SymptomState>,
}

/// A sign that was not heard of for so long says nothing any more.
const OBSERVATION_TTL_MS: Millis = 10_000;

impl Detector {
    /// One that has seen nothing yet.
    pub fn new(limits: Thresholds) -> Detector {
        Detector { thresholds: limits, symptoms: BTreeMap::new() }
    }

    /// Takes the facts of now and gives what is to be proposed, by the coordinator's token.
    pub fn poll(
        &mut self,
        now: Millis,
        facts: &[Observation],
        register: &FreezeState,
        token: u64,
    ) -> Vec<FreezeCommand> {
        for fact in facts.iter().filter(|fact| fact.level.is_finite()) {
            let limit = self.thresholds.get(fact.symptom);
            let course = self.symptoms.entry((fact.scope.clone(), fact.symptom)).or_default();
            (course.level, course.observed_at) = (fact.level, now);
            let since = |was: Option<Millis>, is: bool| is.then(|| was.unwrap_or(now));
            course.above_since = since(course.above_since, fact.level >= limit.opens_at);
            course.below_since = since(course.below_since, fact.level < limit.closes_below);
        }
        self.symptoms.retain(|_, course| now.saturating_sub(course.observed_at) < OBSERVATION_TTL_MS);
        let long = |since: Option<Millis>, for_: Millis| since.is_some_and(|s| now.saturating_sub(s) >= for_);
        let mut commands = Vec::new();
        let mut bad = Vec::new();
        for ((scope, sign), course) in &self.symptoms {
            let limit = self.thresholds.get(*sign);
            if !long(course.above_since, limit.opens_after) {
                continue;
            }
            bad.push(scope);
            let known = register.incidents().values().any(|i| {
                matches!(i.opened_by, Requester::Rule(_))
                    && !i.cooling_down
                    && i.scope == *scope
                    && i.severity >= limit.severity
            });
            if !known {
                let evidence = format!("{sign} at {:.2}, limit {:.2}", course.level, limit.opens_at);
                let (severity, scope, by) = (limit.severity, scope.clone(), Requester::Rule(token));
                commands.push(FreezeCommand::OpenIncident { severity, scope, evidence, opened_by: by });
            }
        }
        for (number, incident) in register.incidents() {
            if !matches!(incident.opened_by, Requester::Rule(_))
                || incident.cooling_down
                || incident.assignee.is_some()
            {
                continue;
            }
            let mut of = self.symptoms.iter().filter(|((scope, _), _)| *scope == incident.scope).peekable();
            // A coordinator that hears nothing of a place can't say that it is well.
            let heard = of.peek().is_some();
            let well = of.all(|((_, sign), c)| long(c.below_since, self.thresholds.get(*sign).closes_after));
            if heard && well && !bad.contains(&&incident.scope) {
                commands.push(FreezeCommand::ResolveIncident {
                    incident: *number,
                    resolved_by: Requester::Rule(token),
                });
            }
        }
        commands
    }
}
