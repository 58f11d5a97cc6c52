//! What a copy makes of a load that outlives its cause. Decisions without I/O: time comes as an argument, and equal
//! arguments give equal answers. The decision module calls it.

pub mod capacity;
pub mod zone_traffic;

/// A time or a length of time, in milliseconds.
pub type Millis = f64;
