//! Stand-in backends and discovery, on a thread of their own until the program ends.

use crate::discovery;
use crate::servers::{self, ConnectionCounts, ResponseBody};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};

/// Addresses of the stand-ins.
pub struct StandInThread {
    /// The servers.
    pub servers: Vec<SocketAddr>,
    /// Their discovery service.
    pub discovery: SocketAddr,
    /// The servers' connections.
    pub connections: Arc<ConnectionCounts>,
}

/// A listener at a port of the system's choice, and its address.
pub fn listener() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl StandInThread {
    /// Starts a number of backends; `answers` makes the responses of each, by its number.
    pub fn start(
        count: usize,
        answers: impl Fn(usize) -> Rc<ResponseBody> + Send + 'static,
    ) -> Result<StandInThread> {
        let bound: Vec<_> = (0..count).map(|_| listener()).collect::<Result<_>>()?;
        let (list, discovery) = listener()?;
        let servers: Vec<SocketAddr> = bound.iter().map(|(_, address)| *address).collect();
        let known = discovery::endpoint_list(&servers);
        let connections = Arc::new(ConnectionCounts::default());
        let counted = connections.clone();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        std::thread::Builder::new().name("stand-ins".into()).spawn(move || {
            LocalSet::new().block_on(&runtime, async move {
                for (number, (listener, _)) in bound.into_iter().enumerate() {
                    let listener = tokio::net::TcpListener::from_std(listener)?;
                    spawn_local(servers::serve(listener, answers(number), counted.clone()));
                }
                discovery::serve(tokio::net::TcpListener::from_std(list)?, known).await;
                Result::Ok(())
            })
        })?;
        Ok(StandInThread { servers, discovery, connections })
    }
}
