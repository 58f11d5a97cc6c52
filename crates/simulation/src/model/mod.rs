//! Models without I/O of the machines behind a proxy. Time and randomness are arguments, so the same model
//! runs in simulated time ([`crate::sim`]) and on a real clock (fault injection).

pub mod machine;
pub mod slow_start;
pub mod work;
