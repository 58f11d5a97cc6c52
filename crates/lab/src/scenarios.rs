//! Scenarios that come with the program.

use crate::scenario::{Invalid, Scenario};

const ALL: [(&str, &str); 4] = [
    ("lose-hall", include_str!("../scenarios/lose-hall.toml")),
    ("hot-copies", include_str!("../scenarios/hot-copies.toml")),
    ("drill-cut", include_str!("../scenarios/drill-cut.toml")),
    ("one-hangs", include_str!("../scenarios/one-hangs.toml")),
];

/// Their names.
pub fn names() -> impl Iterator<Item = &'static str> {
    ALL.iter().map(|(name, _)| *name)
}

/// The text of one.
pub fn text(name: &str) -> Option<&'static str> {
    ALL.iter().find(|(known, _)| *known == name).map(|(_, text)| *text)
}

/// One of them, read. An error would be a fault of this package: the tests read them all.
pub fn find(name: &str) -> Result<Scenario, Invalid> {
    let text =
        text(name).ok_or_else(|| Invalid::Sense { key: name.into(), why: "no such scenario".into() })?;
    Scenario::parse(text)
}
