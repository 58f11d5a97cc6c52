//! Steps of a traffic shift and admission of windows.

use crate::common::{plan, STARTS_AT_MS};
use hillstall_change_freeze::state::FreezeState;
use hillstall_maintenance::shift::{admission_blocker, FleetLoad, ShiftController, ShiftPacing, SiteLoad};
use hillstall_maintenance::windows::Stage::{Admitted, Done, Empty, Planned, Returning, Running, Shifting};
use hillstall_maintenance::windows::{WindowCommand, Windows};

/// A fleet load of these sites, each given as name, requests per second and utilization.
fn fleet_load(sites: &[(&str, f64, f64)]) -> FleetLoad {
    let load = |sent, utilization| SiteLoad {
        sent,
        baseline: sent,
        fraction: sent / 100.0,
        min_fraction: sent / 100.0,
        success_ratio: 1.0,
        utilization: Some(utilization),
    };
    let sites = sites.iter().map(|(name, sent, utilization)| (name.to_string(), load(*sent, *utilization)));
    FleetLoad { sites: sites.collect(), reporting_ratio: 1.0, blocker: None }
}

/// The fleet load while `north` gets this fraction of its traffic and `south` takes the rest.
fn load_during_shift(north_fraction: f64) -> FleetLoad {
    let south = 200.0 - 100.0 * north_fraction;
    fleet_load(&[("north", 100.0 * north_fraction, 0.5 * north_fraction), ("south", south, south / 270.0)])
}

#[test]
fn a_window_passes_all_stages_in_steps_that_keep_the_reserve() {
    let (mut windows, mut freeze) = (Windows::default(), FreezeState::default());
    windows.apply(&WindowCommand::Plan(plan("north")), &mut freeze).expect("planned");
    windows.apply(&WindowCommand::Plan(plan("north")), &mut freeze).expect("planned again");
    assert_eq!(windows.all().len(), 1);
    let (mut controller, pacing) = (ShiftController::default(), ShiftPacing::default());
    let mut stages = Vec::new();
    let mut empty_at = None;
    for now in (60_000..200_000).step_by(100) {
        let load = load_during_shift(f64::from(windows.all()[&1].fraction) / 1_000.0);
        let utilization = load.sites["south"].utilization.expect("reported");
        assert!(utilization <= 0.8, "the reserve is kept: {utilization}");
        let command = controller.next_command((now, now), (1, &windows.all()[&1]), &load, &pacing);
        if let Some(command) = command {
            windows.apply(&command, &mut freeze).unwrap_or_else(|error| panic!("{command:?}: {error}"));
        }
        let stage = windows.all()[&1].stage;
        if stages.last() != Some(&stage) {
            stages.push(stage);
        }
        if stage == Empty {
            empty_at.get_or_insert(now);
        }
    }
    assert_eq!(stages, [Planned, Admitted, Shifting, Empty, Running, Returning, Done]);
    let empty_at = empty_at.expect("the site was empty");
    assert!(empty_at < STARTS_AT_MS, "empty before the start: {empty_at}");
    assert!(freeze.changes().is_empty(), "the permit is returned");
}

#[test]
fn a_window_is_not_admitted_without_headroom_or_reports() {
    let pacing = ShiftPacing::default();
    let without_headroom = fleet_load(&[("north", 100.0, 0.7), ("south", 100.0, 0.7)]);
    assert!(admission_blocker(&plan("north"), &without_headroom, &pacing).is_some());
    let mut with_headroom = fleet_load(&[("north", 10.0, 0.1), ("south", 100.0, 0.2)]);
    assert!(admission_blocker(&plan("north"), &with_headroom, &pacing).is_none());
    with_headroom.reporting_ratio = 0.5;
    assert!(admission_blocker(&plan("north"), &with_headroom, &pacing).is_some());
}

#[test]
fn the_texts_of_admission_blockers_are_replicated_and_do_not_change() {
    let pacing = ShiftPacing::default();
    let text = |load: &FleetLoad| admission_blocker(&plan("north"), load, &pacing).map(|b| b.to_string());
    let enough = fleet_load(&[("north", 10.0, 0.1), ("south", 100.0, 0.2)]);

    let missing_reports = FleetLoad { reporting_ratio: 0.5, ..enough.clone() };
    assert_eq!(text(&missing_reports).as_deref(), Some("only 50% of the copies are heard of"));
    let incident = FleetLoad { blocker: Some("incident 7 is active".into()), ..enough.clone() };
    assert_eq!(text(&incident).as_deref(), Some("incident 7 is active"));
    let unknown = fleet_load(&[("south", 100.0, 0.2)]);
    assert_eq!(text(&unknown).as_deref(), Some("no copy reports anything of north"));
    let alone = fleet_load(&[("north", 10.0, 0.1)]);
    assert_eq!(text(&alone).as_deref(), Some("there is no other site"));
    let mut failing = enough.clone();
    failing.sites.get_mut("south").expect("a site").success_ratio = 0.75;
    assert_eq!(text(&failing).as_deref(), Some("south serves only 75% of its calls"));
    let without_headroom = fleet_load(&[("north", 100.0, 0.7), ("south", 70.0, 0.7)]);
    assert_eq!(
        text(&without_headroom).as_deref(),
        Some("the others can take 10 calls a second above their reserve, north has 100")
    );
}
