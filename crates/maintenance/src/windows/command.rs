//! Commands to the replicated windows, and the reasons for which they are rejected.

use super::{Stage, WindowPlan, MAX_WINDOWS};
use crate::TrafficFraction;
use hillstall_change_freeze::state::SequenceNumber;
use serde::{Deserialize, Serialize};

/// A command to the replicated windows. A window is identified by its number. The order of variants and
/// fields is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WindowCommand {
    /// A person or the calendar plans a window. A second plan with the same site and start has no effect.
    Plan(WindowPlan),
    /// A person cancels a window. If traffic has been shifted away, it is restored first.
    Cancel {
        /// The window's number.
        window: SequenceNumber,
    },
    /// A person reports the end of the work.
    End {
        /// The window's number.
        window: SequenceNumber,
    },
    /// The lease holder admits the window, as the other sites can take over the site's traffic.
    Admit {
        /// The window's number.
        window: SequenceNumber,
        /// See [`super::Window::baseline_rate`].
        baseline_rate: u64,
    },
    /// The lease holder postpones the window, as it can't or must not begin in time.
    Postpone {
        /// The window's number.
        window: SequenceNumber,
        /// The reason, for people; it is stored.
        reason: String,
    },
    /// The lease holder reduces the site's traffic to this fraction, which must be lower than the current
    /// one.
    ReduceTraffic {
        /// The window's number.
        window: SequenceNumber,
        /// The new fraction.
        fraction: TrafficFraction,
    },
    /// The lease holder has observed that the site gets almost no requests any more.
    MarkEmpty {
        /// The window's number.
        window: SequenceNumber,
    },
    /// The lease holder opens the window, so that people may begin to work.
    Begin {
        /// The window's number.
        window: SequenceNumber,
    },
    /// The lease holder marks that the window's time is over while the site stays without traffic.
    MarkOverrun {
        /// The window's number.
        window: SequenceNumber,
    },
    /// The lease holder restores the site's traffic to this fraction, which must not be lower than the
    /// current one.
    RestoreTraffic {
        /// The window's number.
        window: SequenceNumber,
        /// The new fraction.
        fraction: TrafficFraction,
        /// Why the window is aborted or ends as overdue, for people; `None` if it goes by plan. The text is
        /// stored.
        reason: Option<String>,
    },
    /// The lease holder ends the window, as full traffic is commanded and the site is restored, or its return
    /// is overdue.
    Finish {
        /// The window's number.
        window: SequenceNumber,
    },
}

impl WindowCommand {
    /// Whether only the holder of the site's lease may propose the command.
    pub fn requires_lease(&self) -> bool {
        !matches!(self, WindowCommand::Plan(_) | WindowCommand::Cancel { .. } | WindowCommand::End { .. })
    }

    /// The number of the window that the command concerns; `None` for a new window.
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

/// Why a command had no effect. The texts are stored in replicated outcomes, so all versions must write the
/// same bytes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WindowError {
    /// There is no window with this number.
    #[error("there is no window of that number")]
    NotFound,
    /// The command does not apply in the window's stage.
    #[error("the window is {0}")]
    Stage(Stage),
    /// Traffic is shifted away from another site; holds the number of that site's window.
    #[error("window {0} has its site away")]
    OtherSiteShifted(SequenceNumber),
    /// The fraction would not change in the direction that the command requires.
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
    /// There are [`MAX_WINDOWS`] windows, and none of them is over and could be dropped.
    #[error("there are {MAX_WINDOWS} windows")]
    CapacityReached,
    /// The plan is invalid; holds the reason.
    #[error("{0}")]
    InvalidPlan(&'static str),
}
