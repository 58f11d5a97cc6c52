//! The commands that run a proxy, check configuration files or show settings.

use crate::cli::{CommandLine, SettingOverrides};
use crate::config::{self, Config};
use crate::exit_status::ExitStatus;
use crate::logs::{report_dropped_lines, Logs};
use crate::operator::{ConfigProblem, OperatorConfig, Sources};
use crate::output::{print, print_message};
use crate::proxy::RunError;
use crate::{demo, environment_variable, platform, proxy};
use clap::CommandFactory;
use clap_complete::Shell;
use serde_json::{json, Map, Value};
use std::fmt::Display;
use std::io::Write;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use tokio::runtime::Builder;
use tokio::task::LocalSet;

/// Runs the proxy with the platform's configuration until SIGTERM.
pub fn run(overrides: SettingOverrides) -> ExitStatus {
    run_proxy(overrides, || config::load(environment_variable))
}

/// Runs a proxy in front of stand-in servers until SIGTERM.
pub fn demo(overrides: SettingOverrides, listen: SocketAddr, servers: u16) -> ExitStatus {
    run_proxy(overrides, || {
        let config = demo::start(listen, servers)?;
        print_message(demo::usage_hint(listen));
        Ok::<_, demo::DemoError>(config)
    })
}

/// Reads the operator's settings, loads the platform's configuration, and runs a proxy until SIGTERM.
fn run_proxy<E: Display>(
    overrides: SettingOverrides,
    load: impl FnOnce() -> Result<Config, E>,
) -> ExitStatus {
    let operator = match OperatorConfig::read(&overrides.sources(), environment_variable) {
        Ok(operator) => operator,
        Err(problems) => return print_problems(&problems),
    };
    let config = match load() {
        Ok(config) => config,
        Err(error) => {
            print_message(error);
            return ExitStatus::InvalidConfig;
        }
    };
    match block_on_proxy(config, operator, overrides) {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            print_message(error);
            ExitStatus::Failure
        }
    }
}

/// Runs the proxy on the current thread and writes its log until it has ended.
fn block_on_proxy(
    config: Config,
    operator: OperatorConfig,
    overrides: SettingOverrides,
) -> Result<(), RunError> {
    // Declared first and so dropped last. Lines dropped by then are not reported: writing to a reader that is
    // stuck would delay the exit.
    let logs = Logs::start(operator.choice("log.format"), operator.choice("log.level"));
    let runtime = Builder::new_current_thread().enable_all().build().map_err(RunError::Runtime)?;
    let tasks = LocalSet::new();
    tasks.spawn_local(report_dropped_lines(logs.dropped()));
    tasks.block_on(&runtime, proxy::run(config, operator, overrides))
}

/// Prints all problems of a configuration, one per line.
fn print_problems(problems: &[ConfigProblem]) -> ExitStatus {
    problems.iter().for_each(print_message);
    ExitStatus::InvalidConfig
}

/// Prints the error of a command, if it failed, and returns its exit status. Every error counts as
/// [`ExitStatus::InvalidConfig`].
pub fn exit_status_of(result: Result<(), impl Display>) -> ExitStatus {
    match result {
        Ok(()) => ExitStatus::Success,
        Err(error) => {
            print_message(error);
            ExitStatus::InvalidConfig
        }
    }
}

/// Checks files and prints all problems. Files ending in .toml are operator files, in .json platform files.
pub fn check(files: &[PathBuf]) -> ExitStatus {
    let mut status = ExitStatus::Success;
    for file in files {
        let problems = find_problems(file);
        if problems.is_empty() {
            print(&format!("{}: good\n", file.display()));
            continue;
        }
        status = ExitStatus::InvalidConfig;
        for problem in problems {
            print(&format!("{problem}\n"));
        }
    }
    status
}

fn find_problems(file: &Path) -> Vec<String> {
    match file.extension().and_then(|extension| extension.to_str()) {
        Some("toml") => operator_problems(file),
        Some("json") => platform::find_problems(file),
        _ => {
            vec![format!("{}: neither an operator file (.toml) nor a platform file (.json)", file.display())]
        }
    }
}

fn operator_problems(file: &Path) -> Vec<String> {
    let sources = Sources { file: Some(file.to_path_buf()), flags: Vec::new() };
    match OperatorConfig::read(&sources, |_| None) {
        Ok(_) => Vec::new(),
        Err(problems) => problems.iter().map(ToString::to_string).collect(),
    }
}

/// Prints every key with its value, the source of the value, and the key's help text.
pub fn show_settings(overrides: &SettingOverrides, json: bool) -> ExitStatus {
    let operator = match OperatorConfig::read(&overrides.sources(), environment_variable) {
        Ok(operator) => operator,
        Err(problems) => return print_problems(&problems),
    };
    match json {
        true => print(&format!("{}\n", settings_json(&operator))),
        false => print(&settings_table(&operator)),
    }
    ExitStatus::Success
}

fn settings_json(operator: &OperatorConfig) -> Value {
    let entries = operator.entries().map(|(key, value, origin)| {
        let entry = json!({
            "value": value.to_string(), "from": origin.to_string(), "default": key.default,
            "reloads": key.reloads, "variable": key.variable(), "help": key.help,
        });
        (key.name.to_string(), entry)
    });
    Value::Object(entries.collect::<Map<_, _>>())
}

fn settings_table(operator: &OperatorConfig) -> String {
    let mut table = String::new();
    for (key, value, origin) in operator.entries() {
        let (value, origin) = (value.to_string(), origin.to_string());
        let note = if key.reloads { "" } else { " (needs a restart)" };
        table.push_str(&format!("{:24} {value:10} {origin:32} {}{note}\n", key.name, key.help));
    }
    table
}

/// Prints a completion script for a shell.
pub fn completions(shell: Shell) -> ExitStatus {
    let mut script = Vec::new();
    clap_complete::generate(shell, &mut CommandLine::command(), "hillstall", &mut script);
    let _ = std::io::stdout().write_all(&script);
    ExitStatus::Success
}
