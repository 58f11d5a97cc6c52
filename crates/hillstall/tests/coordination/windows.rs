//! Maintenance windows: a site is empty before its maintenance begins and gets its traffic back afterwards,
//! also when processes fail meanwhile.

use crate::harness::{service_percent, wait_until_s};
use crate::scenario::{
    ensure, run_scenario, wait_until_settled, ScenarioRun, ScriptResult, BUSY_PREFIX, STEP_TIMEOUT,
};
use hillstall_fault_injection::fleet::{Fleet, LinkEnds};
use hillstall_fault_injection::process_supervisor::ProcessSignal;
use hillstall_fault_injection::tcp_proxy::Fault;
use std::cell::RefCell;
use std::future::Future;
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

/// Keys of the section `[fleet]` under which a window takes only seconds.
pub const SECTION: &str = "step = 25\nstep_wait = \"500ms\"\nholds = \"4s\"\nway_back = \"4s\"\n";
/// Limit of a wait for a stage of a window, which may take long on a busy machine.
pub const WINDOW_TIMEOUT: Duration = Duration::from_secs(25);
const SHIFT_LEASE: &str = "shift/zone-1";

/// Slots for the window scenarios that run at a time. A traffic shift waits while other sites serve badly,
/// which they do on an overloaded machine.
static SCENARIO_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT_SLOT: AtomicUsize = AtomicUsize::new(0);

/// Runs a scenario with maintenance windows, once a slot is free.
fn run_window_scenario<F: Future<Output = ScriptResult> + 'static>(
    script: impl Fn(Rc<Fleet>) -> F + Clone + 'static,
) -> ScenarioRun {
    let slot = &SCENARIO_SLOTS[NEXT_SLOT.fetch_add(1, Ordering::Relaxed) % SCENARIO_SLOTS.len()];
    let _guard = slot.lock().unwrap_or_else(PoisonError::into_inner);
    run_scenario("drill-window", 3, SECTION, script)
}

/// Waits until the list of windows contains `wanted`. A window that could not begin in time is an error with
/// [`BUSY_PREFIX`].
async fn wait_for_stage(fleet: &Fleet, wanted: &str) -> Result<String, String> {
    let late = |text: &str| text.contains("could not begin in time");
    let text = fleet
        .wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, |text| late(text) || text.contains(wanted))
        .await?;
    ensure(!late(&text), || format!("{BUSY_PREFIX}{text}"))?;
    Ok(text)
}

/// The time in `seconds` from now, as an operator writes it.
fn timestamp_in(seconds: u64) -> String {
    (jiff::Timestamp::now() + std::time::Duration::from_secs(seconds)).to_string()
}

/// Plans a window that begins in `in_s` seconds.
pub async fn plan_window(fleet: &Fleet, site: &str, in_s: u64, length_s: u64) -> Result<(), String> {
    // The baseline load is measured when the window is admitted, so requests must have been sent for a while.
    wait_until_s(&fleet.history, 3.0).await;
    let line = format!(
        "WINDOW PLAN {site} begin={} length={length_s}s lead={in_s}s latest=8s reserve=10",
        timestamp_in(in_s)
    );
    let text = fleet.admin_command(4, &line).await.unwrap_or_default();
    ensure(text.starts_with("200"), || format!("{line}: {text}"))
}

/// Number of attempts that reached some servers from one time to another, in milliseconds after the first
/// request.
fn attempts_at(run: &ScenarioRun, servers: &[usize], from: f64, to: f64) -> usize {
    let attempts = run.valid_run.0.observations.backend_attempts.iter();
    attempts
        .filter(|attempt| servers.contains(&attempt.server) && attempt.at >= from && attempt.at < to)
        .count()
}

#[test]
fn a_site_is_empty_before_its_window_begins_and_comes_back_after_it() {
    let times: Rc<RefCell<Vec<f64>>> = Rc::default();
    let servers: Rc<RefCell<Vec<usize>>> = Rc::default();
    let (stage_times, site_servers) = (times.clone(), servers.clone());
    let run = run_window_scenario(move |fleet| {
        let (stage_times, site_servers) = (stage_times.clone(), site_servers.clone());
        async move {
            stage_times.borrow_mut().clear();
            site_servers.replace(fleet.servers_of_zone(1));
            wait_until_settled(&fleet).await?;
            plan_window(&fleet, "zone-1", 9, 4).await?;
            wait_for_stage(&fleet, "zone-1 shifting").await?;
            stage_times.borrow_mut().push(fleet.history.now());
            wait_for_stage(&fleet, "zone-1 running").await?;
            stage_times.borrow_mut().push(fleet.history.now());
            wait_for_stage(&fleet, "zone-1 returning").await?;
            stage_times.borrow_mut().push(fleet.history.now());
            wait_for_stage(&fleet, "zone-1 done").await?;
            stage_times.borrow_mut().push(fleet.history.now());
            Ok(())
        }
    });
    let times = times.borrow();
    let [shifting, running, returning, done] = times[..] else { panic!("{times:?}") };
    let servers = servers.borrow();
    let rate = |from: f64, to: f64| attempts_at(&run, &servers, from, to) as f64 / (to - from) * 1e3;
    let (baseline, during) = (rate(1_000.0, shifting), rate(running, returning));
    println!(
        "baseline {baseline:.0} requests/s, {during:.2} during the window, {:.2} of it after; shift {:.0} ms, back within {:.0} ms; service {:.1}",
        rate(done, done + 2_000.0) / baseline,
        running - shifting,
        done - returning,
        service_percent(&run.valid_run)
    );
    assert!(baseline > 5.0, "the site gets too few requests before the window: {baseline}/s");
    assert!(during <= baseline * 0.005, "{during} requests/s during the window, baseline {baseline}/s");
    assert!(rate(done, done + 2_000.0) > baseline * 0.5, "the site has not got its load back");
    assert!(service_percent(&run.valid_run) > 85.0, "service is {:.1}", service_percent(&run.valid_run));
}

