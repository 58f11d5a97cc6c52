//! The command line.

use crate::operator::Sources;
use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::path::PathBuf;

/// What the program ends with; `docs/operate/command-line.md` has the table.
pub mod exit {
    /// It did what was asked.
    pub const OK: u8 = 0;
    /// It failed while it ran, as when an address is taken.
    pub const FAILED: u8 = 1;
    /// A configuration is wrong. (2 is a wrong command line: clap ends with that.)
    pub const CONFIGURATION: u8 = 3;
}

/// A proxy whose every decision about a call is made by one small module.
#[derive(Parser)]
#[command(name = "hillstall", version, about, max_term_width = 100)]
pub struct Command {
    /// What to do; `run` where nothing is said
    #[command(subcommand)]
    pub what: Option<What>,
    /// How the operator sets it.
    #[command(flatten)]
    pub set: Set,
}

/// Where the operator's settings come from.
#[derive(Args, Clone)]
pub struct Set {
    /// The operator file
    #[arg(long, value_name = "FILE", env = "HILLSTALL_OPERATOR_FILE", global = true)]
    operator: Option<PathBuf>,
    /// One key of the operator file, which goes before file and environment
    #[arg(long = "set", value_name = "KEY=VALUE", global = true)]
    set: Vec<String>,
}

impl Set {
    /// The sources in the form of the operator's reader.
    pub fn sources(&self) -> Sources {
        Sources { file: self.operator.clone(), flags: self.set.clone() }
    }
}

/// What the program can do.
#[derive(Subcommand)]
pub enum What {
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
        what: Config,
    },
    /// Run the proxy in front of stand-in servers, for a first look
    Demo {
        /// Where callers connect
        #[arg(long, default_value = "127.0.0.1:7070")]
        listen: std::net::SocketAddr,
        /// Stand-in servers
        #[arg(long, default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
        servers: u16,
    },
    /// Rehearse failures in simulated time, and hold policies against each other
    Lab {
        /// What to do
        #[command(subcommand)]
        what: crate::simulation::Lab,
    },
    /// Print a script that completes commands in a shell
    Completions {
        /// The shell
        shell: Shell,
    },
}

/// What can be done with the configuration.
#[derive(Subcommand)]
pub enum Config {
    /// Show every key, its value, and where that came from
    Show {
        /// As one JSON object
        #[arg(long)]
        json: bool,
    },
}
