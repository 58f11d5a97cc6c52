//! Opening and closing sockets, and recognising errors whose cause is at this machine.

use socket2::{SockFilter, SockRef};
use std::future::Future;
use std::io::Result;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::{Duration, Instant};
use tokio::net::{TcpListener, TcpSocket};
use tokio::time::sleep;

/// Maximum number of connections that wait to be accepted.
const LISTEN_BACKLOG: u32 = 1_024;

/// Upper bound of the duration of a TCP handshake with a client in the same site.
pub const MAX_HANDSHAKE_DURATION: Duration = Duration::from_millis(5);

/// How long the start of a process waits for the end of a fault at this machine.
const MAX_LOCAL_FAULT: Duration = Duration::from_secs(5);
/// Pause between two attempts to open a socket while a fault at this machine lasts.
pub const LOCAL_FAULT_RETRY_INTERVAL: Duration = Duration::from_millis(10);

/// Listens on an address on which another process may listen at the same time (`SO_REUSEPORT`), as during an
/// upgrade.
///
/// # Errors
///
/// The error of the operating system if the address can't be bound.
pub fn listen(address: SocketAddr) -> Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    socket.set_reuseaddr(true)?;
    socket.set_reuseport(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Makes a listener ignore new connects (SYN segments). Handshakes in progress complete within
/// [`MAX_HANDSHAKE_DURATION`]. After their connections are accepted the queue of the listener is empty, so
/// that closing it resets no connection. Clients whose SYN was ignored retransmit it.
///
/// # Errors
///
/// The error of the operating system if it does not support socket filters.
pub fn stop_handshakes(listener: &impl AsFd) -> Result<()> {
    SockRef::from(listener).attach_filter(&acknowledgements_only())
}

/// A packet filter that drops TCP segments without the ACK flag, such as the initial SYN of a connection.
fn acknowledgements_only() -> [SockFilter; 4] {
    // Classic BPF instructions; offsets are relative to the TCP header.
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

/// The whole system has no file descriptors left.
const ENFILE: i32 = 23;
/// The process has no file descriptors left.
const EMFILE: i32 = 24;

/// Whether an operation failed because the process or the whole system has no file descriptors left.
pub fn out_of_descriptors(error: &std::io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENFILE | EMFILE))
}

/// Whether an operation failed because this process has no file descriptors left.
pub fn is_process_limit(error: &std::io::Error) -> bool {
    error.raw_os_error() == Some(EMFILE)
}

/// Whether opening, binding or connecting a socket failed for a cause at this machine that may be over in a
/// moment, such as a lack of buffers or of local ports, or a network that is down.
pub fn is_local_fault(error: &std::io::Error) -> bool {
    const ENOMEM: i32 = 12;
    const EADDRNOTAVAIL: i32 = 99;
    const ENETDOWN: i32 = 100;
    const ENETUNREACH: i32 = 101;
    const ECONNABORTED: i32 = 103;
    const ENOBUFS: i32 = 105;
    const LOCAL: [i32; 6] = [ENOMEM, EADDRNOTAVAIL, ENETDOWN, ENETUNREACH, ECONNABORTED, ENOBUFS];
    out_of_descriptors(error) || error.raw_os_error().is_some_and(|number| LOCAL.contains(&number))
}

/// Opens a socket by `open`, which is repeated for some seconds while it fails for a cause that may be over in a
/// moment.
///
/// # Errors
///
/// The last error of `open`.
pub async fn open_with_retries<T, F: Future<Output = Result<T>>>(open: impl Fn() -> F) -> Result<T> {
    let started_at = Instant::now();
    loop {
        match open().await {
            Err(error) if is_local_fault(&error) && started_at.elapsed() < MAX_LOCAL_FAULT => {
                sleep(LOCAL_FAULT_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}
