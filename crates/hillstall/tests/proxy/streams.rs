//! Messages too long to be held, slow ones, and every form in which HTTP/1.1 sends them.

use super::*;
use std::sync::atomic::{AtomicBool, AtomicUsize};
use std::sync::Arc;

/// More than both sides' buffers hold together.
const LONG: usize = 24 << 20;

fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i * 31 % 251) as u8).collect()
}

/// A body in chunks with extensions and a trailer.
fn in_chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut text = Vec::new();
    for piece in body.chunks(size) {
        text.extend_from_slice(format!("{:X};part=\"a\"\r\n", piece.len()).as_bytes());
        text.extend_from_slice(piece);
        text.extend_from_slice(b"\r\n");
    }
    text.extend_from_slice(b"0\r\nChecksum: 1\r\n\r\n");
    text
}

/// A request of class `once` whose body comes in another form.
fn post(id: &str, form: &str) -> String {
    ask("once", id, 20_000, "").replace("Content-Length: 0\r\n", &format!("{form}\r\n"))
}

#[test]
fn answers_of_any_length_pass_in_every_form() {
    for length in [0, 5, 70_000, 3 << 20] {
        let body = pattern(length);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n");
        let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: Checksum\r\n\r\n";
        let forms = [
            ([head.as_bytes(), &body[..]].concat(), true),
            ([chunked.as_bytes(), &in_chunks(&body, 9_000)].concat(), true),
            ([b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n", &body[..]].concat(), false),
            ([b"HTTP/1.0 200 OK\r\n\r\n", &body[..]].concat(), false),
        ];
        for (n, (text, stays)) in forms.into_iter().enumerate() {
            let backend = Backend::start(move |_, stream| stream.write_all(&text).is_ok() && stays);
            let (proxy, _discovery) = before(&[&backend]);
            for id in ["a1", "a2"] {
                let reply = proxy.call(&ask("once", id, 20_000, "x"));
                assert_eq!(reply.status(), 200, "form {n}, {length} bytes");
                assert!(reply.body == body, "form {n}, {length} bytes: {}", reply.body.len());
            }
            let connections = backend.connections.load(Ordering::SeqCst);
            assert_eq!(connections, if stays { 1 } else { 2 }, "form {n}, {length} bytes");
        }
    }
}

#[test]
fn bodies_of_any_length_pass_in_every_form() {
    let backend = Backend::saying(OK);
    let (proxy, _discovery) = before(&[&backend]);
    for length in [0, 5, 70_000, 3 << 20] {
        let body = pattern(length);
        let known = post("b1", &format!("Content-Length: {length}"));
        let chunked = post("b2", "Transfer-Encoding: chunked");
        for request in
            [[known.as_bytes(), &body[..]].concat(), [chunked.as_bytes(), &in_chunks(&body, 5_000)].concat()]
        {
            let mut caller = open(proxy.address, "");
            // Two on one connection: the end of the first must be found.
            for _ in 0..2 {
                caller.write_all(&request).expect("it is written");
                assert_eq!(answer(&caller).expect("an answer").status(), 200);
                assert!(backend.seen.lock().unwrap().last().expect("a request").body == body, "{length}");
            }
        }
    }
}

#[test]
fn a_long_answer_waits_for_its_reader_and_is_counted_when_it_ends() {
    let (written, blocked) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicBool::new(false)));
    let (count, stuck) = (written.clone(), blocked.clone());
    let backend = Backend::start(move |_, stream| {
        stream.set_write_timeout(Some(Duration::from_millis(300))).expect("a time-out");
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {LONG}\r\n\r\n");
        stream.write_all(head.as_bytes()).expect("the head is written");
        let body = pattern(LONG);
        let mut left = &body[..];
        while !left.is_empty() {
            match stream.write(left) {
                Ok(n) => left = &left[n..],
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut) => {
                    stuck.store(true, Ordering::SeqCst);
                }
                Err(_) => return false,
            }
            count.store(LONG - left.len(), Ordering::SeqCst);
        }
        true
    });
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])));
    let (proxy, admin) = Proxy::start_operated(&config(discovery.address, &list(0, true, &[])));
    let caller = open(proxy.address, &ask("once", "c1", 20_000, "x"));
    until("the backend has to wait", || {
        blocked.load(Ordering::SeqCst) || written.load(Ordering::SeqCst) == LONG
    });
    assert!(written.load(Ordering::SeqCst) < LONG / 2, "the proxy read what nobody takes");
    assert_eq!((figure(admin, "svc_current"), figure(admin, "svc_answered{group=\"once\"}")), (1, 0));
    assert!(answer(&caller).expect("an answer").body == pattern(LONG));
    until("it is counted", || figure(admin, "svc_answered{group=\"once\"}") == 1);
    assert_eq!(figure(admin, "svc_current"), 0);
}

