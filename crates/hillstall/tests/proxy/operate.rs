//! What those who operate the proxy rely on: the second address, the figures, drains and upgrades.

use super::*;
use std::net::SocketAddr;

fn operated(backends: &[&Backend]) -> (Proxy, SocketAddr, Discovery) {
    let names = backends.iter().enumerate().map(|(i, b)| entry(&format!("b{i}"), b.address, "ready"));
    let discovery = Discovery::start(Some(list(5, true, &names.collect::<Vec<_>>())));
    let (proxy, admin) = Proxy::start_operated(&config(discovery.address, &list(0, true, &[])));
    (proxy, admin, discovery)
}

fn up(proxy: &Proxy) -> u16 {
    proxy.call("GET /up HTTP/1.1\r\nHost: p\r\n\r\n").status()
}

#[test]
fn the_second_address_answers_each_call_with_its_line() {
    let (mut proxy, admin, _discovery) = operated(&[]);
    assert!(operate(admin, "PING\n").starts_with("200"));
    assert!(operate(admin, "PING\r\n").starts_with("200"), "as some terminals end lines");
    let figures = operate(admin, "INFO\n");
    assert!(
        figures.contains("svc_answered{group=\"read\"} 0\n") && figures.ends_with("\nEOF\n"),
        "{figures}"
    );
    let long = "PING".repeat(20_000) + "\n";
    for line in ["\n", "ping\n", "PING INFO\n", " PING\n", "\u{0}\n", "GET / HTTP/1.1\r\n\r\n", &long] {
        assert!(operate(admin, line).starts_with("400"), "{line:.20}");
    }
    assert!(proxy.is_running());
}

#[test]
fn callers_that_finish_no_call_do_not_keep_others_waiting() {
    let (_proxy, admin, _discovery) = operated(&[]);
    let idle: Vec<TcpStream> = (0..60).map(|_| open(admin, "PIN")).collect();
    assert!(operate(admin, "PING\n").starts_with("200"));
    for mut stream in idle {
        assert!(!matches!(stream.read(&mut [0; 64]), Ok(n) if n > 0), "it is closed without an answer");
    }
}

#[test]
fn a_second_address_that_cannot_be_used_is_named() {
    let (taken, address) = listen();
    let good = config(address, &list(0, true, &[]));
    for (value, why) in [("\"nowhere\"", "nowhere"), ("7", "string"), (&*format!("\"{address}\""), "use")] {
        let config = good.replacen('{', &format!("{{\"admin_addr\":{value},"), 1);
        let output =
            spawn("exec \"$0\"", &config, "127.0.0.1:0".parse().unwrap()).0.output().expect("it runs");
        let log = String::from_utf8(output.stderr).expect("text");
        assert!(!output.status.success() && log.contains("admin_addr") && log.contains(why), "{log}");
    }
    drop(taken);
}

#[test]
fn figures_tell_what_happened_and_what_is_going_on() {
    let (listener, dead) = listen();
    drop(listener);
    let backend = Backend::start(|n, stream| match n {
        0 => stream.write_all(OK.as_bytes()).is_ok(),
        1 => false,
        _ => true,
    });
    let entries = [entry("b0", backend.address, "ready"), entry("b1", dead, "draining")];
    let discovery = Discovery::start(Some(list(5, true, &entries)));
    let (proxy, admin) = Proxy::start_operated(&config(discovery.address, &list(0, true, &[])));
    assert_eq!((figure(admin, "svc_cluster_size"), figure(admin, "svc_cluster_unhealthy")), (2, 1));
    assert_eq!(proxy.call(&ask("once", "a1", 8_000, "x")).status(), 200);
    assert_eq!(proxy.call(&ask("once", "a2", 8_000, "x")).status(), 502);
    let waiting = open(proxy.address, &ask("once", "a3", 20_000, "x"));
    // The send is counted when it is written, long before its outcome.
    until("the third send", || figure(admin, "svc_sends{group=\"once\"}") == 3);
    assert_eq!(figure(admin, "svc_current"), 1);
    discovery.say(&list(6, true, &[entry("b0", backend.address, "draining")]));
    until("the list", || figure(admin, "svc_cluster_size") == 1);
    assert_eq!(proxy.call(&ask("read", "a4", 8_000, "")).status(), 503);
    drop(waiting);
    until("nothing is open", || figure(admin, "svc_current") == 0);
    let once =
        ["answered", "deferred", "errored"].map(|n| figure(admin, &format!("svc_{n}{{group=\"once\"}}")));
    assert_eq!(once, [1, 0, 1], "no word on the one whose caller left");
    assert_eq!(figure(admin, "svc_deferred{group=\"read\"}"), 1);
}

