//! How a coordinator derives incidents from the instances' reports.
//!
//! An incident opens once a symptom's level has been high for a minimum time, and is resolved once the level
//! has been low for a minimum time, which is longer by default. The detector only proposes commands; the
//! replicated state decides.

use crate::rules::Severity;
use crate::scope::Scope;
use crate::state::{FreezeCommand, FreezeState, Incident, Requester};
use crate::Millis;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

/// A measure of how badly a part of the fleet works; its level is between 0 and 1.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Symptom {
    /// The fraction of a site's requests that none of its backends answered.
    Unanswered,
    /// The fraction of requests that were rejected.
    Rejected,
    /// The fraction of requests that failed.
    Failed,
    /// 1 if the loss of one more replica would lose the quorum, else 0.
    QuorumMargin,
}

impl fmt::Display for Symptom {
    /// The symptom's name in an incident's evidence. Evidence is replicated, so all versions must write the
    /// same bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Symptom::Unanswered => "Lost",
            Symptom::Rejected => "Refused",
            Symptom::Failed => "Failed",
            Symptom::QuorumMargin => "Margin",
        })
    }
}

/// The current level of a symptom, from recent reports of the instances.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// The part of the fleet that was observed.
    pub scope: Scope,
    /// The observed symptom.
    pub symptom: Symptom,
    /// The level, from 0 to 1.
    pub level: f64,
}

/// At which levels, and after how long, a symptom opens an incident and resolves it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Threshold {
    /// An incident opens at this level or above; from 0 to 1.
    pub opens_at: f64,
    /// An incident is resolved below this level, which is lower than `opens_at`; between the two nothing
    /// changes.
    pub closes_below: f64,
    /// How long the level must stay at or above `opens_at`, in milliseconds.
    pub opens_after: Millis,
    /// How long the level must stay below `closes_below`, in milliseconds.
    pub closes_after: Millis,
    /// The severity of the incident that is opened.
    pub severity: Severity,
}

/// The thresholds of all symptoms.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Thresholds {
    /// The threshold for [`Symptom::Unanswered`].
    pub unanswered: Threshold,
    /// The threshold for [`Symptom::Rejected`].
    pub rejected: Threshold,
    /// The threshold for [`Symptom::Failed`].
    pub failed: Threshold,
    /// The threshold for [`Symptom::QuorumMargin`].
    pub quorum_margin: Threshold,
}

/// How long a level must be low before an incident is resolved, by default.
const DEFAULT_CLOSES_AFTER_MS: Millis = 10_000;

impl Default for Thresholds {
    /// An incident opens when 50% of a site's requests are unanswered for 1 s, 20% are rejected or 10% fail
    /// for 3 s, or the loss of one more replica would lose the quorum for 5 s. It is resolved after 10 s at a
    /// low level.
    fn default() -> Thresholds {
        let threshold = |opens_at, closes_below, opens_after, severity| Threshold {
            opens_at,
            closes_below,
            opens_after,
            closes_after: DEFAULT_CLOSES_AFTER_MS,
            severity,
        };
        Thresholds {
            unanswered: threshold(0.5, 0.1, 1_000, Severity::Major),
            rejected: threshold(0.2, 0.05, 3_000, Severity::Major),
            failed: threshold(0.1, 0.03, 3_000, Severity::Major),
            quorum_margin: threshold(1.0, 0.5, 5_000, Severity::Minor),
        }
    }
}

impl Thresholds {
    fn get(&self, symptom: Symptom) -> Threshold {
        match symptom {
            Symptom::Unanswered => self.unanswered,
            Symptom::Rejected => self.rejected,
            Symptom::Failed => self.failed,
            Symptom::QuorumMargin => self.quorum_margin,
        }
    }
}

/// The last level of a symptom, and since when it has been at or above `opens_at` or below `closes_below`.
#[derive(Clone, Copy, Debug, Default)]
struct SymptomState {
    above_since: Option<Millis>,
    below_since: Option<Millis>,
    level: f64,
    observed_at: Millis,
}

impl SymptomState {
    fn observe(&mut self, now: Millis, level: f64, threshold: Threshold) {
        (self.level, self.observed_at) = (level, now);
        self.above_since = (level >= threshold.opens_at).then(|| self.above_since.unwrap_or(now));
        self.below_since = (level < threshold.closes_below).then(|| self.below_since.unwrap_or(now));
    }

    fn opens(&self, now: Millis, threshold: Threshold) -> bool {
        has_lasted(self.above_since, now, threshold.opens_after)
    }

