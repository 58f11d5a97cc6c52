//! Output: results to standard output or files, messages to standard error.

use serde::Serialize;
use std::fmt::Display;
use std::fs::File;
use std::io::Write;
use std::path::{Path, PathBuf};

/// A file could not be read or written.
#[derive(Debug, thiserror::Error)]
#[error("{}: {source}", .path.display())]
pub struct FileError {
    /// The path of the file.
    pub path: PathBuf,
    /// The cause.
    pub source: std::io::Error,
}

impl FileError {
    /// Returns a function for `map_err` that adds the file's path to an I/O error.
    pub fn at(path: &Path) -> impl FnOnce(std::io::Error) -> FileError + '_ {
        move |source| FileError { path: path.to_path_buf(), source }
    }
}

/// Writes to standard output. Unlike `print!`, it does not panic if the reader has closed the pipe, as `head`
/// does.
pub fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Writes a message to standard error. Unlike `eprintln!`, it does not panic if standard error is closed.
pub fn print_message(message: impl Display) {
    let _ = writeln!(std::io::stderr(), "hillstall: {message}");
}

/// Writes a file, replacing an existing one.
pub fn write_file(path: &Path, content: &str) -> Result<(), FileError> {
    std::fs::write(path, content).map_err(FileError::at(path))
}

/// Writes each record as one line of JSON, replacing an existing file.
pub fn write_json_lines<'a, T: Serialize + 'a>(
    path: &Path,
    records: impl IntoIterator<Item = &'a T>,
) -> Result<(), FileError> {
    let mut file = File::create(path).map_err(FileError::at(path))?;
    for record in records {
        let line = serde_json::to_string(record).map_err(|error| FileError::at(path)(error.into()))?;
        writeln!(file, "{line}").map_err(FileError::at(path))?;
    }
    Ok(())
}
