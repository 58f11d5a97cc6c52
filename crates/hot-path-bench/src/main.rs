//! Benchmark of the request path. It measures the cost of a request through the proxy against a plain byte
//! relay in the same run, with backends that answer at once. `docs/measurements/hot-path.md` has the command
//! and the results.

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
    /// Measures requests per second, latency and CPU time per request, for the proxy and the relay
    #[command(name = "calls")]
    Requests {
        /// Path of the hillstall program
        #[arg(long, default_value = "target/release/hillstall")]
        proxy: PathBuf,
        /// Numbers of concurrent clients; each is measured in turn
        #[arg(long = "callers", value_delimiter = ',', default_values_t = [1usize, 16, 64])]
        clients: Vec<usize>,
        /// Seconds that the proxy and the relay are each measured per round
        #[arg(long, default_value_t = 3.0)]
        seconds: f64,
        /// Rounds per number of clients, each with a fresh proxy
        #[arg(long, default_value_t = 3)]
        rounds: usize,
    },
    /// Measures the memory of the proxy per idle client connection
    Idle {
        /// Path of the hillstall program
        #[arg(long, default_value = "target/release/hillstall")]
        proxy: PathBuf,
        /// The number of idle connections
        #[arg(long, default_value_t = 10_000)]
        connections: usize,
    },
    /// Runs the relay; the benchmark starts this as a process of its own
    #[command(hide = true)]
    Relay {
        /// The address to listen at
        listen: std::net::SocketAddr,
        /// The addresses of the backends
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
