//! Runs a fault-injection scenario with a script, and checks its audit lines.

use crate::harness::{drill_with, Played};
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

/// Far above what any step takes; past it a scenario fails with the last log lines of each instance.
pub const STEP_TIMEOUT: Duration = Duration::from_secs(8);
/// How often a scenario is run that a busy machine disturbed.
const MAX_ATTEMPTS: usize = 3;
/// The error of such a scenario begins with this.
pub const BUSY_PREFIX: &str = "busy: ";
/// Log lines of each instance that a failure shows.
const SHOWN_LOG_LINES: usize = 12;

/// The lease of the change freeze's coordinator.
pub const COORDINATOR_LEASE: &str = "freeze/coordinator";

/// The result of a script; an error says what was not as expected.
pub type ScriptResult = Result<(), String>;

/// A scenario that has run to its end.
pub struct ScenarioRun {
    pub played: Played,
    /// What the instances logged for the audit.
    pub acts: Vec<AuditLine>,
}

/// Runs a scenario. Panics unless the script succeeds, the audit lines are consistent, and the rules on requests are kept.
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
                let violations = check_audit_lines(&run.acts);
                assert!(violations.is_empty(), "{}", violations.join("\n"));
                run.played.keeps_the_rules();
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
    let played = drill_with(name, 1, || {
        let (script, outcome) = (script.clone(), outcome.clone());
        outcome.replace((None, Vec::new()));
        let whole_script: Script = Box::new(move |fleet| {
            Box::pin(async move {
                let result = script(fleet.clone()).await.map_err(|error| with_log_lines(&fleet, error));
                outcome.replace((Some(result), fleet.audit_lines()));
            })
        });
        let talk = Some(CoordinationOptions { voters: replicas, fleet_section: section.to_owned() });
        Options { script: Some(whole_script), coordination: talk, ..Options::default() }
    });
    let (result, acts) = outcome.take();
    match result {
        Some(Ok(())) => Ok(ScenarioRun { played, acts }),
        Some(Err(error)) => Err(error),
        None => Err("the script did not come to its end".into()),
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

/// Sends an admin command to an instance, whose answer has to begin as expected.
pub async fn send_command(
    fleet: &Fleet,
    process: usize,
    line: &str,
    expected_start: &str,
) -> Result<String, String> {
    let answer = fleet.admin_command(process, line).await.unwrap_or_default();
    ensure(answer.starts_with(expected_start), || {
        format!("{line}: {answer:?} where {expected_start:?} was wanted")
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

/// Injects a fault into some links, which have to have carried something before.
pub fn inject_fault(fleet: &Fleet, fault: Fault, links: impl Fn(LinkEnds) -> bool + Copy) -> ScriptResult {
    let passed = fleet.transferred(links);
    fleet.set_fault(fault, links);
    ensure(passed.to_target > 0, || "nothing passed over the links that were to be cut".into())
}

/// Waits until all instances know the state and accept commands, and the coordinator's lease is held.
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
