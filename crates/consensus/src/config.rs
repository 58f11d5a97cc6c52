//! The configuration of an instance's part in the fleet.

use hillstall_change_freeze::detection::Thresholds;
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{Instance, Millis};
use hillstall_maintenance::shift::ShiftPacing;

/// How an instance takes part in the fleet.
#[derive(Clone, Debug)]
pub struct NodeConfig {
    /// The identity of this instance.
    pub instance: Instance,
    /// The replica slot of this instance; `None` for a follower.
    pub slot: Option<usize>,
    /// The number of replicas in the fleet.
    pub replicas: usize,
    /// The site of this instance.
    pub site: String,
    /// All sites of the fleet.
    pub sites: Vec<String>,
    /// The term and clock margins of leases.
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
