//! Whole runs and experiments: runs are reproducible, keep the proxies' rules, and give all policies the same
//! requests.

use hillstall_simulation::experiment::{gain, grid, runs, Axis, Mean, SweepError};
use hillstall_simulation::policy::PolicyName;
use hillstall_simulation::report;
use hillstall_simulation::scenario::{Scenario, ScenarioError};
use hillstall_simulation::scenarios;
use hillstall_simulation::sim::{self, RunSummary};

fn bytes(summary: &RunSummary) -> String {
    serde_json::to_string(summary).expect("plain data")
}

#[test]
fn a_seed_is_reproducible_to_the_byte_and_another_differs() {
    // One scenario with two proxies, and one with many, each of which rejects a part of its requests.
    for name in ["lose-hall", "fleet-sum"] {
        let scenario = scenarios::find(name).expect("embedded");
        for policy in [PolicyName::Hillstall, PolicyName::TwoChoices] {
            let (a, b) = (sim::run(&scenario, policy, 3), sim::run(&scenario, policy, 3));
            assert_eq!(bytes(&a), bytes(&b), "{name} {}", policy.name());
            assert_ne!(bytes(&a), bytes(&sim::run(&scenario, policy, 4)));
        }
    }
}

#[test]
fn hillstall_keeps_the_rules_in_every_embedded_scenario() {
    for name in scenarios::names() {
        let scenario = scenarios::find(name).expect("embedded");
        let summary = sim::run(&scenario, PolicyName::Hillstall, 1);
        assert!(summary.offered > 500, "{name}: {} requests", summary.offered);
        assert_eq!((summary.late_sends, summary.response_errors), (0, 0), "{name}");
        let ended: u64 =
            summary.seconds.iter().map(|s| s.within_objective + s.late + s.rejected + s.failed).sum();
        assert_eq!(ended, summary.offered, "{name}: each request ends once");
    }
}

#[test]
fn policies_get_the_same_requests_and_the_order_of_results_is_fixed() {
    let scenario = scenarios::find("one-hangs").expect("embedded");
    let summaries = runs(&scenario, &[PolicyName::Random, PolicyName::Hillstall], &[1, 2], || {});
    let order: Vec<(&str, u64)> = summaries.iter().map(|run| (run.policy.as_str(), run.seed)).collect();
    assert_eq!(order, [("random", 1), ("random", 2), ("hillstall", 1), ("hillstall", 2)]);
    for seed in 0..2 {
        let offered = |run: &RunSummary| run.seconds.iter().map(|s| s.offered).collect::<Vec<_>>();
        assert_eq!(offered(&summaries[seed]), offered(&summaries[seed + 2]));
    }
}

#[test]
fn losing_a_zone_costs_capacity_until_its_machines_are_warm() {
    let scenario = scenarios::find("lose-hall").expect("embedded");
    let summary = sim::run(&scenario, PolicyName::Hillstall, 1);
    let capacity = |s: usize| summary.seconds[s].capacity;
    assert!(capacity(5) > 0.95 && (0.4..0.6).contains(&capacity(15)), "{} and {}", capacity(5), capacity(15));
    assert!(capacity(22) < 0.95, "the zone's machines must come back in slow start: {}", capacity(22));
}

#[test]
fn instances_with_many_times_the_traffic_do_not_reject_a_larger_part_than_the_others() {
    let scenario = scenarios::find("hot-copies").expect("embedded");
    for seed in 1..=3 {
        let summary = sim::run(&scenario, PolicyName::Hillstall, seed);
        let (hot, cool) = (summary.rejected_hot, summary.rejected_cool);
        assert!(
            hot <= 2.0 * cool + 0.05,
            "seed {seed}: {hot:.2} rejected by hot instances, {cool:.2} by cool ones"
        );
        assert!(summary.service > 0.95, "seed {seed}: service {:.3}", summary.service);
    }
}

#[test]
fn a_mean_has_the_confidence_interval_of_students_t() {
    let mean = Mean::of(&[1.0, 2.0, 3.0]);
    assert!((mean.mean - 2.0).abs() < 1e-12 && (mean.half_width - 2.4841).abs() < 1e-3, "{mean:?}");
    assert!(!mean.excludes_zero() && !Mean::of(&[5.0]).excludes_zero());
}

#[test]
fn a_policy_has_no_gain_over_itself() {
    let scenario = scenarios::find("one-hangs").expect("embedded");
    let summaries = runs(&scenario, &[PolicyName::Random], &[1, 2, 3], || {});
    assert_eq!(gain(&summaries, &summaries, |run| run.service), Mean { mean: 0.0, half_width: 0.0 });
}

#[test]
fn a_sweep_is_the_grid_of_its_axes() {
    let text = scenarios::text("one-hangs").expect("embedded");
    let axes: Vec<Axis> = ["load.of_capacity=0.3,0.5,0.7", "tier.0.servers=4,6", "clients.wait=10ms"]
        .map(|a| a.parse().expect("an axis"))
        .into();
    let cells = grid(text, &axes).expect("a grid");
    assert_eq!(cells.len(), 6);
    assert_eq!(cells[3].0, "load.of_capacity=0.5 tier.0.servers=6 clients.wait=\"10ms\"");
    let wrong = |axis: &str| grid(text, &[axis.parse().expect("an axis")]);
    assert!(matches!(wrong("tier.7.servers=1"), Err(SweepError::Key(_))));
    assert!(matches!(wrong("load.of_kapacity=1"), Err(SweepError::Scenario { .. })));
}

#[test]
fn errors_in_a_scenario_file_name_the_line_or_the_key() {
    let text = scenarios::text("lose-hall").expect("embedded");
    let error_of = |from: &str, to: &str| {
        let why = Scenario::parse(&text.replacen(from, to, 1)).expect_err("wrong");
        why.to_string()
    };
    let line =
        |part: &str| 1 + text.lines().position(|l| l.contains(part)).expect("the scenario has this line");
    let unknown = error_of("swing = 0.2", "swnig = 0.2");
    assert!(
        unknown.contains(&format!("line {}", line("swing = 0.2"))) && unknown.contains("swnig"),
        "{unknown}"
    );
    let time = error_of("aim = \"500ms\"", "aim = \"500 parsecs\"");
    assert!(
        time.contains("500 parsecs") && time.contains(&format!("line {}", line("aim = \"500ms\""))),
        "{time}"
    );
    let range = error_of("of_capacity = [0.38, 0.46]", "of_capacity = [0.5, 0.4]");
    assert!(range.contains("0.5 to 0.4"), "{range}");
    let endless = error_of("length = \"40s\"", "length = \"40y\"");
    assert!(endless.contains("length: ") && endless.contains("86400"), "{endless}");
    let crowd = error_of("servers = 12", "servers = 1e12");
    assert!(crowd.contains("tier[0].servers: "), "{crowd}");
    let zone = Scenario::parse(&text.replacen("zone = 1", "zone = 2", 1));
    assert!(
        matches!(zone, Err(ScenarioError::Invalid { ref key, .. }) if key == "failure[0].zone"),
        "{zone:?}"
    );
}

#[test]
fn a_report_has_its_table_and_plots() {
    let scenario = scenarios::find("one-hangs").expect("embedded");
    let groups = report::groups(runs(&scenario, &[PolicyName::Random, PolicyName::Oracle], &[1], || {}));
    let page = report::html("a <test>", &groups).expect("a page");
    assert_eq!(page.matches("<svg").count(), 6);
    assert!(page.contains("a &lt;test&gt;") && page.contains("<td>oracle</td>"));
    assert_eq!(report::table(&groups).lines().count(), 4);
}
