//! Identifiers, outcomes and other types shared by settings, events and actions.

/// A clock time or a duration, in milliseconds.
pub type Millis = f64;

/// Identifies a request while it is open; never reused within the lifetime of a balancer.
pub type RequestId = u64;

/// Identifies a backend. A restarted backend keeps its id.
pub type BackendId = u32;

/// The load report of a backend. The first `len` values are valid;
/// [`Settings::report`](crate::Settings::report) lists the quantities in the same order.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// The number of valid values; 0 if the backend sent no report.
    pub len: u8,
    /// The reported values; those from index `len` on are unused.
    pub values: [f32; 4],
}

/// The state of a backend as discovery reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendState {
    /// Accepts requests.
    Ready,
    /// Finishes the requests it has; new requests must stop within the drain grace period.
    Draining,
    /// Removed from the list; this module sends it no requests.
    Gone,
}

/// One entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendInfo {
    /// Identifies the backend in events and actions.
    pub id: BackendId,
    /// Index of its zone in [`Settings::zones`](crate::Settings::zones).
    pub zone: u16,
    /// Index of its machine type in [`Settings::machine_kinds`](crate::Settings::machine_kinds). No decision
    /// reads it.
    pub kind: u8,
    /// Its cell: the group of backends that deduplicates requests by idempotency key together.
    pub cell: u16,
    /// Whether the backend is ready, draining or gone.
    pub state: BackendState,
    /// Relative capacity; [`Settings::rating_source`](crate::Settings::rating_source) says how it is derived.
    pub rating: f64,
    /// Clock time of its last start; `None` if it started so long ago that it is past its slow start.
    pub started_at: Option<Millis>,
}

/// How to interpret the entries of an [`Event::EndpointsChanged`](crate::Event::EndpointsChanged).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The complete list: backends not in it are gone.
    Full,
    /// The complete list that this instance stored before it started; may be out of date.
    Cached,
    /// A request to discovery failed or the subscription broke; there are no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The backend served it.
    Ok,
    /// The backend answered with an error; the request may have run.
    Error,
    /// The backend rejected the request, which did not run.
    Rejected,
    /// No response within the attempt timeout; the request may have run or may still run.
    Timeout,
    /// No connection was established; the request did not run.
    ConnectFailed,
    /// The connection broke; the request may have run.
    Reset,
    /// The proxy cancelled the attempt; the request may have run.
    Cancelled,
    /// The attempt ended before it was sent.
    NotSent,
}

impl Outcome {
    /// All outcomes, in the order of their declaration.
    pub const ALL: [Outcome; 8] = [
        Outcome::Ok,
        Outcome::Error,
        Outcome::Rejected,
        Outcome::Timeout,
        Outcome::ConnectFailed,
        Outcome::Reset,
        Outcome::Cancelled,
        Outcome::NotSent,
    ];

    /// The name in access log records. Names that differ from the variants stay, as log consumers match them.
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

    /// Whether this outcome proves that the request did not run at the backend.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Rejected | Outcome::ConnectFailed | Outcome::NotSent)
    }

    /// Whether the proxy ended the attempt itself, so that the outcome says nothing about the backend.
    pub(crate) fn was_abandoned(self) -> bool {
        matches!(self, Outcome::Cancelled | Outcome::NotSent)
    }
}

/// Why a request was not served.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// The tier's learned concurrency limit is reached.
    TierLimit,
    /// The learned concurrency limit of the request class is reached.
    ClassLimit,
    /// The tenant has used up its quota, and no burst capacity is free.
    TenantQuota,
    /// No backend may receive the request.
    NoBackend,
    /// The deadline has (almost) passed, or the maximum number of attempts is reached.
    NoTimeLeft,
    /// The last attempt was cancelled, or an attempt may have run and the class does not permit a retry now.
    NotRetryable,
    /// An attempt failed, and the retry budget is exhausted.
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

    /// The label in metrics and access log records. Labels stay as they are, as dashboards and log consumers
    /// match them.
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

    /// The reason in the operators' log. The texts stay as they are, because operators' tools and runbooks
    /// quote them.
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
