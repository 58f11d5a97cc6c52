//! Linearizable reads. After a start an instance doesn't know which fenced commands are stale; it accepts none before a
//! read has shown the highest token of each lease.

use super::Node;
use crate::frame::Frame;
use crate::storage::ReplicaStorage;
use hillstall_lease::{Instance, Millis};

/// A read without an answer is requested again after this long.
const READ_RETRY_INTERVAL_MS: Millis = 300;
/// The most reads that may wait for an answer; the oldest are dropped first.
const MAX_PENDING_READS: usize = 4_096;

/// Who waits for the answer of a read.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReadRequester {
    /// This instance.
    Local,
    /// An attached instance, with the number that the read has there.
    Follower { instance: Instance, number: u64 },
}

impl<D: ReplicaStorage> Node<D> {
    /// Requests a read if fenced commands aren't accepted yet and no recent request is out.
    pub(super) fn request_fencing_read(&mut self, now: Millis) {
        let is_due = self.read_sent_at.is_none_or(|at| now.saturating_sub(at) >= READ_RETRY_INTERVAL_MS);
        if self.leases.accepts_commands() || self.fencing_read_index.is_some() || !is_due {
            return;
        }
        self.read_sent_at = Some(now);
        self.last_number += 1;
        let number = self.last_number;
        match &mut self.replica {
            Some(replica) => {
                self.pending_reads.insert(number, ReadRequester::Local);
                replica.read_index(number);
            }
            None if self.followed.connected => {
                self.pending_reads.insert(number, ReadRequester::Local);
                self.send_to_replica(self.followed.slot, Frame::Read { number });
            }
            None => {}
        }
        while self.pending_reads.len() > MAX_PENDING_READS {
            self.pending_reads.pop_first();
        }
    }

    /// Starts a read for an attached instance.
    pub(super) fn on_read_request(&mut self, instance: Instance, number: u64) {
        let Some(replica) = &mut self.replica else { return };
        self.last_number += 1;
        self.pending_reads.insert(self.last_number, ReadRequester::Follower { instance, number });
        replica.read_index(self.last_number);
    }

    /// Passes the answer of a read of the local replica to whoever waits for it.
    pub(super) fn on_read_ready(&mut self, number: u64) {
        let index = self.followers.last_index();
        match self.pending_reads.remove(&number) {
            Some(ReadRequester::Local) => self.fencing_read_index = Some(index),
            Some(ReadRequester::Follower { instance, number }) => {
                self.send_to_instance(instance, Frame::ReadIndex { number, index });
            }
            None => {}
        }
    }
}
