//! The audit events of an instance: lease changes and fenced commands, by which a fleet's behaviour is checked afterwards.

use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::{FencingToken, LeaseName};
use hillstall_maintenance::TrafficFraction;

/// An act of this instance that the leasing rules govern.
#[derive(Clone, Debug, PartialEq)]
pub enum AuditEvent {
    /// This instance may act under the lease, with this fencing token, from now on.
    LeaseAcquired(LeaseName, FencingToken),
    /// This instance may no longer act under the lease with this fencing token.
    LeaseLost(LeaseName, FencingToken),
    /// A fenced command was applied here.
    CommandApplied(FencedCommand<TrafficFraction>),
    /// A fenced command was rejected here, with the reason.
    CommandRejected(FencedCommand<TrafficFraction>, String),
}
