//! Fault injection: a simulation scenario run on a whole fleet of real processes. Every proxy is the built
//! `hillstall run` with a platform file made for it; backends are the simulation's machines behind sockets;
//! every link between two processes goes through a TCP proxy of this package that can lose, block, delay or
//! reset what passes. Afterwards the invariant checker joins what clients and backends recorded, and judges
//! it by the platform's rules alone.
//!
//! [`run()`] runs one scenario. [`tcp_proxy`] and [`process_supervisor`] are of use by themselves.

pub mod coordination_fleet;
pub mod discovery_server;
pub mod faults;
pub mod fleet;
pub mod history;
pub mod host_load_monitor;
mod http;
pub mod invariant_checker;
pub mod open_loop_clients;
pub mod platform;
pub mod platform_rules;
pub mod process_supervisor;
pub mod reserved_port;
pub mod run;
pub mod server;
pub mod soak;
pub mod tcp_proxy;
pub mod udp_proxy;

pub use run::{run, Options, ScenarioRun};
