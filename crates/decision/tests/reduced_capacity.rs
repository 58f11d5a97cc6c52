//! Admission while a tier has lost a part of its capacity, and after the capacity is back.

mod common;
use common::*;
use hillstall_decision::*;

/// Returns an instance that has served requests from a complete tier, and how many requests it admits at
/// once.
fn instance_of_complete_tier() -> (Proxy, usize) {
    let mut p = Proxy::new(Settings { fleet_size: 10, ..settings() }, &backends(10));
    p.run_rounds(3, 4, 1_000.0, Outcome::Ok);
    let all = p.admitted(200);
    (p, all)
}

/// Submits `n` requests marked as retries at once and returns how many are admitted; they stay in flight.
fn retries_admitted(p: &mut Proxy, n: usize) -> usize {
    (0..n).filter(|_| p.send_request_marked(0, 0, 4_000.0, true).is_some()).count()
}

#[test]
fn admission_follows_the_list_at_once_in_both_directions() {
    let (mut p, all) = instance_of_complete_tier();
    p.now += 50.0;
    p.list(ListKind::Full, &backends(4));
    let reduced = p.admitted(200);
    assert!(
        reduced >= 1 && reduced as f64 <= 0.5 * all as f64,
        "{reduced} of {all} admitted with four backends of ten"
    );
    p.now += 50.0;
    p.list(ListKind::Full, &backends(10));
    let again = p.admitted(200);
    assert!(
        again as f64 >= 0.8 * all as f64 && again <= all + 3,
        "{again} of {all} admitted with all backends back"
    );
}

#[test]
fn admission_follows_unanswered_requests_before_the_list_changes() {
    let (mut p, all) = instance_of_complete_tier();
    // Six of ten backends do not accept connections; each of them is tried twice.
    for _ in 0..40 {
        let Some(sent) = p.send_request(0, 0, 4_000.0) else { break };
        p.now += 2.0;
        let mut next = Some(sent);
        while let Some(sent) = next {
            next = p.end(sent, if sent.backend > 4 { Outcome::ConnectFailed } else { Outcome::Ok });
        }
    }
    p.now += 25.0;
    let reduced = p.admitted(200);
    assert!(
        reduced as f64 <= 0.7 * all as f64,
        "{reduced} of {all} admitted with six of ten backends not answering"
    );
}

#[test]
fn backends_that_answer_with_errors_count_as_answering() {
    let (mut p, all) = instance_of_complete_tier();
    for _ in 0..30 {
        let Some(sent) = p.send_request(0, 0, 4_000.0) else { break };
        p.now += 2.0;
        p.end(sent, if sent.backend > 4 { Outcome::Error } else { Outcome::Ok });
    }
    p.now += 25.0;
    let reduced = p.admitted(200);
    assert!(
        reduced as f64 >= 0.7 * all as f64,
        "{reduced} of {all} admitted although all ten backends answer"
    );
}

#[test]
fn retries_and_requests_close_to_their_deadline_are_restricted_only_while_capacity_is_reduced() {
    let (mut p, all) = instance_of_complete_tier();
    assert!(
        p.send_request(0, 0, 300.0).is_some(),
        "the expected latency exceeds the deadline, but capacity is complete"
    );
    let (mut reduced, _) = instance_of_complete_tier();
    reduced.now += 50.0;
    reduced.list(ListKind::Full, &backends(5));
    assert!(
        reduced.send_request(0, 0, 300.0).is_none() && reduced.rejected(),
        "a request that cannot finish in time must not displace others"
    );
    let first = reduced.admitted(200);
    reduced.now += 50.0;
    let retries = retries_admitted(&mut reduced, 200);
    assert!(retries as f64 <= 0.7 * first as f64, "{retries} retries admitted, and {first} first attempts");
    assert!(
        retries_admitted(&mut p, 200) as f64 >= 0.7 * all as f64,
        "retries are not restricted while capacity is complete"
    );
}
