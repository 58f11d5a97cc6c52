//! The drill: a scenario of the lab played on a whole fleet of real processes. Every proxy is the built `hillstall run`
//! with a platform file made for it; servers are the lab's machines behind sockets; every link between two processes
//! goes through a relay of this package that can lose, hold, delay or break what passes. Afterwards the referee joins
//! what clients and servers saw and judges it by the rules, and by them alone.
//!
//! [`run()`] is the whole of it. [`link`] and [`keeper`] are of use by themselves.

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
