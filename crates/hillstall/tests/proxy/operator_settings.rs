//! The operator's settings: precedence of the sources, and the report of all problems with their places.

use hillstall::operator::keys::{self, KEYS};
use hillstall::operator::{ConfigProblem, OperatorConfig, Sources, ValueOrigin};
use hillstall_proxy_core::tuning::Tuning;
use std::time::Duration;

/// A temporary file with this text.
fn temporary_file(text: &str) -> tempfile::NamedTempFile {
    let file = tempfile::NamedTempFile::new().expect("a file");
    std::fs::write(file.path(), text).expect("the write succeeds");
    file
}

fn read(text: &str, env: &[(&str, &str)], flags: &[&str]) -> Result<OperatorConfig, Vec<ConfigProblem>> {
    let file = temporary_file(text);
    let sources = Sources {
        file: Some(file.path().to_path_buf()),
        flags: flags.iter().map(ToString::to_string).collect(),
    };
    OperatorConfig::read(&sources, |name| env.iter().find(|(n, _)| *n == name).map(|(_, v)| v.to_string()))
}

fn problems(text: &str) -> Vec<String> {
    read(text, &[], &[]).expect_err("invalid settings").iter().map(ToString::to_string).collect()
}

#[test]
fn defaults_match_those_of_the_proxy_core() {
    let operator = OperatorConfig::read(&Sources::default(), |_| None).expect("the defaults");
    assert_eq!(keys::tuning(&operator), Tuning::default());
    assert!(operator.entries().all(|(_, _, from)| *from == ValueOrigin::Default));
    assert_eq!(operator.entries().count(), KEYS.len());
}

#[test]
fn flags_override_the_environment_which_overrides_the_file() {
    let text = "[pool]\nrest = \"3ms\"\nkept = 5\nwaits = 6\n";
    let env = [("HILLSTALL_POOL_KEPT", "7"), ("HILLSTALL_POOL_WAITS", "8")];
    let operator = read(text, &env, &["pool.waits=9"]).expect("valid settings");
    assert_eq!(operator.duration("pool.rest"), Duration::from_millis(3));
    assert_eq!((operator.integer("pool.kept"), operator.integer("pool.waits")), (7, 9));
    let from: Vec<String> = operator.entries().map(|(_, _, from)| from.to_string()).collect();
    assert!(
        from.iter().any(|origin| origin.ends_with(":2"))
            && from.contains(&"$HILLSTALL_POOL_KEPT".to_string())
    );
}

#[test]
fn all_problems_are_reported_with_line_and_key() {
    let text = "[pool]\nrest = \"3\"\nkpet = 5\nwaits = \"6\"\n\n[callers]\nidle = \"1ms\"\nidel = \"2s\"\n\
                [messages]\nheld = \"64\"\nstall = 5\nread_ahead = [1]\n";
    let problems = problems(text);
    let expected = [
        (":2: pool.rest: ", "with its unit"),
        (":3: pool.kpet: ", "did you mean pool.kept?"),
        (":4: pool.waits: ", "without quotes"),
        (":7: callers.idle: ", "out of bounds: from 100ms to 1h"),
        (":8: callers.idel: ", "did you mean callers.idle?"),
        (":10: messages.held: ", "with its unit"),
        (":11: messages.stall: ", "with its unit"),
        (":12: messages.read_ahead: ", "is not allowed here"),
    ];
    for (place, why) in expected {
        assert!(
            problems.iter().any(|problem| problem.contains(place) && problem.contains(why)),
            "{place}{why} in {problems:#?}"
        );
    }
    assert_eq!(problems.len(), expected.len(), "{problems:#?}");
}

#[test]
fn syntax_errors_missing_files_and_contradicting_keys_are_reported() {
    assert!(problems("[pool\nrest = 1\n").iter().any(|problem| problem.contains(":1: ")));
    assert!(problems("[messages]\nlongest = \"32KiB\"\n")[0].contains("must not be larger than"));
    let sources = Sources { file: Some("/nowhere/at-all.toml".into()), flags: vec!["pool.rest".into()] };
    let problems = OperatorConfig::read(&sources, |_| None).expect_err("the file does not exist");
    assert!(problems[0].to_string().starts_with("/nowhere/at-all.toml: "));
    assert!(problems[1].to_string().contains("expected KEY=VALUE"));
}

#[test]
fn printed_defaults_parse_to_the_same_values() {
    let operator = OperatorConfig::read(&Sources::default(), |_| None).expect("the defaults");
    for (key, value, _) in operator.entries() {
        assert_eq!(key.kind.parse(&value.to_string()), Ok(value), "{}", key.name);
    }
}

proptest::proptest! {
    #[test]
    fn arbitrary_text_does_not_panic(text in "(\\[[a-z.\"]{0,9}\\]\n)?([a-z._]{0,12} ?= ?[\"a-zA-Z0-9.\\[\\]{}#-]{0,12}\n){0,6}") {
        let _ = read(&text, &[], &[]);
    }
}
