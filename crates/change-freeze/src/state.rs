//! Incidents, changes and permits, as the keepers agree on them. Each command may come twice and late; a permit's number
//! is its token and rises for ever.

use crate::rules::{bars, Kind, Reaction, Rule, Severity};
use crate::scope::Scope;
use crate::{is_valid_name, Millis};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::fmt;

/// Most incidents, changes and lines of the record that are kept: what a snapshot carries is bounded.
pub const INCIDENTS_MOST: usize = 256;
/// See [`INCIDENTS_MOST`].
pub const CHANGES_MOST: usize = 256;
/// See [`INCIDENTS_MOST`]; the oldest go first.
pub const RECORD_MOST: usize = 512;
/// Longest time that a change may ask for: a day.
pub const RUNS_MOST: Millis = 86_400_000;
/// How long a change that was barred in flight has to finish, pause or undo before it counts as stuck.
pub const REACTS_FOR: Millis = 60_000;
/// How long an incident that was resolved still bars: what comes back at once is the same incident.
pub const COOLS_FOR: Millis = 30_000;
/// How long an emergency waits for its second person.
pub const SECOND_WITHIN: Millis = 60_000;
/// When a refused change is told to ask again.
pub const ASK_AGAIN: Millis = 5_000;
/// How much worth a waiting change gains each time that another goes before it.
const PASSED_WORTH: u32 = 16;

/// Number of an incident or a change; they share one count, which rises for ever.
pub type Number = u64;

/// Who did something.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum By {
    /// A person, by the one name that all of theirs lead to.
    Person(String),
    /// The coordinator, by this token. Whether it is the newest is checked before it comes here.
    Rule(u64),
}

impl fmt::Display for By {
    /// The form that stands in audit records. These are replicated, so every version has to write the same bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            By::Person(name) => write!(f, "Person({name:?})"),
            By::Rule(token) => write!(f, "Rule({token})"),
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
    pub by: By,
    /// Who has taken it on.
    pub taken: Option<String>,
    /// Resolved, and not forgotten yet.
    pub cooling: bool,
    /// The changes that remedy it.
    pub remedies: BTreeSet<Number>,
    /// Rises with each news of it, so that a wait that began before one ends nothing.
    pub version: u64,
}

/// Where a change stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Stand {
    /// Barred by an incident, or in line.
    Waits,
    /// An emergency that one person has asked for.
    Half,
    /// It may be carried out.
    InFlight,
    /// An incident has opened: it does what it declared.
    Reacts,
    /// It has not said in time that it did.
    Stuck,
}

impl Stand {
    /// Whether it may be altering the fleet.
    pub fn is_in_flight(self) -> bool {
        matches!(self, Stand::InFlight | Stand::Reacts | Stand::Stuck)
    }
}

/// What a change asks for.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Wish {
    /// What it is.
    pub kind: Kind,
    /// What it touches.
    pub scope: Scope,
    /// Who asks.
    pub who: String,
    /// How much it matters, 0 to 255.
    pub worth: u8,
    /// How long it runs at most, in milliseconds, from when it asked.
    pub runs_for: Millis,
    /// What it does if an incident opens.
    pub reaction: Reaction,
}

/// A change that waits or is in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Change {
    /// What it asked for.
    pub wish: Wish,
    /// Where it stands.
    pub stand: Stand,
    /// Two people have asked for it.
    pub emergency: bool,
    /// How often another went before it while it waited.
    pub passed: u32,
    /// See [`Incident::version`].
    pub version: u64,
}

