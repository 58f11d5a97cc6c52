//! The command line. clap prints the doc comments of commands and arguments as the text of `--help`.

use crate::operator::Sources;
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A load-balancing HTTP/1.1 proxy that keeps all decisions about requests in one small module.
#[derive(Parser)]
#[command(name = "hillstall", version, about, max_term_width = 100)]
pub struct CommandLine {
    /// The command; `run` if none is given
    #[command(subcommand)]
    pub command: Option<Command>,
    /// The sources of the operator's settings.
    #[command(flatten)]
    pub overrides: SettingOverrides,
}

/// The sources of the operator's settings that are given on the command line.
#[derive(Args, Clone)]
pub struct SettingOverrides {
    /// Operator file (TOML)
    #[arg(long = "operator", value_name = "FILE", env = "HILLSTALL_OPERATOR_FILE", global = true)]
    operator_file: Option<PathBuf>,
    /// Set one key of the operator file; takes precedence over the file and the environment
    #[arg(long = "set", value_name = "KEY=VALUE", global = true)]
    assignments: Vec<String>,
}

impl SettingOverrides {
    /// Returns these sources in the form that [`crate::operator::OperatorConfig::read`] takes.
    pub fn sources(&self) -> Sources {
        Sources { file: self.operator_file.clone(), flags: self.assignments.clone() }
    }
}

/// The commands of the program.
#[derive(Subcommand)]
pub enum Command {
    /// Run the proxy with the platform configuration in the file that $NODE_CONFIG names
    Run,
    /// Check operator files (.toml) and platform files (.json), and print all problems
    Check {
        /// Files to check
        #[arg(required = true)]
        files: Vec<PathBuf>,
    },
    /// Inspect the operator's settings
    Config {
        /// The subcommand
        #[command(subcommand)]
        command: ConfigCommand,
    },
    /// Run the proxy in front of stand-in servers, to try it out
    Demo {
        /// Address that the proxy listens on
        #[arg(long, default_value = "127.0.0.1:7070")]
        listen: SocketAddr,
        /// Number of stand-in servers
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
        servers: u16,
    },
    /// Simulate failures, compare policies, and inject faults into real processes
    #[command(name = "lab")]
    Simulation {
        /// The subcommand
        #[command(subcommand)]
        command: crate::simulation::SimulationCommand,
    },
    /// Print a shell completion script
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// The subcommands of `hillstall config`.
#[derive(Subcommand)]
pub enum ConfigCommand {
    /// Show every key with its value and the source of the value
    Show {
        /// Print one JSON object instead of a table
        #[arg(long)]
        json: bool,
    },
}
