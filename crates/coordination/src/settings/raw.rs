//! The section `[fleet]` as parsed from the file. Field names are the keys of the file and stay as operators
//! know them. `Spanned` keeps the position of a value for error messages.

use serde::de::Error as _;
use serde::{Deserialize, Deserializer};
use std::path::PathBuf;
use std::time::Duration;
use toml::Spanned;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSection {
    pub name: Spanned<String>,
    /// Addresses of the replicas.
    pub keepers: Spanned<Vec<Spanned<String>>>,
    /// Slot of the replica that this instance runs.
    pub keeper: Option<Spanned<usize>>,
    pub listen: Option<Spanned<String>>,
    /// Directory of the replica's storage.
    pub disk: Option<Spanned<PathBuf>>,
    /// Addresses that may connect, in addition to the replicas'.
    #[serde(default)]
    pub from: Vec<Spanned<String>>,
    pub site: Option<Spanned<String>>,
    /// Term of leases.
    pub term: Option<Spanned<DurationWithUnit>>,
    /// Maximum clock drift, in percent.
    pub drift: Option<Spanned<f64>>,
    /// Time to live of a fenced command.
    pub holds: Option<Spanned<DurationWithUnit>>,
    /// Duration of the ramp with which an instance restores a site's traffic.
    pub way_back: Option<Spanned<DurationWithUnit>>,
    /// Maximum step of a traffic shift, in percent of a site's usual traffic.
    pub step: Option<Spanned<f64>>,
    /// Minimum time between two steps of a traffic shift.
    pub step_wait: Option<Spanned<DurationWithUnit>>,
    /// Percentage of the instances whose load reports must be recent for a traffic shift.
    pub heard: Option<Spanned<f64>>,
    /// The names of each person, the main name first.
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
    /// Time zone of `start`.
    pub zone: Spanned<String>,
    /// Calendar span between two windows of a series.
    pub every: Option<Spanned<String>>,
    pub length: Spanned<DurationWithUnit>,
    /// How long before the start traffic may be shifted away.
    pub lead: Spanned<DurationWithUnit>,
    /// How much later than planned the window may begin.
    pub latest: Option<Spanned<DurationWithUnit>>,
    /// Capacity that the other sites must keep free, in percent.
    pub reserve: Option<Spanned<u8>>,
    /// What happens if the work is not reported as ended in time: `return` or `hold`.
    pub overrun: Option<Spanned<String>>,
}

/// A duration that is written with its unit, such as "15m".
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
