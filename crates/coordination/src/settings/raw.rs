//! The section as it stands in the file. Names of fields are keys, each value with its place in the text.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    pub name: Spanned<String>,
    pub keepers: Spanned<Vec<Spanned<String>>>,
    pub keeper: Option<Spanned<usize>>,
    pub listen: Option<Spanned<String>>,
    pub disk: Option<Spanned<PathBuf>>,
    #[serde(default)]
    pub from: Vec<Spanned<String>>,
    pub site: Option<Spanned<String>>,
    pub term: Option<Spanned<DurationWithUnit>>,
    pub drift: Option<Spanned<f64>>,
    pub holds: Option<Spanned<DurationWithUnit>>,
    pub way_back: Option<Spanned<DurationWithUnit>>,
    pub step: Option<Spanned<f64>>,
    pub step_wait: Option<Spanned<DurationWithUnit>>,
    pub heard: Option<Spanned<f64>>,
    #[serde(default)]
    pub people: Vec<Spanned<Vec<String>>>,
    #[serde(default)]
    pub window: Vec<Spanned<WindowSection>>,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WindowSection {
    pub site: Spanned<String>,
    pub start: Spanned<String>,
    pub zone: Spanned<String>,
    pub every: Option<Spanned<String>>,
    pub length: Spanned<DurationWithUnit>,
    pub lead: Spanned<DurationWithUnit>,
    pub latest: Option<Spanned<DurationWithUnit>>,
    pub reserve: Option<Spanned<u8>>,
    pub overrun: Option<Spanned<String>>,
}

/// A duration written with its unit, like "15m".
#[derive(Clone, Copy)]
pub struct DurationWithUnit(pub Duration);

impl<'de> Deserialize<'de> for DurationWithUnit {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<DurationWithUnit, D::Error> {
        let text = String::deserialize(deserializer)?;
        let invalid =
            |_| D::Error::custom(format!("{text:?} is not a time with its unit, like \"2s\" or \"15m\""));
        humantime::parse_duration(&text).map(DurationWithUnit).map_err(invalid)
    }
}
