//! A link between two processes: a relay in user space that passes bytes on, or loses, holds, slows or breaks them.

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

/// Most that is read at once.
const CHUNK: usize = 16 * 1024;
/// How often a slow link passes something on.
const SLOW_STEP: Duration = Duration::from_millis(10);

/// What is wrong with a link.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Nothing passes and nobody says so: open connections stay open, new ones never come up.
    Silent,
    /// What the connecting side sends is lost; new connections never come up.
    LoseForth,
    /// What the other side answers is lost; new connections never come up.
    LoseBack,
    /// Open connections are reset, and new ones as soon as they have been taken.
    Reset,
    /// New connections are refused; open ones go on.
    Refuse,
    /// Everything comes so much later, in each direction.
    Delay(Duration),
    /// So many bytes a second, in each direction.
    Slow(u32),
}

/// Which link an outgoing connection of a relay belongs to, by its own address and the target's: so a stand-in can tell
/// who calls. The own one alone is not enough, as the system gives one port to connections to several targets.
pub type Callers = Rc<RefCell<HashMap<(SocketAddr, SocketAddr), usize>>>;

/// What passed over a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct TransferredBytes {
    /// Connections that were taken.
    pub connections: u64,
    /// Bytes from the connecting side.
    pub forth: u64,
    /// Bytes to it.
    pub back: u64,
}

/// A relay.
pub struct TcpProxy {
    /// Its number, as in [`Callers`].
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
    callers: Callers,
    /// Connections that were taken here and not by the target, by the address of who connected.
    untaken: RefCell<HashSet<SocketAddr>>,
}

impl TcpProxy {
    /// Starts a relay to a target.
    pub fn start(number: usize, target: SocketAddr, callers: Callers) -> Result<Rc<TcpProxy>> {
        let port = ReservedPort::take()?;
        // It takes connections from now on, not from whenever its task first runs.
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
            callers,
            untaken: RefCell::default(),
        });
        spawn_local(link.clone().serve(listener));
        Ok(link)
    }

    /// Where one connects to reach the target.
    pub fn address(&self) -> SocketAddr {
        self.port.address()
    }

    /// What passed over it so far.
    pub fn passed(&self) -> TransferredBytes {
        self.passed.get()
    }

    /// Whether a connection that ended was one that the target never took. Asked once for each.
    pub fn never_took(&self, caller: SocketAddr) -> bool {
        self.untaken.borrow_mut().remove(&caller)
    }

    /// What is wrong with it.
    pub fn fault(&self) -> Fault {
        self.fault.get()
    }

    /// Sets what is wrong with it.
    pub fn set(&self, fault: Fault) {
        self.fault.set(fault);
        if fault == Fault::Reset {
            self.reset();
        }
        self.changed.notify_waiters();
    }

    /// Tells whether the target listens.
    pub fn set_up(&self, up: bool) {
        self.up.set(up);
        self.changed.notify_waiters();
    }

    /// Resets all open connections, as a machine does that is back.
    pub fn reset(&self) {
        self.resets.set(self.resets.get() + 1);
        self.changed.notify_waiters();
    }

    fn is_deaf(&self) -> bool {
        matches!(self.fault.get(), Fault::Silent | Fault::LoseForth | Fault::LoseBack)
    }

    fn refuses(&self) -> bool {
        !self.up.get() || self.fault.get() == Fault::Refuse
    }

    fn holds(&self, forth: bool) -> bool {
        match self.fault.get() {
            Fault::Silent => true,
            Fault::LoseForth => forth,
            Fault::LoseBack => !forth,
            _ => false,
        }
    }

    fn count(&self, change: impl FnOnce(&mut TransferredBytes)) {
        let mut passed = self.passed.get();
        change(&mut passed);
        self.passed.set(passed);
    }

    /// Waits until a look at the state gives false.
    async fn while_so(&self, so: impl Fn(&TcpProxy) -> bool) {
        loop {
            let changed = self.changed.notified();
            tokio::pin!(changed);
            // Enabled before the look, so that no change falls between the two.
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
            // The listener of the last state must be closed before the next one: two would share connections.
            if self.is_deaf() {
                let _deaf = self.port.deaf();
                self.while_so(TcpProxy::is_deaf).await;
            } else if self.refuses() {
                self.while_so(|link| link.refuses() && !link.is_deaf()).await;
            } else if let Ok(listener) = self.port.listen() {
                self.clone().accept(listener).await;
            } else {
                // Out of descriptors: told by whoever can't connect. Not in a tight loop.
                sleep(SLOW_STEP).await;
            }
        }
    }

    async fn accept(self: Rc<TcpProxy>, listener: TcpListener) {
        loop {
            let open = |link: &TcpProxy| !link.is_deaf() && !link.refuses();
            tokio::select! {
                biased;
                () = self.while_so(open) => return,
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
                self.untaken.borrow_mut().insert(peer);
            }
            return abort(&caller);
        };
        let name = target.local_addr();
        if let Ok(name) = name {
            self.callers.borrow_mut().insert((name, self.target), self.number);
        }
        // Fails only on streams that are dead, which the first read tells.
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
                () = self.while_so(|link| link.resets.get() == resets) => false,
            }
        };
        // What ends in the midst of a call is reset on both sides.
        if !clean {
            abort(&caller);
            abort(&target);
        }
        if let Ok(name) = name {
            self.callers.borrow_mut().remove(&(name, self.target));
        }
    }

    /// Passes one direction on until it ends.
    async fn pass(&self, mut from: ReadHalf<'_>, mut to: WriteHalf<'_>, forth: bool) -> Result<()> {
        let mut buffer = vec![0; CHUNK];
        loop {
            let read = from.read(&mut buffer).await;
            // An end and a break are news too, and are held as all else is.
            self.while_so(|link| link.holds(forth)).await;
            if let Fault::Delay(by) = self.fault.get() {
                sleep(by).await;
                self.while_so(|link| link.holds(forth)).await;
            }
            match read? {
                0 => return to.shutdown().await,
                n => self.write(&mut to, &buffer[..n], forth).await?,
            }
        }
    }
}

impl TcpProxy {
    /// Writes what was read, in small pieces where the link is slow.
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
            self.count(|p| *(if forth { &mut p.forth } else { &mut p.back }) += piece.len() as u64);
            left = rest;
        }
        Ok(())
    }
}

/// Ends a connection by a reset.
pub fn abort(stream: &TcpStream) {
    let _ = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
