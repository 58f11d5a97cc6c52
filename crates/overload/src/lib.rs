//! Protection against metastable overload, which outlasts its cause: scaling of limits to the capacity that
//! still answers, and traffic shifts between zones. The decision module calls this package. It performs no
//! I/O and reads no clock: time is an argument, and equal arguments give equal results.

pub mod capacity;
pub mod zone_traffic;

/// A clock time or a duration, in milliseconds.
pub type Millis = f64;
