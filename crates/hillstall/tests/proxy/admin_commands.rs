//! Every admin command with its exact answer; where values vary, the names of the metrics in their order.

use super::*;
use std::net::SocketAddr;

const UNKNOWN_COMMAND: &str = "400 not a call; there are PING, INFO, LAMEDUCK and REJOIN\n";

/// The names of the metrics that `INFO` lists.
fn metric_names(admin: SocketAddr) -> Vec<String> {
    admin_command(admin, "INFO\n")
        .lines()
        .map(|line| line.split(' ').next().unwrap_or_default().to_owned())
        .collect()
}

/// The configuration of a proxy whose discovery lists this backend.
fn config_with_backend(backend: &Backend) -> String {
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    platform_config(discovery.address, &endpoint_list(0, true, &[]))
}

#[test]
fn commands_have_exact_answers_while_serving_and_draining() {
    let (_proxy, admin) = Proxy::start_with_admin(&config_with_backend(&Backend::answering(OK)));
    let too_long = "PING".repeat(64) + "\n";
    let just_short_enough = "P".repeat(255) + "\n";
    for (line, answer) in [
        ("PING\n", "200 serving\n"),
        ("PING\r\n", "200 serving\n"),
        ("REJOIN\n", "200 serving\n"),
        ("LAMEDUCK\n", "200 draining\n"),
        ("PING\n", "400 draining\n"),
        ("LAMEDUCK\n", "200 draining\n"),
        ("REJOIN\n", "200 serving\n"),
        ("PING\n", "200 serving\n"),
        ("ping\n", UNKNOWN_COMMAND),
        ("\n", UNKNOWN_COMMAND),
        ("PING INFO\n", UNKNOWN_COMMAND),
        // Without coordination its commands are unknown.
        ("FLEET\n", UNKNOWN_COMMAND),
        ("WINDOW\n", UNKNOWN_COMMAND),
        ("INCIDENT\n", UNKNOWN_COMMAND),
        ("CHANGE\n", UNKNOWN_COMMAND),
        ("RECORD\n", UNKNOWN_COMMAND),
        (&just_short_enough, UNKNOWN_COMMAND),
        (&too_long, "400 the line is too long\n"),
    ] {
        assert_eq!(admin_command(admin, line), answer, "{line:.20}");
    }
}

#[test]
fn metrics_of_a_fresh_process_are_exact() {
    let (_proxy, admin) = Proxy::start_with_admin(&config_with_backend(&Backend::answering(OK)));
    let expected = "svc_answered{group=\"read\"} 0\nsvc_deferred{group=\"read\"} 0\n\
        svc_errored{group=\"read\"} 0\nsvc_sends{group=\"read\"} 0\n\
        svc_answered{group=\"keyed\"} 0\nsvc_deferred{group=\"keyed\"} 0\n\
        svc_errored{group=\"keyed\"} 0\nsvc_sends{group=\"keyed\"} 0\n\
        svc_answered{group=\"once\"} 0\nsvc_deferred{group=\"once\"} 0\n\
        svc_errored{group=\"once\"} 0\nsvc_sends{group=\"once\"} 0\n\
        svc_current 0\nsvc_cluster_size 1\nsvc_cluster_unhealthy 0\nEOF\n";
    wait_until("the proxy has the endpoint list", || {
        admin_command(admin, "INFO\n").contains("svc_cluster_size 1")
    });
    assert_eq!(admin_command(admin, "INFO\n"), expected);
}

#[test]
fn unserved_requests_and_ended_attempts_have_metrics_after_those_of_the_classes() {
    // The backend closes the connection after the whole request: it may have run, and must not be retried.
    let (proxy, admin) = Proxy::start_with_admin(&config_with_backend(&Backend::start(|_, _| false)));
    assert_eq!(proxy.request(&build_request("once", "a1", 8_000, "x")).status(), 502);
    let of = |class: &str| {
        ["answered", "deferred", "errored", "sends"].map(|name| format!("svc_{name}{{group=\"{class}\"}}"))
    };
    let mut expected: Vec<String> = ["read", "keyed", "once"].into_iter().flat_map(of).collect();
    expected.push("svc_unserved{group=\"once\",reason=\"no-repeat\"}".to_owned());
    expected.push("svc_attempts{group=\"once\",outcome=\"Reset\"}".to_owned());
    expected.extend(["svc_current", "svc_cluster_size", "svc_cluster_unhealthy", "EOF"].map(str::to_owned));
    assert_eq!(metric_names(admin), expected);
}

