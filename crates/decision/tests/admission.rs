//! Admission control: one test for each known failure of the limiters and quotas.

mod common;
use common::*;
use hillstall_decision::*;

fn proxy_with_forty_backends(tier: u32) -> Proxy {
    Proxy::new(Settings { tier, ..settings() }, &backends(40))
}

#[test]
fn late_answers_reduce_the_limit_without_closing_the_limiter() {
    let mut p = proxy_with_forty_backends(0);
    p.run_rounds(6, 60, 3_000.0, Outcome::Ok);
    assert!(p.admitted(200) < 60, "late answers must reduce the limit");
    assert!(p.send_request(0, 0, 4_000.0).is_some(), "a request must be admitted once answers are timely");
}

#[test]
fn a_limit_that_was_reduced_far_rises_again() {
    // Guards against comparing the requests in flight after an outcome with the limit: a limit near 1 could
    // then never rise.
    let mut p = proxy_with_forty_backends(1);
    p.run_rounds(30, 1, 3_500.0, Outcome::Ok);
    for _ in 0..40 {
        let all = p.admitted(4);
        p.now += 50.0;
        if all == 4 {
            return;
        }
    }
    panic!("the limit stays low although all requests are answered in time");
}

#[test]
fn a_reduction_starts_from_the_recent_peak_in_flight() {
    // An instance with little traffic has at most one request in flight most of the time. A reduction from
    // that number instead of the recent peak would close the limiter.
    let mut p = proxy_with_forty_backends(1);
    p.run_rounds(3, 20, 100.0, Outcome::Ok);
    let slow: Vec<Sent> = (0..20).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
    p.now += 1_500.0;
    for sent in slow {
        p.end(sent, Outcome::Ok);
    }
    assert!(p.admitted(20) >= 5, "the limit fell to almost nothing after one slow round");
}

#[test]
fn late_answers_to_requests_sent_before_a_reduction_do_not_reduce_again() {
    // These late answers reflect the same overload as the one that caused the first reduction.
    let mut p = proxy_with_forty_backends(1);
    p.run_rounds(2, 40, 100.0, Outcome::Ok);
    let late: Vec<Sent> = (0..40).filter_map(|_| p.send_request(0, 0, 8_000.0)).collect();
    for sent in late {
        p.now += 100.0;
        p.end(sent, Outcome::Ok);
    }
    assert!(p.admitted(40) >= 15, "one overload reduced the limit more than once");
}

#[test]
fn one_failure_among_few_requests_does_not_reduce_the_limit() {
    let mut p = proxy_with_forty_backends(1);
    p.run_rounds(20, 2, 200.0, Outcome::Ok);
    p.run_rounds(1, 1, 200.0, Outcome::Error);
    assert_eq!(p.admitted(30), 30);
}

#[test]
fn failed_connections_do_not_reduce_the_limit() {
    let mut p = proxy_with_forty_backends(1);
    p.run_rounds(5, 4, 100.0, Outcome::Ok);
    p.run_rounds(10, 4, 100.0, Outcome::ConnectFailed);
    assert_eq!(p.admitted(30), 30, "failed connections to a partitioned zone must not reduce the limit");
}

#[test]
fn the_initial_limit_of_the_top_tier_depends_on_the_list_and_rises_with_timely_answers() {
    let top = Settings { fleet_size: 10, ..settings() };
    let mut p = Proxy::new(top.clone(), &backends(10));
    // Before the first answer, twice the limit is admitted.
    let first = p.admitted(1_000) / 2;
    assert!(first < 25, "an initial limit of {first}");
    for _ in 0..6 {
        p.admitted(1_000);
    }
    assert!(p.admitted(1_000) > 2 * first);
    let mut below = Proxy::new(Settings { tier: 1, ..top }, &backends(10));
    assert_eq!(
        below.admitted(300),
        300,
        "below the top tier a rejection wastes work, so the initial limit must not reject"
    );
}

fn with_two_tenants() -> Settings {
    let tenant = |fraction: f64| Tenant { fraction, ..tenant(20.0 * fraction) };
    Settings { tenants: vec![tenant(0.5), tenant(0.5)], ..settings() }
}

