//! Requests with the id of another client's open request.

use super::*;
use std::sync::mpsc;
use std::sync::Mutex;

/// The id that two clients use.
const ID: &str = "9b1f03aa5c7e2d41";
/// Length of a response that no socket buffers hold, in bytes.
const LONG_RESPONSE: usize = 24 << 20;

/// How a backend of [`open_id_is_rejected_until_the_response_has_been_written`] frames its response.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// The head of a response, and the first part of its body.
fn response_start(framing: Framing) -> Vec<u8> {
    let (headers, body) = match framing {
        Framing::Length => (format!("Content-Length: {}", 300_000), vec![b'a'; 100_000]),
        Framing::Chunked => ("Transfer-Encoding: chunked".to_string(), b"2\r\nab\r\n".to_vec()),
        Framing::UntilClose => ("Connection: close".to_string(), b"ab".to_vec()),
    };
    [format!("HTTP/1.1 200 OK\r\n{headers}\r\n\r\n").as_bytes(), &body].concat()
}

/// The rest of the response; the backend then closes the connection.
fn response_rest(framing: Framing) -> Vec<u8> {
    match framing {
        Framing::Length => vec![b'a'; 200_000],
        Framing::Chunked => b"0\r\n\r\n".to_vec(),
        Framing::UntilClose => b"cd".to_vec(),
    }
}

// Guards against the id of a request being free again while its streamed response is on its way: another
// client's request with this id was run and served.
#[test]
fn open_id_is_rejected_until_the_response_has_been_written() {
    for framing in [Framing::Length, Framing::Chunked, Framing::UntilClose] {
        let (finish, may_finish) = mpsc::channel::<()>();
        let may_finish = Mutex::new(may_finish);
        let backend = Backend::start(move |number, stream| {
            if number > 0 {
                return stream.write_all(OK.as_bytes()).is_ok();
            }
            stream.write_all(&response_start(framing)).expect("the beginning is written");
            may_finish.lock().unwrap().recv_timeout(WAIT_TIMEOUT).expect("the other client has its answer");
            stream.write_all(&response_rest(framing)).expect("the rest is written");
            false
        });
        let (proxy, _discovery) = start_proxy(&[&backend]);
        let first = connect_and_send(proxy.address, &build_request("keyed", ID, 8_000, "x"));
        // The response is being forwarded once its first byte has arrived.
        first.peek(&mut [0]).expect("the response begins");
        let second = proxy.request(&build_request("keyed", ID, 8_000, "x"));
        finish.send(()).expect("the backend waits");
        assert_eq!(second.status(), 409, "{framing:?}");
        assert!(read_response(&first).is_some(), "{framing:?}");
        assert_eq!(backend.request_count(), 1, "{framing:?}");
        assert_eq!(proxy.request(&build_request("keyed", ID, 8_000, "x")).status(), 200, "{framing:?}");
    }
}

// Guards against the same while a client reads its response slowly: all of it has left the backend, but not
// the proxy.
#[test]
fn open_id_is_rejected_while_its_client_has_not_read_the_response() {
    let backend = Backend::start(|number, stream| {
        let body = if number == 0 { "y".repeat(LONG_RESPONSE) } else { "z".to_string() };
        stream.write_all(ok_response(&body).as_bytes()).is_ok()
    });
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let first = connect_and_send(proxy.address, &build_request("keyed", ID, 8_000, "x"));
    first.peek(&mut [0]).expect("the response begins");
    assert_eq!(proxy.request(&build_request("keyed", ID, 8_000, "x")).status(), 409);
    assert_eq!(read_response(&first).expect("a response").body.len(), LONG_RESPONSE);
    assert_eq!(proxy.request(&build_request("keyed", ID, 8_000, "x")).status(), 200);
    assert_eq!(backend.request_count(), 2);
}

/// How long a backend works on the first request of a test.
const WORK: Duration = Duration::from_millis(900);
/// Time between two steps of a test, while the first request is at its backend.
const STEP: Duration = Duration::from_millis(250);
/// How long clients wait, and how long backends drop a repetition, in these tests.
const WINDOW: Duration = Duration::from_millis(1_500);

/// A configuration in which clients wait for [`WINDOW`], and backends drop repetitions for as long.
fn config_with_short_window(discovery: &Discovery) -> String {
    platform_config(discovery.address, &endpoint_list(0, true, &[]))
        .replace(r#""Window":9000"#, r#""Window":1500"#)
}

/// A backend that works on its first request for [`WORK`].
fn slow_first_backend() -> Backend {
    Backend::start(|number, stream| {
        thread::sleep(if number == 0 { WORK } else { Duration::ZERO });
        stream.write_all(OK.as_bytes()).is_ok()
    })
}

// Guards against an id that runs a second time when it comes again after its client has left, while its first
// attempt may still run.
#[test]
fn id_of_a_departed_client_is_rejected_while_it_may_still_run() {
    let backend = slow_first_backend();
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let proxy = Proxy::start(&config_with_short_window(&discovery));
    let request = build_request("keyed", ID, WINDOW.as_millis() as u32, "x");
    let first = connect_and_send(proxy.address, &request);
    wait_until("the first request runs", || backend.request_count() == 1);
    drop(first);
    let left_at = Instant::now();
    for _ in 0..3 {
        thread::sleep(STEP);
        assert_eq!(proxy.request(&request).status(), 409);
    }
    wait_until("the id is available again", || proxy.request(&request).status() == 200);
    assert!(left_at.elapsed() >= WINDOW, "{:?}", left_at.elapsed());
    assert_eq!(backend.request_count(), 2);
}

// Guards against an id that is open at the older process of an upgrade and runs again at the newer one, also if
// its client has left.
#[test]
fn id_that_is_open_at_the_older_process_of_an_upgrade_is_rejected() {
    for leaves in [false, true] {
        let (finish, may_finish) = mpsc::channel::<()>();
        let may_finish = Mutex::new(may_finish);
        let backend = Backend::start(move |number, stream| {
            if number == 0 {
                let _ = may_finish.lock().unwrap().recv_timeout(WAIT_TIMEOUT);
            }
            stream.write_all(OK.as_bytes()).is_ok()
        });
        let discovery =
            Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
        let config = config_with_short_window(&discovery);
        let (older, _) = Proxy::start_with_admin(&config);
        let request = build_request("keyed", ID, 20_000, "x");
        let mut first = Some(connect_and_send(older.address, &request));
        wait_until("the first request runs", || backend.request_count() == 1);
        if leaves {
            first = None;
        }
        let (newer, _) = older.start_newer(&config);
        older.terminate();
        thread::sleep(STEP);
        // The older process accepts no connections any more.
        assert_eq!(newer.request(&request).status(), 409, "the client leaves: {leaves}");
        assert_eq!(backend.request_count(), 1);
        finish.send(()).expect("the backend waits");
        if let Some(first) = first {
            assert_eq!(read_response(&first).expect("a response").status(), 200);
            wait_until("the id is available again", || newer.request(&request).status() == 200);
        }
    }
}
