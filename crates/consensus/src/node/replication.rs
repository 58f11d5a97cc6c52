//! Handling of frames from replicas and attached followers, and of the events of the local replica. An
//! instance with a replica also streams the state to its followers, shares load reports and proposes
//! expirations.

use super::proposals::PROPOSAL_RETRY_INTERVAL_MS;
use super::{Destination, Node, Output};
use crate::frame::Frame;
use crate::load_reports::LoadReport;
use crate::replica::{AppliedProposal, ReplicaEvent};
use crate::state::{Command, Outcome};
use crate::storage::ReplicaStorage;
use hillstall_change_freeze::state::FreezeState;
use hillstall_lease::{Instance, Millis};

/// How often a replica sends the load reports of its instances to the other replicas.
const REPORT_SHARE_INTERVAL_MS: Millis = 500;
/// How long the proposal of an expiration is pending. It needs no retry, as an expiration is proposed anew
/// for as long as it is due.
const EXPIRATION_PROPOSAL_TIMEOUT_MS: Millis = PROPOSAL_RETRY_INTERVAL_MS;

impl<D: ReplicaStorage> Node<D> {
    /// Handles that an instance has connected to the local replica as a follower.
    pub fn on_attached(&mut self, now: Millis, instance: Instance) {
        if self.replica.is_some() {
            self.followers.attach(now, instance);
        }
    }

    /// Handles that the connection of an attached follower was lost.
    pub fn on_detached(&mut self, instance: Instance) {
        self.followers.detach(instance);
    }

    /// Handles a frame from the replica in `slot`: on a follower the followed replica, on a replica any other
    /// one. Frames that are not expected from that replica are ignored.
    pub fn on_replica_frame(&mut self, now: Millis, slot: usize, frame: Frame) {
        match frame {
            Frame::Replica(message) => {
                if let Some(replica) = &mut self.replica {
                    replica.on_message(now, slot, &message);
                }
            }
            Frame::Reports { unix, reports } => {
                self.clocks.record(now, slot, unix);
                reports.into_iter().for_each(|report| self.reports.record(now, report));
            }
            Frame::FencedCommand(command) => {
                self.relay_command(&command);
                self.apply_command(now, command);
            }
            _ if self.replica.is_some() || slot != self.followed.slot => {}
            frame => self.on_followed_frame(now, frame),
        }
    }

    /// Handles a frame from a follower that is attached to the local replica. Frames on behalf of another
    /// instance are ignored.
    pub fn on_instance_frame(&mut self, now: Millis, instance: Instance, frame: Frame) {
        let Some(replica) = &mut self.replica else { return };
        match frame {
            Frame::Propose(proposal) if proposal.id.instance == instance => {
                replica.propose(&proposal);
            }
            Frame::Read { number } => self.on_read_request(instance, number),
            Frame::Ack(index) => self.followers.on_ack(now, instance, index),
            Frame::Report(report) if report.instance == Some(instance) => self.reports.record(now, report),
            _ => {}
        }
    }

    /// Records the load report of this instance, or sends it to the followed replica. Fills in the instance
    /// and the traffic fraction of each site.
    pub fn on_report(&mut self, now: Millis, mut report: LoadReport) {
        report.instance = Some(self.config.instance);
        for (site, counts) in &mut report.sites {
            counts.fraction = (self.leases.site_fraction(site, now) * 1_000.0).round() as u16;
        }
        if self.replica.is_some() {
            self.reports.record(now, report);
        } else if self.followed.connected {
            self.send_to_replica(self.followed.slot, Frame::Report(report));
        }
    }

    /// Flushes the local replica and handles its events, until there are none. A lease that is granted to
    /// this instance is renewed at once, without waiting for the next tick.
    pub(super) fn process_replica_events(&mut self, now: Millis) {
        loop {
            let Some(replica) = &mut self.replica else { return };
            replica.flush();
            let events = replica.take_events();
            if events.is_empty() {
                return;
            }
            events.into_iter().for_each(|event| self.on_replica_event(now, event));
            self.on_state_changed(now);
            self.propose_lease_commands(now);
        }
    }

    fn on_replica_event(&mut self, now: Millis, event: ReplicaEvent) {
        match event {
            ReplicaEvent::Send { slot, message } => self.send_to_replica(slot, Frame::Replica(message)),
            ReplicaEvent::Applied(applied) => self.on_applied(now, applied),
            ReplicaEvent::Restored => {
                let index = self.state().index();
                self.followers.on_restored(index);
            }
            ReplicaEvent::ReadReady { number } => self.on_read_ready(number),
            ReplicaEvent::Log(line) => self.outputs.push(Output::Log(line)),
        }
    }

    /// Handles a proposal that the local replica has applied.
    fn on_applied(&mut self, now: Millis, applied: AppliedProposal) {
        let AppliedProposal { index, proposal, outcome, lease_record, received_at } = applied;
        if let (Command::Lease(command), Outcome::Lease(Some(grant))) = (&proposal.command, &outcome) {
            self.lease_expiry.observe(received_at, command.lease(), *grant);
        }
        // Followers store outcomes of fewer proposals, so they might apply one that was too late here.
        if outcome != Outcome::TooLate {
            self.followers.on_applied(index, &proposal, lease_record);
        }
        let id = proposal.id;
        if id.instance == self.config.instance {
            self.on_outcome(now, id.number, outcome);
        } else if self.followers.is_attached(id.instance) {
            self.send_to_instance(id.instance, Frame::Answer { id, outcome });
        }
    }

    /// Proposes the expiration of leases and change timers, if the local replica is the leader. All replicas
    /// run the timers, so that a new leader does not have to start them.
    pub(super) fn propose_expirations(&mut self, now: Millis) {
        let Some(replica) = &self.replica else { return };
        let is_leader = replica.is_leader();
        let expired_leases = self.lease_expiry.poll(now, replica.state().leases());
        let expired_timers = self.change_timers.poll(now, replica.state().freeze().timers());
        if !is_leader {
            return;
        }
        let lease_commands = expired_leases.into_iter().map(Command::Lease);
        let timer_commands = expired_timers
            .into_iter()
            .map(|(timer, version)| Command::Freeze(FreezeState::expiry_command(timer, version)));
        for command in lease_commands.chain(timer_commands) {
            self.propose_once(now, command, EXPIRATION_PROPOSAL_TIMEOUT_MS);
        }
    }

    /// Sends the system clock and the recent load reports of this instance and its followers to the other
    /// replicas, if that is due.
    pub(super) fn share_reports(&mut self, now: Millis, unix: Millis) {
        if now.saturating_sub(self.reports_shared_at) < REPORT_SHARE_INTERVAL_MS {
            return;
        }
        self.reports_shared_at = now;
        let (followers, local) = (&self.followers, self.config.instance);
        let reports =
            self.reports.recent(now, |instance| instance == local || followers.is_attached(instance));
        for slot in self.other_replica_slots() {
            self.send_to_replica(slot, Frame::Reports { unix, reports: reports.clone() });
        }
    }

    /// Sends the whole state, or the items applied since, to the followers of the local replica.
    pub(super) fn stream_to_followers(&mut self, now: Millis) {
        let Some(replica) = &self.replica else { return };
        let frames = self.followers.take_frames(now, replica.applied_index(), replica.state());
        let to_output = |(instance, frame)| Output::Send(Destination::Instance(instance), frame);
        self.outputs.extend(frames.into_iter().map(to_output));
    }
}
