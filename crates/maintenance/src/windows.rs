//! The states of a window. A window's permit is asked for in the same command that admits it, so no incident can open
//! between the two; and no command makes two sites be away at once.

use crate::{Millis, TrafficFraction, FULL_TRAFFIC};
use hillstall_change_freeze::rules::{ChangeKind, Reaction};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{
    self as freeze, ChangeRequest, ChangeStatus, FreezeState, Number, Response,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;

/// Most windows that are kept; ended ones go first.
pub const MAX_WINDOWS: usize = 256;

/// What happens when the time is over and nobody has said that the work is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum OverrunPolicy {
    /// The site stays away until people say that it may come back.
    Hold,
    /// It comes back.
    Return,
}

/// A window as it was planned.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct WindowPlan {
    /// The site.
    pub site: String,
    /// When people may begin to work, in Unix time.
    pub starts_at: Millis,
    /// For how long.
    pub duration: Millis,
    /// How long before the beginning the shift may start.
    pub lead_time: Millis,
    /// How much later than planned it may begin.
    pub max_delay: Millis,
    /// The part of their capacity that the other sites must keep free, in hundredths.
    pub reserve_percent: u8,
    /// See there.
    pub overrun_policy: OverrunPolicy,
}

/// Where a window stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Stage {
    /// Its time has not come.
    Planned,
    /// It has its permit; nothing was shifted yet.
    Admitted,
    /// The site's load moves away.
    Shifting,
    /// Next to nothing comes to the site any more.
    Empty,
    /// People work there.
    Running,
    /// The site's load comes back.
    Returning,
    /// It is over.
    Done,
    /// It could not begin in time.
    Postponed,
    /// Somebody has called it off before it began.
    Cancelled,
}

impl Stage {
    /// Whether the site has less than its usual load, or may have from one instant to the next.
    pub fn takes_traffic_away(self) -> bool {
        (Stage::Admitted..=Stage::Returning).contains(&self)
    }

    /// Whether nothing comes after it.
    pub fn is_final(self) -> bool {
        self >= Stage::Done
    }
}

impl fmt::Display for Stage {
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

/// A window, and where it stands.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Window {
    /// As it was planned.
    pub plan: WindowPlan,
    /// Where it stands.
    pub stage: Stage,
    /// The part of its usual load that the site is to get.
    pub fraction: TrafficFraction,
    /// The site's calls in a thousand seconds, before anything was shifted.
    pub baseline_rate: u64,
    /// Its permit.
    pub change: Option<Number>,
    /// Its time is over, and people are still at work.
    pub overrun: bool,
    /// Why it was postponed, cancelled or aborted.
    pub reason: String,
}

/// What is proposed to the keepers. A window is named by its number.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum WindowCommand {
    /// A person or the calendar plans one. The same one twice is one.
    Plan(WindowPlan),
    /// A person calls it off; one that has begun comes back first.
    Cancel {
        /// Which.
        window: Number,
    },
    /// A person says that the work is over.
    End {
        /// Which.
        window: Number,
    },
    /// The owner: it has been looked at, and the others can bear it.
    Admit {
        /// Which.
        window: Number,
        /// See [`Window::baseline_rate`].
        baseline_rate: u64,
    },
    /// The owner: it can't begin in time, or must not begin.
    Postpone {
        /// Which.
        window: Number,
        /// Why.
        reason: String,
    },
    /// The owner: the site is to get this part, less than before.
    ReduceTraffic {
        /// Which.
        window: Number,
        /// Which part.
        fraction: TrafficFraction,
    },
    /// The owner: nothing comes there any more.
    MarkEmpty {
        /// Which.
        window: Number,
    },
    /// The owner: people may begin.
    Begin {
        /// Which.
        window: Number,
    },
    /// The owner: its time is over, and it stays away.
    MarkOverrun {
        /// Which.
        window: Number,
    },
    /// The owner: the site is to get this part, more than before. Given with a reason where it is an abort.
    RestoreTraffic {
        /// Which.
        window: Number,
        /// Which part.
        fraction: TrafficFraction,
        /// Why before its time, if so.
        reason: Option<String>,
    },
    /// The owner: the site has all of its load again.
    Finish {
        /// Which.
        window: Number,
    },
}

impl WindowCommand {
    /// Whether only the owner of the site's shift may propose it.
    pub fn requires_lease(&self) -> bool {
        !matches!(self, WindowCommand::Plan(_) | WindowCommand::Cancel { .. } | WindowCommand::End { .. })
    }

