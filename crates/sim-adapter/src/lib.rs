//! The simulator adapter: the same decisions on the simulator's wire.

pub mod wire;
