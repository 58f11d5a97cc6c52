//! The soak of graceful shutdowns with a few fixed seeds; `hillstall lab soak` runs any others.

use crate::harness::run_soak;
use hillstall_fault_injection::invariant_checker::{Rule, Verdict};
use hillstall_fault_injection::soak::{SoakPlan, TERM_AT_MS};
use std::thread;

/// The seeds that CI runs.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
/// The seeds whose plans are checked without running them.
const DRAWN_SEEDS: std::ops::RangeInclusive<u64> = 1..=300;
/// A seed whose plan has no additional load, and whose proxy has requests open when a test violates an
/// invariant.
const BROKEN_SEED: u64 = 4;

/// Runs a seed; returns a description of the failure, if it did not pass.
fn failure(seed: u64) -> Option<String> {
    let run = run_soak(seed, None);
    match run.0.verdict {
        Verdict::Passed => None,
        _ => {
            Some(format!("hillstall lab soak --seed {seed}\n{:?}\n{}", SoakPlan::draw(seed), run.0.report()))
        }
    }
}

// Guards against requests that get no response, or that are still forwarded, at the end of a process.
#[test]
fn clients_that_send_until_the_process_ends_lose_no_answer() {
    let runs: Vec<_> = SEEDS.map(|seed| thread::spawn(move || failure(seed))).collect();
    let failures: Vec<String> =
        runs.into_iter().filter_map(|run| run.join().expect("the run is carried out")).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
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
