//! Parsing of admin commands, and the errors for invalid ones.

use hillstall_change_freeze::state::FreezeCommand;
use hillstall_consensus::state::Command;
use hillstall_coordination::admin_commands::{parse, AdminCommand, PersonDirectory, StateQuery};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn valid_lines_are_parsed_and_errors_name_the_invalid_part() {
    let people = [("mira", "mira"), ("mk", "mira"), ("tom", "tom")];
    let people = people.map(|(name, main_name)| (name.to_owned(), main_name.to_owned())).into();
    let parse_line = |line: &str| parse(line, &PersonDirectory(&people)).expect("a coordination command");
    assert_eq!(parse_line("FLEET"), Ok(AdminCommand::StateQuery(StateQuery::Status)));
    let emergency = parse_line("CHANGE EMERGENCY drain site:north mk for=30s").expect("a valid command");
    let AdminCommand::Propose(Command::Freeze(FreezeCommand::RequestEmergencyChange(request))) = emergency
    else {
        panic!("{emergency:?}")
    };
    assert_eq!(
        (request.requested_by.as_str(), request.max_duration),
        ("mira", 30_000),
        "the alias mk is resolved to the main name"
    );
    let planned = parse_line("WINDOW PLAN north begin=2026-05-03T02:00[Europe/Berlin] length=1h lead=10m");
    assert!(planned.is_ok(), "{planned:?}");
    for (line, reason) in [
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
        let error = parse_line(line).expect_err(line).to_string();
        assert!(error.contains(reason), "{line}: {error}");
    }
    assert!(parse("PING", &PersonDirectory(&people)).is_none());
}

proptest! {
    #[test]
    fn parsing_never_panics(line in "(FLEET|WINDOW|INCIDENT|CHANGE)?[ -~]{0,120}") {
        let _ = parse(&line, &PersonDirectory(&BTreeMap::new()));
    }
}
