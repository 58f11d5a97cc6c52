//! The decision module. Everything that hillstall decides about a call is decided here: which server gets it,
//! whether it is tried again, whether it is turned away. It does no I/O, has no clock and owns its random
//! numbers' seed: equal seeds and equal events give equal actions, on sockets as in the simulator.

pub mod api;
pub mod choice;

pub use choice::Balancer;
