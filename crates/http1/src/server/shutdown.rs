//! Graceful shutdown.
//!
//! New connections still arrive for a while after SIGTERM, so the shutdown has a minimum duration. For the
//! first half of its maximum duration clients are served on their existing connections, because the other
//! instances may be down too; after that, connections are closed as they become idle. The maximum duration is
//! the longest deadline of a class (3 s at most) and a margin. Requests still open then are failed before the
//! process could be killed. As clients may still send requests, the process then closes its listener and its
//! connections, and rejects the requests that it reads in the meantime.
//!
//! A response that is being forwarded has no deadline: its backend may need longer to send it, or its client
//! to read it. The process ends after the last of them. Each is aborted if it makes no progress for the stall
//! timeout, and the process may be killed earlier.

use super::client_connection::{ClientConnection, CloseMode};
use super::HttpServer;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Minimum duration of a shutdown without a successor process on the same address.
const MIN_SHUTDOWN_DURATION: Duration = Duration::from_millis(550);
/// Minimum duration of a shutdown with a successor, which gets all new connections: time for the queued ones.
const MIN_HANDOVER_DURATION: Duration = Duration::from_millis(100);
/// Upper limit of the class deadline that the shutdown waits for, in milliseconds.
const MAX_AWAITED_DEADLINE_MS: f64 = 3_000.0;
/// Added to the longest deadline, in milliseconds.
const SHUTDOWN_MARGIN_MS: f64 = 400.0;
/// How long clients may take to receive their last responses, and to complete requests that they have begun
/// to send.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time to write the last responses before the process exits.
const FINAL_WRITE_DURATION: Duration = Duration::from_millis(20);
/// Time between two checks whether connections are still open.
const CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two rounds of closing idle connections, after open requests have been failed.
const CLOSE_INTERVAL: Duration = Duration::from_millis(5);

impl HttpServer {
    /// Shuts down gracefully. Returns when all accepted requests have responses and all connections are
    /// closed, or the time for closing them is over. If a successor process listens on the same address
    /// (`has_successor`), clients are made to reconnect to it at once.
    pub async fn shut_down(&self, has_successor: bool) {
        let stopped_at = Instant::now();
        let max_duration = self.max_shutdown_duration();
        self.lifecycle.stop(if has_successor { Duration::ZERO } else { max_duration / 2 });
        if has_successor {
            self.stop_accepting.notify_one();
        }
        sleep(if has_successor { MIN_HANDOVER_DURATION } else { MIN_SHUTDOWN_DURATION }).await;
        let is_accepting = || has_successor && !self.listener_closed.get();
        while (is_accepting() || !self.connections.borrow().is_empty()) && stopped_at.elapsed() < max_duration
        {
            sleep(CONNECTIONS_POLL_INTERVAL).await;
        }
        self.close_listener_and_connections().await;
    }

    /// Fails the open requests, rejects new ones, and closes the listener and the connections. A request that
    /// arrives while its connection is being closed is not read, so its client can safely send it elsewhere.
    /// Responses that are being forwarded are completed first.
    async fn close_listener_and_connections(&self) {
        self.lifecycle.stop(Duration::ZERO);
        self.driver.close_all();
        self.stop_accepting.notify_one();
        self.close_idle_connections().await;
        let forwarding = self.forwarding_connections();
        if forwarding > 0 {
            tracing::info!(
                connections = forwarding,
                "shutdown: waiting for responses that are being forwarded"
            );
            while self.forwarding_connections() > 0 {
                sleep(CONNECTIONS_POLL_INTERVAL).await;
            }
            self.close_idle_connections().await;
        }
        sleep(FINAL_WRITE_DURATION).await;
    }

    /// Closes connections as they become idle, until all are closed or `CLOSE_TIMEOUT` has passed.
    async fn close_idle_connections(&self) {
        let closing_since = Instant::now();
        while !self.is_fully_closed() && closing_since.elapsed() < CLOSE_TIMEOUT {
            self.connections
                .borrow()
                .values()
                .filter(|connection| is_idle_after_request(connection))
                .for_each(|connection| connection.close(CloseMode::Graceful));
            sleep(CLOSE_INTERVAL).await;
        }
    }

    /// Number of connections on which a response is being forwarded or written.
    fn forwarding_connections(&self) -> usize {
        let connections = self.connections.borrow();
        connections.values().filter(|connection| connection.has_response_in_progress()).count()
    }

    fn is_fully_closed(&self) -> bool {
        self.listener_closed.get() && self.connections.borrow().is_empty()
    }

    /// How long the shutdown waits for open requests and connections.
    fn max_shutdown_duration(&self) -> Duration {
        let deadlines = self.classes.iter().map(|class| class.deadline_ms);
        let longest_ms = deadlines.fold(0.0, f64::max).min(MAX_AWAITED_DEADLINE_MS);
        Duration::from_secs_f64((longest_ms + SHUTDOWN_MARGIN_MS) / 1000.0)
    }
}

/// Whether a connection is idle after at least one request. Connections without one probably send their first
/// soon.
fn is_idle_after_request(connection: &Rc<ClientConnection>) -> bool {
    connection.has_sent_valid_request.get() && connection.is_idle()
}
