//! What an instance admits while a part of its tier is lost, and once that is back.

mod common;
use common::*;
use hillstall_decision::*;

/// An instance that has learned something, and what it admits at once.
fn instance_of_complete_tier() -> (Proxy, usize) {
    let mut p = Proxy::new(Settings { fleet_size: 10, ..settings() }, &backends(10));
    p.run_rounds(3, 4, 1_000.0, Outcome::Ok);
    let all = p.admitted(200);
    (p, all)
}

/// Requests that are admitted at once of `n`, all of them marked as retries; they are left open.
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
        "{reduced} of {all} with four backends of ten"
    );
    p.now += 50.0;
    p.list(ListKind::Full, &backends(10));
    let again = p.admitted(200);
    assert!(again as f64 >= 0.8 * all as f64 && again <= all + 3, "{again} of {all} once they are back");
}

#[test]
fn admission_follows_silence_long_before_the_list() {
    let (mut p, all) = instance_of_complete_tier();
    // Six of ten say nothing: each is seen twice.
    for _ in 0..40 {
        let Some(sent) = p.send_request(0, 0, 4_000.0) else { break };
        p.now += 2.0;
        let mut next = Some(sent);
        while let Some(sent) = next {
            next = p.end(sent, if sent.to > 4 { Outcome::ConnectFailed } else { Outcome::Ok });
        }
    }
    p.now += 25.0;
    let reduced = p.admitted(200);
    assert!(reduced as f64 <= 0.7 * all as f64, "{reduced} of {all} with six silent backends of ten");
}

#[test]
fn backends_that_answer_with_errors_are_not_lost() {
    let (mut p, all) = instance_of_complete_tier();
    for _ in 0..30 {
        let Some(sent) = p.send_request(0, 0, 4_000.0) else { break };
        p.now += 2.0;
        p.end(sent, if sent.to > 4 { Outcome::Error } else { Outcome::Ok });
    }
    p.now += 25.0;
    let reduced = p.admitted(200);
    assert!(reduced as f64 >= 0.7 * all as f64, "{reduced} of {all} though all ten answer");
}

#[test]
fn retries_wait_and_hopeless_requests_are_rejected_only_while_the_tier_is_short() {
    let (mut p, all) = instance_of_complete_tier();
    assert!(p.send_request(0, 0, 300.0).is_some(), "its answer takes a second, but there is room");
    let (mut short, _) = instance_of_complete_tier();
    short.now += 50.0;
    short.list(ListKind::Full, &backends(5));
    assert!(
        short.send_request(0, 0, 300.0).is_none() && short.rejected(),
        "it takes the place of one that can end"
    );
    let first = short.admitted(200);
    short.now += 50.0;
    let retries = retries_admitted(&mut short, 200);
    assert!(
        retries as f64 <= 0.7 * first as f64,
        "{retries} retries where {first} first attempts are admitted"
    );
    assert!(retries_admitted(&mut p, 200) as f64 >= 0.7 * all as f64, "a whole tier is open to retries");
}
