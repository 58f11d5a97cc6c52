//! Parses admin commands of the form `COMMAND [VERB] ARGUMENT... OPTION=VALUE...`.

use super::{AdminCommand, InvalidValue, ParseCommandError, PersonDirectory, StateQuery};
use crate::{calendar, millis};
use hillstall_change_freeze::rules::Reaction;
use hillstall_change_freeze::state::{ChangeRequest, FreezeCommand, Requester};
use hillstall_consensus::state::Command;
use hillstall_lease::{LeaseName, Millis};
use hillstall_maintenance::windows::{OverrunPolicy, WindowCommand, WindowPlan};
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

const DEFAULT_MAX_DELAY: Duration = Duration::from_secs(600);
const DEFAULT_RESERVE_PERCENT: u8 = 20;
const DEFAULT_PRIORITY: u8 = 100;
const DEFAULT_CHANGE_DURATION: Duration = Duration::from_secs(600);

/// Number of words before the evidence in `INCIDENT OPEN SEVERITY SCOPE PERSON EVIDENCE...`.
const WORDS_BEFORE_EVIDENCE: usize = 5;

type Parsed<T> = Result<T, ParseCommandError>;

/// Parses a line; `None` if its first word is not a coordination command.
pub fn parse(line: &str, people: &PersonDirectory<'_>) -> Option<Parsed<AdminCommand>> {
    let words = Words::split(line);
    let command = *words.arguments.first()?;
    let verb = words.arguments.get(1).copied();
    let mut parser = Parser { line, words, people };
    let parsed = match (command, verb) {
        ("FLEET", None) => Ok(AdminCommand::StateQuery(StateQuery::Status)),
        ("WINDOW", None) => Ok(AdminCommand::StateQuery(StateQuery::Windows)),
        ("INCIDENT", None) => Ok(AdminCommand::StateQuery(StateQuery::Incidents)),
        ("CHANGE", None) => Ok(AdminCommand::StateQuery(StateQuery::Changes)),
        ("RECORD", None) => Ok(AdminCommand::StateQuery(StateQuery::AuditRecords)),
        ("FLEET", Some("HANDOVER")) => parser.hand_over(),
        ("WINDOW", Some(verb)) => parser.window(verb),
        ("INCIDENT", Some(verb)) => parser.incident(verb),
        ("CHANGE", Some(verb)) => parser.change(verb),
        ("FLEET" | "RECORD", Some(_)) => Err(ParseCommandError::UnknownCommand),
        _ => return None,
    };
    Some(parsed.and_then(|command| parser.words.reject_unused_options().map(|()| command)))
}

/// The words of a line: arguments by position, where the command itself is at position 0, and options by
/// name.
struct Words<'a> {
    arguments: Vec<&'a str>,
    options: BTreeMap<&'a str, &'a str>,
}

