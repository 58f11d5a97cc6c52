//! What the limiters' failures were: one test for each, without the simulator.

mod common;
use common::*;
use hillstall_decision::*;

fn before_forty_backends(tier: u32) -> Proxy {
    Proxy::new(Settings { tier, ..settings() }, &backends(40))
}

#[test]
fn rejects_unsent_over_the_limit_once_answers_are_late() {
    let mut p = before_forty_backends(0);
    p.run_rounds(6, 60, 3_000.0, Outcome::Ok);
    assert!(p.admitted(200) < 60, "late answers must reduce the limit");
    assert!(p.send_request(0, 0, 4_000.0).is_some(), "room again once answers come in time");
}

#[test]
fn a_limit_that_was_reduced_far_rises_again() {
    // It once compared the requests left after an outcome with the limit, so a limit near 1 could never rise.
    let mut p = before_forty_backends(1);
    p.run_rounds(30, 1, 3_500.0, Outcome::Ok);
    for _ in 0..40 {
        let all = p.admitted(4);
        p.now += 50.0;
        if all == 4 {
            return;
        }
    }
    panic!("a limit that was reduced far stays low though all requests are answered in time");
}

#[test]
fn a_pause_before_a_reduction_does_not_close_the_limiter() {
    // A sparse instance has one request out at most moments: the reduction goes from the recent peak, not
    // from that.
    let mut p = before_forty_backends(1);
    p.run_rounds(3, 20, 100.0, Outcome::Ok);
    let slow: Vec<Sent> = (0..20).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
    p.now += 1_500.0;
    for sent in slow {
        p.end(sent, Outcome::Ok);
    }
    assert!(p.admitted(20) >= 5, "cut to almost nothing after one slow round");
}

#[test]
fn one_cause_reduces_a_limit_once() {
    // The late answers of requests sent before a reduction show the same overload: they must not reduce it
    // again.
    let mut p = before_forty_backends(1);
    p.run_rounds(2, 40, 100.0, Outcome::Ok);
    let jam: Vec<Sent> = (0..40).filter_map(|_| p.send_request(0, 0, 8_000.0)).collect();
    for sent in jam {
        p.now += 100.0;
        p.end(sent, Outcome::Ok);
    }
    assert!(p.admitted(40) >= 15, "one overload reduced the limit over and over");
}

#[test]
fn one_failure_among_few_requests_reduces_nothing() {
    let mut p = before_forty_backends(1);
    p.run_rounds(20, 2, 200.0, Outcome::Ok);
    p.run_rounds(1, 1, 200.0, Outcome::Error);
    assert_eq!(p.admitted(30), 30);
}

#[test]
fn failed_connections_are_no_sign_of_load() {
    let mut p = before_forty_backends(1);
    p.run_rounds(5, 4, 100.0, Outcome::Ok);
    p.run_rounds(10, 4, 100.0, Outcome::ConnectFailed);
    assert_eq!(
        p.admitted(30),
        30,
        "failed connections to a zone that is cut off must not reduce the limit of the rest"
    );
}

#[test]
fn the_initial_limit_at_the_top_comes_from_the_list_and_rises_while_answers_are_timely() {
    let top = Settings { fleet_size: 10, ..settings() };
    let mut p = Proxy::new(top.clone(), &backends(10));
    // Before the first answer it is twice the limit.
    let first = p.admitted(1_000) / 2;
    assert!(first < 25, "a limit of {first} at an instance that knows nothing yet");
    for _ in 0..6 {
        p.admitted(1_000);
    }
    assert!(p.admitted(1_000) > 2 * first);
    let mut below = Proxy::new(Settings { tier: 1, ..top }, &backends(10));
    assert_eq!(
        below.admitted(300),
        300,
        "below the top a rejection wastes work: the initial limit stays open"
    );
}

fn with_two_tenants() -> Settings {
    let tenant = |fraction: f64| Tenant { fraction, ..tenant(20.0 * fraction) };
    Settings { tenants: vec![tenant(0.5), tenant(0.5)], ..settings() }
}

#[test]
fn burst_capacity_must_be_proven() {
    let mut p = Proxy::new(with_two_tenants(), &backends(40));
    let sent = (0..100).filter(|_| p.send_request(0, 0, 4_000.0).is_some()).count();
    assert!(sent <= 25, "{sent} requests of a quota of 10 a second");
    assert!(p.send_request(0, 1, 4_000.0).is_some(), "the other tenant is within its quota");
}

