//! Clients that send the beginning of a request together with the whole request before it, and stop there.

use super::*;

/// How long a client may take to send a request in these tests.
const REQUEST_TIMEOUT: &str = "1s";
/// How long the backend takes to answer the first of two requests: longer than the request timeout.
const SLOW_RESPONSE: Duration = Duration::from_millis(1_500);
/// A pause that is shorter than the request timeout.
const SHORT_PAUSE: Duration = Duration::from_millis(400);
/// Length of a response that is streamed, in bytes.
const LONG_RESPONSE_BYTES: usize = 300_000;

/// A proxy with a short request timeout, in front of this backend.
fn start_with_request_timeout(backend: &Backend) -> (Proxy, std::net::SocketAddr, Discovery) {
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let (listener, admin) = bind_free_port();
    drop(listener);
    let line =
        format!("HILLSTALL_CALLERS_REQUEST_TIME={REQUEST_TIMEOUT} NODE_ADMIN_ADDR={admin} exec \"$0\"");
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
    (Proxy::start_with_shell(&line, &config), admin, discovery)
}

/// A request of class `once` with a body, split after `at` bytes.
fn split_request(id: &str, at: usize) -> (String, String) {
    let request = build_request("once", id, 8_000, "0123456789");
    let (beginning, rest) = request.split_at(at);
    (beginning.to_string(), rest.to_string())
}

/// Number of bytes of the parts of a request at which a client may stop: in the request line, in the headers,
/// after the head, and in the body.
fn stops() -> [usize; 4] {
    let head = build_request("once", "x", 8_000, "0123456789").len() - 10;
    [1, 40, head, head + 5]
}

// Guards against a connection that stays open for ever because the beginning of its second request was read
// together with the first request.
#[test]
fn unfinished_request_behind_another_is_closed() {
    let backend = Backend::answering(OK);
    let (proxy, _admin, _discovery) = start_with_request_timeout(&backend);
    thread::scope(|scope| {
        for at in stops() {
            let address = proxy.address;
            scope.spawn(move || {
                let first = build_request("once", &format!("a{at}"), 8_000, "first");
                let client = connect_and_send(address, &(first + &split_request("x", at).0));
                let mut reader = BufReader::new(client);
                assert_eq!(Message::read(&mut reader).expect("a response").status(), 200);
                let end = reader.read(&mut [0; 1]);
                let is_closed = match &end {
                    Ok(length) => *length == 0,
                    Err(error) => error.kind() == ErrorKind::ConnectionReset,
                };
                assert!(is_closed, "stopped after {at} bytes: {end:?}");
            });
        }
    });
    assert_eq!(backend.request_count(), stops().len(), "only complete requests are forwarded");
}

// Guards against the same behind a response that is streamed, or that takes longer than the request timeout.
#[test]
fn unfinished_request_behind_a_long_response_is_closed() {
    let backend = Backend::start(|number, stream| {
        if number == 0 {
            thread::sleep(SLOW_RESPONSE);
            return stream.write_all(OK.as_bytes()).is_ok();
        }
        stream.write_all(ok_response(&"y".repeat(LONG_RESPONSE_BYTES)).as_bytes()).is_ok()
    });
    let (proxy, _admin, _discovery) = start_with_request_timeout(&backend);
    for id in ["b0", "b1"] {
        let requests = build_request("once", id, 8_000, "first") + &split_request("x", 40).0;
        let mut reader = BufReader::new(connect_and_send(proxy.address, &requests));
        assert_eq!(Message::read(&mut reader).expect("a response").status(), 200, "{id}");
        assert!(reader.read(&mut [0; 1]).is_ok_and(|length| length == 0), "{id}: the connection stays open");
    }
}

// Guards against closing the connection of a client that continues its second request in time, even if the
// proxy could not read the rest earlier because the first response took longer than the request timeout.
#[test]
fn second_request_that_is_continued_in_time_is_served() {
    // Every other client waits long for the first of its two responses, and sends the rest before that.
    let backend = Backend::start(|number, stream| {
        thread::sleep(if number % 4 == 0 { SLOW_RESPONSE } else { Duration::ZERO });
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _admin, _discovery) = start_with_request_timeout(&backend);
    for (number, at) in stops().into_iter().enumerate() {
        let (beginning, rest) = split_request(&format!("d{number}"), at);
        let first = build_request("once", &format!("c{number}"), 8_000, "first");
        let client = connect_and_send(proxy.address, &(first + &beginning));
        let mut reader = BufReader::new(client.try_clone().expect("a second handle"));
        thread::sleep(SHORT_PAUSE);
        (&client).write_all(rest.as_bytes()).expect("the connection is open");
        for response in ["first", "second"] {
            assert_eq!(Message::read(&mut reader).expect(response).status(), 200, "stopped after {at} bytes");
        }
    }
}

// Guards against a drain that leaves such a connection open.
#[test]
fn unfinished_request_behind_another_is_closed_in_a_drain() {
    let backend = Backend::answering(OK);
    let (proxy, admin, _discovery) = start_with_request_timeout(&backend);
    let requests = build_request("once", "e0", 8_000, "first") + &split_request("x", 40).0;
    let mut reader = BufReader::new(connect_and_send(proxy.address, &requests));
    assert_eq!(Message::read(&mut reader).expect("a response").status(), 200);
    assert!(admin_command(admin, "LAMEDUCK\n").starts_with("200"));
    assert!(reader.read(&mut [0; 1]).is_ok_and(|length| length == 0), "the connection stays open");
}
