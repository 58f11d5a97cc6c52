//! `hillstall lab`: experiments in the simulation and on real processes.

mod arguments;
mod error;
mod results;

pub use arguments::{ExperimentOptions, SimulationCommand};
pub use error::SimulationError;

use crate::fault_injection::{self, RunOptions};
use crate::output::{print, print_message, FileError};
use hillstall_simulation::access_log_report::AccessLogReport;
use hillstall_simulation::experiment::{self, Axis};
use hillstall_simulation::fleet_ratio;
use hillstall_simulation::policy::PolicyName;
use hillstall_simulation::report;
use hillstall_simulation::scenario::Scenario;
use hillstall_simulation::scenarios;
use hillstall_simulation::sim::RunSummary;
use hillstall_simulation::stability;
use indicatif::ProgressBar;
use std::path::{Path, PathBuf};

type CommandResult = Result<(), SimulationError>;

/// Executes a command of `hillstall lab`.
pub fn run(command: SimulationCommand) -> CommandResult {
    use SimulationCommand as Command;
    match command {
        Command::Scenarios { name } => print_scenarios(name),
        Command::AccessLogs { folder } => print_access_log_report(&folder),
        Command::Run { scenario, policies, options } => run_policies(&scenario, &policies, &options),
        Command::Compare { baseline, candidate, scenario, options } => {
            compare(baseline, candidate, &scenario, &options)
        }
        Command::Sweep { scenario, axes, policies, options } => sweep(&scenario, &axes, &policies, &options),
        Command::RecordedDays { days, policies, options } => run_recorded_days(&days, &policies, &options),
        Command::FaultInjection { scenario, first_seed, seeds, output_folder, with_simulation, json } => {
            let seeds: Vec<u64> = (first_seed..first_seed.saturating_add(seeds)).collect();
            inject_faults(&scenario, &seeds, &RunOptions { output_folder, with_simulation, json })
        }
        Command::ShutdownSoak { first_seed, seeds, with_system_faults, program, output_folder } => {
            let seeds: Vec<u64> = (first_seed..first_seed.saturating_add(seeds)).collect();
            let folder = output_folder.as_deref();
            Ok(fault_injection::soak_shutdowns(&seeds, with_system_faults, program, folder)?)
        }
        Command::FleetRatio { scenario, instances, loads, options } => {
            fleet_ratio(&scenario, &instances, &loads, &options)
        }
        Command::Stability { scenario, loads, lost_fractions, policy, earlier_results, options } => {
            let axes = (&loads[..], &lost_fractions[..]);
            stability_map(&scenario, axes, policy, earlier_results.as_deref(), &options)
        }
        Command::ProcessSupervisor => {
            hillstall_fault_injection::process_supervisor::serve();
            Ok(())
        }
        Command::Report { results, page } => write_report(&results, &page),
    }
}

/// Prints one scenario, or the names of all.
fn print_scenarios(name: Option<String>) -> CommandResult {
    let Some(name) = name else {
        scenarios::names().for_each(|name| print(&format!("{name}\n")));
        return Ok(());
    };
    match scenarios::text(&name) {
        Some(text) => {
            print(text);
            Ok(())
        }
        None => Err(SimulationError::UnknownScenario(name)),
    }
}

fn print_access_log_report(folder: &Path) -> CommandResult {
    print(&AccessLogReport::read(folder)?.tables());
    Ok(())
}

fn run_policies(scenario: &str, policies: &[PolicyName], options: &ExperimentOptions) -> CommandResult {
    let (name, scenario) = read_scenario(scenario)?;
    let runs = run_cells(&[(String::new(), scenario)], policies, options);
    results::show(&name, runs, options)
}

/// Compares two policies by the differences of their runs with the same seed.
fn compare(
    baseline: PolicyName,
    candidate: PolicyName,
    scenario: &str,
    options: &ExperimentOptions,
) -> CommandResult {
    let (name, scenario) = read_scenario(scenario)?;
    let runs = run_cells(&[(String::new(), scenario)], &[baseline, candidate], options);
    let (of_baseline, of_candidate) = runs.split_at(runs.len() / 2);
    let gains = format_gains(of_baseline, of_candidate);
    results::show(&name, runs, options)?;
    print(&format!("\n{} minus {}, paired by seed:\n{gains}\n", candidate.name(), baseline.name()));
    Ok(())
}

/// Runs policies on a grid of scenario parameters.
fn sweep(
    scenario: &str,
    axes: &[Axis],
    policies: &[PolicyName],
    options: &ExperimentOptions,
) -> CommandResult {
    let (name, text) = read_scenario_text(scenario)?;
    let cells = experiment::grid(&text, axes).map_err(SimulationError::invalid(&name))?;
    let runs = run_cells(&cells, policies, options);
    results::show(&name, runs, options)
}

fn run_recorded_days(
    days: &[PathBuf],
    policies: &[PolicyName],
    options: &ExperimentOptions,
) -> CommandResult {
    let mut all_runs = Vec::new();
    for path in days {
        let text = std::fs::read_to_string(path).map_err(FileError::at(path))?;
        let name = path.file_stem().map(|stem| stem.to_string_lossy().into_owned()).unwrap_or_default();
        let (runs, unknown_kinds) = experiment::run_recorded_day(&text, policies, &options.seeds())
            .map_err(SimulationError::invalid(path.display()))?;
        for kind in unknown_kinds {
            print_message(format!(
                "{}: failures of type {kind} left out, as the simulation has no model for them",
                path.display()
            ));
        }
        all_runs.extend(label_cell(runs, &name));
    }
    results::show("recorded days", all_runs, options)
}

