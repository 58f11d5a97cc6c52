//! `hillstall lab`: experiments in simulated time.

use crate::commands::print;
use crate::fault_injection;
use crate::say;
use clap::{Args, Subcommand};
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
use std::io::Write;
use std::path::{Path, PathBuf};

/// What can be tried out.
#[derive(Subcommand)]
pub enum Lab {
    /// Name the scenarios that come with the program, or print one to start from
    Scenarios {
        /// Print this one
        name: Option<String>,
    },
    /// Run policies through a scenario and hold them against each other
    Run {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// Policies
        #[arg(long, value_delimiter = ',', default_values_t = PolicyName::ALL)]
        policy: Vec<PolicyName>,
        /// How to run and where to write
        #[command(flatten)]
        how: How,
    },
    /// Hold two policies against each other, seed by seed, with 95% intervals
    Compare {
        /// The one that is there
        a: PolicyName,
        /// The one that may be better
        b: PolicyName,
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// How to run and where to write
        #[command(flatten)]
        how: How,
    },
    /// Run a grid of parameters
    Sweep {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "lose-hall")]
        scenario: String,
        /// An axis of the grid: KEY=VALUE,VALUE, as in load.of_capacity=0.4,0.5
        #[arg(long = "vary", required = true)]
        axes: Vec<Axis>,
        /// Policies
        #[arg(long, value_delimiter = ',', default_value = "hillstall")]
        policy: Vec<PolicyName>,
        /// How to run and where to write
        #[command(flatten)]
        how: How,
    },
    /// Play days of the bench, as its `draw` prints them
    Day {
        /// Day files (JSON)
        #[arg(required = true)]
        days: Vec<PathBuf>,
        /// Policies
        #[arg(long, value_delimiter = ',', default_value = "hillstall")]
        policy: Vec<PolicyName>,
        /// How to run and where to write
        #[command(flatten)]
        how: How,
    },
    /// Count the calls that a fleet's logs tell of, by load of the proxies, reason, tier and second
    Calls {
        /// A folder in which each file is the log of one proxy, written with log.calls and as JSON
        folder: PathBuf,
    },
    /// Play a scenario on a fleet of real processes on this machine, and judge it by the rules
    Drill {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "drill-cut")]
        scenario: String,
        /// The first seed, and how many from there on
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many seeds, one after another
        #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1_000))]
        seeds: u64,
        /// Keep configurations and logs of the processes here
        #[arg(long, value_name = "FOLDER")]
        keep: Option<PathBuf>,
        /// Play the same in simulated time too, and hold them against each other
        #[arg(long)]
        beside_lab: bool,
        /// Write each drill's tally as a JSON line
        #[arg(long, value_name = "FILE")]
        json: Option<PathBuf>,
    },
    /// Hold one load carried by many copies of the proxy against the same carried by one
    Account {
        /// A file, or a scenario that comes with the program
        #[arg(default_value = "fleet-sum")]
        scenario: String,
        /// Numbers of copies; the least is what the others are held against
        #[arg(long, value_delimiter = ',', default_values_t = [1, 2, 8, 32, 100, 300])]
        copies: Vec<u32>,
        /// Loads, as parts of what the servers can do
        #[arg(long, value_delimiter = ',', default_values_t = [0.9, 1.1, 1.3])]
        loads: Vec<f64>,
        /// How to run and where to write
        #[command(flatten)]
        how: How,
    },
    /// Map how load and the part of the servers that is lost go together, and whether service returns by itself
    Stability {
        /// A file, or a scenario that comes with the program; its first failure is the loss
        #[arg(default_value = "half-lost")]
        scenario: String,
        /// Loads, as parts of what the servers can do
        #[arg(long, value_delimiter = ',', default_values_t = [0.7, 0.8, 0.9, 1.0, 1.1, 1.2])]
        loads: Vec<f64>,
        /// Parts of the servers that are lost
        #[arg(long, value_delimiter = ',', default_values_t = [0.0, 0.1, 0.2, 0.3, 0.4, 0.5, 0.6])]
        lost: Vec<f64>,
        /// The policy
        #[arg(long, default_value = "hillstall")]
        policy: PolicyName,
        /// Hold it against runs kept with --json earlier, seed by seed
        #[arg(long, value_name = "FILE")]
        beside: Option<PathBuf>,
        /// How to run and where to write
        #[command(flatten)]
        how: How,
    },
    /// Own the processes of a drill; for the drill alone
    #[command(hide = true)]
    Keeper,
    /// Draw the page of results kept with --json
    Report {
        /// JSON lines
        results: PathBuf,
        /// The page
        #[arg(default_value = "hillstall-lab.html")]
        page: PathBuf,
    },
}

