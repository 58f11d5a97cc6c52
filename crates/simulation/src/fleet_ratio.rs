//! Measures the effect of the number of proxy instances: the same load and machines with one instance, with
//! two, and with many. The result is the *fleet ratio*: service with a number of instances over service with
//! the fewest.

use crate::experiment::{by_cell, grid, Axis, Mean, SweepError, LOAD_KEY};
use crate::policy::PolicyName;
use crate::report::{by_load, lines, markdown, page, PlotError};
use crate::sim::{self, RunSummary};

/// Key of the number of instances in a scenario.
const INSTANCES_KEY: &str = "proxies";

/// Runs of one load with one number of instances.
pub struct RatioCell {
    /// The load, as a fraction of the capacity.
    pub load: f64,
    /// Number of proxy instances in front of the first tier.
    pub instances: u32,
    /// One run for each seed.
    pub runs: Vec<RunSummary>,
}

/// The results of a measurement.
pub struct FleetRatio {
    /// The cells, by load and then by number of instances.
    pub cells: Vec<RatioCell>,
}

/// Runs a scenario with each load, number of instances and seed. `ended` is called after each run.
pub fn measure(
    text: &str,
    loads: &[f64],
    instances: &[u32],
    seeds: &[u64],
    ended: impl Fn() + Sync,
) -> Result<FleetRatio, SweepError> {
    let counts = instances.iter().map(|n| toml::Value::Integer(i64::from(*n))).collect();
    let axes = [Axis::of_numbers(LOAD_KEY, loads), Axis { key: INSTANCES_KEY.to_string(), values: counts }];
    let scenarios = grid(text, &axes)?;
    let cells = loads.iter().flat_map(|load| instances.iter().map(move |count| (*load, *count)));
    let runs = by_cell(&scenarios, seeds, |(_, scenario), seed| {
        let summary = sim::run(scenario, PolicyName::Hillstall, seed);
        ended();
        summary
    });
    let cells = cells.zip(runs).map(|((load, instances), runs)| RatioCell { load, instances, runs });
    Ok(FleetRatio { cells: cells.collect() })
}

impl FleetRatio {
    /// The cell with the fewest instances at the same load.
    fn fewest_instances<'a>(&'a self, cell: &'a RatioCell) -> &'a RatioCell {
        let same = self.cells.iter().filter(|other| other.load == cell.load);
        same.min_by_key(|other| other.instances).unwrap_or(cell)
    }

    /// Service over that of the fewest instances, paired by seed: as both have the same requests, the
    /// randomness of these cancels out.
    pub fn ratio(&self, cell: &RatioCell) -> Mean {
        let pairs = cell.runs.iter().zip(&self.fewest_instances(cell).runs);
        Mean::of(&pairs.map(|(many, one)| many.service / one.service.max(1e-9)).collect::<Vec<_>>())
    }

    /// The rows of the table. The headings `copies` and `tries` stay, as operators know them: instances, and
    /// client attempts per request.
    fn rows(&self) -> Vec<Vec<String>> {
        let mut rows: Vec<Vec<String>> = vec![[
            "load",
            "copies",
            "service",
            "fleet ratio",
            "tries",
            "attempts",
            "attempts at a failing server /s",
            "new connections per server /s",
            "load in slow start, of what is tolerated",
            "rejected fraction, spread over copies",
            "top class rejected unsent %",
            "priority inversions, of these rejections %",
            "choked",
        ]
        .map(String::from)
        .into()];
        for cell in &self.cells {
            let mean =
                |figure: fn(&RunSummary) -> f64| Mean::of(&cell.runs.iter().map(figure).collect::<Vec<_>>());
            let with_interval = |m: Mean, d: usize| format!("{:.d$} ± {:.d$}", m.mean, m.half_width);
            let without_interval = |m: Mean, d: usize| format!("{:.d$}", m.mean);
            rows.push(vec![
                format!("{:.2}", cell.load),
                cell.instances.to_string(),
                with_interval(mean(|run| 100.0 * run.service), 1),
                with_interval(self.ratio(cell), 3),
                without_interval(mean(|run| run.client_attempts), 2),
                without_interval(mean(|run| run.attempts), 2),
                without_interval(mean(|run| run.side_effects.attempts_at_failing), 2),
                without_interval(mean(|run| run.side_effects.new_connections), 2),
                without_interval(mean(|run| run.side_effects.slow_start_load), 2),
                without_interval(mean(|run| run.side_effects.rejection_spread), 3),
                without_interval(mean(|run| 100.0 * run.side_effects.top_class_rejected), 2),
                without_interval(mean(|run| 100.0 * run.side_effects.inversions), 1),
                without_interval(mean(|run| run.chokes as f64), 1),
            ]);
        }
        rows
    }

    /// The table for the terminal, in Markdown.
    pub fn table(&self) -> String {
        markdown(&self.rows())
    }

    /// One self-contained HTML page: the table, and plots over the number of instances with a curve for each
    /// load.
    pub fn html(&self, title: &str) -> Result<String, PlotError> {
        let curves = |figure: &dyn Fn(&RatioCell) -> f64| {
            by_load(self.cells.iter().map(|cell| (cell.load, (f64::from(cell.instances), figure(cell)))))
        };
        let mean = |figure: fn(&RunSummary) -> f64| {
            move |cell: &RatioCell| cell.runs.iter().map(figure).sum::<f64>() / cell.runs.len().max(1) as f64
        };
        let plots = [
            lines("Fleet ratio", "copies", "", &curves(&|cell| self.ratio(cell).mean))?,
            lines("Attempts per client request", "copies", "", &curves(&mean(|run| run.attempts)))?,
            lines(
                "Attempts at a failing server",
                "copies",
                "1/s",
                &curves(&mean(|run| run.side_effects.attempts_at_failing)),
            )?,
            lines(
                "New connections per server",
                "copies",
                "1/s",
                &curves(&mean(|run| run.side_effects.new_connections)),
            )?,
            lines(
                "Spread of the rejected fractions",
                "copies",
                "",
                &curves(&mean(|run| run.side_effects.rejection_spread)),
            )?,
            lines("Inversions", "copies", "%", &curves(&mean(|run| 100.0 * run.side_effects.inversions)))?,
        ];
        Ok(page(title, &self.rows(), &plots))
    }
}
