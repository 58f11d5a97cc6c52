//! The soak of graceful shutdowns, on a few fixed seeds. `hillstall lab soak` plays more of them.

use crate::harness::soak;
use hillstall_fault_injection::invariant_checker::{Rule, Verdict};
use hillstall_fault_injection::soak::{SoakPlan, TERM_AT_MS};
use std::thread;

/// The seeds that CI plays.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=12;
/// Seeds whose draws are examined without playing them.
const DRAWN_SEEDS: std::ops::RangeInclusive<u64> = 1..=300;
/// A seed without a crowd, whose proxy has requests open when it is broken on purpose.
const BROKEN_SEED: u64 = 4;

/// What to say of a seed that did not pass.
fn failure(seed: u64) -> Option<String> {
    let played = soak(seed, None);
    match played.0.verdict {
        Verdict::Passed => None,
        _ => Some(format!(
            "hillstall lab soak --seed {seed}\n{:?}\n{}",
            SoakPlan::draw(seed),
            played.0.report()
        )),
    }
}

// Guards against requests that lose their answer, or are forwarded, at the end of a process.
#[test]
fn clients_that_go_on_until_the_kill_lose_no_answer() {
    let runs: Vec<_> = SEEDS.map(|seed| thread::spawn(move || failure(seed))).collect();
    let failures: Vec<String> =
        runs.into_iter().filter_map(|run| run.join().expect("it is played")).collect();
    assert!(failures.is_empty(), "{}", failures.join("\n"));
}

#[test]
fn one_seed_draws_one_plan_and_all_plans_can_be_played() {
    for seed in DRAWN_SEEDS {
        let plan = SoakPlan::draw(seed);
        assert_eq!(plan, SoakPlan::draw(seed));
        plan.scenario().unwrap_or_else(|error| panic!("seed {seed}: {error}"));
    }
}

#[test]
fn a_process_that_ends_before_its_requests_is_seen() {
    let played = soak(
        BROKEN_SEED,
        Some(|fleet| {
            Box::pin(async move {
                tokio::time::sleep_until(fleet.history.instant(TERM_AT_MS + 60.0)).await;
                fleet.kill_unrecorded(0).expect("the supervisor hears");
            })
        }),
    );
    played.breaks(Rule::OneResponse);
}

#[test]
fn answers_that_are_dropped_at_the_end_are_seen() {
    let played = soak(
        BROKEN_SEED,
        Some(|fleet| {
            Box::pin(async move {
                tokio::time::sleep_until(fleet.history.instant(TERM_AT_MS + 200.0)).await;
                let door = hillstall_fault_injection::fleet::LinkEnds::ClientToProxy { process: 0 };
                fleet.link(door).reset();
            })
        }),
    );
    played.breaks(Rule::OneResponse);
}
