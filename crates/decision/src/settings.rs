//! The settings of a balancer: classes, tenants, rules, permissions, prices and objective weights.
//!
//! All times are milliseconds unless a name says otherwise. Some fields are not read by any decision and say
//! so; they exist because the platform sends them.

use crate::types::Millis;

/// Whether a request that may have run can be retried, and at which backends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe to retry anywhere, at any time.
    Idempotent,
    /// Carries an idempotency key: the backends of a [`DedupScope`] deduplicate retries for
    /// [`Class::dedup_window_ms`].
    IdempotencyKey,
    /// Must never run twice, so it is retried only if it provably did not run.
    NonIdempotent,
}

/// The backends that deduplicate retries of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends of the tier.
    All,
    /// The backends in the zone of the backend that may have run the request.
    Zone,
    /// The backends in the cell of the backend that may have run the request.
    Cell,
}

/// A class of requests, identified by its index in [`Settings::classes`].
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Display name; no decision reads it.
    pub name: String,
    /// The latency objective: an answer within this time earns the full priority weight.
    pub latency_objective_ms: Millis,
    /// By how much the latency objective grows for each millisecond of expected work; 0 if it is constant. No
    /// decision reads it.
    pub objective_per_work_ms: f64,
    /// How long a client waits in total, over all its attempts. No decision reads it.
    pub deadline_ms: Millis,
    /// The weight of one served request in the score; see [`ObjectiveWeights`].
    pub priority_weight: f64,
    /// Fraction of the priority weight that an answer after the latency objective still earns.
    pub late_weight_fraction: f64,
    /// Whether a request that may have run can be retried.
    pub retry_safety: RetrySafety,
    /// For classes with idempotency keys: which backends deduplicate retries.
    pub dedup_scope: DedupScope,
    /// For classes with idempotency keys: how long retries are deduplicated, from the send of the first
    /// attempt that may have run.
    pub dedup_window_ms: Millis,
    /// Whether responses are streamed, which is reported by [`Event::FirstByte`](crate::Event::FirstByte). No
    /// decision reads it.
    pub streaming: bool,
}

/// A tenant, identified by its index in [`Settings::tenants`].
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Display name; no decision reads it.
    pub name: String,
    /// The quota, in requests a second over all instances together.
    pub quota_per_s: f64,
    /// The tenant's share of the service. No decision reads it.
    pub fraction: f64,
}

/// The quantity that one value of a load report measures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests in flight at the backend.
    Active,
    /// Requests in the backend's queue.
    Waiting,
    /// CPU utilization, from 0 to 1.
    Cpu,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// Requests served a second.
    PerSecond,
    /// Errors a second.
    ErrorsPerSecond,
    /// A quantity that this version does not know; it is ignored.
    Unknown,
}

/// Which responses carry load reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
    /// Responses to requests and to health checks.
    Inline,
    /// Responses to health checks only.
    Probe,
    /// None.
    Off,
}

/// How [`BackendInfo::rating`](crate::BackendInfo::rating) is derived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingSource {
    /// Not at all: every rating is 1.
    Off,
    /// From the registered size of the backend.
    Nominal,
    /// From an approximate size of the backend.
    Rough,
    /// Size / (1 + load per core), as measured some time ago.
    Live,
}

/// Limits and durations that the platform prescribes.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// How long after the client's deadline a final answer may still be sent. No decision reads it.
    pub response_grace_ms: Millis,
    /// The time within which sends to a draining or gone backend must stop.
    pub drain_grace_ms: Millis,
    /// The time after which an instance without a subscription counts as notified of a list change.
    pub poll_interval_ms: Millis,
    /// The least fraction of its capacity that a backend has when it starts.
    pub warmup_start_fraction: f64,
    /// The longest time from the start of a backend to its full capacity.
    pub warmup_ms: Millis,
    /// The multiple of its present capacity above which a backend in slow start is overloaded; it fails if
    /// the overload lasts for `overload_window_ms`.
    pub overload_multiple: f64,
    /// How long an overload must last to make a backend in slow start fail.
    pub overload_window_ms: Millis,
}

/// The features that this deployment permits, and its limits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// Whether [`Action::Cancel`](crate::Action::Cancel) may be used.
    pub cancel: bool,
    /// Whether [`Action::Probe`](crate::Action::Probe) may be used. No decision reads it.
    pub probe: bool,
    /// Whether two attempts of one request may be in flight at once (hedging). No decision reads it.
    pub parallel: bool,
    /// Whether clients are sent [`Action::Reject::retry_after_ms`](crate::Action::Reject::retry_after_ms).
    pub retry_after: bool,
    /// The longest `retry_after_ms` that clients honor.
    pub max_retry_after_ms: Millis,
    /// The maximum number of attempts for one request.
    pub max_attempts: u32,
    /// The maximum number of open requests at an instance. No decision reads it, because the limit is
    /// enforced before requests reach the balancer.
    pub max_open: u32,
    /// Whether [`Action::Message`](crate::Action::Message) may be used. No decision reads it, because
    /// instances share no state.
    pub peer_messages: bool,
    /// The idle timeout of connections. No decision reads it.
    pub idle_close_ms: Millis,
    /// The connect timeout; an attempt that exceeds it ends as
    /// [`Outcome::ConnectFailed`](crate::Outcome::ConnectFailed). No decision reads it.
    pub connect_timeout_ms: Millis,
    /// The maximum number of concurrent attempts on one connection. No decision reads it.
    pub streams_per_connection: u32,
    /// CPU time that an instance may use, in microseconds a second. No decision reads it.
    pub cpu_us_per_s: f64,
    /// CPU time for one request with all its outcomes, in microseconds; 0 for no limit. No decision reads
    /// it.
    pub cpu_us_per_request: f64,
}

