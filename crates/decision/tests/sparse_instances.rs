//! Many instances in front of few backends: the sum of what they admit must not exceed what the backends can
//! serve.

mod common;

use common::*;
use hillstall_decision::*;

const INSTANCES: u32 = 300;
const BACKENDS: u32 = 24;

/// Creates all instances of a fleet.
fn fleet() -> Vec<Proxy> {
    let instance =
        |rank| Proxy::new(Settings { rank, fleet_size: INSTANCES, ..settings() }, &backends(BACKENDS));
    (0..INSTANCES).map(instance).collect()
}

/// Submits `requests` requests at once at every instance. Returns the admitted requests per backend.
fn admitted_per_backend(fleet: &mut [Proxy], requests: usize) -> f64 {
    let sum: usize = fleet
        .iter_mut()
        .map(|p| {
            let out: Vec<Sent> = (0..requests).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
            out.iter().for_each(|sent| {
                p.end(*sent, Outcome::Cancelled);
            });
            out.len()
        })
        .sum();
    sum as f64 / f64::from(BACKENDS)
}

/// Sends `requests` requests one after another through every instance, each answered after `took`
/// milliseconds.
fn serve_sequentially(fleet: &mut [Proxy], requests: usize, took: Millis) {
    for p in fleet {
        for _ in 0..requests {
            // A rejected request is retried until it is admitted.
            let sent = (0..1_000)
                .find_map(|_| p.send_request(0, 0, 4_000.0))
                .expect("admitted within 1,000 attempts");
            p.now += took;
            p.end(sent, Outcome::Ok);
            p.now += 200.0;
        }
    }
}

#[test]
fn new_instances_together_admit_a_few_requests_per_backend() {
    let sum = admitted_per_backend(&mut fleet(), 20);
    assert!((6.0..=16.0).contains(&sum), "{sum:.1} requests admitted per backend");
}

#[test]
fn timely_answers_raise_the_sum_of_all_limits_only_slowly() {
    let mut fleet = fleet();
    serve_sequentially(&mut fleet, 1, 150.0);
    let (before, at_most) = (admitted_per_backend(&mut fleet, 1), admitted_per_backend(&mut fleet, 20));
    // Three seconds at three requests a second, all answered in time.
    serve_sequentially(&mut fleet, 9, 150.0);
    let (after, at_most_after) = (admitted_per_backend(&mut fleet, 1), admitted_per_backend(&mut fleet, 20));
    // With many requests submitted at once, hardly any instance admits a second one.
    assert!(
        at_most_after < 1.2 * at_most,
        "{at_most:.1} requests admitted per backend, then {at_most_after:.1}"
    );
    assert!(
        after > 1.1 * before,
        "the limits must still rise: {before:.1} requests admitted per backend, then {after:.1}"
    );
}

#[test]
fn a_few_late_answers_reduce_the_limits_of_instances_with_little_traffic() {
    let mut fleet = fleet();
    serve_sequentially(&mut fleet, 20, 150.0);
    let before = admitted_per_backend(&mut fleet, 1);
    // Later than the latency objective of 1 s. An instance with few requests a second gets few answers, so a
    // few late ones must be enough.
    serve_sequentially(&mut fleet, 4, 1_300.0);
    let after = admitted_per_backend(&mut fleet, 1);
    assert!(
        after < 0.8 * before,
        "{before:.1} requests admitted per backend before four late answers, {after:.1} after them"
    );
}

#[test]
fn instances_with_a_backend_of_their_own_start_with_the_full_limit() {
    let mut own = Proxy::new(Settings { fleet_size: 24, ..settings() }, &backends(24));
    let out = (0..40).filter(|_| own.send_request(0, 0, 4_000.0).is_some()).count();
    // A limit of nine requests, doubled until the first answer, and one more at random.
    assert!((18..=19).contains(&out), "{out} requests admitted before the first answer");
}

#[test]
fn a_tenant_with_an_unlimited_quota_never_exceeds_it() {
    for fleet_size in [1, BACKENDS] {
        let tenants = vec![tenant(f64::MAX)];
        let mut p = Proxy::new(Settings { tenants, fleet_size, ..settings() }, &backends(BACKENDS));
        for n in 0..50 {
            let sent = p
                .send_request(0, 0, 4_000.0)
                .unwrap_or_else(|| panic!("request {n} was rejected at one of {fleet_size} instances"));
            p.now += 100.0;
            p.end(sent, Outcome::Ok);
        }
    }
}
