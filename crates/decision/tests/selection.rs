//! Backend selection: the subset that an instance draws from, and the weights of the draw.

mod common;
use common::*;
use hillstall_decision::*;
use std::collections::{BTreeMap, BTreeSet};

/// Sends `n` requests one after another and counts them by backend.
fn count_by_backend(p: &mut Proxy, n: usize) -> BTreeMap<BackendId, usize> {
    let mut counts = BTreeMap::new();
    for _ in 0..n {
        let sent = p.send_request(0, 0, 4_000.0).expect("sent");
        *counts.entry(sent.backend).or_default() += 1;
        p.now += 20.0;
        p.end(sent, Outcome::Ok);
    }
    counts
}

#[test]
fn an_instance_draws_from_a_subset_and_all_together_cover_the_tier() {
    // If every instance drew from all backends, the connection tables of the backends would fill up.
    let mut covered = BTreeSet::new();
    for rank in 0..50 {
        let mut p = Proxy::new(Settings { tier: 1, rank, fleet_size: 50, ..settings() }, &backends(60));
        let used = count_by_backend(&mut p, 200);
        assert!(used.len() <= 12, "instance {rank} uses {} of 60", used.len());
        covered.extend(used.into_keys());
    }
    assert_eq!(covered.len(), 60);
}

#[test]
fn with_a_price_on_cross_zone_attempts_remote_zones_get_only_overflow_and_failover() {
    let list: Vec<_> = (1..=6).map(|id| BackendInfo { zone: (id % 2) as u16, ..backend(id) }).collect();
    let mut priced = settings();
    priced.prices.cross_zone = 0.01;
    let mut p = Proxy::new(priced, &list);
    let count_cross_zone = |counts: &BTreeMap<BackendId, usize>| -> usize {
        counts.iter().filter(|(id, _)| *id % 2 == 1).map(|(_, n)| n).sum()
    };
    assert!(
        count_cross_zone(&count_by_backend(&mut p, 300)) < 30,
        "at low load the local zone takes the requests"
    );
    for _ in 0..60 {
        let mut next = p.send_request(0, 0, 4_000.0);
        while let Some(sent) = next {
            p.now += 5.0;
            let fails = sent.backend % 2 == 0;
            next = p.end(sent, if fails { Outcome::ConnectFailed } else { Outcome::Ok });
        }
    }
    let counts = {
        let mut counts = BTreeMap::new();
        for _ in 0..60 {
            let sent = p.send_request(0, 0, 4_000.0).expect("sent");
            *counts.entry(sent.backend).or_default() += 1usize;
            p.end(sent, if sent.backend.is_multiple_of(2) { Outcome::ConnectFailed } else { Outcome::Ok });
        }
        counts
    };
    assert!(
        count_cross_zone(&counts) > 40,
        "local zone down: {} of 60 first attempts went to the remote zone",
        count_cross_zone(&counts)
    );
}

#[test]
fn a_loaded_backend_gets_little_while_another_is_idle() {
    let mut p = Proxy::new(settings(), &backends(4));
    let mut out = BTreeMap::<BackendId, usize>::new();
    for _ in 0..16 {
        *out.entry(p.send_request(0, 0, 4_000.0).expect("sent").backend).or_default() += 1;
    }
    let max = out.values().max().expect("some");
    assert!(*max <= 6, "spread of 16 requests over 4 idle backends: {out:?}");
}

#[test]
fn a_slow_backend_gets_far_less_than_an_even_share() {
    let mut p = Proxy::new(settings(), &backends(4));
    let mut sent_to_slow = 0;
    for n in 0..400 {
        let sent = p.send_request(0, 0, 4_000.0).expect("sent");
        p.now += if sent.backend == 2 { 120.0 } else { 40.0 };
        sent_to_slow += usize::from(n >= 100 && sent.backend == 2);
        p.end(sent, Outcome::Ok);
    }
    assert!(
        (1..20).contains(&sent_to_slow),
        "{sent_to_slow} of 300 requests to a backend three times as slow as the others"
    );
}

#[test]
fn successes_of_other_classes_do_not_restore_a_backend_that_fails_one_class() {
    let classes = vec![class(RetrySafety::NonIdempotent, DedupScope::All); 2];
    let mut p = Proxy::new(Settings { classes, ..settings() }, &backends(4));
    let mut sent_to_failing = [0, 0];
    for n in 0..400 {
        let class = (n % 2) as u8;
        let sent = p.send_request(class, 0, 4_000.0).expect("sent");
        p.now += 20.0;
        let fails = sent.backend == 2 && class == 0;
        sent_to_failing[usize::from(class)] += usize::from(sent.backend == 2);
        p.end(sent, if fails { Outcome::Error } else { Outcome::Ok });
    }
    let [failing, served] = sent_to_failing;
    assert!(failing < 20, "{failing} of 200 requests of the class that it fails");
    assert!(served > 2 * failing, "{served} requests of the class that it serves, {failing} of the other");
}