impl<'a> Words<'a> {
    fn split(line: &'a str) -> Words<'a> {
        let mut words = Words { arguments: Vec::new(), options: BTreeMap::new() };
        for word in line.split_ascii_whitespace() {
            match word.split_once('=') {
                Some((name, value)) => {
                    words.options.insert(name, value);
                }
                None => words.arguments.push(word),
            }
        }
        words
    }

    fn argument(&self, position: usize, name: &'static str) -> Parsed<&'a str> {
        let argument = self.arguments.get(position).copied();
        argument.ok_or(ParseCommandError::MissingArgument { argument: name })
    }

    fn parsed_argument<T: FromStr>(&self, position: usize, name: &'static str) -> Parsed<T>
    where
        InvalidValue: From<T::Err>,
    {
        self.argument(position, name)?.parse().map_err(|error| invalid(name, error))
    }

    fn option<T: FromStr>(&mut self, name: &'static str, default: T) -> Parsed<T>
    where
        InvalidValue: From<T::Err>,
    {
        match self.options.remove(name) {
            Some(text) => text.parse().map_err(|error| invalid(name, error)),
            None => Ok(default),
        }
    }

    fn required_option(&mut self, option: &'static str) -> Parsed<&'a str> {
        self.options.remove(option).ok_or(ParseCommandError::MissingOption { option })
    }

    fn required_duration(&mut self, name: &'static str) -> Parsed<Millis> {
        let text = self.required_option(name)?;
        parse_duration(name, text)
    }

    fn duration(&mut self, name: &'static str, default: Duration) -> Parsed<Millis> {
        match self.options.remove(name) {
            Some(text) => parse_duration(name, text),
            None => Ok(millis(default)),
        }
    }

    /// Rejects options that the command has not taken, so that a misspelt option is not silently ignored.
    fn reject_unused_options(&self) -> Parsed<()> {
        match self.options.keys().next() {
            Some(name) => Err(ParseCommandError::UnknownOption { option: (*name).to_owned() }),
            None => Ok(()),
        }
    }
}

fn parse_duration(name: &'static str, text: &str) -> Parsed<Millis> {
    humantime::parse_duration(text).map(millis).map_err(|error| invalid(name, error))
}

fn invalid(name: &'static str, source: impl Into<InvalidValue>) -> ParseCommandError {
    ParseCommandError::InvalidValue { name, source: source.into() }
}

struct Parser<'a> {
    line: &'a str,
    words: Words<'a>,
    people: &'a PersonDirectory<'a>,
}

impl Parser<'_> {
    fn hand_over(&self) -> Parsed<AdminCommand> {
        Ok(AdminCommand::HandOver(LeaseName::new(self.words.argument(2, "the duty")?)?))
    }

    fn person(&self, position: usize) -> Parsed<String> {
        self.people.main_name(self.words.argument(position, "the person")?)
    }

    fn window(&mut self, verb: &str) -> Parsed<AdminCommand> {
        let number = "the window's number";
        let command = match verb {
            "PLAN" => WindowCommand::Plan(self.window_plan()?),
            "CANCEL" => WindowCommand::Cancel { window: self.words.parsed_argument(2, number)? },
            "END" => WindowCommand::End { window: self.words.parsed_argument(2, number)? },
            _ => return Err(ParseCommandError::UnknownCommand),
        };
        Ok(AdminCommand::Propose(Command::Window { token: None, command }))
    }

    fn window_plan(&mut self) -> Parsed<WindowPlan> {
        let begin = self.words.required_option("begin")?;
        let starts_at = calendar::parse_timestamp(begin)
            .ok_or_else(|| invalid("begin", InvalidValue::Timestamp(begin.to_owned())))?;
        let overrun_policy = self.overrun_policy()?;
        Ok(WindowPlan {
            site: self.words.argument(2, "the site")?.to_owned(),
            starts_at,
            duration: self.words.required_duration("length")?,
            lead_time: self.words.required_duration("lead")?,
            max_delay: self.words.duration("latest", DEFAULT_MAX_DELAY)?,
            reserve_percent: self.words.option("reserve", DEFAULT_RESERVE_PERCENT)?,
            overrun_policy,
        })
    }

    fn overrun_policy(&mut self) -> Parsed<OverrunPolicy> {
        match self.words.options.remove("overrun") {
            None | Some("return") => Ok(OverrunPolicy::Return),
            Some("hold") => Ok(OverrunPolicy::Hold),
            Some(other) => Err(invalid("overrun", InvalidValue::OverrunPolicy(other.to_owned()))),
        }
    }

    fn incident(&mut self, verb: &str) -> Parsed<AdminCommand> {
        if verb == "OPEN" {
            return self.open_incident();
        }
        let incident = |words: &Words<'_>| words.parsed_argument(2, "the incident's number");
        let command = match verb {
            "TAKE" => {
                FreezeCommand::AssignIncident { incident: incident(&self.words)?, person: self.person(3)? }
            }
            "RESOLVE" => FreezeCommand::ResolveIncident {
                incident: incident(&self.words)?,
                resolved_by: Requester::Person(self.person(3)?),
            },
            "REMEDY" => FreezeCommand::LinkRemedy {
                incident: incident(&self.words)?,
                change: self.words.parsed_argument(3, "the change's number")?,
                person: self.person(4)?,
            },
            _ => return Err(ParseCommandError::UnknownCommand),
        };
        Ok(propose(command))
    }

    fn open_incident(&mut self) -> Parsed<AdminCommand> {
        // The evidence is free text, so a word with '=' in it is not an option.
        let evidence: Vec<&str> = self.line.split_ascii_whitespace().skip(WORDS_BEFORE_EVIDENCE).collect();
        self.words.options.clear();
        Ok(propose(FreezeCommand::OpenIncident {
            severity: self.words.parsed_argument(2, "the severity")?,
            scope: self.words.parsed_argument(3, "the scope")?,
            opened_by: Requester::Person(self.person(4)?),
            evidence: evidence.join(" "),
        }))
    }

    fn change(&mut self, verb: &str) -> Parsed<AdminCommand> {
        let number = "the change's number";
        let command = match verb {
            "ASK" => FreezeCommand::RequestChange(self.change_request()?),
            "EMERGENCY" => FreezeCommand::RequestEmergencyChange(self.change_request()?),
            "DONE" => FreezeCommand::FinishChange { change: self.words.parsed_argument(2, number)? },
            "CLEAR" => FreezeCommand::ClearOverdueChange {
                change: self.words.parsed_argument(2, number)?,
                person: self.person(3)?,
            },
            _ => return Err(ParseCommandError::UnknownCommand),
        };
        Ok(propose(command))
    }

    fn change_request(&mut self) -> Parsed<ChangeRequest> {
        Ok(ChangeRequest {
            kind: self.words.parsed_argument(2, "the kind")?,
            scope: self.words.parsed_argument(3, "the scope")?,
            requested_by: self.person(4)?,
            priority: self.words.option("worth", DEFAULT_PRIORITY)?,
            max_duration: self.words.duration("for", DEFAULT_CHANGE_DURATION)?,
            reaction: self.words.option("reaction", Reaction::Pause)?,
        })
    }
}

fn propose(command: FreezeCommand) -> AdminCommand {
    AdminCommand::Propose(Command::Freeze(command))
}
