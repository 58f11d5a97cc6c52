//! The settings of a balancer: classes, tenants, rules, permissions, prices and the objective.
//!
//! All times are milliseconds unless a name says otherwise. A field that no decision reads says so; it is
//! there because the platform sends it.

use crate::types::Millis;

/// Whether, and where, a request that may have run can be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetrySafety {
    /// Safe to retry anywhere, at any time.
    Idempotent,
    /// Carries an idempotency key: a [`DedupScope`] of backends drops retries for
    /// [`Class::dedup_window_ms`].
    IdempotencyKey,
    /// Must never run twice.
    NonIdempotent,
}

/// The backends that drop retries of a request with an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DedupScope {
    /// All backends of the tier.
    All,
    /// Those in the zone of the backend that may have run it.
    Zone,
    /// Those in the cell of the backend that may have run it.
    Cell,
}

/// A class of requests. Classes are identified by their place in [`Settings::classes`].
#[derive(Clone, Debug, PartialEq)]
pub struct Class {
    /// Its name, for people; no decision reads it.
    pub name: String,
    /// An answer within this time earns the full priority weight.
    pub latency_objective_ms: Millis,
    /// How much the objective grows for each millisecond of the request's work; 0 where it does not. No
    /// decision reads it.
    pub objective_per_work_ms: f64,
    /// How long a client waits in all, over its attempts. No decision reads it.
    pub deadline_ms: Millis,
    /// The weight of one request in the objective.
    pub priority_weight: f64,
    /// Part of the weight that an answer after the latency objective still earns.
    pub late_weight_fraction: f64,
    /// Whether a request may run again.
    pub retry_safety: RetrySafety,
    /// With idempotency keys: which backends drop retries.
    pub dedup_scope: DedupScope,
    /// With idempotency keys: for how long, from the send of the first attempt that may have run.
    pub dedup_window_ms: Millis,
    /// Its responses are streams: [`Event::FirstByte`](crate::Event::FirstByte) comes. No decision reads it.
    pub streaming: bool,
}

/// A tenant, identified by its place in [`Settings::tenants`].
#[derive(Clone, Debug, PartialEq)]
pub struct Tenant {
    /// Its name, for people; no decision reads it.
    pub name: String,
    /// Requests a second, over all instances together, that are within its quota.
    pub quota_per_s: f64,
    /// Its part of the service. No decision reads it.
    pub fraction: f64,
}

/// One value of a load report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportField {
    /// Requests the backend holds.
    Active,
    /// Requests that wait for service.
    Waiting,
    /// Part of its CPU in use.
    Cpu,
    /// Recent service time, in milliseconds.
    LatencyMs,
    /// Requests served a second.
    PerSecond,
    /// Errors a second.
    ErrorsPerSecond,
    /// A value that this version does not know; it is ignored.
    Unknown,
}

/// When load reports come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportVia {
    /// With outcomes and with probe results.
    Inline,
    /// With probe results only.
    Probe,
    /// Never.
    Off,
}

/// What a backend's rating means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RatingSource {
    /// Always 1.
    Off,
    /// The registered size.
    Nominal,
    /// About the size.
    Rough,
    /// Size over 1 + load a core, some time ago.
    Live,
}

/// Limits and times that the platform prescribes.
#[derive(Clone, Debug, PartialEq)]
pub struct Rules {
    /// A final answer may come this long after the client's deadline. No decision reads it.
    pub response_grace_ms: Millis,
    /// Sends to a draining or gone backend must stop within this time. No decision reads it.
    pub drain_grace_ms: Millis,
    /// Without a subscription, an instance counts as notified of a change after this time.
    pub poll_interval_ms: Millis,
    /// A backend starts with at least this part of its capacity.
    pub warmup_start_fraction: f64,
    /// The longest slow start of a backend, from its start to its full capacity.
    pub warmup_ms: Millis,
    /// A backend in slow start that gets more than this multiple of its present capacity ...
    pub overload_multiple: f64,
    /// ... for this long fails.
    pub overload_window_ms: Millis,
}

