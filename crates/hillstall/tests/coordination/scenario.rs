//! Runs a fault-injection scenario with a script of admin commands and faults, and checks its audit lines.

use crate::harness::{run_with_options, ValidRun};
use hillstall_fault_injection::coordination_fleet::{check_audit_lines, AuditLine, CoordinationOptions};
use hillstall_fault_injection::fleet::{Fleet, LinkEnds};
use hillstall_fault_injection::process_supervisor::ProcessSignal;
use hillstall_fault_injection::run::Script;
use hillstall_fault_injection::tcp_proxy::Fault;
use hillstall_fault_injection::Options;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::time::sleep;

/// Limit of one step of a script. Far above what any step takes; a scenario that reaches it fails with the
/// last log lines of each instance.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(8);
/// Number of runs of a scenario after which its test fails if a busy machine disturbed all of them.
const MAX_ATTEMPTS: usize = 3;
/// Prefix of the error of a script that a busy machine disturbed.
pub const BUSY_PREFIX: &str = "busy: ";
/// Number of log lines of each instance that a failure shows.
const SHOWN_LOG_LINES: usize = 12;

/// The lease of the change freeze's coordinator.
pub const COORDINATOR_LEASE: &str = "freeze/coordinator";

/// The result of a script; the error says what differs from the expectation.
pub type ScriptResult = Result<(), String>;

/// A run of a scenario whose script has succeeded.
pub struct ScenarioRun {
    pub valid_run: ValidRun,
    /// The audit lines of all instances.
    pub audit_lines: Vec<AuditLine>,
}

/// Runs a scenario with `replicas` replicas and a script. Panics unless the script succeeds, the audit lines
/// are consistent, and the invariants on requests hold.
pub fn run_scenario<F>(
    name: &str,
    replicas: usize,
    section: &str,
    script: impl Fn(Rc<Fleet>) -> F + Clone + 'static,
) -> ScenarioRun
where
    F: Future<Output = ScriptResult> + 'static,
{
    let mut last_error = String::new();
    for attempt in 1..=MAX_ATTEMPTS {
        match run_once(name, replicas, section, script.clone()) {
            Ok(run) => {
                let violations = check_audit_lines(&run.audit_lines);
                assert!(violations.is_empty(), "{}", violations.join("\n"));
                run.valid_run.assert_invariants_hold();
                return run;
            }
            Err(busy) if busy.starts_with(BUSY_PREFIX) => {
                println!("{name}: run {attempt} of {MAX_ATTEMPTS} is not counted: {busy}");
                last_error = busy;
            }
            Err(error) => panic!("{name}: {error}"),
        }
    }
    panic!("{name}: {MAX_ATTEMPTS} times: {last_error}");
}

fn run_once<F>(
    name: &str,
    replicas: usize,
    section: &str,
    script: impl Fn(Rc<Fleet>) -> F + Clone + 'static,
) -> Result<ScenarioRun, String>
where
    F: Future<Output = ScriptResult> + 'static,
{
    let outcome: Rc<RefCell<(Option<ScriptResult>, Vec<AuditLine>)>> = Rc::default();
    let valid_run = run_with_options(name, 1, || {
        let (script, outcome) = (script.clone(), outcome.clone());
        outcome.replace((None, Vec::new()));
        let whole_script: Script = Box::new(move |fleet| {
            Box::pin(async move {
                let result = script(fleet.clone()).await.map_err(|error| with_log_lines(&fleet, error));
                outcome.replace((Some(result), fleet.audit_lines()));
            })
        });
        let coordination = Some(CoordinationOptions { voters: replicas, fleet_section: section.to_owned() });
        Options { script: Some(whole_script), coordination, ..Options::default() }
    });
    let (result, audit_lines) = outcome.take();
    match result {
        Some(Ok(())) => Ok(ScenarioRun { valid_run, audit_lines }),
        Some(Err(error)) => Err(error),
        None => Err("the script did not finish before the scenario ended".into()),
    }
}

/// Adds the last log lines on coordination of each instance to an error.
fn with_log_lines(fleet: &Fleet, error: String) -> String {
    let is_shown = |line: &&str| ["fleet", "coordination", "panicked"].iter().any(|word| line.contains(word));
    let mut text = error;
    for process in &fleet.processes {
        let log = std::fs::read_to_string(process.log()).unwrap_or_default();
        let lines: Vec<&str> = log.lines().filter(is_shown).collect();
        for line in &lines[lines.len().saturating_sub(SHOWN_LOG_LINES)..] {
            text += &format!("\n  {}: {line}", process.name);
        }
    }
    text
}

/// Fails a script unless a condition holds.
pub fn ensure(condition: bool, error: impl FnOnce() -> String) -> ScriptResult {
    if condition {
        Ok(())
    } else {
        Err(error())
    }
}

/// Sends an admin command to an instance; fails unless the answer begins with `expected_start`.
pub async fn send_command(
    fleet: &Fleet,
    process: usize,
    line: &str,
    expected_start: &str,
) -> Result<String, String> {
    let answer = fleet.admin_command(process, line).await.unwrap_or_default();
    ensure(answer.starts_with(expected_start), || {
        format!("{line}: got {answer:?}, expected {expected_start:?}")
    })?;
    Ok(answer)
}

/// Kills an instance, and waits until it has ended.
pub async fn kill_and_wait(fleet: &Fleet, process: usize) -> ScriptResult {
    fleet.signal(process, ProcessSignal::Kill)?;
    while fleet.processes[process].is_running.get() {
        sleep(Duration::from_millis(10)).await;
    }
    Ok(())
}

/// Injects a fault into the selected links; fails if they have carried nothing before, as the fault would
/// then have no effect.
pub fn inject_fault(fleet: &Fleet, fault: Fault, links: impl Fn(LinkEnds) -> bool + Copy) -> ScriptResult {
    let passed = fleet.transferred(links);
    fleet.set_fault(fault, links);
    ensure(passed.to_target > 0, || "the links for the fault have carried nothing".into())
}

/// Waits until all instances have the replicated state and accept commands of lease holders, and the
/// coordinator's lease is held.
pub async fn wait_until_settled(fleet: &Fleet) -> ScriptResult {
    for process in 0..fleet.processes.len() {
        fleet.wait_for_answer(process, "FLEET", STEP_TIMEOUT, |text| text.contains("gates open")).await?;
    }
    fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await.map(|_| ())
}

/// Milliseconds since a moment.
pub fn elapsed_ms(start: Instant) -> u64 {
    start.elapsed().as_millis() as u64
}