#[test]
fn tenants_out_of_range_are_served_as_if_without_a_quota() {
    let mut p = Proxy::new(with_two_tenants(), &backends(4));
    assert!(p.send_request(0, 99, 4_000.0).is_some());
}

#[test]
fn a_class_of_low_priority_is_shed_first_and_equal_classes_alike() {
    let share = |weights: [f64; 2]| {
        let classes = weights.map(|weight| Class {
            priority_weight: weight,
            ..class(RetrySafety::Idempotent, DedupScope::All)
        });
        let mut p = Proxy::new(Settings { tier: 0, classes: classes.to_vec(), ..settings() }, &backends(40));
        let mut served = [0.0, 0.0];
        // What calm is has to be known: lateness is judged against it.
        p.run_rounds(20, 4, 200.0, Outcome::Ok);
        for round in 0..40 {
            let ask = |p: &mut Proxy, class: u8| p.send_request(class, 0, 4_000.0).map(|sent| (class, sent));
            let out: Vec<_> = (0..60).filter_map(|n| ask(&mut p, u8::from(n % 6 > 0))).collect();
            p.now += 100.0 + 25.0 * out.len() as f64;
            for (class, sent) in out {
                served[usize::from(class)] += f64::from(u8::from(round > 20));
                p.end(sent, Outcome::Ok);
            }
        }
        (served[0] / 10.0) / (served[1] / 50.0).max(1e-9)
    };
    let (apart, alike) = (share([20.0, 1.0]), share([1.0, 1.0]));
    assert!(apart > 1.3 * alike, "weight 20 to 1 served {apart:.2} to 1, equal weight {alike:.2} to 1");
}

#[test]
fn classes_of_equal_weight_are_served_alike_whatever_their_objectives() {
    // A class with a long objective never looked late by its own requests, so only the other one was limited.
    let objectives = [1_000.0, 4_000.0];
    let classes = objectives.map(|objective_ms| Class {
        latency_objective_ms: objective_ms,
        ..class(RetrySafety::Idempotent, DedupScope::All)
    });
    let objective = objective(0.6, 0.1, 0.3);
    let mut p = Proxy::new(Settings { classes: classes.to_vec(), objective, ..settings() }, &backends(40));
    let mut served = [0.0, 0.0];
    for round in 0..120 {
        let ask = |p: &mut Proxy, class: u8| p.send_request(class, 0, 8_000.0).map(|sent| (class, sent));
        let out: Vec<_> = (0..120).filter_map(|n| ask(&mut p, n % 2)).collect();
        p.now += 100.0 + 20.0 * out.len() as f64;
        for (class, sent) in out {
            served[usize::from(class)] += f64::from(u8::from(round > 60));
            p.end(sent, Outcome::Ok);
        }
    }
    let ratio = served[0] / served[1];
    assert!(
        ratio > 0.7 && ratio < 1.4,
        "short objective {} requests, long objective {}",
        served[0],
        served[1]
    );
}

#[test]
fn a_tenant_within_its_quota_does_not_exceed_it_by_random_clusters() {
    // A quota of 3 requests a second at this instance, and 2 a second asked in clusters of 8: a window of two
    // seconds took half of each cluster as over the quota.
    let tenants = vec![tenant(3.0), tenant(3.0)];
    let mut p = Proxy::new(Settings { tenants, ..settings() }, &backends(40));
    p.now += 10_000.0;
    for cluster in 0..10 {
        // Four requests of the other tenant beyond its quota use all the burst capacity there is.
        let others: Vec<Sent> = (0..40).filter_map(|_| p.send_request(0, 1, 4_000.0)).collect();
        let sent: Vec<Sent> = (0..8).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
        assert_eq!(sent.len(), 8, "cluster {cluster}");
        p.now += 300.0;
        others.into_iter().chain(sent).for_each(|sent| {
            p.end(sent, Outcome::Ok);
        });
        p.now += 3_700.0;
    }
}

#[test]
fn a_new_instance_does_not_admit_a_whole_window_of_one_tenant() {
    let mut p = Proxy::new(with_two_tenants(), &backends(40));
    let sent = (0..400).filter(|_| p.send_request(0, 0, 4_000.0).is_some()).count();
    assert!(sent <= 20, "{sent} requests at once of a quota of 10 a second");
}

