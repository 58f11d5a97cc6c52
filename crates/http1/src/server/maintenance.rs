//! Periodic work on the connections: timeouts, parking, and closing the least useful ones.

use super::client_connection::{ClientConnection, CloseMode};
use super::HttpServer;
use hillstall_proxy_core::tuning::Tuning;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two rounds of maintenance.
pub(super) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// How many connections are examined to find one to shed.
const MAX_SHED_CANDIDATES: usize = 8;

impl HttpServer {
    /// Maintains the connections on both sides, for ever.
    pub async fn maintain_connections(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.close_timed_out();
            let tuning = self.limits.tuning();
            let is_closing = self.lifecycle.should_close_idle(tuning.drain_close_delay);
            self.close_idle(if is_closing { tuning.drain_idle_timeout } else { tuning.client_idle_timeout });
            self.release_written_responses();
            self.park_idle(&tuning);
            self.client.drop_expired_idle();
        }
    }

    /// Closes one connection: the least useful of those that never brought a valid request, or else the one that
    /// has been idle longest. False if all are busy.
    pub(super) fn shed_connection(&self) -> bool {
        self.shed_unproven() || self.shed_idle()
    }

    /// Closes the least useful of the connections that never brought a valid request: first those that have sent
    /// nothing, then those that stopped in the middle of a request, the longest silent ones first.
    fn shed_unproven(&self) -> bool {
        let connections = self.connections.borrow();
        let usefulness = |connection: &&Rc<ClientConnection>| {
            (connection.stream.message_started_at().is_some(), connection.stream.last_read())
        };
        for candidates_left in (0..MAX_SHED_CANDIDATES).rev() {
            let unproven = connections.values().filter(|connection| {
                !connection.has_sent_valid_request.get()
                    && !connection.request_in_progress.get()
                    && connection.close_mode.get() != CloseMode::Immediate
            });
            let Some(candidate) = unproven.min_by_key(usefulness) else { return false };
            // What it has sent may only be waiting to be read.
            let stream = &candidate.stream;
            if candidates_left > 0 && stream.message_started_at().is_none() && stream.has_unread() {
                stream.mark_message_started();
                continue;
            }
            candidate.close(CloseMode::Immediate);
            return true;
        }
        false
    }

    /// Closes the connection that has been idle longest; false if none is idle.
    fn shed_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| connection.is_idle());
        let oldest = idle.min_by_key(|connection| connection.last_used_at.get());
        oldest.inspect(|connection| connection.close(CloseMode::Graceful)).is_some()
    }

    /// Closes connections that have been idle for `idle_timeout`, except those with a request still to be read.
    fn close_idle(&self, idle_timeout: Duration) {
        for connection in self.connections.borrow().values() {
            if connection.last_used_at.get().elapsed() >= idle_timeout && connection.is_idle() {
                connection.close(CloseMode::Graceful);
            }
        }
    }

    /// Closes connections whose client has taken too long to send its request or to read its response.
    fn close_timed_out(&self) {
        let tuning = self.limits.tuning();
        let connections = self.connections.borrow();
        for connection in
            connections.values().filter(|connection| connection.has_request_timed_out(tuning.request_timeout))
        {
            connection.streaming_body.take();
            connection.request_in_progress.set(false);
            connection.close(CloseMode::Immediate);
        }
        // A client that does not read its response gets no more of it.
        for connection in
            connections.values().filter(|connection| connection.stream.is_write_stalled(tuning.stall_timeout))
        {
            connection.request_in_progress.set(false);
            connection.close(CloseMode::Immediate);
        }
    }

    /// Releases the last responses that have been written.
    fn release_written_responses(&self) {
        for connection in self.connections.borrow().values() {
            if !connection.stream.is_write_blocked() {
                connection.last_response.take();
            }
        }
    }

    /// Wakes the tasks of connections that can be parked.
    fn park_idle(&self, tuning: &Tuning) {
        for connection in self.connections.borrow().values() {
            if !connection.parked.get() && connection.can_park(tuning.buffer_release_after) {
                connection.wake.notify_one();
            }
        }
    }
}