    fn window(&self) -> Option<Number> {
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

/// Why nothing came of a command.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WindowError {
    /// There is no such window.
    #[error("there is no window of that number")]
    Unknown,
    /// The command does not lead on from where the window stands.
    #[error("the window is {0}")]
    Stage(Stage),
    /// Another site is away.
    #[error("window {0} has its site away")]
    OtherAway(Number),
    /// The part does not go the way that the command says.
    #[error("a site that gets {from} in a thousand can't go to {to} this way")]
    Part {
        /// Before.
        from: TrafficFraction,
        /// Asked for.
        to: TrafficFraction,
    },
    /// It has no permit, or has to react to an incident.
    #[error("no permit: {0}")]
    NoPermit(String),
    /// There are as many windows as may be.
    #[error("there are {MAX_WINDOWS} windows")]
    Full,
    /// A plan that can't be carried out.
    #[error("{0}")]
    Plan(&'static str),
}

/// All windows.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Windows {
    last_number: Number,
    all: BTreeMap<Number, Window>,
}

impl Windows {
    /// Applies what the keepers have agreed on.
    pub fn apply(&mut self, command: &WindowCommand, register: &mut FreezeState) -> Result<(), WindowError> {
        if let WindowCommand::Plan(plan) = command {
            return self.plan(plan);
        }
        let number = command.window().ok_or(WindowError::Unknown)?;
        let away =
            self.all.iter().find(|(n, w)| **n != number && w.stage.takes_traffic_away()).map(|(n, _)| *n);
        let window = self.all.get_mut(&number).ok_or(WindowError::Unknown)?;
        let wrong = Err(WindowError::Stage(window.stage));
        match (command, window.stage) {
            (WindowCommand::Cancel { .. }, Stage::Planned | Stage::Admitted) => {
                window.end(Stage::Cancelled, "called off", register)
            }
            (WindowCommand::Cancel { .. }, Stage::Shifting | Stage::Empty | Stage::Running) => {
                (window.stage, window.reason) = (Stage::Returning, "called off".into());
            }
            (WindowCommand::End { .. }, Stage::Empty | Stage::Running) => window.stage = Stage::Returning,
            (WindowCommand::Admit { baseline_rate: usual, .. }, Stage::Planned) => {
                if let Some(other) = away {
                    return Err(WindowError::OtherAway(other));
                }
                window.change = Some(request_permit(&window.plan, register)?);
                (window.stage, window.baseline_rate) = (Stage::Admitted, *usual);
            }
            (WindowCommand::Postpone { reason: why, .. }, Stage::Planned | Stage::Admitted) => {
                window.end(Stage::Postponed, why, register)
            }
            (WindowCommand::ReduceTraffic { fraction: part, .. }, Stage::Admitted | Stage::Shifting) => {
                window.may_go_on(register)?;
                if *part >= window.fraction {
                    return Err(WindowError::Part { from: window.fraction, to: *part });
                }
                (window.stage, window.fraction) = (Stage::Shifting, *part);
            }
            (WindowCommand::MarkEmpty { .. }, Stage::Shifting) if window.fraction == 0 => {
                window.stage = Stage::Empty
            }
            (WindowCommand::Begin { .. }, Stage::Empty) => {
                window.may_go_on(register)?;
                window.stage = Stage::Running;
            }
            (WindowCommand::MarkOverrun { .. }, Stage::Running) => window.overrun = true,
            (
                WindowCommand::RestoreTraffic { fraction: part, reason: why, .. },
                Stage::Shifting | Stage::Empty | Stage::Running | Stage::Returning,
            ) => {
                if *part < window.fraction || *part > FULL_TRAFFIC {
                    return Err(WindowError::Part { from: window.fraction, to: *part });
                }
                (window.stage, window.fraction) = (Stage::Returning, *part);
                if let Some(why) = why.as_ref().filter(|_| window.reason.is_empty()) {
                    window.reason = why.chars().take(200).collect();
                }
            }
            (WindowCommand::Finish { .. }, Stage::Returning) if window.fraction == FULL_TRAFFIC => {
                let why = window.reason.clone();
                window.end(Stage::Done, &why, register);
            }
            _ => return wrong,
        }
        Ok(())
    }

