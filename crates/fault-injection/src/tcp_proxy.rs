//! A link between two processes: a TCP proxy that forwards bytes, or loses, blocks, delays, slows or resets them.

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
const CHUNK: usize = 16 * 1024;
/// Between two writes of a slow link.
const SLOW_STEP: Duration = Duration::from_millis(10);

/// The fault of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Nothing passes: open connections stay open, new ones never come up.
    Silent,
    /// What the connecting side sends is lost; new connections never come up.
    LoseFromClient,
    /// What the other side sends is lost; new connections never come up.
    LoseFromTarget,
    /// Open connections are reset, and new ones as soon as they have been accepted.
    Reset,
    /// New connections are refused; open ones go on.
    Refuse,
    /// Everything arrives later by this time, in each direction.
    Delay(Duration),
    /// Limits bytes per second, in each direction.
    Slow(u32),
}

/// The link of an outgoing connection, by its local address and the target's: so a backend knows who sends. The local
/// address is not enough, as the system gives one port to connections to several targets.
pub type ConnectionLinks = Rc<RefCell<HashMap<(SocketAddr, SocketAddr), usize>>>;

/// Traffic of a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferredBytes {
    /// Connections accepted.
    pub connections: u64,
    /// Bytes from the connecting side.
    pub to_target: u64,
    /// Bytes to it.
    pub to_client: u64,
}

/// A TCP proxy with faults.
pub struct TcpProxy {
    /// Its number, as in [`ConnectionLinks`].
    pub number: usize,
    port: ReservedPort,
    target: SocketAddr,
    fault: Cell<Fault>,
    /// Whether the target listens; while it does not, connections are refused.
    up: Cell<bool>,
    /// Counts the times at which all open connections were reset.
    resets: Cell<u64>,
    changed: Notify,
    passed: Cell<TransferredBytes>,
    connections: ConnectionLinks,
    /// Connections that were accepted here and not by the target, by the client's address.
    unaccepted: RefCell<HashSet<SocketAddr>>,
}

impl TcpProxy {
    /// Starts a link to a target.
    pub fn start(number: usize, target: SocketAddr, callers: ConnectionLinks) -> Result<Rc<TcpProxy>> {
        let port = ReservedPort::take()?;
        // It accepts connections from now on, not from when its task first runs.
        let listener = port.listen()?;
        let link = Rc::new(TcpProxy {
            number,
            port,
            target,
            fault: Cell::default(),
            up: Cell::new(true),
            resets: Cell::new(0),
            changed: Notify::new(),
            passed: Cell::default(),
            connections: callers,
            unaccepted: RefCell::default(),
        });
        spawn_local(link.clone().serve(listener));
        Ok(link)
    }

    /// The address to connect to.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// Its traffic so far.
    pub fn transferred(&self) -> TransferredBytes {
        self.passed.get()
    }

    /// Whether a connection that ended was never accepted by the target. True once for each.
    pub fn take_unaccepted(&self, caller: SocketAddr) -> bool {
        self.unaccepted.borrow_mut().remove(&caller)
    }

    /// Its fault.
    pub fn fault(&self) -> Fault {
        self.fault.get()
    }

