//! `check` of the platform's file: all problems at once, each with its line and key. A proxy that starts stops at the
//! first problem; an operator wants to see them all.

mod json_path;

use crate::config;
use crate::operator::line_of;
use hillstall_proxy_core::endpoints::EndpointList;
use hillstall_simulation::site;
use json_path::{JsonPath, JsonStep};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// Keys of addresses.
const ADDRESS_KEYS: [&str; 3] = ["listen", "admin_addr", "discovery"];
/// Keys of limits.
const LIMIT_KEYS: [&str; 2] = ["sockets", "memory_mb"];
/// File descriptors and memory (MiB) of the valid configuration that values are tried in.
const VALID_RESOURCES: site::ProcessLimits = site::ProcessLimits { sockets: 64, memory_mb: 64 };

/// A problem at a place in the file.
struct Problem {
    path: JsonPath,
    reason: String,
}

/// All problems of a file: `FILE:LINE: KEY: reason`.
pub fn find_problems(file: &Path) -> Vec<String> {
    let shown = file.display();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return vec![format!("{shown}: {e}")],
    };
    let value: Value = match serde_json::from_str(&text) {
        Ok(value) => value,
        Err(e) => return vec![format!("{shown}:{}: {e}", e.line())],
    };
    let mut reports: Vec<(usize, String)> = value_problems(&value)
        .into_iter()
        .map(|Problem { path, reason }| {
            let line = line_of(&text, path.position_in(&text));
            (line, format!("{shown}:{line}: {path}: {reason}"))
        })
        .collect();
    reports.sort();
    let mut reports: Vec<String> = reports.into_iter().map(|(_, report)| report).collect();
    if let Some(reason) = remaining_problem(&text, &reports) {
        reports.push(format!("{shown}: {reason}"));
    }
    reports
}

/// The problems that values have by themselves.
fn value_problems(value: &Value) -> Vec<Problem> {
    let mut problems = address_problems(value);
    problems.extend(seed_problem(value));
    problems.extend(limit_problems(value));
    problems.extend(endpoint_problems(value));
    problems.extend(settings_problems(value));
    problems
}

/// The problem that a proxy would report at its start, unless it is one of those reported already.
fn remaining_problem(text: &str, reports: &[String]) -> Option<String> {
    let error = config::parse(text.as_bytes(), |_| None).err()?.to_string();
    let reason = error.strip_prefix("settings: ").unwrap_or(&error);
    let key = reason.split(": ").next().unwrap_or(reason);
    let is_reported = reports.iter().any(|report| report.contains(key));
    (!is_reported).then(|| reason.to_string())
}

fn address_problems(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    for key in ADDRESS_KEYS {
        let Some(given) = value.get(key) else { continue };
        let is_address = given.as_str().is_some_and(|text| config::parse_address(text).is_ok());
        if !is_address {
            let reason = format!("{given} is not an address");
            problems.push(Problem { path: JsonPath::new([JsonStep::key(key)]), reason });
        }
    }
    problems
}

fn seed_problem(value: &Value) -> Option<Problem> {
    let given = value.get("seed")?;
    if given.as_str().is_some_and(|text| config::parse_seed(text).is_ok()) {
        return None;
    }
    let reason = format!("{given} is not a number in hexadecimal");
    Some(Problem { path: JsonPath::new([JsonStep::key("seed")]), reason })
}

fn limit_problems(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    for key in LIMIT_KEYS {
        let Some(given) = value.get("limits").and_then(|limits| limits.get(key)) else { continue };
        if given.as_u64().is_none() && !given.is_null() {
            let path = JsonPath::new([JsonStep::key("limits"), JsonStep::key(key)]);
            problems.push(Problem { path, reason: format!("{given} is not a whole number") });
        }
    }
    problems
}

/// The problems of the known endpoints, each read by itself.
fn endpoint_problems(value: &Value) -> Vec<Problem> {
    let endpoints = value.get("known").and_then(|known| known.get("endpoints")).and_then(Value::as_array);
    let numbered = endpoints.into_iter().flatten().enumerate();
    numbered.filter_map(|(index, endpoint)| endpoint_problem(index, endpoint)).collect()
}

fn endpoint_problem(index: usize, endpoint: &Value) -> Option<Problem> {
    let list = serde_json::json!({"index": 0, "snapshot": true, "endpoints": [endpoint]});
    let error = serde_path_to_error::deserialize::<_, EndpointList>(list).err()?;
    let mut steps = vec![JsonStep::key("known"), JsonStep::key("endpoints"), JsonStep::Index(index)];
    let error_path = error.path().to_string();
    if let Some(field) = error_path.rsplit('.').next().filter(|field| endpoint.get(field).is_some()) {
        steps.push(JsonStep::key(field));
    }
    Some(Problem { path: JsonPath::new(steps), reason: error.inner().to_string() })
}

/// The problems of the settings: each value is put by itself into settings that are known to be valid.
fn settings_problems(value: &Value) -> Vec<Problem> {
    let Some(given) = value.get("settings") else { return Vec::new() };
    let valid = valid_settings();
    let leaves = json_path::leaves(given);
    leaves.into_iter().filter_map(|(path, leaf)| setting_problem(&valid, path, leaf)).collect()
}

fn setting_problem(valid: &Value, path: JsonPath, leaf: &Value) -> Option<Problem> {
    let mut settings = valid.clone();
    let path_in_valid = path.with_first_indices();
    path_in_valid.replace_in(&mut settings, leaf.clone());
    let error = hillstall_settings::parse_settings(settings.to_string().as_bytes()).err()?.to_string();
    // Other errors are about what goes with the value, not about the value.
    let reason = error.strip_prefix(&format!("settings: {path_in_valid}: "))?;
    // The line and column are those of the text that was made for this check.
    let reason = reason.split(" at line ").next().unwrap_or(reason);
    Some(Problem { path: path.inside("settings"), reason: reason.to_string() })
}

fn valid_settings() -> Value {
    let unused = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    site::config(unused, unused, &[], VALID_RESOURCES)["settings"].clone()
}
