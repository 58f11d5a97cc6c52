//! Backends that write a long response slowly, or read a long request slowly or not at all.

use super::*;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;

/// Length of a response that is streamed, in bytes.
const LONG_RESPONSE: usize = 200_000;
/// How long a backend takes between the head of a response and its body: longer than the timeout of an attempt
/// after some quick ones.
const BODY_DELAY: Duration = Duration::from_millis(800);
/// How long the clients of long requests wait for the response, from their last byte on, in milliseconds.
const CLIENT_TIMEOUT_MS: u32 = 600;
/// A response that comes so long after the client's time has no effect, and a later one is lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// Length of a request of which the systems hold all that the proxy does not read, in bytes.
const LONG_REQUEST: usize = 320_000;
/// Number of quick requests from which the proxy learns how long an attempt takes.
const QUICK_REQUESTS: usize = 30;

/// The response to a request for a late body, whose head comes at once; false to close the connection.
fn answer_late(stream: &mut TcpStream, framing: &str) -> std::io::Result<bool> {
    let is_chunked = framing.starts_with("Transfer-Encoding");
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes())?;
    thread::sleep(BODY_DELAY);
    let body = pattern(LONG_RESPONSE);
    for piece in body.chunks(20_000) {
        if is_chunked {
            stream.write_all(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat())?;
        } else {
            stream.write_all(piece)?;
        }
        thread::sleep(Duration::from_millis(20));
    }
    if is_chunked {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(!framing.starts_with("Connection"))
}

// Guards against an attempt that is cut off for a retry although its response has begun: the head was there,
// and the backend took its time for the body.
#[test]
fn long_response_whose_body_begins_late_is_not_cut_off() {
    for framing in [
        format!("Content-Length: {LONG_RESPONSE}"),
        "Transfer-Encoding: chunked".into(),
        "Connection: close".into(),
    ] {
        let cut_off = Arc::new(AtomicUsize::new(0));
        let backends = [(); 2].map(|()| {
            let (cut_off, framing) = (cut_off.clone(), framing.clone());
            let answered = AtomicUsize::new(0);
            Backend::start(move |_, stream| {
                if answered.fetch_add(1, Ordering::SeqCst) < QUICK_REQUESTS / 3 {
                    return stream.write_all(OK.as_bytes()).is_ok();
                }
                answer_late(stream, &framing).unwrap_or_else(|_| {
                    cut_off.fetch_add(1, Ordering::SeqCst);
                    false
                })
            })
        });
        let (proxy, _discovery) = start_proxy(&[&backends[0], &backends[1]]);
        for n in 0..QUICK_REQUESTS {
            let reply = proxy.request(&build_request("keyed", &format!("q{n}"), 8_000, "x"));
            assert_eq!(reply.status(), 200, "{framing}: request {n}");
            assert!(reply.body == b"hello" || reply.body == pattern(LONG_RESPONSE), "{framing}: request {n}");
            if reply.body.len() == LONG_RESPONSE {
                break;
            }
        }
        assert_eq!(cut_off.load(Ordering::SeqCst), 0, "responses cut off, {framing}");
    }
}

/// Reads the rest of a request, whose body has `total` bytes or more on the wire, at this speed; false if the
/// connection ends before.
fn read_slowly(stream: &mut TcpStream, is_chunked: bool, total: usize, bytes_per_second: usize) -> bool {
    let started_at = Instant::now();
    let (mut bytes_read, mut piece) = (0, [0; 4_096]);
    loop {
        let length = stream.read(&mut piece).unwrap_or(0);
        bytes_read += length;
        if length == 0 || (bytes_read >= total && (!is_chunked || piece[..length].ends_with(b"0\r\n\r\n"))) {
            return length > 0;
        }
        let due = Duration::from_micros((bytes_read * 1_000_000 / bytes_per_second) as u64);
        thread::sleep(due.saturating_sub(started_at.elapsed()));
    }
}

/// A backend that reads `bytes_per_second` of a long request with a body of `total` bytes, or nothing of it if
/// that is 0, through a small buffer, and then answers. It answers short requests at once.
fn slow_reader(bytes_per_second: usize, total: usize) -> SocketAddr {
    let (listener, address) = bind_free_port();
    SockRef::from(&listener).set_recv_buffer_size(8 * 1024).expect("the buffer is set");
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            thread::spawn(move || loop {
                let (mut head, mut byte) = (Vec::new(), [0]);
                while !head.ends_with(b"\r\n\r\n") {
                    if stream.read(&mut byte).unwrap_or(0) == 0 {
                        return;
                    }
                    head.push(byte[0]);
                }
                let head = String::from_utf8(head).expect("text").to_lowercase();
                let is_chunked = head.contains("transfer-encoding");
                let is_read = if head.contains("content-length: 1\r\n") {
                    stream.read_exact(&mut byte).is_ok()
                } else if bytes_per_second == 0 {
                    thread::sleep(WAIT_TIMEOUT);
                    false
                } else {
                    read_slowly(&mut stream, is_chunked, total, bytes_per_second)
                };
                if !is_read || stream.write_all(OK.as_bytes()).is_err() {
                    return;
                }
            });
        }
    });
    address
}

