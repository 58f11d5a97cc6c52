//! Commands to the replicated windows, and why they are rejected.

use super::{Stage, WindowPlan, MAX_WINDOWS};
use crate::TrafficFraction;
use hillstall_change_freeze::state::SequenceNumber;
use serde::{Deserialize, Serialize};

/// A command to the replicated windows. A window is identified by its number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WindowCommand {
    /// A person or the calendar plans a window. Planning the same one again has no effect.
    Plan(WindowPlan),
    /// A person cancels a window. If it has begun, the site first gets its traffic back.
    Cancel {
        /// The window.
        window: SequenceNumber,
    },
    /// A person reports the end of the work.
    End {
        /// The window.
        window: SequenceNumber,
    },
    /// The lease holder: the other sites can take the site's traffic.
    Admit {
        /// The window.
        window: SequenceNumber,
        /// See [`super::Window::baseline_rate`].
        baseline_rate: u64,
    },
    /// The lease holder: the window can't or must not begin in time.
    Postpone {
        /// The window.
        window: SequenceNumber,
        /// The reason, for people.
        reason: String,
    },
    /// The lease holder: the site is to get this fraction of its traffic, less than before.
    ReduceTraffic {
        /// The window.
        window: SequenceNumber,
        /// The fraction.
        fraction: TrafficFraction,
    },
    /// The lease holder: the site gets next to no requests any more.
    MarkEmpty {
        /// The window.
        window: SequenceNumber,
    },
    /// The lease holder: people may begin to work.
    Begin {
        /// The window.
        window: SequenceNumber,
    },
    /// The lease holder: the time is over, and the site stays without traffic.
    MarkOverrun {
        /// The window.
        window: SequenceNumber,
    },
    /// The lease holder: the site is to get this fraction of its traffic, at least as much as before.
    RestoreTraffic {
        /// The window.
        window: SequenceNumber,
        /// The fraction.
        fraction: TrafficFraction,
        /// Why the window is aborted, for people; `None` if it is not.
        reason: Option<String>,
    },
    /// The lease holder: the site has all of its traffic again.
    Finish {
        /// The window.
        window: SequenceNumber,
    },
}

impl WindowCommand {
    /// Whether only the holder of the site's lease may propose it.
    pub fn requires_lease(&self) -> bool {
        !matches!(self, WindowCommand::Plan(_) | WindowCommand::Cancel { .. } | WindowCommand::End { .. })
    }

    /// The window that it concerns; `None` for a new one.
    pub(super) fn window(&self) -> Option<SequenceNumber> {
        match self {
            WindowCommand::Plan(_) => None,
            WindowCommand::Cancel { window }
            | WindowCommand::End { window }
            | WindowCommand::Admit { window, .. }
            | WindowCommand::Postpone { window, .. }
            | WindowCommand::ReduceTraffic { window, .. }
            | WindowCommand::MarkEmpty { window }
            | WindowCommand::Begin { window }
            | WindowCommand::MarkOverrun { window }
            | WindowCommand::RestoreTraffic { window, .. }
            | WindowCommand::Finish { window } => Some(*window),
        }
    }
}

/// Why a command had no effect.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WindowError {
    /// There is no such window.
    #[error("there is no window of that number")]
    NotFound,
    /// The command does not apply in the window's stage.
    #[error("the window is {0}")]
    Stage(Stage),
    /// Another site is without its traffic; holds the number of its window.
    #[error("window {0} has its site away")]
    OtherSiteShifted(SequenceNumber),
    /// The fraction does not change in the direction of the command.
    #[error("a site that gets {from} in a thousand can't go to {to} this way")]
    InvalidFraction {
        /// The current fraction.
        from: TrafficFraction,
        /// The fraction in the command.
        to: TrafficFraction,
    },
    /// The window has no permit, or has to react to an incident; holds the reason.
    #[error("no permit: {0}")]
    NoPermit(String),
    /// There are [`MAX_WINDOWS`] windows, and none of them is over.
    #[error("there are {MAX_WINDOWS} windows")]
    CapacityReached,
    /// The plan is invalid; holds the reason.
    #[error("{0}")]
    InvalidPlan(&'static str),
}
