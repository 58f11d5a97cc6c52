//! The record of a call in the log, to the byte but for times and ports: other programs read it.

use super::*;

/// Names of the fields whose values vary from run to run.
const VARYING: [&str; 6] = ["timestamp", "read_ms", "decide_ms", "earlier_ms", "last_ms", "write_ms"];

/// Replaces the values of the varying fields by `*`, and the server's address by `SERVER`.
fn masked(line: &str, server: &str) -> String {
    let mut line = line.replace(server, "SERVER");
    for name in VARYING {
        let mark = format!("\"{name}\":");
        let Some(start) = line.find(&mark).map(|at| at + mark.len()) else { continue };
        let end = start + line[start..].find([',', '}']).expect("a field ends");
        line.replace_range(start..end, "*");
    }
    line
}

/// The masked records of calls that a proxy wrote, in order.
fn records(log: &str, server: &str) -> Vec<String> {
    log.lines().filter(|line| line.contains("hillstall::call")).map(|line| masked(line, server)).collect()
}

#[test]
fn a_record_has_these_fields_in_this_order() {
    let backend = Backend::start(|n, stream| n == 0 && stream.write_all(OK.as_bytes()).is_ok());
    let discovery = Discovery::start(Some(list(5, true, &[entry("b0", backend.address, "ready")])));
    let folder = tempfile::tempdir().expect("a folder");
    let log = folder.path().join("log");
    let line = format!("exec \"$0\" run --set log.calls=true --set log.format=json 2>{}", log.display());
    let proxy = Proxy::start_by(&line, &config(discovery.address, &list(0, true, &[])));
    assert_eq!(proxy.call(&ask("keyed", "r1", 8_000, "x")).status(), 200);
    assert_eq!(proxy.call(&ask("once", "r2", 8_000, "x")).status(), 502);
    discovery.say(&list(6, true, &[entry("b0", backend.address, "gone")]));
    until("no backend is left", || proxy.call(&ask("read", "r3", 8_000, "")).status() == 503);
    let written =
        || records(&std::fs::read_to_string(&log).unwrap_or_default(), &backend.address.to_string());
    let is_refused = |record: &String| record.contains("\"end\":\"refused\"");
    until("the refusal is written", || written().last().is_some_and(is_refused));
    // Before the list was heard, calls of the same id may have gone another way.
    let records: Vec<String> =
        written().into_iter().filter(|record| !record.contains("\"r3\"") || is_refused(record)).collect();
    let expected = include_str!("fixtures/call-records.txt");
    assert_eq!(records.join("\n") + "\n", expected);
}
