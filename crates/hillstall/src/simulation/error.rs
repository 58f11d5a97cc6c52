//! Why an experiment can't be run.

use crate::fault_injection::FaultInjectionError;
use crate::output::FileError;
use hillstall_simulation::report::PlotError;
use std::error::Error;
use std::fmt::Display;

/// Why a command of `hillstall lab` failed.
#[derive(Debug, thiserror::Error)]
pub enum SimulationError {
    /// No scenario of this name comes with the program.
    #[error("{0}: no such scenario")]
    UnknownScenario(String),
    /// A scenario is neither a file nor one that comes with the program.
    #[error("{name}: {source}; with the program come {available}")]
    ScenarioNotFound {
        /// What was asked for.
        name: String,
        /// Why it can't be read as a file.
        source: std::io::Error,
        /// The scenarios that come with the program.
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
    /// A line of kept results is invalid.
    #[error("{path}: line {line}: {source}")]
    InvalidResult {
        /// The file.
        path: String,
        /// The line, from 1.
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
    /// Makes an error name the scenario or file that is invalid.
    pub fn invalid<E: Error + 'static>(subject: impl Display) -> impl FnOnce(E) -> SimulationError {
        let subject = subject.to_string();
        move |error| SimulationError::Invalid { subject, source: Box::new(error) }
    }
}
