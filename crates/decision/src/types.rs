//! Identifiers, outcomes and other small types that settings, events and actions share.

/// A time or a span of time, in milliseconds.
pub type Millis = f64;

/// Identifies a request while it is open; never reused within the lifetime of a balancer.
pub type RequestId = u64;

/// Identifies a backend; survives a restart of its process.
pub type BackendId = u32;

/// A load report: the first `len` values count, in the order of
/// [`Settings::report`](crate::Settings::report).
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// How many values there are; 0 where no report came.
    pub len: u8,
    /// The values.
    pub values: [f32; 4],
}

/// The state discovery gives for a backend.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// It accepts requests.
    Ready,
    /// It finishes the requests that it has and gets no new ones.
    Draining,
    /// It is removed.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendInfo {
    /// The backend's id.
    pub id: BackendId,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine. No decision reads it.
    pub kind: u8,
    /// Its cell: a group of backends that share the idempotency keys that they have seen.
    pub cell: u16,
    /// Whether it accepts requests.
    pub state: BackendState,
    /// Relative size, as [`Settings::rating_source`](crate::Settings::rating_source) says.
    pub rating: f64,
    /// Clock time of its last start; `None` if long ago.
    pub started_at: Option<Millis>,
}

/// What an [`Event::EndpointsChanged`](crate::Event::EndpointsChanged) carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The complete list: what is not in it is gone.
    Full,
    /// The complete list as this instance last had it; may be old.
    Cached,
    /// A request to discovery failed or the subscription broke; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; it may have run.
    Error,
    /// The backend rejected it; it never ran.
    Rejected,
    /// No answer in time; it may have run, or may yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// The proxy cancelled it; it may have run.
    Cancelled,
    /// Not sent at all.
    NotSent,
}

impl Outcome {
    /// The word for it in access log records, which other programs read.
    pub fn name(self) -> &'static str {
        match self {
            Outcome::Ok => "Ok",
            Outcome::Error => "Error",
            Outcome::Rejected => "Full",
            Outcome::Timeout => "Timeout",
            Outcome::ConnectFailed => "ConnectFailed",
            Outcome::Reset => "Reset",
            Outcome::Cancelled => "Cancelled",
            Outcome::NotSent => "Moot",
        }
    }

    /// Whether this outcome proves that the attempt never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }

    /// Whether the proxy ended the attempt itself, so that it shows nothing of the backend.
    pub(crate) fn was_abandoned(self) -> bool {
        matches!(self, Outcome::Cancelled | Outcome::NotSent)
    }
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// The tier's learned concurrency limit is reached.
    TierLimit,
    /// The learned concurrency limit of its class is reached.
    ClassLimit,
    /// It goes beyond its tenant's quota, and there is no burst capacity.
    TenantQuota,
    /// There is no backend that may get it.
    NoBackend,
    /// No time or no attempt is left.
    NoTimeLeft,
    /// An attempt failed that may have run, and its class permits no retry now, or it was cancelled.
    NotRetryable,
    /// An attempt failed, and the retry budget is used up.
    RetryBudget,
    /// The settings have no such class.
    UnknownClass,
}

impl UnservedReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [UnservedReason; 8] = [
        UnservedReason::TierLimit,
        UnservedReason::ClassLimit,
        UnservedReason::TenantQuota,
        UnservedReason::NoBackend,
        UnservedReason::NoTimeLeft,
        UnservedReason::NotRetryable,
        UnservedReason::RetryBudget,
        UnservedReason::UnknownClass,
    ];

    /// The word for it in metrics and access log records, which other programs read.
    pub fn name(self) -> &'static str {
        match self {
            UnservedReason::TierLimit => "tier",
            UnservedReason::ClassLimit => "class",
            UnservedReason::TenantQuota => "borrow",
            UnservedReason::NoBackend => "no-backend",
            UnservedReason::NoTimeLeft => "spent",
            UnservedReason::NotRetryable => "no-repeat",
            UnservedReason::RetryBudget => "budget",
            UnservedReason::UnknownClass => "unknown-class",
        }
    }

    /// The reason in the operators' log.
    pub fn text(self) -> &'static str {
        match self {
            UnservedReason::TierLimit => "over a learned count",
            UnservedReason::ClassLimit => "over a learned count of its class",
            UnservedReason::TenantQuota => "over the tenant's share and no room to borrow",
            UnservedReason::NoBackend => "no backend may be sent to",
            UnservedReason::NoTimeLeft => "no time or attempts left",
            UnservedReason::NotRetryable => "it may have run and must not be repeated",
            UnservedReason::RetryBudget => "no repeats left",
            UnservedReason::UnknownClass => "no such class",
        }
    }
}
