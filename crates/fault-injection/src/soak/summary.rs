//! How the requests at the proxy that ended came out, the excused ones among them.

use super::clients::TARGET;
use crate::history::{ClientAttempt, ClientResult, ProcessEvent};
use crate::run::ScenarioRun;
use std::fmt;

/// The counts of one run, over the requests that clients sent to the proxy that ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SoakSummary {
    /// Answered, with whatever status.
    pub answered: usize,
    /// Not read, as far as the client can tell: its connection was refused, or closed as the request came.
    pub unread: usize,
    /// Given up by their clients.
    pub left: usize,
    /// Without an answer, which the checker judges: each is a violation unless an event excuses it.
    pub unanswered: usize,
    /// Whether the process was still there when it was to be killed.
    pub was_killed: bool,
}

impl SoakSummary {
    /// The counts of a run.
    pub fn of(run: &ScenarioRun) -> SoakSummary {
        let killed = |life: &&crate::history::ProcessEventRecord| {
            life.process == TARGET && life.event == ProcessEvent::Killed
        };
        let mut summary = SoakSummary {
            was_killed: run.observations.process_events.iter().any(|life| killed(&life)),
            ..Self::default()
        };
        run.observations
            .client_attempts
            .iter()
            .filter(|attempt| attempt.process == TARGET)
            .for_each(|a| summary.add(a));
        summary
    }

    fn add(&mut self, attempt: &ClientAttempt) {
        let count = match attempt.result {
            ClientResult::Served
            | ClientResult::Refused
            | ClientResult::Failed(_)
            | ClientResult::Invalid(_) => &mut self.answered,
            ClientResult::NotAccepted => &mut self.unread,
            ClientResult::Abandoned => &mut self.left,
            ClientResult::Broken | ClientResult::Unanswered => &mut self.unanswered,
        };
        *count += 1;
    }
}

impl fmt::Display for SoakSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = if self.was_killed { "killed" } else { "ended by itself" };
        let SoakSummary { answered, unread, left, unanswered, .. } = self;
        write!(
            f,
            "{answered} answered, {unread} not read, {left} left, {unanswered} without an answer; {end}"
        )
    }
}
