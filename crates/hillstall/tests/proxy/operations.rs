//! Operation of the proxy: the admin address, metrics, drains and upgrades.

use super::*;
use std::net::SocketAddr;

/// Starts a proxy with an admin address, whose discovery lists these backends.
fn start_for_backends(backends: &[&Backend]) -> (Proxy, SocketAddr, Discovery) {
    let names =
        backends.iter().enumerate().map(|(i, backend)| endpoint(&format!("b{i}"), backend.address, "ready"));
    let discovery = Discovery::start(Some(endpoint_list(5, true, &names.collect::<Vec<_>>())));
    let (proxy, admin) =
        Proxy::start_with_admin(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
    (proxy, admin, discovery)
}

/// The status of the health check.
fn health_status(proxy: &Proxy) -> u16 {
    proxy.request("GET /up HTTP/1.1\r\nHost: p\r\n\r\n").status()
}

#[test]
fn admin_address_answers_each_command() {
    let (mut proxy, admin, _discovery) = start_for_backends(&[]);
    assert!(admin_command(admin, "PING\n").starts_with("200"));
    assert!(admin_command(admin, "PING\r\n").starts_with("200"), "a line may end with CRLF");
    let figures = admin_command(admin, "INFO\n");
    assert!(
        figures.contains("svc_answered{group=\"read\"} 0\n") && figures.ends_with("\nEOF\n"),
        "{figures}"
    );
    let long = "PING".repeat(20_000) + "\n";
    for line in ["\n", "ping\n", "PING INFO\n", " PING\n", "\u{0}\n", "GET / HTTP/1.1\r\n\r\n", &long] {
        assert!(admin_command(admin, line).starts_with("400"), "{line:.20}");
    }
    assert!(proxy.is_running());
}

#[test]
fn unfinished_admin_commands_do_not_block_others() {
    let (_proxy, admin, _discovery) = start_for_backends(&[]);
    let idle: Vec<TcpStream> = (0..60).map(|_| connect_and_send(admin, "PIN")).collect();
    assert!(admin_command(admin, "PING\n").starts_with("200"));
    for mut stream in idle {
        assert!(!matches!(stream.read(&mut [0; 64]), Ok(n) if n > 0), "an unfinished command has no answer");
    }
}

#[test]
fn unusable_admin_address_is_named_in_the_error() {
    let (taken_listener, address) = bind_free_port();
    let valid = platform_config(address, &endpoint_list(0, true, &[]));
    for (value, expected) in
        [("\"nowhere\"", "nowhere"), ("7", "string"), (&*format!("\"{address}\""), "use")]
    {
        let config = valid.replacen('{', &format!("{{\"admin_addr\":{value},"), 1);
        let output = proxy_command("exec \"$0\"", &config, "127.0.0.1:0".parse().unwrap())
            .0
            .output()
            .expect("the program runs");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && log.contains("admin_addr") && log.contains(expected), "{log}");
    }
    drop(taken_listener);
}

#[test]
fn metrics_count_ended_and_open_requests() {
    let (listener, dead) = bind_free_port();
    drop(listener);
    let backend = Backend::start(|n, stream| match n {
        0 => stream.write_all(OK.as_bytes()).is_ok(),
        1 => false,
        _ => true,
    });
    let entries = [endpoint("b0", backend.address, "ready"), endpoint("b1", dead, "draining")];
    let discovery = Discovery::start(Some(endpoint_list(5, true, &entries)));
    let (proxy, admin) =
        Proxy::start_with_admin(&platform_config(discovery.address, &endpoint_list(0, true, &[])));
    assert_eq!((metric(admin, "svc_cluster_size"), metric(admin, "svc_cluster_unhealthy")), (2, 1));
    assert_eq!(proxy.request(&build_request("once", "a1", 8_000, "x")).status(), 200);
    assert_eq!(proxy.request(&build_request("once", "a2", 8_000, "x")).status(), 502);
    let waiting = connect_and_send(proxy.address, &build_request("once", "a3", 20_000, "x"));
    // An attempt is counted when it is sent, not when its outcome is known.
    wait_until("the third attempt is counted", || metric(admin, "svc_sends{group=\"once\"}") == 3);
    assert_eq!(metric(admin, "svc_current"), 1);
    discovery.send_to_watches(&endpoint_list(6, true, &[endpoint("b0", backend.address, "draining")]));
    wait_until("the new list is in use", || metric(admin, "svc_cluster_size") == 1);
    assert_eq!(proxy.request(&build_request("read", "a4", 8_000, "")).status(), 503);
    drop(waiting);
    wait_until("no request is open", || metric(admin, "svc_current") == 0);
    let once = ["answered", "deferred", "errored"]
        .map(|name| metric(admin, &format!("svc_{name}{{group=\"once\"}}")));
    assert_eq!(once, [1, 0, 1], "the request whose client disconnected is not counted");
    assert_eq!(metric(admin, "svc_deferred{group=\"read\"}"), 1);
}

