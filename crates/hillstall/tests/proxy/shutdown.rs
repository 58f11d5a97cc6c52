//! What clients send up to the very end of a graceful shutdown.

use super::*;

/// After this the proxy closes connections as they become idle.
const CLOSES_IDLE_AFTER: Duration = Duration::from_millis(2_000);

/// A backend that never answers the first request, so that a shutdown takes its longest, and all others soon.
fn first_hangs() -> Backend {
    Backend::start(|number, stream| {
        thread::sleep(if number == 0 { PATIENCE } else { Duration::from_millis(60) });
        stream.write_all(OK.as_bytes()).is_ok()
    })
}

// Guards against pipelined requests that are lost when their connection is closed behind the first answer.
#[test]
fn pipelined_requests_are_all_answered_during_a_shutdown() {
    let backend = first_hangs();
    let (mut proxy, _discovery) = before(&[&backend]);
    let _held = open(proxy.address, &ask("read", "held", 20_000, ""));
    until("the first request hangs", || backend.seen() == 1);
    proxy.terminate();
    thread::sleep(CLOSES_IDLE_AFTER);
    let requests: String = (0..4).map(|number| ask("read", &format!("p{number}"), 1_000, "")).collect();
    let stream = open(proxy.address, &requests);
    let mut reader = BufReader::new(stream);
    let answers = std::iter::from_fn(|| Message::read(&mut reader)).count();
    assert_eq!(answers, 4);
    assert!(proxy.wait().success());
}
