//! Problems of the operator's settings, each with the source that it was found in.

use super::value::ValueError;
use std::fmt;
use std::path::PathBuf;

/// The source of a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ValueOrigin {
    /// The default of the key: no source sets a value.
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
        /// The path of the file.
        path: PathBuf,
        /// The cause.
        source: ReadError,
    },
    /// The text of the file is not TOML.
    #[error("{origin}: {message}")]
    Syntax {
        /// The file and line of the error.
        origin: ValueOrigin,
        /// The message of the TOML parser.
        message: String,
    },
    /// The table of keys does not have this key.
    #[error("{origin}: {key}: there is no such key{}", .nearest.map(|n| format!("; did you mean {n}?")).unwrap_or_default())]
    UnknownKey {
        /// The source of the key.
        origin: ValueOrigin,
        /// The unknown key.
        key: String,
        /// The most similar known key, if one is similar enough to suggest.
        nearest: Option<&'static str>,
    },
    /// The value of a key is invalid.
    #[error("{origin}: {key}: {source}")]
    InvalidValue {
        /// The source of the key.
        origin: ValueOrigin,
        /// The name of the key.
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
    #[error("the file is larger than 1 MiB, the limit for operator files")]
    TooLarge,
}

/// Why the value of a key is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidValue {
    /// The text is not a value of the key's kind, or lies outside its bounds.
    #[error(transparent)]
    Parse(#[from] ValueError),
    /// A string where the key takes a number or a boolean.
    #[error("{0:?} must be written without quotes")]
    Quoted(String),
    /// A TOML type that no key takes.
    #[error("a value of type {0} is not allowed here")]
    UnsupportedType(&'static str),
    /// A flag without `=`.
    #[error("expected KEY=VALUE")]
    NotAnAssignment,
    /// The value is larger than the value of another key, which is its upper bound.
    #[error("must not be larger than {0}")]
    AboveOtherKey(&'static str),
    /// The reason for which the section `[fleet]` is invalid.
    #[error("{0}")]
    Coordination(String),
}
