//! A UDP link between two addresses, with the faults of TCP links. Datagrams that a fault keeps from passing
//! are lost; [`Fault::Reset`] and [`Fault::Refuse`] lose all, and [`Fault::Slow`] has no effect.

use crate::tcp_proxy::Fault;
use hillstall_simulation::random::uniform;
use rand_xoshiro::rand_core::SeedableRng;
use rand_xoshiro::Xoshiro256PlusPlus;
use std::cell::{Cell, RefCell};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Size of the receive buffer, which holds the largest datagram.
const MAX_DATAGRAM_BYTES: usize = 65_535;

/// A UDP proxy between two addresses, its ends.
pub struct UdpProxy {
    /// The socket that each end sends to in order to reach the other.
    sockets: [Rc<UdpSocket>; 2],
    ends: [SocketAddr; 2],
    fault: Cell<Fault>,
    loss_fraction: Cell<f64>,
    rng: RefCell<Xoshiro256PlusPlus>,
    forwarded: Cell<[u64; 2]>,
}

impl UdpProxy {
    /// Starts a link between two addresses. The seed decides which datagrams [`UdpProxy::set_loss`] loses.
    pub async fn start(ends: [SocketAddr; 2], seed: u64) -> Result<Rc<UdpProxy>> {
        let any = (Ipv4Addr::LOCALHOST, 0);
        let sockets = [Rc::new(UdpSocket::bind(any).await?), Rc::new(UdpSocket::bind(any).await?)];
        let link = Rc::new(UdpProxy {
            sockets,
            ends,
            fault: Cell::default(),
            loss_fraction: Cell::new(0.0),
            rng: RefCell::new(Xoshiro256PlusPlus::seed_from_u64(seed)),
            forwarded: Cell::default(),
        });
        for side in [0, 1] {
            spawn_local(link.clone().serve(side));
        }
        Ok(link)
    }

    /// The address to which the first (0) or the second (1) end sends in order to reach the other.
    pub fn address(&self, end: usize) -> Result<SocketAddr> {
        self.sockets[end].local_addr()
    }

    /// Sets the fault; the first end counts as the client, the second as the target.
    pub fn set_fault(&self, fault: Fault) {
        self.fault.set(fault);
    }

    /// Sets the fraction of datagrams that are lost at random, in addition to the fault.
    pub fn set_loss(&self, fraction: f64) {
        self.loss_fraction.set(fraction);
    }

    /// The number of datagrams forwarded from the first end and from the second.
    pub fn forwarded(&self) -> [u64; 2] {
        self.forwarded.get()
    }

    fn loses(&self, from_first: bool) -> bool {
        let random_fraction = uniform(&mut self.rng.borrow_mut());
        random_fraction < self.loss_fraction.get()
            || match self.fault.get() {
                Fault::Silent | Fault::Reset | Fault::Refuse => true,
                Fault::LoseFromClient => from_first,
                Fault::LoseFromTarget => !from_first,
                Fault::None | Fault::Delay(_) | Fault::Slow(_) => false,
            }
    }

    async fn serve(self: Rc<UdpProxy>, side: usize) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // An error reports that an earlier datagram found no receiver.
            let Ok((length, from)) = self.sockets[side].recv_from(&mut buffer).await else { continue };
            // Only the two ends may use the link.
            if from != self.ends[side] || self.loses(side == 0) {
                continue;
            }
            let (datagram, link) = (buffer[..length].to_vec(), self.clone());
            spawn_local(async move {
                if let Fault::Delay(delay) = link.fault.get() {
                    sleep(delay).await;
                }
                let other = 1 - side;
                if link.sockets[other].send_to(&datagram, link.ends[other]).await.is_ok() {
                    let mut forwarded = link.forwarded.get();
                    forwarded[side] += 1;
                    link.forwarded.set(forwarded);
                }
            });
        }
    }
}