/// What is proposed to the keepers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Opens an incident, or adds to the one that is open for the same scope by the same kind of opener.
    Open {
        /// How bad.
        severity: Severity,
        /// What it touches.
        scope: Scope,
        /// What was seen.
        evidence: String,
        /// Who opens it.
        by: By,
    },
    /// A person takes it on.
    Take {
        /// Which.
        incident: Number,
        /// Who.
        person: String,
    },
    /// It is over; it cools down before it is forgotten.
    Resolve {
        /// Which.
        incident: Number,
        /// Who says so. A rule closes only what a rule has opened and nobody has taken.
        by: By,
    },
    /// It has cooled down.
    Cooled {
        /// Which.
        incident: Number,
        /// What was waited for.
        version: u64,
    },
    /// A change remedies an incident.
    Name {
        /// The incident.
        incident: Number,
        /// The change.
        change: Number,
        /// Who says so.
        person: String,
    },
    /// Asks for a permit.
    Ask(Wish),
    /// Asks for one in spite of incidents; the second of two different people gets it.
    Emergency(Wish),
    /// The change is over, was undone, or waits no more.
    Done {
        /// Which.
        change: Number,
    },
    /// A keeper has waited for as long as the change's stand lasts at most.
    Lapse {
        /// Which.
        change: Number,
        /// What was waited for.
        version: u64,
    },
    /// A person has looked at a stuck change, and it is over.
    Clear {
        /// Which.
        change: Number,
        /// Who.
        person: String,
    },
    /// A signal of the platform: nothing bars it, it is only written down.
    Signal {
        /// What came to which copy.
        what: String,
    },
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Answer {
    /// It is done; the number is the incident's or the change's.
    Done(Number),
    /// The change may be carried out under this number.
    Permit(Number),
    /// It waits in line.
    Waits {
        /// Its number.
        change: Number,
        /// Behind which.
        behind: Number,
    },
    /// It waits for the second of two people.
    Half(Number),
    /// An incident bars it.
    Barred {
        /// Its number: it can be named as a remedy.
        change: Number,
        /// By which incident.
        incident: Number,
        /// When to ask again, in milliseconds.
        ask_again: Millis,
    },
    /// Nothing came of it.
    Refused(Refused),
}

/// Why nothing came of a command.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize, thiserror::Error)]
pub enum Refused {
    /// There is none of that number.
    #[error("there is none of that number")]
    Unknown,
    /// What it goes by is over.
    #[error("it has changed since")]
    Over,
    /// A rule closes only what a rule has opened.
    #[error("a person has opened it or taken it on, so only a person closes it")]
    NotByRule,
    /// The same person asked twice.
    #[error("the same person has asked already; an emergency takes two")]
    SamePerson,
    /// A text is empty, too long or holds what can't be printed.
    #[error("{}", crate::NAME_RULE)]
    Name,
    /// It would run for too long or not at all.
    #[error("a change runs for 1 ms to a day")]
    Runs,
    /// The register is full.
    #[error("there are as many incidents or changes as may be open")]
    Full,
}

/// A line of the record.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Line {
    /// Its number, without gaps.
    pub number: u64,
    /// What it is about.
    pub about: Number,
    /// What happened.
    pub what: String,
}

/// Something that runs out by itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Wait {
    /// An incident that cools down.
    Incident(Number),
    /// A change: its permit, its reaction, or its second person.
    Change(Number),
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Register {
    count: Number,
    incidents: BTreeMap<Number, Incident>,
    changes: BTreeMap<Number, Change>,
    lines: u64,
    record: VecDeque<Line>,
}

impl Register {
    /// Applies what the keepers have agreed on.
    pub fn apply(&mut self, command: &Command) -> Answer {
        let answer = self.take(command).unwrap_or_else(Answer::Refused);
        self.move_up();
        answer
    }

    fn take(&mut self, command: &Command) -> Result<Answer, Refused> {
        match command {
            Command::Open { severity, scope, evidence, by } => self.open(*severity, scope, evidence, by),
            Command::Take { incident, person } => {
                name(person)?;
                let of = self.incidents.get_mut(incident).ok_or(Refused::Unknown)?;
                of.taken = Some(person.clone());
                of.version += 1;
                Ok(self.noted(*incident, format!("taken by {person}")))
            }
            Command::Resolve { incident, by } => self.resolve(*incident, by),
            Command::Cooled { incident, version } => {
                let of = self.incidents.get(incident).ok_or(Refused::Unknown)?;
                if !of.cooling || of.version != *version {
                    return Err(Refused::Over);
                }
                self.incidents.remove(incident);
                Ok(self.noted(*incident, "over".into()))
            }
            Command::Name { incident, change, person } => {
                name(person)?;
                if !self.changes.contains_key(change) {
                    return Err(Refused::Unknown);
                }
                let of = self.incidents.get_mut(incident).ok_or(Refused::Unknown)?;
                of.remedies.insert(*change);
                Ok(self.noted(*incident, format!("{person} names change {change} as its remedy")))
            }
            Command::Ask(wish) => self.ask(wish),
            Command::Emergency(wish) => self.emergency(wish),
            Command::Done { change } => self.end(*change, "done".into()),
            Command::Lapse { change, version } => self.lapse(*change, *version),
            Command::Clear { change, person } => {
                name(person)?;
                self.end(*change, format!("cleared by {person}"))
            }
            Command::Signal { what } => {
                let what: String =
                    what.chars().filter(|c| !c.is_control()).take(crate::MAX_NAME_BYTES).collect();
                Ok(self.noted(0, format!("without a permit: {what}")))
            }
        }
    }

