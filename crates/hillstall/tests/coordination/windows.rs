//! Windows: a site is empty before its maintenance begins, and comes back, whoever dies meanwhile.

use crate::harness::{service, wait};
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

pub const SECTION: &str = "step = 25\nstep_wait = \"500ms\"\nholds = \"4s\"\nway_back = \"4s\"\n";
/// Whole windows take a while on a busy machine.
pub const WINDOW_TIMEOUT: Duration = Duration::from_secs(25);
const SHIFT_LEASE: &str = "shift/zone-1";

/// Slots for window scenarios that run at a time: a shift waits while other sites serve badly, as they do on an overloaded
/// machine.
static SCENARIO_SLOTS: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT_SLOT: AtomicUsize = AtomicUsize::new(0);

/// Runs a scenario with maintenance windows, once a slot is free.
fn run_window_scenario<F: Future<Output = ScriptResult> + 'static>(
    script: impl Fn(Rc<Fleet>) -> F + Clone + 'static,
) -> ScenarioRun {
    let place = &SCENARIO_SLOTS[NEXT_SLOT.fetch_add(1, Ordering::Relaxed) % SCENARIO_SLOTS.len()];
    let _place = place.lock().unwrap_or_else(PoisonError::into_inner);
    run_scenario("drill-window", 3, SECTION, script)
}

/// Waits until a site's window is in a stage. If it could not begin in time, the error says that the machine was busy.
async fn wait_for_stage(fleet: &Fleet, wanted: &str) -> Result<String, String> {
    let late = |text: &str| text.contains("could not begin in time");
    let text = fleet
        .wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, |text| late(text) || text.contains(wanted))
        .await?;
    ensure(!late(&text), || format!("{BUSY_PREFIX}{text}"))?;
    Ok(text)
}

/// The time in so many seconds, as an operator writes it.
fn timestamp_in(seconds: u64) -> String {
    (jiff::Timestamp::now() + std::time::Duration::from_secs(seconds)).to_string()
}

pub async fn plan_window(fleet: &Fleet, site: &str, in_s: u64, length_s: u64) -> Result<(), String> {
    // The baseline is measured when a window is admitted, so requests must have come for a while.
    wait(&fleet.history, 3.0).await;
    let line = format!(
        "WINDOW PLAN {site} begin={} length={length_s}s lead={in_s}s latest=8s reserve=10",
        timestamp_in(in_s)
    );
    let text = fleet.admin_command(4, &line).await.unwrap_or_default();
    ensure(text.starts_with("200"), || format!("{line}: {text}"))
}

/// Attempts that reached some servers, from one time to another (ms since requests began).
fn attempts_at(run: &ScenarioRun, servers: &[usize], from: f64, to: f64) -> usize {
    let hops = run.played.0.observations.backend_attempts.iter();
    hops.filter(|h| servers.contains(&h.server) && h.at >= from && h.at < to).count()
}

#[test]
fn a_site_is_empty_before_its_window_begins_and_comes_back_after_it() {
    let times: Rc<RefCell<Vec<f64>>> = Rc::default();
    let servers: Rc<RefCell<Vec<usize>>> = Rc::default();
    let (seen, site_servers) = (times.clone(), servers.clone());
    let run = run_window_scenario(move |fleet| {
        let (seen, site_servers) = (seen.clone(), site_servers.clone());
        async move {
            seen.borrow_mut().clear();
            site_servers.replace(fleet.servers_of_zone(1));
            wait_until_settled(&fleet).await?;
            plan_window(&fleet, "zone-1", 9, 4).await?;
            wait_for_stage(&fleet, "zone-1 shifting").await?;
            seen.borrow_mut().push(fleet.history.now());
            wait_for_stage(&fleet, "zone-1 running").await?;
            seen.borrow_mut().push(fleet.history.now());
            wait_for_stage(&fleet, "zone-1 returning").await?;
            seen.borrow_mut().push(fleet.history.now());
            wait_for_stage(&fleet, "zone-1 done").await?;
            seen.borrow_mut().push(fleet.history.now());
            Ok(())
        }
    });
    let times = times.borrow();
    let [shift, running, back, done] = times[..] else { panic!("{times:?}") };
    let servers = servers.borrow();
    let rate = |from: f64, to: f64| attempts_at(&run, &servers, from, to) as f64 / (to - from) * 1e3;
    let (baseline, during) = (rate(1_000.0, shift), rate(running, back));
    println!(
        "baseline {baseline:.0} requests/s, {during:.2} during the window, {:.2} of it after; shift {:.0} ms, back within {:.0} ms; service {:.1}",
        rate(done, done + 2_000.0) / baseline,
        running - shift,
        done - back,
        service(&run.played)
    );
    assert!(baseline > 5.0, "the site is used: {baseline}");
    assert!(
        during <= baseline * 0.005,
        "{during} requests a second at a site that is away, {baseline} as baseline"
    );
    assert!(rate(done, done + 2_000.0) > baseline * 0.5, "it has its load again");
    assert!(service(&run.played) > 85.0, "service is {:.1}", service(&run.played));
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
        ensure(newer > token, || format!("{newer} after {token}"))?;
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
        // Commands that it had queued go out now.
        fleet.signal(first, ProcessSignal::Continue)?;
        wait_for_stage(&fleet, "zone-1 done").await.map(|_| ())
    });
    let tokens: std::collections::BTreeSet<u64> = run
        .acts
        .iter()
        .filter(|a| a.lease == SHIFT_LEASE && a.action == "carried out")
        .map(|a| a.token)
        .collect();
    assert!(tokens.len() >= 2, "two owners gave orders: {tokens:?}");
}

#[test]
fn the_site_comes_back_when_another_is_lost_in_the_middle_of_the_shift() {
    run_window_scenario(|fleet| async move {
        wait_until_settled(&fleet).await?;
        plan_window(&fleet, "zone-1", 12, 6).await?;
        let half =
            |text: &str| text.lines().any(|l| l.contains("zone-1 shifting") && !l.contains("part=100%"));
        fleet.wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, half).await?;
        let servers = fleet.servers_of_zone(2);
        let lost = |ends: LinkEnds| matches!(ends, LinkEnds::ProxyToBackend { server, .. } if servers.contains(&server));
        fleet.set_fault(Fault::Reset, lost);
        let back =
            |text: &str| text.lines().any(|l| l.contains("zone-1 returning") || l.contains("zone-1 done"));
        fleet.wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, back).await?;
        fleet.set_fault(Fault::None, lost);
        let text = wait_for_stage(&fleet, "zone-1 done").await?;
        ensure(text.contains("why=incident"), || text.clone())
    });
}

#[test]
fn an_incident_before_it_postpones_a_window_and_two_are_never_away() {
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
        // The site that is shifting comes back, and neither window begins.
        let over = |text: &str| {
            ["zone-1", "zone-2"].iter().all(|site| {
                text.lines()
                    .any(|l| l.contains(&format!("{site} done")) || l.contains(&format!("{site} postponed")))
            })
        };
        let text = fleet.wait_for_answer(5, "WINDOW", WINDOW_TIMEOUT, over).await?;
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
        // The command is valid for its time, and then expires at the configured pace.
        let on_the_way = |text: &str| text.contains("part zone-1 0.") && !text.contains("part zone-1 0.000");
        fleet.wait_for_answer(8, "FLEET", WINDOW_TIMEOUT, on_the_way).await?;
        fleet.wait_for_answer(8, "FLEET", WINDOW_TIMEOUT, |text| text.contains("part zone-1 1.000")).await?;
        for replica in 0..3 {
            fleet.start_process(replica).await?;
        }
        Ok(())
    });
}
