//! Closing a listener while clients connect.

use hillstall_proxy_core::sockets::{listen, stop_handshakes, MAX_HANDSHAKE_DURATION};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const CLIENTS: usize = 4;
/// How often a listener is closed.
const ROUNDS: usize = 30;
/// Far above what a connection takes that is accepted.
const PATIENCE: Duration = Duration::from_secs(10);
/// A connection that does not come up within this was not taken.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);
/// How long connections are accepted before the listener is closed.
const SERVING: Duration = Duration::from_millis(10);

/// A listener at a free port, which blocks.
fn blocking_listener() -> TcpListener {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    let _entered = runtime.enter();
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).expect("a port");
    listener.into_std().expect("a listener")
}

/// Connects again and again. Returns how many connections came up and got no answer.
fn connect_until(stop: &AtomicBool, address: SocketAddr) -> usize {
    let mut lost = 0;
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut stream) = TcpStream::connect_timeout(&address, CONNECT_TIMEOUT) else { continue };
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let asked = stream.write_all(b"?").is_ok();
        let mut answer = [0];
        lost += usize::from(!asked || !matches!(stream.read(&mut answer), Ok(1)));
    }
    lost
}

fn answer(mut stream: TcpStream) {
    let mut asked = [0];
    stream.set_nonblocking(false).expect("it can block");
    let _ = stream.read(&mut asked).and_then(|_| stream.write(b"!"));
}

/// Accepts for a while, then closes the listener as a proxy does.
fn serve_and_close(listener: TcpListener) {
    listener.set_nonblocking(true).expect("it need not block");
    let end = std::time::Instant::now() + SERVING;
    while std::time::Instant::now() < end {
        match listener.accept() {
            Ok((stream, _)) => answer(stream),
            Err(error) => assert_eq!(error.kind(), ErrorKind::WouldBlock),
        }
    }
    stop_handshakes(&listener).expect("the system has socket filters");
    thread::sleep(MAX_HANDSHAKE_DURATION);
    let queued: Vec<TcpStream> = std::iter::from_fn(|| listener.accept().ok()).map(|taken| taken.0).collect();
    drop(listener);
    queued.into_iter().for_each(answer);
}

// Guards against connections that the system completes between the last accept and the close, which are reset.
#[test]
fn no_connection_that_came_up_is_reset_with_its_listener() {
    let mut lost = 0;
    for _ in 0..ROUNDS {
        let listener = blocking_listener();
        let address = listener.local_addr().expect("its address");
        let stop = Arc::new(AtomicBool::new(false));
        let clients: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let stop = stop.clone();
                thread::spawn(move || connect_until(&stop, address))
            })
            .collect();
        serve_and_close(listener);
        stop.store(true, Ordering::SeqCst);
        lost += clients.into_iter().map(|client| client.join().expect("it ends")).sum::<usize>();
    }
    assert_eq!(lost, 0, "connections were reset");
}
