//! Long requests to backends that reset their idle connections.

use super::*;
use socket2::SockRef;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::Arc;

/// Length of a request body that is streamed, in bytes.
const LONG_BODY: usize = 100_000;
const CLIENTS: usize = 4;
/// Number of connections that the backends reset before the test ends.
const MIN_RESETS: usize = 400;

/// A pause of 2 to 8 ms, different from one call to the next.
fn short_pause(number: usize) -> Duration {
    Duration::from_micros(2_000 + (number as u64 * 2_654_435_761) % 6_000)
}

/// Resets a connection once it has been idle for a few milliseconds; false if a request arrived first.
fn reset_if_idle(stream: &TcpStream, number: usize) -> bool {
    stream.set_read_timeout(Some(short_pause(number))).expect("the time-out is set");
    let is_idle = stream.peek(&mut [0]).is_err();
    if is_idle {
        SockRef::from(stream).set_linger(Some(Duration::ZERO)).expect("the close resets the connection");
    }
    stream.set_read_timeout(None).expect("the time-out is set");
    is_idle
}

/// Sends requests with long bodies until `is_over`, with a pause after each.
fn send_long_requests(address: std::net::SocketAddr, client: usize, framing: &str, is_over: &AtomicBool) {
    let body = pattern(LONG_BODY);
    let mut number = 0;
    while !is_over.load(Ordering::SeqCst) {
        number += 1;
        let head = build_request("keyed", &format!("c{client}-{number}"), 8_000, "")
            .replace("Content-Length: 0\r\n", &format!("{framing}\r\n"));
        let mut stream = connect_and_send(address, &head);
        if framing.starts_with("Content-Length") {
            stream.write_all(&body).expect("the body is written");
        } else {
            let size = format!("{LONG_BODY:x}\r\n");
            stream
                .write_all(&[size.as_bytes(), &body, b"\r\n0\r\n\r\n"].concat())
                .expect("the body is written");
        }
        // A request that meets many resets may be rejected or fail; what runs must be what was sent.
        assert!(read_response(&stream).is_some(), "request {number}");
        thread::sleep(short_pause(number));
    }
}

// Guards against a request that is sent again on a new connection without the part of its body that the first
// exchange had taken before it failed with nothing written.
#[test]
fn long_request_keeps_its_beginning_when_an_idle_connection_is_reset() {
    for framing in [format!("Content-Length: {LONG_BODY}"), "Transfer-Encoding: chunked".to_string()] {
        let resets = Arc::new(AtomicUsize::new(0));
        let backends = [(); 2].map(|()| {
            let resets = resets.clone();
            Backend::start(move |number, stream| {
                let is_answered = stream.write_all(OK.as_bytes()).is_ok();
                let is_reset = is_answered && reset_if_idle(stream, number);
                resets.fetch_add(usize::from(is_reset), Ordering::SeqCst);
                is_answered && !is_reset
            })
        });
        let (proxy, _discovery) = start_proxy(&[&backends[0], &backends[1]]);
        let is_over = AtomicBool::new(false);
        let (address, framing) = (proxy.address, &framing);
        thread::scope(|scope| {
            let is_over = &is_over;
            for client in 0..CLIENTS {
                scope.spawn(move || send_long_requests(address, client, framing, is_over));
            }
            wait_until("enough idle connections are reset", || resets.load(Ordering::SeqCst) >= MIN_RESETS);
            is_over.store(true, Ordering::SeqCst);
        });
        let body = pattern(LONG_BODY);
        for backend in &backends {
            let requests = backend.requests.lock().unwrap();
            let lengths =
                requests.iter().filter(|request| request.body != body).map(|request| request.body.len());
            assert_eq!(lengths.collect::<Vec<_>>(), [0; 0], "lengths of changed bodies, {framing}");
        }
    }
}
