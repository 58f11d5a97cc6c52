//! What the instances of a fleet agree on, and each instance's part in it.
//!
//! Nothing here does I/O: time and randomness are arguments, frames go in and out, and storage is behind a trait. So the
//! same code runs over sockets and in simulated time.
//!
//! - [`state`]: the replicated state: leases, maintenance windows, incidents and change permits.
//! - [`replica`]: one of the three or five replicas that agree on the state by the Raft protocol, over a [`log`] in a
//!   [`storage`].
//! - [`node`]: what every instance does, configured by a [`config`]: it competes for leases, applies fenced commands and
//!   learns the state.
//! - [`lease_manager`] and [`load_reports`]: the leases of an instance, and the load of all.
//! - [`frame`]: what instances send each other.
//! - [`audit`]: the acts by which a fleet's behaviour is checked afterwards.

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