#[test]
fn a_new_limit_does_not_double_each_round() {
    // The front of a tier once filled fivefold in three seconds, before the first late answer was in.
    let mut p = Proxy::new(Settings { fleet_size: 40, ..settings() }, &backends(40));
    let before = p.admitted(10_000);
    p.run_rounds(4, 10_000, 100.0, Outcome::Ok);
    let after = p.admitted(10_000);
    assert!(
        after > before && after < 3 * before,
        "{before} requests at the start, {after} five rounds later"
    );
}

#[test]
fn answers_much_slower_than_the_baseline_reduce_the_top_limit_though_they_are_in_time() {
    let mut p = before_forty_backends(0);
    p.run_rounds(20, 300, 100.0, Outcome::Ok);
    let baseline = p.admitted(10_000);
    // Well inside the limit by the objective of a second, and three times the baseline.
    p.run_rounds(20, 300, 300.0, Outcome::Ok);
    let crowded = p.admitted(10_000);
    assert!(2 * crowded < baseline, "{baseline} requests at the baseline, {crowded} when crowded");
    // Crowding alone leaves half of the initial limit, 320 here.
    p.run_rounds(60, 300, 300.0, Outcome::Ok);
    assert!(p.admitted(10_000) >= 160, "a crowded limiter was reduced to nothing");
}

#[test]
fn a_backend_without_spare_cpu_does_not_raise_the_limit() {
    let rise = |cpu: f32| {
        let report = vec![ReportField::PerSecond, ReportField::Cpu];
        let told = Settings { report, report_via: ReportVia::Inline, ..settings() };
        let mut p = Proxy::new(told, &backends(40));
        for _ in 0..10 {
            let out: Vec<Sent> = (0..10_000).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
            p.now += 200.0;
            for sent in out {
                let report = LoadReport { len: 2, values: [50.0, cpu, 0.0, 0.0] };
                let (request, attempt, backend) = (sent.request, sent.attempt, sent.to);
                let (outcome, took_ms, ended) = (Outcome::Ok, 200.0, true);
                p.event(Event::Outcome { request, attempt, backend, outcome, took_ms, ended, report });
            }
        }
        p.admitted(10_000)
    };
    let (full, half, odd) = (rise(1.0), rise(0.5), rise(f32::NAN));
    assert_eq!(full, 320, "the initial limit: eight for each of 40 backends");
    assert!(half > 400, "{half} requests with CPU to spare");
    assert_eq!(odd, half, "a report that is no number tells nothing");
}

#[test]
fn many_sparse_instances_can_go_below_one_request_per_instance() {
    // A whole request at each of hundreds of instances is more than a small overloaded tier can serve.
    let mut sent = 0;
    for rank in 0..100 {
        let mut p = Proxy::new(Settings { rank, fleet_size: 100, ..settings() }, &backends(4));
        p.balancer =
            hillstall_decision::Balancer::new(Settings { rank, fleet_size: 100, ..settings() }, rank.into());
        p.list(ListKind::Cached, &backends(4));
        p.run_rounds(40, 2, 3_500.0, Outcome::Ok);
        p.now += 100.0;
        sent += usize::from(p.send_request(0, 0, 4_000.0).is_some());
    }
    assert!((1..60).contains(&sent), "{sent} of 100 instances before an overloaded tier still send at once");
}

#[test]
fn clients_that_disconnect_reduce_the_limit_and_only_so_far() {
    let left = |p: &mut Proxy, rounds: usize| {
        for _ in 0..rounds {
            let out: Vec<Sent> = (0..300).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
            // Late in their time: one that leaves early says little of the tier.
            p.now += 3_900.0;
            for sent in out {
                p.event(Event::ClientGone { request: sent.request });
                assert!(p.last.contains(&Action::Cancel { request: sent.request, attempt: sent.attempt }));
                p.event(attempt_ended(
                    sent.request,
                    sent.attempt,
                    sent.to,
                    Outcome::Cancelled,
                    3_900.0,
                    true,
                ));
                assert!(p.last.iter().all(|a| matches!(a, Action::Log(_))), "{:?}", p.last);
            }
        }
    };
    let mut p = before_forty_backends(0);
    p.run_rounds(20, 300, 100.0, Outcome::Ok);
    let baseline = p.admitted(10_000);
    left(&mut p, 20);
    let after = p.admitted(10_000);
    assert!(
        after < baseline / 2 && after > 0,
        "{baseline} requests at the baseline, {after} after clients left"
    );
    // Below the top the leaving is the caller's, and says nothing of the tier.
    let mut p = before_forty_backends(1);
    left(&mut p, 20);
    assert_eq!(p.admitted(150), 150);
}

