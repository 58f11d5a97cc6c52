//! The replicated state of all windows.
//!
//! The command that admits a window also requests its permit, so that no incident can open in between. No
//! sequence of commands shifts traffic away from two sites at once.

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

/// Maximum number of windows; to make room for a new one, the oldest that is over is dropped. It bounds the
/// size of a snapshot.
pub const MAX_WINDOWS: usize = 256;

/// All windows. Replicas that apply the same commands in the same order have equal states. The order of the
/// fields is the stored format.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Windows {
    last_number: SequenceNumber,
    all: BTreeMap<SequenceNumber, Window>,
}

impl Windows {
    /// Applies a committed command. Windows request their permits from `freeze` and return them to it.
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

    /// Another window that takes traffic away from its site.
    fn other_shifted(&self, number: SequenceNumber) -> Option<SequenceNumber> {
        let mut others = self.all.iter().filter(|(other, _)| **other != number);
        others.find(|(_, window)| window.stage.takes_traffic_away()).map(|(other, _)| *other)
    }

    fn plan(&mut self, plan: &WindowPlan) -> Result<(), WindowError> {
        plan.validate()?;
        // The leading replica proposes the calendar's windows, each one again until its own copy of the state
        // contains it.
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

    /// The site that a command concerns; `None` if the command plans a window or its window does not exist.
    pub fn site_of(&self, command: &WindowCommand) -> Option<&str> {
        Some(self.all.get(&command.window()?)?.plan.site.as_str())
    }

    /// All windows by number.
    pub fn all(&self) -> &BTreeMap<SequenceNumber, Window> {
        &self.all
    }

    /// Describes the violated invariant if traffic is shifted away from two sites at once, else returns
    /// `None`.
    pub fn check_invariants(&self) -> Option<String> {
        let mut away = self.all.iter().filter(|(_, window)| window.stage.takes_traffic_away());
        let ((first, _), (second, _)) = (away.next()?, away.next()?);
        Some(format!("windows {first} and {second} are away at once"))
    }
}
