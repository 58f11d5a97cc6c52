//! The operator file as operators see it: every key, what is shown of each, and what is said of a wrong one. The
//! expected text lies in `fixtures/`, and is compared byte by byte.

use std::path::PathBuf;
use std::process::Command;

/// The exit code of a wrong configuration.
const CONFIGURATION: i32 = 3;

fn fixtures() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/proxy/fixtures")
}

fn fixture(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).unwrap_or_else(|why| panic!("{name}: {why}"))
}

/// The exit code and the standard output of the program, run in the folder of the fixtures without any environment.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hillstall"));
    let output = command.args(arguments).current_dir(fixtures()).env_clear().output().expect("it runs");
    (output.status.code(), String::from_utf8(output.stdout).expect("text"))
}

#[test]
fn a_file_with_every_key_is_good() {
    assert_eq!(run(&["check", "every-key.toml"]), (Some(0), "every-key.toml: good\n".to_owned()));
}

#[test]
fn every_key_is_shown_as_text() {
    let shown = run(&["config", "show", "--operator", "every-key.toml"]);
    assert_eq!(shown, (Some(0), fixture("every-key.shown.txt")));
}

#[test]
fn every_key_is_shown_as_json() {
    let shown = run(&["config", "show", "--operator", "every-key.toml", "--json"]);
    assert_eq!(shown, (Some(0), fixture("every-key.shown.json")));
}

#[test]
fn every_default_is_shown_as_text() {
    assert_eq!(run(&["config", "show"]), (Some(0), fixture("defaults.shown.txt")));
}

#[test]
fn each_key_of_the_file_is_shown_with_the_value_that_stands_there() {
    let file: Vec<String> = fixture("every-key.toml").lines().map(str::to_owned).collect();
    let shown: serde_json::Map<String, serde_json::Value> =
        serde_json::from_str(&fixture("every-key.shown.json")).expect("JSON");
    for (key, entry) in shown {
        let from = entry["from"].as_str().expect("text");
        let line: usize =
            from.rsplit(':').next().and_then(|n| n.parse().ok()).unwrap_or_else(|| panic!("{from}"));
        let (name, value) = file[line - 1].split_once(" = ").unwrap_or_else(|| panic!("{key}: {from}"));
        assert!(key.ends_with(&format!(".{name}")), "{key} is not on line {line}");
        assert_eq!(entry["value"].as_str(), Some(value.trim_matches('"')), "{key}");
        assert_ne!(entry["value"], entry["default"], "{key}");
    }
}

#[test]
fn what_is_wrong_is_told_with_file_line_and_key() {
    for name in [
        "out-of-bounds",
        "no-keeper",
        "window-contradictions",
        "unknown-keys",
        "unknown-fleet-key",
        "unknown-window-key",
        "held-above-longest",
        "no-toml",
    ] {
        let expected = fixture(&format!("{name}.check.txt"));
        assert_eq!(run(&["check", &format!("{name}.toml")]), (Some(CONFIGURATION), expected), "{name}");
    }
}
