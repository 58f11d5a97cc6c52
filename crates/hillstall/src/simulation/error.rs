//! The error of `hillstall lab`.

use crate::fault_injection::FaultInjectionError;
use crate::output::FileError;
use hillstall_simulation::report::PlotError;
use std::error::Error;
use std::fmt::Display;

/// Why a command of `hillstall lab` failed.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// No embedded scenario has this name.
    #[error("{0}: no embedded scenario has this name")]
    UnknownScenario(String),
    /// A scenario is neither embedded nor a file that can be read.
    #[error("{name}: {source}; the embedded scenarios are {available}")]
    ScenarioNotFound {
        /// The name or path that was given.
        name: String,
        /// Why it can't be read as a file.
        source: std::io::Error,
        /// The names of the embedded scenarios, separated by commas.
        available: String,
    },
    /// A scenario, recorded day or grid is invalid.
    #[error("{subject}: {source}")]
    Invalid {
        /// The scenario or file.
        subject: String,
        /// The cause.
        source: Box<dyn Error>,
    },
    /// A line of a results file is invalid.
    #[error("{path}: line {line}: {source}")]
    InvalidResult {
        /// The path of the file.
        path: String,
        /// The line number, from 1.
        line: usize,
        /// The cause.
        source: serde_json::Error,
    },
    /// The logs of a fleet can't be read.
    #[error(transparent)]
    AccessLogs(#[from] hillstall_simulation::access_log_report::ReadLogError),
    /// A page can't be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// A file can't be read or written.
    #[error(transparent)]
    File(#[from] FileError),
    /// A scenario on real processes failed.
    #[error(transparent)]
    FaultInjection(#[from] FaultInjectionError),
}

impl SimulationError {
    /// Returns a function for `map_err` that adds the name of the invalid scenario or file to an error.
    pub fn invalid<E: Error + 'static>(subject: impl Display) -> impl FnOnce(E) -> SimulationError {
        let subject = subject.to_string();
        move |error| SimulationError::Invalid { subject, source: Box::new(error) }
    }
}
