//! The audit events of an instance: lease changes and fenced commands. From the events of all instances it
//! can be checked whether a fleet has kept the rules of leases and fencing.

use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::{FencingToken, LeaseName};
use hillstall_maintenance::TrafficFraction;

/// Something that this instance did under the rules of leases and fencing.
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
