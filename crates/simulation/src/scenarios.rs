//! The scenarios embedded in the program, by name.

use crate::scenario::{Scenario, ScenarioError};

/// The text of a fault-injection scenario: its own file, followed by the small fleet that all of them share.
macro_rules! drill {
    ($file:literal) => {
        concat!(include_str!(concat!("../scenarios/", $file)), include_str!("../scenarios/drill-fleet.toml"))
    };
}

const ALL: [(&str, &str); 19] = [
    ("lose-hall", include_str!("../scenarios/lose-hall.toml")),
    ("hot-copies", include_str!("../scenarios/hot-copies.toml")),
    ("half-lost", include_str!("../scenarios/half-lost.toml")),
    ("fleet-sum", include_str!("../scenarios/fleet-sum.toml")),
    ("one-hangs", include_str!("../scenarios/one-hangs.toml")),
    ("drill-cut", drill!("drill-cut.toml")),
    ("drill-one-way", drill!("drill-one-way.toml")),
    ("drill-cold", drill!("drill-cold.toml")),
    ("drill-release", drill!("drill-release.toml")),
    ("drill-kill", drill!("drill-kill.toml")),
    ("drill-roll", drill!("drill-roll.toml")),
    ("drill-stop", drill!("drill-stop.toml")),
    ("drill-duties", drill!("drill-duties.toml")),
    ("drill-window", drill!("drill-window.toml")),
    ("drill-list", drill!("drill-list.toml")),
    ("drill-flood", drill!("drill-flood.toml")),
    ("drill-burst", drill!("drill-burst.toml")),
    ("drill-full", drill!("drill-full.toml")),
    ("drill-half", drill!("drill-half.toml")),
];

/// The names of all embedded scenarios.
pub fn names() -> impl Iterator<Item = &'static str> {
    ALL.iter().map(|(name, _)| *name)
}

/// The TOML text of an embedded scenario; `None` if there is none of that name.
pub fn text(name: &str) -> Option<&'static str> {
    ALL.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}

/// Parses an embedded scenario. Fails for an unknown name; the texts themselves are valid, as the tests parse
/// them all.
pub fn find(name: &str) -> Result<Scenario, ScenarioError> {
    let text = text(name)
        .ok_or_else(|| ScenarioError::Invalid { key: name.into(), why: "no such scenario".into() })?;
    Scenario::parse(text)
}
