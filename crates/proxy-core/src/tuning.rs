//! What an operator may tune. The defaults are the platform's; all bounds are those of the operator file.

use std::time::Duration;

/// Times and sizes that hold for connections from when they are next looked at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// A caller's connection that has carried nothing for this long is closed.
    pub client_idle_timeout: Duration,
    /// Longest wait for a caller's whole request, from connecting, or on a used connection from its first byte; a
    /// longer body has as long for each `request_step` bytes.
    pub request_timeout: Duration,
    /// See `request_time`.
    pub request_bytes_per_timeout: usize,
    /// When a caller that there is no room for may come back.
    pub retry_after: Duration,
    /// How long a connection has said nothing when what the protocol holds for it is let go.
    pub buffer_release_after: Duration,
    /// The largest body that is held, on either side, and so can be sent again; a longer one passes.
    pub max_buffered_body: usize,
    /// The longest message on either side.
    pub max_message: usize,
    /// The most that is read ahead on one connection, so also the largest head.
    pub read_ahead: usize,
    /// Longest wait for a peer to take, or to give, the next bytes of a message that passes.
    pub stall_timeout: Duration,
    /// What the system may hold of a message for a peer that is slow: more would only hide its pace.
    pub socket_buffer: usize,
    /// Longest wait for the next bytes of an answer that is held.
    pub response_timeout: Duration,
    /// How long an answer that does not tell its length may come before it begins to pass.
    pub unsized_response_hold: Duration,
    /// How long a connection to a server rests after an answer.
    pub min_connection_rest: Duration,
    /// Connections kept for one server while they carry nothing.
    pub max_idle_per_backend: usize,
    /// Waits for a rest in a short while that are borne before another connection is opened.
    pub max_rest_waits: u32,
    /// How long a drain leaves kept connections alone.
    pub drain_notice: Duration,
    /// How long a connection must have been idle to be closed by a drain or a stop: one that has just come may be
    /// about to ask.
    pub drain_idle_timeout: Duration,
    /// Whether a record of each call is written.
    pub log_requests: bool,
}

impl Default for Tuning {
    fn default() -> Tuning {
        let ms = Duration::from_millis;
        Tuning {
            client_idle_timeout: ms(5_000),
            request_timeout: ms(2_500),
            request_bytes_per_timeout: 16 * 1024,
            retry_after: ms(500),
            buffer_release_after: ms(50),
            max_buffered_body: 64 * 1024,
            max_message: 32 << 20,
            read_ahead: 16 * 1024,
            stall_timeout: ms(5_000),
            socket_buffer: 128 * 1024,
            response_timeout: ms(1_000),
            unsized_response_hold: ms(100),
            min_connection_rest: ms(2),
            max_idle_per_backend: 64,
            max_rest_waits: 3,
            // The front asks every 0.1 s and sends new connections for 0.2 s more, and callers turned away before
            // that would come straight back.
            drain_notice: ms(400),
            drain_idle_timeout: ms(250),
            log_requests: false,
        }
    }
}
