//! HTTP/1.1 for hillstall: the server for clients, the client for backends, and the client of the platform's
//! discovery service.
//!
//! hyper implements the protocol. This crate adds what the guarantees of the proxy require: tracking whether
//! the last byte of a request was sent, detecting unexpected bytes after a response, and limits on all
//! buffers.

pub mod backend_connection;
pub mod body_buffer;
pub mod body_stream;
pub mod client;
pub mod discovery;
pub mod framing;
pub mod load_report;
pub mod message;
pub mod request_body;
pub mod response_body;
pub mod server;
pub mod stream;
pub mod upload_progress;
mod write_progress;
