//! Experiments of many runs over seeds, policies and scenario parameters, on all cores, with confidence
//! intervals of the means.

use crate::policy::PolicyName;
use crate::scenario::{Scenario, ScenarioError};
use crate::sim::{self, DayError, RecordedDay, RunSummary};
use rayon::prelude::*;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Runs each policy with each seed. The results are in the order of the arguments, whichever run ends first.
/// `ended` is called after each run, on the thread of that run.
pub fn runs(
    scenario: &Scenario,
    policies: &[PolicyName],
    seeds: &[u64],
    ended: impl Fn() + Sync,
) -> Vec<RunSummary> {
    run_each(policies, seeds, |policy, seed| {
        let summary = sim::run(scenario, policy, seed);
        ended();
        summary
    })
}

/// Runs a recorded day with each policy and seed. Also returns the kinds of its failures that the simulation
/// does not support.
pub fn run_recorded_day(
    text: &str,
    policies: &[PolicyName],
    seeds: &[u64],
) -> Result<(Vec<RunSummary>, Vec<String>), DayError> {
    let day = RecordedDay::read(text)?;
    Ok((run_each(policies, seeds, |policy, seed| day.run(policy, seed)), day.unsupported_failures))
}

fn run_each(
    policies: &[PolicyName],
    seeds: &[u64],
    run: impl Fn(PolicyName, u64) -> RunSummary + Sync,
) -> Vec<RunSummary> {
    by_cell(policies, seeds, |policy, seed| run(*policy, seed)).into_iter().flatten().collect()
}

/// Runs each cell with each seed, on all cores. The results are grouped by cell, in the order of the cells
/// and seeds.
pub(crate) fn by_cell<C: Sync, T: Send>(
    cells: &[C],
    seeds: &[u64],
    run: impl Fn(&C, u64) -> T + Sync,
) -> Vec<Vec<T>> {
    let jobs: Vec<(&C, u64)> =
        cells.iter().flat_map(|cell| seeds.iter().map(move |seed| (cell, *seed))).collect();
    // Runs differ much in duration: cores take them one at a time, so that none is idle at the end.
    let results: Vec<T> = jobs.into_par_iter().with_max_len(1).map(|(cell, seed)| run(cell, seed)).collect();
    let mut results = results.into_iter();
    cells.iter().map(|_| results.by_ref().take(seeds.len()).collect()).collect()
}

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half the width of the 95% confidence interval by Student's t; infinite for fewer than two values.
    pub half_width: f64,
}

impl Mean {
    /// The mean of independent values.
    pub fn of(values: &[f64]) -> Mean {
        let count = values.len() as f64;
        let mean = values.iter().sum::<f64>() / count.max(1.0);
        if values.len() < 2 {
            return Mean { mean, half_width: f64::INFINITY };
        }
        let variance = values.iter().map(|v| (v - mean).powi(2)).sum::<f64>() / (count - 1.0);
        let quantile = StudentsT::new(0.0, 1.0, count - 1.0).map_or(f64::INFINITY, |t| t.inverse_cdf(0.975));
        Mean { mean, half_width: quantile * (variance / count).sqrt() }
    }

    /// Whether 0 lies outside of the confidence interval.
    pub fn excludes_zero(&self) -> bool {
        self.mean.abs() > self.half_width
    }
}

/// The mean difference of a figure from `a` to `b`, paired by seed: as both have the same requests, the
/// randomness of these cancels out.
pub fn gain(a: &[RunSummary], b: &[RunSummary], figure: fn(&RunSummary) -> f64) -> Mean {
    let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| figure(b) - figure(a)).collect();
    Mean::of(&differences)
}

/// Key of the load, as a fraction of the capacity, in a scenario.
pub(crate) const LOAD_KEY: &str = "load.of_capacity";

/// A key of a scenario, and the values that a sweep gives it.
#[derive(Clone, Debug)]
pub struct Axis {
    /// Path of the key, such as `load.of_capacity` or `tier.0.servers`.
    pub key: String,
    /// The values, as TOML.
    pub values: Vec<toml::Value>,
}

impl Axis {
    /// An axis of numbers.
    pub(crate) fn of_numbers(key: &str, values: &[f64]) -> Axis {
        Axis { key: key.to_string(), values: values.iter().map(|v| toml::Value::Float(*v)).collect() }
    }
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// Parses `KEY=VALUE,VALUE`; a value that is not valid TOML is taken as a string.
    fn from_str(text: &str) -> Result<Axis, String> {
        let (key, values) =
            text.split_once('=').ok_or_else(|| format!("{text}: expected KEY=VALUE,VALUE"))?;
        let value = |text: &str| {
            let parsed = format!("v = {text}").parse::<toml::Table>().ok().and_then(|mut t| t.remove("v"));
            parsed.unwrap_or_else(|| toml::Value::String(text.to_string()))
        };
        Ok(Axis { key: key.to_string(), values: values.split(',').map(value).collect() })
    }
}

/// Why a sweep can't be built.
#[derive(Debug, thiserror::Error)]
pub enum SweepError {
    /// A key's path does not exist in the scenario.
    #[error("{0}: the scenario has no such key")]
    Key(String),
    /// A cell is not a valid scenario.
    #[error("with {cell}: {why}")]
    Scenario {
        /// The cell's label, with its keys and values.
        cell: String,
        /// What is wrong with it.
        why: ScenarioError,
    },
    /// The file is not TOML.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
}

/// Sets the value of a key by its path; `None` if the path does not exist.
fn set(table: &mut toml::Value, key: &str, value: &toml::Value) -> Option<()> {
    let mut node = table;
    let mut parts = key.split('.').peekable();
    while let Some(part) = parts.next() {
        let last = parts.peek().is_none();
        node = match node {
            toml::Value::Array(list) => list.get_mut(part.parse::<usize>().ok()?)?,
            toml::Value::Table(table) if last => {
                table.insert(part.to_string(), value.clone());
                return Some(());
            }
            // A table may be left out of the file if all its keys have defaults.
            toml::Value::Table(table) => {
                table.entry(part.to_string()).or_insert_with(|| toml::Value::Table(toml::Table::new()))
            }
            _ => return None,
        };
    }
    *node = value.clone();
    Some(())
}

/// The scenarios of a grid: one cell for each combination of the axes' values, with a label of its keys and
/// values.
pub fn grid(text: &str, axes: &[Axis]) -> Result<Vec<(String, Scenario)>, SweepError> {
    let base: toml::Table = text.parse()?;
    let mut cells = vec![(String::new(), toml::Value::Table(base))];
    for axis in axes {
        let mut next = Vec::new();
        for (name, cell) in &cells {
            for value in &axis.values {
                let mut cell = cell.clone();
                set(&mut cell, &axis.key, value).ok_or_else(|| SweepError::Key(axis.key.clone()))?;
                let space = if name.is_empty() { "" } else { " " };
                next.push((format!("{name}{space}{}={value}", axis.key), cell));
            }
        }
        cells = next;
    }
    (cells.into_iter())
        .map(|(name, cell)| {
            let text = toml::to_string(&cell).unwrap_or_default();
            match Scenario::parse(&text) {
                Ok(scenario) => Ok((name, scenario)),
                Err(why) => Err(SweepError::Scenario { cell: name, why }),
            }
        })
        .collect()
}
