//! The actions that a node's owner has to execute: frames to send, connections to open, values to set, lines
//! to log.

use crate::audit::AuditEvent;
use crate::frame::Frame;
use crate::state::Outcome;
use hillstall_lease::Instance;

/// The receiver of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Destination {
    /// The replica in this slot, over the connection that this instance opened to it.
    Replica(usize),
    /// A follower that is attached to the local replica, over the connection that the follower opened.
    Instance(Instance),
}

/// An action that the owner of a [`Node`](super::Node) has to execute.
#[derive(Clone, Debug, PartialEq)]
pub enum Output {
    /// Send a frame. It may be lost.
    Send(Destination, Frame),
    /// Connect to the replica in this slot, which this instance follows from now on, and close the connection
    /// to any other replica.
    Follow(usize),
    /// Send the named site this fraction of its usual traffic, from 0 to 1, from now on.
    SiteFraction(String, f64),
    /// Report the outcome of the request with this ticket; see [`Node::request`](super::Node::request).
    /// `None` if the replicas did not answer in time: the command may still take effect.
    Answered(u64, Option<Outcome>),
    /// Write a line to the log.
    Log(String),
    /// Write an event to the audit log.
    Audit(AuditEvent),
}
