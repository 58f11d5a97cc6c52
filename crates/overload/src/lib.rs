//! What an instance does about an overload that outlives its cause (metastable overload): it follows the
//! capacity of a tier that still answers, and the traffic that is moved between zones. Decisions without I/O:
//! time comes as an argument, and equal arguments give equal answers. The decision module calls it.

pub mod capacity;
pub mod zone_traffic;

/// A time or a span of time, in milliseconds.
pub type Millis = f64;