#[test]
fn a_window_goes_on_when_the_holder_of_its_shift_dies() {
    run_window_scenario(|fleet| async move {
        wait_until_settled(&fleet).await?;
        plan_window(&fleet, "zone-1", 9, 3).await?;
        wait_for_stage(&fleet, "zone-1 shifting").await?;
        let (first, token) = fleet.wait_for_lease_holder(SHIFT_LEASE, &[], STEP_TIMEOUT).await?;
        fleet.signal(first, ProcessSignal::Kill)?;
        let (_, newer) = fleet.wait_for_lease_holder(SHIFT_LEASE, &[first], STEP_TIMEOUT).await?;
        ensure(newer > token, || format!("the newer holder's token {newer} is not above {token}"))?;
        wait_for_stage(&fleet, "zone-1 running").await?;
        wait_for_stage(&fleet, "zone-1 done").await?;
        Ok(fleet.start_process(first).await?)
    });
}

#[test]
fn a_holder_that_was_suspended_in_a_shift_moves_nothing_when_resumed() {
    let run = run_window_scenario(|fleet| async move {
        wait_until_settled(&fleet).await?;
        plan_window(&fleet, "zone-1", 9, 3).await?;
        wait_for_stage(&fleet, "zone-1 shifting").await?;
        let (first, _) = fleet.wait_for_lease_holder(SHIFT_LEASE, &[], STEP_TIMEOUT).await?;
        fleet.signal(first, ProcessSignal::Stop)?;
        fleet.wait_for_lease_holder(SHIFT_LEASE, &[first], STEP_TIMEOUT).await?;
        wait_for_stage(&fleet, "zone-1 running").await?;
        // The resumed holder now sends the commands that it had queued.
        fleet.signal(first, ProcessSignal::Continue)?;
        wait_for_stage(&fleet, "zone-1 done").await.map(|_| ())
    });
    let tokens: std::collections::BTreeSet<u64> = run
        .audit_lines
        .iter()
        .filter(|audit_line| audit_line.lease == SHIFT_LEASE && audit_line.action == "carried out")
        .map(|audit_line| audit_line.token)
        .collect();
    assert!(tokens.len() >= 2, "fewer than two holders moved traffic: {tokens:?}");
}

#[test]
fn the_site_comes_back_when_another_is_lost_in_the_middle_of_the_shift() {
    run_window_scenario(|fleet| async move {
        wait_until_settled(&fleet).await?;
        plan_window(&fleet, "zone-1", 12, 6).await?;
        let partly_shifted = |text: &str| {
            text.lines().any(|line| line.contains("zone-1 shifting") && !line.contains("part=100%"))
        };
        fleet.wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, partly_shifted).await?;
        let servers = fleet.servers_of_zone(2);
        let lost = |ends: LinkEnds| matches!(ends, LinkEnds::ProxyToBackend { server, .. } if servers.contains(&server));
        fleet.set_fault(Fault::Reset, lost);
        let comes_back = |text: &str| {
            text.lines().any(|line| line.contains("zone-1 returning") || line.contains("zone-1 done"))
        };
        fleet.wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, comes_back).await?;
        fleet.set_fault(Fault::None, lost);
        let text = wait_for_stage(&fleet, "zone-1 done").await?;
        ensure(text.contains("why=incident"), || text.clone())
    });
}

#[test]
fn an_incident_postpones_windows_and_two_sites_are_never_away_at_once() {
    run_window_scenario(|fleet| async move {
        wait_until_settled(&fleet).await?;
        plan_window(&fleet, "zone-1", 8, 3).await?;
        plan_window(&fleet, "zone-2", 8, 3).await?;
        fleet
            .wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, |text| {
                text.contains("zone-1 shifting") || text.contains("zone-2 shifting")
            })
            .await?;
        let text =
            fleet.admin_command(3, "INCIDENT OPEN major fleet ann a bad feeling").await.unwrap_or_default();
        ensure(text.starts_with("200"), || text.clone())?;
        // The site that is shifting gets its traffic back, and neither window begins.
        let both_ended = |text: &str| {
            ["zone-1", "zone-2"].iter().all(|site| {
                text.lines().any(|line| {
                    line.contains(&format!("{site} done")) || line.contains(&format!("{site} postponed"))
                })
            })
        };
        let text = fleet.wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, both_ended).await?;
        ensure(text.contains("why="), || text.clone())
    });
}

#[test]
fn without_replicas_a_site_comes_back_by_itself() {
    run_window_scenario(|fleet| async move {
        wait_until_settled(&fleet).await?;
        plan_window(&fleet, "zone-1", 7, 60).await?;
        wait_for_stage(&fleet, "zone-1 running").await?;
        fleet.wait_for_answer(8, "FLEET", STEP_TIMEOUT, |text| text.contains("part zone-1 0.000")).await?;
        for replica in 0..3 {
            fleet.signal(replica, ProcessSignal::Kill)?;
        }
        // The traffic fraction stays in force for `holds`, and then rises over `way_back`.
        let partly_returned =
            |text: &str| text.contains("part zone-1 0.") && !text.contains("part zone-1 0.000");
        fleet.wait_for_answer(8, "FLEET", WINDOW_TIMEOUT, partly_returned).await?;
        fleet.wait_for_answer(8, "FLEET", WINDOW_TIMEOUT, |text| text.contains("part zone-1 1.000")).await?;
        for replica in 0..3 {
            fleet.start_process(replica).await?;
        }
        Ok(())
    });
}
