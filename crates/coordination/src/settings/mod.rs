//! The section `[fleet]` of the operator file.
//!
//! * `raw`: the section as parsed from the file; its field names are the keys of the file,
//! * `validation`: checks the section and converts it into [`Settings`].

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

/// An invalid key or value, with its position in the text.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct ConfigError {
    /// Offset in the text of the operator file, in bytes.
    pub offset: usize,
    /// The key with its section, such as `fleet.term`.
    pub key: String,
    /// What is wrong, for operators.
    pub reason: String,
}

/// The settings of an instance that takes part in coordination.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of the fleet; instances of two fleets never exchange messages.
    pub name: String,
    /// The addresses at which this instance reaches the replicas, by slot.
    pub replicas: Vec<SocketAddr>,
    /// The settings of the replica that this instance runs; `None` for a follower.
    pub local_replica: Option<LocalReplica>,
    /// Addresses that may open connections to this instance, in addition to the replicas' addresses.
    pub allowed_sources: Vec<IpAddr>,
    /// The site of this instance; `None` if the instance's zone is its site.
    pub site: Option<String>,
    /// Term, safety margin and maximum clock drift of leases.
    pub lease_timing: LeaseTiming,
    /// How long a fenced command stays valid if the lease holder does not repeat it.
    pub command_ttl: Duration,
    /// Steps of a traffic shift, and the ramp with which each instance restores a site's traffic.
    pub pacing: ShiftPacing,
    /// Maps each name of a person to the person's main name. If empty, every name is accepted as a person.
    pub people: BTreeMap<String, String>,
    /// The recurring maintenance windows.
    pub windows: Vec<Recurrence>,
    /// The offset of each of `windows` in the text of the operator file, in bytes.
    pub window_offsets: Vec<usize>,
}

/// The settings of the replica that this instance runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LocalReplica {
    /// The replica's index in [`Settings::replicas`].
    pub slot: usize,
    /// The address on which the replica accepts connections.
    pub listen_address: SocketAddr,
    /// The directory of the replica's storage, which must outlive the process.
    pub storage_directory: PathBuf,
}

/// Reads the section `[fleet]` from the text of an operator file; `None` if the text has no such section.
///
/// # Errors
/// All invalid values at once; a syntax error or an unknown key is returned alone.
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

/// The key, with its section, on the line that contains `offset`.
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
    /// Finds conflicts among the windows, and windows of unknown sites. `sites` are all sites of the fleet,
    /// or empty if they are not known; `now` is the Unix time.
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
