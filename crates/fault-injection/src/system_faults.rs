//! Makes system calls of a process fail: a stepped wall clock, errors of sockets and files, short transfers and
//! interrupted waits. A small C library (`shims/system_faults.c`) is compiled and loaded into the process by
//! `LD_PRELOAD`; it reads which faults are on from a mapped file.

use std::fs::File;
use std::io::{Error, Result};
use std::os::unix::fs::FileExt;
use std::path::{Path, PathBuf};
use std::process::Command;
use tempfile::TempDir;

/// Source of the library.
const SOURCE: &str = include_str!("../shims/system_faults.c");
const LIBRARY_NAME: &str = "system_faults.so";
/// Name of the mapped file.
const FILE_NAME: &str = "faults";
/// Environment variable with the path of the mapped file.
const FILE_VARIABLE: &str = "HILLSTALL_SYSTEM_FAULTS";
/// Number of slots in the file; each is one 64-bit integer.
const SLOTS: usize = 10;
/// The slot that counts the injected faults.
const INJECTED_COUNT_SLOT: u64 = 9;
const SLOT_BYTES: u64 = 8;

/// Error numbers of Linux, the same on x86-64 and arm64.
pub mod error_number {
    #![allow(missing_docs, reason = "the names are those of errno(3)")]
    pub const EIO: i64 = 5;
    pub const ENFILE: i64 = 23;
    pub const ENOSPC: i64 = 28;
    pub const EADDRNOTAVAIL: i64 = 99;
    pub const ENETUNREACH: i64 = 101;
    pub const ECONNABORTED: i64 = 103;
    pub const ENOBUFS: i64 = 105;
    pub const ETIMEDOUT: i64 = 110;
    pub const EHOSTUNREACH: i64 = 113;
}

/// A kind of fault. Its value is 0 while it is off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SystemFault {
    /// The wall clock is ahead by this many nanoseconds; the monotonic clock is not changed.
    WallClockOffsetNs = 0,
    /// `accept` fails with this error.
    AcceptError = 1,
    /// `socket` fails with this error for IPv4 sockets.
    SocketError = 2,
    /// `connect` fails with this error for IPv4 addresses.
    ConnectError = 3,
    /// Reads from sockets fail with this error.
    ReadError = 4,
    /// Reads and writes of sockets transfer at most this many bytes.
    MaxTransferBytes = 5,
    /// Every second `epoll_wait` is interrupted, if not 0.
    InterruptWaits = 6,
    /// Writes to files fail with this error.
    FileWriteError = 7,
    /// Syncs of files fail with this error.
    FileSyncError = 8,
}

/// The faults of the processes that are started with [`environment`](SystemFaults::environment).
pub struct SystemFaults {
    folder: TempDir,
    file: File,
}

impl SystemFaults {
    /// Compiles the library; all faults are off.
    ///
    /// # Errors
    /// The file can't be written, or the library can't be compiled.
    pub fn new() -> Result<SystemFaults> {
        let folder = tempfile::tempdir()?;
        compile(&folder.path().join(LIBRARY_NAME))?;
        let path = folder.path().join(FILE_NAME);
        std::fs::write(&path, vec![0; SLOTS * SLOT_BYTES as usize])?;
        let file = File::options().read(true).write(true).open(path)?;
        Ok(SystemFaults { folder, file })
    }

    /// The environment variables of a process whose system calls are to fail.
    pub fn environment(&self) -> [(&'static str, PathBuf); 2] {
        let path = |name| self.folder.path().join(name);
        [("LD_PRELOAD", path(LIBRARY_NAME)), (FILE_VARIABLE, path(FILE_NAME))]
    }

    /// Turns a fault on, or off by the value 0.
    ///
    /// # Errors
    /// The file can't be written.
    pub fn set(&self, fault: SystemFault, value: i64) -> Result<()> {
        self.file.write_all_at(&value.to_ne_bytes(), fault as u64 * SLOT_BYTES)
    }

    /// The number of calls that were made to fail; steps of the clock are not counted.
    ///
    /// # Errors
    /// The file can't be read.
    pub fn injected_count(&self) -> Result<i64> {
        let mut bytes = [0; SLOT_BYTES as usize];
        self.file.read_exact_at(&mut bytes, INJECTED_COUNT_SLOT * SLOT_BYTES)?;
        Ok(i64::from_ne_bytes(bytes))
    }
}

fn compile(library: &Path) -> Result<()> {
    let source = library.with_extension("c");
    std::fs::write(&source, SOURCE)?;
    let mut compiler = Command::new("cc");
    compiler.args(["-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o"]).arg(library).arg(source);
    let output = compiler.arg("-ldl").output()?;
    if output.status.success() {
        return Ok(());
    }
    Err(Error::other(String::from_utf8_lossy(&output.stderr).into_owned()))
}
