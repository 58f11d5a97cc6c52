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

// Guards against memory that grows with every new name: of sites in the reports of one instance, and of
// instances.
#[test]
fn reports_under_ever_new_names_take_bounded_memory() {
    /// Far above the number of names that are kept.
    const NAMES: u32 = 20_000;
    let report = |rank: u32, site: String| LoadReport {
        instance: Some(Instance { rank, incarnation: 1 }),
        period_ms: REPORT_PERIOD_MS,
        sites: [(site, SiteCounts::default())].into(),
        ..LoadReport::default()
    };
    let (mut by_site, mut by_rank) = (LoadReports::default(), LoadReports::default());
    for name in 0..NAMES {
        by_site.record(u64::from(name), report(1, format!("site-{name}")));
        by_site.fleet_load(u64::from(name));
        by_rank.record(0, report(name, "north".to_owned()));
    }
    // What is kept, as text, is far shorter than with all names.
    for (reports, max_length, what) in [(&by_rank, 2_500_000, "instances"), (&by_site, 100_000, "sites")] {
        let length = format!("{reports:?}").len();
        assert!(length < max_length, "{what}: {length} bytes as text");
    }
    let mut full = by_rank.clone();
    full.record(100_000, report(NAMES, "south".to_owned()));
    assert!(full.min_fractions(100_000).contains_key("south"), "expired reports make room");
}