#[test]
fn a_new_instance_admits_little_beyond_a_quota() {
    let mut p = Proxy::new(with_two_tenants(), &backends(40));
    let sent = (0..100).filter(|_| p.send_request(0, 0, 4_000.0).is_some()).count();
    assert!(sent <= 25, "{sent} requests admitted with a quota of 10 a second");
    assert!(p.send_request(0, 1, 4_000.0).is_some(), "the other tenant is within its quota");
}

#[test]
fn unknown_tenants_are_served_without_a_quota() {
    let mut p = Proxy::new(with_two_tenants(), &backends(4));
    assert!(p.send_request(0, 99, 4_000.0).is_some());
}

#[test]
fn a_class_of_low_priority_is_shed_first_and_equal_classes_alike() {
    let served_ratio = |weights: [f64; 2]| {
        let classes = weights.map(|weight| Class {
            priority_weight: weight,
            ..class(RetrySafety::Idempotent, DedupScope::All)
        });
        let mut p = Proxy::new(Settings { tier: 0, classes: classes.to_vec(), ..settings() }, &backends(40));
        let mut served = [0.0, 0.0];
        // The baseline latency ratio must be known first, because lateness is judged against it.
        p.run_rounds(20, 4, 200.0, Outcome::Ok);
        for round in 0..40 {
            let send = |p: &mut Proxy, class: u8| p.send_request(class, 0, 4_000.0).map(|sent| (class, sent));
            let out: Vec<_> = (0..60).filter_map(|n| send(&mut p, u8::from(n % 6 > 0))).collect();
            p.now += 100.0 + 25.0 * out.len() as f64;
            for (class, sent) in out {
                served[usize::from(class)] += f64::from(u8::from(round > 20));
                p.end(sent, Outcome::Ok);
            }
        }
        (served[0] / 10.0) / (served[1] / 50.0).max(1e-9)
    };
    let (unequal, equal) = (served_ratio([20.0, 1.0]), served_ratio([1.0, 1.0]));
    assert!(
        unequal > 1.3 * equal,
        "weights of 20 to 1 are served {unequal:.2} to 1, equal weights {equal:.2} to 1"
    );
}

#[test]
fn classes_of_equal_weight_are_served_alike_whatever_their_objectives() {
    // Guards against classes that learn only from their own requests: a class with a long objective would
    // never look late, so that only the other one would be limited.
    let objectives = [1_000.0, 4_000.0];
    let classes = objectives.map(|objective_ms| Class {
        latency_objective_ms: objective_ms,
        ..class(RetrySafety::Idempotent, DedupScope::All)
    });
    let objective_weights = objective_weights(0.6, 0.1, 0.3);
    let mut p =
        Proxy::new(Settings { classes: classes.to_vec(), objective_weights, ..settings() }, &backends(40));
    let mut served = [0.0, 0.0];
    for round in 0..120 {
        let send = |p: &mut Proxy, class: u8| p.send_request(class, 0, 8_000.0).map(|sent| (class, sent));
        let out: Vec<_> = (0..120).filter_map(|n| send(&mut p, n % 2)).collect();
        p.now += 100.0 + 20.0 * out.len() as f64;
        for (class, sent) in out {
            served[usize::from(class)] += f64::from(u8::from(round > 60));
            p.end(sent, Outcome::Ok);
        }
    }
    let ratio = served[0] / served[1];
    assert!(
        ratio > 0.7 && ratio < 1.4,
        "{} requests served with the short objective, {} with the long one",
        served[0],
        served[1]
    );
}

