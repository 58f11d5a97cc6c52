//! `hillstall lab drill` and `hillstall lab soak`: fault injection on real processes.

use crate::output::{print, write_json_lines, FileError};
use hillstall_fault_injection::invariant_checker::{overshoot, Verdict};
use hillstall_fault_injection::soak::{self, SoakOptions, SoakPlan, SoakSummary};
use hillstall_fault_injection::{Options, ScenarioRun};
use hillstall_simulation::experiment::{self, Mean};
use hillstall_simulation::policy::PolicyName;
use hillstall_simulation::report;
use hillstall_simulation::scenario::Scenario;
use hillstall_simulation::sim::{self, RunSummary};
use std::error::Error;
use std::fmt::Write as _;
use std::path::{Path, PathBuf};

/// The name of the shutdown soak in errors.
const SOAK_NAME: &str = "soak";

/// What to do besides running the scenario.
pub struct RunOptions {
    /// The folder in which the configurations and logs of the processes are kept.
    pub output_folder: Option<PathBuf>,
    /// Whether the scenario also runs in the simulation, for comparison.
    pub with_simulation: bool,
    /// The file to which the summary of each valid run is written, as JSON lines.
    pub json: Option<PathBuf>,
}

/// Why a fault-injection scenario or shutdown soak failed.
#[derive(Debug, thiserror::Error)]
pub enum FaultInjectionError {
    /// The path of this program, which the proxies are to run, is unknown.
    #[error("can't determine the path of this program: {0}")]
    OwnPath(std::io::Error),
    /// A run could not be carried out.
    #[error("{scenario}: {source}")]
    Run {
        /// The name of the scenario.
        scenario: String,
        /// The cause.
        source: Box<dyn Error>,
    },
    /// Some runs violated an invariant, or are void because the host was overloaded.
    #[error(
        "{scenario}: invariants violated, or run void because the host was overloaded, with seed {seeds}"
    )]
    Verdict {
        /// The name of the scenario.
        scenario: String,
        /// The seeds of these runs, separated by commas.
        seeds: String,
    },
    /// A file can't be written.
    #[error(transparent)]
    File(#[from] FileError),
}

/// Runs a scenario with each seed and prints the results. Violated invariants and void runs are reported as
/// an error after all seeds have run.
pub fn run(
    name: &str,
    scenario: &Scenario,
    seeds: &[u64],
    options: &RunOptions,
) -> Result<(), FaultInjectionError> {
    let program = std::env::current_exe().map_err(FaultInjectionError::OwnPath)?;
    let (mut runs, mut failed_seeds) = (Vec::new(), Vec::new());
    for seed in seeds {
        let run = run_seed(&program, name, scenario, *seed, options)?;
        print(&format!("seed {seed}: {}", run.report()));
        print(&format_figures(&run));
        if !matches!(run.verdict, Verdict::Passed) {
            failed_seeds.push(seed.to_string());
        }
        // A void run says nothing about the proxies, so it is left out of the results.
        if !run.verdict.is_void() {
            runs.push(run.summary);
        }
    }
    if let Some(path) = &options.json {
        write_json_lines(path, &runs)?;
    }
    print_tables(scenario, runs, options);
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => {
            Err(FaultInjectionError::Verdict { scenario: name.to_string(), seeds: failed_seeds.join(", ") })
        }
    }
}

