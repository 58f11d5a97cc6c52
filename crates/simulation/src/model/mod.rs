//! Models of a proxy's surroundings without I/O: time and randomness are arguments. The same machine runs in
//! simulated time ([`crate::sim`]) and can be put behind a clock that is real.

pub mod machine;
pub mod slow_start;
pub mod work;
