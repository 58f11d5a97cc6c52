//! A process that is measured: the proxy or the relay.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// What can go wrong with a measurement.
#[derive(Debug, thiserror::Error)]
pub enum Broken {
    /// The program can't be started.
    #[error("{0}: {1}")]
    Start(String, std::io::Error),
    /// It does not serve in time.
    #[error("{0} does not serve at {1}")]
    Silent(&'static str, SocketAddr),
    /// The system refused something.
    #[error(transparent)]
    Io(#[from] std::io::Error),
}

/// A child that is ended with its measurement.
pub struct Measured {
    child: Child,
}

impl Measured {
    /// Starts a program.
    pub fn start(program: &Path, command: impl FnOnce(&mut Command)) -> Result<Measured, Broken> {
        let mut to_run = Command::new(program);
        to_run.stdout(Stdio::null()).stderr(Stdio::null());
        command(&mut to_run);
        let child = to_run.spawn().map_err(|e| Broken::Start(program.display().to_string(), e))?;
        Ok(Measured { child })
    }

    /// CPU time of all its threads so far, from the scheduler's own account in nanoseconds.
    pub fn cpu(&self) -> Result<Duration, Broken> {
        let mut sum = 0;
        for task in std::fs::read_dir(format!("/proc/{}/task", self.child.id()))? {
            let text = std::fs::read_to_string(task?.path().join("schedstat"))?;
            sum += text.split(' ').next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
        }
        Ok(Duration::from_nanos(sum))
    }

    /// Memory of its own that it holds, in bytes: what the kernel holds for its sockets is not in it.
    pub fn memory(&self) -> Result<u64, Broken> {
        let text = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()))?;
        let line = text.lines().find_map(|line| line.strip_prefix("RssAnon:"));
        let kb = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
        Ok(kb.unwrap_or(0) * 1024)
    }
}

impl Drop for Measured {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Waits until a connection can be made.
pub async fn await_listener(what: &'static str, address: SocketAddr) -> Result<(), Broken> {
    let end = Instant::now() + Duration::from_secs(10);
    while tokio::net::TcpStream::connect(address).await.is_err() {
        if Instant::now() > end {
            return Err(Broken::Silent(what, address));
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}