/// Runs the shutdown soak with each seed, and prints how many passed. Violated invariants and void runs are
/// reported as an error after all seeds have run.
pub fn soak_shutdowns(
    seeds: &[u64],
    with_system_faults: bool,
    program: Option<PathBuf>,
    output_folder: Option<&Path>,
) -> Result<(), FaultInjectionError> {
    let program = program.map_or_else(std::env::current_exe, Ok).map_err(FaultInjectionError::OwnPath)?;
    let (mut passed, mut void, mut failed_seeds) = (0, 0, Vec::new());
    for seed in seeds {
        let options = SoakOptions {
            output_folder: output_folder.map(|folder| folder.join(format!("seed-{seed}"))),
            with_system_faults,
            injected_fault: None,
        };
        let run = soak::run(&program, *seed, options)
            .map_err(|error| FaultInjectionError::Run { scenario: SOAK_NAME.into(), source: error.into() })?;
        match run.verdict {
            Verdict::Passed => passed += 1,
            Verdict::Void(_) => void += 1,
            Verdict::Violated(_) => print(&format!("{:?}\n", SoakPlan::draw(*seed))),
        }
        print(&format!("seed {seed}: {}  {}\n", run.report(), SoakSummary::of(&run)));
        if !matches!(run.verdict, Verdict::Passed) {
            failed_seeds.push(seed.to_string());
        }
    }
    let failed = seeds.len() - passed - void;
    print(&format!("{} seeds: {passed} passed, {failed} failed, {void} void\n", seeds.len()));
    match failed_seeds.is_empty() {
        true => Ok(()),
        false => {
            Err(FaultInjectionError::Verdict { scenario: SOAK_NAME.into(), seeds: failed_seeds.join(", ") })
        }
    }
}

fn run_seed(
    program: &Path,
    name: &str,
    scenario: &Scenario,
    seed: u64,
    options: &RunOptions,
) -> Result<ScenarioRun, FaultInjectionError> {
    let keep = options.output_folder.as_ref().map(|folder| folder.join(format!("seed-{seed}")));
    let options = Options { output_folder: keep, ..Options::default() };
    hillstall_fault_injection::run(program, scenario, seed, options)
        .map_err(|error| FaultInjectionError::Run { scenario: name.to_string(), source: error.into() })
}

/// Prints the table of all runs; with [`RunOptions::with_simulation`] also the same runs in the simulation,
/// and the difference in service.
fn print_tables(scenario: &Scenario, runs: Vec<RunSummary>, options: &RunOptions) {
    let simulated: Vec<RunSummary> = match options.with_simulation {
        true => runs.iter().map(|run| sim::run(scenario, PolicyName::Hillstall, run.seed)).collect(),
        false => Vec::new(),
    };
    if !simulated.is_empty() {
        let difference = experiment::gain(&simulated, &runs, |run| 100.0 * run.service);
        print(&format_comparison(&simulated, &runs, difference));
    }
    print(&report::table(&report::groups(simulated.into_iter().chain(runs).collect())));
}

fn format_comparison(simulated: &[RunSummary], real: &[RunSummary], difference: Mean) -> String {
    let mut text = String::new();
    for (simulated, real) in simulated.iter().zip(real) {
        let [in_simulation, in_reality] = [simulated, real].map(|run| 100.0 * run.service);
        let _ = writeln!(
            text,
            "seed {}: service {in_simulation:.2} in the simulation, {in_reality:.2} on real processes",
            simulated.seed
        );
    }
    let _ = writeln!(
        text,
        "real processes minus simulation: {:+.2} ± {:.2} percentage points\n",
        difference.mean, difference.half_width
    );
    text
}

/// Figures of a run on real processes that the table does not have.
fn format_figures(run: &ScenarioRun) -> String {
    let observed = &run.observations;
    let [first_tier, second_tier] = [0, 1].map(|tier| run.attempt_ratio(tier));
    let handshakes: u64 = observed.handshakes.iter().sum();
    let mut start_delays = observed.start_delays_ms.clone();
    start_delays.sort_by(f64::total_cmp);
    let p99 = start_delays.get((start_delays.len() as f64 * 0.99) as usize).copied().unwrap_or(0.0);
    format!(
        "  {} processes, {} requests, {} client attempts, {} attempts at servers; attempts per client attempt: \
         {first_tier:.2} at tier 0, {second_tier:.2} at tier 1\n  \
         {handshakes} connections to servers, {} requests to discovery; largest load on a server in slow \
         start: {:.2} times the load it tolerates; 99th percentile of the start delay of client \
         requests: {p99:.1} ms\n",
        run.processes,
        run.summary.offered,
        observed.client_attempts.len(),
        observed.backend_attempts.len(),
        observed.discovery_requests,
        overshoot(&run.truth, observed),
    )
}
