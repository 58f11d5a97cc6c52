//! Windows: a site is empty before its maintenance begins, and comes back, whoever dies meanwhile.

use crate::harness::{service, wait};
use crate::talking::{settled, sure, talk, Talked, Told, BUSY, SOON};
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
pub const LONG: Duration = Duration::from_secs(25);
const SHIFT: &str = "shift/zone-1";

/// Window drills that run side by side: a shift waits while the others serve badly, as they do on a machine that has too
/// little time for its processes.
static PLACES: [Mutex<()>; 2] = [Mutex::new(()), Mutex::new(())];
static NEXT: AtomicUsize = AtomicUsize::new(0);

/// A drill with windows.
fn windowed<F: Future<Output = Told> + 'static>(script: impl Fn(Rc<Fleet>) -> F + Clone + 'static) -> Talked {
    let place = &PLACES[NEXT.fetch_add(1, Ordering::Relaxed) % PLACES.len()];
    let _place = place.lock().unwrap_or_else(PoisonError::into_inner);
    talk("drill-window", 3, SECTION, script)
}

/// Waits until a site's window is where it is wanted. One that could not begin in time says that the machine was busy.
async fn stage(fleet: &Fleet, wanted: &str) -> Result<String, String> {
    let late = |text: &str| text.contains("could not begin in time");
    let text = fleet.until(5, "WINDOW", LONG, |text| late(text) || text.contains(wanted)).await?;
    sure(!late(&text), || format!("{BUSY}{text}"))?;
    Ok(text)
}

/// A moment in so many seconds, as people write it.
fn moment(seconds: u64) -> String {
    (jiff::Timestamp::now() + std::time::Duration::from_secs(seconds)).to_string()
}

pub async fn plan(fleet: &Fleet, site: &str, in_s: u64, length_s: u64) -> Result<(), String> {
    // What is usual is measured when a window is admitted, so calls must have come for a while.
    wait(&fleet.history, 3.0).await;
    let line = format!(
        "WINDOW PLAN {site} begin={} length={length_s}s lead={in_s}s latest=8s reserve=10",
        moment(in_s)
    );
    let text = fleet.line(4, &line).await.unwrap_or_default();
    sure(text.starts_with("200"), || format!("{line}: {text}"))
}

/// Attempts that reached some servers, by when (ms since calls began).
fn at_site(told: &Talked, servers: &[usize], from: f64, to: f64) -> usize {
    let hops = told.played.0.seen.hops.iter();
    hops.filter(|h| servers.contains(&h.server) && h.at >= from && h.at < to).count()
}

#[test]
fn a_site_is_empty_before_its_window_begins_and_comes_back_after_it() {
    let times: Rc<RefCell<Vec<f64>>> = Rc::default();
    let servers: Rc<RefCell<Vec<usize>>> = Rc::default();
    let (seen, of_site) = (times.clone(), servers.clone());
    let told = windowed(move |fleet| {
        let (seen, of_site) = (seen.clone(), of_site.clone());
        async move {
            seen.borrow_mut().clear();
            of_site.replace(fleet.servers_of_zone(1));
            settled(&fleet).await?;
            plan(&fleet, "zone-1", 9, 4).await?;
            stage(&fleet, "zone-1 shifting").await?;
            seen.borrow_mut().push(fleet.history.now());
            stage(&fleet, "zone-1 running").await?;
            seen.borrow_mut().push(fleet.history.now());
            stage(&fleet, "zone-1 returning").await?;
            seen.borrow_mut().push(fleet.history.now());
            stage(&fleet, "zone-1 done").await?;
            seen.borrow_mut().push(fleet.history.now());
            Ok(())
        }
    });
    let times = times.borrow();
    let [shift, running, back, done] = times[..] else { panic!("{times:?}") };
    let servers = servers.borrow();
    let a_second = |from: f64, to: f64| at_site(&told, &servers, from, to) as f64 / (to - from) * 1e3;
    let (usual, during) = (a_second(1_000.0, shift), a_second(running, back));
    println!(
        "usual {usual:.0} calls/s, {during:.2} during the window; shift {:.0} ms, back within {:.0} ms; service {:.1}",
        running - shift,
        done - back,
        service(&told.played)
    );
    assert!(usual > 5.0, "the site is used: {usual}");
    assert!(during <= usual * 0.005, "{during} calls a second at a site that is away, {usual} as usual");
    assert!(a_second(done, done + 2_000.0) > usual * 0.5, "it has its load again");
    assert!(service(&told.played) > 85.0, "service is {:.1}", service(&told.played));
}

