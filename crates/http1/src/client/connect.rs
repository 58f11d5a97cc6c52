//! Opening connections to backends, with hedged connects.

use super::{HttpClient, Target};
use crate::backend_connection::BackendConnection;
use hillstall_decision::Outcome;
use hillstall_proxy_core::limits::Reservation;
use hillstall_proxy_core::sockets::{is_local_fault, out_of_descriptors, LOCAL_FAULT_RETRY_INTERVAL};
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout, timeout_at};

/// How long connects are repeated while a fault at this machine lasts.
const MAX_LOCAL_FAULT: Duration = Duration::from_secs(1);

/// The result of one connect. The error is the outcome of an attempt that needed the connection.
type ConnectResult = Result<BackendConnection, Outcome>;

impl HttpClient {
    /// Opens a connection for an attempt. If the connect is slow, a second one is started as a hedge. Nothing
    /// is written before one of them is established. That one is returned, and the other goes into the pool.
    pub(super) async fn connect_hedged(self: &Rc<Self>, target: &Target, until: Instant) -> ConnectResult {
        let hedge_delay = self.connect_hedging.borrow_mut().hedge_delay(&target.backend);
        let (sender, mut results) = mpsc::unbounded_channel();
        self.spawn_connect(target, until, &sender);
        let mut pending = 1;
        loop {
            let next = match hedge_delay.filter(|_| pending == 1) {
                Some(delay) => timeout(delay, results.recv()).await,
                None => Ok(results.recv().await),
            };
            match next {
                Ok(Some(Ok(connection))) => return Ok(connection),
                Ok(Some(Err(outcome))) => {
                    pending -= 1;
                    if pending == 0 {
                        if outcome == Outcome::ConnectFailed {
                            self.connect_hedging.borrow_mut().on_failed(&target.backend);
                        }
                        return Err(outcome);
                    }
                }
                Ok(None) => return Err(Outcome::ConnectFailed),
                Err(_elapsed) if self.try_hedge() => {
                    pending += 1;
                    self.spawn_connect(target, until, &sender);
                }
                Err(_elapsed) => return results.recv().await.unwrap_or(Err(Outcome::ConnectFailed)),
            }
        }
    }

    /// Whether a slow connect may be hedged; takes the hedge from the budget.
    fn try_hedge(&self) -> bool {
        self.limits.backend_connections.has_capacity() && self.connect_hedging.borrow_mut().try_hedge()
    }

    /// Opens a connection in its own task. If the receiver of `sender` is gone by then, it goes into the
    /// pool.
    fn spawn_connect(
        self: &Rc<Self>,
        target: &Target,
        until: Instant,
        sender: &mpsc::UnboundedSender<ConnectResult>,
    ) {
        let (client, sender, target) = (self.clone(), sender.clone(), target.clone());
        spawn_local(async move {
            let started_at = Instant::now();
            let result = client.connect(target.address, until).await;
            if result.is_ok() {
                client.connect_hedging.borrow_mut().on_connected(target.backend, started_at.elapsed());
            }
            if let Err(mpsc::error::SendError(Ok(connection))) = sender.send(result) {
                client.return_to_pool(&target, connection);
            }
        });
    }

    /// Opens a connection. If this process is out of sockets the outcome is [`Outcome::NotSent`], because
    /// that is no sign of a problem at the backend.
    pub(super) async fn connect(&self, address: SocketAddr, until: Instant) -> ConnectResult {
        let reservation = self.reserve_connection().ok_or(Outcome::NotSent)?;
        let stream = self.open_socket(address, until).await?;
        BackendConnection::open(stream, reservation, &self.limits.tuning())
            .await
            .map_err(|_| Outcome::ConnectFailed)
    }

    /// Connects a socket. While that fails for a fault at this machine it is repeated, as the request could not
    /// be sent to any other backend either.
    async fn open_socket(&self, address: SocketAddr, until: Instant) -> Result<TcpStream, Outcome> {
        let retry_until = until.min(Instant::now() + MAX_LOCAL_FAULT);
        loop {
            let connect_until = until.min(Instant::now() + self.connect_timeout);
            let error = match timeout_at(connect_until.into(), TcpStream::connect(address)).await {
                Ok(Ok(stream)) => return Ok(stream),
                Ok(Err(error)) if is_local_fault(&error) => error,
                _ => return Err(Outcome::ConnectFailed),
            };
            if out_of_descriptors(&error) {
                self.close_longest_idle();
            }
            if Instant::now() + LOCAL_FAULT_RETRY_INTERVAL >= retry_until {
                tracing::debug!(%address, %error, "attempt: no connection can be opened at this machine");
                // There may be a network to other backends.
                let is_backend_specific = error.kind() == ErrorKind::NetworkUnreachable;
                return Err(if is_backend_specific { Outcome::ConnectFailed } else { Outcome::NotSent });
            }
            sleep(LOCAL_FAULT_RETRY_INTERVAL).await;
        }
    }

    /// Reserves a new connection, and closes idle ones if the limit is reached; `None` if there are none to
    /// close.
    fn reserve_connection(&self) -> Option<Reservation> {
        loop {
            if let Some(reservation) = self.limits.backend_connections.reserve(1) {
                return Some(reservation);
            }
            if !self.close_longest_idle() {
                return None;
            }
        }
    }
}
