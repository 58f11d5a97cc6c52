//! The section `[fleet]` of the operator file.
//!
//! * `raw`: the section as it stands in the file; the names of its fields are the operator's keys,
//! * `validation`: checks and converts it into [`Settings`].

mod raw;
mod validation;

use crate::millis;
use hillstall_lease::timing::LeaseTiming;
use hillstall_maintenance::calendar::{find_conflicts, Recurrence};
use hillstall_maintenance::shift::ShiftPacing;
use serde::Deserialize;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

/// A key whose value can't be used, and where it stands in the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct ConfigError {
    /// Offset in the text, in bytes.
    pub offset: usize,
    /// The key with its section, such as `fleet.term`.
    pub key: String,
    /// What is wrong with the value.
    pub reason: String,
}

/// The settings of an instance that takes part in coordination.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the fleet; instances of two fleets never exchange messages.
    pub name: String,
    /// The replicas' addresses as this instance reaches them, by slot.
    pub replicas: Vec<SocketAddr>,
    /// Set if this instance is a replica.
    pub local_replica: Option<LocalReplica>,
    /// Addresses that may connect besides the replicas' own.
    pub allowed_sources: Vec<IpAddr>,
    /// The site of this instance, if not its zone.
    pub site: Option<String>,
    /// Term and clock drift of leases.
    pub lease_timing: LeaseTiming,
    /// How long a fenced command is valid that is not repeated.
    pub command_ttl: Duration,
    /// Steps of a traffic shift, and the ramp by which each instance restores a site's load.
    pub pacing: ShiftPacing,
    /// Each person's main name by all of their names; empty if any name is a person.
    pub people: BTreeMap<String, String>,
    /// The recurring maintenance windows.
    pub windows: Vec<Recurrence>,
    /// Offset of each window in the text, in bytes.
    pub window_offsets: Vec<usize>,
}

/// The part of a replica in its own settings.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalReplica {
    /// Its index in [`Settings::replicas`].
    pub slot: usize,
    /// Where it accepts connections.
    pub listen_address: SocketAddr,
    /// The directory of its storage, which has to outlive the process.
    pub storage_directory: PathBuf,
}

/// Reads the section out of the text of an operator file; `None` if it has none.
///
/// # Errors
/// All errors at once, except that an error of syntax or an unknown key comes alone.
pub fn read(text: &str) -> Result<Option<Settings>, Vec<ConfigError>> {
    #[derive(Deserialize)]
    struct OperatorFile {
        fleet: Option<raw::FleetSection>,
    }
    let file: OperatorFile = toml::from_str(text).map_err(|error| {
        let offset = error.span().map_or(0, |span| span.start);
        vec![ConfigError { offset, key: key_at(text, offset), reason: error.message().replace('\n', " ") }]
    })?;
    file.fleet.map(validation::validate).transpose()
}

/// The key on the line at an offset.
fn key_at(text: &str, offset: usize) -> String {
    let line_start = text[..offset.min(text.len())].rfind('\n').map_or(0, |newline| newline + 1);
    let line = text[line_start..].lines().next().unwrap_or_default();
    let key = line.split('=').next().unwrap_or_default().trim().trim_matches(['[', ']']);
    let window_start = text[..line_start].rfind("[[fleet.window]]");
    let is_in_window = window_start.is_some_and(|start| !text[start..line_start].contains("\n[fleet"));
    if key.starts_with("fleet") {
        key.to_owned()
    } else if is_in_window {
        format!("fleet.window.{key}")
    } else {
        format!("fleet.{key}")
    }
}

impl Settings {
    /// Finds conflicts among the windows, and windows of unknown sites. `sites` are all sites of the fleet, or empty if they
    /// are not known; `now` is the time of day since the Unix epoch.
    pub fn schedule_conflicts(&self, sites: &[String], now: Duration) -> Vec<ConfigError> {
        let conflicts = find_conflicts(&self.windows, sites, millis(now));
        let to_error = |conflict: hillstall_maintenance::calendar::ScheduleConflict| ConfigError {
            offset: self.window_offsets.get(conflict.recurrence).copied().unwrap_or(0),
            key: format!("fleet.window.{}", conflict.key),
            reason: conflict.reason,
        };
        conflicts.into_iter().map(to_error).collect()
    }
}
