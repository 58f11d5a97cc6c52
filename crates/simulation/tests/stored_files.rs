//! Compatibility of stored files: runs written with `--json`, and access logs of a fleet. The files in
//! `fixtures/` were written by an earlier version of the program and must give the same results.

use hillstall_simulation::access_log_report::AccessLogReport;
use hillstall_simulation::report;
use hillstall_simulation::sim::RunSummary;
use std::path::PathBuf;

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(name)
}

fn text(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap_or_else(|why| panic!("{name}: {why}"))
}

#[test]
fn a_stored_run_is_read_completely_and_written_to_the_same_bytes() {
    let line = text("tally.json");
    let run: RunSummary = serde_json::from_str(&line).expect("a run");
    assert_eq!((run.cell.as_str(), run.policy.as_str(), run.seed), ("load.of_capacity=0.4", "hillstall", 7));
    assert_eq!((run.service, run.worst_window, run.offered), (0.91, 0.82, 1_003));
    assert_eq!((run.late, run.rejected, run.failed), (0.01, 0.02, 0.03));
    assert_eq!(
        (run.rejected_hot, run.rejected_cool, run.client_attempts, run.attempts),
        (0.04, 0.05, 1.25, 1.5)
    );
    assert_eq!((run.mean_ms, run.p50_ms, run.p99_ms), (21.5, 20.5, 99.5));
    assert_eq!((run.chokes, run.late_sends, run.response_errors), (4, 5, 6));
    let harm = run.side_effects;
    assert_eq!((harm.attempts_at_failing, harm.new_connections, harm.slow_start_load), (0.5, 0.25, 0.75));
    assert_eq!((harm.rejection_spread, harm.top_class_rejected, harm.inversions), (0.125, 0.0625, 0.375));
    let second = &run.seconds[0];
    assert_eq!(
        (second.offered, second.within_objective, second.late, second.rejected, second.failed),
        (11, 8, 1, 2, 3)
    );
    assert_eq!(
        (second.client_attempts, second.attempts, second.offered_weight, second.served_weight),
        (14, 15, 16.5, 12.5)
    );
    assert_eq!((second.capacity, second.choked, second.p50_ms, second.p99_ms), (0.875, 9, 19.5, 88.5));
    assert_eq!(serde_json::to_string(&run).expect("plain data") + "\n", line);
}

#[test]
fn the_table_of_a_stored_run_is_unchanged() {
    let run: RunSummary = serde_json::from_str(&text("tally.json")).expect("a run");
    assert_eq!(report::table(&report::groups(vec![run])), text("tally.table.txt"));
}

#[test]
fn the_tables_of_stored_access_logs_are_unchanged() {
    let fleet = AccessLogReport::read(&fixture("calls")).expect("logs");
    assert_eq!(fleet.tables(), text("calls.tables.txt"));
}