    fn noted(&mut self, about: Number, what: String) -> Answer {
        self.lines += 1;
        self.record.push_back(Line { number: self.lines, about, what });
        if self.record.len() > RECORD_MOST {
            self.record.pop_front();
        }
        Answer::Done(about)
    }

    fn next(&mut self) -> Number {
        self.count += 1;
        self.count
    }

    // ---- incidents ----

    fn open(
        &mut self,
        severity: Severity,
        scope: &Scope,
        evidence: &str,
        by: &By,
    ) -> Result<Answer, Refused> {
        if let By::Person(person) = by {
            name(person)?;
        }
        let evidence: String = evidence.chars().filter(|c| !c.is_control()).take(200).collect();
        let by_rule = |by: &By| matches!(by, By::Rule(_));
        // What flaps is one incident: it is open again, or worse than it was.
        let known =
            self.incidents.iter_mut().find(|(_, i)| i.scope == *scope && by_rule(&i.by) == by_rule(by));
        let number = if let Some((number, known)) = known {
            known.severity = known.severity.max(severity);
            known.evidence = evidence;
            known.cooling = false;
            known.version += 1;
            *number
        } else if self.incidents.len() >= INCIDENTS_MOST {
            return Err(Refused::Full);
        } else {
            let number = self.next();
            let (taken, remedies) = (None, BTreeSet::new());
            let (scope, by) = (scope.clone(), by.clone());
            let new = Incident { severity, scope, evidence, by, taken, cooling: false, remedies, version: 0 };
            self.incidents.insert(number, new);
            number
        };
        let answer = self.noted(number, format!("{severity} incident at {scope} by {by}"));
        self.judge_in_flight(number);
        Ok(answer)
    }

    /// What is in flight and barred now does what it declared, with a deadline.
    fn judge_in_flight(&mut self, incident: Number) {
        let Some(of) = self.incidents.get(&incident) else { return };
        let barred = |(number, change): &(&Number, &mut Change)| {
            change.stand == Stand::InFlight
                && !change.emergency
                && !of.remedies.contains(number)
                && bars(of.severity, &of.scope, change.wish.kind, &change.wish.scope).is_some()
        };
        let mut notes = Vec::new();
        for (number, change) in self.changes.iter_mut().filter(barred) {
            // What declared that it finishes keeps the time it was given.
            if change.wish.reaction != Reaction::Finish {
                change.stand = Stand::Reacts;
                change.version += 1;
                notes.push((*number, format!("has to {} for incident {incident}", change.wish.reaction)));
            }
        }
        for (number, note) in notes {
            self.noted(number, note);
        }
    }

    fn resolve(&mut self, incident: Number, by: &By) -> Result<Answer, Refused> {
        let of = self.incidents.get_mut(&incident).ok_or(Refused::Unknown)?;
        match by {
            By::Person(person) => name(person)?,
            By::Rule(_) if !matches!(of.by, By::Rule(_)) || of.taken.is_some() => {
                return Err(Refused::NotByRule)
            }
            By::Rule(_) => {}
        }
        if of.cooling {
            return Err(Refused::Over);
        }
        of.cooling = true;
        of.version += 1;
        Ok(self.noted(incident, format!("resolved by {by}")))
    }

    // ---- changes ----

