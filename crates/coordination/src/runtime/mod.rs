//! The coordination runtime: one event loop on its own thread.
//!
//! * `handle`: the messages to and from the proxy's event loop,
//! * `startup`: starts the thread, and opens a replica's storage and listener,
//! * `exclusive`: waits for resources that the older process of an upgrade still holds,
//! * `event_loop`: feeds frames, requests and clock ticks to the consensus node and processes its outputs,
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
