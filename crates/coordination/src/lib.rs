//! The coordination runtime of one proxy instance: it runs the consensus [`Node`](hillstall_consensus::node::Node) on
//! sockets and disk, in one event loop on a thread of its own.
//!
//! The thread and the proxy's own event loop exchange messages and never wait for each other. All decisions are made in
//! `hillstall-consensus`; this crate carries them out.
//!
//! * [`settings`] reads the section `[fleet]` of the operator file,
//! * [`start`] starts the thread,
//! * [`CoordinationHandle`] is the proxy's end of the message channel.

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

/// A duration in whole milliseconds.
fn millis(duration: std::time::Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