/// Runs a scenario on real processes.
fn inject_faults(scenario: &str, seeds: &[u64], options: &RunOptions) -> CommandResult {
    let (name, scenario) = read_scenario(scenario)?;
    Ok(fault_injection::run(&name, &scenario, seeds, options)?)
}

/// Measures the service of many instances relative to one instance with the same total load.
fn fleet_ratio(
    scenario: &str,
    instances: &[u32],
    loads: &[f64],
    options: &ExperimentOptions,
) -> CommandResult {
    let (name, text) = read_scenario_text(scenario)?;
    let progress = progress_bar(instances.len() * loads.len(), options);
    let ratios = fleet_ratio::measure(&text, loads, instances, &options.seeds(), || progress.inc(1))
        .map_err(SimulationError::invalid(&name))?;
    progress.finish_and_clear();
    let runs = ratios.cells.iter().flat_map(|cell| &cell.runs);
    results::show_with_page(runs, &ratios.table(), || ratios.html(&name), options)
}

/// Maps service over load (first axis) and the fraction of the servers that is lost (second axis).
fn stability_map(
    scenario: &str,
    (loads, lost_fractions): (&[f64], &[f64]),
    policy: PolicyName,
    earlier_results: Option<&Path>,
    options: &ExperimentOptions,
) -> CommandResult {
    let (name, text) = read_scenario_text(scenario)?;
    let earlier_runs = earlier_results.map(results::read).transpose()?;
    let progress = progress_bar(loads.len() * lost_fractions.len(), options);
    let axes = (loads, lost_fractions);
    let map = stability::map(&text, axes, policy, &options.seeds(), || progress.inc(1))
        .map_err(SimulationError::invalid(&name))?;
    progress.finish_and_clear();
    let mut table = map.table();
    if let Some(earlier_runs) = earlier_runs {
        let (comparison, worse) = map.compare_with(&earlier_runs);
        table += &format!("\n{comparison}\n{worse} cells are worse by more than two percentage points\n");
    }
    let runs = map.cells.iter().flat_map(|cell| &cell.runs);
    results::show_with_page(runs, &table, || map.html(&name), options)
}

fn write_report(path: &Path, page: &Path) -> CommandResult {
    let groups = report::groups(results::read(path)?);
    results::write_report(&path.display().to_string(), page, &groups)
}

/// Reads a scenario that is embedded in the program or a file; returns its name and text.
fn read_scenario_text(name: &str) -> Result<(String, String), SimulationError> {
    if let Some(text) = scenarios::text(name) {
        return Ok((name.to_string(), text.to_string()));
    }
    match std::fs::read_to_string(name) {
        Ok(text) => Ok((name.to_string(), text)),
        Err(source) => {
            let available = scenarios::names().collect::<Vec<_>>().join(", ");
            Err(SimulationError::ScenarioNotFound { name: name.to_string(), source, available })
        }
    }
}

/// Reads and parses a scenario; returns its name with it.
fn read_scenario(name: &str) -> Result<(String, Scenario), SimulationError> {
    let (name, text) = read_scenario_text(name)?;
    let scenario = Scenario::parse(&text).map_err(SimulationError::invalid(&name))?;
    Ok((name, scenario))
}

/// Labels runs with the cell of the results table that they belong to.
fn label_cell(mut runs: Vec<RunSummary>, cell: &str) -> Vec<RunSummary> {
    runs.iter_mut().for_each(|run| run.cell = cell.to_string());
    runs
}

/// Runs each policy in each cell, with each seed.
fn run_cells(
    cells: &[(String, Scenario)],
    policies: &[PolicyName],
    options: &ExperimentOptions,
) -> Vec<RunSummary> {
    let seeds = options.seeds();
    let progress = progress_bar(cells.len() * policies.len(), options);
    let mut all_runs = Vec::new();
    for (cell, scenario) in cells {
        let runs = experiment::runs(scenario, policies, &seeds, || progress.inc(1));
        all_runs.append(&mut label_cell(runs, cell));
    }
    progress.finish_and_clear();
    all_runs
}

/// A progress bar over all seeds of `cells` cells.
fn progress_bar(cells: usize, options: &ExperimentOptions) -> ProgressBar {
    ProgressBar::new(cells as u64 * options.seed_count)
}

/// A metric by which two policies are compared. `scale` converts a difference to the unit in `name`.
struct ComparedMetric {
    name: &'static str,
    scale: f64,
    value: fn(&RunSummary) -> f64,
}

const COMPARED_METRICS: [ComparedMetric; 4] = [
    ComparedMetric { name: "service, percentage points", scale: 100.0, value: |run| run.service },
    ComparedMetric {
        name: "service in the worst 10 s, percentage points",
        scale: 100.0,
        value: |run| run.worst_window,
    },
    ComparedMetric { name: "99th percentile, ms", scale: 1.0, value: |run| run.p99_ms },
    ComparedMetric { name: "attempts per request", scale: 1.0, value: |run| run.attempts },
];

/// One line per metric: the mean difference of the candidate to the baseline, with a 95% confidence interval.
fn format_gains(baseline: &[RunSummary], candidate: &[RunSummary]) -> String {
    let line = |metric: ComparedMetric| {
        let gain = experiment::gain(baseline, candidate, metric.value);
        let note = if gain.excludes_zero() { "" } else { "   (not significant)" };
        let (mean, half_width) = (metric.scale * gain.mean, metric.scale * gain.half_width);
        format!("  {}: {mean:+.2} ± {half_width:.2}{note}", metric.name)
    };
    COMPARED_METRICS.map(line).join("\n")
}
