//! One window, its stages and the transitions between them.

use super::permit::{check_permit, request_permit, return_permit};
use super::{WindowError, WindowPlan};
use crate::{TrafficFraction, FULL_TRAFFIC};
use hillstall_change_freeze::state::{FreezeState, SequenceNumber};
use serde::{Deserialize, Serialize};
use std::fmt;

const MAX_REASON_CHARS: usize = 200;
/// The reason of a cancelled window. It is replicated, so all versions must write the same bytes.
const CANCELLED_REASON: &str = "called off";

/// The stage of a window. The order of the variants is the order in which a window passes through them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// The traffic shift has not been admitted yet.
    Planned,
    /// The window has its permit; no traffic has been shifted yet.
    Admitted,
    /// Traffic is being shifted away from the site.
    Shifting,
    /// The site gets almost no requests any more.
    Empty,
    /// People work at the site.
    Running,
    /// The site's traffic is being restored.
    Returning,
    /// The window is over, and full traffic is commanded; if the return was overdue, the site may get less.
    Done,
    /// The window could not begin in time.
    Postponed,
    /// A person cancelled the window before traffic was shifted.
    Cancelled,
}

impl Stage {
    /// Whether the site gets less than its usual traffic, or may at any moment: from `Admitted` to
    /// `Returning`.
    pub fn takes_traffic_away(self) -> bool {
        (Stage::Admitted..=Stage::Returning).contains(&self)
    }

    /// Whether the window is over, postponed or cancelled, so that its stage no longer changes.
    pub fn is_final(self) -> bool {
        self >= Stage::Done
    }
}

impl fmt::Display for Stage {
    /// The stage's name in admin answers and in replicated outcomes. All versions must write the same bytes.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Stage::Planned => "planned",
            Stage::Admitted => "admitted",
            Stage::Shifting => "shifting",
            Stage::Empty => "empty",
            Stage::Running => "running",
            Stage::Returning => "returning",
            Stage::Done => "done",
            Stage::Postponed => "postponed",
            Stage::Cancelled => "cancelled",
        })
    }
}

/// A window and its progress. The order of the fields is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Window {
    /// The plan, which does not change.
    pub plan: WindowPlan,
    /// The current stage.
    pub stage: Stage,
    /// The commanded fraction of the site's usual traffic.
    pub fraction: TrafficFraction,
    /// The site's usual traffic before the shift, in requests per 1,000 seconds.
    pub baseline_rate: u64,
    /// The number of the change that holds the window's permit; `None` before admission and after the end.
    pub change: Option<SequenceNumber>,
    /// Whether the planned duration is over while people still work.
    pub overrun: bool,
    /// Why the window was postponed, cancelled or aborted, or ended as overdue; empty otherwise.
    pub reason: String,
}

impl Window {
    pub(super) fn planned(plan: WindowPlan) -> Window {
        Window {
            plan,
            stage: Stage::Planned,
            fraction: FULL_TRAFFIC,
            baseline_rate: 0,
            change: None,
            overrun: false,
            reason: String::new(),
        }
    }

    pub(super) fn cancel(&mut self, freeze: &mut FreezeState) -> Result<(), WindowError> {
        match self.stage {
            Stage::Planned | Stage::Admitted => self.close(Stage::Cancelled, CANCELLED_REASON, freeze),
            Stage::Shifting | Stage::Empty | Stage::Running => {
                self.stage = Stage::Returning;
                self.reason = CANCELLED_REASON.into();
            }
            _ => return Err(WindowError::Stage(self.stage)),
        }
        Ok(())
    }

    pub(super) fn end_work(&mut self) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Empty, Stage::Running])?;
        self.stage = Stage::Returning;
        Ok(())
    }

    /// Requests the permit and admits the window in one step, so that no incident can open in between.
    /// `other_shifted` is the number of another window that takes traffic away from its site, if there is
    /// one.
    pub(super) fn admit(
        &mut self,
        baseline_rate: u64,
        other_shifted: Option<SequenceNumber>,
        freeze: &mut FreezeState,
    ) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Planned])?;
        if let Some(other) = other_shifted {
            return Err(WindowError::OtherSiteShifted(other));
        }
        self.change = Some(request_permit(&self.plan, freeze)?);
        self.stage = Stage::Admitted;
        self.baseline_rate = baseline_rate;
        Ok(())
    }

    pub(super) fn postpone(&mut self, reason: &str, freeze: &mut FreezeState) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Planned, Stage::Admitted])?;
        self.close(Stage::Postponed, reason, freeze);
        Ok(())
    }

    pub(super) fn reduce_traffic(
        &mut self,
        fraction: TrafficFraction,
        freeze: &FreezeState,
    ) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Admitted, Stage::Shifting])?;
        check_permit(self.change, freeze)?;
        if fraction >= self.fraction {
            return Err(WindowError::InvalidFraction { from: self.fraction, to: fraction });
        }
        self.stage = Stage::Shifting;
        self.fraction = fraction;
        Ok(())
    }

    pub(super) fn mark_empty(&mut self) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Shifting])?;
        self.require_fraction(0)?;
        self.stage = Stage::Empty;
        Ok(())
    }

    pub(super) fn begin(&mut self, freeze: &FreezeState) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Empty])?;
        check_permit(self.change, freeze)?;
        self.stage = Stage::Running;
        Ok(())
    }

    pub(super) fn mark_overrun(&mut self) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Running])?;
        self.overrun = true;
        Ok(())
    }

    pub(super) fn restore_traffic(
        &mut self,
        fraction: TrafficFraction,
        reason: Option<&str>,
    ) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Shifting, Stage::Empty, Stage::Running, Stage::Returning])?;
        if fraction < self.fraction || fraction > FULL_TRAFFIC {
            return Err(WindowError::InvalidFraction { from: self.fraction, to: fraction });
        }
        self.stage = Stage::Returning;
        self.fraction = fraction;
        // The first reason explains what happened; later ones don't replace it.
        if let Some(reason) = reason.filter(|_| self.reason.is_empty()) {
            self.reason = truncated(reason);
        }
        Ok(())
    }

    pub(super) fn finish(&mut self, freeze: &mut FreezeState) -> Result<(), WindowError> {
        self.require_stage(&[Stage::Returning])?;
        self.require_fraction(FULL_TRAFFIC)?;
        let reason = self.reason.clone();
        self.close(Stage::Done, &reason, freeze);
        Ok(())
    }

    fn require_stage(&self, allowed: &[Stage]) -> Result<(), WindowError> {
        if allowed.contains(&self.stage) {
            Ok(())
        } else {
            Err(WindowError::Stage(self.stage))
        }
    }

    fn require_fraction(&self, fraction: TrafficFraction) -> Result<(), WindowError> {
        if self.fraction == fraction {
            Ok(())
        } else {
            Err(WindowError::Stage(self.stage))
        }
    }

    /// Moves to a final stage and returns the permit.
    fn close(&mut self, stage: Stage, reason: &str, freeze: &mut FreezeState) {
        self.stage = stage;
        self.reason = truncated(reason);
        if let Some(change) = self.change.take() {
            return_permit(change, freeze);
        }
    }
}

fn truncated(reason: &str) -> String {
    reason.chars().take(MAX_REASON_CHARS).collect()
}
