//! What is no overload must not close a limiter: broken connections, clients that leave early, a tier that is
//! slow with little to do, and connections that are established late. An overload must, at once.

mod common;
use common::*;
use hillstall_decision::*;

/// Rounds of four requests, of which one ends as `end` does it and the others are served, all after `took`;
/// then how many requests are admitted at once.
fn admitted_requests(rounds: usize, took: Millis, end: impl Fn(&mut Proxy, Sent)) -> usize {
    let mut p = Proxy::new(settings(), &backends(4));
    for _ in 0..rounds {
        let mut out: Vec<Sent> = (0..4).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
        p.now += took;
        if let Some(sent) = out.pop() {
            end(&mut p, sent);
        }
        out.into_iter().for_each(|sent| served(&mut p, sent));
    }
    p.admitted(60)
}

fn ended(p: &mut Proxy, sent: Sent, outcome: Outcome) {
    p.event(attempt_ended(sent.request, sent.attempt, sent.to, outcome, p.now - sent.at, true));
}

fn served(p: &mut Proxy, sent: Sent) {
    ended(p, sent, Outcome::Ok);
}

fn left(p: &mut Proxy, sent: Sent) {
    p.event(Event::ClientGone { request: sent.request });
    ended(p, sent, Outcome::Cancelled);
}

#[test]
fn connections_that_break_early_close_no_limiter() {
    let (all, now) = (
        admitted_requests(60, 200.0, served),
        admitted_requests(60, 200.0, |p, s| ended(p, s, Outcome::Reset)),
    );
    assert!(now * 10 >= all * 9, "{now} of {all}");
}

#[test]
fn clients_that_disconnect_early_close_no_limiter_and_those_that_do_so_late_do() {
    let (all, now) = (admitted_requests(60, 200.0, served), admitted_requests(60, 200.0, left));
    assert!(now * 10 >= all * 9, "{now} of {all}");
    let late = admitted_requests(60, 1_000.0, left);
    assert!(
        late * 2 <= all,
        "{late} of {all} though one in four waits for all of the objective, and the others do so too"
    );
}

#[test]
fn a_tier_that_is_slow_at_low_load_is_not_limited_until_it_gets_slower() {
    let mut p = Proxy::new(settings(), &backends(4));
    p.run_rounds(60, 4, 700.0, Outcome::Ok);
    let mut crowd = Proxy::new(settings(), &backends(4));
    crowd.run_rounds(60, 4, 700.0, Outcome::Ok);
    crowd.run_rounds(12, 20, 1_400.0, Outcome::Ok);
    let (baseline, crowded) = (p.admitted(60), crowd.admitted(60));
    assert!(baseline >= 30, "{baseline} at seven tenths of the objective, with four requests out");
    assert!(crowded * 2 <= baseline, "{crowded} of {baseline} once answers are late");
}

#[test]
fn a_connection_that_is_established_late_is_no_loss_of_an_answering_backend() {
    let after = |first: Outcome| {
        let mut p = Proxy::new(settings(), &backends(10));
        let mut out: Vec<Sent> = (0..60).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
        // Of each backend the first request waits for its connection, while the others are answered.
        out.sort_by_key(|sent| (sent.to, sent.request));
        let mut waiting = out.clone();
        waiting.dedup_by_key(|sent| sent.to);
        p.now += 100.0;
        out.into_iter().filter(|sent| !waiting.contains(sent)).for_each(|sent| served(&mut p, sent));
        p.now += 100.0;
        waiting.into_iter().take(6).for_each(|sent| ended(&mut p, sent, first));
        p.now += 25.0;
        p.admitted(200)
    };
    let (all, now) = (after(Outcome::Ok), after(Outcome::ConnectFailed));
    assert!(now * 10 >= all * 9, "{now} of {all} though all backends answer");
}
