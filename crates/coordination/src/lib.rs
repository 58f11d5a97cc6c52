//! The fleet's part of a copy on sockets and disk: one loop on one thread of its own, beside the loop that carries calls.
//! The two speak by messages and neither waits for the other. Whatever is decided is decided in `hillstall-consensus`.
//!
//! [`settings`] reads the section `[fleet]` of the operator file; [`start`] begins; [`CoordinationHandle`] is what the calls' loop has.

mod admin_commands;
mod calendar;
mod connections;
#[doc(hidden)]
pub mod redb_storage;
mod runtime;
pub mod settings;

pub use hillstall_consensus::load_reports::{LoadReport, SiteCounts};
pub use runtime::{start, Advisory, CoordinationHandle, InstanceLocation, StartError};

/// A length of time in milliseconds.
fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
