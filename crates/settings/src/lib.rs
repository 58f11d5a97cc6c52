//! Reads the settings of the decision module, as the platform writes them in JSON. Every value is checked here, and
//! an error names its key, so that the module can rely on what it is given.

mod convert;
mod numbers;
mod raw;

use hillstall_decision::Settings;
use raw::RawSettings;

/// Classes are numbered by one byte.
const MAX_CLASSES: usize = 256;
/// Tenants are numbered by two bytes.
const MAX_TENANTS: usize = 65_536;
/// Values that a load report can have.
const MAX_REPORT_FIELDS: usize = 4;

/// Why settings can't be used.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A key is missing, or its value is invalid.
    #[error("settings: {}: {}", .0.path(), .0.inner())]
    Key(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// Something follows the JSON text.
    #[error("settings: {0}")]
    TrailingText(#[source] serde_json::Error),
    /// Values that don't go together; the text begins with the key.
    #[error("settings: {0}")]
    Inconsistent(String),
}

/// Reads the settings of an instance. The error names the key that can't be used.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings = serde_path_to_error::deserialize(&mut deserializer).map_err(SettingsError::Key)?;
    deserializer.end().map_err(SettingsError::TrailingText)?;
    check_consistency(&raw)?;
    Ok(convert::convert(raw))
}

/// Checks lengths, and what no value shows alone.
fn check_consistency(raw: &RawSettings) -> Result<(), SettingsError> {
    let require = |holds: bool, problem: String| match holds {
        true => Ok(()),
        false => Err(SettingsError::Inconsistent(problem)),
    };
    let require_max_length = |key: &str, length: usize, max: usize| {
        require(length <= max, format!("{key}: it has more than {max} entries"))
    };
    require(!raw.classes.is_empty(), "Classes: it is empty".into())?;
    require_max_length("Classes", raw.classes.len(), MAX_CLASSES)?;
    require_max_length("Tenants", raw.tenants.len(), MAX_TENANTS)?;
    require_max_length("Report.Fields", raw.report.fields.len(), MAX_REPORT_FIELDS)?;
    let has_zone = raw.zones.is_empty() || usize::from(raw.zone) < raw.zones.len();
    require(has_zone, "Az: there is no such zone in Zones".into())?;
    let has_tier = raw.tier_names.is_empty() || (raw.tier as usize) < raw.tier_names.len();
    require(has_tier, "Stage: there is no such tier in Stages".into())
}