/// How to run and where to write.
#[derive(Args)]
pub struct How {
    /// Seeds: this many, from 1 on
    #[arg(long, default_value_t = 8, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    seeds: u64,
    /// Write a page with table and plots
    #[arg(long, value_name = "FILE")]
    report: Option<PathBuf>,
    /// Write each run as a JSON line
    #[arg(long, value_name = "FILE")]
    json: Option<PathBuf>,
}

impl How {
    fn seeds(&self) -> Vec<u64> {
        (1..=self.seeds).collect()
    }
}

/// Does it; an error says what is wrong with which file or key.
pub fn run(lab: Lab) -> Result<(), String> {
    match lab {
        Lab::Scenarios { name: None } => {
            scenarios::names().for_each(|name| print(&format!("{name}\n")));
            Ok(())
        }
        Lab::Scenarios { name: Some(name) } => {
            let text = scenarios::text(&name).ok_or_else(|| format!("{name}: no such scenario"))?;
            print(text);
            Ok(())
        }
        Lab::Calls { folder } => {
            let fleet = AccessLogReport::read(&folder).map_err(|why| why.to_string())?;
            print(&fleet.tables());
            Ok(())
        }
        Lab::Run { scenario, policy, how } => {
            let (name, scenario) = parse(&scenario)?;
            let tallies = runs(&[(String::new(), scenario)], &policy, &how);
            show(&name, tallies, &how)
        }
        Lab::Compare { a, b, scenario, how } => {
            let (name, scenario) = parse(&scenario)?;
            let tallies = runs(&[(String::new(), scenario)], &[a, b], &how);
            let (first, second) = tallies.split_at(tallies.len() / 2);
            let gains = gains(first, second);
            show(&name, tallies, &how)?;
            print(&format!("\n{} over {}, seed by seed:\n{gains}\n", b.name(), a.name()));
            Ok(())
        }
        Lab::Sweep { scenario, axes, policy, how } => {
            let (name, text) = read(&scenario)?;
            let cells = experiment::grid(&text, &axes).map_err(|why| format!("{name}: {why}"))?;
            let tallies = runs(&cells, &policy, &how);
            show(&name, tallies, &how)
        }
        Lab::Day { days, policy, how } => {
            let mut tallies = Vec::new();
            for path in &days {
                let text = std::fs::read_to_string(path).map_err(|e| at(path, &e))?;
                let name = path.file_stem().map(|s| s.to_string_lossy().into_owned()).unwrap_or_default();
                let (runs, unknown) =
                    experiment::days(&text, &policy, &how.seeds()).map_err(|why| at(path, &why))?;
                unknown.iter().for_each(|kind| say(format!("{}: no model for {kind}", path.display())));
                tallies.extend(in_cell(runs, &name));
            }
            show("days of the bench", tallies, &how)
        }
        Lab::Drill { scenario, seed, seeds, keep, beside_lab, json } => {
            let (name, scenario) = parse(&scenario)?;
            let seeds: Vec<u64> = (seed..seed.saturating_add(seeds)).collect();
            fault_injection::run(
                &name,
                &scenario,
                &seeds,
                &fault_injection::Wishes { keep, beside_lab, json },
            )
        }
        Lab::Account { scenario, copies, loads, how } => {
            let (name, text) = read(&scenario)?;
            let bar = ProgressBar::new((copies.len() * loads.len()) as u64 * how.seeds);
            let account = fleet_ratio::measure(&text, &loads, &copies, &how.seeds(), || bar.inc(1))
                .map_err(|why| format!("{name}: {why}"))?;
            bar.finish_and_clear();
            let runs = account.cells.iter().flat_map(|cell| &cell.runs);
            give_out(runs, &account.table(), || account.html(&name), &how)
        }
        Lab::Stability { scenario, loads, lost, policy, beside, how } => {
            let (name, text) = read(&scenario)?;
            let earlier = beside.as_deref().map(results).transpose()?;
            let bar = ProgressBar::new((loads.len() * lost.len()) as u64 * how.seeds);
            let map = stability::map(&text, (&loads, &lost), policy, &how.seeds(), || bar.inc(1))
                .map_err(|why| format!("{name}: {why}"))?;
            bar.finish_and_clear();
            let mut text = map.table();
            if let Some(earlier) = earlier {
                let (table, worse) = map.beside(&earlier);
                text += &format!("\n{table}\n{worse} cells are worse by more than two points\n");
            }
            give_out(map.cells.iter().flat_map(|cell| &cell.runs), &text, || map.html(&name), &how)
        }
        Lab::Keeper => {
            hillstall_fault_injection::process_supervisor::serve();
            Ok(())
        }
        Lab::Report { results: path, page } => {
            write_page(&path.display().to_string(), &page, &report::groups(results(&path)?))
        }
    }
}

