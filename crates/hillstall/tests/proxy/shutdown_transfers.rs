//! Messages that are on their way while the process shuts down: responses that backends still send or that
//! clients still read, and requests that clients still send.

use super::*;

/// Deadline of all classes. The proxy fails open requests 0.4 s later.
const DEADLINE_MS: u32 = 500;
/// Length of a response that is still on its way at the end of the shutdown, in bytes.
const RESPONSE_BYTES: usize = 1 << 20;
/// Number of pieces of such a response.
const PIECES: usize = 50;
/// Pause of a backend between two pieces, which makes the response take far longer than the shutdown.
const PIECE_INTERVAL: Duration = Duration::from_millis(60);
/// Length of a response that a client reads slowly: above that of all buffers on the way.
const SLOWLY_READ_BYTES: usize = 4 << 20;
/// Number of bytes that this client reads at once, and its pause between two reads.
const READ_BYTES: usize = 64 << 10;
const READ_INTERVAL: Duration = Duration::from_millis(40);
/// Length of a request body that is still on its way at the end of the shutdown.
const REQUEST_BYTES: usize = 4 << 20;

/// How the end of a response can be recognised.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Length,
    Chunks,
    Close,
}

fn start_with_short_deadlines(backend: &Backend) -> (Proxy, std::net::SocketAddr, Discovery, String) {
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]))
        .replace("\"HardLimit\":20000", &format!("\"HardLimit\":{DEADLINE_MS}"));
    let (proxy, admin) = Proxy::start_with_admin(&config);
    (proxy, admin, discovery, config)
}

/// Sends a response piece by piece. Returns whether the connection can be used again.
fn send_slowly(stream: &mut TcpStream, framing: Framing) -> bool {
    let head = match framing {
        Framing::Length => format!("HTTP/1.1 200 OK\r\nContent-Length: {RESPONSE_BYTES}\r\n\r\n"),
        Framing::Chunks => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_string(),
        Framing::Close => "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n".to_string(),
    };
    let body = pattern(RESPONSE_BYTES);
    let send_all = |stream: &mut TcpStream| -> std::io::Result<()> {
        stream.write_all(head.as_bytes())?;
        for piece in body.chunks(RESPONSE_BYTES / PIECES + 1) {
            match framing {
                Framing::Chunks => {
                    stream
                        .write_all(&[format!("{:x}\r\n", piece.len()).as_bytes(), piece, b"\r\n"].concat())?;
                }
                Framing::Length | Framing::Close => stream.write_all(piece)?,
            }
            thread::sleep(PIECE_INTERVAL);
        }
        if matches!(framing, Framing::Chunks) {
            stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(())
    };
    send_all(stream).is_ok() && !matches!(framing, Framing::Close)
}

/// The first request gets a short response, and each later one a long response: piece by piece in the next
/// of these framings, or at once after the last of them.
fn backend_with_responses(framings: &'static [Framing]) -> Backend {
    Backend::start(move |number, stream| match number.checked_sub(1).map(|index| framings.get(index)) {
        None => stream.write_all(OK.as_bytes()).is_ok(),
        Some(Some(framing)) => send_slowly(stream, *framing),
        Some(None) => {
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {SLOWLY_READ_BYTES}\r\n\r\n");
            stream.write_all(&[head.as_bytes(), &pattern(SLOWLY_READ_BYTES)].concat()).is_ok()
        }
    })
}

/// Reads a response head and returns it with the rest of the stream.
fn read_head(stream: TcpStream) -> (String, BufReader<TcpStream>) {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        assert!(std::io::BufRead::read_line(&mut reader, &mut head).expect("a line") > 0, "no head: {head}");
    }
    (head, reader)
}

/// Sends one request after another, the first on `kept`, and waits until the backend has each of them.
fn start_responses(
    kept: TcpStream,
    address: std::net::SocketAddr,
    backend: &Backend,
    count: usize,
) -> Vec<TcpStream> {
    let mut kept = Some(kept);
    let start = |number: usize| {
        let mut stream = kept.take().unwrap_or_else(|| connect_and_send(address, ""));
        let request = build_request("once", &format!("t{number}"), DEADLINE_MS, "x");
        stream.write_all(request.as_bytes()).expect("the request is written");
        wait_until("the backend has the request", || backend.request_count() == number + 1);
        stream
    };
    (1..=count).map(start).collect()
}

/// Reads a response to the end of its connection, with a pause after each piece. Returns its body; `None` if
/// it is not complete.
fn read_to_end(head: String, mut reader: BufReader<TcpStream>, pause: Duration) -> Option<Vec<u8>> {
    let mut received = head.into_bytes();
    let mut piece = vec![0; READ_BYTES];
    while let Ok(length @ 1..) = reader.read(&mut piece) {
        received.extend_from_slice(&piece[..length]);
        thread::sleep(pause);
    }
    Message::read(&mut &received[..]).map(|response| response.body)
}

