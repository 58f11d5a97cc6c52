//! Every line of the second address with its exact answer; of answers whose values vary, the names in their order.

use super::*;
use std::net::SocketAddr;

const NOT_A_CALL: &str = "400 not a call; there are PING, INFO, LAMEDUCK and REJOIN\n";

fn figures(admin: SocketAddr) -> Vec<String> {
    operate(admin, "INFO\n")
        .lines()
        .map(|line| line.split(' ').next().unwrap_or_default().to_owned())
        .collect()
}

fn as_told(backend: &Backend) -> String {
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])));
    config(discovery.address, &list(0, true, &[]))
}

#[test]
fn each_line_has_its_answer_while_the_proxy_serves_and_drains() {
    let (_proxy, admin) = Proxy::start_operated(&as_told(&Backend::saying(OK)));
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
        ("ping\n", NOT_A_CALL),
        ("\n", NOT_A_CALL),
        ("PING INFO\n", NOT_A_CALL),
        // No fleet here, so its lines have no meaning.
        ("FLEET\n", NOT_A_CALL),
        ("WINDOW\n", NOT_A_CALL),
        ("INCIDENT\n", NOT_A_CALL),
        ("CHANGE\n", NOT_A_CALL),
        ("RECORD\n", NOT_A_CALL),
        (&just_short_enough, NOT_A_CALL),
        (&too_long, "400 the line is too long\n"),
    ] {
        assert_eq!(operate(admin, line), answer, "{line:.20}");
    }
}

#[test]
fn the_figures_of_a_fresh_process_are_these_to_the_byte() {
    let (_proxy, admin) = Proxy::start_operated(&as_told(&Backend::saying(OK)));
    let expected = "svc_answered{group=\"read\"} 0\nsvc_deferred{group=\"read\"} 0\n\
        svc_errored{group=\"read\"} 0\nsvc_sends{group=\"read\"} 0\n\
        svc_answered{group=\"keyed\"} 0\nsvc_deferred{group=\"keyed\"} 0\n\
        svc_errored{group=\"keyed\"} 0\nsvc_sends{group=\"keyed\"} 0\n\
        svc_answered{group=\"once\"} 0\nsvc_deferred{group=\"once\"} 0\n\
        svc_errored{group=\"once\"} 0\nsvc_sends{group=\"once\"} 0\n\
        svc_current 0\nsvc_cluster_size 1\nsvc_cluster_unhealthy 0\nEOF\n";
    until("the list is there", || operate(admin, "INFO\n").contains("svc_cluster_size 1"));
    assert_eq!(operate(admin, "INFO\n"), expected);
}

#[test]
fn what_was_not_served_is_a_figure_behind_those_of_its_class() {
    // The connection ends after the whole request: it may have run, and must not be repeated.
    let (proxy, admin) = Proxy::start_operated(&as_told(&Backend::start(|_, _| false)));
    assert_eq!(proxy.call(&ask("once", "a1", 8_000, "x")).status(), 502);
    let of = |class: &str| {
        ["answered", "deferred", "errored", "sends"].map(|name| format!("svc_{name}{{group=\"{class}\"}}"))
    };
    let mut expected: Vec<String> = ["read", "keyed", "once"].into_iter().flat_map(of).collect();
    expected.push("svc_unserved{group=\"once\",reason=\"no-repeat\"}".to_owned());
    expected.extend(["svc_current", "svc_cluster_size", "svc_cluster_unhealthy", "EOF"].map(str::to_owned));
    assert_eq!(figures(admin), expected);
}

#[test]
fn a_process_that_knows_no_backend_yet_says_so() {
    let silent = Discovery::start(None);
    let (listener, admin) = listen();
    drop(listener);
    let line = format!("NODE_ADMIN_ADDR={admin} exec \"$0\"");
    let (listener, address) = listen();
    drop(listener);
    let (mut command, _config) = spawn(&line, &config(silent.address, &list(0, true, &[])), address);
    let mut process = command.spawn().expect("it starts");
    until("it listens", || TcpStream::connect(admin).is_ok());
    let answers = ["PING\n", "LAMEDUCK\n", "REJOIN\n"].map(|line| operate(admin, line));
    process.kill().expect("it is killed");
    process.wait().expect("it has ended");
    let [ping, drain, rejoin] = answers;
    assert_eq!(ping, "400 no backend list yet\n");
    assert_eq!((drain.as_str(), rejoin.as_str()), ("200 draining\n", "200 serving\n"));
}

#[test]
fn a_process_that_ends_answers_until_its_last_call_is_done() {
    let backend = Backend::start(|_, stream| {
        thread::sleep(Duration::from_millis(1_500));
        stream.write_all(OK.as_bytes()).is_ok()
    });
    let (mut proxy, admin) = Proxy::start_operated(&as_told(&backend));
    let waiting = open(proxy.address, &ask("once", "a1", 10_000, "x"));
    until("the request is out", || backend.seen() == 1);
    proxy.terminate();
    until("it has heard", || operate(admin, "PING\n") != "200 serving\n");
    let answers = ["PING\n", "LAMEDUCK\n", "REJOIN\n"].map(|line| operate(admin, line));
    assert_eq!(answers, ["400 stopping\n", "400 starting or stopping\n", "400 starting or stopping\n"]);
    assert_eq!(answer(&waiting).expect("an answer").status(), 200);
    assert!(proxy.wait().success());
}

#[test]
fn a_newer_process_says_that_it_does_not_take_part_while_the_older_has_the_disk() {
    let (listener, keeper) = listen();
    drop(listener);
    let folder = tempfile::tempdir().expect("a folder");
    let operator = folder.path().join("operator.toml");
    let section = format!(
        "[fleet]\nname = \"one\"\nkeepers = [\"{keeper}\"]\nkeeper = 0\nlisten = \"{keeper}\"\ndisk = \"{}\"\n",
        folder.path().display()
    );
    std::fs::write(&operator, section).expect("it is written");
    let allowed = as_told(&Backend::saying(OK)).replacen("\"Allowed\":{", "\"Allowed\":{\"Peers\":true,", 1);
    let start = |admin: SocketAddr| {
        format!("NODE_ADMIN_ADDR={admin} exec \"$0\" run --operator {}", operator.display())
    };
    let [first, second] = [(); 2].map(|()| listen().1);
    let older = Proxy::start_by(&start(first), &allowed);
    until("the older one takes part", || operate(first, "FLEET\n").starts_with("copy 0 life "));
    let (mut command, _config) = spawn(&start(second), &allowed, older.address);
    let mut newer = command.spawn().expect("it starts");
    until("the newer one listens", || TcpStream::connect(second).is_ok());
    let answer = operate(second, "FLEET\n");
    newer.kill().expect("it is killed");
    newer.wait().expect("it has ended");
    assert_eq!(answer, "400 this copy does not take part yet\n");
}
