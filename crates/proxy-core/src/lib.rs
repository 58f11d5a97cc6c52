//! What hillstall promises of every call, whatever protocol it came by: one final answer, one attempt out at a
//! time, one outcome for each attempt, and nothing to a server that drains.
//!
//! A *front* takes calls and hands them to the [`driver::Driver`]; the driver tells the decision module; the
//! module says which server is to be tried; a [`transport::Transport`] carries the call there and says how that
//! ended. Fronts and carriers speak a protocol, and bring payloads and answers of its own. Nothing here knows
//! any of them, and nothing here decides anything about a call.

pub mod connect_hedging;
pub mod discovery;
pub mod driver;
pub mod endpoints;
pub mod lifecycle;
pub mod limits;
pub mod metrics;
pub mod pool;
pub mod sockets;
pub mod transport;
pub mod tuning;
