//! The simulator adapter: the decision module behind the simulator's wire format.

pub mod host;
pub mod wire;
