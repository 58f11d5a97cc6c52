//! What the copies of a fleet agree on, and each copy's part in it. Decisions without I/O: time and randomness come as
//! arguments, frames go in and out, and the disk is asked through a trait; so the same code runs on sockets and in
//! simulated time.
//!
//! - [`state`]: the one state that is agreed on: duties, windows, incidents and permits.
//! - [`replica`]: the part of the three or five copies that agree, by a consensus crate, over a log on a [`storage`].
//! - [`node`]: what every copy does: it stands for duties, carries out orders, and learns the state.
//! - [`frame`]: what copies send each other.

mod follower_streams;
pub mod frame;
pub mod lease_manager;
pub mod load_reports;
pub mod log;
pub mod node;
pub mod replica;
pub mod state;
pub mod storage;
