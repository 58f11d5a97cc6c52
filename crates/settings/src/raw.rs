//! The JSON representation of the settings. Keys keep the names that the platform writes; each value is
//! validated by itself. [`hillstall_decision::Settings`] documents the meaning of the fields.
//!
//! `expecting` keeps the previous name of a renamed type in error messages, which operators' tools may match.

use crate::numbers::{
    fraction, not_negative, one, one_integer, positive, positive_fraction, positive_integer, unlimited,
    unlimited_integer,
};
use serde::Deserialize;

/// A request class.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawClass {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "Aim", deserialize_with = "positive")]
    pub latency_objective_ms: f64,
    #[serde(rename = "AimStretch", default, deserialize_with = "not_negative")]
    pub objective_per_work_ms: f64,
    #[serde(rename = "HardLimit", deserialize_with = "positive")]
    pub deadline_ms: f64,
    #[serde(rename = "Effect")]
    pub retry_safety: RawRetrySafety,
    #[serde(rename = "KeyScope", default)]
    pub dedup_scope: RawDedupScope,
    #[serde(rename = "Window", default, deserialize_with = "not_negative")]
    pub dedup_window_ms: f64,
    #[serde(rename = "LateWorth", default, deserialize_with = "fraction")]
    pub late_weight_fraction: f64,
    #[serde(rename = "Points", default = "one", deserialize_with = "not_negative")]
    pub priority_weight: f64,
    #[serde(default)]
    pub streaming: bool,
}

/// The retry safety of a class: whether a request that may have run can be retried.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawRetrySafety {
    Repeatable,
    ByKey,
    Once,
}

/// The backends that deduplicate requests by idempotency key.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawDedupScope {
    #[default]
    All,
    Zone,
    Cell,
}

/// A tenant and its quota.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawTenant {
    #[serde(default)]
    pub name: String,
    #[serde(rename = "AllowancePerS", default = "unlimited", deserialize_with = "not_negative")]
    pub quota_per_s: f64,
    #[serde(default = "one", deserialize_with = "fraction")]
    pub fraction: f64,
}

/// Limits and durations that the platform prescribes; durations are in milliseconds.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawRules {
    #[serde(rename = "GraceToAnswer", default, deserialize_with = "not_negative")]
    pub response_grace_ms: f64,
    #[serde(rename = "DrainGrace", deserialize_with = "not_negative")]
    pub drain_grace_ms: f64,
    #[serde(rename = "AskWithin", default = "unlimited", deserialize_with = "positive")]
    pub poll_interval_ms: f64,
    #[serde(rename = "ColdFrom", deserialize_with = "positive_fraction")]
    pub warmup_start_fraction: f64,
    #[serde(rename = "Cold", deserialize_with = "not_negative")]
    pub warmup_ms: f64,
    #[serde(rename = "FallMultiple", deserialize_with = "positive")]
    pub overload_multiple: f64,
    #[serde(rename = "Fall", deserialize_with = "not_negative")]
    pub overload_window_ms: f64,
}

/// Permitted features and limits; durations are in milliseconds.
#[derive(Deserialize)]
#[serde(expecting = "struct RawAllowed", rename_all = "PascalCase")]
pub struct RawPermissions {
    #[serde(rename = "Cancelling", default)]
    pub cancel: bool,
    #[serde(rename = "Probing", default)]
    pub probe: bool,
    #[serde(rename = "ParallelTries", default)]
    pub parallel: bool,
    #[serde(rename = "Peers", default)]
    pub peer_messages: bool,
    #[serde(default)]
    pub retry_after: bool,
    #[serde(rename = "MaxRetryAfter", default, deserialize_with = "not_negative")]
    pub max_retry_after_ms: f64,
    #[serde(deserialize_with = "positive_integer")]
    pub max_attempts: u32,
    #[serde(rename = "OpenCap", default = "unlimited_integer", deserialize_with = "positive_integer")]
    pub max_open: u32,
    #[serde(rename = "IdleClose", default = "unlimited", deserialize_with = "positive")]
    pub idle_close_ms: f64,
    #[serde(rename = "ConnectTimeout", default = "unlimited", deserialize_with = "positive")]
    pub connect_timeout_ms: f64,
    #[serde(rename = "StreamsPerConn", default = "one_integer", deserialize_with = "positive_integer")]
    pub streams_per_connection: u32,
    #[serde(default = "unlimited", deserialize_with = "positive")]
    pub cpu_us_per_s: f64,
    #[serde(default, deserialize_with = "not_negative")]
    pub cpu_us_per_request: f64,
}

/// Capabilities of the clients: whether they mark their retries.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct RawClients {
    pub marks_retry: bool,
}

