//! The stability map of metastable overload, over the load and the fraction of machines that is lost for a
//! while. A point is stable if service recovers by itself soon after the loss has ended; elsewhere the
//! overload outlasts its cause.

use crate::experiment::{by_cell, grid, Axis, Mean, SweepError, LOAD_KEY};
use crate::policy::PolicyName;
use crate::report::{by_load, lines, markdown, page, PlotError};
use crate::sim::{self, setup, RunSummary, Second};

/// Key of the fraction of machines that is lost, in the scenario's first failure.
const LOST_KEY: &str = "failure.0.part";
/// Seconds at the start of a run that are left out of the baseline.
const WARMUP_SECONDS: usize = 2;
/// Service counts as recovered from this fraction of the baseline on.
const RECOVERED_FRACTION: f64 = 0.95;
/// Service counts as recovered once it has been so over this many consecutive seconds.
const RECOVERED_SECONDS: usize = 2;
/// A cell counts as worse if its service has dropped by more than this many percentage points.
const WORSE_POINTS: f64 = 2.0;

/// The course of service in one run: before, during and after the loss of machines.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceCourse {
    /// Service before the loss, from 0 to 1.
    pub baseline: f64,
    /// Service while the loss lasts, from 0 to 1.
    pub during_loss: f64,
    /// Seconds from the end of the loss until service has recovered; `None` if it does not within the run.
    pub recovery_seconds: Option<f64>,
}

impl ServiceCourse {
    /// Measures a run by its seconds. The loss begins at `from` and lasts for `lasts`, both in seconds.
    pub fn of(seconds: &[Second], from: f64, lasts: f64) -> ServiceCourse {
        let service = |range: std::ops::Range<usize>| {
            let range = range.start.min(seconds.len())..range.end.min(seconds.len());
            let sum = |of: fn(&Second) -> f64| seconds[range.clone()].iter().map(of).sum::<f64>();
            let offered = sum(|s| s.offered_weight);
            if offered > 0.0 {
                sum(|s| s.served_weight) / offered
            } else {
                0.0
            }
        };
        let (begins, ends) = (from as usize, (from + lasts).ceil() as usize);
        // Requests of the last second before the loss may still be in flight when it begins.
        let baseline_end = begins.saturating_sub(1);
        let baseline = service(WARMUP_SECONDS.min(baseline_end)..baseline_end);
        let recovered_at = (ends..(seconds.len() + 1).saturating_sub(RECOVERED_SECONDS))
            .find(|s| service(*s..s + RECOVERED_SECONDS) >= RECOVERED_FRACTION * baseline);
        ServiceCourse {
            baseline,
            during_loss: service(begins..ends),
            recovery_seconds: recovered_at.map(|s| (s - ends) as f64),
        }
    }
}

/// Runs with one load and one loss.
pub struct StabilityCell {
    /// The load, as a fraction of the capacity.
    pub load: f64,
    /// The fraction of machines that is lost.
    pub lost_fraction: f64,
    /// One run for each seed.
    pub runs: Vec<RunSummary>,
    /// The course of each run.
    pub courses: Vec<ServiceCourse>,
}

impl StabilityCell {
    /// The fraction of the load that the remaining machines can serve; at most 1.
    pub fn servable_fraction(&self) -> f64 {
        ((1.0 - self.lost_fraction) / self.load).min(1.0)
    }

    /// The mean of a figure over the seeds.
    fn mean(&self, figure: impl Fn(&ServiceCourse) -> f64) -> Mean {
        Mean::of(&self.courses.iter().map(figure).collect::<Vec<_>>())
    }

    /// Number of seeds with which service did not recover.
    pub fn unrecovered_seeds(&self) -> usize {
        self.courses.iter().filter(|course| course.recovery_seconds.is_none()).count()
    }

    /// The longest recovery among the seeds with which service recovered, in seconds.
    fn longest_recovery(&self) -> f64 {
        self.courses.iter().filter_map(|course| course.recovery_seconds).fold(0.0, f64::max)
    }

    fn chokes(&self) -> f64 {
        self.runs.iter().map(|run| run.chokes as f64).sum::<f64>() / self.runs.len().max(1) as f64
    }

    /// The cell's name in stored runs, by which [`StabilityMap::compare_with`] finds the earlier runs of the
    /// cell.
    fn name(&self) -> String {
        format!("load={} lost={}", self.load, self.lost_fraction)
    }
}

/// A stability map.
pub struct StabilityMap {
    /// The cells, by load and then by fraction lost.
    pub cells: Vec<StabilityCell>,
}

