//! The names of enum values in commands of people, and in stored audit records and reasons. They must not
//! change. Each match lists every variant, so that a new variant does not compile without a name here.

use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::scope::Scope;
use hillstall_maintenance::windows::Stage;
use std::fmt::{Debug, Display};
use std::str::FromStr;

/// Checks that a value is displayed as this name, and parsed from it.
fn assert_name<T>(value: &T, name: &str)
where
    T: Display + FromStr + PartialEq + Debug,
    T::Err: Debug,
{
    assert_eq!(value.to_string(), name);
    assert_eq!(&name.parse::<T>().expect("the name can be parsed"), value);
}

#[test]
fn change_kinds_are_displayed_and_parsed_by_fixed_names() {
    let name = |kind: ChangeKind| match kind {
        ChangeKind::OperatorFile => "operator-file",
        ChangeKind::Upgrade => "upgrade",
        ChangeKind::Drain => "drain",
        ChangeKind::Window => "window",
        ChangeKind::Replica => "keeper",
        ChangeKind::Settings => "settings",
    };
    assert_eq!(ChangeKind::ALL.len(), 6);
    ChangeKind::ALL.iter().for_each(|kind| assert_name(kind, name(*kind)));
}

#[test]
fn severities_are_displayed_and_parsed_by_fixed_names() {
    let name = |severity: Severity| match severity {
        Severity::Minor => "minor",
        Severity::Major => "major",
        Severity::Critical => "critical",
    };
    assert_eq!(Severity::ALL.len(), 3);
    Severity::ALL.iter().for_each(|severity| assert_name(severity, name(*severity)));
}

#[test]
fn reactions_are_displayed_and_parsed_by_fixed_names() {
    let name = |reaction: Reaction| match reaction {
        Reaction::Finish => "finish",
        Reaction::Pause => "pause",
        Reaction::Undo => "undo",
    };
    assert_eq!(Reaction::ALL.len(), 3);
    Reaction::ALL.iter().for_each(|reaction| assert_name(reaction, name(*reaction)));
}

#[test]
fn scopes_are_displayed_and_parsed_by_fixed_names() {
    let name = |scope: &Scope| match scope {
        Scope::Fleet => "fleet",
        Scope::Site(_) => "site:south",
        Scope::Tier(_) => "tier:store",
        Scope::Replicas => "keepers",
        Scope::Class(_) => "class:bulk",
        Scope::Tenant(_) => "tenant:acme",
        Scope::Instance { .. } => "copy:west/12",
    };
    let scopes = [
        Scope::Fleet,
        Scope::Site("south".into()),
        Scope::Tier("store".into()),
        Scope::Replicas,
        Scope::Class("bulk".into()),
        Scope::Tenant("acme".into()),
        Scope::Instance { site: "west".into(), rank: 12 },
    ];
    scopes.iter().for_each(|scope| assert_name(scope, name(scope)));
}

#[test]
fn window_stages_are_displayed_by_fixed_names() {
    let name = |stage: Stage| match stage {
        Stage::Planned => "planned",
        Stage::Admitted => "admitted",
        Stage::Shifting => "shifting",
        Stage::Empty => "empty",
        Stage::Running => "running",
        Stage::Returning => "returning",
        Stage::Done => "done",
        Stage::Postponed => "postponed",
        Stage::Cancelled => "cancelled",
    };
    let stages = [
        Stage::Planned,
        Stage::Admitted,
        Stage::Shifting,
        Stage::Empty,
        Stage::Running,
        Stage::Returning,
        Stage::Done,
        Stage::Postponed,
        Stage::Cancelled,
    ];
    stages.iter().for_each(|stage| assert_eq!(stage.to_string(), name(*stage)));
}
