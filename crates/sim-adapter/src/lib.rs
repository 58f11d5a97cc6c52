//! The simulator adapter: runs the decision module for the simulator, which sends it events and gets its
//! actions as frames of a binary wire format.

pub mod host;
pub mod wire;