/// Why a map can't be computed.
#[derive(Debug, thiserror::Error)]
pub enum MapError {
    /// The grid of scenarios can't be built.
    #[error(transparent)]
    Grid(#[from] SweepError),
    /// The scenario has no failure.
    #[error("failure.0: the scenario has no failure whose part could be varied")]
    NoFailure,
}

/// Runs a scenario, whose first failure is the loss of machines, with each load, fraction lost and seed.
/// `ended` is called after each run.
pub fn map(
    text: &str,
    (loads, lost): (&[f64], &[f64]),
    policy: PolicyName,
    seeds: &[u64],
    ended: impl Fn() + Sync,
) -> Result<StabilityMap, MapError> {
    let scenarios = grid(text, &[Axis::of_numbers(LOAD_KEY, loads), Axis::of_numbers(LOST_KEY, lost)])?;
    if scenarios.iter().any(|(_, scenario)| scenario.failures.is_empty()) {
        return Err(MapError::NoFailure);
    }
    let cells = loads.iter().flat_map(|load| lost.iter().map(move |lost| (*load, *lost)));
    let cells: Vec<_> = cells.zip(scenarios).map(|(place, (_, scenario))| (place, scenario)).collect();
    let runs = by_cell(&cells, seeds, |((_, lost), scenario), seed| {
        let mut scenario = scenario.clone();
        let loss = setup::draw(&scenario, seed).failures[0].clone();
        // A failure affects at least one machine whatever its fraction, so a cell without loss has no
        // failure.
        if *lost <= 0.0 {
            scenario.failures.remove(0);
        }
        let summary = sim::run(&scenario, policy, seed);
        ended();
        let course = ServiceCourse::of(&summary.seconds, loss.at / 1e3, loss.duration / 1e3);
        (summary, course)
    });
    let cells = cells.iter().zip(runs).map(|(((load, lost), _), runs)| {
        let (runs, courses) = runs.into_iter().unzip();
        let mut cell = StabilityCell { load: *load, lost_fraction: *lost, runs, courses };
        let name = cell.name();
        cell.runs.iter_mut().for_each(|summary| summary.cell.clone_from(&name));
        cell
    });
    Ok(StabilityMap { cells: cells.collect() })
}

impl StabilityMap {
    fn rows(&self) -> Vec<Vec<String>> {
        let heading = [
            "load",
            "lost",
            "service before the loss",
            "during",
            "of the servable load %",
            "mean time to recovery s",
            "longest",
            "not recovered",
            "choked",
        ];
        let row = |cell: &StabilityCell| {
            let during = cell.mean(|course| 100.0 * course.during_loss);
            let recoveries: Vec<f64> =
                cell.courses.iter().filter_map(|course| course.recovery_seconds).collect();
            vec![
                format!("{:.2}", cell.load),
                format!("{:.2}", cell.lost_fraction),
                format!("{:.1}", cell.mean(|course| 100.0 * course.baseline).mean),
                format!("{:.1} ± {:.1}", during.mean, during.half_width),
                format!("{:.0}", during.mean / cell.servable_fraction()),
                format!("{:.1}", Mean::of(&recoveries).mean),
                format!("{:.0}", cell.longest_recovery()),
                format!("{} of {}", cell.unrecovered_seeds(), cell.courses.len()),
                format!("{:.1}", cell.chokes()),
            ]
        };
        let heading = heading.map(String::from).into();
        std::iter::once(heading).chain(self.cells.iter().map(row)).collect()
    }

    /// The table for the terminal, in Markdown.
    pub fn table(&self) -> String {
        markdown(&self.rows())
    }

    /// Compares the cells with the runs of an earlier map, paired by seed, by the service of the whole run.
    /// Returns a table in percentage points, and the number of cells that are worse by more than the
    /// tolerance.
    pub fn compare_with(&self, earlier: &[RunSummary]) -> (String, usize) {
        let heading = ["load", "lost", "service before the change", "now", "gain", ""].map(String::from);
        let (mut rows, mut worse) = (vec![heading.to_vec()], 0);
        for cell in &self.cells {
            let name = cell.name();
            let of_seed = |seed: u64| earlier.iter().find(|run| run.cell == name && run.seed == seed);
            let pairs: Vec<(f64, f64)> = (cell.runs.iter())
                .filter_map(|now| of_seed(now.seed).map(|then| (100.0 * then.service, 100.0 * now.service)))
                .collect();
            if pairs.is_empty() {
                continue;
            }
            let mean = |of: fn(&(f64, f64)) -> f64| Mean::of(&pairs.iter().map(of).collect::<Vec<_>>());
            let gain = mean(|pair| pair.1 - pair.0);
            let is_worse = gain.mean < -WORSE_POINTS;
            worse += usize::from(is_worse);
            rows.push(vec![
                format!("{:.2}", cell.load),
                format!("{:.2}", cell.lost_fraction),
                format!("{:.1}", mean(|pair| pair.0).mean),
                format!("{:.1}", mean(|pair| pair.1).mean),
                format!("{:+.1} ± {:.1}", gain.mean, gain.half_width),
                if is_worse { "worse" } else { "" }.to_string(),
            ]);
        }
        (markdown(&rows), worse)
    }

    /// One self-contained HTML page: the table, and plots over the fraction lost with a curve for each load.
    pub fn html(&self, title: &str) -> Result<String, PlotError> {
        let curves = |figure: &dyn Fn(&StabilityCell) -> f64| {
            by_load(self.cells.iter().map(|cell| (cell.load, (cell.lost_fraction, figure(cell)))))
        };
        let part =
            |cell: &StabilityCell| 100.0 * cell.unrecovered_seeds() as f64 / cell.courses.len().max(1) as f64;
        let during = |cell: &StabilityCell| cell.mean(|course| 100.0 * course.during_loss).mean;
        let axis = "fraction of servers lost";
        let plots = [
            lines("Service while the loss lasts", axis, "%", &curves(&during))?,
            lines(
                "Service while the loss lasts, of the servable load",
                axis,
                "%",
                &curves(&|c| during(c) / c.servable_fraction()),
            )?,
            lines(
                "Longest time until service has recovered",
                axis,
                "s",
                &curves(&StabilityCell::longest_recovery),
            )?,
            lines("Seeds without recovery", axis, "%", &curves(&part))?,
            lines("Servers that became choked", axis, "servers", &curves(&StabilityCell::chokes))?,
        ];
        Ok(page(title, &self.rows(), &plots))
    }
}
