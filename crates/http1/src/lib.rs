//! HTTP/1.1 for hillstall: the front that takes calls, the carrier that sends them to backends, and the
//! platform's discovery service. How messages are framed is hyper's; what is added here is what the rules need:
//! whether the last byte of a call was written, what came behind an answer, and bounds on all that is held.

pub mod backend_connection;
pub mod client;
pub mod discovery;
pub mod framing;
pub mod load_report;
pub mod message;
pub mod request_body;
pub mod response_body;
pub mod server;
pub mod stream;

/// The former name of [`server`], until all packages use the new one.
pub use server as front;
