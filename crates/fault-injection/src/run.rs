//! One run of a scenario, from its start to its verdict.

use crate::faults::Faults;
use crate::fleet::{system_error, Fleet, FleetError, FleetPlan, SettingsFault};
use crate::history::Observations;
use crate::host_load_monitor;
use crate::invariant_checker::{self, GroundTruth, Verdict};
use crate::open_loop_clients::OpenLoopClients;
use hillstall_simulation::scenario::Scenario;
use hillstall_simulation::sim::setup;
use hillstall_simulation::sim::RunSummary;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::task::{spawn_local, LocalSet};
use tokio::time::{sleep, sleep_until};

/// Between the start of the last process and the first request.
const SETTLE: Duration = Duration::from_millis(300);
/// Between two samples of the backends' capacity.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Longer than any request can be open after the last has started: past it, something hangs.
const END_TIMEOUT: Duration = Duration::from_secs(30);

/// What a test or an operator does during a run, beside the scenario's own failures.
pub type Script = Box<dyn FnOnce(Rc<Fleet>) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>>;

/// Options of a run.
#[derive(Default)]
pub struct Options {
    /// Falsifies the proxies' settings, if given.
    pub settings_fault: Option<SettingsFault>,
    /// The coordination of the instances, if any.
    pub coordination: Option<crate::coordination_fleet::CoordinationOptions>,
    /// Runs beside the requests, from the first one on.
    pub script: Option<Script>,
    /// Where configurations and logs are kept; without it they are deleted after the run.
    pub output_folder: Option<PathBuf>,
}

/// The result of a run.
pub struct ScenarioRun {
    /// What clients received, counted as in the simulation.
    pub summary: RunSummary,
    /// The record.
    pub observations: Observations,
    /// The true parameters of the fleet.
    pub truth: GroundTruth,
    /// The checker's verdict.
    pub verdict: Verdict,
    /// Number of proxy processes.
    pub processes: usize,
}

impl ScenarioRun {
    /// The verdict as text.
    pub fn report(&self) -> String {
        invariant_checker::report(&self.truth, &self.observations, &self.verdict)
    }

    /// Attempts at a tier per attempt sent to the proxies before it.
    pub fn attempt_ratio(&self, tier: usize) -> f64 {
        let hops = self
            .observations
            .backend_attempts
            .iter()
            .filter(|h| self.truth.servers[h.server].tier == tier)
            .count();
        let dots = |id: &str| id.matches('.').count();
        let tries = self
            .observations
            .client_attempts
            .iter()
            .filter(|t| t.written_at.is_some() && dots(&t.id) == tier)
            .count();
        hops as f64 / tries.max(1) as f64
    }
}

/// Runs a scenario with a seed on real processes of `program`.
///
/// # Errors
/// If processes, sockets or files can't be had, or a process does not become ready.
pub fn run(
    program: &Path,
    scenario: &Scenario,
    seed: u64,
    options: Options,
) -> Result<ScenarioRun, FleetError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system_error("the rig"))?;
    // Deleted with its files at the end of this function.
    let passing = tempfile::tempdir().map_err(system_error("a folder"))?;
    let path = options.output_folder.clone().unwrap_or_else(|| passing.path().to_path_buf());
    LocalSet::new().block_on(&runtime, play(program, scenario, seed, options, &path))
}

#[allow(clippy::too_many_lines, reason = "one run from its start to its verdict")]
async fn play(
    program: &Path,
    scenario: &Scenario,
    seed: u64,
    options: Options,
    folder: &Path,
) -> Result<ScenarioRun, FleetError> {
    let parameters = setup::draw(scenario, seed);
    let fleet = Fleet::start(FleetPlan {
        program,
        parameters,
        seed,
        settings_fault: options.settings_fault,
        coordination: options.coordination,
        folder,
    })
    .await?;
    let zero = Instant::now() + SETTLE;
    fleet.history.set_first_request(zero);
    sleep_until(zero.into()).await;
    let faults = Faults::new(fleet.clone());
    faults.play();
    let script = options.script.map(|script| spawn_local(script(fleet.clone())));
    let watch = spawn_local(watch(fleet.clone()));
    let pulse = spawn_local(host_load_monitor::watch(fleet.clone()));
    let clients = OpenLoopClients::new(fleet.clone(), seed);
    clients.play(seed).await;
    let end = Instant::now() + END_TIMEOUT;
    while clients.open() > 0 {
        if Instant::now() > end {
            let unfinished = format!(
                "{} requests have not ended {END_TIMEOUT:?} after the last has started",
                clients.open()
            );
            return Err(FleetError::System {
                operation: "clients".into(),
                error: std::io::Error::other(unfinished),
            });
        }
        sleep(Duration::from_millis(10)).await;
    }
    // Late responses of attempts that timed out are still recorded.
    sleep(SETTLE).await;
    watch.abort();
    pulse.abort();
    if let Some(script) = script {
        script.abort();
    }
    if let Some(error) = faults.take_errors().into_iter().next() {
        return Err(FleetError::System {
            operation: "fault injection".into(),
            error: std::io::Error::other(error),
        });
    }
    let truth = fleet.truth();
    let observations = fleet.history.take();
    let chokes = fleet.servers.iter().map(|server| u64::from(server.chokes())).sum();
    let empty = RunSummary::new("drill", seed, 1.0, fleet.parameters.shares());
    let mut summary = fleet.summary.replace(empty);
    for hop in &observations.backend_attempts {
        summary.sent(hop.at, truth.servers[hop.server].tier);
    }
    for a_try in observations
        .client_attempts
        .iter()
        .filter(|t| t.process < fleet.first_tier_count && t.written_at.is_some())
    {
        summary.came_to(a_try.process);
        if a_try.result == crate::history::ClientResult::Refused {
            summary.refused_by(a_try.process);
        }
    }
    let verdict = invariant_checker::check(&truth, &observations);
    let processes = fleet.processes.len();
    Ok(ScenarioRun { summary: summary.close(chokes), observations, truth, verdict, processes })
}

/// Samples the capacity of the first tier.
async fn watch(fleet: Rc<Fleet>) {
    let whole = fleet.parameters.tiers[0].able();
    let first = fleet.parameters.tiers[0].places.len();
    loop {
        sleep(POLL_INTERVAL).await;
        let states: Vec<(f64, bool)> = fleet.servers[..first].iter().map(|s| s.state()).collect();
        let able: f64 = states.iter().map(|s| s.0).sum();
        let choked = states.iter().filter(|s| s.1).count() as u64;
        fleet.summary.borrow_mut().looked(fleet.history.now().max(0.0), able / whole, choked);
    }
}
