//! The command line. The comments on commands and arguments are the texts of `--help`.

use crate::operator::Sources;
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A proxy whose every decision about a call is made by one small module.
#[derive(Parser)]
#[command(name = "hillstall", version, about, max_term_width = 100)]
pub struct CommandLine {
    /// What to do; `run` where nothing is said
    #[command(subcommand)]
    pub command: Option<Command>,
    /// Where the operator's settings come from.
    #[command(flatten)]
    pub overrides: SettingOverrides,
}

/// Where the operator's settings come from, beside the environment.
#[derive(Args, Clone)]
pub struct SettingOverrides {
    /// The operator file
    #[arg(long = "operator", value_name = "FILE", env = "HILLSTALL_OPERATOR_FILE", global = true)]
    operator_file: Option<PathBuf>,
    /// One key of the operator file, which goes before file and environment
    #[arg(long = "set", value_name = "KEY=VALUE", global = true)]
    assignments: Vec<String>,
}

impl SettingOverrides {
    /// The sources that the reader of the operator's settings takes.
    pub fn sources(&self) -> Sources {
        Sources { file: self.operator_file.clone(), flags: self.assignments.clone() }
    }
}

/// The commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Run the proxy that $NODE_CONFIG describes
    Run,
    /// Check files and tell all that is wrong: operator files (.toml) and platform files (.json)
    Check {
        /// The files
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// What is set, and by whom
    Config {
        /// What to do with it
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Run the proxy in front of stand-in servers, for a first look
    Demo {
        /// Where callers connect
        #[arg(long, default_value = "127.0.0.1:7070")]
        listen: SocketAddr,
        /// Stand-in servers
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
        servers: u16,
    },
    /// Rehearse failures in simulated time, and hold policies against each other
    #[command(name = "lab")]
    Simulation {
        /// What to do
        #[command(subcommand)]
        command: crate::simulation::SimulationCommand,
    },
    /// Print a script that completes commands in a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// What can be done with the configuration.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Show every key, its value, and where that came from
    Show {
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
}