/// Sends a long request and returns its status, and how long after its last byte was written it came.
fn send_long_request(proxy: &Proxy, id: &str, is_chunked: bool) -> (u16, Duration) {
    let framing = if is_chunked {
        "Transfer-Encoding: chunked".to_string()
    } else {
        format!("Content-Length: {LONG_REQUEST}")
    };
    let head = build_request("keyed", id, CLIENT_TIMEOUT_MS, "").replace("Content-Length: 0", &framing);
    let mut body = pattern(LONG_REQUEST);
    if is_chunked {
        body = [format!("{LONG_REQUEST:x}\r\n").as_bytes(), &body, b"\r\n0\r\n\r\n"].concat();
    }
    let mut client = connect_and_send(proxy.address, &head);
    client.write_all(&body).expect("the body is written");
    let written_at = Instant::now();
    let reply = read_response(&client).expect("a response");
    (reply.status(), written_at.elapsed())
}

// Guards against a response that comes seconds after the client's time, because the last byte of the request
// waits in a buffer of the system while the backend does not read.
#[test]
fn long_request_to_a_backend_that_does_not_read_is_answered_in_time() {
    for (bytes_per_second, is_chunked) in [(0, false), (0, true), (100_000, false), (100_000, true)] {
        let address = slow_reader(bytes_per_second, LONG_REQUEST);
        let discovery = Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", address, "ready")])));
        let proxy = Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
        let (status, after) = send_long_request(&proxy, "s1", is_chunked);
        let limit = Duration::from_millis(u64::from(CLIENT_TIMEOUT_MS)) + MAX_LATENESS;
        assert!(
            status != 200 && after < limit,
            "{bytes_per_second} bytes a second: {status} after {after:?}"
        );
    }
}

/// Sends a long request in small pieces with a pause after each, through a small buffer, so that its last byte
/// is written late. Returns the status of the response.
fn send_slowly(proxy: &Proxy, length: usize, is_chunked: bool, pause: Duration) -> u16 {
    let framing =
        if is_chunked { "Transfer-Encoding: chunked".into() } else { format!("Content-Length: {length}") };
    let head = build_request("keyed", "u1", CLIENT_TIMEOUT_MS, "").replace("Content-Length: 0", &framing);
    let client = TcpStream::connect(proxy.address).expect("a connection");
    SockRef::from(&client).set_send_buffer_size(32 * 1024).expect("the buffer is set");
    client.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
    let mut writer = &client;
    writer.write_all(head.as_bytes()).expect("the head is written");
    for piece in pattern(length).chunks(5_000) {
        let chunk = [format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat();
        writer.write_all(if is_chunked { &chunk } else { piece }).expect("a piece is written");
        thread::sleep(pause);
    }
    writer.write_all(if is_chunked { b"0\r\n\r\n" } else { b"" }).expect("the end is written");
    read_response(&client).expect("a response").status()
}

// Guards against an attempt that ends before the client's time is over although its request can't be sent
// again: the timeout of an attempt counted from the last byte that the proxy had read, which the backend may
// read much later. A client has its whole time from its last byte on, whether it or the backend is the slower
// one.
#[test]
fn slow_long_request_is_served_if_its_last_byte_is_late() {
    let slow = slow_reader(2_000_000, 3_000_000);
    let quick = Backend::answering(OK);
    let cases = [(slow, 3_000_000, Duration::ZERO), (quick.address, 200_000, Duration::from_millis(80))];
    for (address, length, pause) in cases {
        for is_chunked in [false, true] {
            let discovery =
                Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", address, "ready")])));
            let proxy = Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
            for n in 0..QUICK_REQUESTS * 10 {
                let reply = proxy.request(&build_request("keyed", &format!("q{n}"), 8_000, "x"));
                assert_eq!(reply.status(), 200, "request {n}");
            }
            let status = send_slowly(&proxy, length, is_chunked, pause);
            assert_eq!(status, 200, "{length} bytes, chunked: {is_chunked}");
        }
    }
}
