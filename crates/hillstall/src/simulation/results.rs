//! Results of experiments: read from files, printed as tables, written as JSON lines and pages.

use super::{ExperimentOptions, SimulationError};
use crate::output::{print, print_message, write_file, write_json_lines, FileError};
use hillstall_simulation::report::{self, PlotError};
use hillstall_simulation::sim::RunSummary;
use std::path::Path;

/// Reads results that were written with `--json`.
pub fn read(path: &Path) -> Result<Vec<RunSummary>, SimulationError> {
    let text = std::fs::read_to_string(path).map_err(FileError::at(path))?;
    let lines = text.lines().enumerate().filter(|(_, line)| !line.trim().is_empty());
    let parse = |(index, line)| {
        serde_json::from_str(line).map_err(|source| SimulationError::InvalidResult {
            path: path.display().to_string(),
            line: index + 1,
            source,
        })
    };
    lines.map(parse).collect()
}

/// Prints the table of an experiment's runs, and writes the runs and the report page to the files that the
/// options name.
pub fn show(title: &str, runs: Vec<RunSummary>, options: &ExperimentOptions) -> Result<(), SimulationError> {
    if let Some(path) = &options.json {
        write_json_lines(path, &runs)?;
    }
    let groups = report::groups(runs);
    print(&report::table(&groups));
    match &options.report {
        Some(path) => write_report(title, path, &groups),
        None => Ok(()),
    }
}

/// Prints `text`, and writes the runs and `page` to the files that the options name. `page` is called only if
/// needed.
pub fn show_with_page<'a>(
    runs: impl IntoIterator<Item = &'a RunSummary>,
    text: &str,
    page: impl FnOnce() -> Result<String, PlotError>,
    options: &ExperimentOptions,
) -> Result<(), SimulationError> {
    if let Some(path) = &options.json {
        write_json_lines(path, runs)?;
    }
    print(text);
    match &options.report {
        Some(path) => write_page(path, &page()?),
        None => Ok(()),
    }
}

/// Writes an HTML page with table and plots of grouped runs.
pub fn write_report(
    title: &str,
    path: &Path,
    groups: &[(String, Vec<RunSummary>)],
) -> Result<(), SimulationError> {
    write_page(path, &report::html(title, groups)?)
}

fn write_page(path: &Path, page: &str) -> Result<(), SimulationError> {
    write_file(path, page)?;
    print_message(format!("wrote {}", path.display()));
    Ok(())
}
