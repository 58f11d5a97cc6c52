//! A bare byte relay: the cost of a proxy that inspects nothing. Each connection is tied to one backend.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Relays each connection to the next backend in turn.
pub async fn serve(listener: TcpListener, servers: Vec<SocketAddr>) {
    let next = Cell::new(0usize);
    while let Ok((mut caller, _)) = listener.accept().await {
        let server = servers[next.get() % servers.len()];
        next.set(next.get() + 1);
        spawn_local(async move {
            let Ok(mut server) = TcpStream::connect(server).await else { return };
            // Fails only on dead streams, which the first read reports.
            let _ = caller.set_nodelay(true).and(server.set_nodelay(true));
            let _ = tokio::io::copy_bidirectional(&mut caller, &mut server).await;
        });
    }
}
