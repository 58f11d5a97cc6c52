//! The process that owns the drill's processes. It starts, signals and ends them as it is told on its standard input,
//! one JSON object a line, and ends them all when that closes: so nothing outlives the drill, also when that panics or
//! is killed. A child is only ever signalled while its keeper has not reaped it, so no number of another's is hit.

use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// How often the keeper looks for processes that have ended.
const LOOK: Duration = Duration::from_millis(5);

/// What the keeper is told.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Order {
    Start(StartProcess),
    Signal { number: usize, name: ProcessSignal },
}

/// A process to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartProcess {
    /// The drill's number for it.
    pub number: usize,
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// All of its environment.
    pub environment: Vec<(String, String)>,
    /// Where its output goes; what an earlier process wrote there stays.
    pub log: PathBuf,
}

/// A signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessSignal {
    /// SIGKILL
    Kill,
    /// SIGTERM
    Term,
    /// SIGSTOP
    Stop,
    /// SIGCONT
    Go,
    /// SIGHUP
    Reload,
}

impl ProcessSignal {
    fn signal(self) -> Signal {
        match self {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Term => Signal::TERM,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Go => Signal::CONT,
            ProcessSignal::Reload => Signal::HUP,
        }
    }
}

/// What the keeper tells.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SupervisorEvent {
    /// A process runs.
    Started {
        /// The drill's number.
        number: usize,
        /// The system's.
        pid: u32,
    },
    /// A process could not be started.
    Failed {
        /// The drill's number.
        number: usize,
        /// Why.
        why: String,
    },
    /// A process has ended.
    Ended {
        /// The drill's number.
        number: usize,
        /// What it ended with, if not by a signal.
        code: Option<i32>,
        /// The signal that ended it.
        signal: Option<i32>,
    },
}

type Children = Arc<Mutex<HashMap<usize, Child>>>;

fn lock(children: &Children) -> MutexGuard<'_, HashMap<usize, Child>> {
    children.lock().unwrap_or_else(PoisonError::into_inner)
}

fn tell(news: &SupervisorEvent) {
    if let Ok(line) = serde_json::to_string(news) {
        // The drill may have gone; the end of the input says so.
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}

fn start(start: &StartProcess) -> std::io::Result<Child> {
    let log = std::fs::File::options().create(true).append(true).open(&start.log)?;
    Command::new(&start.program)
        .args(&start.arguments)
        .env_clear()
        .envs(start.environment.iter().map(|(k, v)| (k, v)))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Keeps processes until the standard input ends; the program's hidden command.
pub fn serve() {
    let children = Children::default();
    let watched = children.clone();
    std::thread::spawn(move || loop {
        std::thread::sleep(LOOK);
        lock(&watched).retain(|number, child| match child.try_wait() {
            Ok(Some(status)) => {
                tell(&SupervisorEvent::Ended {
                    number: *number,
                    code: status.code(),
                    signal: status.signal(),
                });
                false
            }
            _ => true,
        });
    });
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        match serde_json::from_str(&line) {
            Ok(Order::Start(order)) => {
                let number = order.number;
                let mut children = lock(&children);
                match start(&order) {
                    Ok(child) => {
                        tell(&SupervisorEvent::Started { number, pid: child.id() });
                        children.insert(number, child);
                    }
                    Err(why) => tell(&SupervisorEvent::Failed { number, why: why.to_string() }),
                }
            }
            Ok(Order::Signal { number, name }) => {
                if let Some(child) = lock(&children).get(&number) {
                    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
                    // Not reaped yet, so the number is still its own; it may be dead already.
                    let _ = pid.map(|pid| kill_process(pid, name.signal()));
                }
            }
            Err(why) => eprintln!("keeper: {why}: {line}"),
        }
    }
    for child in lock(&children).values_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A running keeper; dropping it ends all its processes.
pub struct ProcessSupervisor {
    process: Child,
    orders: Option<ChildStdin>,
}

impl ProcessSupervisor {
    /// Starts one; `program` with `arguments` must call [`serve`]. `hear` is called on a thread of its own.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        hear: impl Fn(SupervisorEvent) + Send + 'static,
    ) -> std::io::Result<ProcessSupervisor> {
        let mut process =
            Command::new(program).args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let orders = process.stdin.take();
        if let Some(out) = process.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    match serde_json::from_str(&line) {
                        Ok(news) => hear(news),
                        Err(why) => eprintln!("keeper: {why}: {line}"),
                    }
                }
            });
        }
        Ok(ProcessSupervisor { process, orders })
    }

    /// Its process.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    fn order(&mut self, order: &Order) -> std::io::Result<()> {
        let line = serde_json::to_string(order)?;
        match &mut self.orders {
            Some(orders) => writeln!(orders, "{line}"),
            None => Err(std::io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Has a process started.
    pub fn run(&mut self, start: StartProcess) -> std::io::Result<()> {
        self.order(&Order::Start(start))
    }

    /// Has a process signalled, if it still runs.
    pub fn signal(&mut self, number: usize, name: ProcessSignal) -> std::io::Result<()> {
        self.order(&Order::Signal { number, name })
    }
}

impl Drop for ProcessSupervisor {
    fn drop(&mut self) {
        // The end of its input makes it end its processes and itself.
        self.orders = None;
        let _ = self.process.wait();
    }
}
