//! What people say and ask on the second address: one line a call.

use crate::calendar;
use hillstall_change_freeze::rules::{ChangeKind, Reaction};
use hillstall_change_freeze::state::{
    ChangeRequest, ChangeStatus, FreezeCommand as Freeze, FreezeState, Requester, Response,
};
use hillstall_consensus::state::{Command, Outcome};
use hillstall_lease::LeaseName;
use hillstall_maintenance::windows::{OverrunPolicy, WindowCommand as Window, WindowPlan, Windows};
use std::collections::BTreeMap;
use std::fmt::Write;
use std::str::FromStr;
use std::time::Duration;

/// What a line wants.
#[derive(Clone, Debug, PartialEq)]
pub enum AdminCommand {
    /// How the fleet is.
    Fleet,
    /// All windows.
    Windows,
    /// All incidents.
    Incidents,
    /// All changes.
    Changes,
    /// What happened, in order.
    Record,
    /// Give up a duty.
    HandOver(LeaseName),
    /// Have the keepers agree on something.
    Agree(Command),
}

/// A line that can't be carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct ParseCommandError(String);

fn bad(why: impl std::fmt::Display) -> ParseCommandError {
    ParseCommandError(why.to_string())
}

const USAGE: &str = "there are FLEET [HANDOVER DUTY], WINDOW [PLAN|CANCEL|END], \
    INCIDENT [OPEN|TAKE|RESOLVE|REMEDY], CHANGE [ASK|EMERGENCY|DONE|CLEAR] and RECORD";

/// The words of a line after its first: those without a name in order, and those with one.
struct Words<'a> {
    plain: Vec<&'a str>,
    named: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    fn of(line: &'a str) -> Words<'a> {
        let (mut plain, mut named) = (Vec::new(), BTreeMap::new());
        for word in line.split_ascii_whitespace() {
            match word.split_once('=') {
                Some((name, value)) => {
                    named.insert(name, value);
                }
                None => plain.push(word),
            }
        }
        Words { plain, named }
    }

    fn word(&self, place: usize, what: &str) -> Result<&'a str, ParseCommandError> {
        self.plain.get(place).copied().ok_or_else(|| bad(format!("{what} is missing")))
    }

    fn read<T: FromStr>(&self, place: usize, what: &str) -> Result<T, ParseCommandError>
    where
        T::Err: std::fmt::Display,
    {
        self.word(place, what)?.parse().map_err(|why| bad(format!("{what}: {why}")))
    }

    fn named<T: FromStr>(&mut self, name: &str, usual: T) -> Result<T, ParseCommandError>
    where
        T::Err: std::fmt::Display,
    {
        let text = self.named.remove(name);
        text.map_or(Ok(usual), |text| text.parse().map_err(|why| bad(format!("{name}: {why}"))))
    }

    fn time(&mut self, name: &str, usual: Option<Duration>) -> Result<u64, ParseCommandError> {
        let time = match (self.named.remove(name), usual) {
            (Some(text), _) => {
                humantime::parse_duration(text).map_err(|why| bad(format!("{name}: {why}")))?
            }
            (None, Some(usual)) => usual,
            (None, None) => return Err(bad(format!("{name}= is missing"))),
        };
        Ok(crate::millis(time))
    }

    /// Whatever was not asked for is a mistake, and must not be passed over.
    fn done(&self) -> Result<(), ParseCommandError> {
        self.named.keys().next().map_or(Ok(()), |name| Err(bad(format!("{name}= has no meaning here"))))
    }
}

/// People by all of their names; where none are named, each name is a person.
pub struct PersonDirectory<'a>(pub &'a BTreeMap<String, String>);

impl PersonDirectory<'_> {
    fn one(&self, name: &str) -> Result<String, ParseCommandError> {
        if self.0.is_empty() {
            return Ok(name.to_owned());
        }
        self.0.get(name).cloned().ok_or_else(|| bad(format!("{name:?} is nobody of fleet.people")))
    }
}

/// Reads a line; `None` if it is about something else.
pub fn read(line: &str, people: &PersonDirectory<'_>) -> Option<Result<AdminCommand, ParseCommandError>> {
    let mut words = Words::of(line);
    let first = *words.plain.first()?;
    let second = words.plain.get(1).copied().unwrap_or("");
    let read = match (first, second) {
        ("FLEET", "") => Ok(AdminCommand::Fleet),
        ("FLEET", "HANDOVER") => words
            .word(2, "the duty")
            .and_then(|duty| LeaseName::new(duty).map(AdminCommand::HandOver).map_err(bad)),
        ("WINDOW", "") => Ok(AdminCommand::Windows),
        ("INCIDENT", "") => Ok(AdminCommand::Incidents),
        ("CHANGE", "") => Ok(AdminCommand::Changes),
        ("RECORD", "") => Ok(AdminCommand::Record),
        ("WINDOW", _) => window(second, &mut words)
            .map(|command| AdminCommand::Agree(Command::Window { token: None, command })),
        ("INCIDENT", _) => incident(second, &mut words, people, line).map(agree),
        ("CHANGE", _) => change(second, &mut words, people).map(agree),
        ("FLEET" | "RECORD", _) => Err(bad(USAGE)),
        _ => return None,
    };
    Some(read.and_then(|line| words.done().map(|()| line)))
}

