//! The accept loop, and the admission of connections.

use super::client_connection::ClientConnection;
use super::HttpServer;
use hillstall_proxy_core::limits::Reservation;
use hillstall_proxy_core::sockets::{out_of_descriptors, stop_handshakes, MAX_HANDSHAKE_DURATION};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

/// How many other connections may be asked to close for one new connection.
const MAX_ADMIT_ATTEMPTS: u32 = 4;
/// Pause of the accept loop when the process is out of file descriptors.
const OUT_OF_DESCRIPTORS_PAUSE: Duration = Duration::from_millis(5);
/// Pause of the accept loop after any other error.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(1);

impl HttpServer {
    /// Accepts connections until a newer process has the address to itself, or this one is about to end: until then
    /// the connections in the kernel's queue count as accepted.
    pub async fn accept(self: Rc<Self>, listener: TcpListener) {
        loop {
            let accepted = tokio::select! {
                biased;
                () = self.stop_accepting.notified() => break,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => self.admit(stream).await,
                // An error must not end the loop: out of descriptors, idle connections are closed.
                Err(e) if out_of_descriptors(&e) => {
                    let _ = self.shed_connection() || self.client.close_longest_idle();
                    sleep(OUT_OF_DESCRIPTORS_PAUSE).await;
                }
                // The client left before it was accepted.
                Err(_) => sleep(ACCEPT_ERROR_PAUSE).await,
            }
        }
        self.close_listener(listener).await;
        self.listener_closed.set(true);
    }

    /// Closes the listener, and admits the connections that still wait in its queue. They would be reset with the
    /// listener, so no further one may come up between the last `accept` and the close.
    async fn close_listener(self: &Rc<Self>, listener: TcpListener) {
        // Where the system has no socket filters, a connection that comes up right before the close is reset.
        if stop_handshakes(&listener).is_ok() {
            sleep(MAX_HANDSHAKE_DURATION).await;
        }
        let mut queued = Vec::new();
        if let Ok(listener) = listener.into_std() {
            while let Ok((stream, _)) = listener.accept() {
                queued.push(stream);
            }
        }
        for stream in queued {
            if let Ok(stream) = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream)) {
                self.admit(stream).await;
            }
        }
    }

    /// Admits a connection. Beyond the limit on client connections another one has to close for it, so that a
    /// flood of connections does not use up the sockets that attempts need.
    async fn admit(self: &Rc<Self>, stream: TcpStream) {
        for _ in 0..MAX_ADMIT_ATTEMPTS {
            if let Some(reservation) = self.limits.client_connections.reserve(1) {
                let (id, connection) = self.register(stream, reservation);
                spawn_local(self.clone().run_connection(id, connection));
                return;
            }
            // The other one is closed by its own task, unless a request has come on it meanwhile.
            if !self.shed_connection() {
                return;
            }
            yield_now().await;
        }
    }

    /// Adds a connection to the table. This happens before another one is accepted: connections that are not in
    /// the table would count as ones that can't be closed.
    fn register(&self, stream: TcpStream, reservation: Reservation) -> (u64, Rc<ClientConnection>) {
        let connection = Rc::new(ClientConnection::new(stream, reservation, &self.limits.tuning()));
        let id = self.next_connection_id.replace(self.next_connection_id.get() + 1);
        self.connections.borrow_mut().insert(id, connection.clone());
        (id, connection)
    }
}
