//! Instances that get many times the requests of the others: their limits follow their demand.

mod common;

use common::*;
use hillstall_decision::*;
use std::collections::VecDeque;

/// One of 50 instances before 50 backends, with an even part of 20 requests a second.
fn instance_of_fifty() -> Proxy {
    let tenants = [300.0, 300.0, 400.0].map(tenant).to_vec();
    Proxy::new(Settings { tenants, fleet_size: 50, marks_retry: true, ..settings() }, &backends(50))
}

fn ask(p: &mut Proxy, id: RequestId, is_retry: bool) -> Option<Sent> {
    p.send_request_marked(0, (id % 3) as u16, 4_000.0, is_retry)
}

/// So many requests a second for some seconds, each answered after 250 ms; the part that was rejected.
fn offer_load(p: &mut Proxy, ids: &mut RequestId, per_s: f64, seconds: f64, is_retry: bool) -> f64 {
    let mut out: VecDeque<Sent> = VecDeque::new();
    let calls = (per_s * seconds) as usize;
    let mut rejected = 0;
    for _ in 0..calls {
        let next = p.now + 1_000.0 / per_s;
        while let Some(sent) = out.front().copied().filter(|sent| sent.at + 250.0 <= next) {
            out.pop_front();
            p.now = p.now.max(sent.at + 250.0);
            p.end(sent, Outcome::Ok);
        }
        p.now = next;
        *ids += 1;
        match ask(p, *ids, is_retry) {
            Some(sent) => out.push_back(sent),
            None => rejected += 1,
        }
    }
    for sent in out {
        p.now = p.now.max(sent.at + 250.0);
        p.end(sent, Outcome::Ok);
    }
    rejected as f64 / calls as f64
}

/// How many of 1,000 requests in one instant it admits.
fn room(p: &mut Proxy, ids: &mut RequestId) -> usize {
    let out: Vec<Sent> = (0..1_000)
        .filter_map(|_| {
            *ids += 1;
            ask(p, *ids, false)
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
    // The first seconds after a shift count too.
    let at_first = offer_load(&mut p, &mut ids, 120.0, 3.0, false);
    let later = offer_load(&mut p, &mut ids, 120.0, 10.0, false);
    assert!(at_first < 0.35 && later < 0.1, "{at_first:.2} rejected in the first 3 s, {later:.2} then");
}

#[test]
fn an_instance_whose_demand_falls_retains_no_raised_limit() {
    let (mut common, mut ids) = (instance_of_fifty(), 0);
    offer_load(&mut common, &mut ids, 15.0, 20.0, false);
    let baseline = room(&mut common, &mut ids);
    let mut p = instance_of_fifty();
    offer_load(&mut p, &mut ids, 120.0, 10.0, false);
    let skewed = room(&mut p, &mut ids);
    offer_load(&mut p, &mut ids, 15.0, 10.0, false);
    let after_decline = room(&mut p, &mut ids);
    assert!(skewed > 3 * baseline, "room for {skewed} when hot, {baseline} usually");
    assert!(
        after_decline < 2 * baseline && 2 * after_decline < skewed,
        "room for {after_decline} when cooled down, {baseline} usually"
    );
}

#[test]
fn marked_retries_do_not_raise_limits() {
    let (mut p, mut ids) = (instance_of_fifty(), 0);
    offer_load(&mut p, &mut ids, 15.0, 5.0, false);
    let before = room(&mut p, &mut ids);
    p.now += 20_000.0;
    offer_load(&mut p, &mut ids, 120.0, 5.0, true);
    let after = room(&mut p, &mut ids);
    assert!(after < 2 * before, "{before} admitted, and {after} after a flood of retries");
}

#[test]
fn a_burst_that_crowds_the_tier_does_not_raise_limits_with_it() {
    // An instance can't see that all the others get the same burst, but the answers take longer.
    let (mut p, mut ids) = (instance_of_fifty(), 0);
    offer_load(&mut p, &mut ids, 15.0, 10.0, false);
    for _ in 0..6 {
        let out: Vec<Sent> = (0..60)
            .filter_map(|_| {
                ids += 1;
                ask(&mut p, ids, false)
            })
            .collect();
        p.now += 450.0;
        out.into_iter().for_each(|sent| {
            p.end(sent, Outcome::Ok);
        });
    }
    let crowded = room(&mut p, &mut ids);
    assert!(crowded < 14, "room for {crowded} at a crowded tier");
}
