//! The periodic work of a lease holder. The coordinator, which holds the coordinator lease, opens and
//! resolves incidents by rule; the holder of a site's shift lease executes the site's maintenance windows.

use super::proposals::PROPOSAL_TIMEOUT_MS;
use super::{known_state, Node};
use crate::lease_manager::HeldLease;
use crate::state::{Command, COORDINATOR_LEASE};
use crate::storage::ReplicaStorage;
use hillstall_change_freeze::detection::{Observation, Symptom};
use hillstall_change_freeze::scope::Scope;
use hillstall_lease::{FencingToken, Millis};

impl<D: ReplicaStorage> Node<D> {
    /// Does the work of each lease that this instance holds.
    pub(super) fn act_as_lease_holder(&mut self, now: Millis, unix: Millis) {
        let held_leases = self.leases.held_leases(now);
        if held_leases.is_empty() {
            return;
        }
        let consensus_time = self.consensus_time(now, unix);
        let mut load = self.reports.fleet_load(now);
        for held_lease in held_leases {
            if held_lease.site.is_some() {
                if let Some(command) = self.shift_traffic(now, consensus_time, &held_lease, &mut load) {
                    self.broadcast_command(now, command);
                }
            } else if is_coordinator(&held_lease) {
                self.propose_incident_changes(now, held_lease.token);
            }
        }
    }

    /// Proposes to open and resolve incidents, as the rules say for the current load reports.
    fn propose_incident_changes(&mut self, now: Millis, token: FencingToken) {
        let mut observations = self.reports.observations(now);
        observations.extend(self.observe_quorum_margin());
        let freeze = known_state(&self.replica, &self.followed).freeze();
        let commands = self.detector.poll(now, &observations, freeze, token.0);
        for command in commands {
            self.propose_once(now, Command::Freeze(command), PROPOSAL_TIMEOUT_MS);
        }
    }

    /// Observes whether the loss of one more replica would end the quorum; `None` unless the local replica is
    /// the leader, which alone knows the active voters.
    fn observe_quorum_margin(&self) -> Option<Observation> {
        let active_voters = self.replica.as_ref()?.active_voters()?;
        let replicas = self.config.replicas;
        let majority = replicas / 2 + 1;
        let is_at_margin = active_voters <= majority && replicas > 1;
        let level = if is_at_margin { 1.0 } else { 0.0 };
        Some(Observation { scope: Scope::Replicas, symptom: Symptom::QuorumMargin, level })
    }
}

fn is_coordinator(held_lease: &HeldLease) -> bool {
    held_lease.lease.to_string() == COORDINATOR_LEASE
}