    fn plan(&mut self, plan: &WindowPlan) -> Result<(), WindowError> {
        if !hillstall_change_freeze::is_valid_name(&plan.site) {
            return Err(WindowError::Plan(
                "a site's name has 1 to 64 letters, digits, '-', '.', '_', '/' or '@'",
            ));
        }
        if plan.duration == 0
            || plan.duration > freeze::MAX_CHANGE_DURATION_MS / 2
            || plan.lead_time > freeze::MAX_CHANGE_DURATION_MS / 4
        {
            return Err(WindowError::Plan("a window lasts up to 12 hours, and its lead up to 6"));
        }
        if plan.reserve_percent > 90 {
            return Err(WindowError::Plan("a reserve is at most 90 in a hundred"));
        }
        // The calendar of each keeper plans the same one, and again after each start.
        if self.all.values().any(|w| w.plan.site == plan.site && w.plan.starts_at == plan.starts_at) {
            return Ok(());
        }
        if self.all.len() >= MAX_WINDOWS {
            let over = self.all.iter().find(|(_, w)| w.stage.is_final()).map(|(n, _)| *n);
            self.all.remove(&over.ok_or(WindowError::Full)?);
        }
        self.last_number += 1;
        let plan = plan.clone();
        let (stage, why) = (Stage::Planned, String::new());
        let new = Window {
            plan,
            stage,
            fraction: FULL_TRAFFIC,
            baseline_rate: 0,
            change: None,
            overrun: false,
            reason: why,
        };
        self.all.insert(self.last_number, new);
        Ok(())
    }

    /// The site that a command is about.
    pub fn site_of(&self, command: &WindowCommand) -> Option<&str> {
        Some(self.all.get(&command.window()?)?.plan.site.as_str())
    }

    /// All windows by number.
    pub fn all(&self) -> &BTreeMap<Number, Window> {
        &self.all
    }

    /// What must never be: two sites away.
    pub fn check_invariants(&self) -> Option<String> {
        let away: Vec<_> = self.all.iter().filter(|(_, w)| w.stage.takes_traffic_away()).collect();
        (away.len() > 1).then(|| format!("windows {} and {} are away at once", away[0].0, away[1].0))
    }
}

impl Window {
    fn end(&mut self, stage: Stage, why: &str, register: &mut FreezeState) {
        (self.stage, self.reason) = (stage, why.chars().take(200).collect());
        if let Some(change) = self.change.take() {
            register.apply(&freeze::FreezeCommand::FinishChange { change });
        }
    }

    /// Whether its permit still lets it take more away.
    fn may_go_on(&self, register: &FreezeState) -> Result<(), WindowError> {
        let stand = self.change.and_then(|change| register.changes().get(&change)).map(|c| c.status);
        match stand {
            Some(ChangeStatus::InFlight) => Ok(()),
            Some(stand) => Err(WindowError::NoPermit(format!("it {}", stored_status(stand)))),
            None => Err(WindowError::NoPermit("it has run out".into())),
        }
    }
}

/// Asks for a permit that is given now or not at all: a window that waits in line would keep others from theirs.
fn request_permit(plan: &WindowPlan, register: &mut FreezeState) -> Result<Number, WindowError> {
    let whole = plan.lead_time + plan.max_delay + plan.duration.saturating_mul(2);
    let wish = ChangeRequest {
        kind: ChangeKind::Window,
        scope: Scope::Site(plan.site.clone()),
        requested_by: "calendar".into(),
        priority: 100,
        max_duration: whole.clamp(1, freeze::MAX_CHANGE_DURATION_MS),
        reaction: Reaction::Undo,
    };
    match register.apply(&freeze::FreezeCommand::RequestChange(wish)) {
        Response::Permitted(number) => Ok(number),
        Response::Queued { change, behind } => {
            register.apply(&freeze::FreezeCommand::FinishChange { change });
            Err(WindowError::NoPermit(format!("change {behind} goes first")))
        }
        Response::Blocked { change, incident, .. } => {
            register.apply(&freeze::FreezeCommand::FinishChange { change });
            Err(WindowError::NoPermit(format!("incident {incident} is active")))
        }
        Response::Accepted(number) => Err(WindowError::NoPermit(format!("Done({number})"))),
        Response::AwaitingSecondApproval(number) => Err(WindowError::NoPermit(format!("Half({number})"))),
        Response::Rejected(reason) => {
            Err(WindowError::NoPermit(format!("Refused({})", stored_reason(reason))))
        }
    }
}

/// The word for a status in a replicated outcome: every version has to write the same bytes.
fn stored_status(status: ChangeStatus) -> &'static str {
    match status {
        ChangeStatus::Queued => "Waits",
        ChangeStatus::AwaitingSecondApproval => "Half",
        ChangeStatus::InFlight => "InFlight",
        ChangeStatus::Reacting => "Reacts",
        ChangeStatus::Overdue => "Stuck",
    }
}

/// The word for a reason in a replicated outcome: every version has to write the same bytes.
fn stored_reason(reason: freeze::RejectReason) -> &'static str {
    match reason {
        freeze::RejectReason::NotFound => "Unknown",
        freeze::RejectReason::Superseded => "Over",
        freeze::RejectReason::NotByRule => "NotByRule",
        freeze::RejectReason::SamePerson => "SamePerson",
        freeze::RejectReason::InvalidName => "Name",
        freeze::RejectReason::InvalidDuration => "Runs",
        freeze::RejectReason::CapacityReached => "Full",
    }
}