    /// Sets its fault.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
        if fault == Fault::Reset {
            self.reset();
        }
        self.changed.notify_waiters();
    }

    /// Sets whether the target listens.
    pub fn set_target_listening(&self, up: bool) {
        self.up.set(up);
        self.changed.notify_waiters();
    }

    /// Resets all open connections, as a machine does after a network outage.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify_waiters();
    }

    fn is_silent(&self) -> bool {
        matches!(self.fault.get(), Fault::Silent | Fault::LoseFromClient | Fault::LoseFromTarget)
    }

    fn refuses_connections(&self) -> bool {
        !self.up.get() || self.fault.get() == Fault::Refuse
    }

    fn blocks(&self, forth: bool) -> bool {
        match self.fault.get() {
            Fault::Silent => true,
            Fault::LoseFromClient => forth,
            Fault::LoseFromTarget => !forth,
            _ => false,
        }
    }

    fn count(&self, change: impl FnOnce(&mut TransferredBytes)) {
        let mut passed = self.passed.get();
        change(&mut passed);
        self.passed.set(passed);
    }

    /// Waits until a condition on the state is false.
    async fn wait_while(&self, so: impl Fn(&TcpProxy) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Enabled before the check, so that no change is missed.
            changed.as_mut().enable();
            if !so(self) {
                return;
            }
            changed.await;
        }
    }

    async fn serve(self: Rc<TcpProxy>, first: TcpListener) {
        self.clone().accept(first).await;
        loop {
            // The previous listener must be closed before the next one opens: two would share connections.
            if self.is_silent() {
                let _deaf = self.port.listen_silently();
                self.wait_while(TcpProxy::is_silent).await;
            } else if self.refuses_connections() {
                self.wait_while(|link| link.refuses_connections() && !link.is_silent()).await;
            } else if let Ok(listener) = self.port.listen() {
                self.clone().accept(listener).await;
            } else {
                // Out of descriptors; avoids a tight loop.
                sleep(SLOW_STEP).await;
            }
        }
    }

    async fn accept(self: Rc<TcpProxy>, listener: TcpListener) {
        loop {
            let open = |link: &TcpProxy| !link.is_silent() && !link.refuses_connections();
            tokio::select! {
                biased;
                () = self.wait_while(open) => return,
                taken = listener.accept() => {
                    let Ok((stream, _)) = taken else { return };
                    spawn_local(self.clone().connection(stream));
                }
            }
        }
    }

    async fn connection(self: Rc<TcpProxy>, caller: TcpStream) {
        self.count(|p| p.connections += 1);
        let resets = self.resets.get();
        let target = match self.fault.get() {
            Fault::Reset => None,
            _ => TcpStream::connect(self.target).await.ok(),
        };
        let Some(target) = target else {
            if let Ok(peer) = caller.peer_addr() {
                self.unaccepted.borrow_mut().insert(peer);
            }
            return abort(&caller);
        };
        let name = target.local_addr();
        if let Ok(name) = name {
            self.connections.borrow_mut().insert((name, self.target), self.number);
        }
        // Fails only on dead streams, which the first read reports.
        let _ = caller.set_nodelay(true).and(target.set_nodelay(true));
        let (mut caller, mut target) = (caller, target);
        let clean = {
            let ((caller_in, caller_out), (target_in, target_out)) = (caller.split(), target.split());
            let both = async {
                let forth = self.pass(caller_in, target_out, true);
                tokio::try_join!(forth, self.pass(target_in, caller_out, false)).is_ok()
            };
            tokio::select! {
                clean = both => clean,
                () = self.wait_while(|link| link.resets.get() == resets) => false,
            }
        };
        // A connection that ends within a message is reset on both sides.
        if !clean {
            abort(&caller);
            abort(&target);
        }
        if let Ok(name) = name {
            self.connections.borrow_mut().remove(&(name, self.target));
        }
    }

    /// Forwards one direction until it ends.
    async fn pass(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, forth: bool) -> Result<()> {
        let mut buffer = vec![0; CHUNK];
        loop {
            let read = from.read(&mut buffer).await;
            // The end of a stream and errors are blocked like data.
            self.wait_while(|link| link.blocks(forth)).await;
            if let Fault::Delay(by) = self.fault.get() {
                sleep(by).await;
                self.wait_while(|link| link.blocks(forth)).await;
            }
            match read? {
                0 => return to.shutdown().await,
                n => self.write(&mut to, &buffer[..n], forth).await?,
            }
        }
    }
}

impl TcpProxy {
    /// Writes data, in small pieces where the link is slow.
    async fn write(&self, to: &mut WriteHalf<'_>, read: &[u8], forth: bool) -> Result<()> {
        let mut left = read;
        while !left.is_empty() {
            let most = match self.fault.get() {
                Fault::Slow(rate) => {
                    sleep(SLOW_STEP).await;
                    (f64::from(rate) * SLOW_STEP.as_secs_f64()).ceil() as usize
                }
                _ => left.len(),
            };
            let (piece, rest) = left.split_at(most.clamp(1, left.len()));
            to.write_all(piece).await?;
            self.count(|p| *(if forth { &mut p.to_target } else { &mut p.to_client }) += piece.len() as u64);
            left = rest;
        }
        Ok(())
    }
}

/// Closes a connection with a reset.
pub fn abort(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
