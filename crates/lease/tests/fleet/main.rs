//! Leases in a simulated fleet under faults. A seed determines a run; the invariants are checked after each
//! event.

#[path = "../common/mod.rs"]
mod common;
mod events;
mod simulation;

use events::PlantedFault;
use simulation::{Simulation, END_AT, FAULTS_END_AT};
use std::ops::Range;

const DEFAULT_SEEDS: u64 = 300;
/// An instance must have held the lease within this time before the end of a run.
const HOLDER_SEEN_WITHIN_MS: u64 = 5_000;

/// The seeds to run: 0 up to `HILLSTALL_SEEDS`, or `HILLSTALL_SEED` alone.
fn seeds() -> Range<u64> {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse::<u64>().ok());
    match number("HILLSTALL_SEED") {
        Some(seed) => seed..seed + 1,
        None => 0..number("HILLSTALL_SEEDS").unwrap_or(DEFAULT_SEEDS),
    }
}

#[test]
fn at_most_one_holder_and_no_stale_command_under_faults() {
    let (mut grants, mut accepted_commands, mut seeds_without_holder) = (0, 0, Vec::new());
    for seed in seeds() {
        let simulation = Simulation::new(seed, PlantedFault::None).run();
        assert!(simulation.violations.is_empty(), "HILLSTALL_SEED={seed}: {:?}", simulation.violations);
        grants += simulation.grants;
        accepted_commands += simulation.accepted_commands;
        // If all candidates have released the lease, nobody has to hold it.
        if simulation.has_holder_or_candidates() && simulation.last_held_at + HOLDER_SEEN_WITHIN_MS < END_AT {
            seeds_without_holder.push(seed);
        }
    }
    let recovery = (END_AT - HOLDER_SEEN_WITHIN_MS - FAULTS_END_AT) / 1_000;
    assert!(
        seeds_without_holder.is_empty(),
        "no lease holder from {recovery} s after the last fault on, with seeds {seeds_without_holder:?}"
    );
    assert!(
        grants > 0 && accepted_commands > 0,
        "no lease was granted or no command accepted: {grants} grants, {accepted_commands} commands"
    );
    println!("{} seeds, {grants} grants, {accepted_commands} commands accepted", seeds().end - seeds().start);
}

#[test]
fn each_planted_fault_is_detected() {
    for fault in [PlantedFault::CountFromResponse, PlantedFault::NoFencingCheck, PlantedFault::AcceptAtStart]
    {
        let seed = (0..DEFAULT_SEEDS).find(|seed| !Simulation::new(*seed, fault).run().violations.is_empty());
        assert!(seed.is_some(), "{fault:?} was not detected with {DEFAULT_SEEDS} seeds");
    }
}

#[test]
fn equal_seeds_give_equal_runs() {
    let run = |seed| {
        let simulation = Simulation::new(seed, PlantedFault::None).run();
        let events = simulation.scheduled_events();
        (simulation.grants, simulation.accepted_commands, events, simulation.highest_accepted)
    };
    assert_eq!(run(11), run(11));
    assert_ne!(run(11), run(12));
}