#[test]
fn ping_reports_a_missing_endpoint_list() {
    let silent_discovery = Discovery::start(None);
    let (listener, admin) = bind_free_port();
    drop(listener);
    let command_line = format!("NODE_ADMIN_ADDR={admin} exec \"$0\"");
    let port = ReservedPort::take().expect("a port");
    let (mut command, _config) = proxy_command(
        &command_line,
        &platform_config(silent_discovery.address, &endpoint_list(0, true, &[])),
        port.address(),
    );
    let mut process = command.spawn().expect("the process starts");
    wait_until("the admin address accepts connections", || TcpStream::connect(admin).is_ok());
    let answers = ["PING\n", "LAMEDUCK\n", "REJOIN\n"].map(|line| admin_command(admin, line));
    process.kill().expect("the process is killed");
    process.wait().expect("the process has ended");
    let [ping, drain, rejoin] = answers;
    assert_eq!(ping, "400 no backend list yet\n");
    assert_eq!((drain.as_str(), rejoin.as_str()), ("200 draining\n", "200 serving\n"));
}

#[test]
fn admin_commands_are_answered_until_the_last_request_is_done() {
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(1_500));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, admin) = Proxy::start_with_admin(&config_with_backend(&backend));
    let waiting = connect_and_send(proxy.address, &build_request("once", "a1", 10_000, "x"));
    wait_until("the backend has the request", || backend.request_count() == 1);
    proxy.terminate();
    wait_until("the process has handled SIGTERM", || admin_command(admin, "PING\n") != "200 serving\n");
    let answers = ["PING\n", "LAMEDUCK\n", "REJOIN\n"].map(|line| admin_command(admin, line));
    assert_eq!(answers, ["400 stopping\n", "400 starting or stopping\n", "400 starting or stopping\n"]);
    assert_eq!(read_response(&waiting).expect("a response").status(), 200);
    assert!(proxy.wait().success());
}

#[test]
fn newer_process_reports_no_coordination_while_the_older_one_has_the_disk() {
    let (listener, keeper) = bind_free_port();
    drop(listener);
    let folder = tempfile::tempdir().expect("a folder");
    let operator = folder.path().join("operator.toml");
    let section = format!(
        "[fleet]\nname = \"one\"\nkeepers = [\"{keeper}\"]\nkeeper = 0\nlisten = \"{keeper}\"\ndisk = \"{}\"\n",
        folder.path().display()
    );
    std::fs::write(&operator, section).expect("the write succeeds");
    let allowed = config_with_backend(&Backend::answering(OK)).replacen(
        "\"Allowed\":{",
        "\"Allowed\":{\"Peers\":true,",
        1,
    );
    let start = |admin: SocketAddr| {
        format!("NODE_ADMIN_ADDR={admin} exec \"$0\" run --operator {}", operator.display())
    };
    let [first, second] = [(); 2].map(|()| bind_free_port().1);
    let older = Proxy::start_with_shell(&start(first), &allowed);
    wait_until("the older process takes part in coordination", || {
        admin_command(first, "FLEET\n").starts_with("copy 0 life ")
    });
    let (mut command, _config) = proxy_command(&start(second), &allowed, older.address);
    let mut newer = command.spawn().expect("the process starts");
    wait_until("the newer process accepts admin connections", || TcpStream::connect(second).is_ok());
    let answer = admin_command(second, "FLEET\n");
    newer.kill().expect("the process is killed");
    newer.wait().expect("the process has ended");
    assert_eq!(answer, "400 this copy does not take part yet\n");
}
