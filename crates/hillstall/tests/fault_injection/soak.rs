//! The soak of graceful shutdowns with a few fixed seeds; `hillstall lab soak` runs any others.

use crate::harness::{run_soak, run_soak_with_system_faults, ValidRun};
use hillstall_fault_injection::invariant_checker::{Rule, Verdict};
use hillstall_fault_injection::soak::{SoakPlan, TERM_AT_MS};
use std::thread;

/// The seeds that CI runs.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
/// The seeds that CI runs with system faults.
const SYSTEM_FAULT_SEEDS: std::ops::RangeInclusive<u64> = 1..=6;
/// The seeds whose plans are checked without running them.
const DRAWN_SEEDS: std::ops::RangeInclusive<u64> = 1..=300;
/// A seed whose plan has no additional load, and whose proxy has requests open when a test violates an
/// invariant.
const BROKEN_SEED: u64 = 4;

/// A description of the failure of a run, if it did not pass.
fn failure(seed: u64, options: &str, run: &ValidRun) -> Option<String> {
    match run.0.verdict {
        Verdict::Passed => None,
        _ => Some(format!(
            "hillstall lab soak --seed {seed} {options}\n{:?}\n{}",
            SoakPlan::draw(seed),
            run.0.report()
        )),
    }
}

/// Runs seeds side by side, and fails with the descriptions of those that did not pass.
fn assert_all_pass(seeds: impl Iterator<Item = u64>, run: fn(u64) -> Option<String>) {
    let runs: Vec<_> = seeds.map(|seed| thread::spawn(move || run(seed))).collect();
    let failures: Vec<String> =
        runs.into_iter().filter_map(|run| run.join().expect("the run is carried out")).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

// Guards against requests that get no response, or that are still forwarded, at the end of a process.
#[test]
fn clients_that_send_until_the_process_ends_lose_no_answer() {
    assert_all_pass(SEEDS, |seed| failure(seed, "", &run_soak(seed, None)));
}

// Guards against requests that get no response while system calls of the proxies fail for moments.
#[test]
fn clients_lose_no_answer_while_system_calls_fail() {
    assert_all_pass(SYSTEM_FAULT_SEEDS, |seed| {
        failure(seed, "--system-faults", &run_soak_with_system_faults(seed))
    });
}

#[test]
fn a_seed_determines_its_plan_and_all_plans_are_valid() {
    for seed in DRAWN_SEEDS {
        let plan = SoakPlan::draw(seed);
        assert_eq!(plan, SoakPlan::draw(seed));
        plan.scenario().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

#[test]
fn a_process_that_ends_before_its_requests_is_detected() {
    let run = run_soak(
        BROKEN_SEED,
        Some(|fleet| {
            Box::pin(async move {
                tokio::time::sleep_until(fleet.history.instant(TERM_AT_MS + 60.0)).await;
                fleet.kill_unrecorded(0).expect("the supervisor accepts the command");
            })
        }),
    );
    run.assert_violates(Rule::OneResponse);
}

#[test]
fn answers_that_are_dropped_at_the_end_are_detected() {
    let run = run_soak(
        BROKEN_SEED,
        Some(|fleet| {
            Box::pin(async move {
                tokio::time::sleep_until(fleet.history.instant(TERM_AT_MS + 200.0)).await;
                let client_link = hillstall_fault_injection::fleet::LinkEnds::ClientToProxy { process: 0 };
                fleet.link(client_link).reset();
            })
        }),
    );
    run.assert_violates(Rule::OneResponse);
}