fn agree(command: Freeze) -> AdminCommand {
    AdminCommand::Agree(Command::Freeze(command))
}

fn window(verb: &str, words: &mut Words<'_>) -> Result<Window, ParseCommandError> {
    match verb {
        "PLAN" => {
            let begin = words.named.remove("begin").ok_or_else(|| bad("begin= is missing"))?;
            let begin = calendar::moment(begin).ok_or_else(|| {
                bad(format!("begin: {begin:?} is no moment, like 2026-05-03T02:00[Europe/Berlin]"))
            })?;
            let overrun = match words.named.remove("overrun") {
                None | Some("return") => OverrunPolicy::Return,
                Some("hold") => OverrunPolicy::Hold,
                Some(other) => return Err(bad(format!("overrun: {other:?} is none of return, hold"))),
            };
            Ok(Window::Plan(WindowPlan {
                site: words.word(2, "the site")?.to_owned(),
                starts_at: begin,
                duration: words.time("length", None)?,
                lead_time: words.time("lead", None)?,
                max_delay: words.time("latest", Some(Duration::from_secs(600)))?,
                reserve_percent: words.named("reserve", 20)?,
                overrun_policy: overrun,
            }))
        }
        "CANCEL" => Ok(Window::Cancel { window: words.read(2, "the window's number")? }),
        "END" => Ok(Window::End { window: words.read(2, "the window's number")? }),
        _ => Err(bad(USAGE)),
    }
}

fn incident(
    verb: &str,
    words: &mut Words<'_>,
    people: &PersonDirectory<'_>,
    line: &str,
) -> Result<Freeze, ParseCommandError> {
    let number = |words: &Words<'_>| words.read(2, "the incident's number");
    match verb {
        "OPEN" => {
            // What was seen is whatever stands behind the name, as it stands there.
            let evidence: Vec<&str> = line.split_ascii_whitespace().skip(5).collect();
            words.named.clear();
            Ok(Freeze::OpenIncident {
                severity: words.read(2, "the severity")?,
                scope: words.read(3, "the scope")?,
                opened_by: Requester::Person(people.one(words.word(4, "the person")?)?),
                evidence: evidence.join(" "),
            })
        }
        "TAKE" => Ok(Freeze::AssignIncident {
            incident: number(words)?,
            person: people.one(words.word(3, "the person")?)?,
        }),
        "RESOLVE" => Ok(Freeze::ResolveIncident {
            incident: number(words)?,
            resolved_by: Requester::Person(people.one(words.word(3, "the person")?)?),
        }),
        "REMEDY" => Ok(Freeze::LinkRemedy {
            incident: number(words)?,
            change: words.read(3, "the change's number")?,
            person: people.one(words.word(4, "the person")?)?,
        }),
        _ => Err(bad(USAGE)),
    }
}

fn change(
    verb: &str,
    words: &mut Words<'_>,
    people: &PersonDirectory<'_>,
) -> Result<Freeze, ParseCommandError> {
    match verb {
        "ASK" | "EMERGENCY" => {
            let kind: ChangeKind = words.read(2, "the kind")?;
            let wish = ChangeRequest {
                kind,
                scope: words.read(3, "the scope")?,
                requested_by: people.one(words.word(4, "the person")?)?,
                priority: words.named("worth", 100)?,
                max_duration: words.time("for", Some(Duration::from_secs(600)))?,
                reaction: words.named("reaction", Reaction::Pause)?,
            };
            Ok(if verb == "ASK" { Freeze::RequestChange(wish) } else { Freeze::RequestEmergencyChange(wish) })
        }
        "DONE" => Ok(Freeze::FinishChange { change: words.read(2, "the change's number")? }),
        "CLEAR" => Ok(Freeze::ClearOverdueChange {
            change: words.read(2, "the change's number")?,
            person: people.one(words.word(3, "the person")?)?,
        }),
        _ => Err(bad(USAGE)),
    }
}

/// What became of something, for people: a number, as with the other calls of the second address, and words.
pub fn outcome(outcome: Option<&Outcome>) -> String {
    match outcome {
        None => {
            "504 the keepers have not answered; it may still be carried out, and asking again is harmless\n"
                .into()
        }
        Some(Outcome::Window) => "200 agreed\n".into(),
        Some(Outcome::Lease(_)) => "200 agreed\n".into(),
        Some(Outcome::Freeze(answer)) => match answer {
            Response::Accepted(number) => format!("200 {number}\n"),
            Response::Permitted(number) => format!("200 {number} permit\n"),
            Response::Queued { change, behind } => format!("202 {change} waits behind change {behind}\n"),
            Response::AwaitingSecondApproval(number) => format!("202 {number} waits for a second person\n"),
            Response::Blocked { change, incident, retry_after: ask_again } => {
                format!("409 {change} barred by incident {incident}; ask again in {ask_again} ms\n")
            }
            Response::Rejected(why) => format!("400 {why}\n"),
        },
        Some(Outcome::GrantEnded { newest }) => {
            format!("409 the grant is over; the newest token is {}\n", newest.0)
        }
        Some(Outcome::Rejected(why)) => format!("409 {why}\n"),
        Some(Outcome::TooLate) => "409 it came too late\n".into(),
    }
}

