//! What the operator sets: a flag goes before the environment, that before the file, that before the default.

pub mod file;
pub mod keys;
pub mod value;

use keys::{Key, KEYS};
use std::collections::BTreeMap;
use std::fmt;
use std::path::{Path, PathBuf};
use std::time::Duration;
use value::Value;

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Origin {
    /// Nobody set it.
    Default,
    /// A file, and the line.
    File(PathBuf, usize),
    /// An environment variable.
    Environment(String),
    /// `--set`.
    Flag,
}

impl fmt::Display for Origin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Origin::Default => f.write_str("default"),
            Origin::File(path, line) => write!(f, "{}:{line}", path.display()),
            Origin::Environment(variable) => write!(f, "${variable}"),
            Origin::Flag => f.write_str("--set"),
        }
    }
}

/// One thing that is wrong with what was set.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Wrong {
    /// The file can't be read.
    #[error("{0}: {1}")]
    Unreadable(String, String),
    /// The text is no TOML.
    #[error("{origin}: {why}")]
    Syntax {
        /// Where.
        origin: Origin,
        /// What the reader says.
        why: String,
    },
    /// There is no such key.
    #[error("{origin}: {key}: there is no such key{}", .nearest.map(|n| format!("; did you mean {n}?")).unwrap_or_default())]
    Unknown {
        /// Where.
        origin: Origin,
        /// What stands there.
        key: String,
        /// The known key that is most like it.
        nearest: Option<&'static str>,
    },
    /// The value can't be used.
    #[error("{origin}: {key}: {why}")]
    Value {
        /// Where.
        origin: Origin,
        /// The key.
        key: String,
        /// Why not.
        why: String,
    },
}

/// What is in force.
#[derive(Clone, Debug)]
pub struct Operator {
    /// The section of the fleet, where the file has one.
    pub fleet: Option<hillstall_coordination::settings::Settings>,
    values: BTreeMap<&'static str, (Value, Origin)>,
}

/// Where the operator speaks.
#[derive(Clone, Debug, Default)]
pub struct Sources {
    /// The operator file.
    pub file: Option<PathBuf>,
    /// `KEY=VALUE`, as given on the command line.
    pub flags: Vec<String>,
}

fn find(name: &str) -> Option<&'static Key> {
    KEYS.iter().find(|key| key.name == name)
}

/// The known key most like a name, if one is like it at all.
pub fn nearest(name: &str) -> Option<&'static str> {
    let likeness = |key: &Key| {
        let last = key.name.rsplit('.').next().unwrap_or(key.name);
        strsim::jaro_winkler(key.name, name).max(strsim::jaro_winkler(last, name) * 0.95)
    };
    let best = KEYS.iter().map(|key| (likeness(key), key.name)).max_by(|a, b| a.0.total_cmp(&b.0));
    best.filter(|(like, _)| *like >= 0.75).map(|(_, name)| name)
}

impl Operator {
    /// Reads all sources. Gives everything that is wrong, not the first alone.
    pub fn read(sources: &Sources, env: impl Fn(&str) -> Option<String>) -> Result<Operator, Vec<Wrong>> {
        let mut wrong = Vec::new();
        let mut values = BTreeMap::new();
        for key in KEYS {
            match key.kind.read(key.default) {
                Ok(value) => values.insert(key.name, (value, Origin::Default)),
                Err(why) => unreachable!("the default of {}: {why}", key.name),
            };
        }
        let mut set = |name: &str, text: &str, origin: Origin| match find(name) {
            None => wrong.push(Wrong::Unknown { origin, key: name.to_string(), nearest: nearest(name) }),
            Some(key) => match key.kind.read(text) {
                Ok(value) => {
                    values.insert(key.name, (value, origin));
                }
                Err(why) => wrong.push(Wrong::Value { origin, key: name.to_string(), why }),
            },
        };
        let (mut fleet, mut unreadable) = (None, Vec::new());
        if let Some(path) = &sources.file {
            (fleet, unreadable) = file::entries(path, &mut set);
        }
        for key in KEYS {
            let variable = key.variable();
            if let Some(text) = env(&variable) {
                set(key.name, &text, Origin::Environment(variable));
            }
        }
        for flag in &sources.flags {
            match flag.split_once('=') {
                Some((name, text)) => set(name.trim(), text, Origin::Flag),
                None => unreadable.push(Wrong::Value {
                    origin: Origin::Flag,
                    key: flag.clone(),
                    why: "it is not KEY=VALUE".to_string(),
                }),
            }
        }
        unreadable.append(&mut wrong);
        let operator = Operator { fleet, values };
        if unreadable.is_empty() {
            if let Some((name, why)) = keys::between(&operator) {
                let origin = operator.values[name].1.clone();
                unreadable.push(Wrong::Value { origin, key: name.to_string(), why });
            }
        }
        if unreadable.is_empty() {
            Ok(operator)
        } else {
            Err(unreadable)
        }
    }

    /// All values with their origins, in the order of the table.
    pub fn shown(&self) -> impl Iterator<Item = (&'static Key, Value, &Origin)> {
        KEYS.iter().filter_map(|key| self.values.get(key.name).map(|(value, from)| (key, *value, from)))
    }

    /// The keys whose values differ in another, and that a running process can't change.
    pub fn fixed_changes(&self, other: &Operator) -> Vec<&'static str> {
        let changed = |key: &&Key| self.values[key.name].0 != other.values[key.name].0;
        let mut fixed: Vec<_> =
            KEYS.iter().filter(|key| !key.reloads).filter(changed).map(|key| key.name).collect();
        // A calendar and its zones have no equality of their own; what they print tells them apart.
        if format!("{:?}", self.fleet) != format!("{:?}", other.fleet) {
            fixed.push("fleet");
        }
        fixed
    }

    fn value(&self, name: &str) -> Value {
        self.values[name].0
    }

    /// A time.
    pub fn time(&self, name: &str) -> Duration {
        let Value::Time(time) = self.value(name) else { unreachable!("{name} is a time") };
        time
    }

    /// A size in bytes.
    pub fn size(&self, name: &str) -> usize {
        let Value::Size(size) = self.value(name) else { unreachable!("{name} is a size") };
        size
    }

    /// A whole number.
    pub fn count(&self, name: &str) -> u64 {
        let Value::Count(count) = self.value(name) else { unreachable!("{name} is a count") };
        count
    }

    /// A word.
    pub fn word(&self, name: &str) -> &'static str {
        let Value::Word(word) = self.value(name) else { unreachable!("{name} is a word") };
        word
    }

    /// A switch.
    pub fn switch(&self, name: &str) -> bool {
        let Value::Switch(on) = self.value(name) else { unreachable!("{name} is a switch") };
        on
    }
}

/// The line of a place in a text, from 1.
pub fn line_of(text: &str, at: usize) -> usize {
    text.as_bytes()[..at.min(text.len())].iter().filter(|b| **b == b'\n').count() + 1
}

/// Where a file's line is.
pub fn at(path: &Path, line: usize) -> Origin {
    Origin::File(path.to_path_buf(), line)
}

#[cfg(test)]
mod tests;
