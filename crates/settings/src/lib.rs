//! Parses the settings of the decision module from the JSON that the platform writes. Every value is
//! validated here, and errors name the key, so that the decision module can rely on valid settings.

mod convert;
mod numbers;
mod raw;

use hillstall_decision::Settings;
use raw::RawSettings;

/// Maximum number of classes: events identify a class by one byte.
const MAX_CLASSES: usize = 256;
/// Maximum number of tenants: events identify a tenant by two bytes.
const MAX_TENANTS: usize = 65_536;
/// Maximum number of values in a load report.
const MAX_REPORT_FIELDS: usize = 4;

/// Why settings are rejected.
#[derive(Debug, thiserror::Error)]
pub enum SettingsError {
    /// A key is missing or has an invalid value, or the text is not JSON.
    #[error("settings: {}: {}", .0.path(), .0.inner())]
    Key(#[source] serde_path_to_error::Error<serde_json::Error>),
    /// More text follows the JSON value.
    #[error("settings: {0}")]
    TrailingText(#[source] serde_json::Error),
    /// Values that are valid by themselves but inconsistent with each other. The message begins with the key.
    #[error("settings: {0}")]
    Inconsistent(String),
}

/// Parses and validates the settings of an instance.
pub fn parse_settings(json: &[u8]) -> Result<Settings, SettingsError> {
    let mut deserializer = serde_json::Deserializer::from_slice(json);
    let raw: RawSettings = serde_path_to_error::deserialize(&mut deserializer).map_err(SettingsError::Key)?;
    deserializer.end().map_err(SettingsError::TrailingText)?;
    check_consistency(&raw)?;
    Ok(convert::convert(raw))
}

/// Checks the lengths of lists, and values that depend on each other.
fn check_consistency(raw: &RawSettings) -> Result<(), SettingsError> {
    let require = |holds: bool, problem: String| match holds {
        true => Ok(()),
        false => Err(SettingsError::Inconsistent(problem)),
    };
    let require_max_length = |key: &str, length: usize, max: usize| {
        require(length <= max, format!("{key}: {length} entries, at most {max} are allowed"))
    };
    require(!raw.classes.is_empty(), "Classes: the list is empty, at least one class is required".into())?;
    require_max_length("Classes", raw.classes.len(), MAX_CLASSES)?;
    require_max_length("Tenants", raw.tenants.len(), MAX_TENANTS)?;
    require_max_length("Report.Fields", raw.report.fields.len(), MAX_REPORT_FIELDS)?;
    let has_zone = raw.zones.is_empty() || usize::from(raw.zone) < raw.zones.len();
    require(
        has_zone,
        format!("Az: {} is not an index of Zones, which has {} entries", raw.zone, raw.zones.len()),
    )?;
    let has_tier = raw.tier_names.is_empty() || (raw.tier as usize) < raw.tier_names.len();
    require(
        has_tier,
        format!("Stage: {} is not an index of Stages, which has {} entries", raw.tier, raw.tier_names.len()),
    )
}
