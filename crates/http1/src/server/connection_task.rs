//! The task of one client connection: serves HTTP on it, and parks it while it is idle.

use super::client_connection::{ClientConnection, CloseMode};
use super::HttpServer;
use crate::stream::HyperStream;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use std::convert::Infallible;
use std::future::{poll_fn, Future};
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::time::sleep;

/// How long a client may take to complete the request that it is sending when its connection is being closed.
const CLOSE_GRACE_PERIOD: Duration = Duration::from_secs(2);

/// The state of a connection after serving it.
#[derive(PartialEq)]
enum ConnectionState {
    Closed,
    /// Idle: only the socket is kept, until more data can be read.
    Parked,
}

impl HttpServer {
    /// Runs a connection until it is closed.
    pub(super) async fn run_connection(self: Rc<Self>, id: u64, connection: Rc<ClientConnection>) {
        // The future is boxed so that a parked connection does not keep memory for it. New connections are
        // read before they are first parked: one that seems to have sent nothing would be the first to be
        // shed.
        while Box::pin(self.serve_connection(&connection)).await == ConnectionState::Parked {
            connection.parked.set(true);
            if !wait_until_readable(&connection).await {
                break;
            }
            connection.parked.set(false);
        }
        self.connections.borrow_mut().remove(&id);
    }

    /// Serves HTTP on a connection until it is closed or can be parked.
    async fn serve_connection(self: &Rc<Self>, connection: &Rc<ClientConnection>) -> ConnectionState {
        let service =
            service_fn(|request| async move { Ok::<_, Infallible>(self.serve(connection, request).await) });
        let io = HyperStream(connection.stream.clone());
        let http = http1::Builder::new()
            .max_buf_size(self.limits.tuning().read_buffer_bytes)
            .serve_connection(io, service);
        tokio::pin!(http);
        loop {
            tokio::select! {
                biased;
                () = note_arrival(connection) => {}
                // An error means that the client has disconnected or sent invalid HTTP. The connection ends,
                // and dropping the guard of an open request cancels it.
                _ = &mut http => return ConnectionState::Closed,
                () = connection.wake.notified() => match connection.close_mode.get() {
                    CloseMode::Open if connection.can_park(self.limits.tuning().buffer_release_after) => {
                        return ConnectionState::Parked;
                    }
                    CloseMode::Open => {}
                    CloseMode::Immediate if !connection.request_in_progress.get() => {
                        return ConnectionState::Closed;
                    }
                    // The connection is no longer idle. When hyper shuts down, it drops what it has read
                    // after the request in progress, so the close is cancelled.
                    CloseMode::Graceful if connection.has_waiting_request() => {
                        connection.close_mode.set(CloseMode::Open);
                    }
                    _ => http.as_mut().graceful_shutdown(),
                },
                // hyper's graceful shutdown would wait for ever for an incomplete head. If the head has been
                // completed meanwhile, its request is in progress and is served.
                () = sleep(CLOSE_GRACE_PERIOD), if connection.close_mode.get() != CloseMode::Open => {
                    if !connection.request_in_progress.get() && !connection.stream.is_write_blocked() {
                        return ConnectionState::Closed;
                    }
                }
            }
        }
    }
}

/// Records the arrival of data whenever the task of the connection is polled; is never ready.
fn note_arrival(connection: &ClientConnection) -> impl Future<Output = ()> + '_ {
    poll_fn(|_| {
        connection.stream.note_arrival();
        Poll::Pending
    })
}

/// Waits until a parked connection has data to read; false if it must be closed instead.
async fn wait_until_readable(connection: &ClientConnection) -> bool {
    loop {
        tokio::select! {
            biased;
            () = connection.stream.readable() => return true,
            () = connection.wake.notified() => match connection.close_mode.get() {
                CloseMode::Open => {}
                CloseMode::Immediate => return false,
                CloseMode::Graceful if connection.stream.is_idle_and_open() => return false,
                CloseMode::Graceful => {
                    // A request has just arrived: it is served before the connection is closed.
                    connection.wake.notify_one();
                    return true;
                }
            },
        }
    }
}
