//! A report on the access logs of a fleet (`log.calls = true`): requests over all proxies, by the traffic of each proxy, by
//! the reason why they were not served, by tier and by second. Other lines are skipped, and so is text before a record
//! that a log collector has added.

use serde::Deserialize;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::time::UNIX_EPOCH;

/// Why the logs can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadLogError {
    /// A file or the folder.
    #[error("{path}: {why}")]
    File {
        /// Which.
        path: PathBuf,
        /// What the system says.
        why: std::io::Error,
    },
    /// Nothing to count.
    #[error("{0}: no file in it holds a record of a call; is log.calls set, and log.format = \"json\"?")]
    Empty(PathBuf),
}

/// The fields of a record that are used.
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
struct Ends {
    calls: u64,
    served: u64,
    /// By the reason why the proxy gave them up, or by the outcome of the last attempt.
    unserved: BTreeMap<String, u64>,
    /// Of the served ones, in milliseconds.
    took: Vec<f64>,
}

impl Ends {
    fn count(&mut self, record: &Record) {
        self.calls += 1;
        if record.end == "served" {
            self.served += 1;
            return self.took.push(record.earlier_ms + record.last_ms);
        }
        let why = [&record.why, &record.outcome, &record.end].into_iter().find(|why| !why.is_empty());
        *self.unserved.entry(why.cloned().unwrap_or_default()).or_default() += 1;
    }

    fn add(&mut self, other: &Ends) {
        self.calls += other.calls;
        self.served += other.served;
        self.took.extend(&other.took);
        for (why, count) in &other.unserved {
            *self.unserved.entry(why.clone()).or_default() += count;
        }
    }

    /// A row: requests, the part not served, its parts by reason, and the median latency of the served ones.
    fn row(&self, reasons: &BTreeSet<&String>) -> String {
        let part = |count: u64| 100.0 * count as f64 / self.calls.max(1) as f64;
        let mut row = format!(" {} | {:.1} |", self.calls, part(self.calls - self.served));
        for reason in reasons {
            let _ = write!(row, " {:.1} |", part(self.unserved.get(*reason).copied().unwrap_or(0)));
        }
        let mut took = self.took.clone();
        took.sort_by(f64::total_cmp);
        let median = took.get(took.len() / 2).map_or("-".to_string(), |ms| format!("{ms:.0}"));
        row + &format!(" {median} |\n")
    }
}

/// The requests of one tier.
#[derive(Debug, Default)]
struct Tier {
    proxies: BTreeMap<PathBuf, Ends>,
    seconds: BTreeMap<u64, Ends>,
}

/// The requests of a fleet.
#[derive(Debug, Default)]
pub struct AccessLogReport {
    tiers: BTreeMap<String, Tier>,
    from: u64,
}

impl AccessLogReport {
    /// Reads a folder in which each file is the log of one proxy.
    pub fn read(folder: &Path) -> Result<AccessLogReport, ReadLogError> {
        let failed = |path: &Path, why| ReadLogError::File { path: path.to_path_buf(), why };
        let entries = std::fs::read_dir(folder).map_err(|why| failed(folder, why))?;
        let mut fleet = AccessLogReport { from: u64::MAX, ..AccessLogReport::default() };
        for entry in entries {
            let path = entry.map_err(|why| failed(folder, why))?.path();
            if path.is_file() {
                // A log may end within a character.
                let bytes = std::fs::read(&path).map_err(|why| failed(&path, why))?;
                fleet.add(&path, &String::from_utf8_lossy(&bytes));
            }
        }
        match fleet.tiers.is_empty() {
            true => Err(ReadLogError::Empty(folder.to_path_buf())),
            false => Ok(fleet),
        }
    }

    /// Adds one proxy's log.
    pub fn add(&mut self, proxy: &Path, log: &str) {
        let records = log.lines().filter_map(|line| {
            let record: Record = serde_json::from_str(&line[line.find('{')?..]).ok()?;
            Some(record).filter(|record| record.message == "call")
        });
        for record in records {
            let Ok(at) = humantime::parse_rfc3339(&record.timestamp) else { continue };
            let second = at.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            self.from = self.from.min(second);
            let tier = self.tiers.entry(record.tier.clone()).or_default();
            tier.proxies.entry(proxy.to_path_buf()).or_default().count(&record);
            tier.seconds.entry(second).or_default().count(&record);
        }
    }

    /// The tables, one tier after another.
    pub fn tables(&self) -> String {
        let mut text = String::new();
        for (name, tier) in &self.tiers {
            let mut whole = Ends::default();
            tier.proxies.values().for_each(|ends| whole.add(ends));
            let reasons: BTreeSet<&String> = whole.unserved.keys().collect();
            let names: String = reasons.iter().map(|reason| format!(" {reason} % |")).collect();
            let rule = "---: |".repeat(reasons.len());
            let name = if name.is_empty() { "tier not told" } else { name };
            let head = |of: &str| {
                format!(
                    "| {of} | calls | not served % |{names} p50 ms |\n| --- | ---: | ---: |{rule} ---: |\n"
                )
            };
            let _ = write!(text, "{name}: {} proxies\n\n", tier.proxies.len());
            text += &head("proxies by load");
            for (quarter, ends) in ["least", "second", "third", "most"].iter().zip(tier.quarters()) {
                let _ = write!(text, "| {quarter} loaded quarter |{}", ends.row(&reasons));
            }
            let _ = writeln!(text, "| all |{}", whole.row(&reasons));
            text += &head("second");
            for (second, ends) in &tier.seconds {
                let _ = write!(text, "| {} |{}", second - self.from, ends.row(&reasons));
            }
            text.push('\n');
        }
        text
    }
}

impl Tier {
    /// The proxies in quarters, from least to most traffic.
    fn quarters(&self) -> [Ends; 4] {
        let mut by_load: Vec<&Ends> = self.proxies.values().collect();
        by_load.sort_by_key(|ends| ends.calls);
        let mut quarters: [Ends; 4] = std::array::from_fn(|_| Ends::default());
        for (place, ends) in by_load.iter().enumerate() {
            quarters[place * 4 / by_load.len()].add(ends);
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
    fn calls_are_counted_by_load_reason_tier_and_second() {
        let mut fleet = AccessLogReport { from: u64::MAX, ..AccessLogReport::default() };
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
    fn a_folder_without_records_says_what_to_set() {
        let folder = std::env::temp_dir().join(format!("hillstall-calls-{}", std::process::id()));
        std::fs::create_dir_all(&folder).expect("a folder");
        std::fs::write(folder.join("n0.log"), b"not sent: \xff\n").expect("a file");
        let why = AccessLogReport::read(&folder).expect_err("nothing to count").to_string();
        std::fs::remove_dir_all(&folder).expect("it goes");
        assert!(why.contains("log.calls"), "{why}");
        assert!(matches!(AccessLogReport::read(&folder), Err(ReadLogError::File { .. })));
    }
}
