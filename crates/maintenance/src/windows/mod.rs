//! The replicated state of all windows.
//!
//! A window gets its permit in the command that admits it, so that no incident can open in between; and no sequence of
//! commands leaves two sites without their traffic at once.

mod command;
mod permit;
mod plan;
mod window;

pub use command::{WindowCommand, WindowError};
pub use plan::{OverrunPolicy, WindowPlan};
pub use window::{Stage, Window};

use hillstall_change_freeze::state::{FreezeState, SequenceNumber};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Maximum number of windows, which bounds the size of a snapshot; those that are over are dropped first.
pub const MAX_WINDOWS: usize = 256;

/// All windows. Equal commands in equal order give equal states on all replicas.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Windows {
    last_number: SequenceNumber,
    all: BTreeMap<SequenceNumber, Window>,
}

impl Windows {
    /// Applies a committed command. Permits are requested from `freeze` and returned to it.
    pub fn apply(&mut self, command: &WindowCommand, freeze: &mut FreezeState) -> Result<(), WindowError> {
        match command {
            WindowCommand::Plan(plan) => self.plan(plan),
            WindowCommand::Cancel { window } => self.window_mut(*window)?.cancel(freeze),
            WindowCommand::End { window } => self.window_mut(*window)?.end_work(),
            WindowCommand::Admit { window, baseline_rate } => {
                let other_shifted = self.other_shifted(*window);
                self.window_mut(*window)?.admit(*baseline_rate, other_shifted, freeze)
            }
            WindowCommand::Postpone { window, reason } => self.window_mut(*window)?.postpone(reason, freeze),
            WindowCommand::ReduceTraffic { window, fraction } => {
                self.window_mut(*window)?.reduce_traffic(*fraction, freeze)
            }
            WindowCommand::MarkEmpty { window } => self.window_mut(*window)?.mark_empty(),
            WindowCommand::Begin { window } => self.window_mut(*window)?.begin(freeze),
            WindowCommand::MarkOverrun { window } => self.window_mut(*window)?.mark_overrun(),
            WindowCommand::RestoreTraffic { window, fraction, reason } => {
                self.window_mut(*window)?.restore_traffic(*fraction, reason.as_deref())
            }
            WindowCommand::Finish { window } => self.window_mut(*window)?.finish(freeze),
        }
    }

    fn window_mut(&mut self, number: SequenceNumber) -> Result<&mut Window, WindowError> {
        self.all.get_mut(&number).ok_or(WindowError::NotFound)
    }

    /// Another window whose site is without its usual traffic.
    fn other_shifted(&self, number: SequenceNumber) -> Option<SequenceNumber> {
        let mut others = self.all.iter().filter(|(other, _)| **other != number);
        others.find(|(_, window)| window.stage.takes_traffic_away()).map(|(other, _)| *other)
    }

    fn plan(&mut self, plan: &WindowPlan) -> Result<(), WindowError> {
        plan.validate()?;
        // Each replica's calendar plans the same windows, and again after each start.
        if self.all.values().any(|window| window.plan.is_same_occurrence(plan)) {
            return Ok(());
        }
        if self.all.len() >= MAX_WINDOWS {
            self.drop_oldest_finished()?;
        }
        self.last_number += 1;
        self.all.insert(self.last_number, Window::planned(plan.clone()));
        Ok(())
    }

    fn drop_oldest_finished(&mut self) -> Result<(), WindowError> {
        let finished = self.all.iter().find(|(_, window)| window.stage.is_final());
        let number = *finished.ok_or(WindowError::CapacityReached)?.0;
        self.all.remove(&number);
        Ok(())
    }

    /// The site that a command concerns; `None` for a new or unknown window.
    pub fn site_of(&self, command: &WindowCommand) -> Option<&str> {
        Some(self.all.get(&command.window()?)?.plan.site.as_str())
    }

    /// All windows by number.
    pub fn all(&self) -> &BTreeMap<SequenceNumber, Window> {
        &self.all
    }

    /// Describes a violated invariant, if any: two sites are without their traffic at once.
    pub fn check_invariants(&self) -> Option<String> {
        let mut away = self.all.iter().filter(|(_, window)| window.stage.takes_traffic_away());
        let ((first, _), (second, _)) = (away.next()?, away.next()?);
        Some(format!("windows {first} and {second} are away at once"))
    }
}
