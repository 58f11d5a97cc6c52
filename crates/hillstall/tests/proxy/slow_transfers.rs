//! Backends that write a long response slowly, or read a long request slowly or not at all.

use super::*;
use std::sync::atomic::AtomicUsize;
use std::sync::Arc;

/// Length of a response that is streamed, in bytes.
const LONG_RESPONSE: usize = 200_000;
/// How long a backend takes between the head of a response and its body: longer than the timeout of an attempt
/// after some quick ones.
const BODY_DELAY: Duration = Duration::from_millis(800);
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
