//! Reads the sources of the operator's settings in the order of their precedence.

use super::keys::{SettingKey, KEYS};
use super::{file, keys, AssignedValue, ConfigProblem, InvalidValue, OperatorConfig, ValueOrigin};
use std::collections::BTreeMap;
use std::path::PathBuf;

/// The least likeness, from 0 to 1, of a known key that is suggested for an unknown one.
const MIN_SUGGESTION_LIKENESS: f64 = 0.75;
/// What a likeness to a key's last part counts for, compared with one to the whole key.
const LAST_PART_FACTOR: f64 = 0.95;

/// Where the operator's settings come from, beside the environment.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The operator file.
    pub file: Option<PathBuf>,
    /// `KEY=VALUE`, as given on the command line.
    pub flags: Vec<String>,
}

/// Reads all sources; the error has every problem.
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
    // Relations between keys are checked only once each value is valid by itself.
    if problems.is_empty() {
        problems.extend(check_relations(&operator));
    }
    match problems.is_empty() {
        true => Ok(operator),
        false => Err(problems),
    }
}

/// The values that were assigned up to now, and the problems of those that could not be.
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

    /// Assigns the values of flags; returns a problem for each that is not `KEY=VALUE`.
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

/// The known key most like a name, if one is like it at all.
fn nearest_key(name: &str) -> Option<&'static str> {
    let likeness = |key: &SettingKey| {
        let last_part = key.name.rsplit('.').next().unwrap_or(key.name);
        let of_last_part = strsim::jaro_winkler(last_part, name) * LAST_PART_FACTOR;
        strsim::jaro_winkler(key.name, name).max(of_last_part)
    };
    KEYS.iter()
        .map(|key| (likeness(key), key.name))
        .max_by(|a, b| a.0.total_cmp(&b.0))
        .filter(|(likeness, _)| *likeness >= MIN_SUGGESTION_LIKENESS)
        .map(|(_, name)| name)
}

/// Checks what no key's value shows alone.
fn check_relations(operator: &OperatorConfig) -> Option<ConfigProblem> {
    let (bounded, bound) = ("messages.held", "messages.longest");
    if operator.size(bounded) <= operator.size(bound) {
        return None;
    }
    Some(ConfigProblem::InvalidValue {
        origin: operator.values[bounded].origin.clone(),
        key: bounded.to_string(),
        source: InvalidValue::AboveOtherKey(bound),
    })
}
