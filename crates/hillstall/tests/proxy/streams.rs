//! Messages that are too long to be buffered or slow, in every framing of HTTP/1.1.

use super::*;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::Arc;

/// A body length, in bytes, above that of all buffers between backend and client together.
const LONG_BODY: usize = 24 << 20;

/// Encodes a body in chunks of `size` bytes, with extensions and a trailer.
fn encode_chunked(body: &[u8], size: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in body.chunks(size) {
        text.extend_from_slice(format!("{:X};part=\"a\"\r\n", piece.len()).as_bytes());
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\nChecksum: 1\r\n\r\n");
    text
}

/// The head of a request of class `once`, with `framing` in place of `Content-Length: 0`.
fn post_head(id: &str, framing: &str) -> String {
    build_request("once", id, 20_000, "").replace("Content-Length: 0\r\n", &format!("{framing}\r\n"))
}

#[test]
fn responses_of_any_length_pass_in_every_framing() {
    for length in [0, 5, 70_000, 3 << 20] {
        let body = pattern(length);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let chunked_head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Checksum\r\n\r\n";
        let forms = [
            ([head.as_bytes(), &body[..]].concat(), true),
            ([chunked_head.as_bytes(), &encode_chunked(&body, 9_000)].concat(), true),
            ([b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", &body[..]].concat(), false),
            ([b"HTTP/1.0 200 OK\r\n\r\n", &body[..]].concat(), false),
        ];
        for (n, (text, stays)) in forms.into_iter().enumerate() {
            let backend = Backend::start(move |_, stream| stream.write_all(&text).is_ok() && stays);
            let (proxy, _discovery) = start_proxy(&[&backend]);
            for id in ["a1", "a2"] {
                let reply = proxy.request(&build_request("once", id, 20_000, "x"));
                assert_eq!(reply.status(), 200, "form {n}, {length} bytes");
                assert!(reply.body == body, "form {n}, {length} bytes: {}", reply.body.len());
            }
            let connections = backend.connections.load(Ordering::SeqCst);
            assert_eq!(connections, if stays { 1 } else { 2 }, "form {n}, {length} bytes");
        }
    }
}

#[test]
fn request_bodies_of_any_length_pass_in_every_framing() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    for length in [0, 5, 70_000, 3 << 20] {
        let body = pattern(length);
        let sized_head = post_head("b1", &format!("Content-Length: {length}"));
        let chunked_head = post_head("b2", "Transfer-Encoding: chunked");
        for request in [
            [sized_head.as_bytes(), &body[..]].concat(),
            [chunked_head.as_bytes(), &encode_chunked(&body, 5_000)].concat(),
        ] {
            let mut client = connect_and_send(proxy.address, "");
            // Two requests on one connection, so that the proxy must find the end of the first.
            for _ in 0..2 {
                client.write_all(&request).expect("the write succeeds");
                assert_eq!(read_response(&client).expect("a response").status(), 200);
                assert!(backend.requests.lock().unwrap().last().expect("a request").body == body, "{length}");
            }
        }
    }
}

#[test]
fn streamed_response_waits_for_its_reader_and_is_counted_at_its_end() {
    let (written, blocked) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (count, stuck) = (written.clone(), blocked.clone());
    let backend = Backend::start(move |_, stream| {
        stream.set_write_timeout(Some(Duration::from_millis(300))).expect("the time-out is set");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG_BODY}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head is written");
        let body = pattern(LONG_BODY);
        let mut left = &body[..];
        while !left.is_empty() {
            match stream.write(left) {
                Ok(n) => left = &left[n..],
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    stuck.store(true, Ordering::SeqCst);
                }
                Err(_) => return false,
            }
            count.store(LONG_BODY - left.len(), Ordering::SeqCst);
        }
        true
    });
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let (proxy, admin) =
        Proxy::start_with_admin(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
    let client = connect_and_send(proxy.address, &build_request("once", "c1", 20_000, "x"));
    wait_until("the backend's writes block", || {
        blocked.load(Ordering::SeqCst) || written.load(Ordering::SeqCst) == LONG_BODY
    });
    assert!(
        written.load(Ordering::SeqCst) < LONG_BODY / 2,
        "the proxy reads a response that its client does not"
    );
    assert_eq!((metric(admin, "svc_current"), metric(admin, "svc_answered{group=\"once\"}")), (1, 0));
    assert!(read_response(&client).expect("a response").body == pattern(LONG_BODY));
    wait_until("the response is counted", || metric(admin, "svc_answered{group=\"once\"}") == 1);
    assert_eq!(metric(admin, "svc_current"), 0);
}

#[test]
fn partly_sent_streamed_body_is_not_retried() {
    // Both backends close the connection in the middle of the request body.
    let cut = || {
        let (listener, address) = bind_free_port();
        let taken = Arc::new(AtomicUsize::new(0));
        let count = taken.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.expect("a connection");
                if stream.read_exact(&mut vec![0; 200_000]).is_ok() {
                    count.fetch_add(1, Ordering::SeqCst);
                }
            }
        });
        (address, taken)
    };
    let (first, second) = (cut(), cut());
    let entries = [endpoint("b0", first.0, "ready"), endpoint("b1", second.0, "ready")];
    let discovery = Discovery::start(Some(endpoint_list(5, true, &entries)));
    let proxy = Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
    let mut client = connect_and_send(proxy.address, &post_head("d1", "Content-Length: 8000000"));
    // The response may come before the whole body is written.
    client.write_all(&pattern(8_000_000)).expect("the proxy reads the rest");
    assert!(read_response(&client).expect("a response").status() >= 500);
    assert_eq!(first.1.load(Ordering::SeqCst) + second.1.load(Ordering::SeqCst), 1);
}

