//! What a node's owner is to carry out: frames to send, connections to open, values to pass on and lines to log.

use crate::audit::AuditEvent;
use crate::frame::Frame;
use crate::state::Outcome;
use hillstall_lease::Instance;

/// The receiver of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// A replica, by its slot, over the connection that this instance opened to it.
    Replica(usize),
    /// An instance that is attached here, over the connection that it opened.
    Instance(Instance),
}

/// An action for the owner of a [`Node`](super::Node), who has the sockets and the logs.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a frame. It may be lost.
    Send(Destination, Frame),
    /// Connect to the replica of this slot, and close the connection to any other: it is the one to follow.
    Follow(usize),
    /// From now on a site gets this fraction of its usual traffic, from 0 to 1.
    SiteFraction(String, f64),
    /// The outcome of the request with this ticket; `None` if the replicas did not answer in time.
    Answered(u64, Option<Outcome>),
    /// Write a line to the log.
    Log(String),
    /// Write an event to the audit log.
    Audit(AuditEvent),
}
