//! The simulator adapter: runs the decision module in the simulator over its wire format.

pub mod host;
pub mod wire;