#[test]
fn a_drain_empties_the_proxy_and_a_rejoin_takes_it_back() {
    let backend = Backend::start(|n, stream| {
        if n == 1 {
            thread::sleep(Duration::from_millis(1_500));
        }
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, admin, _discovery) = operated(&[&backend]);
    let idle = open(proxy.address, &ask("read", "b0", 10_000, ""));
    assert_eq!(answer(&idle).expect("an answer").status(), 200);
    let busy = open(proxy.address, &ask("once", "b1", 10_000, "x"));
    until("the request is out", || backend.seen() == 2);
    assert!(operate(admin, "LAMEDUCK\n").starts_with("200"));
    assert_ne!(up(&proxy), 200);
    assert!(operate(admin, "PING\n").starts_with("400"));
    // The front has not noticed yet.
    assert_eq!(proxy.call(&ask("read", "b2", 10_000, "")).status(), 200);
    assert!(answer(&idle).is_none(), "an idle connection is closed");
    let last = answer(&busy).expect("an answer");
    assert_eq!((last.status(), last.header("connection")), (200, Some("close")));
    assert!(answer(&busy).is_none());
    assert!(proxy.is_running());
    assert!(operate(admin, "REJOIN\n").starts_with("200"));
    assert_eq!(up(&proxy), 200);
    let kept = open(proxy.address, &ask("read", "b3", 10_000, ""));
    assert_eq!(answer(&kept).expect("an answer").header("connection"), None);
}

#[test]
fn an_upgrade_loses_no_request_and_can_be_followed_by_another() {
    let backend = Backend::saying(OK);
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])));
    let config = config(discovery.address, &list(0, true, &[]));
    let (mut proxy, _admin) = Proxy::start_operated(&config);
    for round in 0..2 {
        // Callers that connect for each request, and one that keeps its connection; all through the change.
        let kept = open(proxy.address, &ask("once", &format!("k{round}"), 8_000, "x"));
        assert_eq!(answer(&kept).expect("an answer").status(), 200);
        let changed = std::sync::atomic::AtomicBool::new(false);
        let at_the_door = std::sync::atomic::AtomicUsize::new(0);
        let (address, over, door) = (proxy.address, &changed, &at_the_door);
        let (newer, admin) = thread::scope(|scope| {
            let callers: Vec<_> = (0..4)
                .map(|caller| {
                    scope.spawn(move || {
                        let mut n = 0;
                        while n < 20 || !over.load(Ordering::SeqCst) {
                            let id = format!("u{round}-{caller}-{n}");
                            match try_call(address, &ask("read", &id, 8_000, "")) {
                                Some(reply) => assert_eq!(reply.status(), 200),
                                // The system may complete a connection in the very moment of the close.
                                None => assert!(door.fetch_add(1, Ordering::SeqCst) < 2, "left at the door"),
                            }
                            n += 1;
                        }
                    })
                })
                .collect();
            let (newer, admin) = proxy.start_beside(&config);
            proxy.terminate();
            assert!(answer(&kept).is_none(), "an idle connection is closed in order");
            assert!(proxy.wait().success());
            // Not before the older process has ended does all go to the newer one.
            let so_far = figure(admin, "svc_answered{group=\"read\"}");
            until("the newer one serves", || figure(admin, "svc_answered{group=\"read\"}") > so_far);
            over.store(true, Ordering::SeqCst);
            callers.into_iter().for_each(|caller| caller.join().expect("it was served"));
            (newer, admin)
        });
        assert_eq!(figure(admin, "svc_errored{group=\"read\"}"), 0);
        proxy = newer;
    }
}

#[test]
fn a_newer_process_that_cannot_serve_yet_takes_no_client() {
    let backend = Backend::saying(OK);
    let (proxy, _admin, _discovery) = operated(&[&backend]);
    let silent = Discovery::start(None);
    let (listener, admin) = listen();
    drop(listener);
    let line = format!("NODE_ADMIN_ADDR={admin} exec \"$0\"");
    let (mut command, _config) = spawn(&line, &config(silent.address, &list(0, true, &[])), proxy.address);
    let mut newer = command.spawn().expect("it starts");
    until("it has asked discovery", || !silent.asked.lock().unwrap().is_empty());
    for n in 0..50 {
        assert_eq!(proxy.call(&ask("read", &format!("w{n}"), 8_000, "")).status(), 200);
    }
    newer.kill().expect("it is killed");
    newer.wait().expect("it has ended");
    assert_eq!(proxy.call(&ask("read", "w", 8_000, "")).status(), 200);
}

#[test]
fn what_waits_in_the_queue_of_an_older_process_is_served() {
    let backend = Backend::saying(OK);
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])));
    let config = config(discovery.address, &list(0, true, &[]));
    let (mut proxy, _admin) = Proxy::start_operated(&config);
    let (_newer, _admin) = proxy.start_beside(&config);
    proxy.signal("-STOP");
    // The system shares these out; about half of them wait for the one that is held.
    let callers: Vec<TcpStream> =
        (0..40).map(|n| open(proxy.address, &ask("read", &format!("q{n}"), 20_000, ""))).collect();
    proxy.terminate();
    proxy.signal("-CONT");
    for caller in callers {
        // So many at once may be refused, but each is told.
        assert!(answer(&caller).is_some(), "it was left at the door");
    }
    assert!(proxy.wait().success());
}
