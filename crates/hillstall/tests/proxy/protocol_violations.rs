//! Clients and backends that violate the protocol or use up resources: what the client gets, and what is not
//! forwarded.

use super::*;
use std::net::SocketAddr;

/// The time within which the proxy must react. Far above the time-outs that are tested here, and below all
/// longer ones, which would end the connections too.
const REACTION_LIMIT: Duration = Duration::from_secs(8);

/// Whether the proxy closes the connection within [`REACTION_LIMIT`], with or without a response, while it is
/// sent bytes of `feed` one at a time.
fn is_closed_soon(mut stream: TcpStream, feed: &[u8]) -> bool {
    let started = Instant::now();
    let mut feed = feed.iter().cycle();
    stream.set_read_timeout(Some(Duration::from_millis(100))).expect("the time-out is set");
    while started.elapsed() < REACTION_LIMIT {
        if let Some(byte) = feed.next() {
            if stream.write_all(&[*byte]).is_err() {
                return true;
            }
        }
        match stream.read(&mut [0; 256]) {
            Ok(0) => return true,
            Ok(_) => {}
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {}
            Err(_) => return true,
        }
    }
    false
}

/// Starts a proxy for one backend, with `from` replaced by `to` in its configuration.
fn start_with_limit(backend: &Backend, from: &str, to: &str) -> (Proxy, Discovery) {
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[])).replace(from, to);
    (Proxy::start_with_shell("ulimit -n 256; exec \"$0\"", &config), discovery)
}

#[test]
fn connections_with_unfinished_requests_are_closed() {
    // A silent connection, an endless head and a body that trickles in; the latter two also on a connection
    // that has carried a request before.
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let head = "GET /api/1 HTTP/1.1\r\nX: ";
    let body = build_request("once", "a1", 8_000, &"x".repeat(5_000)).trim_end_matches('x').to_string();
    let cases =
        [(false, "", ""), (false, head, "y"), (false, &*body, "x"), (true, head, "y"), (true, &*body, "x")];
    thread::scope(|scope| {
        for (n, (used, start, feed)) in cases.into_iter().enumerate() {
            let address = proxy.address;
            scope.spawn(move || {
                let first =
                    if used { build_request("read", &format!("u{n}"), 8_000, "") } else { String::new() };
                let mut stream = connect_and_send(address, &first);
                if used {
                    assert_eq!(read_response(&stream).expect("a response").status(), 200);
                }
                stream.write_all(start.as_bytes()).expect("the write succeeds");
                assert!(is_closed_soon(stream, feed.as_bytes()), "{used} {start}");
            });
        }
    });
    assert_eq!(backend.request_count(), 2, "only complete requests are forwarded");
}

#[test]
fn request_with_two_lengths_is_rejected_and_the_rest_is_not_read() {
    // Guards against request smuggling: hyper prefers the chunks and hides the Content-Length, so what one
    // reader takes for a body another takes for a request. Nor is anything read after any other invalid
    // request.
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let smuggled = build_request("once", "b2", 8_000, "x");
    let head = |lengths: &str| {
        build_request("once", "b1", 8_000, "").replace("Content-Length: 0\r\n", lengths)
            + "0\r\n\r\n"
            + &smuggled
    };
    let length = smuggled.len() + 5;
    for request in [
        head(&format!("Content-Length: {length}\r\nTransfer-Encoding: chunked\r\n")),
        head(&format!("Transfer-Encoding: chunked\r\nContent-Length: {length}\r\n")),
        build_request("unheard", "b1", 8_000, "") + &smuggled,
    ] {
        let stream = connect_and_send(proxy.address, &request);
        let mut reader = BufReader::new(stream);
        assert_eq!(Message::read(&mut reader).expect("a response").status(), 400, "{request}");
        assert!(Message::read(&mut reader).is_none(), "{request}");
    }
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn duplicate_id_of_an_open_request_is_rejected() {
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let first = connect_and_send(proxy.address, &build_request("once", "c1", 20_000, "x"));
    wait_until("the backend has the request", || backend.request_count() == 1);
    assert_eq!(proxy.request(&build_request("once", "c1", 20_000, "x")).status(), 409);
    assert_eq!(read_response(&first).expect("a response").status(), 200, "the first request is not affected");
    assert_eq!(backend.request_count(), 1);
    assert_eq!(
        proxy.request(&build_request("once", "c1", 20_000, "x")).status(),
        200,
        "the id can be used again"
    );
}

#[test]
fn oversized_body_is_rejected_by_its_head() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let request = build_request("once", "d1", 20_000, "").replace("Length: 0", "Length: 60000000");
    let sent_at = Instant::now();
    assert_eq!(proxy.request(&request).status(), 413);
    assert!(sent_at.elapsed() < REACTION_LIMIT);
    assert_eq!(backend.request_count(), 0);
}

