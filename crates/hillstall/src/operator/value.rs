//! Values with units, and their bounds.

use bytesize::ByteSize;
use std::fmt;
use std::time::Duration;

/// What a value may be.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// A time with its unit: "250ms", "5s", "2m".
    Time {
        /// The least.
        least: Duration,
        /// The most.
        most: Duration,
    },
    /// A size with its unit: "64KiB", "32MiB".
    Size {
        /// The least, in bytes.
        least: usize,
        /// The most, in bytes.
        most: usize,
    },
    /// A whole number.
    Count {
        /// The least.
        least: u64,
        /// The most.
        most: u64,
    },
    /// One of these words.
    Word(&'static [&'static str]),
    /// true or false.
    Switch,
}

/// A value that was read and lies within its bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Value {
    /// A time.
    Time(Duration),
    /// A size in bytes.
    Size(usize),
    /// A whole number.
    Count(u64),
    /// A word.
    Word(&'static str),
    /// A switch.
    Switch(bool),
}

impl Kind {
    /// Reads a value. The error says what it must be.
    pub fn read(self, text: &str) -> Result<Value, String> {
        let text = text.trim();
        match self {
            Kind::Time { least, most } => {
                let time = humantime::parse_duration(text)
                    .map_err(|_| format!("{text:?} is not a time with its unit, like \"250ms\" or \"5s\""))?;
                let show = humantime::format_duration;
                within(time, least, most, |time| show(time).to_string()).map(Value::Time)
            }
            Kind::Size { least, most } => {
                let size = text.parse::<ByteSize>().ok().filter(|_| text.ends_with(['B', 'b']));
                let size = size.and_then(|size| usize::try_from(size.as_u64()).ok());
                let size =
                    size.ok_or(format!("{text:?} is not a size with its unit, like \"64KiB\" or \"32MiB\""))?;
                within(size, least, most, sized).map(Value::Size)
            }
            Kind::Count { least, most } => {
                let count = text.parse().map_err(|_| format!("{text:?} is not a whole number"))?;
                within(count, least, most, |count| count.to_string()).map(Value::Count)
            }
            Kind::Word(words) => words
                .iter()
                .find(|word| **word == text)
                .map(|word| Value::Word(word))
                .ok_or_else(|| format!("{text:?} is none of {}", words.join(", "))),
            Kind::Switch => {
                text.parse().map(Value::Switch).map_err(|_| format!("{text:?} is not true or false"))
            }
        }
    }

    /// Whether a file must put it into quotes.
    pub fn is_quoted(self) -> bool {
        matches!(self, Kind::Time { .. } | Kind::Size { .. } | Kind::Word(_))
    }
}

fn within<T: PartialOrd + Copy>(
    value: T,
    least: T,
    most: T,
    show: impl Fn(T) -> String,
) -> Result<T, String> {
    match value < least || value > most {
        true => Err(format!("{} is out of bounds: from {} to {}", show(value), show(least), show(most))),
        false => Ok(value),
    }
}

fn sized(bytes: usize) -> String {
    ["GiB", "MiB", "KiB"]
        .iter()
        .zip([30, 20, 10])
        .find(|(_, shift)| bytes > 0 && bytes.is_multiple_of(1 << shift))
        .map_or_else(|| format!("{bytes}B"), |(unit, shift)| format!("{}{unit}", bytes >> shift))
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Time(time) => write!(f, "{}", humantime::format_duration(*time)),
            Value::Size(bytes) => f.write_str(&sized(*bytes)),
            Value::Count(count) => write!(f, "{count}"),
            Value::Word(word) => f.write_str(word),
            Value::Switch(on) => write!(f, "{on}"),
        }
    }
}
