//! A link between two processes: a TCP proxy that forwards bytes, or blocks, delays, slows or resets them by
//! an injected [`Fault`].
//!
//! The client of a link is the side that connects, the target the address that the link forwards to.

use crate::reserved_port::ReservedPort;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::io::Result;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Largest read, in bytes.
const READ_BUFFER_BYTES: usize = 16 * 1024;
/// Interval between two writes on a link with [`Fault::Slow`].
const SLOW_WRITE_INTERVAL: Duration = Duration::from_millis(10);

/// A fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// No fault: all bytes pass.
    #[default]
    None,
    /// No bytes pass in either direction. Open connections stay open; new ones are never established.
    Silent,
    /// Bytes from the client do not pass until the fault ends; new connections are never established.
    LoseFromClient,
    /// Bytes from the target do not pass until the fault ends; new connections are never established.
    LoseFromTarget,
    /// Open connections are reset at once, and new ones as soon as they have been accepted.
    Reset,
    /// New connections are refused; open ones are not affected.
    Refuse,
    /// Each read is forwarded after this delay, in both directions.
    Delay(Duration),
    /// The throughput limit in bytes per second, for each direction of each connection.
    Slow(u32),
}

/// The numbers of the links by their connections to targets, keyed by the connection's local address and the
/// target. A backend finds in it which link, and so which proxy, a request came over. The local address alone
/// is not unique, as the system may use one port for connections to several targets.
pub type ConnectionLinks = Rc<RefCell<HashMap<(SocketAddr, SocketAddr), usize>>>;

/// The traffic of a link since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferredBytes {
    /// The number of connections accepted.
    pub connections: u64,
    /// Bytes forwarded to the target.
    pub to_target: u64,
    /// Bytes forwarded to the client.
    pub to_client: u64,
}

/// A link: a TCP proxy to one target, with a fault that can be changed at any time.
pub struct TcpProxy {
    /// The link's number in [`ConnectionLinks`].
    pub number: usize,
    port: ReservedPort,
    target: SocketAddr,
    fault: Cell<Fault>,
    /// Whether the target listens; while it does not, the link refuses connections.
    target_listens: Cell<bool>,
    /// How often all open connections were reset; connections watch it for a change.
    resets: Cell<u64>,
    changed: Notify,
    transferred: Cell<TransferredBytes>,
    connections: ConnectionLinks,
    /// The client addresses of connections that were accepted here, but not by the target.
    unaccepted: RefCell<HashSet<SocketAddr>>,
}

impl TcpProxy {
    /// Starts a link to a target. `number` identifies it in `connections`.
    pub fn start(number: usize, target: SocketAddr, connections: ConnectionLinks) -> Result<Rc<TcpProxy>> {
        let port = ReservedPort::take()?;
        // Listens before the task first runs, so connections are accepted from now on.
        let listener = port.listen()?;
        let link = Rc::new(TcpProxy {
            number,
            port,
            target,
            fault: Cell::default(),
            target_listens: Cell::new(true),
            resets: Cell::new(0),
            changed: Notify::new(),
            transferred: Cell::default(),
            connections,
            unaccepted: RefCell::default(),
        });
        spawn_local(link.clone().serve(listener));
        Ok(link)
    }

    /// The address that clients of the link connect to.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// The traffic so far.
    pub fn transferred(&self) -> TransferredBytes {
        self.transferred.get()
    }

    /// Whether the connection from a client address ended without having been accepted by the target. The
    /// link forgets the connection by this, so it returns true only once.
    pub fn take_unaccepted(&self, client: SocketAddr) -> bool {
        self.unaccepted.borrow_mut().remove(&client)
    }

    /// The present fault.
    pub fn fault(&self) -> Fault {
        self.fault.get()
    }

