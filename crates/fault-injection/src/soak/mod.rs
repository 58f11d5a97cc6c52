//! A soak of graceful shutdowns. One proxy of a fleet of real processes gets SIGTERM while its clients go on
//! using their connections, and SIGKILL at the earliest time that the platform allows. Signals, faults and
//! clients are drawn from a seed, and the invariant checker judges every request.

mod clients;
mod plan;
mod summary;
mod system_faults;

pub use plan::{BackgroundLoad, ClientBehavior, SoakPlan, TimedSignal, TERM_AT_MS};
pub use summary::SoakSummary;

use crate::coordination_fleet::CoordinationOptions;
use crate::fleet::{system_error, Fleet, FleetError, LinkEnds};
use crate::process_supervisor::ProcessSignal;
use crate::run::{run as run_scenario, Options, ScenarioRun, Script};
use crate::system_faults::SystemFaults;
use clients::TARGET;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::time::sleep_until;

/// The number of voters in a fleet whose instances coordinate.
const VOTERS: usize = 3;
/// The link to discovery fails this long before SIGTERM, in milliseconds.
const DISCOVERY_FAULT_LEAD_MS: f64 = 200.0;

/// A fault that a test adds to the soak, to show that the checker finds the violations it causes.
pub type InjectedFault = fn(Rc<Fleet>) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>;

/// What to do besides the plan of a seed.
#[derive(Default)]
pub struct SoakOptions {
    /// The folder in which configurations and logs are kept.
    pub output_folder: Option<PathBuf>,
    /// Whether system calls of the proxies fail at times that are drawn from the seed as well.
    pub with_system_faults: bool,
    /// Runs beside the soak, to violate an invariant.
    pub injected_fault: Option<InjectedFault>,
}

/// Runs the soak of one seed on real processes of `program`.
///
/// # Errors
/// If processes, sockets or files cannot be created, a process does not become ready, or requests do not end.
pub fn run(program: &Path, seed: u64, soak_options: SoakOptions) -> Result<ScenarioRun, FleetError> {
    let SoakOptions { output_folder, with_system_faults, injected_fault } = soak_options;
    let system_faults = with_system_faults
        .then(SystemFaults::new)
        .transpose()
        .map_err(system_error("cannot compile the library of system faults"))?;
    let environment = system_faults.iter().flat_map(SystemFaults::environment);
    let environment =
        environment.map(|(name, path)| (name.to_string(), path.display().to_string())).collect();
    let plan = SoakPlan::draw(seed);
    let scenario = plan.scenario().map_err(|error| FleetError::System {
        operation: format!("scenario of the soak with seed {seed}"),
        error: std::io::Error::other(error.to_string()),
    })?;
    let coordination =
        plan.coordination.then(|| CoordinationOptions { voters: VOTERS, fleet_section: String::new() });
    let script: Script = Box::new(move |fleet| {
        Box::pin(async move {
            if let Some(injected_fault) = injected_fault {
                tokio::task::spawn_local(injected_fault(fleet.clone()));
            }
            match system_faults {
                None => run_plan(fleet, plan).await,
                Some(faults) => tokio::select! {
                    () = run_plan(fleet, plan) => {}
                    Err(error) = system_faults::inject(&faults, seed) => {
                        eprintln!("soak: system fault not injected: {error}");
                    }
                },
            }
        })
    });
    run_scenario(
        program,
        &scenario,
        seed,
        Options { script: Some(script), coordination, environment, output_folder, ..Options::default() },
    )
}

/// Starts the clients of a plan, and sends its signals up to SIGKILL.
async fn run_plan(fleet: Rc<Fleet>, plan: SoakPlan) {
    clients::start(&fleet, &plan);
    let is_target_discovery = |ends: LinkEnds| matches!(ends, LinkEnds::ProxyToDiscovery { process: TARGET });
    if let Some(fault) = plan.discovery_fault {
        sleep_until(fleet.history.instant(TERM_AT_MS - DISCOVERY_FAULT_LEAD_MS)).await;
        fleet.set_fault(fault, is_target_discovery);
    }
    for signal in &plan.signals {
        sleep_until(fleet.history.instant(TERM_AT_MS + signal.at_ms)).await;
        send(&fleet, signal.signal);
    }
    sleep_until(fleet.history.instant(plan.killed_at_ms())).await;
    send(&fleet, ProcessSignal::Kill);
}

/// Sends a signal to the proxy under test, unless its process has ended.
fn send(fleet: &Fleet, signal: ProcessSignal) {
    if !fleet.processes[TARGET].is_running.get() {
        return;
    }
    if let Err(error) = fleet.signal(TARGET, signal) {
        eprintln!("soak: signal not sent: {error}");
    }
}