pub(crate) fn at(path: &Path, why: &dyn std::fmt::Display) -> String {
    format!("{}: {why}", path.display())
}

/// Results kept with --json.
fn results(path: &Path) -> Result<Vec<RunSummary>, String> {
    let text = std::fs::read_to_string(path).map_err(|e| at(path, &e))?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let tally = |(i, line)| {
        serde_json::from_str(line).map_err(|e| format!("{}: line {}: {e}", path.display(), i + 1))
    };
    lines.map(tally).collect()
}

/// A scenario's name and text.
fn read(scenario: &str) -> Result<(String, String), String> {
    if let Some(text) = scenarios::text(scenario) {
        return Ok((scenario.to_string(), text.to_string()));
    }
    match std::fs::read_to_string(scenario) {
        Ok(text) => Ok((scenario.to_string(), text)),
        Err(why) => {
            let names = scenarios::names().collect::<Vec<_>>().join(", ");
            Err(format!("{scenario}: {why}; with the program come {names}"))
        }
    }
}

/// A scenario's name, and the scenario.
fn parse(scenario: &str) -> Result<(String, Scenario), String> {
    let (name, text) = read(scenario)?;
    let scenario = Scenario::parse(&text).map_err(|why| format!("{name}: {why}"))?;
    Ok((name, scenario))
}

/// Runs that belong to one cell of a table.
fn in_cell(mut tallies: Vec<RunSummary>, cell: &str) -> Vec<RunSummary> {
    tallies.iter_mut().for_each(|tally| tally.cell = cell.to_string());
    tallies
}

fn runs(cells: &[(String, Scenario)], policies: &[PolicyName], how: &How) -> Vec<RunSummary> {
    let seeds = how.seeds();
    let bar = ProgressBar::new((cells.len() * policies.len()) as u64 * how.seeds);
    let mut all = Vec::new();
    for (cell, scenario) in cells {
        all.append(&mut in_cell(experiment::runs(scenario, policies, &seeds, || bar.inc(1)), cell));
    }
    bar.finish_and_clear();
    all
}

type Figure = (&'static str, f64, fn(&RunSummary) -> f64);

fn gains(a: &[RunSummary], b: &[RunSummary]) -> String {
    let figures: [Figure; 4] = [
        ("service, points in 100", 100.0, |t| t.service),
        ("worst 10 s, points in 100", 100.0, |t| t.worst),
        ("99th percentile, ms", 1.0, |t| t.p99_ms),
        ("attempts a call", 1.0, |t| t.attempts),
    ];
    let line = |(name, scale, figure): Figure| {
        let gain = experiment::gain(a, b, figure);
        let apart = if gain.is_apart() { "" } else { "   (may be chance)" };
        format!("  {name}: {:+.2} ± {:.2}{apart}", scale * gain.mean, scale * gain.half)
    };
    figures.map(line).join("\n")
}

fn show(name: &str, tallies: Vec<RunSummary>, how: &How) -> Result<(), String> {
    if let Some(path) = &how.json {
        write_lines(path, &tallies)?;
    }
    let groups = report::groups(tallies);
    print(&report::table(&groups));
    match &how.report {
        Some(path) => write_page(name, path, &groups),
        None => Ok(()),
    }
}

/// Writes runs and page where they are wanted, and prints the text.
fn give_out<'a>(
    runs: impl IntoIterator<Item = &'a RunSummary>,
    text: &str,
    page: impl FnOnce() -> Result<String, report::PlotError>,
    how: &How,
) -> Result<(), String> {
    if let Some(path) = &how.json {
        write_lines(path, runs)?;
    }
    print(text);
    match &how.report {
        Some(path) => write(path, &page().map_err(|why| why.to_string())?),
        None => Ok(()),
    }
}

/// Writes each run as a JSON line.
pub(crate) fn write_lines<'a>(
    path: &Path,
    tallies: impl IntoIterator<Item = &'a RunSummary>,
) -> Result<(), String> {
    let mut file = std::fs::File::create(path).map_err(|e| at(path, &e))?;
    for tally in tallies {
        let line = serde_json::to_string(tally).map_err(|e| at(path, &e))?;
        writeln!(file, "{line}").map_err(|e| at(path, &e))?;
    }
    Ok(())
}

fn write(path: &Path, page: &str) -> Result<(), String> {
    std::fs::write(path, page).map_err(|e| at(path, &e))?;
    say(format!("written: {}", path.display()));
    Ok(())
}

fn write_page(title: &str, path: &Path, groups: &[(String, Vec<RunSummary>)]) -> Result<(), String> {
    let page = report::html(title, groups).map_err(|why| why.to_string())?;
    write(path, &page)
}
