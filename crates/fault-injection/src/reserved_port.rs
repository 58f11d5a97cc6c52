//! A port that stays reserved whether anybody listens on it or not: a socket that is bound and never listens keeps it. So
//! a backend can restart at its address, and nobody else gets the port meanwhile.

use socket2::{Domain, Protocol, SockAddr, Socket, Type};
use std::io::Result;
use std::net::{Ipv4Addr, SocketAddr, TcpStream};
use tokio::net::TcpListener;

const BACKLOG: i32 = 1_024;

/// A reserved port.
pub struct ReservedPort {
    address: SocketAddr,
    _holder: Socket,
}

/// A listener that accepts nothing: its backlog is full, so connections never come up.
pub struct SilentListener {
    _listener: Socket,
    _filler: Vec<TcpStream>,
}

fn bound(address: SocketAddr) -> Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_reuse_port(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&SockAddr::from(address))?;
    Ok(socket)
}

impl ReservedPort {
    /// A free port of the loopback address.
    pub fn take() -> Result<ReservedPort> {
        let holder = bound((Ipv4Addr::LOCALHOST, 0).into())?;
        let address = holder.local_addr()?.as_socket();
        let address = address.ok_or_else(|| std::io::Error::other("a TCP socket without an address"))?;
        Ok(ReservedPort { address, _holder: holder })
    }

    /// Its address. Connections are refused while nobody listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Listens.
    pub fn listen(&self) -> Result<TcpListener> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        TcpListener::from_std(socket.into())
    }

    /// Listens and accepts nothing, like a machine that is cut off.
    pub fn listen_silently(&self) -> Result<SilentListener> {
        let socket = bound(self.address)?;
        socket.listen(0)?;
        let mut filler = Vec::new();
        // A backlog of 0 has room for one.
        for _ in 0..2 {
            let one = Socket::new(Domain::IPV4, Type::STREAM, Some(Protocol::TCP))?;
            one.set_nonblocking(true)?;
            // The connection stays in progress.
            let _ = one.connect(&SockAddr::from(self.address));
            filler.push(one.into());
        }
        Ok(SilentListener { _listener: socket, _filler: filler })
    }
}
