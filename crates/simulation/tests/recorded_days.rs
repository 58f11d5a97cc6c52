//! Days in the form of the bench, made up here: what is read, what is passed over, what is refused.

use hillstall_simulation::experiment::run_recorded_day;
use hillstall_simulation::policy::PolicyName;
use serde_json::{json, Value};

/// One tier of two machines in two zones, one class, two tenants, at 0.4 of what the machines can do.
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

fn play(day: &Value) -> (hillstall_simulation::sim::RunSummary, Vec<String>) {
    let (mut summaries, unknown) =
        run_recorded_day(&day.to_string(), &[PolicyName::LeastOutstanding], &[1]).expect("a day");
    (summaries.remove(0), unknown)
}

#[test]
fn load_and_shape_are_those_of_the_file() {
    let (summary, unknown) = play(&day());
    // 5 core ms in a ms over 20 ms of work: 250 calls a second, of which 0.4, and twice that from 10 s on.
    assert!((2_800..3_200).contains(&summary.offered), "{}", summary.offered);
    let calls =
        |seconds: std::ops::Range<usize>| summary.seconds[seconds].iter().map(|s| s.offered).sum::<u64>();
    let (first, second) = (calls(0..10), calls(10..20));
    assert!((1.8..2.2).contains(&(second as f64 / first as f64)), "{first}, {second}");
    assert!(unknown.is_empty() && summary.service > 0.999, "{}", summary.service);
}

#[test]
fn worth_beyond_a_share_counts_in_part() {
    let (summary, _) = play(&day());
    let worth: f64 = summary.seconds.iter().map(|s| s.offered_weight).sum();
    // Tenant u asks for 75 a second on average and has a share of 5: 5 + 0.2 * 70, beside 75 of tenant t.
    let expected = 20.0 * (75.0 + 5.0 + 0.2 * 70.0);
    assert!((worth / expected - 1.0).abs() < 0.06, "{worth}, {expected}");
}

#[test]
fn a_crash_hits_the_machines_it_names_and_other_troubles_are_named() {
    let mut day = day();
    day["troubles"] = json!([
        {"kind": "crash", "at": 5_000_000, "len": 5_000_000, "tier": 0, "size": 0.0, "on": [1]},
        {"kind": "meteor", "at": 1, "len": 1},
    ]);
    let (summary, unknown) = play(&day);
    assert_eq!(unknown, ["meteor"]);
    let able = summary.seconds[7].capacity;
    // The machine at speed 1.5 is away: 1 of 2.5 is left.
    assert!((able - 0.4).abs() < 0.01, "{able}");
    assert!(summary.seconds[15].capacity > 0.99);
}

#[test]
fn what_is_no_day_is_refused() {
    let told = |day: &Value| {
        run_recorded_day(&day.to_string(), &[PolicyName::Random], &[1]).expect_err("no day").to_string()
    };
    let mut missing = day();
    missing.as_object_mut().expect("an object").remove("traffic");
    assert!(told(&missing).contains("traffic"), "{}", told(&missing));
    let mut nowhere = day();
    nowhere["servers"][0]["tier"] = json!(3);
    assert!(told(&nowhere).contains("servers"), "{}", told(&nowhere));
    let mut endless = day();
    endless["length"] = json!(1e300);
    assert!(told(&endless).contains("length"), "{}", told(&endless));
    assert!(run_recorded_day("{", &[PolicyName::Random], &[1]).is_err());
}
