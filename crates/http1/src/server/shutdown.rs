//! Graceful shutdown.
//!
//! Connections still come for a while after SIGTERM, so the shutdown has a minimum duration. For its first half
//! clients are served on the connections they have, as the other proxies may be down too; after that, connections
//! are closed as they become idle. Requests that are open at the end are failed before the process could be killed:
//! that is no sooner than the longest deadline of a class, 3 s at most, and a margin.

use super::HttpServer;
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
/// How long failed requests may take to be answered.
const FINAL_RESPONSE_TIMEOUT: Duration = Duration::from_millis(150);
/// Time for the last responses to be written.
const FINAL_WRITE_DURATION: Duration = Duration::from_millis(20);
/// Time between two checks for open connections.
const CONNECTIONS_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two checks for open requests, once these have been failed.
const REQUESTS_POLL_INTERVAL: Duration = Duration::from_millis(5);

impl HttpServer {
    /// Shuts down gracefully: returns when all accepted requests are answered. With a newer process at the same
    /// address (`has_newer`), clients are sent there at once.
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
        self.driver.close_all();
        let failed_at = Instant::now();
        while self.has_open_requests() && failed_at.elapsed() < FINAL_RESPONSE_TIMEOUT {
            sleep(REQUESTS_POLL_INTERVAL).await;
        }
        sleep(FINAL_WRITE_DURATION).await;
    }

    /// How long the shutdown may wait for clients.
    fn max_stop_duration(&self) -> Duration {
        let deadlines = self.classes.iter().map(|class| class.deadline_ms);
        let longest_ms = deadlines.fold(0.0, f64::max).min(MAX_STOP_DEADLINE_MS);
        Duration::from_secs_f64((longest_ms + STOP_MARGIN_MS) / 1000.0)
    }

    fn has_open_requests(&self) -> bool {
        self.connections.borrow().values().any(|connection| connection.request_in_progress.get())
    }
}
