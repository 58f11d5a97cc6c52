//! Tests of the proxy process over loopback sockets: one for each guarantee that a fault has broken or could
//! break.

mod access_log;
mod admin_commands;
mod body_memory;
mod clock_steps;
mod commands;
mod deadlines;
mod departed_clients;
mod disk_faults;
mod handover;
mod harness;
mod idle_resets;
mod memory_limits;
mod operations;
mod operator_file;
mod operator_settings;
mod platform_file;
mod protocol_violations;
mod request_ids;
mod retry_windows;
mod shutdown;
mod shutdown_transfers;
mod slow_transfers;
mod streams;
mod system_calls;
mod unfinished_requests;
use harness::*;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

const OK: &str = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";

/// Starts a proxy whose discovery lists these backends as `b0`, `b1` and so on.
fn start_proxy(backends: &[&Backend]) -> (Proxy, Discovery) {
    let names =
        backends.iter().enumerate().map(|(i, backend)| endpoint(&format!("b{i}"), backend.address, "ready"));
    let discovery = Discovery::start(Some(endpoint_list(5, true, &names.collect::<Vec<_>>())));
    (Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[]))), discovery)
}

#[test]
fn requests_and_responses_pass_unchanged_over_one_kept_alive_connection() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    for (class, body) in [("read", ""), ("keyed", "pay \0 load"), ("once", "x"), ("read", "")] {
        let reply = proxy.request(&build_request(class, "9b1f03aa5c7e2d41", 8_000, body));
        assert_eq!((reply.status(), &reply.body[..]), (200, &b"hello"[..]), "{class}");
        let forwarded = backend.requests.lock().unwrap().last().expect("a request").clone();
        let method = if class == "read" { "GET" } else { "POST" };
        assert!(
            forwarded.head.starts_with(&format!("{method} /api/7f3a?q=1 HTTP/1.1\r\n")),
            "{}",
            forwarded.head
        );
        assert_eq!(forwarded.body, body.as_bytes());
        assert_eq!(forwarded.header("request-id"), Some("9b1f03aa5c7e2d41"));
        assert_eq!(forwarded.header("idempotency-key"), (class == "keyed").then_some("k1"));
        let remaining_ms: u64 =
            forwarded.header("request-timeout-ms").expect("a time").parse().expect("whole milliseconds");
        assert!((1..=8_000).contains(&remaining_ms), "{remaining_ms}");
    }
    assert_eq!(backend.connections.load(Ordering::SeqCst), 1, "the backend connection is reused");
}

#[test]
fn non_idempotent_request_that_may_have_run_is_not_retried() {
    // The backends close the connection after the whole request, so that it may have run.
    let backend = Backend::start(|_, _| false);
    let (proxy, _discovery) = start_proxy(&[&backend, &Backend::start(|_, _| false)]);
    let reply = proxy.request(&build_request("once", "a1", 8_000, "x"));
    assert_eq!(reply.status(), 502);
    assert!(backend.request_count() <= 1);
}

#[test]
fn request_that_was_not_started_is_retried_at_another_backend() {
    let (listener, dead) = bind_free_port();
    drop(listener);
    let rejecting = Backend::answering("HTTP/1.1 503 No\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n");
    let healthy = Backend::answering(OK);
    let names = [("dead", dead), ("full", rejecting.address), ("good", healthy.address)];
    let discovery = Discovery::start(Some(endpoint_list(
        5,
        true,
        &names.map(|(name, address)| endpoint(name, address, "ready")),
    )));
    let proxy = Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
    // Five requests, so that the retries needed stay within the retry budget of a fresh proxy.
    for n in 0..5 {
        assert_eq!(proxy.request(&build_request("once", &format!("c{n}"), 8_000, "x")).status(), 200);
    }
    assert_eq!(healthy.request_count(), 5, "each request runs once");
}

