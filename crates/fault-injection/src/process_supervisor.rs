//! The process supervisor. It starts, signals and kills processes as commanded on its standard input, one JSON object a
//! line, and kills all of them when that closes: so nothing outlives the run, also when that panics or is killed. A child
//! is signalled only before it is reaped, so that no other process with its number is hit.

use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Between two checks for processes that have ended.
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A command to the supervisor.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum SupervisorCommand {
    Start(StartProcess),
    Signal { number: usize, name: ProcessSignal },
}

/// A process to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartProcess {
    /// The number by which the run knows it.
    pub number: usize,
    /// The program.
    pub program: PathBuf,
    /// Its arguments.
    pub arguments: Vec<String>,
    /// All of its environment.
    pub environment: Vec<(String, String)>,
    /// Where its output is appended.
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

/// An event that the supervisor reports.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SupervisorEvent {
    /// A process runs.
    Started {
        /// The number by which the run knows it.
        number: usize,
        /// Its process id.
        pid: u32,
    },
    /// A process could not be started.
    Failed {
        /// The number by which the run knows it.
        number: usize,
        /// Why.
        why: String,
    },
    /// A process has ended.
    Ended {
        /// The number by which the run knows it.
        number: usize,
        /// Its exit code, if no signal ended it.
        code: Option<i32>,
        /// The signal that ended it.
        signal: Option<i32>,
    },
}

type Children = Arc<Mutex<HashMap<usize, Child>>>;

fn lock(children: &Children) -> MutexGuard<'_, HashMap<usize, Child>> {
    children.lock().unwrap_or_else(PoisonError::into_inner)
}

fn report(news: &SupervisorEvent) {
    if let Ok(line) = serde_json::to_string(news) {
        // The run may be over; the end of the input shows it.
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

/// Reports each process that ends, for as long as the program runs.
fn report_ended_processes(children: Children) {
    loop {
        std::thread::sleep(POLL_INTERVAL);
        lock(&children).retain(|number, child| match child.try_wait() {
            Ok(Some(status)) => {
                let (code, signal) = (status.code(), status.signal());
                report(&SupervisorEvent::Ended { number: *number, code, signal });
                false
            }
            _ => true,
        });
    }
}

fn execute(command: SupervisorCommand, children: &Children) {
    match command {
        SupervisorCommand::Start(order) => {
            let number = order.number;
            let mut children = lock(children);
            match start(&order) {
                Ok(child) => {
                    report(&SupervisorEvent::Started { number, pid: child.id() });
                    children.insert(number, child);
                }
                Err(error) => report(&SupervisorEvent::Failed { number, why: error.to_string() }),
            }
        }
        SupervisorCommand::Signal { number, name } => {
            if let Some(child) = lock(children).get(&number) {
                let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
                // Not reaped yet, so the process id is still its own; it may be dead already.
                let _ = pid.map(|pid| kill_process(pid, name.signal()));
            }
        }
    }
}

/// Supervises processes until the standard input ends; the program's hidden command.
pub fn serve() {
    let children = Children::default();
    let watched = children.clone();
    std::thread::spawn(move || report_ended_processes(watched));
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        match serde_json::from_str(&line) {
            Ok(command) => execute(command, &children),
            Err(error) => eprintln!("keeper: {error}: {line}"),
        }
    }
    for child in lock(&children).values_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A running supervisor; dropping it kills all its processes.
pub struct ProcessSupervisor {
    process: Child,
    orders: Option<ChildStdin>,
}

impl ProcessSupervisor {
    /// Starts one; `program` with `arguments` must call [`serve`]. `hear` is called with each event, on a thread of its own.
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

    /// Its process id.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    fn order(&mut self, order: &SupervisorCommand) -> std::io::Result<()> {
        let line = serde_json::to_string(order)?;
        match &mut self.orders {
            Some(orders) => writeln!(orders, "{line}"),
            None => Err(std::io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Commands it to start a process.
    pub fn run(&mut self, start: StartProcess) -> std::io::Result<()> {
        self.order(&SupervisorCommand::Start(start))
    }

    /// Commands it to signal a process, if that still runs.
    pub fn signal(&mut self, number: usize, name: ProcessSignal) -> std::io::Result<()> {
        self.order(&SupervisorCommand::Signal { number, name })
    }
}

impl Drop for ProcessSupervisor {
    fn drop(&mut self) {
        // The end of its input makes it kill its processes and exit.
        self.orders = None;
        let _ = self.process.wait();
    }
}
