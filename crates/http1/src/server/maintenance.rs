//! Periodic work on connections (timeouts, parking, closing idle ones), and load shedding of client
//! connections.

use super::client_connection::{ClientConnection, CloseMode};
use super::HttpServer;
use hillstall_proxy_core::tuning::Tuning;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Time between two rounds of maintenance.
pub(super) const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);
/// Maximum number of connections examined to find one to shed.
const MAX_SHED_CANDIDATES: usize = 8;

impl HttpServer {
    /// Maintains client and backend connections, for ever.
    pub async fn maintain_connections(self: Rc<Self>) {
        loop {
            sleep(MAINTENANCE_INTERVAL).await;
            self.close_abandoned();
            self.close_timed_out();
            let tuning = self.limits.tuning();
            let is_closing = self.lifecycle.should_close_idle(tuning.drain_close_delay);
            self.close_idle(if is_closing { tuning.drain_idle_timeout } else { tuning.client_idle_timeout });
            self.release_written_responses();
            self.park_idle(&tuning);
            self.client.drop_expired_idle();
        }
    }

    /// Closes one client connection to make room: one that never sent a valid request, or else the one that
    /// has been idle longest. False if there is none of either.
    pub(super) fn shed_connection(&self) -> bool {
        self.shed_without_valid_request() || self.shed_idle()
    }

    /// Closes one of the connections that never sent a valid request: first those that have sent nothing,
    /// then those with an incomplete request, in each case the one that last sent data longest ago.
    fn shed_without_valid_request(&self) -> bool {
        let connections = self.connections.borrow();
        let shed_order = |connection: &&Rc<ClientConnection>| {
            (connection.stream.message_started_at().is_some(), connection.stream.last_read())
        };
        for candidates_left in (0..MAX_SHED_CANDIDATES).rev() {
            let without_valid_request = connections.values().filter(|connection| {
                !connection.has_sent_valid_request.get()
                    && !connection.request_in_progress.get()
                    && connection.close_mode.get() != CloseMode::Immediate
            });
            let Some(candidate) = without_valid_request.min_by_key(shed_order) else { return false };
            // It may have sent data that has not been read yet. Such a connection counts as sending a
            // request.
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

    /// Closes the client connection that has been idle longest; false if none is idle.
    fn shed_idle(&self) -> bool {
        let connections = self.connections.borrow();
        let idle = connections.values().filter(|connection| connection.is_idle());
        let oldest = idle.min_by_key(|connection| connection.last_used_at.get());
        oldest.inspect(|connection| connection.close(CloseMode::Graceful)).is_some()
    }

    /// Closes client connections that have been idle for `idle_timeout`, except those with a request that has
    /// not been read yet.
    fn close_idle(&self, idle_timeout: Duration) {
        for connection in self.connections.borrow().values() {
            if connection.last_used_at.get().elapsed() >= idle_timeout && connection.is_idle() {
                connection.close(CloseMode::Graceful);
            }
        }
    }

    /// Ends the requests whose client has left. hyper notices that only after it has read all that the client
    /// sent.
    fn close_abandoned(&self) {
        for connection in self.connections.borrow().values() {
            if connection.request_in_progress.get() && connection.stream.has_peer_closed() {
                connection.abort();
            }
        }
    }

    /// Closes connections whose client takes too long to send its request or to read its response.
    fn close_timed_out(&self) {
        let tuning = self.limits.tuning();
        let connections = self.connections.borrow();
        for connection in
            connections.values().filter(|connection| connection.has_request_timed_out(tuning.request_timeout))
        {
            connection.streaming_body.take();
            connection.abort();
        }
        // Connections whose client does not read its response: the rest of the response is dropped.
        for connection in
            connections.values().filter(|connection| connection.stream.is_write_stalled(tuning.stall_timeout))
        {
            connection.abort();
        }
    }

    /// Releases the memory of responses that have been written.
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
