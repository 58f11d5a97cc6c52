//! Listening sockets, and the errors of the operating system when descriptors run out.

use socket2::{SockFilter, SockRef};
use std::io::Result;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket};

/// The maximum of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Longer than a handshake takes within a site.
pub const MAX_HANDSHAKE_DURATION: Duration = Duration::from_millis(5);

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

/// Lets no further handshake begin at a listener. Those that have begun go on, for [`MAX_HANDSHAKE_DURATION`] at most; once
/// their connections are accepted, the listener can be closed without a connection in its queue, which would be reset.
/// Clients that connect meanwhile try again by themselves.
///
/// # Errors
///
/// What the operating system says if it has no socket filters.
pub fn stop_handshakes(listener: &impl AsFd) -> Result<()> {
    SockRef::from(listener).attach_filter(&acknowledgements_only())
}

/// A packet filter that drops TCP segments without the ACK flag, as only the first one of a connection has.
fn acknowledgements_only() -> [SockFilter; 4] {
    // Instructions of the classic packet filter; offsets count from the TCP header.
    const LOAD_BYTE: u16 = 0x30;
    const JUMP_IF_SET: u16 = 0x45;
    const RETURN: u16 = 0x06;
    const FLAGS_OFFSET: u32 = 13;
    const ACK: u32 = 0x10;
    const WHOLE_SEGMENT: u32 = u32::MAX;
    const NOTHING: u32 = 0;
    [
        SockFilter::new(LOAD_BYTE, 0, 0, FLAGS_OFFSET),
        SockFilter::new(JUMP_IF_SET, 0, 1, ACK),
        SockFilter::new(RETURN, 0, 0, WHOLE_SEGMENT),
        SockFilter::new(RETURN, 0, 0, NOTHING),
    ]
}

/// Whether an operation failed because this process, or the whole system, may open no more descriptors.
pub fn out_of_descriptors(error: &std::io::Error) -> bool {
    const ENFILE: i32 = 23;
    const EMFILE: i32 = 24;
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}
