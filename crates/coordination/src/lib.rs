//! The coordination runtime of one proxy instance. It connects the consensus
//! [`Node`](hillstall_consensus::node::Node) to sockets and disk, in one event loop on its own thread.
//!
//! The coordination thread and the proxy's event loop exchange messages and never block on each other. All
//! decisions are made in `hillstall-consensus`; this crate does the I/O for them.
//!
//! * [`settings`] reads and validates the section `[fleet]` of the operator file,
//! * [`start`] starts the coordination thread,
//! * [`CoordinationHandle`] is the proxy's end of the channel to that thread.

#[doc(hidden)]
pub mod admin_commands;
mod calendar;
mod connections;
#[doc(hidden)]
pub mod redb_storage;
mod runtime;
pub mod settings;

pub use hillstall_consensus::load_reports::{LoadReport, SiteCounts};
pub use runtime::{start, Advisory, CoordinationHandle, InstanceLocation, StartError};

/// A duration in whole milliseconds, rounded down.
fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
