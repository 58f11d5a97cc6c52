//! A process that is measured: the proxy or the relay.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for a started process to listen.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Between two attempts to connect to it.
const CONNECT_INTERVAL: Duration = Duration::from_millis(10);

/// Why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum BenchError {
    /// The program can't be started.
    #[error("{0}: {1}")]
    Start(String, std::io::Error),
    /// The program does not listen in time.
    #[error("{0} does not serve at {1}")]
    NotListening(&'static str, SocketAddr),
    /// A system call failed.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A child process that is killed when this is dropped.
pub struct MeasuredProcess {
    child: Child,
}

impl MeasuredProcess {
    /// Starts a program; `configure` sets its arguments and environment.
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

    /// CPU time of all its threads so far, as the scheduler counts it in nanoseconds.
    pub fn cpu_time(&self) -> Result<Duration, BenchError> {
        let mut total_ns = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            total_ns += text.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
        }
        Ok(Duration::from_nanos(total_ns))
    }

    /// Its anonymous memory in bytes; what the kernel holds for its sockets is not counted.
    pub fn memory(&self) -> Result<u64, BenchError> {
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

/// Waits until a connection can be made.
pub async fn await_listener(what: &'static str, address: SocketAddr) -> Result<(), BenchError> {
    let deadline = Instant::now() + START_TIMEOUT;
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if Instant::now() > deadline {
            return Err(BenchError::NotListening(what, address));
        }
        tokio::time::sleep(CONNECT_INTERVAL).await;
    }
    Ok(())
}