/// What this deployment permits.
#[derive(Clone, Debug, PartialEq)]
pub struct Permissions {
    /// [`Action::Cancel`](crate::Action::Cancel) may be used.
    pub cancel: bool,
    /// [`Action::Probe`](crate::Action::Probe) may be used. No decision reads it.
    pub probe: bool,
    /// Two attempts of one request may be out at once. No decision reads it.
    pub parallel: bool,
    /// Clients get [`Action::Reject::retry_after_ms`](crate::Action::Reject::retry_after_ms).
    pub retry_after: bool,
    /// The longest such wait that a client observes.
    pub max_retry_after_ms: Millis,
    /// The most attempts for one request.
    pub max_attempts: u32,
    /// The most requests open at an instance. No decision reads it: more never reach the instance.
    pub max_open: u32,
    /// [`Action::Message`](crate::Action::Message) may be used. No decision reads it: instances share
    /// nothing.
    pub peer_messages: bool,
    /// Connections close after this long without use. No decision reads it.
    pub idle_close_ms: Millis,
    /// An attempt without a connection by then ends as
    /// [`Outcome::ConnectFailed`](crate::Outcome::ConnectFailed). No decision reads it.
    pub connect_timeout_ms: Millis,
    /// Concurrent attempts on one connection. No decision reads it.
    pub streams_per_connection: u32,
    /// CPU that an instance may use, in microseconds a second. No decision reads it.
    pub cpu_us_per_s: f64,
    /// CPU for a request with its outcomes, in microseconds; 0 for no limit. No decision reads it.
    pub cpu_us_per_request: f64,
}

/// What is deducted from the result, each for its part or rate. Decisions read `cross_zone` alone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Prices {
    /// For attempts that go to another zone, as a part of first attempts.
    pub cross_zone: f64,
    /// For backend work without a served answer, as a part of the work offered.
    pub waste: f64,
    /// For weight that is not served by its latency objective.
    pub late_fail: f64,
    /// For health checks, per first attempt.
    pub probe: f64,
    /// For connections open on average, over 100 times the backends.
    pub connection: f64,
    /// For new connections, per first attempt.
    pub handshake: f64,
    /// For lines of the endpoint list, per 100 first attempts.
    pub list_lines: f64,
    /// For backends running or ordered, as a part of those at the start.
    pub fleet: f64,
    /// For moves of data, per first attempt.
    pub moves: f64,
    /// For fetches from the origin, per first attempt.
    pub origin: f64,
    /// For messages of 256 bytes to other instances, per first attempt.
    pub peer: f64,
}

/// How the parts of the result are weighted; they sum to about 1.
#[derive(Clone, Debug, PartialEq)]
pub struct Objective {
    /// The whole run.
    pub whole: f64,
    /// The worst stretch of it.
    pub worst_window: f64,
    /// The worst-served class.
    pub worst_class: f64,
    /// The worst-served tenant, within its quota. No decision reads it.
    pub worst_tenant: f64,
    /// The nines served, over spans of five seconds. No decision reads it.
    pub nines: f64,
    /// The nines that earn `nines` in full. No decision reads it.
    pub full_at_nines: f64,
}

/// The settings that a balancer starts with.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// The number of this instance, from 0.
    pub rank: u32,
    /// How many instances send to this tier; may be out of date later on.
    pub fleet_size: u32,
    /// The zone of this instance.
    pub zone: u16,
    /// The tier that this instance sends to, from 0 at the top.
    pub tier: u32,
    /// The tiers' names, from the top, for people; no decision reads them.
    pub tier_names: Vec<String>,
    /// The zones' names, for people; no decision reads them.
    pub zones: Vec<String>,
    /// The kinds of machine, for people; no decision reads them.
    pub machine_kinds: Vec<String>,
    /// The kind of service, for people; no decision reads it.
    pub service: String,
    /// Whether a request between tiers carries the time that its client has left.
    pub passes_deadline: bool,
    /// Whether a backend that served a key lately needs less work for it. No decision reads it.
    pub caches_keys: bool,
    /// Whether clients mark their retries. No decision reads it.
    pub marks_retry: bool,
    /// Whether list changes come only after [`Action::Subscribe`](crate::Action::Subscribe).
    pub must_subscribe: bool,
    /// Weight is by expected work instead of by request. No decision reads it.
    pub weight_by_work: bool,
    /// Weight of a request over its tenant's quota, as a part of its class's. No decision reads it.
    pub over_quota_weight: f64,
    /// The shortest time between two batches of events.
    pub tick_ms: Millis,
    /// What ratings mean. No decision reads it.
    pub rating_source: RatingSource,
    /// The values of a load report, in order; empty where there are none.
    pub report: Vec<ReportField>,
    /// When load reports come. No decision reads it.
    pub report_via: ReportVia,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Limits and times that the platform prescribes.
    pub rules: Rules,
    /// What the deployment permits.
    pub permissions: Permissions,
    /// What is deducted from the result.
    pub prices: Prices,
    /// How the parts of the result are weighted.
    pub objective: Objective,
}
