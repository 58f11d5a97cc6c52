//! Identifiers, outcomes and other small types that settings, events and actions share.

/// A time or a span of time, in milliseconds.
pub type Millis = f64;

/// Identifies a request for as long as the proxy holds it; never reused within one life of a balancer.
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
    /// It takes requests.
    Ready,
    /// It finishes what it has; send nothing new.
    Draining,
    /// It is removed.
    Gone,
}

/// One line of the backend list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BackendInfo {
    /// Which backend.
    pub id: BackendId,
    /// Its zone.
    pub zone: u16,
    /// Its kind of machine. No decision reads it.
    pub kind: u8,
    /// Its cell: a group that shares the keys it has seen.
    pub cell: u16,
    /// May it be sent to?
    pub state: BackendState,
    /// Relative size, as [`Settings::weights`](crate::Settings::weights) says.
    pub rating: f64,
    /// Clock time of its last start; `None` if long ago.
    pub started_at: Option<Millis>,
}

/// What a [`Event::EndpointsChanged`](crate::Event::EndpointsChanged) carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListKind {
    /// Only the changed entries.
    Delta,
    /// The whole list: what is not in it is gone.
    Full,
    /// The whole list as this copy had it last; may be old.
    Cached,
    /// A call to discovery failed or the subscription broke; no entries.
    Failed,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Served.
    Ok,
    /// The backend answered with an error; it may have run.
    Error,
    /// Turned away unseen.
    Rejected,
    /// No answer in time; it may have run, or may yet.
    Timeout,
    /// No connection; it never ran.
    ConnectFailed,
    /// The connection broke; it may have run.
    Reset,
    /// Called off; it may have run.
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

/// Why a request ends without having been served: the gate that shut, or what else stood in the way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UnservedReason {
    /// The tier holds as many calls as its learned count.
    TierLimit,
    /// The class does.
    ClassLimit,
    /// It goes beyond its tenant's share, and there is no room to borrow.
    TenantQuota,
    /// No backend may be sent to.
    NoBackend,
    /// No time is left, or no attempt.
    NoTimeLeft,
    /// An attempt failed that may have run, and its class permits no repeat now, or its client gave it up.
    NotRetryable,
    /// An attempt failed, and the repeats that were earned are used up.
    RetryBudget,
    /// The settings have no such class.
    UnknownClass,
}

impl UnservedReason {
    /// All of them, in the order of their places.
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

    /// The word for it in figures and records.
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

    /// The same for people.
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
