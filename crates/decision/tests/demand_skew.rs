//! Demand skew: the limits of an instance that gets many times the requests of the others follow its demand.

mod common;

use common::*;
use hillstall_decision::*;
use std::collections::VecDeque;

/// One of 50 instances in front of 50 backends; an even share of the quotas is 20 requests a second.
fn instance_of_fifty() -> Proxy {
    let tenants = [300.0, 300.0, 400.0].map(tenant).to_vec();
    Proxy::new(Settings { tenants, fleet_size: 50, marks_retry: true, ..settings() }, &backends(50))
}

fn send_request(p: &mut Proxy, id: RequestId, is_retry: bool) -> Option<Sent> {
    p.send_request_marked(0, (id % 3) as u16, 4_000.0, is_retry)
}

/// Offers `per_s` requests a second for `seconds`, each answered after 250 ms. Returns the rejected fraction.
fn offer_load(p: &mut Proxy, ids: &mut RequestId, per_s: f64, seconds: f64, is_retry: bool) -> f64 {
    let mut out: VecDeque<Sent> = VecDeque::new();
    let requests = (per_s * seconds) as usize;
    let mut rejected = 0;
    for _ in 0..requests {
        let next = p.now + 1_000.0 / per_s;
        while let Some(sent) = out.front().copied().filter(|sent| sent.sent_at + 250.0 <= next) {
            out.pop_front();
            p.now = p.now.max(sent.sent_at + 250.0);
            p.end(sent, Outcome::Ok);
        }
        p.now = next;
        *ids += 1;
        match send_request(p, *ids, is_retry) {
            Some(sent) => out.push_back(sent),
            None => rejected += 1,
        }
    }
    for sent in out {
        p.now = p.now.max(sent.sent_at + 250.0);
        p.end(sent, Outcome::Ok);
    }
    rejected as f64 / requests as f64
}

/// Returns how many of 1,000 requests at one instant are admitted.
fn admitted_at_once(p: &mut Proxy, ids: &mut RequestId) -> usize {
    let out: Vec<Sent> = (0..1_000)
        .filter_map(|_| {
            *ids += 1;
            send_request(p, *ids, false)
        })
        .collect();
    out.iter().for_each(|sent| {
        p.end(*sent, Outcome::Cancelled);
    });
    out.len()
}

#[test]
fn an_instance_with_six_times_the_requests_rejects_few_of_them() {
    let (mut p, mut ids) = (instance_of_fifty(), 0);
    offer_load(&mut p, &mut ids, 15.0, 5.0, false);
    // The first seconds after the rise of demand have a bound of their own.
    let at_first = offer_load(&mut p, &mut ids, 120.0, 3.0, false);
    let later = offer_load(&mut p, &mut ids, 120.0, 10.0, false);
    assert!(at_first < 0.35 && later < 0.1, "{at_first:.2} rejected in the first 3 s, {later:.2} then");
}

#[test]
fn limits_fall_again_with_the_demand() {
    let (mut unskewed, mut ids) = (instance_of_fifty(), 0);
    offer_load(&mut unskewed, &mut ids, 15.0, 20.0, false);
    let baseline = admitted_at_once(&mut unskewed, &mut ids);
    let mut p = instance_of_fifty();
    offer_load(&mut p, &mut ids, 120.0, 10.0, false);
    let skewed = admitted_at_once(&mut p, &mut ids);
    offer_load(&mut p, &mut ids, 15.0, 10.0, false);
    let after_decline = admitted_at_once(&mut p, &mut ids);
    assert!(skewed > 3 * baseline, "{skewed} admitted with demand skew, {baseline} without");
    assert!(
        after_decline < 2 * baseline && 2 * after_decline < skewed,
        "{after_decline} admitted after the demand fell, {baseline} without demand skew"
    );
}

#[test]
fn marked_retries_do_not_raise_limits() {
    let (mut p, mut ids) = (instance_of_fifty(), 0);
    offer_load(&mut p, &mut ids, 15.0, 5.0, false);
    let before = admitted_at_once(&mut p, &mut ids);
    p.now += 20_000.0;
    offer_load(&mut p, &mut ids, 120.0, 5.0, true);
    let after = admitted_at_once(&mut p, &mut ids);
    assert!(after < 2 * before, "{before} admitted, then {after} after a burst of marked retries");
}

#[test]
fn a_burst_that_congests_the_tier_does_not_raise_limits_at_once() {
    // An instance does not know that all others get the same burst; it only sees that latencies rise.
    let (mut p, mut ids) = (instance_of_fifty(), 0);
    offer_load(&mut p, &mut ids, 15.0, 10.0, false);
    for _ in 0..6 {
        let out: Vec<Sent> = (0..60)
            .filter_map(|_| {
                ids += 1;
                send_request(&mut p, ids, false)
            })
            .collect();
        p.now += 450.0;
        out.into_iter().for_each(|sent| {
            p.end(sent, Outcome::Ok);
        });
    }
    let congested = admitted_at_once(&mut p, &mut ids);
    assert!(congested < 14, "{congested} admitted at a congested tier");
}
