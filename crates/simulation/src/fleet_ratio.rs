//! The effect of the number of proxy instances: the same load and machines, with one instance, with two, with many.
//! The result is the *fleet ratio*: service with so many instances over service with
//! one.

use crate::experiment::{by_cell, grid, Axis, Mean, SweepError, LOAD};
use crate::policy::PolicyName;
use crate::report::{by_load, lines, markdown, page, PlotError};
use crate::sim::{self, RunSummary};

/// The scenario's key of the number of instances.
const INSTANCES_KEY: &str = "proxies";

/// Runs of one load with one number of instances.
pub struct RatioCell {
    /// The load, as a part of the capacity.
    pub load: f64,
    /// Proxy instances before the first tier.
    pub instances: u32,
    /// One run for each seed.
    pub runs: Vec<RunSummary>,
}

/// All results, by load and then by number of instances.
pub struct FleetRatio {
    /// The cells; those of one load follow each other.
    pub cells: Vec<RatioCell>,
}

/// Runs a scenario with each load and number of instances. `ended` is called after each run.
pub fn measure(
    text: &str,
    loads: &[f64],
    copies: &[u32],
    seeds: &[u64],
    ended: impl Fn() + Sync,
) -> Result<FleetRatio, SweepError> {
    let numbers = copies.iter().map(|n| toml::Value::Integer(i64::from(*n))).collect();
    let axes = [Axis::of_numbers(LOAD, loads), Axis { key: INSTANCES_KEY.to_string(), values: numbers }];
    let scenarios = grid(text, &axes)?;
    let places = loads.iter().flat_map(|load| copies.iter().map(move |copies| (*load, *copies)));
    let runs = by_cell(&scenarios, seeds, |(_, scenario), seed| {
        let summary = sim::run(scenario, PolicyName::Hillstall, seed);
        ended();
        summary
    });
    let cells = places.zip(runs).map(|((load, copies), runs)| RatioCell { load, instances: copies, runs });
    Ok(FleetRatio { cells: cells.collect() })
}

impl FleetRatio {
    /// The runs with the fewest instances at a cell's load.
    fn fewest_instances<'a>(&'a self, cell: &'a RatioCell) -> &'a RatioCell {
        let same = self.cells.iter().filter(|other| other.load == cell.load);
        same.min_by_key(|other| other.instances).unwrap_or(cell)
    }

    /// Service over that of the fewest instances, seed by seed: the requests are the same, so their randomness cancels out.
    pub fn ratio(&self, cell: &RatioCell) -> Mean {
        let pairs = cell.runs.iter().zip(&self.fewest_instances(cell).runs);
        Mean::of(&pairs.map(|(many, one)| many.service / one.service.max(1e-9)).collect::<Vec<_>>())
    }

    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows: Vec<Vec<String>> = vec![[
            "load",
            "copies",
            "service",
            "fleet ratio",
            "tries",
            "attempts",
            "trials at a failing server /s",
            "connections a server /s",
            "cold servers sent, of what they bear",
            "refused, spread over copies",
            "worthiest refused unsent %",
            "of these inverted %",
            "choked",
        ]
        .map(String::from)
        .into()];
        for cell in &self.cells {
            let mean =
                |figure: fn(&RunSummary) -> f64| Mean::of(&cell.runs.iter().map(figure).collect::<Vec<_>>());
            let with = |m: Mean, d: usize| format!("{:.d$} ± {:.d$}", m.mean, m.half_width);
            let bare = |m: Mean, d: usize| format!("{:.d$}", m.mean);
            rows.push(vec![
                format!("{:.2}", cell.load),
                cell.instances.to_string(),
                with(mean(|t| 100.0 * t.service), 1),
                with(self.ratio(cell), 3),
                bare(mean(|t| t.client_attempts), 2),
                bare(mean(|t| t.attempts), 2),
                bare(mean(|t| t.side_effects.attempts_at_failing), 2),
                bare(mean(|t| t.side_effects.new_connections), 2),
                bare(mean(|t| t.side_effects.slow_start_load), 2),
                bare(mean(|t| t.side_effects.rejection_spread), 3),
                bare(mean(|t| 100.0 * t.side_effects.top_class_rejected), 2),
                bare(mean(|t| 100.0 * t.side_effects.inversions), 1),
                bare(mean(|t| t.chokes as f64), 1),
            ]);
        }
        rows
    }

    /// The table for the terminal, in Markdown.
    pub fn table(&self) -> String {
        markdown(&self.rows())
    }

    /// One self-contained page: the table, and plots over the number of instances, a curve for each load.
    pub fn html(&self, title: &str) -> Result<String, PlotError> {
        let curves = |figure: &dyn Fn(&RatioCell) -> f64| {
            by_load(self.cells.iter().map(|cell| (cell.load, (f64::from(cell.instances), figure(cell)))))
        };
        let mean = |figure: fn(&RunSummary) -> f64| {
            move |cell: &RatioCell| cell.runs.iter().map(figure).sum::<f64>() / cell.runs.len().max(1) as f64
        };
        let plots = [
            lines("Fleet ratio", "copies", "", &curves(&|cell| self.ratio(cell).mean))?,
            lines("Attempts for each call", "copies", "", &curves(&mean(|t| t.attempts)))?,
            lines(
                "Trials at a failing server",
                "copies",
                "1/s",
                &curves(&mean(|t| t.side_effects.attempts_at_failing)),
            )?,
            lines(
                "New connections a server",
                "copies",
                "1/s",
                &curves(&mean(|t| t.side_effects.new_connections)),
            )?,
            lines(
                "Spread of the refused parts",
                "copies",
                "",
                &curves(&mean(|t| t.side_effects.rejection_spread)),
            )?,
            lines("Inversions", "copies", "%", &curves(&mean(|t| 100.0 * t.side_effects.inversions)))?,
        ];
        Ok(page(title, &self.rows(), &plots))
    }
}