#[test]
fn rejection_reaches_a_client_that_is_still_sending() {
    let (proxy, _discovery) = start_proxy(&[]);
    let mut client = connect_and_send(proxy.address, &post_head("e1", "Content-Length: 8000000"));
    client.write_all(&pattern(8_000_000)).expect("the proxy reads the rest");
    let reply = read_response(&client).expect("a response");
    assert_eq!((reply.status(), reply.header("connection")), (503, Some("close")));
}

#[test]
fn broken_streamed_response_is_not_presented_as_complete() {
    let long = "y".repeat(100_000);
    let cases = [
        (format!("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{long}"), false),
        (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n{long}\r\n"), false),
        (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n{long}\r\nzz\r\n"), true),
        // Stays silent for longer than the stall time-out.
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n".to_string(), true),
    ];
    for (n, (text, stays)) in cases.into_iter().enumerate() {
        let backend = Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok() && stays);
        let (proxy, _discovery) = start_proxy(&[&backend]);
        let client = connect_and_send(proxy.address, &build_request("once", "f1", 20_000, "x"));
        let reply = read_response(&client);
        assert!(reply.is_none_or(|reply| reply.status() == 502), "case {n}");
    }
}

#[test]
fn expect_100_continue_is_answered() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let mut client =
        connect_and_send(proxy.address, &post_head("g1", "Content-Length: 4\r\nExpect: 100-continue"));
    assert_eq!(read_response(&client).expect("an interim response").status(), 100);
    client.write_all(b"body").expect("the write succeeds");
    assert_eq!(read_response(&client).expect("a response").status(), 200);
    let forwarded = backend.requests.lock().unwrap()[0].clone();
    assert_eq!((&forwarded.body[..], forwarded.header("expect")), (&b"body"[..], None));
}

#[test]
fn head_request_passes_without_a_body() {
    let backend = Backend::answering("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n");
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let client = connect_and_send(proxy.address, "");
    for _ in 0..2 {
        (&client)
            .write_all(build_request("read", "h1", 8_000, "").replacen("GET", "HEAD", 1).as_bytes())
            .expect("written");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            (&client).read_exact(&mut byte).expect("a head");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text").to_lowercase();
        assert!(head.starts_with("http/1.1 200") && head.contains("content-length: 70000"), "{head}");
    }
    assert!(backend.requests.lock().unwrap().iter().all(|seen| seen.head.starts_with("HEAD ")));
}

#[test]
fn slow_client_that_makes_progress_is_not_timed_out() {
    // The whole body takes longer than the time-out of a short request.
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let body = pattern(12 * 20_000);
    let mut client =
        connect_and_send(proxy.address, &post_head("i1", &format!("Content-Length: {}", body.len())));
    for piece in body.chunks(20_000) {
        thread::sleep(Duration::from_millis(300));
        client.write_all(piece).expect("the proxy keeps the connection open");
    }
    assert_eq!(read_response(&client).expect("a response").status(), 200);
    assert!(backend.requests.lock().unwrap()[0].body == body);
}

#[test]
fn silent_connections_are_closed_before_an_active_one() {
    let backend = Backend::answering(OK);
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let small = platform_config(discovery.address, &endpoint_list(0, true, &[]))
        .replace("\"sockets\":1024", "\"sockets\":64");
    let proxy = Proxy::start(&small);
    let request = build_request("read", "j1", 20_000, "");
    let (first, rest) = request.split_at(30);
    let mut client = connect_and_send(proxy.address, first);
    let silent: Vec<TcpStream> = (0..60).map(|_| connect_and_send(proxy.address, "")).collect();
    // The last of the silent connections is accepted only once an earlier one is closed.
    wait_until("a silent connection is closed", || {
        silent.iter().any(|stream| {
            stream.set_nonblocking(true).expect("it is set");
            !matches!((&*stream).read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
        })
    });
    client.write_all(rest.as_bytes()).expect("the connection is still open");
    assert_eq!(read_response(&client).expect("a response").status(), 200);
}
