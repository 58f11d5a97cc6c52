//! Reports on runs: a Markdown table for the terminal, and an HTML page with inline plots.

use crate::experiment::Mean;
use crate::sim::{RunSummary, Second};
use plotters::prelude::*;

/// Why a report can't be drawn.
#[derive(Debug, thiserror::Error)]
#[error("can't draw a plot: {0}")]
pub struct PlotError(String);

type Column = (&'static str, fn(&RunSummary) -> f64, usize);

/// The columns of the table: heading, figure and decimals. The headings stay, as operators know them from
/// stored reports.
const COLUMNS: [Column; 12] = [
    ("service", |run| 100.0 * run.service, 2),
    ("worst 10 s", |run| 100.0 * run.worst_window, 1),
    ("late %", |run| 100.0 * run.late, 2),
    ("refused %", |run| 100.0 * run.rejected, 2),
    ("by hot proxies %", |run| 100.0 * run.rejected_hot, 1),
    ("by cool proxies %", |run| 100.0 * run.rejected_cool, 1),
    ("failed %", |run| 100.0 * run.failed, 2),
    ("p50 ms", |run| run.p50_ms, 1),
    ("p99 ms", |run| run.p99_ms, 0),
    ("tries", |run| run.client_attempts, 2),
    ("attempts", |run| run.attempts, 2),
    ("choked", |run| run.chokes as f64, 1),
];

/// Groups runs by [`RunSummary::group`], in the order of each group's first run.
pub fn groups(runs: Vec<RunSummary>) -> Vec<(String, Vec<RunSummary>)> {
    let mut groups: Vec<(String, Vec<RunSummary>)> = Vec::new();
    for run in runs {
        let name = run.group();
        match groups.iter_mut().find(|(group, _)| *group == name) {
            Some((_, runs)) => runs.push(run),
            None => groups.push((name, vec![run])),
        }
    }
    groups
}

/// The heading, and a row for each group of runs with means over the seeds; service has its 95% confidence
/// interval.
fn rows(groups: &[(String, Vec<RunSummary>)]) -> Vec<Vec<String>> {
    let named = COLUMNS.iter().map(|c| c.0);
    let heading = ["runs", "seeds"].into_iter().chain(named).chain(["broken rules"]).map(String::from);
    let mut rows = vec![heading.collect()];
    for (name, runs) in groups {
        let mut row = vec![name.clone(), runs.len().to_string()];
        for (i, (_, figure, decimals)) in COLUMNS.iter().enumerate() {
            let mean = Mean::of(&runs.iter().map(figure).collect::<Vec<_>>());
            row.push(match i == 0 && mean.half_width.is_finite() {
                true => format!("{:.decimals$} ± {:.decimals$}", mean.mean, mean.half_width),
                false => format!("{:.decimals$}", mean.mean),
            });
        }
        row.push(runs.iter().map(|run| run.late_sends + run.response_errors).sum::<u64>().to_string());
        rows.push(row);
    }
    rows
}

/// The table of groups of runs, in Markdown.
pub fn table(groups: &[(String, Vec<RunSummary>)]) -> String {
    markdown(&rows(groups))
}

/// Formats rows as a Markdown table; the first row is the heading.
pub(crate) fn markdown(rows: &[Vec<String>]) -> String {
    let columns = rows.first().map_or(0, Vec::len);
    let mut lines: Vec<String> = rows.iter().map(|row| format!("| {} |\n", row.join(" | "))).collect();
    lines.insert(1.min(lines.len()), format!("| --- |{}\n", " ---: |".repeat(columns.saturating_sub(1))));
    lines.concat()
}

/// A curve over the seconds of a run: its name, and a value for each second.
type Curve = (String, Vec<f64>);

/// A plot over the seconds of a run.
fn plot(title: &str, unit: &str, curves: &[Curve]) -> Result<String, PlotError> {
    let over_time = |(name, values): &Curve| {
        let points = values.iter().enumerate().map(|(s, v)| (s as f64 + 0.5, *v));
        (name.clone(), points.collect())
    };
    lines(title, "s", unit, &curves.iter().map(over_time).collect::<Vec<_>>())
}

/// A curve: its name and its points.
pub(crate) type Points = (String, Vec<(f64, f64)>);

/// Groups points by load into curves, one for each load, in the order in which the loads first occur.
pub(crate) fn by_load(points: impl Iterator<Item = (f64, (f64, f64))>) -> Vec<Points> {
    let mut curves: Vec<Points> = Vec::new();
    for (load, point) in points {
        let name = format!("load {load:.2}");
        match curves.iter_mut().find(|(known, _)| *known == name) {
            Some((_, points)) => points.push(point),
            None => curves.push((name, vec![point])),
        }
    }
    curves
}

/// A plot of curves as an SVG; `axis` and `unit` label the axes.
pub(crate) fn lines(title: &str, axis: &str, unit: &str, curves: &[Points]) -> Result<String, PlotError> {
    let plot_error = |why: &dyn std::fmt::Display| PlotError(why.to_string());
    let points = || curves.iter().flat_map(|c| c.1.iter());
    let max_x = points().map(|p| p.0).fold(0.0, f64::max).max(1e-9);
    let max_value = points().map(|p| p.1).fold(0.0, f64::max).max(1e-9) * 1.05;
    let mut svg = String::new();
    {
        let root = SVGBackend::with_string(&mut svg, (860, 260)).into_drawing_area();
        let mut chart = ChartBuilder::on(&root)
            .caption(title, ("sans-serif", 16))
            .margin(8)
            .x_label_area_size(28)
            .y_label_area_size(56)
            .build_cartesian_2d(0.0..max_x, 0.0..max_value)
            .map_err(|e| plot_error(&e))?;
        let mut mesh = chart.configure_mesh();
        mesh.x_desc(axis).y_desc(unit).draw().map_err(|e| plot_error(&e))?;
        for (i, (name, points)) in curves.iter().enumerate() {
            let color = Palette99::pick(i).to_rgba();
            let series = LineSeries::new(points.iter().copied(), color.stroke_width(2));
            let line = chart.draw_series(series).map_err(|e| plot_error(&e))?;
            line.label(name.as_str())
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        }
        let mut labels = chart.configure_series_labels();
        labels.background_style(WHITE.mix(0.8)).draw().map_err(|e| plot_error(&e))?;
        root.present().map_err(|e| plot_error(&e))?;
    }
    Ok(svg)
}

/// The mean of a figure over runs, second by second.
fn curve(runs: &[RunSummary], figure: impl Fn(&Second) -> f64) -> Vec<f64> {
    let seconds = runs.iter().map(|run| run.seconds.len()).min().unwrap_or(0);
    let mean =
        |s: usize| runs.iter().map(|run| figure(&run.seconds[s])).sum::<f64>() / runs.len().max(1) as f64;
    (0..seconds).map(mean).collect()
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;").replace('<', "&lt;").replace('>', "&gt;")
}

/// A ratio in percent; 100 if the whole is 0.
fn percent(part: f64, whole: f64) -> f64 {
    if whole > 0.0 {
        100.0 * part / whole
    } else {
        100.0
    }
}

/// One self-contained HTML page: the table, and plots of the groups over time.
pub fn html(title: &str, groups: &[(String, Vec<RunSummary>)]) -> Result<String, PlotError> {
    let of = |figure: fn(&Second) -> f64| -> Vec<Curve> {
        groups.iter().map(|(name, runs)| (name.clone(), curve(runs, figure))).collect()
    };
    let mut plots = vec![
        plot(
            "Service: weight answered within the latency objective",
            "%",
            &of(|s| percent(s.served_weight, s.offered_weight)),
        )?,
        plot("Latency, 99th percentile, from the intended start", "ms", &of(|s| s.p99_ms))?,
        plot("Requests rejected at their last attempt", "calls/s", &of(|s| s.rejected as f64))?,
        plot(
            "Attempts per client request, first tier",
            "",
            &of(|s| s.attempts as f64 / (s.offered as f64).max(1.0)),
        )?,
        plot("Choked machines, first tier", "machines", &of(|s| s.choked as f64))?,
    ];
    if let Some((name, runs)) = groups.first() {
        let offered = curve(runs, |s| s.offered as f64);
        let peak = offered.iter().copied().fold(1.0, f64::max);
        let load = offered.iter().map(|v| percent(*v, peak)).collect();
        let capacity = curve(runs, |s| 100.0 * s.capacity);
        let curves = [
            (format!("capacity of the first tier ({name})"), capacity),
            ("load, as a fraction of its peak".into(), load),
        ];
        plots.push(plot("Capacity against load", "%", &curves)?);
    }
    Ok(page(title, &rows(groups), &plots))
}

/// One self-contained HTML page of a table, whose first row is its heading, and of SVG plots.
pub(crate) fn page(title: &str, rows: &[Vec<String>], plots: &[String]) -> String {
    let line = |(i, row): (usize, &Vec<String>)| {
        let tag = if i == 0 { "th" } else { "td" };
        let cells: String = row.iter().map(|cell| format!("<{tag}>{}</{tag}>", escape(cell))).collect();
        format!("<tr>{cells}</tr>\n")
    };
    let rows: String = rows.iter().enumerate().map(line).collect();
    let title = escape(title);
    let plots = plots.join("\n");
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title>\n\
         <style>body{{font:14px sans-serif;margin:2em}}td,th{{padding:2px 10px;text-align:right}}\
         td:first-child{{text-align:left}}svg{{display:block;margin:1em 0}}</style>\n\
         <h1>{title}</h1>\n<table>\n{rows}</table>\n{plots}\n</html>\n"
    )
}
