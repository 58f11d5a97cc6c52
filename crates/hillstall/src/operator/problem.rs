//! Problems of the operator's settings, each with the place where it was found.

use super::value::ValueError;
use std::fmt;
use std::path::PathBuf;

/// Where a value came from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// No source sets it.
    Default,
    /// A file, and the line in it, from 1.
    File(PathBuf, usize),
    /// The environment variable of this name.
    Environment(String),
    /// `--set` on the command line.
    Flag,
}

impl fmt::Display for ValueOrigin {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            ValueOrigin::Default => f.write_str("default"),
            ValueOrigin::File(path, line) => write!(f, "{}:{line}", path.display()),
            ValueOrigin::Environment(variable) => write!(f, "${variable}"),
            ValueOrigin::Flag => f.write_str("--set"),
        }
    }
}

/// One problem of the operator's settings.
#[derive(Debug, thiserror::Error)]
pub enum ConfigProblem {
    /// The file can't be read.
    #[error("{}: {source}", .path.display())]
    Unreadable {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: ReadError,
    },
    /// The text is not TOML.
    #[error("{origin}: {message}")]
    Syntax {
        /// The place.
        origin: ValueOrigin,
        /// The message of the TOML parser.
        message: String,
    },
    /// There is no such key.
    #[error("{origin}: {key}: there is no such key{}", .nearest.map(|n| format!("; did you mean {n}?")).unwrap_or_default())]
    UnknownKey {
        /// The place.
        origin: ValueOrigin,
        /// The unknown key.
        key: String,
        /// The known key that is most like it, if one is.
        nearest: Option<&'static str>,
    },
    /// The value of a key is invalid.
    #[error("{origin}: {key}: {source}")]
    InvalidValue {
        /// The place.
        origin: ValueOrigin,
        /// The key.
        key: String,
        /// The cause.
        source: InvalidValue,
    },
}

/// Why a file can't be read.
#[derive(Debug, thiserror::Error)]
pub enum ReadError {
    /// Reading failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
    /// The file is too large to be an operator file.
    #[error("it is larger than 1 MiB")]
    TooLarge,
}

/// Why the value of a key is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidValue {
    /// The text is not a value of the key's kind, or lies outside its bounds.
    #[error(transparent)]
    Parse(#[from] ValueError),
    /// A string where the key takes a number or a boolean.
    #[error("{0:?} must stand without quotes")]
    Quoted(String),
    /// A TOML type that no key takes.
    #[error("a value of this kind ({0}) has no meaning here")]
    UnsupportedType(&'static str),
    /// A flag without `=`.
    #[error("it is not KEY=VALUE")]
    NotAnAssignment,
    /// The value is larger than that of another key, which bounds it.
    #[error("it must not be above {0}")]
    AboveOtherKey(&'static str),
    /// The section `[fleet]` rejects it.
    #[error("{0}")]
    Coordination(String),
}
