//! The coordination runtime: one event loop on one thread.
//!
//! * `handle`: the messages from and to the proxy's event loop,
//! * `startup`: starts the thread, and a replica's listener and storage,
//! * `exclusive`: waits for what the older process of an upgrade still has,
//! * `event_loop`: feeds frames, requests and time to the consensus node and carries out its outputs,
//! * `admin`: answers admin commands,
//! * `audit`: audit lines and rate-limited warnings.

mod admin;
mod audit;
mod event_loop;
mod exclusive;
mod handle;
mod startup;

pub use handle::{Advisory, CoordinationHandle, InstanceLocation};
pub use startup::{start, StartError};
