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
