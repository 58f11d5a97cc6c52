//! Fault injection: runs a scenario of the simulation on a whole fleet of real processes. Every proxy is a
//! process of `hillstall run` with a platform file made for it, backends are the simulation's machine models
//! behind sockets, and every link between two parts goes through a TCP proxy of this package that can lose,
//! block, delay or reset its bytes. After the run the invariant checker joins the records of clients and
//! backends, and checks them against the rules of the platform's protocol alone.
//!
//! [`run()`] runs one scenario. [`tcp_proxy`] and [`process_supervisor`] can be used by themselves.

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
pub mod system_faults;
pub mod tcp_proxy;
pub mod udp_proxy;

pub use run::{run, Options, ScenarioRun};
