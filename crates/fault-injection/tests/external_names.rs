//! The JSON messages between a run and its process supervisor, and the names of rules in reports, compared
//! with literal texts.

use hillstall_fault_injection::invariant_checker::Rule;
use hillstall_fault_injection::process_supervisor::{ProcessSignal, StartProcess, SupervisorEvent};
use serde_json::{from_str, to_string};

#[test]
fn supervisor_events_have_this_json_form() {
    let events = [
        (SupervisorEvent::Started { number: 3, pid: 41 }, r#"{"started":{"number":3,"pid":41}}"#),
        (
            SupervisorEvent::Failed { number: 3, error: "gone".into() },
            r#"{"failed":{"number":3,"why":"gone"}}"#,
        ),
        (
            SupervisorEvent::Ended { number: 3, code: Some(1), signal: None },
            r#"{"ended":{"number":3,"code":1,"signal":null}}"#,
        ),
        (
            SupervisorEvent::Ended { number: 3, code: None, signal: Some(9) },
            r#"{"ended":{"number":3,"code":null,"signal":9}}"#,
        ),
    ];
    for (event, text) in events {
        assert_eq!(to_string(&event).expect("serializable"), text);
        assert_eq!(from_str::<SupervisorEvent>(text).expect("valid event"), event);
    }
}

#[test]
fn the_start_command_has_this_json_form() {
    let text =
        r#"{"number":3,"program":"/bin/p","arguments":["run"],"environment":[["A","b"]],"log":"/tmp/log"}"#;
    let start: StartProcess = from_str(text).expect("valid command");
    assert_eq!((start.number, start.program.to_str()), (3, Some("/bin/p")));
    assert_eq!((start.arguments.clone(), start.log.to_str()), (vec!["run".to_owned()], Some("/tmp/log")));
    assert_eq!(start.environment, [("A".to_owned(), "b".to_owned())]);
    assert_eq!(to_string(&start).expect("serializable"), text);
}

#[test]
fn signals_have_these_json_names() {
    let signals = [
        ProcessSignal::Kill,
        ProcessSignal::Term,
        ProcessSignal::Stop,
        ProcessSignal::Continue,
        ProcessSignal::Reload,
    ];
    let names = signals.map(|signal| to_string(&signal).expect("serializable"));
    assert_eq!(names, [r#""Kill""#, r#""Term""#, r#""Stop""#, r#""Go""#, r#""Reload""#]);
}

#[test]
fn rules_have_these_names_in_reports() {
    let rules = [
        Rule::OneResponse,
        Rule::UnsafeRetry,
        Rule::AttemptLimit,
        Rule::Drain,
        Rule::SlowStart,
        Rule::Rejection,
        Rule::UnsolicitedRequest,
        Rule::Crash,
    ];
    let names = [
        "one final response",
        "no unsafe retry",
        "attempt limit",
        "no new request to a draining server",
        "no overload in slow start",
        "no rejection after execution",
        "no unsolicited request",
        "no crash",
    ];
    assert_eq!(rules.map(Rule::name), names);
}
