//! The process that is measured, the proxy or the relay: its start, CPU time and memory.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait until a started process listens.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between two attempts to connect to the process.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// A program cannot be started; the first field is its path.
    #[error("cannot start {0}: {1}")]
    Start(String, std::io::Error),
    /// A process does not accept connections at its address within the time limit. The first field names it:
    /// `the proxy` or `the relay`.
    #[error("{0} does not accept connections at {1} within {START_TIMEOUT:?}")]
    NotListening(&'static str, SocketAddr),
    /// An operation on files or sockets failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A measured child process; dropping this kills it.
pub struct MeasuredProcess {
    child: Child,
}

impl MeasuredProcess {
    /// Starts a program without output; `configure` sets its arguments and environment.
    pub fn start(
        program: &Path,
        configure: impl FnOnce(&mut Command),
    ) -> Result<MeasuredProcess, BenchError> {
        let mut command = Command::new(program);
        command.stdout(Stdio::null()).stderr(Stdio::null());
        configure(&mut command);
        let child =
            command.spawn().map_err(|error| BenchError::Start(program.display().to_string(), error))?;
        Ok(MeasuredProcess { child })
    }

    /// The CPU time of all present threads so far, from the counters of the Linux scheduler.
    pub fn cpu_time(&self) -> Result<Duration, BenchError> {
        let mut total_ns = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            total_ns += text.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
        }
        Ok(Duration::from_nanos(total_ns))
    }

    /// The resident anonymous memory in bytes, without the kernel's memory for sockets.
    pub fn memory_bytes(&self) -> Result<u64, BenchError> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kib = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        Ok(kib.unwrap_or(0) * 1024)
    }
}

impl Drop for MeasuredProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a process accepts connections. `process` names it in the error.
pub async fn await_listener(process: &'static str, address: SocketAddr) -> Result<(), BenchError> {
    let deadline = Instant::now() + START_TIMEOUT;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if Instant::now() > deadline {
            return Err(BenchError::NotListening(process, address));
        }
        tokio::time::sleep(CONNECT_INTERVAL).await;
    }
    Ok(())
}
