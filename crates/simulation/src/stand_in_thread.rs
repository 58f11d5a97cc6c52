//! Stand-in backends and their discovery service, on a thread of their own that runs until the process exits.

use crate::discovery;
use crate::servers::{self, ConnectionCounts, ResponseBody};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::rc::Rc;
use std::sync::Arc;
use tokio::runtime::Builder;
use tokio::task::{spawn_local, LocalSet};

/// The addresses of running stand-ins, and the backends' connection counts.
pub struct StandInThread {
    /// Address of each backend, by its number.
    pub servers: Vec<SocketAddr>,
    /// Address of the discovery service that lists the backends.
    pub discovery: SocketAddr,
    /// Connection counts of all backends together, updated while they run.
    pub connections: Arc<ConnectionCounts>,
}

/// Binds a non-blocking listener to a free loopback port, and returns it with its address.
pub fn listener() -> Result<(TcpListener, SocketAddr)> {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
    listener.set_nonblocking(true)?;
    let address = listener.local_addr()?;
    Ok((listener, address))
}

impl StandInThread {
    /// Starts `count` backends and their discovery service. `answers` returns the response body function of
    /// each backend, by its number.
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
