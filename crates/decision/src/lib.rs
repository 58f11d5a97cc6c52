//! The decision module. Everything that hillstall decides about a request is decided here: which backend gets
//! it, whether it is retried, whether it is rejected. It does no I/O, has no clock and owns its random
//! numbers' seed: equal seeds and equal events give equal actions, on sockets as in the simulator.
//!
//! [`Balancer`] takes an [`Event`] and answers with [`Action`]s; each subject of its decisions has a module
//! of its own.

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
    Class, DedupScope, Objective, Permissions, Prices, RatingSource, ReportField, ReportVia, RetrySafety,
    Rules, Settings, Tenant,
};
pub use types::{
    BackendId, BackendInfo, BackendState, ListKind, LoadReport, Millis, Outcome, RequestId, UnservedReason,
};
