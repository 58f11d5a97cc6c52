//! Fault injection: a simulation scenario run on a whole fleet of real processes. Every proxy is the built `hillstall run`
//! with a platform file made for it; backends are the simulation's machines behind sockets; every link between two
//! processes goes through a TCP proxy of this package that can lose, block, delay or reset what passes. Afterwards the
//! invariant checker joins what clients and backends recorded, and judges it by the platform's rules alone.
//!
//! [`run()`] runs one scenario. [`link`] and [`keeper`] are of use by themselves.

pub mod clients;
pub mod faults;
pub mod fleet;
mod http;
pub mod keeper;
pub mod link;
pub mod list;
pub mod platform;
pub mod port;
pub mod pulse;
pub mod record;
pub mod referee;
pub mod run;
pub mod server;
pub mod talk;
pub mod udp;

pub use run::{run, Drilled, Options};