    fn admit(&mut self, wish: &Wish, stand: Stand, emergency: bool) -> Result<Number, Refused> {
        name(&wish.who)?;
        if !(1..=RUNS_MOST).contains(&wish.runs_for) {
            return Err(Refused::Runs);
        }
        if self.changes.len() >= CHANGES_MOST {
            return Err(Refused::Full);
        }
        let number = self.next();
        let wish = wish.clone();
        self.changes.insert(number, Change { wish, stand, emergency, passed: 0, version: 0 });
        Ok(number)
    }

    fn ask(&mut self, wish: &Wish) -> Result<Answer, Refused> {
        let number = self.admit(wish, Stand::Waits, false)?;
        self.noted(number, format!("{} at {} asked for by {}", wish.kind, wish.scope, wish.who));
        Ok(self.judge(number))
    }

    fn emergency(&mut self, wish: &Wish) -> Result<Answer, Refused> {
        name(&wish.who)?;
        let same =
            |c: &Change| c.stand == Stand::Half && c.wish.kind == wish.kind && c.wish.scope == wish.scope;
        let Some((number, half)) = self.changes.iter_mut().find(|(_, c)| same(c)) else {
            let number = self.admit(wish, Stand::Half, false)?;
            self.noted(number, format!("emergency {} at {} by {}", wish.kind, wish.scope, wish.who));
            return Ok(Answer::Half(number));
        };
        if half.wish.who == wish.who {
            return Err(Refused::SamePerson);
        }
        let number = *number;
        half.emergency = true;
        half.stand = Stand::Waits;
        half.version += 1;
        self.noted(number, format!("emergency seconded by {}", wish.who));
        Ok(self.judge(number))
    }

    /// What keeps a waiting change from its permit, by the rules in their order.
    fn against(&self, number: Number) -> Option<(Rule, Number)> {
        let change = self.changes.get(&number)?;
        let wish = &change.wish;
        let meets = |other: &Change| other.wish.scope.meets(&wish.scope);
        let others = || self.changes.iter().filter(|(n, _)| **n != number);
        if let Some((other, _)) = others().find(|(_, c)| c.stand.is_in_flight() && meets(c)) {
            return Some((Rule::Apart, *other));
        }
        if !change.emergency {
            let barred = self.incidents.iter().find_map(|(n, i)| {
                let rule = bars(i.severity, &i.scope, wish.kind, &wish.scope)?;
                (!i.remedies.contains(&number)).then_some((rule, *n))
            });
            if barred.is_some() {
                return barred;
            }
        }
        // One that waits for something else than an incident keeps its place before later ones, or a wide scope would
        // never find all its parts free.
        let first = |n: Number, c: &Change| (c.emergency, c.score(), std::cmp::Reverse(n));
        let own = first(number, change);
        let ahead = others().find(|(n, c)| {
            c.stand == Stand::Waits && meets(c) && first(**n, c) > own && !self.is_barred(**n, c)
        });
        ahead.map(|(n, _)| (Rule::Turn, *n))
    }

    fn is_barred(&self, number: Number, change: &Change) -> bool {
        let wish = &change.wish;
        !change.emergency
            && self.incidents.values().any(|i| {
                bars(i.severity, &i.scope, wish.kind, &wish.scope).is_some() && !i.remedies.contains(&number)
            })
    }

    fn judge(&mut self, number: Number) -> Answer {
        match self.against(number) {
            None => {
                self.grant(number);
                Answer::Permit(number)
            }
            Some((Rule::Apart | Rule::Turn, behind)) => Answer::Waits { change: number, behind },
            Some((_, incident)) => Answer::Barred { change: number, incident, ask_again: ASK_AGAIN },
        }
    }

    fn grant(&mut self, number: Number) {
        let Some(change) = self.changes.get_mut(&number) else { return };
        change.stand = Stand::InFlight;
        change.version += 1;
        let scope = change.wish.scope.clone();
        for (other, waits) in &mut self.changes {
            if *other < number && waits.stand == Stand::Waits && waits.wish.scope.meets(&scope) {
                waits.passed += 1;
            }
        }
        self.noted(number, "permit given".into());
    }

