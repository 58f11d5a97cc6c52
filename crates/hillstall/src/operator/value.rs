//! Kinds of setting values: parsing with units, bounds, and formatting.

use bytesize::ByteSize;
use std::fmt;
use std::time::Duration;

/// The units in which sizes are printed, with the binary logarithm of their size in bytes.
const SIZE_UNITS: [(&str, u32); 3] = [("GiB", 30), ("MiB", 20), ("KiB", 10)];

/// The kind of a key's value, with its bounds, which are inclusive.
#[derive(Clone, Copy, Debug)]
pub enum ValueKind {
    /// A duration with a unit, such as "250ms", "5s" or "2m".
    Duration {
        /// The smallest allowed value.
        min: Duration,
        /// The largest allowed value.
        max: Duration,
    },
    /// A size with a unit, such as "64KiB" or "32MiB".
    Size {
        /// The smallest allowed value, in bytes.
        min: usize,
        /// The largest allowed value, in bytes.
        max: usize,
    },
    /// A whole number.
    Integer {
        /// The smallest allowed value.
        min: u64,
        /// The largest allowed value.
        max: u64,
    },
    /// One of these words.
    Choice(&'static [&'static str]),
    /// `true` or `false`.
    Boolean,
}

/// A valid value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SettingValue {
    /// A duration.
    Duration(Duration),
    /// A size in bytes.
    Size(usize),
    /// A whole number.
    Integer(u64),
    /// One of the words that the key allows.
    Choice(&'static str),
    /// A boolean.
    Boolean(bool),
}

/// Why a text is not a valid value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum ValueError {
    /// The text is not a duration with a unit.
    #[error("{0:?} is not a time with its unit, like \"250ms\" or \"5s\"")]
    NotADuration(String),
    /// The text is not a size with a unit.
    #[error("{0:?} is not a size with its unit, like \"64KiB\" or \"32MiB\"")]
    NotASize(String),
    /// The text is not a whole number.
    #[error("{0:?} is not a whole number")]
    NotAnInteger(String),
    /// The text is none of the words that the key allows.
    #[error("{text:?} is none of {}", .choices.join(", "))]
    NotAChoice {
        /// The text that was given.
        text: String,
        /// The words that are allowed.
        choices: &'static [&'static str],
    },
    /// The text is not a boolean.
    #[error("{0:?} is not true or false")]
    NotABoolean(String),
    /// The value is outside the bounds of its key.
    #[error("{value} is out of bounds: from {min} to {max}")]
    OutOfBounds {
        /// The value that is out of bounds.
        value: SettingValue,
        /// The smallest allowed value.
        min: SettingValue,
        /// The largest allowed value.
        max: SettingValue,
    },
}

impl ValueKind {
    /// Parses a value and checks its bounds. Leading and trailing white space is ignored.
    pub fn parse(self, text: &str) -> Result<SettingValue, ValueError> {
        let text = text.trim();
        let owned = || text.to_string();
        match self {
            ValueKind::Duration { min, max } => {
                let duration =
                    humantime::parse_duration(text).map_err(|_| ValueError::NotADuration(owned()))?;
                check_bounds(duration, min, max, SettingValue::Duration)
            }
            ValueKind::Size { min, max } => {
                let bytes = parse_size(text).ok_or_else(|| ValueError::NotASize(owned()))?;
                check_bounds(bytes, min, max, SettingValue::Size)
            }
            ValueKind::Integer { min, max } => {
                let number = text.parse().map_err(|_| ValueError::NotAnInteger(owned()))?;
                check_bounds(number, min, max, SettingValue::Integer)
            }
            ValueKind::Choice(choices) => match choices.iter().find(|choice| **choice == text) {
                Some(choice) => Ok(SettingValue::Choice(choice)),
                None => Err(ValueError::NotAChoice { text: owned(), choices }),
            },
            ValueKind::Boolean => {
                text.parse().map(SettingValue::Boolean).map_err(|_| ValueError::NotABoolean(owned()))
            }
        }
    }

    /// Whether the value is a string in TOML and so needs quotes.
    pub fn is_quoted(self) -> bool {
        matches!(self, ValueKind::Duration { .. } | ValueKind::Size { .. } | ValueKind::Choice(_))
    }
}

/// Parses a size with a unit; a number without a unit is not a size.
fn parse_size(text: &str) -> Option<usize> {
    if !text.ends_with(['B', 'b']) {
        return None;
    }
    let size: ByteSize = text.parse().ok()?;
    usize::try_from(size.as_u64()).ok()
}

fn check_bounds<T: PartialOrd + Copy>(
    value: T,
    min: T,
    max: T,
    wrap: impl Fn(T) -> SettingValue,
) -> Result<SettingValue, ValueError> {
    match value < min || value > max {
        true => Err(ValueError::OutOfBounds { value: wrap(value), min: wrap(min), max: wrap(max) }),
        false => Ok(wrap(value)),
    }
}

/// Formats a size in the largest unit of which it is a whole multiple.
fn format_size(bytes: usize) -> String {
    SIZE_UNITS
        .iter()
        .find(|(_, shift)| bytes > 0 && bytes.is_multiple_of(1 << shift))
        .map_or_else(|| format!("{bytes}B"), |(unit, shift)| format!("{}{unit}", bytes >> shift))
}

impl fmt::Display for SettingValue {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            SettingValue::Duration(duration) => write!(f, "{}", humantime::format_duration(*duration)),
            SettingValue::Size(bytes) => f.write_str(&format_size(*bytes)),
            SettingValue::Integer(number) => write!(f, "{number}"),
            SettingValue::Choice(choice) => f.write_str(choice),
            SettingValue::Boolean(on) => write!(f, "{on}"),
        }
    }
}
