//! Fenced commands: a lease holder sends them to all instances, and each instance checks the fencing token of
//! a command before it applies it.

use super::{Node, Output};
use crate::frame::Frame;
use crate::storage::ReplicaStorage;
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::{Instance, Millis};
use hillstall_maintenance::TrafficFraction;

impl<D: ReplicaStorage> Node<D> {
    /// Sends a command to all instances, this one included: to the other replicas, which relay it to their
    /// followers.
    pub(super) fn broadcast_command(&mut self, now: Millis, command: FencedCommand<TrafficFraction>) {
        for slot in self.other_replica_slots() {
            self.send_to_replica(slot, Frame::FencedCommand(command.clone()));
        }
        self.relay_command(&command);
        self.apply_command(now, command);
    }

    /// Sends a command to the followers that are attached to the local replica.
    pub(super) fn relay_command(&mut self, command: &FencedCommand<TrafficFraction>) {
        let attached: Vec<Instance> = self.followers.instances().collect();
        for instance in attached {
            self.send_to_instance(instance, Frame::FencedCommand(command.clone()));
        }
    }

    /// Applies a command on this instance, unless the fencing check rejects it.
    pub(super) fn apply_command(&mut self, now: Millis, command: FencedCommand<TrafficFraction>) {
        let audit_event = self.leases.apply_command(now, command);
        self.output_changed_fractions(now);
        self.outputs.extend(audit_event.map(Output::Audit));
    }

    /// Outputs the traffic fraction of each site for which it has changed enough since it was last output: by
    /// a command, by the ramp after it, or because the last command has expired.
    pub(super) fn output_changed_fractions(&mut self, now: Millis) {
        let changed = self.leases.take_changed_fractions(now);
        self.outputs.extend(changed.into_iter().map(|(site, fraction)| Output::SiteFraction(site, fraction)));
    }
}
