//! System calls that fail for a moment, in the ways that Linux documents.

use super::*;
use hillstall_fault_injection::system_faults::{error_number, SystemFault, SystemFaults};

/// Starts a proxy whose system calls can be made to fail; `before` sets the faults of its start.
fn start_with_faults(
    backends: &[&Backend],
    before: impl FnOnce(&SystemFaults),
) -> (Proxy, Discovery, SystemFaults) {
    let faults = SystemFaults::new().expect("the library of faults is compiled");
    before(&faults);
    let (proxy, discovery) = start_with(backends, &faults);
    (proxy, discovery, faults)
}

/// Starts a proxy with these faults.
fn start_with(backends: &[&Backend], faults: &SystemFaults) -> (Proxy, Discovery) {
    let names =
        backends.iter().enumerate().map(|(i, backend)| endpoint(&format!("b{i}"), backend.address, "ready"));
    let discovery = Discovery::start(Some(endpoint_list(5, true, &names.collect::<Vec<_>>())));
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
    (Proxy::start_with_shell(&format!("{} exec \"$0\"", fault_variables(faults)), &config), discovery)
}

// Guards against connections that are not read any more after a read that returned less than there was.
#[test]
fn short_reads_and_writes_lose_no_request() {
    let body = "x".repeat(3_000);
    let response: &'static str = Box::leak(ok_response(&body).into_boxed_str());
    let backend = Backend::answering(response);
    let (proxy, _discovery, faults) = start_with_faults(&[&backend], |_| {});
    for max_bytes in [1, 7, 100] {
        faults.set(SystemFault::MaxTransferBytes, max_bytes).expect("the fault is set");
        for class in ["read", "keyed", "once"] {
            let id = format!("{class}-{max_bytes}");
            let request_body = if class == "read" { "" } else { &body };
            let reply = proxy.request(&build_request(class, &id, 8_000, request_body));
            assert_eq!((reply.status(), reply.body.len()), (200, body.len()), "{id}");
        }
    }
    assert_eq!(backend.request_count(), 9);
    assert!(faults.injected_count().expect("the count") > 0, "no transfer was short");
}

// Guards against admin commands, and ids told to the other process of an upgrade, that are read only in part.
#[test]
fn short_reads_leave_no_admin_command_and_no_id_of_an_upgrade_unread() {
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(1_500));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (proxy, discovery, faults) = start_with_faults(&[&backend], |faults| {
        faults.set(SystemFault::MaxTransferBytes, 1).expect("the fault is set");
    });
    let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
    let (newer, admin) = proxy.start_newer_with(&fault_variables(&faults), &config);
    assert!(admin_command(admin, "INFO\n").ends_with("EOF\n"));
    let id = "an-id-of-many-bytes";
    let open = connect_and_send(proxy.address, &build_request("once", id, 8_000, "x"));
    wait_until("the request runs", || backend.request_count() == 1);
    // Connections are spread over both processes; each has to know the id.
    for _ in 0..8 {
        let reply = newer.request(&build_request("once", id, 8_000, "x"));
        assert_eq!(reply.status(), 409);
    }
    assert_eq!(read_response(&open).expect("a response").status(), 200);
}

/// How long a fault lasts that is to be survived.
const MOMENT: Duration = Duration::from_millis(300);

/// Turns a fault off after [`MOMENT`].
fn clear_after_a_moment(faults: &SystemFaults, fault: SystemFault) {
    thread::sleep(MOMENT);
    faults.set(fault, 0).expect("the fault is cleared");
}

// Guards against a process that ends at its start because a socket can't be opened for a moment.
#[test]
fn a_process_starts_although_no_socket_can_be_opened_for_a_moment() {
    for error in [error_number::ENFILE, error_number::ENOBUFS] {
        let backend = Backend::answering(OK);
        let cleared = std::sync::Mutex::new(None);
        let faults = SystemFaults::new().expect("the library of faults is compiled");
        faults.set(SystemFault::SocketError, error).expect("the fault is set");
        thread::scope(|scope| {
            scope.spawn(|| {
                wait_until("the fault bites", || faults.injected_count().expect("the count") > 0);
                clear_after_a_moment(&faults, SystemFault::SocketError);
                *cleared.lock().unwrap() = Some(Instant::now());
            });
            let (proxy, _discovery) = start_with(&[&backend], &faults);
            assert!(cleared.lock().unwrap().is_some(), "error {error}: it served before");
            assert_eq!(
                proxy.request(&build_request("once", "a1", 8_000, "x")).status(),
                200,
                "error {error}"
            );
        });
    }
}

// Guards against clients that are not accepted any more after accepting failed for a moment.
#[test]
fn clients_that_connect_while_accepting_fails_are_served() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery, faults) = start_with_faults(&[&backend], |_| {});
    for error in [error_number::ECONNABORTED, error_number::ENFILE, error_number::ENOBUFS] {
        faults.set(SystemFault::AcceptError, error).expect("the fault is set");
        let clients: Vec<TcpStream> = (0..4)
            .map(|n| {
                connect_and_send(proxy.address, &build_request("once", &format!("e{error}-{n}"), 8_000, "x"))
            })
            .collect();
        clear_after_a_moment(&faults, SystemFault::AcceptError);
        for client in &clients {
            assert_eq!(read_response(client).map(|reply| reply.status()), Some(200), "error {error}");
        }
    }
    assert!(faults.injected_count().expect("the count") > 0, "accepting did not fail");
}