#[test]
fn a_window_goes_on_when_the_owner_of_its_shift_dies() {
    windowed(|fleet| async move {
        settled(&fleet).await?;
        plan(&fleet, "zone-1", 9, 3).await?;
        stage(&fleet, "zone-1 shifting").await?;
        let (first, token) = fleet.new_owner(SHIFT, &[], SOON).await?;
        fleet.signal(first, ProcessSignal::Kill)?;
        let (_, newer) = fleet.new_owner(SHIFT, &[first], SOON).await?;
        sure(newer > token, || format!("{newer} after {token}"))?;
        stage(&fleet, "zone-1 running").await?;
        stage(&fleet, "zone-1 done").await?;
        Ok(fleet.start_process(first).await?)
    });
}

#[test]
fn an_owner_that_stood_still_in_a_shift_moves_nothing_when_it_goes_on() {
    let told = windowed(|fleet| async move {
        settled(&fleet).await?;
        plan(&fleet, "zone-1", 9, 3).await?;
        stage(&fleet, "zone-1 shifting").await?;
        let (first, _) = fleet.new_owner(SHIFT, &[], SOON).await?;
        fleet.signal(first, ProcessSignal::Stop)?;
        fleet.new_owner(SHIFT, &[first], SOON).await?;
        stage(&fleet, "zone-1 running").await?;
        // What it had in hand goes out now.
        fleet.signal(first, ProcessSignal::Go)?;
        stage(&fleet, "zone-1 done").await.map(|_| ())
    });
    let tokens: std::collections::BTreeSet<u64> =
        told.acts.iter().filter(|a| a.duty == SHIFT && a.what == "carried out").map(|a| a.token).collect();
    assert!(tokens.len() >= 2, "two owners gave orders: {tokens:?}");
}

#[test]
fn the_site_comes_back_when_another_is_lost_in_the_middle_of_the_shift() {
    windowed(|fleet| async move {
        settled(&fleet).await?;
        plan(&fleet, "zone-1", 12, 6).await?;
        let half =
            |text: &str| text.lines().any(|l| l.contains("zone-1 shifting") && !l.contains("part=100%"));
        fleet.until(5, "WINDOW", LONG, half).await?;
        let boxes = fleet.servers_of_zone(2);
        let lost =
            |ends: LinkEnds| matches!(ends, LinkEnds::Server { server, .. } if boxes.contains(&server));
        fleet.set(Fault::Reset, lost);
        let back =
            |text: &str| text.lines().any(|l| l.contains("zone-1 returning") || l.contains("zone-1 done"));
        fleet.until(5, "WINDOW", LONG, back).await?;
        fleet.set(Fault::None, lost);
        let text = stage(&fleet, "zone-1 done").await?;
        sure(text.contains("why=incident"), || text.clone())
    });
}

#[test]
fn an_incident_before_it_postpones_a_window_and_two_are_never_away() {
    windowed(|fleet| async move {
        settled(&fleet).await?;
        plan(&fleet, "zone-1", 8, 3).await?;
        plan(&fleet, "zone-2", 8, 3).await?;
        fleet
            .until(5, "WINDOW", LONG, |text| {
                text.contains("zone-1 shifting") || text.contains("zone-2 shifting")
            })
            .await?;
        let text = fleet.line(3, "INCIDENT OPEN major fleet ann a bad feeling").await.unwrap_or_default();
        sure(text.starts_with("200"), || text.clone())?;
        // The one that has begun comes back, and neither begins.
        let over = |text: &str| {
            ["zone-1", "zone-2"].iter().all(|site| {
                text.lines()
                    .any(|l| l.contains(&format!("{site} done")) || l.contains(&format!("{site} postponed")))
            })
        };
        let text = fleet.until(5, "WINDOW", LONG, over).await?;
        sure(text.contains("why="), || text.clone())
    });
}

#[test]
fn without_keepers_a_site_comes_back_by_itself() {
    windowed(|fleet| async move {
        settled(&fleet).await?;
        plan(&fleet, "zone-1", 7, 60).await?;
        stage(&fleet, "zone-1 running").await?;
        fleet.until(8, "FLEET", SOON, |text| text.contains("part zone-1 0.000")).await?;
        for keeper in 0..3 {
            fleet.signal(keeper, ProcessSignal::Kill)?;
        }
        // The order holds for its time, and then wears off at the stated pace.
        let on_the_way = |text: &str| text.contains("part zone-1 0.") && !text.contains("part zone-1 0.000");
        fleet.until(8, "FLEET", LONG, on_the_way).await?;
        fleet.until(8, "FLEET", LONG, |text| text.contains("part zone-1 1.000")).await?;
        for keeper in 0..3 {
            fleet.start_process(keeper).await?;
        }
        Ok(())
    });
}
