//! Recorded days of the platform's simulator: which parts take effect, which are reported as unsupported, and
//! which files are rejected. The days are made up here.

use hillstall_simulation::experiment::run_recorded_day;
use hillstall_simulation::policy::PolicyName;
use serde_json::{json, Value};

/// A day with one tier of two machines in two zones, one class and two tenants, at 0.4 of the machines'
/// capacity.
fn day() -> Value {
    let server = |zone: usize, speed: f64| json!({"tier": 0, "zone": zone, "kind": 0, "speed": speed});
    json!({
        "v": 1, "length": 20_000_000, "zones": ["a", "b"], "front_notice": 0,
        "net": {"same": 100.0, "cross": 300.0, "client": 500.0, "jitter": 0.1},
        "traffic": {"load": 0.4, "shape": [[0.0, 1.0], [10.0, 2.0]], "zone_share": [0.5, 0.5], "over_share_worth": 0.2},
        "clients": {"retries": 1, "try_share": 1.0, "backoff": "none", "honour": 0.0},
        "discovery": {"notice": 500_000, "silent_notice": 500_000, "add": 500_000},
        "classes": [{"name": "c", "share": 1.0, "work": 20_000, "dist": "fixed", "cv": 0.0, "aim": 500_000,
            "deadline": 1_000_000, "worth": 1.0, "effect": "safe"}],
        "tenants": [{"name": "t", "traffic": 0.5, "quota": 1.0}, {"name": "u", "traffic": 0.5, "quota": 0.02}],
        "tiers": [{"name": "one", "calls": 1.0, "work": 1.0, "kinds": [{"cores": 2, "slots": 50, "queue": 50,
            "thrash": 0.0, "knee": 1000.0, "cold_from": 0.5, "cold": 1_000_000}]}],
        "servers": [server(0, 1.0), server(1, 1.5)],
        "balancers": [{"tier": 0, "zone": 0}, {"tier": 0, "zone": 1}],
        "troubles": [],
    })
}

fn run_day(day: &Value) -> (hillstall_simulation::sim::RunSummary, Vec<String>) {
    let (mut summaries, unsupported) =
        run_recorded_day(&day.to_string(), &[PolicyName::LeastOutstanding], &[1]).expect("a day");
    (summaries.remove(0), unsupported)
}

#[test]
fn load_and_its_profile_are_those_of_the_file() {
    let (summary, unsupported) = run_day(&day());
    // 5 core ms per ms over 20 ms of work are 250 requests per second; the load is 0.4 of that, and twice as
    // much from 10 s on.
    assert!((2_800..3_200).contains(&summary.offered), "{}", summary.offered);
    let offered =
        |seconds: std::ops::Range<usize>| summary.seconds[seconds].iter().map(|s| s.offered).sum::<u64>();
    let (first, second) = (offered(0..10), offered(10..20));
    assert!((1.8..2.2).contains(&(second as f64 / first as f64)), "{first}, {second}");
    assert!(unsupported.is_empty() && summary.service > 0.999, "{}", summary.service);
}

#[test]
fn weight_beyond_a_quota_counts_in_part() {
    let (summary, _) = run_day(&day());
    let weight: f64 = summary.seconds.iter().map(|s| s.offered_weight).sum();
    // Tenants t and u each send 75 requests per second on average. Tenant u has a quota of 5, so 5 + 0.2 * 70
    // count.
    let expected = 20.0 * (75.0 + 5.0 + 0.2 * 70.0);
    assert!((weight / expected - 1.0).abs() < 0.06, "{weight}, {expected}");
}

#[test]
fn a_crash_hits_the_machines_it_names_and_unsupported_kinds_are_reported() {
    let mut day = day();
    day["troubles"] = json!([
        {"kind": "crash", "at": 5_000_000, "len": 5_000_000, "tier": 0, "size": 0.0, "on": [1]},
        {"kind": "meteor", "at": 1, "len": 1},
    ]);
    let (summary, unsupported) = run_day(&day);
    assert_eq!(unsupported, ["meteor"]);
    let capacity = summary.seconds[7].capacity;
    // Without the machine at speed 1.5, a capacity of 1 in 2.5 is left.
    assert!((capacity - 0.4).abs() < 0.01, "{capacity}");
    assert!(summary.seconds[15].capacity > 0.99);
}

#[test]
fn invalid_days_are_rejected() {
    let error_of = |day: &Value| {
        run_recorded_day(&day.to_string(), &[PolicyName::Random], &[1]).expect_err("no day").to_string()
    };
    let mut missing = day();
    missing.as_object_mut().expect("an object").remove("traffic");
    assert!(error_of(&missing).contains("traffic"), "{}", error_of(&missing));
    let mut nowhere = day();
    nowhere["servers"][0]["tier"] = json!(3);
    assert!(error_of(&nowhere).contains("servers"), "{}", error_of(&nowhere));
    let mut endless = day();
    endless["length"] = json!(1e300);
    assert!(error_of(&endless).contains("length"), "{}", error_of(&endless));
    assert!(run_recorded_day("{", &[PolicyName::Random], &[1]).is_err());
}
