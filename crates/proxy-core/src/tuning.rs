//! Settings of the operator file for connections and buffers. Their bounds are checked where the file is
//! read.

use std::time::Duration;

/// Timeouts and sizes. Their defaults are those of the platform. Most changes also take effect on open
/// connections, at their next periodic check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tuning {
    /// A client connection that has been idle for this long is closed.
    pub client_idle_timeout: Duration,
    /// Time within which a client must send a complete request, from the connect or, on a reused connection,
    /// from the first byte of the request. It starts again with every `request_bytes_per_timeout` bytes
    /// received.
    pub request_timeout: Duration,
    /// Number of bytes of a request that a client must send within each `request_timeout`.
    pub request_bytes_per_timeout: usize,
    /// The `Retry-After` of a request that is rejected because the proxy is out of memory or request slots.
    pub retry_after: Duration,
    /// Idle time of a client connection after which its protocol buffers are released.
    pub buffer_release_after: Duration,
    /// The largest request or response body that is buffered, in bytes. Longer bodies are streamed; only a
    /// buffered request can be retried.
    pub max_buffered_body_bytes: usize,
    /// The largest request or response body that is forwarded, in bytes.
    pub max_message_bytes: usize,
    /// Size of the read buffer of one connection, in bytes; also the largest head of a message.
    pub read_buffer_bytes: usize,
    /// Time without progress, in reading or writing, after which the transfer of a message is aborted.
    pub stall_timeout: Duration,
    /// Size of the kernel's send and receive buffers of a connection, in bytes. Larger buffers would delay
    /// the detection of a slow peer.
    pub socket_buffer_bytes: usize,
    /// The longest wait for the next bytes of a response while it is buffered.
    pub response_timeout: Duration,
    /// How long a response without `Content-Length` is buffered before it is streamed.
    pub max_unsized_buffering: Duration,
    /// The shortest time between a response on a backend connection and the next request on it.
    pub min_connection_reuse_delay: Duration,
    /// The maximum number of idle connections to one backend.
    pub max_idle_per_backend: usize,
    /// Number of waits for the reuse delay, within [`WAIT_COUNT_WINDOW`](crate::pool::WAIT_COUNT_WINDOW),
    /// above which another connection is opened.
    pub max_reuse_waits: u32,
    /// Time from the start of a drain until idle client connections are closed.
    pub drain_close_delay: Duration,
    /// Idle time after which a drain or a stop closes a client connection. A connection that has just been
    /// opened probably carries a request soon.
    pub drain_idle_timeout: Duration,
    /// Whether each request is written to the access log.
    pub log_requests: bool,
}

/// The systems of a client and of the proxy hold this many times `socket_buffer_bytes` between a write of the
/// client and a read of the proxy: two buffers, each of which the system doubles.
const BUFFERS_IN_TRANSIT: usize = 4;

impl Tuning {
    /// The most bytes that a client is taken to have written and the proxy has not read.
    pub fn max_bytes_in_transit(&self) -> usize {
        self.socket_buffer_bytes.saturating_mul(BUFFERS_IN_TRANSIT)
    }
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
            // The load balancer in front checks health every 0.1 s and routes new connections here for
            // another 0.2 s. Clients whose connections are closed sooner would reconnect to this process.
            drain_close_delay: ms(400),
            drain_idle_timeout: ms(250),
            log_requests: false,
        }
    }
}
