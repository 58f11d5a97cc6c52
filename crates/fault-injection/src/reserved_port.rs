//! A port that stays reserved whether or not anything listens on it. A bound socket that never listens holds
//! it, so a backend can stop listening and restart at the same address without another process getting the
//! port meanwhile.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use tokio::net::TcpListener;

const LISTEN_BACKLOG: i32 = 1_024;

/// A reserved port of the loopback address; released when this is dropped.
pub struct ReservedPort {
    address: SocketAddr,
    _holder: Socket,
}

/// A listener that accepts nothing: its backlog is full, so new connections are never established.
pub struct SilentListener {
    _listener: Socket,
    _backlog_connections: Vec<TcpStream>,
}

fn bind(address: SocketAddr) -> Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(address))?;
    Ok(socket)
}

impl ReservedPort {
    /// Reserves a free port of the loopback address.
    pub fn take() -> Result<ReservedPort> {
        let holder = bind((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = holder.local_addr()?.as_socket();
        let address =
            address.ok_or_else(|| std::io::Error::other("the reserved TCP socket has no IP address"))?;
        Ok(ReservedPort { address, _holder: holder })
    }

    /// The address; connections to it are refused while nothing listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Starts a listener on the port.
    pub fn listen(&self) -> Result<TcpListener> {
        let socket = bind(self.address)?;
        socket.listen(LISTEN_BACKLOG)?;
        TcpListener::from_std(socket.into())
    }

    /// Starts a listener that accepts nothing, so the port behaves like that of a machine that is cut off
    /// from the network.
    pub fn listen_silently(&self) -> Result<SilentListener> {
        let socket = bind(self.address)?;
        socket.listen(0)?;
        let mut backlog_connections = Vec::new();
        // A backlog of 0 still accepts one connection; the second stays in progress.
        for _ in 0..2 {
            let connection = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
            connection.set_nonblocking(true)?;
            // Returns at once with an error, as the connection is in progress.
            let _ = connection.connect(&SockAddr::from(self.address));
            backlog_connections.push(connection.into());
        }
        Ok(SilentListener { _listener: socket, _backlog_connections: backlog_connections })
    }
}
