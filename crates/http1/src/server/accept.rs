//! The accept loop, and the admission of client connections.

use super::client_connection::ClientConnection;
use super::HttpServer;
use hillstall_proxy_core::limits::Reservation;
use hillstall_proxy_core::sockets::{
    is_process_limit, out_of_descriptors, stop_handshakes, MAX_HANDSHAKE_DURATION,
};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// Maximum number of other connections that are closed to make room for one new connection.
const MAX_ADMIT_ATTEMPTS: u32 = 4;
/// Pause of the accept loop when the process is out of file descriptors.
const OUT_OF_DESCRIPTORS_PAUSE: Duration = Duration::from_millis(5);
/// How long the whole system may be out of descriptors before connections are closed for it.
const MAX_SYSTEM_SHORTAGE: Duration = Duration::from_millis(500);
/// Pause of the accept loop after any other error.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(1);
/// How long accepting may fail before the queue of a listener that is being closed is given up.
const MAX_ACCEPT_FAILURE: Duration = Duration::from_secs(2);

/// Accepts all connections in the queue of a listener. Other errors than an empty queue may pass, and are
/// waited out for a while.
async fn accept_queued(listener: &std::net::TcpListener) -> Vec<std::net::TcpStream> {
    let started_at = Instant::now();
    let mut queued = Vec::new();
    loop {
        match listener.accept() {
            Ok((stream, _)) => queued.push(stream),
            Err(error) if error.kind() == ErrorKind::WouldBlock => return queued,
            Err(_) if started_at.elapsed() >= MAX_ACCEPT_FAILURE => return queued,
            Err(_) => sleep(ACCEPT_ERROR_PAUSE).await,
        }
    }
}

impl HttpServer {
    /// Accepts connections until a successor process takes over the address, or this process is about to
    /// exit. Then closes the listener, after admitting the connections that are still in its queue.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        let mut failing_since = None;
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stop_accepting.notified() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    failing_since = None;
                    self.admit(stream).await;
                }
                // Errors must not end the loop. If this process has no descriptors left, a connection is closed.
                // Others may have used up those of the whole system, and give them back in a moment.
                Err(e) if out_of_descriptors(&e) => {
                    let since: &mut Instant = failing_since.get_or_insert_with(Instant::now);
                    if is_process_limit(&e) || since.elapsed() >= MAX_SYSTEM_SHORTAGE {
                        let _ = self.shed_connection() || self.client.close_longest_idle();
                    }
                    sleep(OUT_OF_DESCRIPTORS_PAUSE).await;
                }
                // Mostly a client that disconnected before it was accepted.
                Err(_) => sleep(ACCEPT_ERROR_PAUSE).await,
            }
        }
        self.close_listener(listener).await;
        self.listener_closed.set(true);
    }

    /// Closes the listener after admitting the connections in its queue. The close resets connections that
    /// are still queued, so none may be established between the last `accept` and the close.
    async fn close_listener(self: &Rc<Self>, listener: TcpListener) {
        // Without socket filters, a connection that is established right before the close is reset.
        if stop_handshakes(&listener).is_ok() {
            sleep(MAX_HANDSHAKE_DURATION).await;
        }
        let Ok(listener) = listener.into_std() else { return };
        for stream in accept_queued(&listener).await {
            if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                self.admit(stream).await;
            }
        }
    }

    /// Admits a connection. At the limit on client connections another one is closed to make room; if none
    /// can be, the new one is dropped. The limit keeps a flood of connections from using up the sockets of
    /// attempts.
    async fn admit(self: &Rc<Self>, stream: TcpStream) {
        for _ in 0..MAX_ADMIT_ATTEMPTS {
            if let Some(reservation) = self.limits.client_connections.reserve(1) {
                let (id, connection) = self.register(stream, reservation);
                spawn_local(self.clone().run_connection(id, connection));
                return;
            }
            // The other connection is closed by its own task, unless a request has arrived on it meanwhile.
            if !self.shed_connection() {
                return;
            }
            yield_now().await;
        }
    }

    /// Adds a connection to the table. This must happen before the next one is accepted, because only
    /// connections in the table can be shed to make room.
    fn register(&self, stream: TcpStream, reservation: Reservation) -> (u64, Rc<ClientConnection>) {
        let connection = Rc::new(ClientConnection::new(stream, reservation, &self.limits.tuning()));
        let id = self.next_connection_id.replace(self.next_connection_id.get() + 1);
        self.connections.borrow_mut().insert(id, connection.clone());
        (id, connection)
    }
}
