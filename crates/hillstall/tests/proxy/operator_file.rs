//! The output of `check` and `config show` for operator files, compared byte for byte with the files in
//! `fixtures/`.

use std::path::PathBuf;
use std::process::Command;

/// The exit code for an invalid configuration.
const INVALID_CONFIG: i32 = 3;

fn fixtures() -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/proxy/fixtures")
}

fn fixture(name: &str) -> String {
    std::fs::read_to_string(fixtures().join(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

/// Runs the program in the fixture folder with an empty environment; returns the exit code and standard
/// output.
fn run(arguments: &[&str]) -> (Option<i32>, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_hillstall"));
    let output =
        command.args(arguments).current_dir(fixtures()).env_clear().output().expect("the program runs");
    (output.status.code(), String::from_utf8(output.stdout).expect("text"))
}

#[test]
fn file_with_every_key_is_valid() {
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
fn shown_values_match_the_lines_of_the_file() {
    let file: Vec<String> = fixture("every-key.toml").lines().map(str::to_owned).collect();
    let shown: serde_json::Map<String, serde_json::Value> =
        serde_json::from_str(&fixture("every-key.shown.json")).expect("JSON");
    for (key, entry) in shown {
        let from = entry["from"].as_str().expect("text");
        let line: usize = from
            .rsplit(':')
            .next()
            .and_then(|number| number.parse().ok())
            .unwrap_or_else(|| panic!("{from}"));
        let (name, value) = file[line - 1].split_once(" = ").unwrap_or_else(|| panic!("{key}: {from}"));
        assert!(key.ends_with(&format!(".{name}")), "{key} is not on line {line}");
        assert_eq!(entry["value"].as_str(), Some(value.trim_matches('"')), "{key}");
        assert_ne!(entry["value"], entry["default"], "{key}");
    }
}

#[test]
fn problems_are_reported_with_file_line_and_key() {
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
        assert_eq!(run(&["check", &format!("{name}.toml")]), (Some(INVALID_CONFIG), expected), "{name}");
    }
}
