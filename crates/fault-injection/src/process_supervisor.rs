//! The process supervisor: a program that starts, signals and kills processes as commanded on its standard
//! input, one JSON object per line. When its input closes, it kills all of them, so no process outlives a run
//! that panics or is killed. A child is signalled only before it is reaped, so that no other process with the
//! same id is hit.

use rustix::process::{kill_process, Pid, Signal};
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::io::{BufRead, BufReader, Write};
use std::os::unix::process::ExitStatusExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStdin, Command, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval between two checks for processes that have ended.
const REAP_INTERVAL: Duration = Duration::from_millis(5);

/// A command to the supervisor. The names that serde writes are its protocol, so they stay.
#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
enum SupervisorCommand {
    Start(StartProcess),
    Signal {
        number: usize,
        #[serde(rename = "name")]
        signal: ProcessSignal,
    },
}

/// A process to start.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StartProcess {
    /// The number that identifies it in commands and events.
    pub number: usize,
    /// The path of the program.
    pub program: PathBuf,
    /// The arguments, without the program's name.
    pub arguments: Vec<String>,
    /// The whole environment; nothing is inherited.
    pub environment: Vec<(String, String)>,
    /// The file to which standard output and standard error are appended.
    pub log: PathBuf,
}

/// A signal that the supervisor can send. The names, also `Go`, are the protocol of the supervisor, so they
/// stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum ProcessSignal {
    /// SIGKILL
    Kill,
    /// SIGTERM
    Term,
    /// SIGSTOP
    Stop,
    /// SIGCONT
    #[serde(rename = "Go")]
    Continue,
    /// SIGHUP
    Reload,
}

impl ProcessSignal {
    fn signal(self) -> Signal {
        match self {
            ProcessSignal::Kill => Signal::KILL,
            ProcessSignal::Term => Signal::TERM,
            ProcessSignal::Stop => Signal::STOP,
            ProcessSignal::Continue => Signal::CONT,
            ProcessSignal::Reload => Signal::HUP,
        }
    }
}

/// An event that the supervisor reports on its standard output, one JSON object per line.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum SupervisorEvent {
    /// A process was started.
    Started {
        /// The number that the start command gave it.
        number: usize,
        /// The process id.
        pid: u32,
    },
    /// A process could not be started.
    Failed {
        /// The number that the start command gave it.
        number: usize,
        /// The error of the operating system.
        #[serde(rename = "why")]
        error: String,
    },
    /// A process has ended.
    Ended {
        /// The number that the start command gave it.
        number: usize,
        /// The exit code, if no signal ended the process.
        code: Option<i32>,
        /// The number of the signal that ended the process, if one did.
        signal: Option<i32>,
    },
}

type Children = Arc<Mutex<HashMap<usize, Child>>>;

fn lock(children: &Children) -> MutexGuard<'_, HashMap<usize, Child>> {
    children.lock().unwrap_or_else(PoisonError::into_inner)
}

fn report(event: &SupervisorEvent) {
    if let Ok(line) = serde_json::to_string(event) {
        // The run may be over already; `serve` notices that by the end of its input.
        let _ = writeln!(std::io::stdout().lock(), "{line}");
    }
}

fn start(process: &StartProcess) -> std::io::Result<Child> {
    let log = std::fs::File::options().create(true).append(true).open(&process.log)?;
    Command::new(&process.program)
        .args(&process.arguments)
        .env_clear()
        .envs(process.environment.iter().map(|(k, v)| (k, v)))
        .stdin(Stdio::null())
        .stdout(log.try_clone()?)
        .stderr(log)
        .spawn()
}

/// Reaps and reports each process that ends. Never returns.
fn report_ended_processes(children: Children) {
    loop {
        std::thread::sleep(REAP_INTERVAL);
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
        SupervisorCommand::Start(process) => {
            let number = process.number;
            let mut children = lock(children);
            match start(&process) {
                Ok(child) => {
                    report(&SupervisorEvent::Started { number, pid: child.id() });
                    children.insert(number, child);
                }
                Err(error) => report(&SupervisorEvent::Failed { number, error: error.to_string() }),
            }
        }
        SupervisorCommand::Signal { number, signal } => {
            if let Some(child) = lock(children).get(&number) {
                let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
                // The child has not been reaped, so the process id is still its own, even if it has ended
                // already.
                let _ = pid.map(|pid| kill_process(pid, signal.signal()));
            }
        }
    }
}

/// Supervises processes until the standard input ends. The hidden command `lab keeper` of the program runs
/// it.
pub fn serve() {
    let children = Children::default();
    let watched = children.clone();
    std::thread::spawn(move || report_ended_processes(watched));
    for line in std::io::stdin().lock().lines() {
        let Ok(line) = line else { break };
        match serde_json::from_str(&line) {
            Ok(command) => execute(command, &children),
            Err(error) => eprintln!("process supervisor: invalid command ignored: {error}: {line}"),
        }
    }
    for child in lock(&children).values_mut() {
        let _ = child.kill();
        let _ = child.wait();
    }
}

/// A running supervisor process; dropping this ends it, and it kills all its processes then.
pub struct ProcessSupervisor {
    process: Child,
    commands: Option<ChildStdin>,
}

impl ProcessSupervisor {
    /// Starts a supervisor. `program` with `arguments` must call [`serve`]. `on_event` is called with each
    /// event, on a thread of its own.
    pub fn start(
        program: &Path,
        arguments: &[&str],
        on_event: impl Fn(SupervisorEvent) + Send + 'static,
    ) -> std::io::Result<ProcessSupervisor> {
        let mut process =
            Command::new(program).args(arguments).stdin(Stdio::piped()).stdout(Stdio::piped()).spawn()?;
        let commands = process.stdin.take();
        if let Some(out) = process.stdout.take() {
            std::thread::spawn(move || {
                for line in BufReader::new(out).lines().map_while(Result::ok) {
                    match serde_json::from_str(&line) {
                        Ok(event) => on_event(event),
                        Err(error) => eprintln!("process supervisor: invalid event ignored: {error}: {line}"),
                    }
                }
            });
        }
        Ok(ProcessSupervisor { process, commands })
    }

    /// The process id of the supervisor.
    pub fn pid(&self) -> u32 {
        self.process.id()
    }

    fn send(&mut self, command: &SupervisorCommand) -> std::io::Result<()> {
        let line = serde_json::to_string(command)?;
        match &mut self.commands {
            Some(commands) => writeln!(commands, "{line}"),
            None => Err(std::io::ErrorKind::BrokenPipe.into()),
        }
    }

    /// Has the supervisor start a process; the result is reported as an event.
    pub fn run(&mut self, start: StartProcess) -> std::io::Result<()> {
        self.send(&SupervisorCommand::Start(start))
    }

    /// Has the supervisor send a signal to a process; ignored if the process has ended.
    pub fn signal(&mut self, number: usize, signal: ProcessSignal) -> std::io::Result<()> {
        self.send(&SupervisorCommand::Signal { number, signal })
    }
}

impl Drop for ProcessSupervisor {
    fn drop(&mut self) {
        // The end of its input makes the supervisor kill its processes and exit.
        self.commands = None;
        let _ = self.process.wait();
    }
}
