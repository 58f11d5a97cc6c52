//! The commands that look at configurations.

use crate::cli::{exit, Command, Set};
use crate::operator::{Operator, Sources, Wrong};
use crate::{environment, platform, say};
use clap::CommandFactory;
use clap_complete::Shell;
use std::io::Write;
use std::path::{Path, PathBuf};

/// Writes to standard output. Guards against a panic where the reader has left, as `head` does.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// What the operator has set, or all that is wrong with it.
pub fn operator(set: &Set) -> Result<Operator, Vec<Wrong>> {
    Operator::read(&set.sources(), environment)
}

/// Tells all faults, one a line.
pub fn tell(wrong: &[Wrong]) -> u8 {
    wrong.iter().for_each(say);
    exit::CONFIGURATION
}

/// The exit code of a command that reads files; its error is told.
pub fn done(result: Result<(), String>) -> u8 {
    match result {
        Ok(()) => exit::OK,
        Err(why) => {
            say(why);
            exit::CONFIGURATION
        }
    }
}

/// Checks files; the ending tells of which kind each is.
pub fn check(files: &[PathBuf]) -> u8 {
    let mut faults = 0;
    for file in files {
        let told: Vec<String> = match file.extension().and_then(|e| e.to_str()) {
            Some("toml") => of_operator(file),
            Some("json") => platform::faults(file),
            _ => vec![format!(
                "{}: neither an operator file (.toml) nor a platform file (.json)",
                file.display()
            )],
        };
        faults += told.len();
        told.iter().for_each(|fault| print(&format!("{fault}\n")));
        if told.is_empty() {
            print(&format!("{}: good\n", file.display()));
        }
    }
    if faults == 0 {
        exit::OK
    } else {
        exit::CONFIGURATION
    }
}

fn of_operator(file: &Path) -> Vec<String> {
    let sources = Sources { file: Some(file.to_path_buf()), flags: Vec::new() };
    match Operator::read(&sources, |_| None) {
        Ok(_) => Vec::new(),
        Err(wrong) => wrong.iter().map(ToString::to_string).collect(),
    }
}

/// Shows every key with its value, where that came from, and what it does.
pub fn show(set: &Set, json: bool) -> u8 {
    let operator = match operator(set) {
        Ok(operator) => operator,
        Err(wrong) => return tell(&wrong),
    };
    if json {
        let all: serde_json::Map<_, _> = operator
            .shown()
            .map(|(key, value, from)| {
                let entry = serde_json::json!({
                    "value": value.to_string(), "from": from.to_string(), "default": key.default,
                    "reloads": key.reloads, "variable": key.variable(), "help": key.help,
                });
                (key.name.to_string(), entry)
            })
            .collect();
        print(&format!("{}\n", serde_json::Value::Object(all)));
        return exit::OK;
    }
    let mut table = String::new();
    for (key, value, from) in operator.shown() {
        let value = value.to_string();
        let note = if key.reloads { "" } else { " (needs a restart)" };
        table.push_str(&format!("{:24} {value:10} {:32} {}{note}\n", key.name, from.to_string(), key.help));
    }
    print(&table);
    exit::OK
}

/// Prints a script for a shell.
pub fn completions(shell: Shell) -> u8 {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut Command::command(), "hillstall", &mut script);
    let _ = std::io::stdout().write_all(&script);
    exit::OK
}
