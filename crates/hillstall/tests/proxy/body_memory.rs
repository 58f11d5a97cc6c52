//! Memory that bodies in many small pieces take.

use super::*;
use std::sync::Barrier;

/// Memory limit of the proxies in these tests, in MiB.
const MEMORY_MB: u64 = 32;
/// Length of the bodies: short enough to be buffered, in bytes.
const BODY: usize = 60_000;
/// Number of bodies at the same time.
const BODIES: usize = 16;

/// A body of [`BODY`] bytes in chunks of one byte.
fn chunks_of_one_byte() -> Vec<u8> {
    [b"1\r\nx\r\n".repeat(BODY), b"0\r\n\r\n".to_vec()].concat()
}

/// A configuration with a limit of [`MEMORY_MB`].
fn config_with_memory_limit(discovery: &Discovery) -> String {
    platform_config(discovery.address, &endpoint_list(0, true, &[]))
        .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#))
}

// Guards against memory beyond what was reserved for request bodies: each piece was kept with the read buffer
// that it arrived in.
#[test]
fn request_bodies_in_pieces_of_one_byte_stay_within_the_memory_limit() {
    let backend = Backend::answering(OK);
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    // The last byte of each body comes once the others are there, however long the proxy takes to read them.
    let proxy = Proxy::start_with_shell(
        "HILLSTALL_CALLERS_REQUEST_TIME=20s exec \"$0\"",
        &config_with_memory_limit(&discovery),
    );
    let body = chunks_of_one_byte();
    let almost_sent = Barrier::new(BODIES + 1);
    let address = proxy.address;
    thread::scope(|scope| {
        for n in 0..BODIES {
            let (body, almost_sent) = (&body, &almost_sent);
            scope.spawn(move || {
                let head = build_request("keyed", &format!("m{n}"), 8_000, "")
                    .replace("Content-Length: 0", "Transfer-Encoding: chunked");
                let mut client = connect_and_send(address, &head);
                let (last, rest) = body.split_last().expect("a body");
                client.write_all(rest).expect("the body is written");
                almost_sent.wait();
                client.write_all(&[*last]).expect("the last byte is written");
                let status = read_response(&client).expect("a response").status();
                assert!(status == 200 || status == 503, "{status}");
            });
        }
        almost_sent.wait();
    });
    assert!(proxy.peak_memory_mb() < MEMORY_MB, "{} MiB", proxy.peak_memory_mb());
    assert!(backend.requests.lock().unwrap().iter().all(|request| request.body.len() == BODY));
}
