//! The plan of a window and its limits.

use super::WindowError;
use crate::Millis;
use hillstall_change_freeze::is_valid_name;
use hillstall_change_freeze::state::MAX_CHANGE_DURATION_MS;
use serde::{Deserialize, Serialize};

/// Half of a change's maximum, as a window's permit covers its duration twice so that people may overrun it.
const MAX_DURATION_MS: Millis = MAX_CHANGE_DURATION_MS / 2;
const MAX_LEAD_TIME_MS: Millis = MAX_CHANGE_DURATION_MS / 4;
const MAX_RESERVE_PERCENT: u8 = 90;

/// What happens if a window's time is over and no person has reported the end of the work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OverrunPolicy {
    /// The site stays without traffic until people end the window.
    Hold,
    /// The site gets its traffic back.
    Return,
}

/// The plan of one window. The order of the fields is the stored format.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WindowPlan {
    /// The site whose traffic is shifted away.
    pub site: String,
    /// When people may begin to work, in Unix milliseconds.
    pub starts_at: Millis,
    /// How long they may work, in milliseconds.
    pub duration: Millis,
    /// How long before `starts_at` the traffic shift may begin, in milliseconds.
    pub lead_time: Millis,
    /// How much later than planned the window may begin, in milliseconds.
    pub max_delay: Millis,
    /// The capacity that the other sites must keep free, in percent.
    pub reserve_percent: u8,
    /// What happens if the time is over and no person has reported the end of the work.
    pub overrun_policy: OverrunPolicy,
}

impl WindowPlan {
    pub(super) fn validate(&self) -> Result<(), WindowError> {
        if !is_valid_name(&self.site) {
            return Err(WindowError::InvalidPlan(
                "a site's name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'",
            ));
        }
        let has_valid_duration = (1..=MAX_DURATION_MS).contains(&self.duration);
        if !has_valid_duration || self.lead_time > MAX_LEAD_TIME_MS {
            return Err(WindowError::InvalidPlan("a window lasts up to 12 hours, and its lead up to 6"));
        }
        if self.reserve_percent > MAX_RESERVE_PERCENT {
            return Err(WindowError::InvalidPlan("a reserve is at most 90 in a hundred"));
        }
        Ok(())
    }

    pub(super) fn is_same_occurrence(&self, other: &WindowPlan) -> bool {
        self.site == other.site && self.starts_at == other.starts_at
    }
}