/// The prices of the costs that are deducted from the score.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct RawPrices {
    #[serde(deserialize_with = "not_negative")]
    pub cross_zone: f64,
    #[serde(deserialize_with = "not_negative")]
    pub waste: f64,
    #[serde(rename = "LateFail", deserialize_with = "not_negative")]
    pub late_or_failed: f64,
    #[serde(deserialize_with = "not_negative")]
    pub probe: f64,
    #[serde(deserialize_with = "not_negative")]
    pub connection: f64,
    #[serde(deserialize_with = "not_negative")]
    pub handshake: f64,
    #[serde(rename = "MembershipMode", deserialize_with = "not_negative")]
    pub list_lines: f64,
    #[serde(rename = "Fleet", deserialize_with = "not_negative")]
    pub backends: f64,
    #[serde(rename = "Moves", deserialize_with = "not_negative")]
    pub data_moves: f64,
    #[serde(rename = "Origin", deserialize_with = "not_negative")]
    pub origin_fetches: f64,
    #[serde(rename = "Peer", deserialize_with = "not_negative")]
    pub peer_messages: f64,
}

/// The weights of the components of the score.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct RawObjective {
    #[serde(deserialize_with = "not_negative")]
    pub whole: f64,
    #[serde(deserialize_with = "not_negative")]
    pub worst_class: f64,
    #[serde(deserialize_with = "not_negative")]
    pub worst_tenant: f64,
    #[serde(deserialize_with = "not_negative")]
    pub worst_window: f64,
    #[serde(deserialize_with = "not_negative")]
    pub nines: f64,
    #[serde(deserialize_with = "positive")]
    pub full_at_nines: f64,
}

impl Default for RawObjective {
    fn default() -> RawObjective {
        RawObjective {
            whole: 1.0,
            worst_class: 0.0,
            worst_tenant: 0.0,
            worst_window: 0.0,
            nines: 0.0,
            full_at_nines: 3.0,
        }
    }
}

/// Which responses carry load reports.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawReportVia {
    #[default]
    Off,
    Inline,
    OnProbe,
}

/// The format of load reports and the responses that carry them.
#[derive(Default, Deserialize)]
#[serde(rename_all = "PascalCase", default)]
pub struct RawReport {
    pub fields: Vec<String>,
    pub via: RawReportVia,
}

/// Properties of the kind of service: whether requests between tiers carry the remaining time of the client,
/// and whether backends cache by routing key.
#[derive(Default, Deserialize)]
#[serde(expecting = "struct RawFamily", rename_all = "PascalCase", default)]
pub struct RawServiceFamily {
    pub passes_deadline: bool,
    #[serde(rename = "WarmKeys")]
    pub caches_keys: bool,
}

/// How the ratings of backends are derived.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawWeights {
    #[default]
    Off,
    Nominal,
    Rough,
    Live,
}

/// Whether updates of the endpoint list arrive automatically or need a subscription.
#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawMembershipMode {
    Automatic,
    Subscribe,
}

/// Whether priority weight counts by request or by expected work.
#[derive(Default, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RawWeightBasis {
    #[default]
    Request,
    Work,
}

/// All settings of an instance.
#[derive(Deserialize)]
#[serde(rename_all = "PascalCase")]
pub struct RawSettings {
    #[serde(default)]
    pub rank: u32,
    #[serde(default = "one_integer", deserialize_with = "positive_integer")]
    pub fleet_size: u32,
    #[serde(rename = "Az", default)]
    pub zone: u16,
    #[serde(default)]
    pub zones: Vec<String>,
    #[serde(rename = "Stage", default)]
    pub tier: u32,
    #[serde(rename = "Stages", default)]
    pub tier_names: Vec<String>,
    #[serde(rename = "MachineTypes", default)]
    pub machine_kinds: Vec<String>,
    #[serde(rename = "KindOfService", default)]
    pub service: String,
    #[serde(rename = "FamilyInfo", default)]
    pub service_family: RawServiceFamily,
    pub membership_mode: RawMembershipMode,
    #[serde(rename = "WorthBy", default)]
    pub weight_basis: RawWeightBasis,
    #[serde(rename = "OverShareWorth", default = "one", deserialize_with = "fraction")]
    pub over_quota_weight: f64,
    #[serde(rename = "Tick", default = "one", deserialize_with = "positive")]
    pub tick_ms: f64,
    #[serde(default)]
    pub weights: RawWeights,
    #[serde(default)]
    pub report: RawReport,
    pub classes: Vec<RawClass>,
    #[serde(default)]
    pub tenants: Vec<RawTenant>,
    #[serde(default)]
    pub clients: RawClients,
    pub rules: RawRules,
    #[serde(rename = "Allowed")]
    pub permissions: RawPermissions,
    #[serde(default)]
    pub prices: RawPrices,
    #[serde(rename = "ObjectiveMix", default)]
    pub objective: RawObjective,
}