#[test]
fn a_body_that_is_spent_is_never_sent_again() {
    // Both end the connection in the midst of a body.
    let cut = || {
        let (listener, address) = listen();
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
    let entries = [entry("b0", first.0, "ready"), entry("b1", second.0, "ready")];
    let discovery = Discovery::start(Some(list(5, true, &entries)));
    let proxy = Proxy::start(&config(discovery.address, &list(0, true, &[])));
    let mut caller = open(proxy.address, &post("d1", "Content-Length: 8000000"));
    // The answer may come before all is written.
    caller.write_all(&pattern(8_000_000)).expect("the rest is read off");
    assert!(answer(&caller).expect("an answer").status() >= 500);
    assert_eq!(first.1.load(Ordering::SeqCst) + second.1.load(Ordering::SeqCst), 1);
}

#[test]
fn a_refusal_reaches_a_caller_that_is_still_sending() {
    let (proxy, _discovery) = before(&[]);
    let mut caller = open(proxy.address, &post("e1", "Content-Length: 8000000"));
    caller.write_all(&pattern(8_000_000)).expect("the rest is read off");
    let reply = answer(&caller).expect("an answer");
    assert_eq!((reply.status(), reply.header("connection")), (503, Some("close")));
}

#[test]
fn an_answer_that_breaks_while_it_passes_shows_as_broken() {
    let long = "y".repeat(100_000);
    let cases = [
        (format!("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n{long}"), false),
        (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n{long}\r\n"), false),
        (format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n186a0\r\n{long}\r\nzz\r\n"), true),
        // Silent for longer than a peer may be.
        ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n".to_string(), true),
    ];
    for (n, (text, stays)) in cases.into_iter().enumerate() {
        let backend = Backend::start(move |_, stream| stream.write_all(text.as_bytes()).is_ok() && stays);
        let (proxy, _discovery) = before(&[&backend]);
        let caller = open(proxy.address, &ask("once", "f1", 20_000, "x"));
        let reply = answer(&caller);
        assert!(reply.is_none_or(|reply| reply.status() == 502), "case {n}");
    }
}

#[test]
fn a_caller_that_expects_a_word_before_its_body_gets_it() {
    let backend = Backend::saying(OK);
    let (proxy, _discovery) = before(&[&backend]);
    let mut caller = open(proxy.address, &post("g1", "Content-Length: 4\r\nExpect: 100-continue"));
    assert_eq!(answer(&caller).expect("a word").status(), 100);
    caller.write_all(b"body").expect("it is written");
    assert_eq!(answer(&caller).expect("an answer").status(), 200);
    let seen = backend.seen.lock().unwrap()[0].clone();
    assert_eq!((&seen.body[..], seen.header("expect")), (&b"body"[..], None));
}

#[test]
fn a_head_is_asked_for_and_passed_on_without_a_body() {
    let backend = Backend::saying("HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n");
    let (proxy, _discovery) = before(&[&backend]);
    let caller = open(proxy.address, "");
    for _ in 0..2 {
        (&caller)
            .write_all(ask("read", "h1", 8_000, "").replacen("GET", "HEAD", 1).as_bytes())
            .expect("written");
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") {
            let mut byte = [0];
            (&caller).read_exact(&mut byte).expect("a head");
            head.push(byte[0]);
        }
        let head = String::from_utf8(head).expect("text").to_lowercase();
        assert!(head.starts_with("http/1.1 200") && head.contains("content-length: 70000"), "{head}");
    }
    assert!(backend.seen.lock().unwrap().iter().all(|seen| seen.head.starts_with("HEAD ")));
}

#[test]
fn a_slow_caller_that_goes_on_is_waited_for() {
    // Longer in all than a caller has for a short request.
    let backend = Backend::saying(OK);
    let (proxy, _discovery) = before(&[&backend]);
    let body = pattern(12 * 20_000);
    let mut caller = open(proxy.address, &post("i1", &format!("Content-Length: {}", body.len())));
    for piece in body.chunks(20_000) {
        thread::sleep(Duration::from_millis(300));
        caller.write_all(piece).expect("it is waited for");
    }
    assert_eq!(answer(&caller).expect("an answer").status(), 200);
    assert!(backend.seen.lock().unwrap()[0].body == body);
}

#[test]
fn silent_connections_give_way_before_one_that_is_being_used() {
    let backend = Backend::saying(OK);
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])));
    let small = config(discovery.address, &list(0, true, &[])).replace("\"sockets\":1024", "\"sockets\":64");
    let proxy = Proxy::start(&small);
    let request = ask("read", "j1", 20_000, "");
    let (first, rest) = request.split_at(30);
    let mut caller = open(proxy.address, first);
    let crowd: Vec<TcpStream> = (0..60).map(|_| open(proxy.address, "")).collect();
    // The last of the crowd has its place once one that came before it was closed.
    until("the crowd gives way", || {
        crowd.iter().any(|stream| {
            stream.set_nonblocking(true).expect("it is set");
            !matches!((&*stream).read(&mut [0]), Err(e) if e.kind() == ErrorKind::WouldBlock)
        })
    });
    caller.write_all(rest.as_bytes()).expect("it is still open");
    assert_eq!(answer(&caller).expect("an answer").status(), 200);
}
