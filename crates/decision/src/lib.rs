//! The decision module. Everything that hillstall decides about a call is decided here: which server gets it,
//! whether it is tried again, whether it is turned away. It does no I/O, has no clock and owns its random
//! numbers' seed: equal seeds and equal events give equal actions, on sockets as in the simulator.

pub mod action;
pub mod choice;
pub mod event;
pub mod settings;
pub mod types;

pub use action::Action;
pub use choice::Balancer;
pub use event::Event;
pub use settings::{
    Class, DedupScope, Objective, Permissions, Prices, ReportField, ReportVia, RetrySafety, Rules, Settings,
    Tenant, Weights,
};
pub use types::{
    BackendId, BackendInfo, BackendState, ListKind, LoadReport, Millis, Outcome, RequestId, UnservedReason,
};
