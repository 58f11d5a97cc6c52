//! Exit statuses of the program; `docs/operate/command-line.md` has the table.

use std::process::ExitCode;

/// The exit status of the process. clap itself exits with 2 on an invalid command line.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitStatus {
    /// The command succeeded.
    Success = 0,
    /// The command failed while it ran, for example because an address is in use.
    Failure = 1,
    /// A configuration is invalid or unreadable.
    InvalidConfig = 3,
}

impl From<ExitStatus> for ExitCode {
    fn from(status: ExitStatus) -> ExitCode {
        ExitCode::from(status as u8)
    }
}
