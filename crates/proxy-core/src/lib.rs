//! The protocol-neutral part of the proxy. It promises of every request, whatever protocol it came by: one final
//! response, one attempt in flight at a time, one outcome for each attempt, and nothing new to a draining backend.
//!
//! The server side of a protocol takes requests and hands them to the [`driver::Driver`]. The driver notifies the
//! decision module, which says which backend to try. A [`transport::Transport`], the client side of the protocol,
//! carries the request there and says how that ended. Both sides bring payloads and responses of their own;
//! nothing here knows any protocol, and nothing here decides anything about a request.

mod clock;
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
