//! Parsing of the load reports that backends send with responses and health checks.

use hillstall_decision::{LoadReport, ReportField};
use hyper::header::{HeaderMap, HeaderName};

const SERVER_LOAD: HeaderName = HeaderName::from_static("server-load");

/// Parses load reports with the fields given in the settings.
pub struct LoadReportParser {
    fields: Vec<ReportField>,
}

impl LoadReportParser {
    /// A parser for reports with these fields, in this order.
    pub fn new(fields: Vec<ReportField>) -> LoadReportParser {
        LoadReportParser { fields }
    }

    /// Parses the `Server-Load` header of a response; the report is empty if there is none.
    pub fn from_headers(&self, headers: &HeaderMap) -> LoadReport {
        let text = headers.get(SERVER_LOAD).and_then(|value| value.to_str().ok());
        self.parse(text.unwrap_or_default())
    }

    /// Parses a report of the form `name=value,name=value`. The values are returned in the order of the
    /// settings. Input is not trusted: the report is empty unless every field is present with a finite number
    /// of at least 0.
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

/// The field for a name used by backends; deployments use different names.
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
