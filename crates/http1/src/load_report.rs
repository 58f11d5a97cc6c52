//! Load reports of backends, where the deployment has them.

use hillstall_decision::{LoadReport, ReportField};
use hyper::header::{HeaderMap, HeaderName};

const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Reads load reports with the fields that the settings name.
pub struct LoadReportParser {
    fields: Vec<ReportField>,
}

impl LoadReportParser {
    /// A parser for these fields.
    pub fn new(fields: Vec<ReportField>) -> LoadReportParser {
        LoadReportParser { fields }
    }

    /// Reads the report in the headers of a response.
    pub fn from_headers(&self, headers: &HeaderMap) -> LoadReport {
        let text = headers.get(SERVER_LOAD).and_then(|value| value.to_str().ok());
        self.parse(text.unwrap_or_default())
    }

    /// Reads a report of the form `name=value,name=value`; the values are in the order of the settings. The report is
    /// empty unless every field is there and is a finite number of at least 0: what a peer sends is not trusted.
    pub fn parse(&self, text: &str) -> LoadReport {
        let mut report = LoadReport::default();
        for field in &self.fields {
            let mut values = text.split(',').filter_map(|part| part.split_once('='));
            let value = values.find(|(name, _)| report_field(name.trim()) == *field);
            let value = value.and_then(|(_, value)| value.trim().parse::<f32>().ok());
            let Some(value) = value.filter(|value| value.is_finite() && *value >= 0.0) else {
                return LoadReport::default();
            };
            report.values[usize::from(report.len)] = value;
            report.len += 1;
        }
        report
    }
}

fn report_field(name: &str) -> ReportField {
    match name {
        "inflight" | "active" => ReportField::Active,
        "queue" | "waiting" => ReportField::Waiting,
        "util" | "cpu" => ReportField::Cpu,
        "latency_ms" | "avg_ms" => ReportField::LatencyMs,
        "qps" | "rps" => ReportField::PerSecond,
        "eps" | "err_rps" => ReportField::ErrorsPerSecond,
        _ => ReportField::Unknown,
    }
}
