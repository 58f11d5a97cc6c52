//! HTTP/1.1 for hillstall: the server for clients, the client for backends, and the client of the platform's discovery
//! service.
//!
//! hyper does the framing of messages. This crate adds what the proxy's guarantees need: whether the last byte of a
//! request was sent, whether anything unexpected followed a response, and limits on all that is buffered.

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
mod write_progress;