#[test]
fn closed_pooled_connections_are_not_reused() {
    let backend = Backend::start(|_, stream| {
        stream.write_all(OK.as_bytes()).expect("the answer is written");
        false
    });
    let (proxy, _discovery) = start_proxy(&[&backend]);
    for n in 0..20 {
        assert_eq!(
            proxy.request(&build_request("once", &format!("d{n}"), 8_000, "x")).status(),
            200,
            "request {n}"
        );
        thread::sleep(Duration::from_millis(20));
    }
    assert_eq!(backend.request_count(), 20);
}

#[test]
fn malformed_and_oversized_responses_are_not_forwarded() {
    let large = "HTTP/1.1 200 OK\r\nContent-Length: 33554433\r\n\r\nhello";
    let endless = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    for text in [large, endless, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", "nonsense\r\n\r\n"] {
        let backend = Backend::start(move |_, stream| {
            let _ = stream.write_all(text.as_bytes());
            false
        });
        let (mut proxy, _discovery) = start_proxy(&[&backend]);
        let reply = proxy.request(&build_request("once", "e1", 8_000, "x"));
        assert_eq!(reply.status(), 502, "{:.40}", text);
        assert!(proxy.is_running());
    }
}

#[test]
fn bodies_of_the_maximum_buffered_size_pass_both_ways() {
    let backend =
        Backend::start(|_, stream| stream.write_all(ok_response(&"y".repeat(64 * 1024)).as_bytes()).is_ok());
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let reply = proxy.request(&build_request("keyed", "f1", 8_000, &"x".repeat(64 * 1024)));
    assert_eq!((reply.status(), reply.body.len()), (200, 64 * 1024));
    assert_eq!(backend.requests.lock().unwrap()[0].body.len(), 64 * 1024);
}

