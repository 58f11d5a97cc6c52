//! What clients send up to the very end of a graceful shutdown.

use super::*;

/// The connections that go on opening until the process has ended.
const CLIENTS: usize = 8;
/// The requests that are sent at once.
const BATCH: usize = 4;
/// The same, so many that they take a while to answer.
const LONG_BATCH: usize = 60;
/// After this the proxy closes connections as they become idle.
const CLOSES_IDLE_AFTER: Duration = Duration::from_millis(2_000);

/// A backend that never answers the first request, so that a shutdown takes its longest, and all others soon.
fn first_hangs() -> Backend {
    Backend::start(|number, stream| {
        thread::sleep(if number == 0 { PATIENCE } else { Duration::from_millis(60) });
        stream.write_all(OK.as_bytes()).is_ok()
    })
}

/// A proxy that was asked to end while a request is open, which it will fail; and that request's connection.
fn asked_to_end() -> (Proxy, Discovery, TcpStream) {
    let backend = first_hangs();
    let (proxy, discovery) = before(&[&backend]);
    let held = open(proxy.address, &ask("read", "held", 20_000, ""));
    until("the first request hangs", || backend.seen() == 1);
    proxy.terminate();
    (proxy, discovery, held)
}

/// Requests on new connections, one after another, until none is accepted. Returns how many got an answer, and how many
/// were written and got none.
fn call_until_refused(address: std::net::SocketAddr, client: usize) -> (usize, usize) {
    let (mut answered, mut lost) = (0, 0);
    for number in 0.. {
        let Ok(mut stream) = TcpStream::connect(address) else { break };
        stream.set_read_timeout(Some(PATIENCE)).expect("a time-out");
        let request = ask("read", &format!("c{client}-{number}"), 1_000, "");
        if stream.write_all(request.as_bytes()).is_err() {
            continue;
        }
        match super::harness::answer(&stream) {
            Some(_) => answered += 1,
            None => lost += 1,
        }
    }
    (answered, lost)
}

// Guards against requests that are read after the open ones were failed, and lose their answer as the process ends.
#[test]
fn what_arrives_on_new_connections_until_the_process_ends_gets_an_answer() {
    let (mut proxy, _discovery, held) = asked_to_end();
    let address = proxy.address;
    let clients: Vec<_> =
        (0..CLIENTS).map(|client| thread::spawn(move || call_until_refused(address, client))).collect();
    let ended: Vec<(usize, usize)> = clients.into_iter().map(|c| c.join().expect("it ends")).collect();
    assert!(proxy.wait().success());
    let (answered, lost) = ended.iter().fold((0, 0), |sum, client| (sum.0 + client.0, sum.1 + client.1));
    assert!(answered > CLIENTS, "{answered} answers");
    assert_eq!(lost, 0, "of {} requests", answered + lost);
    assert_eq!(super::harness::answer(&held).expect("an answer").status(), 502);
}

// Guards against the same on connections that were kept: a request that crosses their close is not read, and everything
// that is read is answered.
#[test]
fn what_arrives_on_a_kept_connection_until_the_process_ends_is_answered_or_not_read() {
    let (mut proxy, _discovery, _held) = asked_to_end();
    let mut kept = open(proxy.address, &ask("read", "k0", 1_000, ""));
    // Requests follow each other without a rest, so the connection is never idle.
    for number in 1.. {
        let answer = super::harness::answer(&kept).expect("each request gets its answer");
        if answer.header("connection") == Some("close") {
            break;
        }
        kept.write_all(ask("read", &format!("k{number}"), 1_000, "").as_bytes()).expect("it is open");
    }
    assert!(proxy.wait().success());
}

// Guards against pipelined requests that are lost when their connection is closed behind the first answer.
#[test]
fn pipelined_requests_are_all_answered_during_a_shutdown() {
    let (mut proxy, _discovery, _held) = asked_to_end();
    thread::sleep(CLOSES_IDLE_AFTER);
    let requests: String = (0..BATCH).map(|number| ask("read", &format!("p{number}"), 1_000, "")).collect();
    let stream = open(proxy.address, &requests);
    let mut reader = BufReader::new(stream);
    let answers = std::iter::from_fn(|| Message::read(&mut reader)).count();
    assert_eq!(answers, BATCH);
    assert!(proxy.wait().success());
}

// Guards against a connection that counts as idle between two pipelined requests, and is closed with the second unread.
#[test]
fn pipelined_requests_behind_one_that_hangs_to_the_end_are_answered() {
    let backend = Backend::start(|_, _| {
        thread::sleep(PATIENCE);
        false
    });
    let (mut proxy, _discovery) = before(&[&backend]);
    let batch = |client: usize| -> String {
        (0..LONG_BATCH).map(|number| ask("once", &format!("h{client}-{number}"), 20_000, "")).collect()
    };
    let streams: Vec<TcpStream> = (0..CLIENTS).map(|client| open(proxy.address, &batch(client))).collect();
    until("a request of each client hangs", || backend.seen() == CLIENTS);
    proxy.terminate();
    for stream in streams {
        let mut reader = BufReader::new(stream);
        let statuses: Vec<u16> =
            std::iter::from_fn(|| Message::read(&mut reader)).map(|answer| answer.status()).collect();
        assert_eq!(statuses.len(), LONG_BATCH, "answers of one connection");
    }
    assert!(proxy.wait().success());
}
