//! Measures takeover times and service during maintenance windows, for the page of measurements. Takes
//! minutes, so it is run on demand:
//! `cargo test -p hillstall --test coordination figures -- --ignored --nocapture --test-threads 1`.

use crate::harness::service_percent;
use crate::scenario::{
    elapsed_ms, inject_fault, run_scenario, wait_until_settled, COORDINATOR_LEASE, STEP_TIMEOUT,
};
use crate::windows::{plan_window, SECTION, WINDOW_TIMEOUT};
use hillstall_fault_injection::coordination_fleet::links_from;
use hillstall_fault_injection::process_supervisor::ProcessSignal;
use hillstall_fault_injection::tcp_proxy::Fault;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Instant;

/// Number of scenarios that run at a time.
const PARALLEL_SCENARIOS: usize = 3;
/// Number of times that [`PARALLEL_SCENARIOS`] scenarios are run.
const ROUNDS: usize = 3;

fn print_summary(name: &str, mut times_ms: Vec<u64>) {
    times_ms.sort_unstable();
    let quantile = |q: f64| times_ms.get(((times_ms.len() - 1) as f64 * q) as usize).copied().unwrap_or(0);
    println!(
        "{name}: {} times, median {} ms, worst {} ms: {times_ms:?}",
        times_ms.len(),
        quantile(0.5),
        quantile(1.0)
    );
}

/// Kills, suspends and cuts off the coordinator in turn, as long as the scenario sends requests. Returns each
/// fault with the time until the takeover, in milliseconds.
fn measure_takeovers() -> Vec<(&'static str, u64)> {
    let takeovers: Rc<RefCell<Vec<(&str, u64)>>> = Rc::default();
    let shared = takeovers.clone();
    run_scenario("drill-window", 3, "", move |fleet| {
        let takeovers = shared.clone();
        async move {
            takeovers.borrow_mut().clear();
            while fleet.history.now() < 18_000.0 {
                for fault in ["kill", "stop", "cut"] {
                    wait_until_settled(&fleet).await?;
                    let (first, _) =
                        fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[], STEP_TIMEOUT).await?;
                    let at = Instant::now();
                    match fault {
                        "kill" => fleet.signal(first, ProcessSignal::Kill)?,
                        "stop" => fleet.signal(first, ProcessSignal::Stop)?,
                        _ => inject_fault(&fleet, Fault::LoseFromClient, links_from(first))?,
                    }
                    fleet.wait_for_lease_holder(COORDINATOR_LEASE, &[first], STEP_TIMEOUT).await?;
                    takeovers.borrow_mut().push((fault, elapsed_ms(at)));
                    match fault {
                        "kill" => fleet.start_process(first).await?,
                        "stop" => fleet.signal(first, ProcessSignal::Continue)?,
                        _ => fleet.set_fault(Fault::None, links_from(first)),
                    }
                }
            }
            Ok(())
        }
    });
    takeovers.take()
}

#[test]
#[ignore = "a measurement that takes minutes"]
fn figures_of_takeovers() {
    let mut all = Vec::new();
    for _ in 0..ROUNDS {
        let threads: Vec<_> =
            (0..PARALLEL_SCENARIOS).map(|_| std::thread::spawn(measure_takeovers)).collect();
        all.extend(threads.into_iter().flat_map(|thread| thread.join().expect("a scenario")));
    }
    for fault in ["kill", "stop", "cut"] {
        print_summary(fault, all.iter().filter(|(other, _)| *other == fault).map(|(_, ms)| *ms).collect());
    }
}

/// Runs a scenario, with a maintenance window if `planned`. Returns the service in percent, and the time that
/// the site took to return, in milliseconds.
fn measure_window(section: &str, planned: bool) -> (f64, u64) {
    let return_ms: Rc<RefCell<u64>> = Rc::default();
    let shared = return_ms.clone();
    let section = section.to_owned();
    let run = run_scenario("drill-window", 3, &section, move |fleet| {
        let shared = shared.clone();
        async move {
            wait_until_settled(&fleet).await?;
            if planned {
                plan_window(&fleet, "zone-1", 9, 4).await?;
                fleet
                    .wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, |text| text.contains("zone-1 returning"))
                    .await?;
                let at = Instant::now();
                fleet
                    .wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, |text| text.contains("zone-1 done"))
                    .await?;
                shared.replace(elapsed_ms(at));
            }
            Ok(())
        }
    });
    let ms = *return_ms.borrow();
    (service_percent(&run.valid_run), ms)
}

#[test]
#[ignore = "a measurement that takes minutes"]
fn figures_of_windows() {
    let abrupt = "step = 100\nstep_wait = \"200ms\"\nholds = \"4s\"\nway_back = \"1s\"\nheard = 1\n";
    for (name, section, planned) in
        [("no window", SECTION, false), ("in steps", SECTION, true), ("at once", abrupt, true)]
    {
        let mut services = Vec::new();
        for _ in 0..2 {
            let threads: Vec<_> = (0..PARALLEL_SCENARIOS)
                .map(|_| std::thread::spawn(move || measure_window(section, planned)))
                .collect();
            services.extend(threads.into_iter().map(|thread| thread.join().expect("a scenario")));
        }
        let mean = services.iter().map(|(s, _)| s).sum::<f64>() / services.len() as f64;
        let return_ms: Vec<u64> = services.iter().map(|(_, ms)| *ms).collect();
        println!(
            "{name}: service {mean:.2}% over {} runs {services:.2?}, returned within {return_ms:?} ms",
            services.len()
        );
    }
}
