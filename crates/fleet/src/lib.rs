//! The fleet's part of a copy on sockets and disk: one loop on one thread of its own, beside the loop that carries calls.
//! The two speak by messages and neither waits for the other. Whatever is decided is decided in `hillstall-quorum`.
//!
//! [`settings`] reads the section `[fleet]` of the operator file; [`start`] begins; [`Handle`] is what the calls' loop has.

mod calendar;
#[doc(hidden)]
pub mod disk;
mod lines;
mod links;
pub mod settings;
mod shell;

pub use hillstall_quorum::reports::{Counts, Report};
pub use shell::{start, Handle, Hint, NotStarted, Place};

/// A length of time in milliseconds.
fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