    /// Gives permits to those in line that nothing keeps from theirs any more.
    fn move_up(&mut self) {
        loop {
            let waiting = self.changes.iter().filter(|(_, c)| c.stand == Stand::Waits);
            let mut waiting: Vec<Number> = waiting.map(|(n, _)| *n).collect();
            waiting.sort_by_key(|n| std::cmp::Reverse(self.changes[n].score()));
            match waiting.into_iter().find(|n| self.against(*n).is_none()) {
                Some(free) => self.grant(free),
                None => return,
            }
        }
    }

    fn end(&mut self, change: Number, what: String) -> Result<Answer, Refused> {
        self.changes.remove(&change).ok_or(Refused::Unknown)?;
        for incident in self.incidents.values_mut() {
            incident.remedies.remove(&change);
        }
        Ok(self.noted(change, what))
    }

    fn lapse(&mut self, number: Number, version: u64) -> Result<Answer, Refused> {
        let change = self.changes.get_mut(&number).ok_or(Refused::Unknown)?;
        if change.version != version {
            return Err(Refused::Over);
        }
        match change.stand {
            // It may still be half done, and nobody knows: it goes on to keep others away.
            Stand::Reacts => {
                change.stand = Stand::Stuck;
                change.version += 1;
                Ok(self.noted(number, "stuck".into()))
            }
            Stand::Stuck => Err(Refused::Over),
            Stand::InFlight => self.end(number, "its time ran out".into()),
            Stand::Waits | Stand::Half => self.end(number, "nobody waits for it any more".into()),
        }
    }

    // ---- what is read ----

    /// What runs out by itself, what is counted of it, and after how long.
    pub fn waits(&self) -> impl Iterator<Item = (Wait, u64, Millis)> + '_ {
        let cooling = self.incidents.iter().filter(|(_, i)| i.cooling);
        let changes = self.changes.iter().filter(|(_, c)| c.stand != Stand::Stuck);
        cooling.map(|(n, i)| (Wait::Incident(*n), i.version, COOLS_FOR)).chain(changes.map(|(n, c)| {
            let after = match c.stand {
                Stand::Half => SECOND_WITHIN,
                Stand::Reacts => REACTS_FOR,
                // A wait in line is as long as the change itself may be.
                Stand::Waits | Stand::InFlight | Stand::Stuck => c.wish.runs_for,
            };
            (Wait::Change(*n), c.version, after)
        }))
    }

    /// The command by which a wait that is over ends.
    pub fn ends(wait: Wait, version: u64) -> Command {
        match wait {
            Wait::Incident(incident) => Command::Cooled { incident, version },
            Wait::Change(change) => Command::Lapse { change, version },
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
    pub fn record(&self) -> &VecDeque<Line> {
        &self.record
    }

    /// The incident that would bar such a change now, if any.
    pub fn bars(&self, kind: Kind, scope: &Scope) -> Option<Number> {
        let barring = self.incidents.iter().find(|(_, i)| bars(i.severity, &i.scope, kind, scope).is_some());
        barring.map(|(number, _)| *number)
    }

    /// What must never be: two in flight that meet. Asked by tests and by the referee, after each command.
    pub fn wrong(&self) -> Option<String> {
        let in_flight: Vec<_> = self.changes.iter().filter(|(_, c)| c.stand.is_in_flight()).collect();
        for (i, (a, one)) in in_flight.iter().enumerate() {
            if let Some((b, _)) = in_flight[i + 1..].iter().find(|(_, c)| c.wish.scope.meets(&one.wish.scope))
            {
                return Some(format!("changes {a} and {b} are in flight at once"));
            }
        }
        let loose = self.changes.iter().find(|(number, c)| {
            c.stand == Stand::InFlight && c.wish.reaction != Reaction::Finish && self.is_barred(**number, c)
        });
        loose.map(|(number, _)| format!("change {number} goes on though an incident bars it"))
    }
}

impl Change {
    fn score(&self) -> u32 {
        u32::from(self.wish.worth) + self.passed.saturating_mul(PASSED_WORTH)
    }
}

fn name(text: &str) -> Result<(), Refused> {
    is_valid_name(text).then_some(()).ok_or(Refused::Name)
}
