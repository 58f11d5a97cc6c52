//! Benchmark of the request path: what a request through the proxy costs, compared with a bare byte relay in the same
//! run, with backends that answer at once. `docs/measurements/hot-path.md` has the results and the command.

mod child;
mod paths;

use clap::{Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;

#[derive(Parser)]
#[command(version, about)]
struct CommandLine {
    #[command(subcommand)]
    benchmark: Benchmark,
}

#[derive(Subcommand)]
enum Benchmark {
    /// Requests a second, latency and CPU a request, beside the relay
    #[command(name = "calls")]
    Requests {
        /// The proxy's binary
        #[arg(long, default_value = "target/release/hillstall")]
        proxy: PathBuf,
        /// Concurrent clients, one run for each number
        #[arg(long = "callers", value_delimiter = ',', default_values_t = [1usize, 16, 64])]
        clients: Vec<usize>,
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
    let result = match CommandLine::parse().benchmark {
        Benchmark::Requests { proxy, clients, seconds, rounds } => {
            paths::requests(&proxy, &clients, seconds, rounds)
        }
        Benchmark::Idle { proxy, connections } => paths::idle(&proxy, connections),
        Benchmark::Relay { listen, servers } => paths::relay(listen, servers),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("hillstall-hot-path-bench: {error}");
            ExitCode::FAILURE
        }
    }
}