/// The prices of the costs that are deducted from the score. Each price is multiplied by the quantity that it
/// is charged for. Decisions read only `cross_zone`.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// Price of attempts that go to another zone, counted as a fraction of first attempts.
    pub cross_zone: f64,
    /// Price of backend work that led to no served answer, counted as a fraction of the work offered.
    pub waste: f64,
    /// Price of the priority weight of requests that were not served within their latency objective.
    pub late_or_failed: f64,
    /// Price of health checks, counted per first attempt.
    pub probe: f64,
    /// Price of open connections, counted as their average number divided by 100 times the number of
    /// backends.
    pub connection: f64,
    /// Price of new connections, counted per first attempt.
    pub handshake: f64,
    /// Price of received entries of endpoint lists, counted per 100 first attempts.
    pub endpoint_list_entries: f64,
    /// Price of backends running or ordered, counted as a fraction of the backends at the start.
    pub backends: f64,
    /// Price of moves of data, counted per first attempt.
    pub data_moves: f64,
    /// Price of fetches from the origin, counted per first attempt.
    pub origin_fetches: f64,
    /// Price of messages of 256 bytes to other instances, counted per first attempt.
    pub peer_messages: f64,
}

/// The weights of the components of the score; they sum to about 1.
#[derive(Clone, Debug, PartialEq)]
pub struct ObjectiveWeights {
    /// Weight of the score over the whole run.
    pub whole_run: f64,
    /// Weight of the score in the worst time window of the run.
    pub worst_window: f64,
    /// Weight of the worst-served class.
    pub worst_class: f64,
    /// Weight of the worst-served tenant, counting only requests within its quota. No decision reads it.
    pub worst_tenant: f64,
    /// Weight of the availability over windows of five seconds, counted in nines (0.999 is three nines). No
    /// decision reads it.
    pub availability: f64,
    /// The number of nines from which the availability earns its full weight. No decision reads it.
    pub full_at_nines: f64,
}

/// The settings that a balancer starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The rank of this instance within its fleet, from 0.
    pub rank: u32,
    /// The number of instances that send to this tier when the balancer starts; it may change later.
    pub fleet_size: u32,
    /// Index of this instance's zone in `zones`.
    pub zone: u16,
    /// Index in `tier_names` of the tier that this instance sends to; 0 is the top tier.
    pub tier: u32,
    /// Display names of the tiers, from the top; no decision reads them.
    pub tier_names: Vec<String>,
    /// Display names of the zones; no decision reads them.
    pub zones: Vec<String>,
    /// Display names of the machine types; no decision reads them.
    pub machine_kinds: Vec<String>,
    /// Display name of the kind of service; no decision reads it.
    pub service: String,
    /// Whether requests between tiers carry the remaining time of the client.
    pub passes_deadline: bool,
    /// Whether backends cache by routing key, so that a recently served key costs less work. No decision
    /// reads it.
    pub caches_keys: bool,
    /// Whether clients mark their retries. No decision reads it.
    pub marks_retry: bool,
    /// Whether updates of the endpoint list arrive only after
    /// [`Action::Subscribe`](crate::Action::Subscribe).
    pub must_subscribe: bool,
    /// Whether priority weight counts by expected work instead of by request. No decision reads it.
    pub weight_by_work: bool,
    /// Weight of a request beyond its tenant's quota, as a fraction of the priority weight of its class. No
    /// decision reads it.
    pub over_quota_weight: f64,
    /// The shortest interval between two batches of events.
    pub tick_ms: Millis,
    /// How the ratings of backends are derived. No decision reads it.
    pub rating_source: RatingSource,
    /// The quantities in a load report, in order; empty if backends send none.
    pub report: Vec<ReportField>,
    /// Which responses carry load reports. No decision reads it.
    pub report_via: ReportVia,
    /// The request classes; events refer to them by index.
    pub classes: Vec<Class>,
    /// The tenants, which events refer to by index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Limits and durations that the platform prescribes.
    pub rules: Rules,
    /// The features that the deployment permits, and its limits.
    pub permissions: Permissions,
    /// The costs that are deducted from the score.
    pub prices: Prices,
    /// The weights of the components of the score.
    pub objective_weights: ObjectiveWeights,
}
