//! `hillstall check` of the platform's file: finds all problems, each with its line and key. A proxy that
//! starts reports only the first problem.

mod json_path;

use crate::config;
use crate::operator::line_of;
use hillstall_proxy_core::endpoints::EndpointList;
use hillstall_simulation::site;
use json_path::{JsonPath, JsonStep};
use serde_json::Value;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::Path;

/// Top-level keys whose values are addresses.
const ADDRESS_KEYS: [&str; 3] = ["listen", "admin_addr", "discovery"];
/// Keys under `limits` whose values are whole numbers.
const LIMIT_KEYS: [&str; 2] = ["sockets", "memory_mb"];
/// Resource limits (file descriptors, and memory in MiB) of the valid configuration into which single
/// settings are put to check them.
const VALID_LIMITS: site::ProcessLimits = site::ProcessLimits { sockets: 64, memory_mb: 64 };

/// A problem, and the path of the value that has it.
struct Problem {
    path: JsonPath,
    reason: String,
}

/// Finds all problems of a file, in the form `FILE:LINE: KEY: reason`, sorted by line.
pub fn find_problems(file: &Path) -> Vec<String> {
    let file_name = file.display();
    let text = match std::fs::read_to_string(file) {
        Ok(text) => text,
        Err(e) => return vec![format!("{file_name}: {e}")],
    };
    let value: Value = match serde_json::from_str(&text) {
        Ok(value) => value,
        Err(e) => return vec![format!("{file_name}:{}: {e}", e.line())],
    };
    let mut reports: Vec<(usize, String)> = value_problems(&value)
        .into_iter()
        .map(|Problem { path, reason }| {
            let line = line_of(&text, path.position_in(&text));
            (line, format!("{file_name}:{line}: {path}: {reason}"))
        })
        .collect();
    reports.sort();
    let mut reports: Vec<String> = reports.into_iter().map(|(_, report)| report).collect();
    if let Some(reason) = remaining_problem(&text, &reports) {
        reports.push(format!("{file_name}: {reason}"));
    }
    reports
}

/// The problems of single values, independent of other values.
fn value_problems(value: &Value) -> Vec<Problem> {
    let mut problems = address_problems(value);
    problems.extend(seed_problem(value));
    problems.extend(limit_problems(value));
    problems.extend(endpoint_problems(value));
    problems.extend(settings_problems(value));
    problems
}

/// The problem that a proxy would report at its start, unless its key is in `reports` already.
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
        let Some(address) = value.get(key) else { continue };
        let is_address = address.as_str().is_some_and(|text| config::parse_address(text).is_ok());
        if !is_address {
            let reason = format!("{address} is not an IP address with a port");
            problems.push(Problem { path: JsonPath::new([JsonStep::key(key)]), reason });
        }
    }
    problems
}

fn seed_problem(value: &Value) -> Option<Problem> {
    let seed = value.get("seed")?;
    if seed.as_str().is_some_and(|text| config::parse_seed(text).is_ok()) {
        return None;
    }
    let reason = format!("{seed} is not a 64-bit hexadecimal number");
    Some(Problem { path: JsonPath::new([JsonStep::key("seed")]), reason })
}

fn limit_problems(value: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    for key in LIMIT_KEYS {
        let Some(limit) = value.get("limits").and_then(|limits| limits.get(key)) else { continue };
        if limit.as_u64().is_none() && !limit.is_null() {
            let path = JsonPath::new([JsonStep::key("limits"), JsonStep::key(key)]);
            problems.push(Problem { path, reason: format!("{limit} is not a whole number") });
        }
    }
    problems
}

/// The problems of the known endpoints. Each endpoint is parsed as the only one of a list.
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

/// The problems of the settings. Each value is parsed as the only change to settings that are valid.
fn settings_problems(value: &Value) -> Vec<Problem> {
    let Some(settings) = value.get("settings") else { return Vec::new() };
    let valid = valid_settings();
    let leaves = json_path::leaves(settings);
    leaves.into_iter().filter_map(|(path, leaf)| setting_problem(&valid, path, leaf)).collect()
}

fn setting_problem(valid: &Value, path: JsonPath, leaf: &Value) -> Option<Problem> {
    let mut settings = valid.clone();
    let path_in_valid = path.with_first_indices();
    path_in_valid.replace_in(&mut settings, leaf.clone());
    let error = hillstall_settings::parse_settings(settings.to_string().as_bytes()).err()?.to_string();
    // Errors at other paths are about the combination with the valid settings, not about this value.
    let reason = error.strip_prefix(&format!("settings: {path_in_valid}: "))?;
    // Line and column refer to the text that was generated for this check, so they are cut off.
    let reason = reason.split(" at line ").next().unwrap_or(reason);
    Some(Problem { path: path.inside("settings"), reason: reason.to_string() })
}

fn valid_settings() -> Value {
    let placeholder = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    site::config(placeholder, placeholder, &[], VALID_LIMITS)["settings"].clone()
}