#[test]
fn abandoned_attempt_closes_its_connection_and_fails_at_the_deadline() {
    let backend = Backend::start(|_, _| true);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let sent_at = Instant::now();
    let reply = proxy.request(&build_request("once", "g1", 600, "x"));
    assert_eq!(reply.status(), 502);
    assert!(sent_at.elapsed() >= Duration::from_millis(550), "the response came before the deadline");
    wait_until("the connection of the attempt is closed", || backend.closed.load(Ordering::SeqCst) == 1);
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn timeout_closes_idle_connections_to_the_same_backend() {
    // A backend that the network no longer reaches never closes its idle connections; each would cost another
    // time-out.
    let backend = Backend::start(|n, stream| {
        if n < 2 {
            thread::sleep(Duration::from_millis(500));
            return stream.write_all(OK.as_bytes()).is_ok();
        }
        true
    });
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let both =
        ["p1", "p2"].map(|id| connect_and_send(proxy.address, &build_request("once", id, 20_000, "x")));
    both.iter().for_each(|client| assert_eq!(read_response(client).expect("a response").status(), 200));
    assert_eq!(backend.connections.load(Ordering::SeqCst), 2);
    assert_eq!(proxy.request(&build_request("once", "p3", 600, "x")).status(), 502);
    wait_until("both connections are closed", || backend.closed.load(Ordering::SeqCst) == 2);
}

#[test]
fn attempts_stop_when_the_client_disconnects() {
    let backend = Backend::start(|_, _| true);
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let client = connect_and_send(proxy.address, &build_request("read", "h1", 20_000, ""));
    wait_until("the backend has the request", || backend.request_count() == 1);
    drop(client);
    wait_until("the attempt is cancelled", || backend.closed.load(Ordering::SeqCst) == 1);
    thread::sleep(Duration::from_millis(300));
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn attempt_waiting_for_a_connection_is_dropped_when_the_backend_drains() {
    use socket2::{Domain, Socket, Type};
    // The accept queue has room for one connection; the handshake of the next one does not complete.
    let slow = Socket::new(Domain::IPV4, Type::STREAM, None).expect("a socket");
    slow.bind(&"127.0.0.1:0".parse::<std::net::SocketAddr>().unwrap().into()).expect("a port");
    slow.listen(0).expect("it listens");
    let address = slow.local_addr().unwrap().as_socket().unwrap();
    let filler = TcpStream::connect(address).expect("the queue is empty");
    let discovery = Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", address, "ready")])));
    let proxy = Proxy::start(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
    let client = connect_and_send(proxy.address, &build_request("read", "i1", 20_000, ""));
    thread::sleep(Duration::from_millis(300));
    discovery.send_to_watches(&endpoint_list(6, false, &[endpoint("b0", address, "draining")]));
    thread::sleep(Duration::from_millis(600));
    drop(slow.accept().expect("the filler"));
    drop(filler);
    // The operating system retries the handshake, which now completes.
    let (late, _) = slow.accept().expect("the proxy's connection");
    late.set_read_timeout(Some(WAIT_TIMEOUT)).unwrap();
    let mut bytes = Vec::new();
    (&late).read_to_end(&mut bytes).expect("the connection is closed without a reset");
    assert_eq!(bytes, b"", "no attempt is sent to a draining backend");
    assert_eq!(read_response(&client).expect("a response").status(), 503);
}

#[test]
fn broken_discovery_watch_resumes_from_the_last_index() {
    let (first, second, third) = (Backend::answering(OK), Backend::answering(OK), Backend::answering(OK));
    let (proxy, discovery) = start_proxy(&[&first]);
    let call = |id: &str| assert_eq!(proxy.request(&build_request("read", id, 8_000, "")).status(), 200);
    call("j1");
    // `b0` is not in the next snapshot, so it is gone.
    discovery.set_list(endpoint_list(7, true, &[endpoint("b1", second.address, "ready")]));
    discovery.close_watches();
    wait_until("the watch is opened again", || discovery.requests.lock().unwrap().len() == 2);
    assert!(discovery.requests.lock().unwrap()[1].contains("index=5"));
    wait_until("the new list is in use", || {
        call("j2");
        second.request_count() > 0
    });
    let first_before = first.request_count();
    discovery.set_list(endpoint_list(9, true, &[endpoint("b1", third.address, "ready")]));
    discovery.send_to_watches("{\"index\":8,\"snapshot\":fal");
    wait_until("the watch is opened again", || discovery.requests.lock().unwrap().len() == 3);
    assert!(discovery.requests.lock().unwrap()[2].contains("index=7"));
    // The same name at another address: pooled connections to the old address must not be used.
    wait_until("the new address is in use", || {
        call("j3");
        third.request_count() > 0
    });
    let second_before = second.request_count();
    (0..10).for_each(|_| call("j4"));
    assert_eq!(
        (first.request_count(), second.request_count()),
        (first_before, second_before),
        "no request goes to a former address"
    );
}

#[test]
fn silent_discovery_watch_is_reopened() {
    let backend = Backend::answering(OK);
    let (_proxy, discovery) = start_proxy(&[&backend]);
    discovery.stop_heartbeats();
    wait_until("the watch is opened again", || discovery.requests.lock().unwrap().len() >= 2);
}

#[test]
fn proxy_serves_its_known_endpoints_without_discovery() {
    let backend = Backend::answering(OK);
    let discovery = Discovery::start(None);
    let known = endpoint_list(4, true, &[endpoint("b0", backend.address, "ready")]);
    let proxy = Proxy::start(&platform_config(discovery.address, &known));
    assert_eq!(proxy.request(&build_request("read", "k1", 8_000, "")).status(), 200);
}

#[test]
fn reload_switches_discovery_and_keeps_the_old_list_until_the_new_one_arrives() {
    // Guards against a SIGHUP that ends the process, and against a gap without endpoints during the switch.
    let (first, second) = (Backend::answering(OK), Backend::answering(OK));
    let old = Discovery::start(Some(endpoint_list(50, true, &[endpoint("b0", first.address, "ready")])));
    let silent = Discovery::start(None);
    let new = Discovery::start(Some(endpoint_list(3, true, &[endpoint("b1", second.address, "ready")])));
    let line = format!("NODE_DISCOVERY={} exec \"$0\"", old.address);
    let mut proxy =
        Proxy::start_with_shell(&line, &platform_config(silent.address, &endpoint_list(0, true, &[])));
    let status = |proxy: &Proxy| proxy.request(&build_request("read", "s1", 8_000, "")).status();
    assert_eq!(status(&proxy), 200, "at the start the environment takes precedence");
    proxy.reload("{ \"discovery\":");
    thread::sleep(Duration::from_millis(200));
    assert_eq!((status(&proxy), proxy.is_running()), (200, true), "an invalid file changes nothing");
    proxy.reload(&platform_config(silent.address, &endpoint_list(0, true, &[])));
    wait_until("the new address is asked for a snapshot", || !silent.requests.lock().unwrap().is_empty());
    assert_eq!(silent.requests.lock().unwrap()[0], "GET /discovery/hosts HTTP/1.1");
    assert_eq!(status(&proxy), 200, "the old list is kept");
    assert_eq!(second.request_count(), 0);
    proxy.reload(&platform_config(new.address, &endpoint_list(0, true, &[])));
    wait_until("the new list is in use", || {
        assert_eq!(status(&proxy), 200);
        second.request_count() > 0
    });
    wait_until("the watch begins at the index of the snapshot", || {
        new.requests.lock().unwrap().iter().any(|line| line.contains("stream=1&index=3"))
    });
    let first_before = first.request_count();
    (0..10).for_each(|_| assert_eq!(status(&proxy), 200));
    assert_eq!(first.request_count(), first_before, "a backend that is not in the new list gets no requests");
}

#[test]
fn graceful_shutdown_answers_all_accepted_requests() {
    let backend = Backend::start(|n, stream| {
        if n == 1 {
            thread::sleep(Duration::from_millis(2_500));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, _discovery) = start_proxy(&[&backend]);
    let idle = connect_and_send(proxy.address, &build_request("read", "l0", 10_000, ""));
    assert_eq!(read_response(&idle).expect("a response").status(), 200);
    let slow = connect_and_send(proxy.address, &build_request("once", "l1", 10_000, "x"));
    wait_until("the backend has the request", || backend.request_count() == 2);
    proxy.terminate();
    thread::sleep(Duration::from_millis(800));
    // Guards against idle connections that are closed at once: their clients reconnect to other proxies,
    // which may be shutting down as well.
    (&idle).write_all(build_request("read", "l2", 10_000, "").as_bytes()).expect("it is open");
    let late = read_response(&idle).expect("clients are served on the connections that they have");
    assert_eq!((late.status(), late.header("connection")), (200, None));
    let reply = read_response(&slow).expect("a response");
    assert_eq!((reply.status(), reply.header("connection")), (200, Some("close")));
    assert!(read_response(&idle).is_none(), "an idle connection is closed");
    assert!(proxy.wait().success());
}

#[test]
fn graceful_shutdown_serves_a_request_whose_head_arrives_late() {
    // Guards against a timer for incomplete heads that also ends a request whose head was completed in time.
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(2_000));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, _discovery) = start_proxy(&[&backend]);
    let request = build_request("read", "q1", 10_000, "");
    let (first, rest) = request.split_at(30);
    let mut client = connect_and_send(proxy.address, first);
    proxy.terminate();
    thread::sleep(Duration::from_millis(1_000));
    client.write_all(rest.as_bytes()).expect("the rest is written");
    assert!(read_response(&client).is_some(), "the request was accepted and must be answered");
}

#[test]
fn graceful_shutdown_fails_requests_that_it_cannot_finish() {
    let backend = Backend::start(|_, _| true);
    let (mut proxy, _discovery) = start_proxy(&[&backend]);
    let stuck = connect_and_send(proxy.address, &build_request("once", "m1", 20_000, "x"));
    wait_until("the backend has the request", || backend.request_count() == 1);
    proxy.terminate();
    assert_eq!(read_response(&stuck).expect("an answer before the process ends").status(), 502);
    assert!(proxy.wait().success());
}

#[test]
fn invalid_requests_are_rejected_and_not_forwarded() {
    let backend = Backend::answering(OK);
    let (mut proxy, _discovery) = start_proxy(&[&backend]);
    let valid = build_request("keyed", "n1", 8_000, "body");
    assert_eq!(proxy.request(&valid).status(), 200);
    let invalid_requests = [
        valid.replace("Class: keyed", "Class: unheard"),
        valid.replace("Request-Class: keyed\r\n", ""),
        valid.replace("Tenant: acme", "Tenant: nobody"),
        valid.replace("Tenant: acme\r\n", ""),
        valid.replace("Request-Id: n1\r\n", ""),
        valid.replace("Request-Id: n1", "Request-Id: n 1"),
        valid.replace("Request-Id: n1", "Request-Id: n1\r\nRequest-Id: n2"),
        valid.replace("Timeout-Ms: 8000", "Timeout-Ms: soon"),
        valid.replace("Timeout-Ms: 8000", "Timeout-Ms: -1"),
        valid.replace("Timeout-Ms: 8000", "Timeout-Ms: 99999999999999999999"),
        valid.replace("Request-Timeout-Ms: 8000\r\n", ""),
        valid.replace("Idempotency-Key: k1\r\n", ""),
        valid.replace("POST", "GET"),
        valid.replace("Length: 4", "Length: 33554433"),
        valid.replace("Length: 4", "Length: four"),
        valid.replace("Content-Length: 4", "Transfer-Encoding: gzip, chunked"),
        "nonsense\r\n\r\n".to_string(),
    ];
    for request in invalid_requests {
        let status = proxy.request(&request).status();
        assert!((400..=501).contains(&status) && ![429, 500].contains(&status), "{status} for {request}");
    }
    let truncated = connect_and_send(proxy.address, &valid[..valid.len() - 2]);
    truncated.shutdown(Shutdown::Write).expect("it ends");
    assert!(read_response(&truncated).is_none_or(|message| (400..500).contains(&message.status())));
    assert!(proxy.is_running());
    assert_eq!(backend.request_count(), 1);
}

#[test]
fn idle_connections_are_closed_when_descriptors_run_out() {
    let backend = Backend::answering(OK);
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
    // The configuration allows far more descriptors than the operating system.
    let mut proxy = Proxy::start_with_shell("ulimit -n 48; exec \"$0\"", &config);
    let idle: Vec<TcpStream> =
        (0..120).map(|_| connect_and_send(proxy.address, "GET /up HTTP/1.1\r\nHost: p\r\n\r\n")).collect();
    assert_eq!(proxy.request(&build_request("read", "o1", 20_000, "")).status(), 200);
    assert!(proxy.is_running());
    drop(idle);
}

#[test]
fn start_failure_is_reported_in_one_line() {
    let (taken_listener, address) = bind_free_port();
    let (free_listener, free_address) = bind_free_port();
    drop(free_listener);
    let valid = platform_config(address, &endpoint_list(0, true, &[]));
    let cases = [
        (valid.clone(), address, "address"),
        (valid.replace("\"Aim\":2000", "\"Aim\":0"), free_address, "Classes[0].Aim"),
        (valid.replace("\"seed\":\"8c", "\"seed\":\"xx"), free_address, "seed"),
        (valid[..40].to_string(), free_address, "EOF"),
    ];
    for (config, listen, expected) in cases {
        let output = proxy_command("exec \"$0\"", &config, listen).0.output().expect("the program runs");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success());
        assert_eq!(log.lines().count(), 1, "{log}");
        assert!(log.to_lowercase().contains(&expected.to_lowercase()), "{log}");
    }
    let missing = proxy_command("unset NODE_CONFIG; exec \"$0\"", &valid, free_address)
        .0
        .output()
        .expect("the program runs");
    assert!(!missing.status.success());
    assert_eq!(missing.stderr, b"hillstall: NODE_CONFIG is not set\n");
    drop(taken_listener);
}

#[test]
fn rejection_has_retry_after_and_is_immediate() {
    let (proxy, _discovery) = start_proxy(&[]);
    let sent_at = Instant::now();
    let reply = proxy.request(&build_request("read", "r1", 20_000, ""));
    assert_eq!(reply.status(), 503);
    let after: f64 = reply.header("retry-after").expect("a time").parse().expect("seconds");
    assert!(after > 0.0 && after <= 2.0, "{after}");
    assert!(sent_at.elapsed() < Duration::from_secs(10), "a rejection is sent without delay");
}
