//! A bare byte relay: what a proxy costs that looks at nothing. Each connection is tied to one server.

use std::cell::Cell;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Relays every connection to the next server in turn.
pub async fn serve(listener: TcpListener, servers: Vec<SocketAddr>) {
    let next = Cell::new(0usize);
    while let Ok((mut caller, _)) = listener.accept().await {
        let server = servers[next.get() % servers.len()];
        next.set(next.get() + 1);
        spawn_local(async move {
            let Ok(mut server) = TcpStream::connect(server).await else { return };
            // Fails only on streams that are dead, which the first read tells.
            let _ = caller.set_nodelay(true).and(server.set_nodelay(true));
            let _ = tokio::io::copy_bidirectional(&mut caller, &mut server).await;
        });
    }
}
