//! Linearizable reads. After a start an instance does not know which fenced commands are stale, so it rejects
//! all of them until such a read has returned the highest token of each lease.

use super::Node;
use crate::frame::Frame;
use crate::storage::ReplicaStorage;
use hillstall_lease::{Instance, Millis};

/// A read that was not answered for this long is requested again.
const READ_RETRY_INTERVAL_MS: Millis = 300;
/// The maximum number of unanswered reads; beyond it the oldest are dropped.
const MAX_PENDING_READS: usize = 4_096;

/// The requester of a read, which receives the answer.
#[derive(Clone, Copy, Debug)]
pub(super) enum ReadRequester {
    /// This instance.
    Local,
    /// An attached follower; `number` is the read's number at the follower.
    Follower { instance: Instance, number: u64 },
}

impl<D: ReplicaStorage> Node<D> {
    /// Requests a read if fenced commands are not accepted yet and the last request is too old to wait for.
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

    /// Starts a read for an attached follower.
    pub(super) fn on_read_request(&mut self, instance: Instance, number: u64) {
        let Some(replica) = &mut self.replica else { return };
        self.last_number += 1;
        self.pending_reads.insert(self.last_number, ReadRequester::Follower { instance, number });
        replica.read_index(self.last_number);
    }

    /// Passes the answer to a read of the local replica to the requester.
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