    fn closes(&self, now: Millis, threshold: Threshold) -> bool {
        has_lasted(self.below_since, now, threshold.closes_after)
    }
}

fn has_lasted(since: Option<Millis>, now: Millis, duration: Millis) -> bool {
    since.is_some_and(|since| now.saturating_sub(since) >= duration)
}

/// Derives incidents from the symptoms that a coordinator observes. A new coordinator starts without
/// observations.
#[derive(Clone, Debug)]
pub struct Detector {
    thresholds: Thresholds,
    symptoms: BTreeMap<(Scope, Symptom), SymptomState>,
}

/// A symptom that has not been observed for this long is forgotten.
const OBSERVATION_TTL_MS: Millis = 10_000;

impl Detector {
    /// Creates a detector without observations.
    pub fn new(thresholds: Thresholds) -> Detector {
        Detector { thresholds, symptoms: BTreeMap::new() }
    }

    /// Records the current observations and returns the commands to propose: first incidents to open, then
    /// incidents to resolve. `now` is a reading of the monotonic clock, `token` the fencing token of the
    /// coordinator's lease.
    pub fn poll(
        &mut self,
        now: Millis,
        observations: &[Observation],
        state: &FreezeState,
        token: u64,
    ) -> Vec<FreezeCommand> {
        self.record(now, observations);
        let mut commands = self.incidents_to_open(now, state, token);
        commands.extend(self.incidents_to_resolve(now, state, token));
        commands
    }

    fn record(&mut self, now: Millis, observations: &[Observation]) {
        for observation in observations.iter().filter(|observation| observation.level.is_finite()) {
            let threshold = self.thresholds.get(observation.symptom);
            let key = (observation.scope.clone(), observation.symptom);
            self.symptoms.entry(key).or_default().observe(now, observation.level, threshold);
        }
        self.symptoms.retain(|_, symptom| now.saturating_sub(symptom.observed_at) < OBSERVATION_TTL_MS);
    }

    /// The symptoms that have been at or above `opens_at` for `opens_after`.
    fn open_symptoms(&self, now: Millis) -> impl Iterator<Item = (&Scope, Symptom, &SymptomState)> {
        self.symptoms
            .iter()
            .filter(move |((_, symptom), state)| state.opens(now, self.thresholds.get(*symptom)))
            .map(|((scope, symptom), state)| (scope, *symptom, state))
    }

    fn incidents_to_open(&self, now: Millis, state: &FreezeState, token: u64) -> Vec<FreezeCommand> {
        let mut commands = Vec::new();
        for (scope, symptom, observed) in self.open_symptoms(now) {
            let threshold = self.thresholds.get(symptom);
            let is_open = |incident: &Incident| {
                incident.is_opened_by_coordinator()
                    && !incident.cooling_down
                    && incident.scope == *scope
                    && incident.severity >= threshold.severity
            };
            if !state.incidents().values().any(is_open) {
                commands.push(FreezeCommand::OpenIncident {
                    severity: threshold.severity,
                    scope: scope.clone(),
                    evidence: format!("{symptom} at {:.2}, limit {:.2}", observed.level, threshold.opens_at),
                    opened_by: Requester::Coordinator(token),
                });
            }
        }
        commands
    }

    fn incidents_to_resolve(&self, now: Millis, state: &FreezeState, token: u64) -> Vec<FreezeCommand> {
        let open_scopes: BTreeSet<&Scope> = self.open_symptoms(now).map(|(scope, ..)| scope).collect();
        let is_resolved = |incident: &Incident| {
            incident.is_resolvable_by_coordinator()
                && !incident.cooling_down
                && self.has_recovered(now, &incident.scope)
                && !open_scopes.contains(&incident.scope)
        };
        let resolved = state.incidents().iter().filter(|(_, incident)| is_resolved(incident));
        resolved
            .map(|(number, _)| FreezeCommand::ResolveIncident {
                incident: *number,
                resolved_by: Requester::Coordinator(token),
            })
            .collect()
    }

    /// Whether all symptoms of a scope have been below `closes_below` for `closes_after`. A scope without
    /// observations does not count as recovered, as nothing is known about it.
    fn has_recovered(&self, now: Millis, scope: &Scope) -> bool {
        let mut observed = self.symptoms.iter().filter(|((other, _), _)| other == scope).peekable();
        observed.peek().is_some()
            && observed.all(|((_, symptom), state)| state.closes(now, self.thresholds.get(*symptom)))
    }
}
