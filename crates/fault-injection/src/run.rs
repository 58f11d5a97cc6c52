//! One run of a scenario on real processes, from the start of the fleet to the verdict.

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

/// Time between the readiness of the last process and the first request, and between the end of the last
/// request and the end of the records.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Interval of the samples of the backends' capacity.
const CAPACITY_SAMPLE_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for open requests after the last has started. All deadlines are shorter, so a request that is
/// open longer hangs.
const END_TIMEOUT: Duration = Duration::from_secs(30);

/// Actions of a test or an operator during a run, in addition to the failures of the scenario.
pub type Script = Box<dyn FnOnce(Rc<Fleet>) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>>;

/// Options of a run; the default runs the scenario as it is and keeps no files.
#[derive(Default)]
pub struct Options {
    /// Falsifies the settings that the proxies get.
    pub settings_fault: Option<SettingsFault>,
    /// How the instances coordinate; `None` if they do not.
    pub coordination: Option<crate::coordination_fleet::CoordinationOptions>,
    /// Further environment variables of the proxies.
    pub environment: Vec<(String, String)>,
    /// Runs beside the requests, from the first one on; stopped if it still runs shortly after the last has
    /// ended.
    pub script: Option<Script>,
    /// The folder in which configurations and logs are kept; without it they are deleted after the run.
    pub output_folder: Option<PathBuf>,
}

/// The results of a run.
pub struct ScenarioRun {
    /// The accounting of client requests, as in the simulation.
    pub summary: RunSummary,
    /// The records of clients, backends, discovery and processes.
    pub observations: Observations,
    /// The true parameters of the fleet, which the checker used.
    pub truth: GroundTruth,
    /// The verdict of the invariant checker.
    pub verdict: Verdict,
    /// The number of proxies, of all tiers.
    pub processes: usize,
}

impl ScenarioRun {
    /// The verdict and the excused requests as text.
    pub fn report(&self) -> String {
        invariant_checker::report(&self.truth, &self.observations, &self.verdict)
    }

    /// The number of attempts at the backends of a tier per attempt at the proxies before that tier.
    pub fn attempt_ratio(&self, tier: usize) -> f64 {
        let backend_attempts = self
            .observations
            .backend_attempts
            .iter()
            .filter(|attempt| self.truth.servers[attempt.server].tier == tier)
            .count();
        // Each tier adds a suffix after a dot to the request id.
        let tier_of = |id: &str| id.matches('.').count();
        let client_attempts = self
            .observations
            .client_attempts
            .iter()
            .filter(|attempt| attempt.written_at.is_some() && tier_of(&attempt.id) == tier)
            .count();
        backend_attempts as f64 / client_attempts.max(1) as f64
    }
}

/// Runs a scenario with a seed on real processes of `program`.
///
/// # Errors
/// If processes, sockets or files cannot be created, a process does not become ready, a fault cannot be
/// injected, or requests do not end.
pub fn run(
    program: &Path,
    scenario: &Scenario,
    seed: u64,
    options: Options,
) -> Result<ScenarioRun, FleetError> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(system_error("cannot start the runtime"))?;
    // Deleted with its files at the end of this function.
    let temporary_folder = tempfile::tempdir().map_err(system_error("cannot create a folder for the run"))?;
    let path = options.output_folder.clone().unwrap_or_else(|| temporary_folder.path().to_path_buf());
    LocalSet::new().block_on(&runtime, run_in(program, scenario, seed, options, &path))
}

#[allow(clippy::too_many_lines, reason = "one run from its start to its verdict")]
async fn run_in(
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
        environment: options.environment,
        folder,
    })
    .await?;
    let first_request_at = Instant::now() + SETTLE_TIME;
    fleet.history.set_first_request(first_request_at);
    sleep_until(first_request_at.into()).await;
    let faults = Faults::new(fleet.clone());
    faults.schedule();
    let script = options.script.map(|script| spawn_local(script(fleet.clone())));
    let capacity_samples = spawn_local(sample_capacity(fleet.clone()));
    let stall_records = spawn_local(host_load_monitor::record_stalls(fleet.clone()));
    let clients = OpenLoopClients::new(fleet.clone(), seed);
    clients.run(seed).await;
    let end = Instant::now() + END_TIMEOUT;
    while clients.open_requests() > 0 {
        if Instant::now() > end {
            let unfinished = format!(
                "{} requests have not ended {END_TIMEOUT:?} after the last has started",
                clients.open_requests()
            );
            return Err(FleetError::System {
                operation: "clients".into(),
                error: std::io::Error::other(unfinished),
            });
        }
        sleep(Duration::from_millis(10)).await;
    }
    // Responses that come after the timeout of their attempt are still recorded.
    sleep(SETTLE_TIME).await;
    capacity_samples.abort();
    stall_records.abort();
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
    let empty = RunSummary::new("drill", seed, 1.0, fleet.parameters.tenant_quotas());
    let mut summary = fleet.summary.replace(empty);
    for attempt in &observations.backend_attempts {
        summary.record_attempt(attempt.at, truth.servers[attempt.server].tier);
    }
    for attempt in observations
        .client_attempts
        .iter()
        .filter(|attempt| attempt.process < fleet.first_tier_count && attempt.written_at.is_some())
    {
        summary.record_arrival_at(attempt.process);
        if attempt.result == crate::history::ClientResult::Refused {
            summary.record_rejection_by(attempt.process);
        }
    }
    let verdict = invariant_checker::check(&truth, &observations);
    let processes = fleet.processes.len();
    Ok(ScenarioRun { summary: summary.finish(chokes), observations, truth, verdict, processes })
}

/// Samples the capacity of the first tier, as a fraction of its full capacity, until it is dropped.
async fn sample_capacity(fleet: Rc<Fleet>) {
    let full_capacity = fleet.parameters.tiers[0].full_capacity();
    let count = fleet.parameters.tiers[0].machines.len();
    loop {
        sleep(CAPACITY_SAMPLE_INTERVAL).await;
        let states: Vec<(f64, bool)> = fleet.servers[..count].iter().map(|s| s.state()).collect();
        let capacity: f64 = states.iter().map(|s| s.0).sum();
        let choked = states.iter().filter(|s| s.1).count() as u64;
        fleet.summary.borrow_mut().record_capacity_sample(
            fleet.history.now().max(0.0),
            capacity / full_capacity,
            choked,
        );
    }
}
