//! Reads the sources of the operator's settings in ascending order of precedence.

use super::keys::{SettingKey, KEYS};
use super::{file, keys, AssignedValue, ConfigProblem, InvalidValue, OperatorConfig, ValueOrigin};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The least similarity (Jaro-Winkler, 0 to 1) to an unknown key at which a known key is suggested.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.75;
/// Weight of the similarity to a key's last part, compared with 1 for the similarity to the whole key.
const LAST_PART_FACTOR: f64 = 0.95;

/// The sources of the operator's settings other than the environment.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The path of the operator file, if there is one.
    pub file: Option<PathBuf>,
    /// The values of `--set`, each `KEY=VALUE`.
    pub flags: Vec<String>,
}

/// Reads all sources and merges them; the error has every problem.
pub(super) fn read(
    sources: &Sources,
    env: impl Fn(&str) -> Option<String>,
) -> Result<OperatorConfig, Vec<ConfigProblem>> {
    let mut reader = SettingsReader::with_defaults();
    let (mut coordination, mut problems) = (None, Vec::new());
    if let Some(path) = &sources.file {
        let file = file::read(path);
        (coordination, problems) = (file.coordination, file.problems);
        for entry in file.entries {
            reader.assign(&entry.key, &entry.text, entry.origin);
        }
    }
    reader.assign_environment(env);
    problems.extend(reader.assign_flags(&sources.flags));
    problems.append(&mut reader.problems);
    let operator = OperatorConfig { coordination, values: reader.values };
    // Relations between keys are meaningful only if each value is valid.
    if problems.is_empty() {
        problems.extend(check_relations(&operator));
    }
    match problems.is_empty() {
        true => Ok(operator),
        false => Err(problems),
    }
}

/// The values that have been assigned, and the problems of the assignments that failed.
struct SettingsReader {
    values: BTreeMap<&'static str, AssignedValue>,
    problems: Vec<ConfigProblem>,
}

impl SettingsReader {
    fn with_defaults() -> SettingsReader {
        let default = |key: &SettingKey| match key.kind.parse(key.default) {
            Ok(value) => (key.name, AssignedValue { value, origin: ValueOrigin::Default }),
            Err(error) => unreachable!("the default of {}: {error}", key.name),
        };
        SettingsReader { values: KEYS.iter().map(default).collect(), problems: Vec::new() }
    }

    /// Assigns a value to a key; a later assignment replaces an earlier one.
    fn assign(&mut self, name: &str, text: &str, origin: ValueOrigin) {
        let Some(key) = keys::find(name) else {
            let nearest = nearest_key(name);
            self.problems.push(ConfigProblem::UnknownKey { origin, key: name.to_string(), nearest });
            return;
        };
        match key.kind.parse(text) {
            Ok(value) => {
                self.values.insert(key.name, AssignedValue { value, origin });
            }
            Err(error) => {
                let (key, source) = (name.to_string(), error.into());
                self.problems.push(ConfigProblem::InvalidValue { origin, key, source });
            }
        }
    }

    fn assign_environment(&mut self, env: impl Fn(&str) -> Option<String>) {
        for key in KEYS {
            let variable = key.variable();
            if let Some(text) = env(&variable) {
                self.assign(key.name, &text, ValueOrigin::Environment(variable));
            }
        }
    }

    /// Assigns the values of flags; returns a problem for each flag that is not `KEY=VALUE`.
    fn assign_flags(&mut self, flags: &[String]) -> Vec<ConfigProblem> {
        let mut malformed = Vec::new();
        for flag in flags {
            match flag.split_once('=') {
                Some((name, text)) => self.assign(name.trim(), text, ValueOrigin::Flag),
                None => malformed.push(ConfigProblem::InvalidValue {
                    origin: ValueOrigin::Flag,
                    key: flag.clone(),
                    source: InvalidValue::NotAnAssignment,
                }),
            }
        }
        malformed
    }
}

/// The known key most similar to a name, if one is similar enough to suggest.
fn nearest_key(name: &str) -> Option<&'static str> {
    let similarity = |key: &SettingKey| {
        let last_part = key.name.rsplit('.').next().unwrap_or(key.name);
        let of_last_part = strsim::jaro_winkler(last_part, name) * LAST_PART_FACTOR;
        strsim::jaro_winkler(key.name, name).max(of_last_part)
    };
    KEYS.iter()
        .map(|key| (similarity(key), key.name))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .filter(|(similarity, _)| *similarity >= MIN_SUGGESTION_SIMILARITY)
        .map(|(_, name)| name)
}

/// Checks the relations between the values of keys.
fn check_relations(operator: &OperatorConfig) -> Option<ConfigProblem> {
    let (bounded, upper_bound) = ("messages.held", "messages.longest");
    if operator.size(bounded) <= operator.size(upper_bound) {
        return None;
    }
    Some(ConfigProblem::InvalidValue {
        origin: operator.values[bounded].origin.clone(),
        key: bounded.to_string(),
        source: InvalidValue::AboveOtherKey(upper_bound),
    })
}
