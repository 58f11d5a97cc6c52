//! A report on the access logs of a fleet (`log.calls = true`): requests of all proxies by tier, by the
//! traffic of the proxy, by the reason why they were not served, and by second. Lines that are no access-log
//! records are skipped, and so is text that a log collector has put in front of a record.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum ReadLogError {
    /// A file or the folder can't be read.
    #[error("{path}: {why}")]
    File {
        /// The file or folder.
        path: PathBuf,
        /// The error of the operating system.
        why: std::io::Error,
    },
    /// The folder has no access-log records.
    #[error("{0}: no file in it holds a record of a call; is log.calls set, and log.format = \"json\"?")]
    Empty(PathBuf),
}

/// The fields of an access-log record that the report uses.
#[derive(Deserialize)]
struct Record {
    timestamp: String,
    message: String,
    end: String,
    #[serde(default)]
    tier: String,
    #[serde(default)]
    why: String,
    #[serde(default)]
    outcome: String,
    #[serde(default)]
    earlier_ms: f64,
    #[serde(default)]
    last_ms: f64,
}

/// Outcomes of a group of requests.
#[derive(Clone, Debug, Default)]
struct OutcomeCounts {
    requests: u64,
    served: u64,
    /// Number of requests not served, by the proxy's reason, or else by the outcome of the last attempt.
    unserved: BTreeMap<String, u64>,
    /// Latencies of the served requests, in milliseconds.
    latencies: Vec<f64>,
}

impl OutcomeCounts {
    fn count(&mut self, record: &Record) {
        self.requests += 1;
        if record.end == "served" {
            self.served += 1;
            return self.latencies.push(record.earlier_ms + record.last_ms);
        }
        let why = [&record.why, &record.outcome, &record.end].into_iter().find(|why| !why.is_empty());
        *self.unserved.entry(why.cloned().unwrap_or_default()).or_default() += 1;
    }

    fn add(&mut self, other: &OutcomeCounts) {
        self.requests += other.requests;
        self.served += other.served;
        self.latencies.extend(&other.latencies);
        for (why, count) in &other.unserved {
            *self.unserved.entry(why.clone()).or_default() += count;
        }
    }

    /// A table row: number of requests, percentage not served, percentage for each reason, and median latency
    /// of the served requests.
    fn row(&self, reasons: &BTreeSet<&String>) -> String {
        let percentage = |count: u64| 100.0 * count as f64 / self.requests.max(1) as f64;
        let mut row = format!(" {} | {:.1} |", self.requests, percentage(self.requests - self.served));
        for reason in reasons {
            let _ = write!(row, " {:.1} |", percentage(self.unserved.get(*reason).copied().unwrap_or(0)));
        }
        let mut latencies = self.latencies.clone();
        latencies.sort_by(f64::total_cmp);
        let median = latencies.get(latencies.len() / 2).map_or("-".to_string(), |ms| format!("{ms:.0}"));
        row + &format!(" {median} |\n")
    }
}

/// The requests of one tier, by proxy (path of its log) and by second (Unix time).
#[derive(Debug, Default)]
struct Tier {
    proxies: BTreeMap<PathBuf, OutcomeCounts>,
    seconds: BTreeMap<u64, OutcomeCounts>,
}

/// Counts of the requests of a fleet.
#[derive(Debug, Default)]
pub struct AccessLogReport {
    tiers: BTreeMap<String, Tier>,
    /// The first second with a request, as Unix time.
    first_second: u64,
}

impl AccessLogReport {
    /// Reads a folder in which each file is the log of one proxy; subfolders are skipped.
    pub fn read(folder: &Path) -> Result<AccessLogReport, ReadLogError> {
        let failed = |path: &Path, why| ReadLogError::File { path: path.to_path_buf(), why };
        let entries = std::fs::read_dir(folder).map_err(|why| failed(folder, why))?;
        let mut fleet = AccessLogReport { first_second: u64::MAX, ..AccessLogReport::default() };
        for entry in entries {
            let path = entry.map_err(|why| failed(folder, why))?.path();
            if path.is_file() {
                // A log that was cut off may end within a UTF-8 character.
                let bytes = std::fs::read(&path).map_err(|why| failed(&path, why))?;
                fleet.add(&path, &String::from_utf8_lossy(&bytes));
            }
        }
        match fleet.tiers.is_empty() {
            true => Err(ReadLogError::Empty(folder.to_path_buf())),
            false => Ok(fleet),
        }
    }

