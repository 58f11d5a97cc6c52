//! Samples of maintenance windows and their commands.

use super::{each_variant, Sample};
use hillstall_maintenance::windows::{OverrunPolicy, Stage, Window, WindowCommand, WindowError, WindowPlan};

/// A plan of a window at this site.
pub fn plan(site: &str, starts_at: u64, overrun_policy: OverrunPolicy) -> WindowPlan {
    WindowPlan {
        site: site.into(),
        starts_at,
        duration: 3_600_001,
        lead_time: 600_002,
        max_delay: 300_003,
        reserve_percent: 25,
        overrun_policy,
    }
}

/// The samples of this module.
#[allow(clippy::too_many_lines, reason = "one literal of each variant")]
pub fn samples() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, WindowCommand {
        "maintenance/command/plan": WindowCommand::Plan(_) =>
            WindowCommand::Plan(plan("north", 1_777_680_000_123, OverrunPolicy::Return)),
        "maintenance/command/cancel": WindowCommand::Cancel { .. } => WindowCommand::Cancel { window: 501 },
        "maintenance/command/end": WindowCommand::End { .. } => WindowCommand::End { window: 502 },
        "maintenance/command/admit": WindowCommand::Admit { .. } =>
            WindowCommand::Admit { window: 503, baseline_rate: 504_000 },
        "maintenance/command/postpone": WindowCommand::Postpone { .. } =>
            WindowCommand::Postpone { window: 505, reason: "too late".into() },
        "maintenance/command/reduce-traffic": WindowCommand::ReduceTraffic { .. } => WindowCommand::ReduceTraffic { window: 506, fraction: 875 },
        "maintenance/command/mark-empty": WindowCommand::MarkEmpty { .. } => WindowCommand::MarkEmpty { window: 507 },
        "maintenance/command/begin": WindowCommand::Begin { .. } => WindowCommand::Begin { window: 508 },
        "maintenance/command/mark-overrun": WindowCommand::MarkOverrun { .. } => WindowCommand::MarkOverrun { window: 509 },
        "maintenance/command/restore-traffic": WindowCommand::RestoreTraffic { .. } =>
            WindowCommand::RestoreTraffic { window: 510, fraction: 625, reason: Some("an incident".into()) },
        "maintenance/command/finish": WindowCommand::Finish { .. } => WindowCommand::Finish { window: 511 },
    });
    let returned_in_time = WindowCommand::RestoreTraffic { window: 512, fraction: 750, reason: None };
    samples.push(Sample::of("maintenance/command/restore-traffic-in-time", returned_in_time));
    samples.extend(each_variant!(Sample::of, OverrunPolicy {
        "maintenance/overrun/hold": OverrunPolicy::Hold => OverrunPolicy::Hold,
        "maintenance/overrun/return": OverrunPolicy::Return => OverrunPolicy::Return,
    }));
    samples.extend(each_variant!(Sample::of, Stage {
        "maintenance/stage/planned": Stage::Planned => Stage::Planned,
        "maintenance/stage/admitted": Stage::Admitted => Stage::Admitted,
        "maintenance/stage/shifting": Stage::Shifting => Stage::Shifting,
        "maintenance/stage/empty": Stage::Empty => Stage::Empty,
        "maintenance/stage/running": Stage::Running => Stage::Running,
        "maintenance/stage/returning": Stage::Returning => Stage::Returning,
        "maintenance/stage/done": Stage::Done => Stage::Done,
        "maintenance/stage/postponed": Stage::Postponed => Stage::Postponed,
        "maintenance/stage/cancelled": Stage::Cancelled => Stage::Cancelled,
    }));
    let window = Window {
        plan: plan("south", 1_777_690_000_456, OverrunPolicy::Hold),
        stage: Stage::Running,
        fraction: 513,
        baseline_rate: 514_000,
        change: Some(515),
        overrun: true,
        reason: "called off".into(),
    };
    let unchanged = Window { change: None, overrun: false, reason: String::new(), ..window.clone() };
    samples.extend([
        Sample::of("maintenance/window/without-permit", unchanged),
        Sample::of("maintenance/window/with-permit", window),
    ]);
    samples
}

/// Each reason for which a window command is rejected. The text is stored in the outcome.
pub fn reasons() -> Vec<(&'static str, WindowError)> {
    each_variant!(named, WindowError {
        "maintenance/rejected/not-found": WindowError::NotFound => WindowError::NotFound,
        "maintenance/rejected/stage": WindowError::Stage(_) => WindowError::Stage(Stage::Postponed),
        "maintenance/rejected/other-site-away": WindowError::OtherSiteShifted(_) => WindowError::OtherSiteShifted(516),
        "maintenance/rejected/invalid-fraction": WindowError::InvalidFraction { .. } => WindowError::InvalidFraction { from: 517, to: 518 },
        "maintenance/rejected/no-permit": WindowError::NoPermit(_) => WindowError::NoPermit("it waits".into()),
        "maintenance/rejected/capacity-reached": WindowError::CapacityReached => WindowError::CapacityReached,
        "maintenance/rejected/invalid-plan": WindowError::InvalidPlan(_) => WindowError::InvalidPlan("a reserve is too large"),
    })
}

fn named(name: &'static str, reason: WindowError) -> (&'static str, WindowError) {
    (name, reason)
}
