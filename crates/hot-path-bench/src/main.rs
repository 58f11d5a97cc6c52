//! Measures the hot path: what a call through the proxy costs, beside a bare byte relay in the same run, with
//! servers that answer at once. `docs/measurements/hot-path.md` has the figures and the command.

mod child;
mod paths;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about)]
struct Command {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Calls a second, latency and CPU a call, beside the relay
    Calls {
        /// The proxy's binary
        #[arg(long, default_value = "target/release/hillstall")]
        proxy: PathBuf,
        /// Callers at a time, one run for each number
        #[arg(long, value_delimiter = ',', default_values_t = [1usize, 16, 64])]
        callers: Vec<usize>,
        /// Seconds of each run
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Rounds; relay and proxy take turns
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Memory that idle connections hold
    Idle {
        /// The proxy's binary
        #[arg(long, default_value = "target/release/hillstall")]
        proxy: PathBuf,
        /// Connections
        #[arg(long, default_value_t = 10_000)]
        connections: usize,
    },
    /// The bare relay, as a process of its own
    #[command(hide = true)]
    Relay {
        /// Where it listens
        listen: std::net::SocketAddr,
        /// The servers
        servers: Vec<std::net::SocketAddr>,
    },
}

fn main() -> ExitCode {
    let ran = match Command::parse().what {
        What::Calls { proxy, callers, seconds, rounds } => paths::calls(&proxy, &callers, seconds, rounds),
        What::Idle { proxy, connections } => paths::idle(&proxy, connections),
        What::Relay { listen, servers } => paths::relay(listen, servers),
    };
    match ran {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("hillstall-hot-path-bench: {why}");
            ExitCode::FAILURE
        }
    }
}
