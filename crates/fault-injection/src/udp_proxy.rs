//! A UDP link between two addresses, with the same faults as TCP links. Blocked datagrams are lost, also under a reset
//! or refusal.

use crate::tcp_proxy::Fault;
use hillstall_simulation::random::part;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// The largest datagram.
const LONGEST: usize = 65_535;

/// A UDP proxy between two addresses.
pub struct UdpProxy {
    /// Where each side sends to reach the other.
    sockets: [Rc<UdpSocket>; 2],
    ends: [SocketAddr; 2],
    fault: Cell<Fault>,
    loss: Cell<f64>,
    rng: RefCell<Xoshiro256PlusPlus>,
    passed: Cell<[u64; 2]>,
}

impl UdpProxy {
    /// Starts a link between two addresses; the seed decides which datagrams are lost.
    pub async fn start(ends: [SocketAddr; 2], seed: u64) -> Result<Rc<UdpProxy>> {
        let any = (Ipv4Addr::LOCALHOST, 0);
        let sockets = [Rc::new(UdpSocket::bind(any).await?), Rc::new(UdpSocket::bind(any).await?)];
        let link = Rc::new(UdpProxy {
            sockets,
            ends,
            fault: Cell::default(),
            loss: Cell::new(0.0),
            rng: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
            passed: Cell::default(),
        });
        for side in [0, 1] {
            spawn_local(link.clone().serve(side));
        }
        Ok(link)
    }

    /// Where the first (0) or the second (1) end sends to reach the other.
    pub fn address(&self, end: usize) -> Result<SocketAddr> {
        self.sockets[end].local_addr()
    }

    /// Sets its fault; forth is from the first end to the second.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Loses this fraction of the datagrams, in addition to the fault.
    pub fn lose(&self, part: f64) {
        self.loss.set(part);
    }

    /// Datagrams passed on: forth and back.
    pub fn transferred(&self) -> [u64; 2] {
        self.passed.get()
    }

    fn loses(&self, forth: bool) -> bool {
        let by_chance = part(&mut self.rng.borrow_mut());
        by_chance < self.loss.get()
            || match self.fault.get() {
                Fault::Silent | Fault::Reset | Fault::Refuse => true,
                Fault::LoseFromClient => forth,
                Fault::LoseFromTarget => !forth,
                Fault::None | Fault::Delay(_) | Fault::Slow(_) => false,
            }
    }

    async fn serve(self: Rc<UdpProxy>, side: usize) {
        let mut buffer = vec![0; LONGEST];
        loop {
            // An error reports an earlier datagram that nobody received.
            let Ok((length, from)) = self.sockets[side].recv_from(&mut buffer).await else { continue };
            // Only the two ends may use it.
            if from != self.ends[side] || self.loses(side == 0) {
                continue;
            }
            let (datagram, link) = (buffer[..length].to_vec(), self.clone());
            spawn_local(async move {
                if let Fault::Delay(by) = link.fault.get() {
                    sleep(by).await;
                }
                let other = 1 - side;
                if link.sockets[other].send_to(&datagram, link.ends[other]).await.is_ok() {
                    let mut passed = link.passed.get();
                    passed[side] += 1;
                    link.passed.set(passed);
                }
            });
        }
    }
}
