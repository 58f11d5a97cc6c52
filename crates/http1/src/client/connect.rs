//! Opening connections to backends, with hedged connects.

use super::{HttpClient, Target};
use crate::backend_connection::BackendConnection;
use hillstall_decision::Outcome;
use hillstall_proxy_core::limits::Reservation;
use hillstall_proxy_core::sockets::out_of_descriptors;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at};

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
        let until = until.min(Instant::now() + self.connect_timeout);
        let stream = match timeout_at(until.into(), TcpStream::connect(address)).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(e)) if out_of_descriptors(&e) => {
                self.close_longest_idle();
                return Err(Outcome::NotSent);
            }
            _ => return Err(Outcome::ConnectFailed),
        };
        BackendConnection::open(stream, reservation, &self.limits.tuning())
            .await
            .map_err(|_| Outcome::ConnectFailed)
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