#[test]
fn the_initial_limit_is_eight_per_backend_where_instances_have_a_backend_of_their_own() {
    // With five a backend a lone instance rejected a fifth of a quiet day's first seconds; with eight and
    // nothing for chance sparse ones rejected their bursts. Before the first answer, twice as many: nothing
    // is known against it yet. What instances without a backend of their own start with is in
    // `sparse_instances.rs`: four requests at each of 400 instances were forty for each of 40 backends, and
    // all of them turned slow.
    for (fleet_size, first) in [(1, 320), (40, 9)] {
        let mut p = Proxy::new(Settings { fleet_size, ..settings() }, &backends(40));
        let sent = p.admitted(1_000);
        assert!(
            (2 * first..=2 * first + 2).contains(&sent),
            "{sent} requests at an instance of {fleet_size}"
        );
    }
}

#[test]
fn a_rejection_says_when_to_retry_where_permitted() {
    // Clients without advice came back at once, to a limit that had not changed.
    let told = |tier, retry_after| {
        let base = settings();
        let allowed = Permissions { retry_after, ..base.permissions.clone() };
        let mut p = Proxy::new(Settings { tier, permissions: allowed, ..base }, &[]);
        p.send_request(0, 0, 4_000.0);
        p.last.iter().find_map(|action| match action {
            Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
            _ => None,
        })
    };
    assert!(told(0, true).is_some_and(|ms| ms > 0.0 && ms <= 2_000.0));
    assert_eq!(told(0, false), Some(0.0), "not permitted");
    assert_eq!(told(1, true), Some(0.0), "further down nobody waits");
}

#[test]
fn an_initial_limit_taken_from_an_old_list_rises_with_the_new_one() {
    // A proxy that knew four of its backends stayed at the limit of four, and rejected what all of them could
    // do.
    let mut whole = before_forty_backends(0);
    whole.admitted(1);
    let mut p = Proxy::new(Settings { tier: 0, ..settings() }, &backends(4));
    assert!(p.admitted(10_000) < 80);
    p.list(ListKind::Full, &backends(40));
    assert!(p.admitted(10_000) >= whole.admitted(10_000));
}

#[test]
fn nothing_is_rejected_while_backends_answer_at_once() {
    // The limiters took the resolution of a clock for a queue: 64 clients of instant backends were mostly
    // rejected.
    let mut p = Proxy::new(Settings { tier: 0, ..settings() }, &backends(4));
    for round in 0..400 {
        let out: Vec<Sent> = (0..64).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
        assert_eq!(out.len(), 64, "rejected in round {round}");
        for (n, sent) in out.into_iter().enumerate() {
            p.now += if (n + round) % 7 == 0 { 0.2 } else { 0.01 };
            p.end(sent, Outcome::Ok);
        }
    }
}

#[test]
fn an_attempt_timeout_outlasts_a_short_pause() {
    // With a mean of a tenth of a millisecond the time for an attempt once fell to less than one, and no
    // answer could raise it again.
    let mut p = before_forty_backends(0);
    p.run_rounds(50, 4, 0.1, Outcome::Ok);
    let sent = p.send_request(0, 0, 4_000.0).expect("there is room");
    assert!(sent.timeout_ms >= 10.0, "given up after {} ms", sent.timeout_ms);
}

#[test]
fn low_priority_classes_leave_a_part_of_the_limit_to_the_others() {
    let weight =
        |weight| Class { priority_weight: weight, ..class(RetrySafety::Idempotent, DedupScope::All) };
    let classes = vec![weight(2.0), weight(5.0)];
    let mut p = Proxy::new(Settings { classes, fleet_size: 50, ..settings() }, &backends(500));
    // Both come, so that it is known which yields.
    for class in [0, 1, 0, 1] {
        let sent = p.send_request(class, 0, 4_000.0).expect("room");
        p.now += 100.0;
        p.end(sent, Outcome::Ok);
    }
    let mut admitted_requests =
        |class: u8| (0..400).filter(|_| p.send_request(class, 0, 4_000.0).is_some()).count();
    let (less, more) = (admitted_requests(0), admitted_requests(1));
    assert!(less > 40, "{less} of lower priority are admitted at an idle limiter");
    assert!(
        more > less / 2,
        "{more} of higher priority are admitted after {less} of less have filled their part"
    );
    assert_eq!(admitted_requests(0), 0, "the limiter is closed to them now");
}
