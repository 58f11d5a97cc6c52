//! Experiments of many runs: over seeds, policies and parameters, on all cores, with confidence intervals of the means.

use crate::policy::PolicyName;
use crate::scenario::{Scenario, ScenarioError};
use crate::sim::{self, DayError, RecordedDay, RunSummary};
use rayon::prelude::*;
use statrs::distribution::{ContinuousCDF, StudentsT};

/// Runs each policy with each seed; the order of the results is that of the arguments, whichever run ends first.
/// `ended` is called after each run.
pub fn runs(
    scenario: &Scenario,
    policies: &[PolicyName],
    seeds: &[u64],
    ended: impl Fn() + Sync,
) -> Vec<RunSummary> {
    each(policies, seeds, |policy, seed| {
        let summary = sim::run(scenario, policy, seed);
        ended();
        summary
    })
}

/// Runs a recorded day with each policy and seed. The second part names its failures that have no model.
pub fn run_recorded_day(
    text: &str,
    policies: &[PolicyName],
    seeds: &[u64],
) -> Result<(Vec<RunSummary>, Vec<String>), DayError> {
    let day = RecordedDay::read(text)?;
    Ok((each(policies, seeds, |policy, seed| day.run(policy, seed)), day.unsupported_failures))
}

fn each(
    policies: &[PolicyName],
    seeds: &[u64],
    run: impl Fn(PolicyName, u64) -> RunSummary + Sync,
) -> Vec<RunSummary> {
    by_cell(policies, seeds, |policy, seed| run(*policy, seed)).into_iter().flatten().collect()
}

/// Runs each cell with each seed, on all cores; the results by cell, and in each in the order of the seeds.
pub(crate) fn by_cell<C: Sync, T: Send>(
    cells: &[C],
    seeds: &[u64],
    run: impl Fn(&C, u64) -> T + Sync,
) -> Vec<Vec<T>> {
    let jobs: Vec<(&C, u64)> =
        cells.iter().flat_map(|cell| seeds.iter().map(move |seed| (cell, *seed))).collect();
    // Runs differ much in length: one at a time from a common list, so that no core waits.
    let results: Vec<T> = jobs.into_par_iter().with_max_len(1).map(|(cell, seed)| run(cell, seed)).collect();
    let mut results = results.into_iter();
    cells.iter().map(|_| results.by_ref().take(seeds.len()).collect()).collect()
}

/// A mean with its 95% confidence interval.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Mean {
    /// The mean.
    pub mean: f64,
    /// Half of the 95% interval by Student's t; infinite for one value.
    pub half_width: f64,
}

impl Mean {
    /// Of independent values.
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

    /// Whether 0 lies outside of the interval.
    pub fn excludes_zero(&self) -> bool {
        self.mean.abs() > self.half_width
    }
}

/// What `b` gains over `a`, seed by seed: the requests are the same, so their randomness cancels out.
pub fn gain(a: &[RunSummary], b: &[RunSummary], figure: fn(&RunSummary) -> f64) -> Mean {
    let differences: Vec<f64> = a.iter().zip(b).map(|(a, b)| figure(b) - figure(a)).collect();
    Mean::of(&differences)
}

/// The scenario's key of the load, as a part of the capacity.
pub(crate) const LOAD: &str = "load.of_capacity";

/// A scenario's key and its values in a sweep.
#[derive(Clone, Debug)]
pub struct Axis {
    /// Its place, as in `load.of_capacity` or `tier.0.servers`.
    pub key: String,
    /// TOML values.
    pub values: Vec<toml::Value>,
}

impl Axis {
    /// One of numbers.
    pub(crate) fn of_numbers(key: &str, values: &[f64]) -> Axis {
        Axis { key: key.to_string(), values: values.iter().map(|v| toml::Value::Float(*v)).collect() }
    }
}

impl std::str::FromStr for Axis {
    type Err = String;

    /// Reads `KEY=VALUE,VALUE`; a value that is no TOML is taken as text.
    fn from_str(text: &str) -> Result<Axis, String> {
        let (key, values) =
            text.split_once('=').ok_or_else(|| format!("{text}: KEY=VALUE,VALUE is wanted"))?;
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
    /// A key leads nowhere.
    #[error("{0}: the scenario has no such place")]
    Key(String),
    /// A cell is not a valid scenario.
    #[error("with {cell}: {why}")]
    Scenario {
        /// The values.
        cell: String,
        /// What is wrong with it.
        why: ScenarioError,
    },
    /// The file is not TOML.
    #[error("{0}")]
    Toml(#[from] toml::de::Error),
}

fn set(table: &mut toml::Value, key: &str, value: &toml::Value) -> Option<()> {
    let mut place = table;
    let mut parts = key.split('.').peekable();
    while let Some(part) = parts.next() {
        let last = parts.peek().is_none();
        place = match place {
            toml::Value::Array(list) => list.get_mut(part.parse::<usize>().ok()?)?,
            toml::Value::Table(table) if last => {
                table.insert(part.to_string(), value.clone());
                return Some(());
            }
            // A table that has only defaults may be left out of the file.
            toml::Value::Table(table) => {
                table.entry(part.to_string()).or_insert_with(|| toml::Value::Table(toml::Table::new()))
            }
            _ => return None,
        };
    }
    *place = value.clone();
    Some(())
}

/// All scenarios of a grid, each with a label of its values.
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
