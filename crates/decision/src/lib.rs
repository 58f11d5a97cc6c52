//! The decision module: backend selection, retries, admission control and tenant quotas. It performs no I/O,
//! reads no clock and draws random numbers only from the generator seeded by its caller: equal seeds and
//! equal events give equal actions, in the proxy as in the simulator.
//!
//! [`Balancer`] takes an [`Event`] and returns [`Action`]s. Each kind of decision has a module of its own.

pub mod action;
pub mod event;
pub mod settings;
pub mod types;

mod admission;
mod attempt_sample;
mod backend;
mod balancer;
mod baseline;
mod class_priority;
mod decay;
mod demand;
mod endpoints;
mod health;
mod latency;
mod limiter;
mod log_limit;
mod quota;
mod random;
mod request;
mod retry;
mod selection;
mod slow_start;

pub use action::Action;
pub use balancer::Balancer;
pub use event::Event;
pub use settings::{
    Class, DedupScope, ObjectiveWeights, Permissions, Prices, RatingSource, ReportField, ReportVia,
    RetrySafety, Rules, Settings, Tenant,
};
pub use types::{
    BackendId, BackendInfo, BackendState, ListKind, LoadReport, Millis, Outcome, RequestId, UnservedReason,
};
