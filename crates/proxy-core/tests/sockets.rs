//! Closing a listener while clients connect to it.

use hillstall_proxy_core::sockets::{listen, stop_handshakes, MAX_HANDSHAKE_DURATION};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 4;
/// Number of times that a listener is opened and closed.
const ROUNDS: usize = 30;
/// Far longer than an accepted connection takes to get its response.
const READ_TIMEOUT: Duration = Duration::from_secs(10);
/// A connection that is not established within this time was ignored by the listener.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long connections are accepted before the listener is closed.
const ACCEPT_DURATION: Duration = Duration::from_millis(10);

/// A listener in blocking mode on a free port.
fn blocking_listener() -> TcpListener {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("build a runtime");
    let _entered = runtime.enter();
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("bind a listener");
    listener.into_std().expect("convert the listener")
}

/// Connects repeatedly until `stop` is set. Returns how many established connections got no response.
fn connect_until(stop: &AtomicBool, address: SocketAddr) -> usize {
    let mut lost = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { continue };
        stream.set_read_timeout(Some(READ_TIMEOUT)).expect("set the read timeout");
        let is_request_sent = stream.write_all(b"?").is_ok();
        let mut response = [0];
        lost += usize::from(!is_request_sent || !matches!(stream.read(&mut response), Ok(1)));
    }
    lost
}

fn respond(mut stream: TcpStream) {
    let mut request = [0];
    stream.set_nonblocking(false).expect("set blocking mode");
    let _ = stream.read(&mut request).and_then(|_| stream.write(b"!"));
}

/// Serves connections for [`ACCEPT_DURATION`], then closes the listener in the same way as the proxy.
fn serve_and_close(listener: TcpListener) {
    listener.set_nonblocking(true).expect("set non-blocking mode");
    let end = std::time::Instant::now() + ACCEPT_DURATION;
    while std::time::Instant::now() < end {
        match listener.accept() {
            Ok((stream, _)) => respond(stream),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
    }
    stop_handshakes(&listener).expect("the system has socket filters");
    thread::sleep(MAX_HANDSHAKE_DURATION);
    let queued: Vec<TcpStream> =
        std::iter::from_fn(|| listener.accept().ok()).map(|accepted| accepted.0).collect();
    drop(listener);
    queued.into_iter().for_each(respond);
}

// Guards against connections that the kernel completes between the last accept and the close: they would be
// reset.
#[test]
fn closing_a_listener_resets_no_established_connection() {
    let mut lost = 0;
    for _ in 0..ROUNDS {
        let listener = blocking_listener();
        let address = listener.local_addr().expect("read the listener address");
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let stop = stop.clone();
                thread::spawn(move || connect_until(&stop, address))
            })
            .collect();
        serve_and_close(listener);
        stop.store(true, Ordering::SeqCst);
        lost +=
            clients.into_iter().map(|client| client.join().expect("join the client thread")).sum::<usize>();
    }
    assert_eq!(lost, 0, "established connections without a response");
}