    /// Sets the fault. [`Fault::Reset`] resets all open connections.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
        if fault == Fault::Reset {
            self.reset();
        }
        self.changed.notify_waiters();
    }

    /// Sets whether the target listens. While it does not, the link refuses connections, as the target would.
    pub fn set_target_listening(&self, target_listens: bool) {
        self.target_listens.set(target_listens);
        self.changed.notify_waiters();
    }

    /// Resets all open connections, as a machine does that has restarted.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify_waiters();
    }

    fn accepts_nothing(&self) -> bool {
        matches!(self.fault.get(), Fault::Silent | Fault::LoseFromClient | Fault::LoseFromTarget)
    }

    fn refuses_connections(&self) -> bool {
        !self.target_listens.get() || self.fault.get() == Fault::Refuse
    }

    fn blocks(&self, is_to_target: bool) -> bool {
        match self.fault.get() {
            Fault::Silent => true,
            Fault::LoseFromClient => is_to_target,
            Fault::LoseFromTarget => !is_to_target,
            _ => false,
        }
    }

    fn count(&self, change: impl FnOnce(&mut TransferredBytes)) {
        let mut transferred = self.transferred.get();
        change(&mut transferred);
        self.transferred.set(transferred);
    }

    /// Waits until a condition on the link's state is false.
    async fn wait_while(&self, condition: impl Fn(&TcpProxy) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Registered before the check, so that no change is missed.
            changed.as_mut().enable();
            if !condition(self) {
                return;
            }
            changed.await;
        }
    }

    async fn serve(self: Rc<TcpProxy>, first: TcpListener) {
        self.clone().accept(first).await;
        loop {
            // The previous listener must be closed before the next one opens, or the kernel would distribute
            // connections between the two.
            if self.accepts_nothing() {
                let _listener = self.port.listen_silently();
                self.wait_while(TcpProxy::accepts_nothing).await;
            } else if self.refuses_connections() {
                self.wait_while(|link| link.refuses_connections() && !link.accepts_nothing()).await;
            } else if let Ok(listener) = self.port.listen() {
                self.clone().accept(listener).await;
            } else {
                // Out of file descriptors; the pause avoids a busy loop.
                sleep(SLOW_WRITE_INTERVAL).await;
            }
        }
    }

    async fn accept(self: Rc<TcpProxy>, listener: TcpListener) {
        loop {
            let accepts = |link: &TcpProxy| !link.accepts_nothing() && !link.refuses_connections();
            tokio::select! {
                biased;
                () = self.wait_while(accepts) => return,
                accepted = listener.accept() => {
                    let Ok((stream, _)) = accepted else { return };
                    spawn_local(self.clone().connection(stream));
                }
            }
        }
    }

    async fn connection(self: Rc<TcpProxy>, client: TcpStream) {
        self.count(|counts| counts.connections += 1);
        let resets = self.resets.get();
        let target = match self.fault.get() {
            Fault::Reset => None,
            _ => TcpStream::connect(self.target).await.ok(),
        };
        let Some(target) = target else {
            if let Ok(peer) = client.peer_addr() {
                self.unaccepted.borrow_mut().insert(peer);
            }
            return abort(&client);
        };
        let local_address = target.local_addr();
        if let Ok(local_address) = local_address {
            self.connections.borrow_mut().insert((local_address, self.target), self.number);
        }
        // Fails only on streams that have ended, which the first read reports.
        let _ = client.set_nodelay(true).and(target.set_nodelay(true));
        let (mut client, mut target) = (client, target);
        let ended_cleanly = {
            let ((client_in, client_out), (target_in, target_out)) = (client.split(), target.split());
            let both = async {
                let to_target = self.forward(client_in, target_out, true);
                tokio::try_join!(to_target, self.forward(target_in, client_out, false)).is_ok()
            };
            tokio::select! {
                ended_cleanly = both => ended_cleanly,
                () = self.wait_while(|link| link.resets.get() == resets) => false,
            }
        };
        // An error or a reset on one side is passed on as a reset of both.
        if !ended_cleanly {
            abort(&client);
            abort(&target);
        }
        if let Ok(local_address) = local_address {
            self.connections.borrow_mut().remove(&(local_address, self.target));
        }
    }

    /// Forwards one direction of a connection until its sender closes it.
    async fn forward(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, is_to_target: bool) -> Result<()> {
        let mut buffer = vec![0; READ_BUFFER_BYTES];
        loop {
            let read = from.read(&mut buffer).await;
            // The end of the stream and errors are held back like data.
            self.wait_while(|link| link.blocks(is_to_target)).await;
            if let Fault::Delay(delay) = self.fault.get() {
                sleep(delay).await;
                self.wait_while(|link| link.blocks(is_to_target)).await;
            }
            match read? {
                0 => return to.shutdown().await,
                n => self.write(&mut to, &buffer[..n], is_to_target).await?,
            }
        }
    }
}

impl TcpProxy {
    /// Writes data; with [`Fault::Slow`], in pieces that keep to its rate.
    async fn write(&self, to: &mut WriteHalf<'_>, data: &[u8], is_to_target: bool) -> Result<()> {
        let mut rest = data;
        while !rest.is_empty() {
            let max_bytes = match self.fault.get() {
                Fault::Slow(rate) => {
                    sleep(SLOW_WRITE_INTERVAL).await;
                    (f64::from(rate) * SLOW_WRITE_INTERVAL.as_secs_f64()).ceil() as usize
                }
                _ => rest.len(),
            };
            let (piece, unwritten) = rest.split_at(max_bytes.clamp(1, rest.len()));
            to.write_all(piece).await?;
            self.count(|counts| {
                *(if is_to_target { &mut counts.to_target } else { &mut counts.to_client }) +=
                    piece.len() as u64
            });
            rest = unwritten;
        }
        Ok(())
    }
}

/// Makes a connection end with a reset instead of an orderly close when the stream is dropped.
pub fn abort(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
