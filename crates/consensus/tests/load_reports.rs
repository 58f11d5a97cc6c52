//! The load that a lease holder derives from the reports of all instances.

use hillstall_consensus::load_reports::{LoadReport, LoadReports, SiteCounts};
use hillstall_lease::Instance;

const REPORT_PERIOD_MS: u32 = 500;

/// The reports of several instances, each of which sends a site one of these fractions of its usual traffic,
/// in thousandths.
fn reports(fractions: &[u16]) -> LoadReports {
    let mut reports = LoadReports::default();
    for (rank, fraction) in fractions.iter().enumerate() {
        let counts = SiteCounts { sent: 5, served: 5, fraction: *fraction, ..SiteCounts::default() };
        let report = LoadReport {
            instance: Some(Instance { rank: rank as u32, incarnation: 1 }),
            period_ms: REPORT_PERIOD_MS,
            sites: [("north".to_owned(), counts)].into(),
            ..LoadReport::default()
        };
        reports.record(0, report);
    }
    reports
}

// Guards against a site that is taken for restored, or for empty, when only a few instances have changed its
// traffic.
#[test]
fn three_in_four_instances_send_at_least_the_lower_fraction_and_at_most_the_upper() {
    let cases: [(&[u16], f64, f64); 5] = [
        (&[700], 0.7, 0.7),
        (&[0, 1_000], 0.0, 1.0),
        (&[0, 250, 500, 750], 0.25, 0.5),
        (&[0, 1_000, 1_000, 1_000], 1.0, 1.0),
        (&[0, 0, 1_000, 1_000, 1_000, 1_000, 1_000, 1_000], 1.0, 1.0),
    ];
    for (fractions, min_fraction, fraction) in cases {
        let mut reports = reports(fractions);
        assert_eq!(reports.min_fractions(0)["north"], min_fraction, "{fractions:?}");
        let load = reports.fleet_load(0).sites["north"];
        assert_eq!((load.min_fraction, load.fraction), (min_fraction, fraction), "{fractions:?}");
    }
}
