//! Broken connections, clients that disconnect early, a tier that is slow at low load, and slow connection
//! establishment are no overload and must not reduce the limits. Late answers at high load must reduce them.

mod common;
use common::*;
use hillstall_decision::*;

/// Runs rounds of four requests, which all end after `took`: `end` ends the last one of each round, and the
/// others are served. Returns how many requests are admitted at once afterwards.
fn admitted_requests(rounds: usize, took: Millis, end: impl Fn(&mut Proxy, Sent)) -> usize {
    let mut p = Proxy::new(settings(), &backends(4));
    for _ in 0..rounds {
        let mut out: Vec<Sent> = (0..4).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
        p.now += took;
        if let Some(sent) = out.pop() {
            end(&mut p, sent);
        }
        out.into_iter().for_each(|sent| finish(&mut p, sent));
    }
    p.admitted(60)
}

fn end_with(p: &mut Proxy, sent: Sent, outcome: Outcome) {
    p.event(attempt_ended(sent.request, sent.attempt, sent.backend, outcome, p.now - sent.sent_at, true));
}

fn finish(p: &mut Proxy, sent: Sent) {
    end_with(p, sent, Outcome::Ok);
}

fn disconnect(p: &mut Proxy, sent: Sent) {
    p.event(Event::ClientGone { request: sent.request });
    end_with(p, sent, Outcome::Cancelled);
}

#[test]
fn connections_that_break_early_reduce_no_limit() {
    let (all, now) = (
        admitted_requests(60, 200.0, finish),
        admitted_requests(60, 200.0, |p, s| end_with(p, s, Outcome::Reset)),
    );
    assert!(now * 10 >= all * 9, "{now} of {all} admitted");
}

#[test]
fn clients_that_disconnect_reduce_limits_only_if_they_waited_long() {
    let (all, now) = (admitted_requests(60, 200.0, finish), admitted_requests(60, 200.0, disconnect));
    assert!(now * 10 >= all * 9, "{now} of {all} admitted");
    let late = admitted_requests(60, 1_000.0, disconnect);
    assert!(
        late * 2 <= all,
        "{late} of {all} admitted although all requests took as long as the latency objective"
    );
}

#[test]
fn a_tier_that_is_slow_at_low_load_is_limited_only_when_it_gets_slower() {
    let mut p = Proxy::new(settings(), &backends(4));
    p.run_rounds(60, 4, 700.0, Outcome::Ok);
    let mut overloaded = Proxy::new(settings(), &backends(4));
    overloaded.run_rounds(60, 4, 700.0, Outcome::Ok);
    overloaded.run_rounds(12, 20, 1_400.0, Outcome::Ok);
    let (baseline, after_overload) = (p.admitted(60), overloaded.admitted(60));
    assert!(
        baseline >= 30,
        "{baseline} admitted with latencies of 0.7 times the objective at four requests in flight"
    );
    assert!(
        after_overload * 2 <= baseline,
        "{after_overload} of {baseline} admitted after late answers at high load"
    );
}

#[test]
fn slow_connection_establishment_at_answering_backends_is_no_capacity_loss() {
    let admitted_after = |first_outcome: Outcome| {
        let mut p = Proxy::new(settings(), &backends(10));
        let mut out: Vec<Sent> = (0..60).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
        // The first request to each backend waits for its connection while the others are answered.
        out.sort_by_key(|sent| (sent.backend, sent.request));
        let mut waiting = out.clone();
        waiting.dedup_by_key(|sent| sent.backend);
        p.now += 100.0;
        out.into_iter().filter(|sent| !waiting.contains(sent)).for_each(|sent| finish(&mut p, sent));
        p.now += 100.0;
        waiting.into_iter().take(6).for_each(|sent| end_with(&mut p, sent, first_outcome));
        p.now += 25.0;
        p.admitted(200)
    };
    let (all, now) = (admitted_after(Outcome::Ok), admitted_after(Outcome::ConnectFailed));
    assert!(now * 10 >= all * 9, "{now} of {all} admitted although all backends answer");
}
