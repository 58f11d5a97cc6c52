//! Listening sockets, and the errors of the operating system when descriptors run out.

use std::io::Result;
use std::net::SocketAddr;
use tokio::net::{TcpListener, TcpSocket};

/// The maximum of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Listens at an address at which another process of this proxy may listen too.
///
/// # Errors
///
/// What the operating system says if the address can't be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Whether an operation failed because this process, or the whole system, may open no more descriptors.
pub fn out_of_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
