//! A soak of graceful shutdowns: one proxy of a fleet of real processes is asked to end while its clients go
//! on using the connections that they have, until it is killed at the earliest time that the platform allows.
//! Signals, faults and clients are drawn from a seed, and the invariant checker judges every request.

mod clients;
mod plan;
mod summary;

pub use plan::{Crowd, Habit, SoakPlan, TimedSignal, TERM_AT_MS};
pub use summary::SoakSummary;

use crate::coordination_fleet::CoordinationOptions;
use crate::fleet::{Fleet, FleetError, LinkEnds};
use crate::process_supervisor::ProcessSignal;
use crate::run::{run as run_scenario, Options, ScenarioRun, Script};
use clients::TARGET;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::time::sleep_until;

/// The replicas of a fleet whose instances coordinate.
const REPLICAS: usize = 3;
/// The watch on discovery fails this long before SIGTERM, in milliseconds.
const WATCH_FAULT_LEAD_MS: f64 = 200.0;

/// What a test does beside the soak, to see that the checker finds it.
pub type Sabotage = fn(Rc<Fleet>) -> std::pin::Pin<Box<dyn std::future::Future<Output = ()>>>;

/// Runs the soak of one seed on real processes of `program`.
///
/// # Errors
/// If processes, sockets or files can't be had, or a process does not become ready.
pub fn run(
    program: &Path,
    seed: u64,
    output_folder: Option<PathBuf>,
    sabotage: Option<Sabotage>,
) -> Result<ScenarioRun, FleetError> {
    let plan = SoakPlan::draw(seed);
    let scenario = plan.scenario().map_err(|error| FleetError::System {
        operation: format!("scenario of the soak with seed {seed}"),
        error: std::io::Error::other(error.to_string()),
    })?;
    let coordination =
        plan.coordination.then(|| CoordinationOptions { voters: REPLICAS, fleet_section: String::new() });
    let script: Script = Box::new(move |fleet| {
        Box::pin(async move {
            if let Some(sabotage) = sabotage {
                tokio::task::spawn_local(sabotage(fleet.clone()));
            }
            drive(fleet, plan).await;
        })
    });
    run_scenario(
        program,
        &scenario,
        seed,
        Options { script: Some(script), coordination, output_folder, ..Options::default() },
    )
}

/// Starts the clients, and sends the signals of a plan up to the kill.
async fn drive(fleet: Rc<Fleet>, plan: SoakPlan) {
    clients::start(&fleet, &plan);
    let watch = |ends: LinkEnds| matches!(ends, LinkEnds::ProxyToDiscovery { process: TARGET });
    if let Some(fault) = plan.watch_fault {
        sleep_until(fleet.history.instant(TERM_AT_MS - WATCH_FAULT_LEAD_MS)).await;
        fleet.set_fault(fault, watch);
    }
    for signal in &plan.signals {
        sleep_until(fleet.history.instant(TERM_AT_MS + signal.at_ms)).await;
        send(&fleet, signal.signal);
    }
    sleep_until(fleet.history.instant(plan.killed_at_ms())).await;
    send(&fleet, ProcessSignal::Kill);
}

fn send(fleet: &Fleet, signal: ProcessSignal) {
    if !fleet.processes[TARGET].is_running.get() {
        return;
    }
    if let Err(error) = fleet.signal(TARGET, signal) {
        eprintln!("the soak: {error}");
    }
}
