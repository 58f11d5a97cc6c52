//! Clients that close their connection while the proxy has not read all that they sent.

use super::*;
use socket2::SockRef;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// How long an attempt may begin after the close of the client's connection: 0.1 s, and 50 ms that the
/// platform adds to its time limits.
const MAX_START_AFTER_CLOSE: Duration = Duration::from_millis(150);
/// How long a backend works on a request.
const WORK: Duration = Duration::from_millis(400);
/// Length of a request body that is streamed, in bytes.
const LONG_BODY: usize = 150_000;

/// When the first byte of each request arrived, by request id.
type Arrivals = Arc<Mutex<Vec<(String, Instant)>>>;

/// A backend that records when the first byte of a request arrives, and answers the whole request after
/// `work`.
fn recording_backend(arrivals: &Arrivals, work: Duration) -> SocketAddr {
    let (listener, address) = bind_free_port();
    let arrivals = arrivals.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let arrivals = arrivals.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                while stream.peek(&mut [0]).is_ok_and(|bytes| bytes > 0) {
                    let arrived_at = Instant::now();
                    let Some(request) = Message::read(&mut reader) else { return };
                    let id = request.header("request-id").expect("an id").to_string();
                    arrivals.lock().expect("the arrivals").push((id, arrived_at));
                    thread::sleep(work);
                    let _ = stream.write_all(OK.as_bytes());
                }
            });
        }
    });
    address
}

/// An address at which connects don't complete: its queue is full. The sockets have to be kept.
fn unreachable_address() -> (SocketAddr, Vec<socket2::Socket>) {
    let listener = new_socket();
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    listener.listen(0).expect("the socket listens");
    let address = listener.local_addr().expect("an address").as_socket().expect("an IPv4 address");
    let mut sockets = vec![listener];
    sockets.extend(fill_queue(address));
    (address, sockets)
}

/// The time from `closed_at` to each arrival after the time allowed.
fn late_arrivals(arrivals: &Arrivals, closed_at: Instant) -> Vec<(String, Duration)> {
    let arrivals = arrivals.lock().expect("the arrivals");
    let after_close = arrivals.iter().map(|(id, at)| (id.clone(), at.saturating_duration_since(closed_at)));
    after_close.filter(|(_, after)| *after > MAX_START_AFTER_CLOSE).collect()
}

/// Closes a client's connection with a FIN, or with a reset.
fn close(stream: TcpStream, with_reset: bool) {
    if with_reset {
        SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("the close resets the connection");
    }
    drop(stream);
}

// Guards against requests that are sent on after their client has gone: those that it sent together with the
// one in progress.
#[test]
fn requests_read_ahead_are_not_sent_once_their_client_has_gone() {
    for (with_reset, body) in [(false, 3), (true, 3), (false, LONG_BODY), (true, LONG_BODY)] {
        let arrivals = Arrivals::default();
        let address = recording_backend(&arrivals, WORK);
        let discovery = Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", address, "ready")])));
        let proxy = Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
        let requests = (0..5).map(|n| build_request("keyed", &format!("p{n}"), 8_000, &"x".repeat(body)));
        let mut client = connect_and_send(proxy.address, "");
        client.set_write_timeout(Some(WORK / 4)).expect("the time-out is set");
        // The last of the long requests don't fit into the buffers of the sockets.
        let _ = client.write_all(requests.collect::<String>().as_bytes());
        wait_until("the first request runs", || !arrivals.lock().unwrap().is_empty());
        close(client, with_reset);
        let closed_at = Instant::now();
        thread::sleep(WORK * 3);
        let late = late_arrivals(&arrivals, closed_at);
        assert!(late.is_empty(), "with a reset: {with_reset}, bodies of {body} bytes: {late:?}");
    }
}

// Guards against further attempts of a long request whose client has gone, of which a part was not read.
#[test]
fn long_request_is_not_sent_once_its_client_has_gone() {
    for with_reset in [false, true] {
        let arrivals = Arrivals::default();
        let reachable = [(); 2].map(|()| recording_backend(&arrivals, Duration::ZERO));
        let unreachable = [(); 2].map(|()| unreachable_address());
        let mut entries: Vec<String> = Vec::new();
        for (n, address) in
            reachable.into_iter().chain(unreachable.iter().map(|(address, _)| *address)).enumerate()
        {
            entries.push(endpoint(&format!("b{n}"), address, "ready"));
        }
        let discovery = Discovery::start(Some(endpoint_list(5, true, &entries)));
        let config = platform_config(discovery.address, &endpoint_list(0, true, &[]))
            .replace(r#""ConnectTimeout":5000"#, r#""ConnectTimeout":250"#);
        let proxy = Proxy::start(&config);
        let mut late = Vec::new();
        for n in 0..12 {
            let request = build_request("keyed", &format!("l{n}"), 8_000, &"x".repeat(LONG_BODY));
            let client = connect_and_send(proxy.address, &request);
            thread::sleep(Duration::from_millis(30));
            close(client, with_reset);
            let closed_at = Instant::now();
            thread::sleep(WORK);
            late.extend(late_arrivals(&arrivals, closed_at));
            arrivals.lock().unwrap().clear();
        }
        assert!(late.is_empty(), "with a reset: {with_reset}: {late:?}");
    }
}