/// Starts a shutdown while backends send in every framing and one client reads slowly, the first on a
/// connection that had a response before. All responses must arrive complete.
fn check_responses_under_way(with_successor: bool) {
    let framings = &[Framing::Length, Framing::Chunks, Framing::Close];
    let backend = backend_with_responses(framings);
    let (mut proxy, _admin, _discovery, config) = start_with_short_deadlines(&backend);
    let kept = connect_and_send(proxy.address, &build_request("read", "t0", DEADLINE_MS, ""));
    assert_eq!(read_response(&kept).expect("a response").status(), 200);
    let streams = start_responses(kept, proxy.address, &backend, framings.len() + 1);
    let clients: Vec<_> = streams
        .into_iter()
        .enumerate()
        .map(|(index, stream)| {
            let (head, reader) = read_head(stream);
            let pause = if index == framings.len() { READ_INTERVAL } else { Duration::ZERO };
            thread::spawn(move || read_to_end(head, reader, pause))
        })
        .collect();
    let successor = with_successor.then(|| proxy.start_newer(&config));
    proxy.terminate();
    for (index, client) in clients.into_iter().enumerate() {
        let body = client.join().expect("the client ends");
        let expected = pattern(if index == framings.len() { SLOWLY_READ_BYTES } else { RESPONSE_BYTES });
        let length = body.as_ref().map(Vec::len);
        assert!(body.as_ref() == Some(&expected), "response {index}: {length:?} bytes");
    }
    assert!(proxy.wait().success());
    drop(successor);
}

// Guards against a shutdown that cuts off responses which their backends still send.
#[test]
fn responses_under_way_are_completed_in_a_shutdown() {
    check_responses_under_way(false);
}

// Guards against the same in an upgrade, in which the older process ends.
#[test]
fn responses_under_way_are_completed_in_an_upgrade() {
    check_responses_under_way(true);
}

// Guards against a response under way that delays what must be done before the process could be killed: open
// requests are failed, the listener is closed, and later requests are rejected.
#[test]
fn response_under_way_delays_nothing_else_in_a_shutdown() {
    let backend = Backend::start(|number, stream| match number {
        0 => send_slowly(stream, Framing::Length),
        _ => true,
    });
    let (mut proxy, _admin, _discovery, _config) = start_with_short_deadlines(&backend);
    let streaming = connect_and_send(proxy.address, &build_request("once", "u0", DEADLINE_MS, "x"));
    let (_head, mut reader) = read_head(streaming.try_clone().expect("a second handle"));
    let held = connect_and_send(proxy.address, &build_request("once", "u1", 20_000, "x"));
    wait_until("the request is held", || backend.request_count() == 2);
    proxy.terminate();
    assert_eq!(read_response(&held).expect("a response").status(), 502);
    wait_until("the listener is closed", || TcpStream::connect(proxy.address).is_err());
    assert!(proxy.is_running(), "the response is still on its way");
    (&streaming).write_all(build_request("read", "u2", DEADLINE_MS, "").as_bytes()).expect("written");
    let mut body = vec![0; RESPONSE_BYTES];
    reader.read_exact(&mut body).expect("the response is complete");
    assert!(body == pattern(RESPONSE_BYTES));
    let rejected = Message::read(&mut reader).expect("the request behind it gets a response");
    assert_eq!((rejected.status(), rejected.header("connection")), (503, Some("close")));
    assert!(proxy.wait().success());
    assert_eq!(backend.request_count(), 2, "a request is forwarded after the shutdown");
}

// Guards against a request that fails at the end of a shutdown while its client still sends the body, and
// whose connection is reset before the client has read why.
#[test]
fn client_that_still_sends_at_the_end_of_a_shutdown_gets_its_response() {
    let backend = Backend::answering(OK);
    let (mut proxy, _admin, _discovery, _config) = start_with_short_deadlines(&backend);
    let head = build_request("once", "v0", DEADLINE_MS, "")
        .replace("Content-Length: 0", &format!("Content-Length: {REQUEST_BYTES}"));
    let mut client = connect_and_send(proxy.address, &head);
    let reader = client.try_clone().expect("a second handle");
    let sender = thread::spawn(move || {
        for piece in pattern(REQUEST_BYTES).chunks(READ_BYTES) {
            if client.write_all(piece).is_err() {
                return;
            }
            thread::sleep(READ_INTERVAL);
        }
    });
    proxy.terminate();
    let response = read_response(&reader).expect("a response");
    assert_eq!((response.status(), response.header("connection")), (502, Some("close")));
    sender.join().expect("the client ends");
    assert!(proxy.wait().success());
}
