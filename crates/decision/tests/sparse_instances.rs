//! Many instances before few backends: what all of them admit adds up to what the backends can serve.

mod common;

use common::*;
use hillstall_decision::*;

const INSTANCES: u32 = 300;
const BACKENDS: u32 = 24;

/// All instances of a fleet.
fn fleet() -> Vec<Proxy> {
    let copy = |rank| Proxy::new(Settings { rank, fleet_size: INSTANCES, ..settings() }, &backends(BACKENDS));
    (0..INSTANCES).map(copy).collect()
}

/// Requests for each backend that all instances admit at one moment, each asked for so many.
fn admitted_requests(fleet: &mut [Proxy], each: usize) -> f64 {
    let sum: usize = fleet
        .iter_mut()
        .map(|p| {
            let out: Vec<Sent> = (0..each).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
            out.iter().for_each(|sent| {
                p.end(*sent, Outcome::Cancelled);
            });
            out.len()
        })
        .sum();
    sum as f64 / f64::from(BACKENDS)
}

/// Every instance is asked for so many requests, one after another, each answered after a while.
fn serve_sequentially(fleet: &mut [Proxy], calls: usize, took: Millis) {
    for p in fleet {
        for _ in 0..calls {
            // Rejected ones are sent again until one is admitted.
            let sent = (0..1_000)
                .find_map(|_| p.send_request(0, 0, 4_000.0))
                .expect("a limiter is never closed for good");
            p.now += took;
            p.end(sent, Outcome::Ok);
            p.now += 200.0;
        }
    }
}

#[test]
fn what_new_instances_admit_adds_up_to_a_few_requests_per_backend() {
    let sum = admitted_requests(&mut fleet(), 20);
    assert!((6.0..=16.0).contains(&sum), "{sum:.1} requests for each backend");
}

#[test]
fn timely_answers_do_not_raise_the_sum_faster_than_late_ones_can_show_it() {
    let mut fleet = fleet();
    serve_sequentially(&mut fleet, 1, 150.0);
    let (before, at_most) = (admitted_requests(&mut fleet, 1), admitted_requests(&mut fleet, 20));
    // Three seconds at three requests a second: all of them in time.
    serve_sequentially(&mut fleet, 9, 150.0);
    let (after, at_most_after) = (admitted_requests(&mut fleet, 1), admitted_requests(&mut fleet, 20));
    // However often an instance is asked, no second request is admitted beside the first.
    assert!(at_most_after < 1.2 * at_most, "{at_most:.1} requests for each backend, then {at_most_after:.1}");
    assert!(after > 1.1 * before, "and yet it rises: {before:.1}, {after:.1}");
}

#[test]
fn a_sparse_instance_learns_of_an_overload_from_a_few_answers() {
    let mut fleet = fleet();
    serve_sequentially(&mut fleet, 20, 150.0);
    let before = admitted_requests(&mut fleet, 1);
    // Beyond the objective of 1 s; with few requests a second each answer is a second's worth of information.
    serve_sequentially(&mut fleet, 4, 1_300.0);
    let after = admitted_requests(&mut fleet, 1);
    assert!(
        after < 0.8 * before,
        "{before:.1} requests for each backend, {after:.1} after four late answers"
    );
}

#[test]
fn instances_with_a_backend_of_their_own_start_with_the_full_limit() {
    let mut own = Proxy::new(Settings { fleet_size: 24, ..settings() }, &backends(24));
    let out = (0..40).filter(|_| own.send_request(0, 0, 4_000.0).is_some()).count();
    // Nine requests, twice of that while nothing was answered, and a part at random.
    assert!((18..=19).contains(&out), "{out}");
}

#[test]
fn a_tenant_without_a_bound_never_exceeds_its_quota() {
    for fleet_size in [1, BACKENDS] {
        let tenants = vec![tenant(f64::MAX)];
        let mut p = Proxy::new(Settings { tenants, fleet_size, ..settings() }, &backends(BACKENDS));
        for n in 0..50 {
            let sent = p
                .send_request(0, 0, 4_000.0)
                .unwrap_or_else(|| panic!("request {n} at one of {fleet_size} is rejected"));
            p.now += 100.0;
            p.end(sent, Outcome::Ok);
        }
    }
}
