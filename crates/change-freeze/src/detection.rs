//! What a coordinator makes of the copies' reports: incidents that open when something is bad for long enough, and close
//! when it was well for longer. It proposes only; the register has the last word.

use crate::rules::Severity;
use crate::scope::Scope;
use crate::state::{By, Command, Register};
use crate::Millis;
use std::collections::BTreeMap;
use std::fmt;

/// What is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Sign {
    /// The part of a site's calls that no server of it answered.
    Lost,
    /// The part of the calls that were refused.
    Refused,
    /// The part of the calls that failed.
    Failed,
    /// 1 if one more keeper lost would end the quorum.
    Margin,
}

impl fmt::Display for Sign {
    /// The form that stands in an incident's evidence. It is replicated, so every version has to write the same bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Sign::Lost => "Lost",
            Sign::Refused => "Refused",
            Sign::Failed => "Failed",
            Sign::Margin => "Margin",
        })
    }
}

/// A figure of now, from reports that are young enough.
#[derive(Clone, Debug, PartialEq)]
pub struct Fact {
    /// Where.
    pub scope: Scope,
    /// What.
    pub sign: Sign,
    /// From 0 to 1.
    pub level: f64,
}

/// When a sign is an incident.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limit {
    /// From this level on it is bad.
    pub bad: f64,
    /// Below this one it is well; between the two nothing changes.
    pub well: f64,
    /// For how long it must be bad.
    pub opens_after: Millis,
    /// For how long it must be well.
    pub closes_after: Millis,
    /// How bad it is.
    pub severity: Severity,
}

/// The limits of all signs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// See [`Sign::Lost`].
    pub lost: Limit,
    /// See [`Sign::Refused`].
    pub refused: Limit,
    /// See [`Sign::Failed`].
    pub failed: Limit,
    /// See [`Sign::Margin`].
    pub margin: Limit,
}

impl Default for Limits {
    /// Half of a site's calls lost for a second, a fifth of all refused or a tenth failed for three; well again for ten.
    fn default() -> Limits {
        let limit = |bad, well, opens_after, severity| Limit {
            bad,
            well,
            opens_after,
            closes_after: 10_000,
            severity,
        };
        Limits {
            lost: limit(0.5, 0.1, 1_000, Severity::Major),
            refused: limit(0.2, 0.05, 3_000, Severity::Major),
            failed: limit(0.1, 0.03, 3_000, Severity::Major),
            margin: limit(1.0, 0.5, 5_000, Severity::Minor),
        }
    }
}

impl Limits {
    fn of(&self, sign: Sign) -> Limit {
        match sign {
            Sign::Lost => self.lost,
            Sign::Refused => self.refused,
            Sign::Failed => self.failed,
            Sign::Margin => self.margin,
        }
    }
}

/// Since when a sign is bad or well.
#[derive(Clone, Copy, Debug, Default)]
struct Course {
    bad_since: Option<Millis>,
    well_since: Option<Millis>,
    level: f64,
    heard_at: Millis,
}

/// What a coordinator remembers; a new one begins with nothing but the register.
#[derive(Clone, Debug)]
pub struct Detector {
    limits: Limits,
    courses: BTreeMap<(Scope, Sign), Course>,
}

/// A sign that was not heard of for so long says nothing any more.
const FORGOTTEN_AFTER: Millis = 10_000;

impl Detector {
    /// One that has seen nothing yet.
    pub fn new(limits: Limits) -> Detector {
        Detector { limits, courses: BTreeMap::new() }
    }

    /// Takes the facts of now and gives what is to be proposed, by the coordinator's token.
    pub fn look(&mut self, now: Millis, facts: &[Fact], register: &Register, token: u64) -> Vec<Command> {
        for fact in facts.iter().filter(|fact| fact.level.is_finite()) {
            let limit = self.limits.of(fact.sign);
            let course = self.courses.entry((fact.scope.clone(), fact.sign)).or_default();
            (course.level, course.heard_at) = (fact.level, now);
            let since = |was: Option<Millis>, is: bool| is.then(|| was.unwrap_or(now));
            course.bad_since = since(course.bad_since, fact.level >= limit.bad);
            course.well_since = since(course.well_since, fact.level < limit.well);
        }
        self.courses.retain(|_, course| now.saturating_sub(course.heard_at) < FORGOTTEN_AFTER);
        let long = |since: Option<Millis>, for_: Millis| since.is_some_and(|s| now.saturating_sub(s) >= for_);
        let mut commands = Vec::new();
        let mut bad = Vec::new();
        for ((scope, sign), course) in &self.courses {
            let limit = self.limits.of(*sign);
            if !long(course.bad_since, limit.opens_after) {
                continue;
            }
            bad.push(scope);
            let known = register.incidents().values().any(|i| {
                matches!(i.by, By::Rule(_)) && !i.cooling && i.scope == *scope && i.severity >= limit.severity
            });
            if !known {
                let evidence = format!("{sign} at {:.2}, limit {:.2}", course.level, limit.bad);
                let (severity, scope, by) = (limit.severity, scope.clone(), By::Rule(token));
                commands.push(Command::Open { severity, scope, evidence, by });
            }
        }
        for (number, incident) in register.incidents() {
            if !matches!(incident.by, By::Rule(_)) || incident.cooling || incident.taken.is_some() {
                continue;
            }
            let mut of = self.courses.iter().filter(|((scope, _), _)| *scope == incident.scope).peekable();
            // A coordinator that hears nothing of a place can't say that it is well.
            let heard = of.peek().is_some();
            let well = of.all(|((_, sign), c)| long(c.well_since, self.limits.of(*sign).closes_after));
            if heard && well && !bad.contains(&&incident.scope) {
                commands.push(Command::Resolve { incident: *number, by: By::Rule(token) });
            }
        }
        commands
    }
}
