//! The replicated state of a fleet, the Raft replicas that agree on it, and the node that runs in every
//! instance.
//!
//! The crate does no I/O: time and random seeds are arguments, frames are inputs and outputs, and storage is
//! behind a trait. So the same code runs over sockets and in simulated time.
//!
//! - [`state`]: the replicated state: leases, maintenance windows, incidents and change permits.
//! - [`replica`]: one of the three or five replicas that agree on the state by the Raft protocol, with its
//!   [`log`] and its persistent [`storage`].
//! - [`node`]: the part of every instance, whether replica or follower: it competes for leases, applies
//!   fenced commands and keeps a copy of the state. [`config`] has its configuration.
//! - [`lease_manager`]: the leases and fencing checks of one instance.
//! - [`load_reports`]: the load that all instances report, and what lease holders derive from it.
//! - [`frame`]: the messages between instances.
//! - [`audit`]: the audit events of an instance.

pub mod audit;
pub mod config;
mod follower_streams;
pub mod frame;
pub mod lease_manager;
pub mod load_reports;
pub mod log;
pub mod node;
pub mod replica;
pub mod state;
pub mod storage;