/// All windows, one a line.
pub fn windows(windows: &Windows) -> String {
    let mut text = String::new();
    for (number, window) in windows.all() {
        let (plan, part) = (&window.plan, f64::from(window.fraction) / 10.0);
        let _ = write!(
            text,
            "{number} {} {} begin={} part={part}%",
            plan.site,
            window.stage,
            calendar::shown(plan.starts_at)
        );
        if window.overrun {
            text.push_str(" overrun");
        }
        if !window.reason.is_empty() {
            let _ = write!(text, " why={}", window.reason);
        }
        text.push('\n');
    }
    text + "EOF\n"
}

/// All incidents, one a line.
pub fn incidents(register: &FreezeState) -> String {
    let mut text = String::new();
    for (number, incident) in register.incidents() {
        let cooling = if incident.cooling_down { "cooling" } else { "active" };
        let by = match &incident.opened_by {
            Requester::Person(name) => name.clone(),
            Requester::Rule(token) => format!("rule/{token}"),
        };
        let taken = incident.assignee.as_deref().unwrap_or("-");
        let (severity, scope) = (incident.severity, &incident.scope);
        let _ = writeln!(
            text,
            "{number} {severity} {scope} {cooling} by={by} taken={taken} {}",
            incident.evidence
        );
    }
    text + "EOF\n"
}

/// All changes, one a line.
pub fn changes(register: &FreezeState) -> String {
    let mut text = String::new();
    for (number, change) in register.changes() {
        let stand = match change.status {
            ChangeStatus::Queued => "waits",
            ChangeStatus::AwaitingSecondApproval => "half",
            ChangeStatus::InFlight => "in-flight",
            ChangeStatus::Reacting => "reacts",
            ChangeStatus::Overdue => "stuck",
        };
        let wish = &change.request;
        let emergency = if change.emergency { " emergency" } else { "" };
        let _ = writeln!(
            text,
            "{number} {} {} {stand} by={}{emergency}",
            wish.kind, wish.scope, wish.requested_by
        );
    }
    text + "EOF\n"
}

/// What happened, one a line.
pub fn record(register: &FreezeState) -> String {
    let lines = register
        .audit_log()
        .iter()
        .map(|line| format!("{} {} {}\n", line.sequence, line.subject, line.description));
    lines.collect::<String>() + "EOF\n"
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    #[test]
    fn lines_are_read_and_faults_are_told() {
        let people = [("mira", "mira"), ("mk", "mira"), ("tom", "tom")];
        let people = people.map(|(a, b)| (a.to_owned(), b.to_owned())).into();
        let of = |line: &str| read(line, &PersonDirectory(&people)).expect("it is for the fleet");
        assert_eq!(of("FLEET"), Ok(AdminCommand::Fleet));
        let asked = of("CHANGE EMERGENCY drain site:north mk for=30s").expect("it is read");
        let AdminCommand::Agree(Command::Freeze(Freeze::RequestEmergencyChange(wish))) = asked else {
            panic!("{asked:?}")
        };
        assert_eq!(
            (wish.requested_by.as_str(), wish.max_duration),
            ("mira", 30_000),
            "one person under two names"
        );
        let planned = of("WINDOW PLAN north begin=2026-05-03T02:00[Europe/Berlin] length=1h lead=10m");
        assert!(planned.is_ok(), "{planned:?}");
        for (line, what) in [
            ("CHANGE ASK drain site:north eve", "nobody"),
            ("CHANGE ASK dran site:north tom", "no kind"),
            ("CHANGE ASK drain north tom", "no scope"),
            ("CHANGE ASK drain site:north tom fro=3s", "no meaning"),
            ("WINDOW PLAN north begin=soon length=1h lead=10m", "no moment"),
            ("WINDOW PLAN north begin=2026-05-03T00:00Z lead=10m", "length= is missing"),
            ("INCIDENT OPEN bad site:a tom", "no severity"),
            ("INCIDENT TAKE x tom", "number"),
            ("FLEET HANDOVER A B", "duty"),
            ("CHANGE DRAIN", "there are"),
        ] {
            let told = of(line).expect_err(line).to_string();
            assert!(told.contains(what), "{line}: {told}");
        }
        assert!(read("PING", &PersonDirectory(&people)).is_none());
    }

    proptest! {
        #[test]
        fn no_line_makes_it_panic(line in "(FLEET|WINDOW|INCIDENT|CHANGE)?[ -~]{0,120}") {
            let _ = read(&line, &PersonDirectory(&BTreeMap::new()));
        }
    }
}
