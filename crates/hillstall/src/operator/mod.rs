//! The operator's settings. Flags take precedence over the environment, the environment over the file, and
//! the file over the defaults.

mod file;
pub mod keys;
mod problem;
mod reader;
pub mod value;

pub use problem::{ConfigProblem, InvalidValue, ReadError, ValueOrigin};
pub use reader::Sources;

use hillstall_coordination::settings::Settings as CoordinationSection;
use keys::{SettingKey, KEYS};
use std::collections::BTreeMap;
use std::time::Duration;
use value::SettingValue;

/// The operator's settings in force.
#[derive(Clone, Debug)]
pub struct OperatorConfig {
    /// The section `[fleet]` of the file; coordination is off without it.
    pub coordination: Option<CoordinationSection>,
    /// The value of each key of [`KEYS`], by the key's name.
    values: BTreeMap<&'static str, AssignedValue>,
}

/// A value and its source.
#[derive(Clone, Debug)]
struct AssignedValue {
    value: SettingValue,
    origin: ValueOrigin,
}

impl OperatorConfig {
    /// Reads all sources and merges them. The error has every problem, not only the first.
    ///
    /// `env` returns the value of an environment variable, if it is set.
    pub fn read(
        sources: &Sources,
        env: impl Fn(&str) -> Option<String>,
    ) -> Result<OperatorConfig, Vec<ConfigProblem>> {
        reader::read(sources, env)
    }

    /// All keys with their values and the sources of the values, in the order of [`KEYS`].
    pub fn entries(&self) -> impl Iterator<Item = (&'static SettingKey, SettingValue, &ValueOrigin)> {
        KEYS.iter().filter_map(|key| {
            self.values.get(key.name).map(|assigned| (key, assigned.value, &assigned.origin))
        })
    }

    /// The keys whose values differ in `new` and take effect only after a restart.
    pub fn changes_needing_restart(&self, new: &OperatorConfig) -> Vec<&'static str> {
        let mut changed: Vec<&'static str> = KEYS
            .iter()
            .filter(|key| !key.reloads && self.value(key.name) != new.value(key.name))
            .map(|key| key.name)
            .collect();
        // Window schedules and time zones can't be compared for equality, so their debug output is compared.
        if format!("{:?}", self.coordination) != format!("{:?}", new.coordination) {
            changed.push("fleet");
        }
        changed
    }

    fn value(&self, name: &str) -> SettingValue {
        self.values[name].value
    }

    /// The value of a key of kind [`value::ValueKind::Duration`].
    pub fn duration(&self, name: &str) -> Duration {
        let SettingValue::Duration(duration) = self.value(name) else { unreachable!("{name} is a duration") };
        duration
    }

    /// The value, in bytes, of a key of kind [`value::ValueKind::Size`].
    pub fn size(&self, name: &str) -> usize {
        let SettingValue::Size(bytes) = self.value(name) else { unreachable!("{name} is a size") };
        bytes
    }

    /// The value of a key of kind [`value::ValueKind::Integer`].
    pub fn integer(&self, name: &str) -> u64 {
        let SettingValue::Integer(number) = self.value(name) else { unreachable!("{name} is an integer") };
        number
    }

    /// The value of a key of kind [`value::ValueKind::Choice`].
    pub fn choice(&self, name: &str) -> &'static str {
        let SettingValue::Choice(choice) = self.value(name) else { unreachable!("{name} is a choice") };
        choice
    }

    /// The value of a key of kind [`value::ValueKind::Boolean`].
    pub fn boolean(&self, name: &str) -> bool {
        let SettingValue::Boolean(on) = self.value(name) else { unreachable!("{name} is a boolean") };
        on
    }
}

/// The line number, from 1, of a byte position in a text.
pub fn line_of(text: &str, position: usize) -> usize {
    let before = &text.as_bytes()[..position.min(text.len())];
    before.iter().filter(|byte| **byte == b'\n').count() + 1
}