    /// Counts the requests in the log of one proxy.
    pub fn add(&mut self, proxy: &Path, log: &str) {
        let records = log.lines().filter_map(|line| {
            let record: Record = serde_json::from_str(&line[line.find('{')?..]).ok()?;
            Some(record).filter(|record| record.message == "call")
        });
        for record in records {
            let Ok(at) = humantime::parse_rfc3339(&record.timestamp) else { continue };
            let second = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            self.first_second = self.first_second.min(second);
            let tier = self.tiers.entry(record.tier.clone()).or_default();
            tier.proxies.entry(proxy.to_path_buf()).or_default().count(&record);
            tier.seconds.entry(second).or_default().count(&record);
        }
    }

    /// The Markdown tables of each tier: by load of the proxies, and by second.
    pub fn tables(&self) -> String {
        let mut text = String::new();
        for (name, tier) in &self.tiers {
            let mut total = OutcomeCounts::default();
            tier.proxies.values().for_each(|counts| total.add(counts));
            let reasons: BTreeSet<&String> = total.unserved.keys().collect();
            let names: String = reasons.iter().map(|reason| format!(" {reason} % |")).collect();
            let rule = "---: |".repeat(reasons.len());
            // The texts of the tables stay, as operators read and compare them.
            let name = if name.is_empty() { "tier not told" } else { name };
            let head = |of: &str| {
                format!(
                    "| {of} | calls | not served % |{names} p50 ms |\n| --- | ---: | ---: |{rule} ---: |\n"
                )
            };
            let _ = write!(text, "{name}: {} proxies\n\n", tier.proxies.len());
            text += &head("proxies by load");
            for (quarter, counts) in ["least", "second", "third", "most"].iter().zip(tier.quarters()) {
                let _ = write!(text, "| {quarter} loaded quarter |{}", counts.row(&reasons));
            }
            let _ = writeln!(text, "| all |{}", total.row(&reasons));
            text += &head("second");
            for (second, counts) in &tier.seconds {
                let _ = write!(text, "| {} |{}", second - self.first_second, counts.row(&reasons));
            }
            text.push('\n');
        }
        text
    }
}

impl Tier {
    /// Totals of the proxies in four quarters, from least to most traffic.
    fn quarters(&self) -> [OutcomeCounts; 4] {
        let mut by_load: Vec<&OutcomeCounts> = self.proxies.values().collect();
        by_load.sort_by_key(|counts| counts.requests);
        let mut quarters: [OutcomeCounts; 4] = std::array::from_fn(|_| OutcomeCounts::default());
        for (place, counts) in by_load.iter().enumerate() {
            quarters[place * 4 / by_load.len()].add(counts);
        }
        quarters
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn record(second: u32, tier: &str, end: &str, why: &str) -> String {
        format!(
            "0.1 {{\"timestamp\":\"2026-12-01T10:00:{second:02}.5Z\",\"message\":\"call\",\"end\":\"{end}\",\
             \"tier\":\"{tier}\",\"why\":\"{why}\",\"outcome\":\"\",\"earlier_ms\":0.0,\"last_ms\":20.0}}\n"
        )
    }

    #[test]
    fn requests_are_counted_by_load_reason_tier_and_second() {
        let mut fleet = AccessLogReport { first_second: u64::MAX, ..AccessLogReport::default() };
        for proxy in 0..3 {
            let log = record(0, "front", "served", "") + "noise {\n" + &record(1, "front", "served", "");
            fleet.add(Path::new(&format!("cool-{proxy}")), &log);
        }
        let hot = record(1, "front", "refused", "tier").repeat(6)
            + &record(2, "front", "refused", "borrow").repeat(2)
            + &record(2, "front", "served", "").repeat(2);
        fleet.add(Path::new("hot"), &hot);
        fleet.add(Path::new("deep"), &record(1, "back", "failed", ""));
        let tables = fleet.tables();
        assert!(tables.contains("front: 4 proxies") && tables.contains("back: 1 proxies"), "{tables}");
        assert!(tables.contains("| least loaded quarter | 2 | 0.0 | 0.0 | 0.0 | 20 |"), "{tables}");
        assert!(tables.contains("| most loaded quarter | 10 | 80.0 | 20.0 | 60.0 | 20 |"), "{tables}");
        assert!(tables.contains("| 1 | 9 | 66.7 | 0.0 | 66.7 | 20 |"), "{tables}");
        assert!(tables.contains("| 0 | 3 | 0.0 |") && tables.contains("failed %"), "{tables}");
    }

    #[test]
    fn the_error_for_a_folder_without_records_names_the_setting() {
        let folder = std::env::temp_dir().join(format!("hillstall-calls-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("n0.log"), b"not sent: \xff\n").expect("a file");
        let why = AccessLogReport::read(&folder).expect_err("a folder without records").to_string();
        std::fs::remove_dir_all(&folder).expect("the folder is removed");
        assert!(why.contains("log.calls"), "{why}");
        assert!(matches!(AccessLogReport::read(&folder), Err(ReadLogError::File { .. })));
    }
}