#[test]
fn a_tenant_within_its_quota_does_not_exceed_it_by_random_clusters() {
    // The quota is 3 requests a second, and 2 a second arrive in clusters of 8. With a quota window of only
    // two seconds, half of each cluster would exceed the quota.
    let tenants = vec![tenant(3.0), tenant(3.0)];
    let mut p = Proxy::new(Settings { tenants, ..settings() }, &backends(40));
    p.now += 10_000.0;
    for cluster in 0..10 {
        // Four requests of the other tenant beyond its quota use up the burst capacity.
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
fn a_new_instance_does_not_admit_a_whole_quota_window_at_once() {
    let mut p = Proxy::new(with_two_tenants(), &backends(40));
    let sent = (0..400).filter(|_| p.send_request(0, 0, 4_000.0).is_some()).count();
    assert!(sent <= 20, "{sent} requests admitted at once with a quota of 10 a second");
}

#[test]
fn a_new_limit_rises_less_than_threefold_in_five_rounds() {
    // Guards against a fivefold load on the front tier within three seconds, before the first late answers
    // arrive.
    let mut p = Proxy::new(Settings { fleet_size: 40, ..settings() }, &backends(40));
    let before = p.admitted(10_000);
    p.run_rounds(4, 10_000, 100.0, Outcome::Ok);
    let after = p.admitted(10_000);
    assert!(
        after > before && after < 3 * before,
        "{before} requests admitted at the start, {after} five rounds later"
    );
}

#[test]
fn latencies_well_above_the_baseline_reduce_the_limit_even_within_the_objective() {
    let mut p = proxy_with_forty_backends(0);
    p.run_rounds(20, 300, 100.0, Outcome::Ok);
    let baseline = p.admitted(10_000);
    // Well within the objective of one second, but three times the baseline.
    p.run_rounds(20, 300, 300.0, Outcome::Ok);
    let congested = p.admitted(10_000);
    assert!(
        2 * congested < baseline,
        "{baseline} requests admitted at the baseline, {congested} when congested"
    );
    // Congestion alone leaves half of the initial limit, which is 320 here.
    p.run_rounds(60, 300, 300.0, Outcome::Ok);
    assert!(p.admitted(10_000) >= 160, "congestion reduced the limit below half of its initial value");
}

#[test]
fn a_backend_without_spare_cpu_does_not_raise_the_limit() {
    let admitted_with_cpu = |cpu: f32| {
        let report = vec![ReportField::PerSecond, ReportField::Cpu];
        let with_reports = Settings { report, report_via: ReportVia::Inline, ..settings() };
        let mut p = Proxy::new(with_reports, &backends(40));
        for _ in 0..10 {
            let out: Vec<Sent> = (0..10_000).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
            p.now += 200.0;
            for sent in out {
                let report = LoadReport { len: 2, values: [50.0, cpu, 0.0, 0.0] };
                let (request, attempt, backend) = (sent.request, sent.attempt, sent.backend);
                let (outcome, took_ms, ended) = (Outcome::Ok, 200.0, true);
                p.event(Event::Outcome { request, attempt, backend, outcome, took_ms, ended, report });
            }
        }
        p.admitted(10_000)
    };
    let (full, half, invalid) = (admitted_with_cpu(1.0), admitted_with_cpu(0.5), admitted_with_cpu(f32::NAN));
    assert_eq!(full, 320, "the initial limit is eight for each of 40 backends");
    assert!(half > 400, "{half} requests admitted with half of the CPU idle");
    assert_eq!(invalid, half, "a report of NaN must be ignored");
}

#[test]
fn limits_can_fall_below_one_request_per_instance() {
    // One request at each of hundreds of instances can be more than a small overloaded tier can serve.
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
    assert!(
        (1..60).contains(&sent),
        "{sent} of 100 instances in front of an overloaded tier admit a request"
    );
}

#[test]
fn clients_that_disconnect_late_reduce_the_limit_without_closing_the_limiter() {
    let disconnect_late = |p: &mut Proxy, rounds: usize| {
        for _ in 0..rounds {
            let out: Vec<Sent> = (0..300).filter_map(|_| p.send_request(0, 0, 4_000.0)).collect();
            // Close to the deadline: an early disconnect says little about the tier.
            p.now += 3_900.0;
            for sent in out {
                p.event(Event::ClientGone { request: sent.request });
                assert!(p.last.contains(&Action::Cancel { request: sent.request, attempt: sent.attempt }));
                p.event(attempt_ended(
                    sent.request,
                    sent.attempt,
                    sent.backend,
                    Outcome::Cancelled,
                    3_900.0,
                    true,
                ));
                assert!(p.last.iter().all(|a| matches!(a, Action::Log(_))), "{:?}", p.last);
            }
        }
    };
    let mut p = proxy_with_forty_backends(0);
    p.run_rounds(20, 300, 100.0, Outcome::Ok);
    let baseline = p.admitted(10_000);
    disconnect_late(&mut p, 20);
    let after = p.admitted(10_000);
    assert!(
        after < baseline / 2 && after > 0,
        "{baseline} requests admitted at the baseline, {after} after late disconnects"
    );
    // Below the top tier the client is another tier, whose cancellations say nothing about this one.
    let mut p = proxy_with_forty_backends(1);
    disconnect_late(&mut p, 20);
    assert_eq!(p.admitted(150), 150);
}

#[test]
fn the_initial_limit_is_eight_per_backend_with_at_least_one_backend_per_instance() {
    // Five per backend are too few: a single instance would reject a fifth of its requests in the first
    // seconds, even at low load. Without an allowance for random fluctuation, instances with little traffic
    // would reject their bursts. Before the first answer there is no evidence of an overload, so twice the
    // limit is admitted. `sparse_instances.rs` covers instances that outnumber the backends: there, four
    // requests at each of 400 instances are forty for each of 40 backends, all of which become slow.
    for (fleet_size, first) in [(1, 320), (40, 9)] {
        let mut p = Proxy::new(Settings { fleet_size, ..settings() }, &backends(40));
        let sent = p.admitted(1_000);
        assert!(
            (2 * first..=2 * first + 2).contains(&sent),
            "{sent} requests admitted at one of {fleet_size} instances"
        );
    }
}

#[test]
fn a_rejection_says_when_to_retry_where_permitted() {
    // Without advice, rejected clients retry immediately, while the limit is still reached.
    let retry_after_ms = |tier, retry_after| {
        let base = settings();
        let permissions = Permissions { retry_after, ..base.permissions.clone() };
        let mut p = Proxy::new(Settings { tier, permissions, ..base }, &[]);
        p.send_request(0, 0, 4_000.0);
        p.last.iter().find_map(|action| match action {
            Action::Reject { retry_after_ms, .. } => Some(*retry_after_ms),
            _ => None,
        })
    };
    assert!(retry_after_ms(0, true).is_some_and(|ms| ms > 0.0 && ms <= 2_000.0));
    assert_eq!(retry_after_ms(0, false), Some(0.0), "not permitted");
    assert_eq!(retry_after_ms(1, true), Some(0.0), "below the top tier, the callers do not wait");
}

#[test]
fn an_initial_limit_taken_from_an_old_list_rises_with_the_new_one() {
    // Guards against an instance that keeps the limit of its cached list of four backends, and so rejects
    // requests that all 40 backends could serve.
    let mut complete = proxy_with_forty_backends(0);
    complete.admitted(1);
    let mut p = Proxy::new(Settings { tier: 0, ..settings() }, &backends(4));
    assert!(p.admitted(10_000) < 80);
    p.list(ListKind::Full, &backends(40));
    assert!(p.admitted(10_000) >= complete.admitted(10_000));
}

#[test]
fn nothing_is_rejected_while_backends_answer_immediately() {
    // Guards against limiters that take the clock resolution for a queue: most requests of 64 clients were
    // then rejected although the backends answered immediately.
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
    // With a mean latency of 0.1 ms the attempt timeout would fall below 1 ms, and no answer could raise it
    // again.
    let mut p = proxy_with_forty_backends(0);
    p.run_rounds(50, 4, 0.1, Outcome::Ok);
    let sent = p.send_request(0, 0, 4_000.0).expect("admitted");
    assert!(sent.timeout_ms >= 10.0, "an attempt timeout of {} ms", sent.timeout_ms);
}

#[test]
fn a_part_of_the_limit_is_reserved_for_high_priority_classes() {
    let weight =
        |weight| Class { priority_weight: weight, ..class(RetrySafety::Idempotent, DedupScope::All) };
    let classes = vec![weight(2.0), weight(5.0)];
    let mut p = Proxy::new(Settings { classes, fleet_size: 50, ..settings() }, &backends(500));
    // Priorities are compared among classes with recent requests, so both need some.
    for class in [0, 1, 0, 1] {
        let sent = p.send_request(class, 0, 4_000.0).expect("admitted");
        p.now += 100.0;
        p.end(sent, Outcome::Ok);
    }
    let mut count_admitted =
        |class: u8| (0..400).filter(|_| p.send_request(class, 0, 4_000.0).is_some()).count();
    let (low, high) = (count_admitted(0), count_admitted(1));
    assert!(low > 40, "{low} of low priority admitted at an idle limiter");
    assert!(
        high > low / 2,
        "{high} of high priority admitted after {low} of low priority have filled their part of the limit"
    );
    assert_eq!(count_admitted(0), 0, "no more requests of low priority may be admitted");
}
