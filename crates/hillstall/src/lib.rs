//! The parts of the `hillstall` program: command line, configuration files, and the wiring of the proxy.
//!
//! The program itself is `main.rs`; the parts stand in a library so that tests can reach them.

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

/// Executes a command line and returns the status that the process ends with.
pub fn execute(command_line: CommandLine) -> ExitStatus {
    let CommandLine { command, overrides } = command_line;
    match command {
        None | Some(Command::Run) => commands::run(overrides),
        Some(Command::Demo { listen, servers }) => commands::demo(overrides, listen, servers),
        Some(Command::Check { files }) => commands::check(&files),
        Some(Command::Config { command: ConfigCommand::Show { json } }) => commands::show(&overrides, json),
        Some(Command::Simulation { command }) => commands::finish(simulation::run(command)),
        Some(Command::Completions { shell }) => commands::completions(shell),
    }
}

/// The value of an environment variable, if it is set and valid Unicode.
pub fn environment(name: &str) -> Option<String> {
    std::env::var(name).ok()
}
