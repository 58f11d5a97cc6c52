//! Maintenance windows.

use super::{each_variant, Sample};
use hillstall_maintenance::machine::{Command, Overrun, Plan, Refused, Stage, Window};

/// A window as it was planned.
pub fn plan(site: &str, begin: u64, overrun: Overrun) -> Plan {
    Plan { site: site.into(), begin, length: 3_600_001, lead: 600_002, latest: 300_003, reserve: 25, overrun }
}

/// See the module's text.
pub fn samples() -> Vec<Sample> {
    let mut samples = each_variant!(Sample::of, Command {
        "maintenance/command/plan": Command::Plan(_) =>
            Command::Plan(plan("north", 1_777_680_000_123, Overrun::Return)),
        "maintenance/command/cancel": Command::Cancel { .. } => Command::Cancel { window: 501 },
        "maintenance/command/end": Command::End { .. } => Command::End { window: 502 },
        "maintenance/command/admit": Command::Admit { .. } =>
            Command::Admit { window: 503, usual: 504_000 },
        "maintenance/command/postpone": Command::Postpone { .. } =>
            Command::Postpone { window: 505, why: "too late".into() },
        "maintenance/command/step": Command::Step { .. } => Command::Step { window: 506, part: 875 },
        "maintenance/command/emptied": Command::Emptied { .. } => Command::Emptied { window: 507 },
        "maintenance/command/begin": Command::Begin { .. } => Command::Begin { window: 508 },
        "maintenance/command/overran": Command::Overran { .. } => Command::Overran { window: 509 },
        "maintenance/command/return": Command::Return { .. } =>
            Command::Return { window: 510, part: 625, why: Some("an incident".into()) },
        "maintenance/command/finish": Command::Finish { .. } => Command::Finish { window: 511 },
    });
    let returned_in_time = Command::Return { window: 512, part: 750, why: None };
    samples.push(Sample::of("maintenance/command/return-in-time", returned_in_time));
    samples.extend(each_variant!(Sample::of, Overrun {
        "maintenance/overrun/hold": Overrun::Hold => Overrun::Hold,
        "maintenance/overrun/return": Overrun::Return => Overrun::Return,
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
        plan: plan("south", 1_777_690_000_456, Overrun::Hold),
        stage: Stage::Running,
        part: 513,
        usual: 514_000,
        change: Some(515),
        overrun: true,
        why: "called off".into(),
    };
    let unchanged = Window { change: None, overrun: false, why: String::new(), ..window.clone() };
    samples.extend([
        Sample::of("maintenance/window/without-permit", unchanged),
        Sample::of("maintenance/window/with-permit", window),
    ]);
    samples
}

/// The words of each reason: what was rejected is remembered with them.
pub fn reasons() -> Vec<(&'static str, Refused)> {
    each_variant!(named, Refused {
        "maintenance/rejected/unknown": Refused::Unknown => Refused::Unknown,
        "maintenance/rejected/stage": Refused::Stage(_) => Refused::Stage(Stage::Postponed),
        "maintenance/rejected/other-site-away": Refused::OtherAway(_) => Refused::OtherAway(516),
        "maintenance/rejected/fraction": Refused::Part { .. } => Refused::Part { from: 517, to: 518 },
        "maintenance/rejected/no-permit": Refused::NoPermit(_) => Refused::NoPermit("it waits".into()),
        "maintenance/rejected/full": Refused::Full => Refused::Full,
        "maintenance/rejected/plan": Refused::Plan(_) => Refused::Plan("a reserve is too large"),
    })
}

fn named(name: &'static str, reason: Refused) -> (&'static str, Refused) {
    (name, reason)
}
