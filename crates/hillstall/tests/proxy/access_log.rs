//! The access log record of a request, compared byte for byte except times and ports, as other programs parse
//! it.

use super::*;

/// Fields whose values vary from run to run.
const VARYING_FIELDS: [&str; 6] = ["timestamp", "read_ms", "decide_ms", "earlier_ms", "last_ms", "write_ms"];

/// Replaces the values of the varying fields by `*`, and the server's address by `SERVER`.
fn masked(line: &str, server: &str) -> String {
    let mut line = line.replace(server, "SERVER");
    for name in VARYING_FIELDS {
        let prefix = format!("\"{name}\":");
        let Some(start) = line.find(&prefix).map(|at| at + prefix.len()) else { continue };
        let end = start + line[start..].find([',', '}']).expect("a field ends");
        line.replace_range(start..end, "*");
    }
    line
}

/// The masked access log records in a log, in order.
fn records(log: &str, server: &str) -> Vec<String> {
    log.lines().filter(|line| line.contains("hillstall::call")).map(|line| masked(line, server)).collect()
}

#[test]
fn records_have_fixed_fields_in_a_fixed_order() {
    let backend = Backend::start(|n, stream| n == 0 && stream.write_all(OK.as_bytes()).is_ok());
    let discovery =
        Discovery::start(Some(endpoint_list(5, true, &[endpoint("b0", backend.address, "ready")])));
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log");
    let line = format!("exec \"$0\" run --set log.calls=true --set log.format=json 2>{}", log.display());
    let proxy =
        Proxy::start_with_shell(&line, &platform_config(discovery.address, &endpoint_list(0, true, &[])));
    assert_eq!(proxy.request(&build_request("keyed", "r1", 8_000, "x")).status(), 200);
    assert_eq!(proxy.request(&build_request("once", "r2", 8_000, "x")).status(), 502);
    discovery.send_to_watches(&endpoint_list(6, true, &[endpoint("b0", backend.address, "gone")]));
    wait_until("the proxy has no backend", || {
        proxy.request(&build_request("read", "r3", 8_000, "")).status() == 503
    });
    let written =
        || records(&std::fs::read_to_string(&log).unwrap_or_default(), &backend.address.to_string());
    let is_rejected = |record: &String| record.contains("\"end\":\"refused\"");
    wait_until("the rejection is logged", || written().last().is_some_and(is_rejected));
    // Requests with this id that were sent before the proxy had the new list may have ended otherwise.
    let records: Vec<String> =
        written().into_iter().filter(|record| !record.contains("\"r3\"") || is_rejected(record)).collect();
    let expected = include_str!("fixtures/access-log.txt");
    assert_eq!(records.join("\n") + "\n", expected);
}
