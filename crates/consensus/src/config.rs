//! The configuration of a [`Node`](crate::node::Node).

use hillstall_change_freeze::detection::Thresholds;
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{Instance, Millis};
use hillstall_maintenance::shift::ShiftPacing;

/// The configuration of an instance's [`Node`](crate::node::Node).
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The identity of this instance; its incarnation must differ from that of earlier processes.
    pub instance: Instance,
    /// The position of this instance's replica, from 0 to [`NodeConfig::replicas`] - 1; `None` for a
    /// follower.
    pub slot: Option<usize>,
    /// The number of replica slots in the fleet.
    pub replicas: usize,
    /// The name of the site that this instance is at.
    pub site: String,
    /// The names of all sites of the fleet, each of which has a shift lease.
    pub sites: Vec<String>,
    /// The term, clock drift and safety margin of leases; the same in the whole fleet.
    pub lease_timing: LeaseTiming,
    /// The step size, ramp and limits of a traffic shift.
    pub pacing: ShiftPacing,
    /// The thresholds above which load reports open an incident.
    pub thresholds: Thresholds,
    /// How long a fenced command stays in effect unless it is repeated, in milliseconds.
    pub command_ttl: Millis,
    /// The seed of this instance's random numbers.
    pub seed: u64,
}
