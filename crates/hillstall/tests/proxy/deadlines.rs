//! The time that a request tells its backend: at most what its client has left.

use super::*;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

/// How much more than the client has left a backend may be told.
const SLACK: Duration = Duration::from_millis(150);
/// How long a backend works on a request.
const WORK: Duration = Duration::from_millis(600);
/// Pause between two requests that a client sends without waiting for responses.
const PAUSE: Duration = Duration::from_millis(80);
const TIMEOUT_MS: u32 = 4_000;

/// What a backend was told.
struct Told {
    id: String,
    at: Instant,
    remaining: Duration,
}

/// A backend that records what each request tells it, and answers after [`WORK`].
fn recording_backend(told: &Arc<Mutex<Vec<Told>>>) -> SocketAddr {
    let (listener, address) = bind_free_port();
    let told = told.clone();
    thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            let told = told.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().expect("a second handle"));
                while let Some(request) = Message::read(&mut reader) {
                    let id = request.header("request-id").expect("an id").to_string();
                    let remaining = request.header("request-timeout-ms").expect("a time");
                    let remaining = Duration::from_millis(remaining.parse().expect("whole milliseconds"));
                    told.lock().expect("what was told").push(Told { id, at: Instant::now(), remaining });
                    thread::sleep(WORK);
                    let _ = stream.write_all(OK.as_bytes());
                }
            });
        }
    });
    address
}

// Guards against a deadline that is counted from when the proxy read a request, which may be long after its
// client sent it.
#[test]
fn backends_are_told_what_clients_that_send_ahead_have_left() {
    for body in [3, 7_000, 30_000] {
        let told = Arc::default();
        let address = recording_backend(&told);
        let discovery = Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", address, "ready")])));
        let proxy = Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
        let mut client = connect_and_send(proxy.address, "");
        let sent_at: Vec<Instant> = (0..5)
            .map(|n| {
                thread::sleep(PAUSE);
                let request = build_request("keyed", &format!("d{n}"), TIMEOUT_MS, &"x".repeat(body));
                client.write_all(request.as_bytes()).expect("the request is written");
                Instant::now()
            })
            .collect();
        wait_until("all requests have run", || told.lock().unwrap().len() == sent_at.len());
        for Told { id, at, remaining } in told.lock().unwrap().iter() {
            let number: usize = id[1..].parse().expect("a number");
            let timeout = Duration::from_millis(u64::from(TIMEOUT_MS));
            let left = timeout.saturating_sub(at.duration_since(sent_at[number]));
            assert!(*remaining <= left + SLACK, "body {body}, {id}: told {remaining:?}, {left:?} left");
        }
    }
}