#[test]
fn invalid_work_hints_and_excessive_timeouts_are_bounded() {
    let backend = Backend::start(|n, stream| n > 5 || stream.write_all(OK.as_bytes()).is_ok());
    let (proxy, _discovery) = start_with_limit(&backend, "20000", "700");
    for (n, hint) in ["NaN", "inf", "-inf", "-5", "1e999", "much"].iter().enumerate() {
        let hinted = build_request("read", &format!("e{n}"), 600, "").replace("\r\n\r\n", "\r\nWork-Hint: ");
        assert_eq!(proxy.request(&format!("{hinted}{hint}\r\n\r\n")).status(), 200, "{hint}");
    }
    let sent_at = Instant::now();
    assert_eq!(proxy.request(&build_request("once", "e9", u32::MAX, "x")).status(), 502);
    assert!(sent_at.elapsed() < REACTION_LIMIT, "the hard limit of the class bounds the timeout");
}

#[test]
fn buffered_bodies_are_limited_by_memory() {
    // Of 1 MB a quarter is for bodies: four of the largest size that is buffered.
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_with_limit(&backend, "\"memory_mb\":192", "\"memory_mb\":1");
    let large = |id: &str| build_request("once", id, 8_000, &"x".repeat(64 * 1024));
    let incomplete: Vec<TcpStream> = (0..4)
        .map(|n| {
            let request = large(&format!("f{n}"));
            connect_and_send(proxy.address, &request[..request.len() - 1])
        })
        .collect();
    wait_until("there is no room", || {
        proxy.request(&build_request("once", "f5", 8_000, "x")).status() == 503
    });
    drop(incomplete);
    wait_until("there is room again", || {
        proxy.request(&build_request("once", "f6", 8_000, "x")).status() == 200
    });
}

