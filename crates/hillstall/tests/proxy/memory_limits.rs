//! Memory that is held for open requests besides their bodies.

use super::*;

/// Memory limit of the proxies in these tests, in MiB: enough for two requests with many headers, and for two
/// connections to backends.
const MEMORY_MB: u32 = 1;
/// Number of headers of a request with many.
const MANY_HEADERS: usize = 88;
/// Length of a response that no socket buffers hold, in bytes.
const LONG_RESPONSE: usize = 24 << 20;

fn start_with_little_memory(backends: &[&Backend]) -> (Proxy, Discovery) {
    let names: Vec<String> =
        (0..backends.len()).map(|n| endpoint(&format!("b{n}"), backends[n].address, "ready")).collect();
    let discovery = Discovery::start(Some(endpoint_list(5, true, &names)));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]))
        .replace(r#""memory_mb":192"#, &format!(r#""memory_mb":{MEMORY_MB}"#));
    (Proxy::start(&config), discovery)
}

// Guards against memory for headers that nothing counts: a field of some bytes takes over a hundred.
#[test]
fn headers_of_open_requests_are_limited_by_memory() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_with_little_memory(&[&backend]);
    let fields: String = (0..MANY_HEADERS).map(|n| format!("{n:x}:1\r\n")).collect();
    let with_fields =
        |id: &str| build_request("once", id, 8_000, "xy").replace("\r\n\r\n", &format!("\r\n{fields}\r\n"));
    // Each stops before the last byte of its body.
    let incomplete: Vec<TcpStream> = (0..2)
        .map(|n| {
            let request = with_fields(&format!("h{n}"));
            connect_and_send(proxy.address, &request[..request.len() - 1])
        })
        .collect();
    wait_until("there is no memory for more headers", || proxy.request(&with_fields("h2")).status() == 503);
    assert_eq!(proxy.request(&build_request("once", "h3", 8_000, "x")).status(), 200, "few headers");
    drop(incomplete);
    wait_until("there is memory again", || proxy.request(&with_fields("h4")).status() == 200);
}

// Guards against responses that fail for lack of memory after their request has run: those of clients that read
// slowly hold buffers on both sides, so that no more requests are sent than there is memory for.
#[test]
fn unread_responses_are_limited_before_their_requests_run() {
    let backends = [(); 2].map(|()| {
        Backend::start(|_, stream| {
            stream.write_all(ok_response(&"y".repeat(LONG_RESPONSE)).as_bytes()).is_ok()
        })
    });
    let (proxy, _discovery) = start_with_little_memory(&backends.iter().collect::<Vec<_>>());
    let run = || backends.iter().map(Backend::request_count).sum::<usize>();
    let mut unread: Vec<TcpStream> = Vec::new();
    for n in 0..2 {
        let client = connect_and_send(proxy.address, &build_request("once", &format!("r{n}"), 8_000, "x"));
        client.peek(&mut [0]).expect("the response begins");
        unread.push(client);
    }
    for n in 2..6 {
        let reply = proxy.request(&build_request("once", &format!("r{n}"), 8_000, "x"));
        assert_eq!((reply.status(), run()), (503, 2), "request {n}");
    }
    let first = read_response(&unread[0]).expect("a response");
    assert_eq!(first.body.len(), LONG_RESPONSE, "a response under way is complete");
    wait_until("a request is served again", || {
        proxy.request(&build_request("once", "r9", 8_000, "x")).status() == 200
    });
}