// Guards against clients that lose their connections, and what they have just sent, for a moment in which the whole
// system has no descriptors.
#[test]
fn no_client_is_closed_for_a_moment_in_which_the_system_is_out_of_descriptors() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery, faults) = start_with_faults(&[&backend], |_| {});
    let mut kept: Vec<TcpStream> = (0..6)
        .map(|n| connect_and_send(proxy.address, &build_request("once", &format!("k{n}"), 8_000, "x")))
        .collect();
    for client in &kept {
        assert_eq!(read_response(client).map(|reply| reply.status()), Some(200));
    }
    kept.extend((0..4).map(|_| connect_and_send(proxy.address, "")));
    assert_eq!(proxy.request("GET /up HTTP/1.1\r\nHost: p\r\n\r\n").status(), 200);
    faults.set(SystemFault::AcceptError, error_number::ENFILE).expect("the fault is set");
    let waiting = connect_and_send(proxy.address, &build_request("once", "waiting", 8_000, "x"));
    wait_until("accepting fails", || faults.injected_count().expect("the count") > 20);
    faults.set(SystemFault::AcceptError, 0).expect("the fault is cleared");
    for (n, client) in kept.iter_mut().enumerate() {
        client
            .write_all(build_request("once", &format!("l{n}"), 8_000, "x").as_bytes())
            .expect("a request is written");
        assert_eq!(read_response(client).map(|reply| reply.status()), Some(200), "client {n}");
    }
    assert_eq!(read_response(&waiting).map(|reply| reply.status()), Some(200));
}

// Guards against requests that are given up, and backends that are blamed, for a fault of this machine.
#[test]
fn requests_outlast_a_moment_in_which_no_backend_can_be_connected_to() {
    let errors = [
        error_number::EADDRNOTAVAIL,
        error_number::ENETUNREACH,
        error_number::ENOBUFS,
        error_number::ECONNABORTED,
    ];
    for error in errors {
        for fault in [SystemFault::ConnectError, SystemFault::SocketError] {
            let backends = [(); 3].map(|()| Backend::answering(OK));
            let (proxy, _discovery, faults) =
                start_with_faults(&[&backends[0], &backends[1], &backends[2]], |_| {});
            faults.set(fault, error).expect("the fault is set");
            let clients: Vec<TcpStream> = (0..10)
                .map(|n| {
                    let class = ["read", "keyed", "once"][n % 3];
                    let body = if class == "read" { "" } else { "x" };
                    connect_and_send(proxy.address, &build_request(class, &format!("f{n}"), 8_000, body))
                })
                .collect();
            clear_after_a_moment(&faults, fault);
            for client in &clients {
                let status = read_response(client).map(|reply| reply.status());
                assert_eq!(status, Some(200), "{fault:?} {error}");
            }
            assert!(faults.injected_count().expect("the count") > 0, "no connect failed");
        }
    }
}

// Guards against a request that is sent again after its connection broke in another way than by a reset.
#[test]
fn a_request_whose_connection_times_out_or_becomes_unreachable_is_not_sent_twice() {
    for error in [error_number::ETIMEDOUT, error_number::EHOSTUNREACH] {
        let backend = Backend::start(|_, stream| {
            thread::sleep(MOMENT);
            stream.write_all(OK.as_bytes()).is_ok()
        });
        let (proxy, _discovery, faults) = start_with_faults(&[&backend, &Backend::answering(OK)], |_| {});
        let client = connect_and_send(proxy.address, &build_request("once", "g1", 8_000, "x"));
        wait_until("the request runs or is answered", || {
            backend.request_count() == 1 || matches!(client.peek(&mut [0]), Ok(1))
        });
        faults.set(SystemFault::ReadError, error).expect("the fault is set");
        clear_after_a_moment(&faults, SystemFault::ReadError);
        // The client's own connection may have broken as well.
        let _ = read_response(&client);
        assert!(backend.request_count() <= 1, "error {error}");
        assert_eq!(proxy.request(&build_request("once", "g2", 8_000, "x")).status(), 200, "error {error}");
    }
}

// Guards against a process that ends or stops when its waits are interrupted.
#[test]
fn interrupted_waits_lose_no_request() {
    let backend = Backend::answering(OK);
    let (proxy, _discovery, faults) = start_with_faults(&[&backend], |faults| {
        faults.set(SystemFault::InterruptWaits, 1).expect("the fault is set");
    });
    for n in 0..50 {
        assert_eq!(proxy.request(&build_request("once", &format!("i{n}"), 8_000, "x")).status(), 200);
    }
    assert!(faults.injected_count().expect("the count") > 0, "no wait was interrupted");
}

// Guards against connections that wait to be accepted and are reset by the close of the listener, as accepting
// fails just then.
#[test]
fn clients_that_wait_to_be_accepted_when_accepting_fails_at_a_handover_are_served() {
    for error in [error_number::ECONNABORTED, error_number::ENFILE, error_number::ENOBUFS] {
        let backend = Backend::answering(OK);
        let (older, discovery, faults) = start_with_faults(&[&backend], |_| {});
        let config = platform_config(discovery.address, &endpoint_list(0, true, &[]));
        let (_newer, _admin) = older.start_newer(&config);
        faults.set(SystemFault::AcceptError, error).expect("the fault is set");
        // The system spreads the connections over the listeners of both processes.
        let clients: Vec<TcpStream> = (0..8)
            .map(|n| connect_and_send(older.address, &build_request("once", &format!("h{n}"), 8_000, "x")))
            .collect();
        older.terminate();
        clear_after_a_moment(&faults, SystemFault::AcceptError);
        for client in &clients {
            let status = read_response(client).map(|reply| reply.status());
            assert_eq!(status, Some(200), "error {error}");
        }
        assert!(faults.injected_count().expect("the count") > 0, "accepting did not fail");
    }
}
