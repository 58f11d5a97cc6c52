//! Graceful shutdown.
//!
//! Connections still come for a while after SIGTERM, so the shutdown has a minimum duration. For its first half
//! clients are served on the connections they have, as the other proxies may be down too; after that, connections
//! are closed as they become idle. Requests that are open at the end are failed before the process could be killed:
//! that is no sooner than the longest deadline of a class, 3 s at most, and a margin. Clients may still send then, so
//! the process first closes its listener and its connections, and rejects what it has read or accepted until it ends.

use super::client_connection::{ClientConnection, CloseMode};
use super::HttpServer;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Shortest shutdown without a newer process at the address.
const MIN_STOP_DURATION: Duration = Duration::from_millis(550);
/// Shortest shutdown with a newer process, which gets all new connections: time for those already queued.
const HANDOVER_STOP_DURATION: Duration = Duration::from_millis(100);
/// The longest deadline of a class that the shutdown waits for, in milliseconds.
const MAX_STOP_DEADLINE_MS: f64 = 3_000.0;
/// Added to the longest deadline, in milliseconds.
const STOP_MARGIN_MS: f64 = 400.0;
/// How long clients may take to receive their last responses, and to send the requests that they have begun.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for the last responses to be written.
const FINAL_WRITE_DURATION: Duration = Duration::from_millis(20);
/// Time between two checks for open connections.
const CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two rounds of closing connections, once open requests have been failed.
const CLOSE_INTERVAL: Duration = Duration::from_millis(5);

impl HttpServer {
    /// Shuts down gracefully: returns when all accepted requests are answered and no connection is left to close. With
    /// a newer process at the same address (`has_newer`), clients are sent there at once.
    pub async fn shut_down(&self, has_newer: bool) {
        let stopped_at = Instant::now();
        let max_duration = self.max_stop_duration();
        self.lifecycle.stop(if has_newer { Duration::ZERO } else { max_duration / 2 });
        if has_newer {
            self.stop_accepting.notify_one();
        }
        sleep(if has_newer { HANDOVER_STOP_DURATION } else { MIN_STOP_DURATION }).await;
        while !self.connections.borrow().is_empty() && stopped_at.elapsed() < max_duration {
            sleep(CONNECTIONS_POLL_INTERVAL).await;
        }
        self.close_everything().await;
    }

    /// Fails the open requests, rejects new ones, and closes the listener and the connections. A request that crosses
    /// the close of its connection has not been read, and its client sends it elsewhere.
    async fn close_everything(&self) {
        self.lifecycle.stop(Duration::ZERO);
        self.driver.close_all();
        self.stop_accepting.notify_one();
        let closing_since = Instant::now();
        while !self.has_closed_everything() && closing_since.elapsed() < CLOSE_TIMEOUT {
            self.connections
                .borrow()
                .values()
                .filter(|connection| has_no_more_to_send(connection))
                .for_each(|connection| connection.close(CloseMode::Graceful));
            sleep(CLOSE_INTERVAL).await;
        }
        sleep(FINAL_WRITE_DURATION).await;
    }

    fn has_closed_everything(&self) -> bool {
        self.listener_closed.get() && self.connections.borrow().is_empty()
    }

    /// How long the shutdown may wait for clients.
    fn max_stop_duration(&self) -> Duration {
        let deadlines = self.classes.iter().map(|class| class.deadline_ms);
        let longest_ms = deadlines.fold(0.0, f64::max).min(MAX_STOP_DEADLINE_MS);
        Duration::from_secs_f64((longest_ms + STOP_MARGIN_MS) / 1000.0)
    }
}

/// Whether a connection rests between two requests. One that has brought none yet is about to bring its first.
fn has_no_more_to_send(connection: &Rc<ClientConnection>) -> bool {
    connection.has_sent_valid_request.get() && connection.is_idle()
}
