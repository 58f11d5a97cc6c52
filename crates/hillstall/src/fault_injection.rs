//! `hillstall lab drill`: a scenario on real processes.

use crate::commands::print;
use crate::simulation::write_lines;
use hillstall_fault_injection::{run as play, Options, ScenarioRun};
use hillstall_simulation::experiment::{self, Mean};
use hillstall_simulation::policy::PolicyName;
use hillstall_simulation::report;
use hillstall_simulation::scenario::Scenario;
use hillstall_simulation::sim::{self, RunSummary};
use std::fmt::Write as _;
use std::path::PathBuf;

/// What the command line asks for.
pub struct Wishes {
    /// Where configurations and logs stay.
    pub keep: Option<PathBuf>,
    /// Whether simulated time plays the same.
    pub beside_lab: bool,
    /// Where the tallies go.
    pub json: Option<PathBuf>,
}

/// Plays it with each seed. Broken rules and a late rig are errors, once all seeds have been played.
pub fn run(name: &str, scenario: &Scenario, seeds: &[u64], wishes: &Wishes) -> Result<(), String> {
    let program = std::env::current_exe().map_err(|why| format!("this program: {why}"))?;
    let (mut tallies, mut bad) = (Vec::new(), Vec::new());
    for seed in seeds {
        let keep = wishes.keep.as_ref().map(|folder| folder.join(format!("seed-{seed}")));
        let options = Options { keep, ..Options::default() };
        let drilled = play(&program, scenario, *seed, options).map_err(|why| format!("{name}: {why}"))?;
        print(&format!("seed {seed}: {}", drilled.told()));
        print(&figures(&drilled));
        if !matches!(drilled.verdict, hillstall_fault_injection::invariant_checker::Verdict::Kept) {
            bad.push(seed.to_string());
        }
        // A void drill says nothing, so it is not counted.
        if !drilled.verdict.is_void() {
            tallies.push(drilled.tally);
        }
    }
    if let Some(path) = &wishes.json {
        write_lines(path, &tallies)?;
    }
    let simulated: Vec<RunSummary> = match wishes.beside_lab {
        true => tallies.iter().map(|t| sim::run(scenario, PolicyName::Hillstall, t.seed)).collect(),
        false => Vec::new(),
    };
    if !simulated.is_empty() {
        let apart = experiment::gain(&simulated, &tallies, |t| 100.0 * t.service);
        print(&compare(&simulated, &tallies, apart));
    }
    print(&report::table(&report::groups(simulated.into_iter().chain(tallies).collect())));
    match bad.is_empty() {
        true => Ok(()),
        false => Err(format!("{name}: broken rules or a late rig with seed {}", bad.join(", "))),
    }
}

fn compare(simulated: &[RunSummary], drilled: &[RunSummary], apart: Mean) -> String {
    let mut text = String::new();
    for (lab, drill) in simulated.iter().zip(drilled) {
        let [lab_s, drill_s] = [lab, drill].map(|t| 100.0 * t.service);
        let _ =
            writeln!(text, "seed {}: service {lab_s:.2} in simulated time, {drill_s:.2} drilled", lab.seed);
    }
    let _ = writeln!(text, "drill over lab: {:+.2} ± {:.2} points\n", apart.mean, apart.half);
    text
}

/// What a drill adds to the table.
fn figures(drilled: &ScenarioRun) -> String {
    let seen = &drilled.seen;
    let [first, second] = [0, 1].map(|tier| drilled.attempts_a_try(tier));
    let handshakes: u64 = seen.handshakes.iter().sum();
    let mut late = seen.lateness.clone();
    late.sort_by(f64::total_cmp);
    let p99 = late.get((late.len() as f64 * 0.99) as usize).copied().unwrap_or(0.0);
    format!(
        "  {} processes, {} calls, {} tries, {} calls at servers; attempts a try {first:.2} and {second:.2} by tier\n  \
         {handshakes} connections to servers, {} calls for lists, cold servers sent {:.2} of what they bear; 1% of calls \
         over {p99:.1} ms late\n",
        drilled.processes,
        drilled.tally.offered,
        seen.tries.len(),
        seen.hops.len(),
        seen.list_calls,
        hillstall_fault_injection::invariant_checker::overshoot(&drilled.truth, seen),
    )
}
