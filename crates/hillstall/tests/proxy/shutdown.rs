//! Requests that clients send until the end of a graceful shutdown.

use super::*;

/// Number of concurrent clients.
const CLIENTS: usize = 8;
/// Number of pipelined requests.
const BATCH: usize = 4;
/// Number of pipelined requests that take a while to answer.
const LONG_BATCH: usize = 60;
/// Time after SIGTERM from which the proxy closes idle connections.
const IDLE_CLOSE_DELAY: Duration = Duration::from_millis(2_000);

/// A backend that does not answer the first request, so that a shutdown takes its maximum time, and answers
/// all others soon.
fn first_hangs() -> Backend {
    Backend::start(|number, stream| {
        thread::sleep(if number == 0 { WAIT_TIMEOUT } else { Duration::from_millis(60) });
        stream.write_all(OK.as_bytes()).is_ok()
    })
}

/// A proxy that has got SIGTERM with a request open that its backend does not answer; and that request's
/// connection.
fn start_terminating_proxy() -> (Proxy, Discovery, TcpStream) {
    let backend = first_hangs();
    let (proxy, discovery) = start_proxy(&[&backend]);
    let held = connect_and_send(proxy.address, &build_request("read", "held", 20_000, ""));
    wait_until("the first request hangs", || backend.request_count() == 1);
    proxy.terminate();
    (proxy, discovery, held)
}

/// Sends requests on new connections, one after another, until no connection is accepted. Returns how many
/// requests were answered, and how many were sent and not answered.
fn request_until_refused(address: std::net::SocketAddr, client: usize) -> (usize, usize) {
    let (mut answered, mut lost) = (0, 0);
    for number in 0.. {
        let Ok(mut stream) = TcpStream::connect(address) else { break };
        stream.set_read_timeout(Some(WAIT_TIMEOUT)).expect("the time-out is set");
        let request = build_request("read", &format!("c{client}-{number}"), 1_000, "");
        if stream.write_all(request.as_bytes()).is_err() {
            continue;
        }
        match super::harness::read_response(&stream) {
            Some(_) => answered += 1,
            None => lost += 1,
        }
    }
    (answered, lost)
}

// Guards against requests that are read after the proxy has failed the open ones, and get no response before
// the process ends.
#[test]
fn requests_on_new_connections_are_answered_until_the_process_ends() {
    let (mut proxy, _discovery, held) = start_terminating_proxy();
    let address = proxy.address;
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| thread::spawn(move || request_until_refused(address, client))).collect();
    let ended: Vec<(usize, usize)> =
        clients.into_iter().map(|client| client.join().expect("the client thread ends")).collect();
    assert!(proxy.wait().success());
    let (answered, lost) = ended.iter().fold((0, 0), |sum, client| (sum.0 + client.0, sum.1 + client.1));
    assert!(answered > CLIENTS, "{answered} answers");
    assert_eq!(lost, 0, "of {} requests", answered + lost);
    assert_eq!(super::harness::read_response(&held).expect("a response").status(), 502);
}

// Guards against requests on kept-alive connections that are read but not answered. A request that crosses
// the close of its connection must not be read.
#[test]
fn requests_on_a_kept_alive_connection_are_answered_or_not_read_during_a_shutdown() {
    let (mut proxy, _discovery, _held) = start_terminating_proxy();
    let mut kept = connect_and_send(proxy.address, &build_request("read", "k0", 1_000, ""));
    // Requests follow each other without a pause, so the connection is never idle.
    for number in 1.. {
        let answer = super::harness::read_response(&kept).expect("each request gets its answer");
        if answer.header("connection") == Some("close") {
            break;
        }
        kept.write_all(build_request("read", &format!("k{number}"), 1_000, "").as_bytes())
            .expect("the connection is open");
    }
    assert!(proxy.wait().success());
}

// Guards against a connection that is closed after the first response although it has more pipelined
// requests.
#[test]
fn pipelined_requests_are_all_answered_during_a_shutdown() {
    let (mut proxy, _discovery, _held) = start_terminating_proxy();
    thread::sleep(IDLE_CLOSE_DELAY);
    let requests: String =
        (0..BATCH).map(|number| build_request("read", &format!("p{number}"), 1_000, "")).collect();
    let stream = connect_and_send(proxy.address, &requests);
    let mut reader = BufReader::new(stream);
    let answers = std::iter::from_fn(|| Message::read(&mut reader)).count();
    assert_eq!(answers, BATCH);
    assert!(proxy.wait().success());
}

// Guards against a connection that counts as idle between two pipelined requests, and is closed with the
// second unread.
#[test]
fn pipelined_requests_behind_one_that_hangs_to_the_end_are_answered() {
    let backend = Backend::start(|_, _| {
        thread::sleep(WAIT_TIMEOUT);
        false
    });
    let (mut proxy, _discovery) = start_proxy(&[&backend]);
    let batch = |client: usize| -> String {
        (0..LONG_BATCH)
            .map(|number| build_request("once", &format!("h{client}-{number}"), 20_000, ""))
            .collect()
    };
    let streams: Vec<TcpStream> =
        (0..CLIENTS).map(|client| connect_and_send(proxy.address, &batch(client))).collect();
    wait_until("a request of each client hangs", || backend.request_count() == CLIENTS);
    proxy.terminate();
    for stream in streams {
        let mut reader = BufReader::new(stream);
        let statuses: Vec<u16> =
            std::iter::from_fn(|| Message::read(&mut reader)).map(|answer| answer.status()).collect();
        assert_eq!(statuses.len(), LONG_BATCH, "responses on one connection");
    }
    assert!(proxy.wait().success());
}
