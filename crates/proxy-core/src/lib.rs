//! The protocol-independent part of the proxy. It guarantees for every request, whatever its protocol:
//! exactly one final response, at most one attempt in flight, exactly one outcome per attempt, and no new
//! attempt at a backend whose drain grace period is over.
//!
//! The server side of a protocol accepts requests and hands them to the [`driver::Driver`]. The driver
//! reports each one to the decision module, which selects the backend to try. A [`transport::Transport`], the
//! client side of the protocol, sends the request there and returns the outcome. Payload and response types
//! belong to the protocol. All decisions about requests (admission, backend selection, retries) are made by
//! the decision module.

pub mod clock;
pub mod connect_hedging;
pub mod discovery;
pub mod driver;
pub mod endpoints;
pub mod lifecycle;
pub mod limits;
pub mod metrics;
pub mod permit;
pub mod pool;
pub mod request;
pub mod response;
pub mod sockets;
pub mod transport;
pub mod tuning;
