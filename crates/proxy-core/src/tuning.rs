//! What operators may tune. The defaults are the platform's; the operator file checks the bounds.

use std::time::Duration;

/// Timeouts and sizes. A change applies to a connection from when it is next checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// A client's connection that has been idle for this long is closed.
    pub client_idle_timeout: Duration,
    /// The longest wait for a client's whole request, counted from connecting, or on a reused connection from its
    /// first byte. A longer body has as long for each `request_bytes_per_timeout` bytes.
    pub request_timeout: Duration,
    /// The bytes of a body that may take one `request_timeout`.
    pub request_bytes_per_timeout: usize,
    /// When a client that was rejected for lack of capacity may retry.
    pub retry_after: Duration,
    /// How long a client's connection has been silent when the protocol's buffers for it are released.
    pub buffer_release_after: Duration,
    /// The largest body that is buffered, of a request or a response, in bytes. A buffered request can be sent
    /// again; a longer one is streamed.
    pub max_buffered_body_bytes: usize,
    /// The longest message, of a client or a backend, in bytes.
    pub max_message_bytes: usize,
    /// The most that is read ahead on one connection, in bytes; also the largest head of a message.
    pub read_buffer_bytes: usize,
    /// The longest wait for a peer to read, or to write, the next bytes of a message that is streamed.
    pub stall_timeout: Duration,
    /// The size of the operating system's buffers of a connection, in bytes. Larger ones would only hide how slow a
    /// peer is.
    pub socket_buffer_bytes: usize,
    /// The longest wait for the next bytes of a response that is buffered.
    pub response_timeout: Duration,
    /// How long a response of unstated length is buffered before it is streamed.
    pub max_unsized_buffering: Duration,
    /// How long a connection to a backend rests after a response.
    pub min_connection_reuse_delay: Duration,
    /// The maximum of idle connections to one backend.
    pub max_idle_per_backend: usize,
    /// The number of waits for a rest within a short window after which another connection is opened.
    pub max_reuse_waits: u32,
    /// How long a drain leaves idle connections open.
    pub drain_close_delay: Duration,
    /// How long a connection must have been idle to be closed by a drain or a stop. One that was just opened may be
    /// about to carry a request.
    pub drain_idle_timeout: Duration,
    /// Whether the access log has a record of each request.
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
            max_buffered_body_bytes: 64 * 1024,
            max_message_bytes: 32 * 1024 * 1024,
            read_buffer_bytes: 16 * 1024,
            stall_timeout: ms(5_000),
            socket_buffer_bytes: 128 * 1024,
            response_timeout: ms(1_000),
            max_unsized_buffering: ms(100),
            min_connection_reuse_delay: ms(2),
            max_idle_per_backend: 64,
            max_reuse_waits: 3,
            // The load balancer checks health every 0.1 s and routes new connections here for 0.2 s more; clients
            // whose connections were closed before that would come straight back.
            drain_close_delay: ms(400),
            drain_idle_timeout: ms(250),
            log_requests: false,
        }
    }
}
