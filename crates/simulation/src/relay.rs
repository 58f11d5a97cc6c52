//! A bare byte relay that inspects nothing, as the lower bound of any proxy's cost. Each client connection is
//! tied to one backend.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Relays each client connection to the next backend, round robin. `servers` must not be empty.
pub async fn serve(listener: TcpListener, servers: Vec<SocketAddr>) {
    let next = Cell::new(0usize);
    while let Ok((mut client, _)) = listener.accept().await {
        let server = servers[next.get() % servers.len()];
        next.set(next.get() + 1);
        spawn_local(async move {
            let Ok(mut server) = TcpStream::connect(server).await else { return };
            // TCP_NODELAY can only fail on a dead socket, which the first read reports anyway.
            let _ = client.set_nodelay(true).and(server.set_nodelay(true));
            let _ = tokio::io::copy_bidirectional(&mut client, &mut server).await;
        });
    }
}
