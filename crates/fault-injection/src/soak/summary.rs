//! The results of the requests at the proxy under test in one run of the soak.

use super::clients::TARGET;
use crate::history::{ClientAttempt, ClientResult, ProcessEvent};
use crate::run::ScenarioRun;
use std::fmt;

/// The numbers of requests that clients sent to the proxy under test in one run, by result.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SoakSummary {
    /// Requests with a response of any status, valid or not.
    pub answered: usize,
    /// Requests that the proxy did not accept, as far as the client can tell: the connection was refused, or
    /// closed before the request was read.
    pub not_accepted: usize,
    /// Requests whose client closed the connection first.
    pub abandoned: usize,
    /// Requests without a response. Each is a violation for the checker unless an event excuses it.
    pub unanswered: usize,
    /// Whether the process still ran when SIGKILL was due.
    pub was_killed: bool,
}

impl SoakSummary {
    /// Counts the requests of a run.
    pub fn of(run: &ScenarioRun) -> SoakSummary {
        let killed = |change: &&crate::history::ProcessEventRecord| {
            change.process == TARGET && change.event == ProcessEvent::Killed
        };
        let mut summary = SoakSummary {
            was_killed: run.observations.process_events.iter().any(|change| killed(&change)),
            ..Self::default()
        };
        run.observations
            .client_attempts
            .iter()
            .filter(|attempt| attempt.process == TARGET)
            .for_each(|attempt| summary.add(attempt));
        summary
    }

    fn add(&mut self, attempt: &ClientAttempt) {
        let count = match attempt.result {
            ClientResult::Served
            | ClientResult::Refused
            | ClientResult::Failed(_)
            | ClientResult::Invalid(_) => &mut self.answered,
            ClientResult::NotAccepted => &mut self.not_accepted,
            ClientResult::Abandoned => &mut self.abandoned,
            ClientResult::Broken | ClientResult::Unanswered => &mut self.unanswered,
        };
        *count += 1;
    }
}

impl fmt::Display for SoakSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let end = if self.was_killed { "killed" } else { "exited by itself" };
        let SoakSummary { answered, not_accepted, abandoned, unanswered, .. } = self;
        write!(
            f,
            "{answered} answered, {not_accepted} not accepted, {abandoned} abandoned, {unanswered} without a response; {end}"
        )
    }
}
