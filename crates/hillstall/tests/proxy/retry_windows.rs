//! Requests with an idempotency key whose retry would reach a backend when it no longer drops repetitions.

use super::*;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

/// How long backends drop repetitions of a keyed request.
const WINDOW: Duration = Duration::from_millis(1_000);
/// How long the first attempt is out before its connection ends.
const FIRST_ATTEMPT: Duration = Duration::from_millis(300);
/// How long the backend accepts no connection. A SYN that was dropped meanwhile is repeated after a second.
const UNREACHABLE_UNTIL: Duration = Duration::from_millis(1_150);
/// Sizes of the system's buffers of a connection, in bytes.
const SMALL_BUFFER: usize = 4_096;
const USUAL_BUFFER: usize = 128 * 1_024;
/// Length of a request body that is buffered and longer than all these buffers, in bytes.
const BUFFERED_BODY: usize = 60_000;
/// How long the client waits.
const TIMEOUT_MS: u32 = 4_000;

/// When each request had arrived.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a backend on a listener with this queue and these buffers, in a thread of its own.
fn start_backend(queue: i32, buffer: usize, serve: impl FnOnce(TcpListener) + Send + 'static) -> SocketAddr {
    let listener = new_socket();
    listener.set_recv_buffer_size(buffer).expect("the buffer is set");
    listener.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into()).expect("a port");
    listener.listen(queue).expect("the socket listens");
    let address = listener.local_addr().expect("an address").as_socket().expect("an IPv4 address");
    thread::spawn(move || serve(listener.into()));
    address
}

/// Reads the first request and returns its connection after [`FIRST_ATTEMPT`], and when the request had arrived.
fn receive_first(listener: &TcpListener, arrivals: &Arrivals) -> (TcpStream, Instant) {
    let (first, _) = listener.accept().expect("a connection");
    Message::read(&mut BufReader::new(&first)).expect("a request");
    let arrived_at = Instant::now();
    arrivals.lock().expect("the arrivals").push(arrived_at);
    thread::sleep(FIRST_ATTEMPT);
    (first, arrived_at)
}

/// Answers the requests of a connection.
fn answer_all(mut stream: TcpStream, arrivals: &Arrivals) {
    let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
    while Message::read(&mut reader).is_some() {
        arrivals.lock().expect("the arrivals").push(Instant::now());
        let _ = stream.write_all(OK.as_bytes());
    }
}

/// A backend that ends the connection of its first request after [`FIRST_ATTEMPT`], lets connects wait until
/// [`UNREACHABLE_UNTIL`], and answers all later requests.
fn backend_that_comes_back(arrivals: &Arrivals) -> SocketAddr {
    let arrivals = arrivals.clone();
    start_backend(0, USUAL_BUFFER, move |listener| {
        let (first, arrived_at) = receive_first(&listener, &arrivals);
        let _queued = fill_queue(listener.local_addr().expect("an address"));
        drop(first);
        thread::sleep(UNREACHABLE_UNTIL.saturating_sub(arrived_at.elapsed()));
        for stream in listener.incoming() {
            let arrivals = arrivals.clone();
            thread::spawn(move || answer_all(stream.expect("a connection"), &arrivals));
        }
    })
}

/// A backend that ends the connection of its first request after [`FIRST_ATTEMPT`], and reads nothing of later
/// ones until [`UNREACHABLE_UNTIL`].
fn backend_that_reads_late(arrivals: &Arrivals) -> SocketAddr {
    let arrivals = arrivals.clone();
    start_backend(8, SMALL_BUFFER, move |listener| {
        let (first, arrived_at) = receive_first(&listener, &arrivals);
        drop(first);
        for stream in listener.incoming() {
            let stream = stream.expect("a connection");
            thread::sleep(UNREACHABLE_UNTIL.saturating_sub(arrived_at.elapsed()));
            answer_all(stream, &arrivals);
        }
    })
}

/// The time from the first arrival to each one.
fn after_first(arrivals: &Arrivals) -> Vec<Duration> {
    let arrivals = arrivals.lock().expect("the arrivals");
    arrivals.iter().map(|at| at.duration_since(arrivals[0])).collect()
}

/// Starts a proxy in front of one backend, with this window.
fn start_with_window(backend: SocketAddr, window: Duration) -> (Proxy, Discovery) {
    let discovery = Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend, "ready")])));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]))
        .replace(r#""Window":9000"#, &format!(r#""Window":{}"#, window.as_millis()));
    let line = format!("HILLSTALL_MESSAGES_SYSTEM_BUFFER={SMALL_BUFFER}B exec \"$0\"");
    (Proxy::start_with_shell(&line, &config), discovery)
}

// Guards against a retry that is decided within the window and written after it, as its connect took a second.
#[test]
fn keyed_retry_is_not_written_after_its_window_when_its_connection_comes_up_late() {
    let arrivals = Arrivals::default();
    let (proxy, _discovery) = start_with_window(backend_that_comes_back(&arrivals), WINDOW);
    let started_at = Instant::now();
    let reply = proxy.request(&build_request("keyed", "w1", TIMEOUT_MS, "x"));
    let answered_after = started_at.elapsed();
    // Time for a connect that is still under way to be used.
    thread::sleep(UNREACHABLE_UNTIL * 2);
    let after_first = after_first(&arrivals);
    assert!(after_first.iter().all(|after| *after < WINDOW), "arrived at {after_first:?}");
    assert_eq!(reply.status(), 502, "answered after {answered_after:?}");
    assert!(answered_after < Duration::from_millis(u64::from(TIMEOUT_MS)), "{answered_after:?}");
}

// Guards against a retry of which the first bytes are written within the window and the last ones after it.
#[test]
fn keyed_retry_is_not_completed_after_its_window_when_its_backend_reads_late() {
    let arrivals = Arrivals::default();
    let (proxy, _discovery) = start_with_window(backend_that_reads_late(&arrivals), WINDOW);
    let reply = proxy.request(&build_request("keyed", "w2", TIMEOUT_MS, &"x".repeat(BUFFERED_BODY)));
    thread::sleep(UNREACHABLE_UNTIL);
    let after_first = after_first(&arrivals);
    assert!(after_first.iter().all(|after| *after < WINDOW), "arrived at {after_first:?}");
    assert_eq!(reply.status(), 502);
}