#[test]
fn connection_flood_does_not_displace_regular_clients() {
    let backend = Backend::start(|n, stream| {
        if n > 0 {
            thread::sleep(Duration::from_millis(300));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, _discovery) = start_with_limit(&backend, "\"sockets\":1024", "\"sockets\":256");
    let mut regular = connect_and_send(proxy.address, &build_request("read", "g0", 20_000, ""));
    assert_eq!(read_response(&regular).expect("a response").status(), 200);
    // Connections without a request, and those with only health checks, must not displace regular clients.
    let irregular = ["", "GET /up HTTP/1.1\r\nHost: p\r\n\r\n"];
    let flood: Vec<TcpStream> =
        (0..600).map(|n| connect_and_send(proxy.address, irregular[n / 300])).collect();
    let fresh: Vec<TcpStream> = (0..4)
        .map(|n| connect_and_send(proxy.address, &build_request("read", &format!("h{n}"), 20_000, "")))
        .collect();
    regular.write_all(build_request("read", "g1", 20_000, "").as_bytes()).expect("it is still open");
    assert_eq!(read_response(&regular).expect("a response").status(), 200);
    fresh.iter().for_each(|client| assert_eq!(read_response(client).expect("a response").status(), 200));
    assert!(proxy.is_running());
    drop(flood);
}

/// A backend that answers its first requests with the given responses, and all later ones with 200.
fn answering_first(first: &'static [&'static str]) -> Backend {
    Backend::start(move |n, stream| stream.write_all(first.get(n).unwrap_or(&OK).as_bytes()).is_ok())
}

#[test]
fn bytes_after_a_response_are_not_taken_for_the_next_response() {
    let twice: &str =
        Box::leak(format!("{OK}HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong").into_boxed_str());
    let backend = Backend::start(move |n, stream| {
        let text = [twice, OK, OK].get(n).copied().unwrap_or(OK);
        let _ = stream.write_all(text.as_bytes());
        if n == 1 {
            // After the check that precedes the return of the connection to the pool.
            thread::sleep(Duration::from_millis(100));
            let _ = stream.write_all(b"noise\r\n\r\n");
        }
        true
    });
    let (proxy, _discovery) = start_proxy(&[&backend]);
    for n in 0..4 {
        let reply = proxy.request(&build_request("once", &format!("i{n}"), 8_000, "x"));
        assert_eq!((reply.status(), &reply.body[..]), (200, &b"hello"[..]));
        thread::sleep(Duration::from_millis(300));
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 3);
}

#[test]
fn response_with_invalid_framing_fails_at_once() {
    // The connection stays open and silent, so only the framing of the response shows that it is invalid.
    for text in [
        "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 3\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\nzz\r\n",
    ] {
        let backend = Backend::answering(text);
        let (proxy, _discovery) = start_proxy(&[&backend]);
        let sent_at = Instant::now();
        assert_eq!(proxy.request(&build_request("once", "j1", 20_000, "x")).status(), 502, "{text}");
        assert!(sent_at.elapsed() < REACTION_LIMIT, "{text}");
        assert_eq!(backend.request_count(), 1, "retried although it may have run: {text}");
    }
}

#[test]
fn interim_responses_and_malformed_load_reports_are_tolerated() {
    let backend = answering_first(&[
        "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nServer-Load: inflight=NaN,queue=-1,util\r\nContent-Length: 5\r\n\r\nhello",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
    ]);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    for n in 0..3 {
        let reply = proxy.request(&build_request("once", &format!("l{n}"), 8_000, "x"));
        assert_eq!((reply.status(), &reply.body[..]), (200, &b"hello"[..]), "{n}");
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1);
}

#[test]
fn malformed_response_closes_only_its_own_connection() {
    // Guards against a malformed response that closes all idle connections to its backend, which is followed
    // by a burst of new ones.
    let backend = Backend::start(|n, stream| {
        if n < 2 {
            thread::sleep(Duration::from_millis(500));
        }
        stream.write_all(if n == 2 { "noise\r\n\r\n" } else { OK }.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let both =
        ["m1", "m2"].map(|id| connect_and_send(proxy.address, &build_request("once", id, 20_000, "x")));
    both.iter().for_each(|client| assert_eq!(read_response(client).expect("a response").status(), 200));
    assert_eq!(proxy.request(&build_request("once", "m3", 8_000, "x")).status(), 502);
    assert_eq!(proxy.request(&build_request("once", "m4", 8_000, "x")).status(), 200);
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2, "the other connection is kept");
}

#[test]
fn client_error_response_is_forwarded_and_not_retried() {
    let not_found = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n";
    let (first, second) = (Backend::answering(not_found), Backend::answering(not_found));
    let (proxy, _discovery) = start_proxy(&[&first, &second]);
    assert_eq!(proxy.request(&build_request("read", "n1", 8_000, "")).status(), 404);
    assert_eq!(first.request_count() + second.request_count(), 1);
}

#[test]
fn connection_to_a_former_address_is_not_pooled() {
    // Guards against a connection that is in use while its backend changes address, is pooled after the
    // response, and carries requests for the new backend to the old address.
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(700));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, discovery) = start_proxy(&[&backend]);
    let client = connect_and_send(proxy.address, &build_request("once", "o1", 20_000, "x"));
    wait_until("the backend has the request", || backend.request_count() == 1);
    let elsewhere: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    discovery.send_to_watches(&endpoint_list(6, false, &[endpoint("b0", elsewhere, "ready")]));
    assert_eq!(read_response(&client).expect("a response").status(), 200);
    wait_until("it is closed", || backend.closed.load(Ordering::SeqCst) == 1);
}

#[test]
fn sent_responses_release_their_memory_on_idle_connections() {
    // Memory for four such bodies. Guards against responses that stay buffered until the next request on the
    // connection, or until it is closed as idle.
    let large: &str = Box::leak(ok_response(&"y".repeat(60 * 1024)).into_boxed_str());
    let backend = Backend::start(move |n, stream| {
        let text = if n % 5 == 4 { OK } else { large };
        stream.write_all(text.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = start_with_limit(&backend, "\"memory_mb\":192", "\"memory_mb\":1");
    let (started, mut idle) = (Instant::now(), Vec::new());
    for round in 0..3 {
        for n in 0..4 {
            let client =
                connect_and_send(proxy.address, &build_request("read", &format!("p{round}-{n}"), 8_000, ""));
            assert_eq!(read_response(&client).expect("a response").status(), 200);
            idle.push(client);
        }
        let body = build_request("once", &format!("q{round}"), 8_000, &"x".repeat(60 * 1024));
        wait_until("there is room", || proxy.request(&body).status() == 200);
    }
    assert!(started.elapsed() < REACTION_LIMIT);
}
