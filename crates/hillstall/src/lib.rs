//! The `hillstall` program as a library: command line, configuration files, and the wiring of the proxy.
//!
//! `main.rs` only parses the command line; everything else is here so that integration tests can use it.

pub mod admin;
pub mod cli;
pub mod commands;
pub mod config;
pub mod coordination;
pub mod demo;
pub mod exit_status;
pub mod fault_injection;
pub mod handover;
pub mod logs;
pub mod operator;
pub mod output;
pub mod platform;
pub mod proxy;
pub mod reload;
pub mod simulation;

use cli::{Command, CommandLine, ConfigCommand};
use exit_status::ExitStatus;

/// Executes a parsed command line and returns the exit status of the process.
pub fn execute(command_line: CommandLine) -> ExitStatus {
    let CommandLine { command, overrides } = command_line;
    match command {
        None | Some(Command::Run) => commands::run(overrides),
        Some(Command::Demo { listen, servers }) => commands::demo(overrides, listen, servers),
        Some(Command::Check { files }) => commands::check(&files),
        Some(Command::Config { command: ConfigCommand::Show { json } }) => {
            commands::show_settings(&overrides, json)
        }
        Some(Command::Simulation { command }) => commands::exit_status_of(simulation::run(command)),
        Some(Command::Completions { shell }) => commands::completions(shell),
    }
}

/// Returns the value of an environment variable, if it is set and valid Unicode.
pub fn environment_variable(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
