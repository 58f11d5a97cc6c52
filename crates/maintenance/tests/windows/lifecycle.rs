//! The lifecycle of windows together with permits and incidents.

use crate::common::plan;
use hillstall_change_freeze::rules::Severity;
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{FreezeCommand, FreezeState, Requester};
use hillstall_maintenance::windows::{WindowCommand, WindowError, Windows};
use hillstall_maintenance::FULL_TRAFFIC;

fn open_critical_incident(freeze: &mut FreezeState, site: &str) {
    freeze.apply(&FreezeCommand::OpenIncident {
        severity: Severity::Critical,
        scope: Scope::Site(site.into()),
        evidence: "lost".into(),
        opened_by: Requester::Coordinator(1),
    });
}

#[test]
fn one_site_is_shifted_at_a_time_and_an_incident_only_allows_restoring_traffic() {
    let (mut windows, mut freeze) = (Windows::default(), FreezeState::default());
    let mut apply = |command, freeze: &mut FreezeState| windows.apply(&command, freeze);
    for site in ["north", "south"] {
        apply(WindowCommand::Plan(plan(site)), &mut freeze).expect("planned");
    }
    apply(WindowCommand::Admit { window: 1, baseline_rate: 1 }, &mut freeze).expect("admitted");
    let other = apply(WindowCommand::Admit { window: 2, baseline_rate: 1 }, &mut freeze);
    assert_eq!(other, Err(WindowError::OtherSiteShifted(1)), "one site at a time");
    apply(WindowCommand::ReduceTraffic { window: 1, fraction: 500 }, &mut freeze).expect("reduced");

    open_critical_incident(&mut freeze, "south");
    let reduced = apply(WindowCommand::ReduceTraffic { window: 1, fraction: 400 }, &mut freeze);
    assert!(matches!(reduced, Err(WindowError::NoPermit(_))), "{reduced:?}");
    let reason = Some("south is lost".into());
    let restore = WindowCommand::RestoreTraffic { window: 1, fraction: FULL_TRAFFIC, reason };
    apply(restore, &mut freeze).expect("restored");
    apply(WindowCommand::Finish { window: 1 }, &mut freeze).expect("finished");
    let blocked = apply(WindowCommand::Admit { window: 2, baseline_rate: 1 }, &mut freeze);
    assert!(matches!(blocked, Err(WindowError::NoPermit(_))), "{blocked:?}");
    assert!(freeze.changes().is_empty(), "the blocked request is withdrawn and does not stay in the queue");
}
