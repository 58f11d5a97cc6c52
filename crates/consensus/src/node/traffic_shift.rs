//! One site's maintenance windows, as the holder of its shift lease leads them: the next step is proposed, and the
//! fraction that was agreed on is sent to all instances again and again.

use super::proposals::{ProposalOrigin, PROPOSAL_TIMEOUT_MS};
use super::{known_state, Node};
use crate::lease_manager::HeldLease;
use crate::state::{Command, State};
use crate::storage::ReplicaStorage;
use hillstall_change_freeze::rules::Severity;
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{ChangeStatus, FreezeState};
use hillstall_lease::fencing::FencedCommand;
use hillstall_lease::{FencingToken, Millis};
use hillstall_maintenance::shift::FleetLoad;
use hillstall_maintenance::windows::{Window, WindowCommand};
use hillstall_maintenance::TrafficFraction;

impl<D: ReplicaStorage> Node<D> {
    /// Proposes the next step of the site's current window. Returns the command to send to all instances, if the window
    /// takes traffic away.
    pub(super) fn shift_traffic(
        &mut self,
        now: Millis,
        time_of_day: Millis,
        held: &HeldLease,
        load: &mut FleetLoad,
    ) -> Option<FencedCommand<TrafficFraction>> {
        let site = held.site.as_deref()?;
        let state = known_state(&self.replica, &self.followed);
        let (number, window) = current_window(state, site)?;
        load.blocker = shift_blocker(state.freeze(), &window, site);
        let controller = self.shift_controllers.entry(held.lease.clone()).or_default();
        let next_command =
            controller.next_command((time_of_day, now), (number, &window), load, &self.config.pacing);
        let fenced_command = window
            .stage
            .takes_traffic_away()
            .then(|| self.leases.next_fenced_command(&held.lease, held.token, window.fraction, &self.config));
        if let Some(command) = next_command {
            self.propose_shift_step(now, held.token, command);
        }
        fenced_command
    }

    /// Proposes one step, unless another by the same grant is pending.
    fn propose_shift_step(&mut self, now: Millis, token: FencingToken, command: WindowCommand) {
        if self.has_pending(|pending| is_shift_step(pending, token)) {
            return;
        }
        let command = Command::Window { token: Some(token), command };
        self.propose(now, command, ProposalOrigin::Background, PROPOSAL_TIMEOUT_MS);
    }
}

/// The number and window that a site's shift is about: one that has begun goes first, then the one that starts first.
fn current_window(state: &State, site: &str) -> Option<(u64, Window)> {
    let windows = state.windows().all().iter();
    let open_windows = windows.filter(|(_, window)| window.plan.site == site && !window.stage.is_final());
    let (number, window) =
        open_windows.min_by_key(|(_, window)| (!window.stage.takes_traffic_away(), window.plan.starts_at))?;
    Some((*number, window.clone()))
}

/// Whether a command is a step of a window that is led by this token.
fn is_shift_step(command: &Command, holder_token: FencingToken) -> bool {
    match command {
        Command::Window { token, command } => {
            *token == Some(holder_token) && !matches!(command, WindowCommand::Plan(_))
        }
        _ => false,
    }
}

/// Why a window must not go on: its change permit has ended, or there is a major incident elsewhere.
fn shift_blocker(freeze: &FreezeState, window: &Window, site: &str) -> Option<String> {
    let change = window.change.and_then(|change| freeze.changes().get(&change));
    let is_in_flight = change.is_some_and(|change| change.status == ChangeStatus::InFlight);
    if window.change.is_some() && !is_in_flight {
        return Some("its permit is over".into());
    }
    let own_scope = Scope::Site(site.to_owned());
    // An incident at the site itself does not count: people work there, and that is what the window is for.
    let mut incidents = freeze.incidents().iter();
    let (number, incident) = incidents.find(|(_, incident)| {
        !incident.cooling_down && incident.scope != own_scope && incident.severity >= Severity::Major
    })?;
    Some(format!("incident {number} at {}: {}", incident.scope, incident.evidence))
}