#[test]
fn drain_closes_connections_and_rejoin_resumes_service() {
    let backend = Backend::start(|n, stream| {
        if n == 1 {
            thread::sleep(Duration::from_millis(1_500));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, admin, _discovery) = start_for_backends(&[&backend]);
    let idle = connect_and_send(proxy.address, &build_request("read", "b0", 10_000, ""));
    assert_eq!(read_response(&idle).expect("a response").status(), 200);
    let busy = connect_and_send(proxy.address, &build_request("once", "b1", 10_000, "x"));
    wait_until("the backend has the request", || backend.request_count() == 2);
    assert!(admin_command(admin, "LAMEDUCK\n").starts_with("200"));
    assert_ne!(health_status(&proxy), 200);
    assert!(admin_command(admin, "PING\n").starts_with("400"));
    // A client that has not noticed the failing health check yet is still served.
    assert_eq!(proxy.request(&build_request("read", "b2", 10_000, "")).status(), 200);
    assert!(read_response(&idle).is_none(), "an idle connection is closed");
    let last = read_response(&busy).expect("a response");
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    assert!(read_response(&busy).is_none());
    assert!(proxy.is_running());
    assert!(admin_command(admin, "REJOIN\n").starts_with("200"));
    assert_eq!(health_status(&proxy), 200);
    let kept = connect_and_send(proxy.address, &build_request("read", "b3", 10_000, ""));
    assert_eq!(read_response(&kept).expect("a response").header("connection"), None);
}

#[test]
fn consecutive_upgrades_lose_no_request() {
    let backend = Backend::answering(OK);
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
    let (mut proxy, _admin) = Proxy::start_with_admin(&config);
    for round in 0..2 {
        // During the upgrade, some clients open a connection for each request, and one keeps its connection
        // open.
        let kept = connect_and_send(proxy.address, &build_request("once", &format!("k{round}"), 8_000, "x"));
        assert_eq!(read_response(&kept).expect("a response").status(), 200);
        let is_upgraded = std::sync::atomic::AtomicBool::new(false);
        let dropped_connections = std::sync::atomic::AtomicUsize::new(0);
        let (address, is_over, dropped) = (proxy.address, &is_upgraded, &dropped_connections);
        let (newer, admin) = thread::scope(|scope| {
            let clients: Vec<_> = (0..4)
                .map(|client| {
                    scope.spawn(move || {
                        let mut n = 0;
                        while n < 20 || !is_over.load(Ordering::SeqCst) {
                            let id = format!("u{round}-{client}-{n}");
                            match try_request(address, &build_request("read", &id, 8_000, "")) {
                                Some(reply) => assert_eq!(reply.status(), 200),
                                // The operating system may complete a handshake just as the listener is
                                // closed.
                                None => assert!(dropped.fetch_add(1, Ordering::SeqCst) < 2, "unanswered"),
                            }
                            n += 1;
                        }
                    })
                })
                .collect();
            let (newer, admin) = proxy.start_newer(&config);
            proxy.terminate();
            assert!(read_response(&kept).is_none(), "an idle connection is closed in order");
            assert!(proxy.wait().success());
            // Only after the end of the older process do all requests go to the newer one.
            let before = metric(admin, "svc_answered{group=\"read\"}");
            wait_until("the newer one serves", || metric(admin, "svc_answered{group=\"read\"}") > before);
            is_over.store(true, Ordering::SeqCst);
            clients.into_iter().for_each(|client| client.join().expect("it was served"));
            (newer, admin)
        });
        assert_eq!(metric(admin, "svc_errored{group=\"read\"}"), 0);
        proxy = newer;
    }
}

#[test]
fn newer_process_without_endpoints_accepts_no_client() {
    let backend = Backend::answering(OK);
    let (proxy, _admin, _discovery) = start_for_backends(&[&backend]);
    let silent_discovery = Discovery::start(None);
    let (listener, admin) = bind_free_port();
    drop(listener);
    let line = format!("NODE_ADMIN_ADDR={admin} exec \"$0\"");
    let (mut command, _config) = proxy_command(
        &line,
        &platform_config(silent_discovery.address, &endpoint_list(0, true, &[])),
        proxy.address,
    );
    let mut newer = command.spawn().expect("the process starts");
    wait_until("the newer process has sent a request to discovery", || {
        !silent_discovery.requests.lock().unwrap().is_empty()
    });
    for n in 0..50 {
        assert_eq!(proxy.request(&build_request("read", &format!("w{n}"), 8_000, "")).status(), 200);
    }
    newer.kill().expect("the process is killed");
    newer.wait().expect("the process has ended");
    assert_eq!(proxy.request(&build_request("read", "w", 8_000, "")).status(), 200);
}

#[test]
fn connections_in_the_accept_queue_of_the_older_process_are_served() {
    let backend = Backend::answering(OK);
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
    let (mut proxy, _admin) = Proxy::start_with_admin(&config);
    let (_newer, _admin) = proxy.start_newer(&config);
    proxy.signal("-STOP");
    // The operating system distributes these over both listeners; about half wait for the suspended process.
    let clients: Vec<TcpStream> = (0..40)
        .map(|n| connect_and_send(proxy.address, &build_request("read", &format!("q{n}"), 20_000, "")))
        .collect();
    proxy.terminate();
    proxy.signal("-CONT");
    for client in clients {
        // Some of so many at once may be rejected, but each must get a response.
        assert!(read_response(&client).is_some(), "no response");
    }
    assert!(proxy.wait().success());
}
