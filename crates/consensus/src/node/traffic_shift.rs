//! The work of the holder of a site's shift lease: it proposes the next step of the site's maintenance
//! window, and repeatedly sends the committed traffic fraction to all instances.

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
    /// Proposes the next step of the site's current window, if one is due. Returns the command to send to all
    /// instances if the window takes traffic away from the site.
    pub(super) fn shift_traffic(
        &mut self,
        now: Millis,
        consensus_time: Millis,
        held_lease: &HeldLease,
        load: &mut FleetLoad,
    ) -> Option<FencedCommand<TrafficFraction>> {
        let site = held_lease.site.as_deref()?;
        let state = known_state(&self.replica, &self.followed);
        let (number, window) = current_window(state, site)?;
        load.blocker = shift_blocker(state.freeze(), &window, site);
        let controller = self.shift_controllers.entry(held_lease.lease.clone()).or_default();
        let next_command =
            controller.next_command((consensus_time, now), (number, &window), load, &self.config.pacing);
        let fenced_command = window.stage.takes_traffic_away().then(|| {
            self.leases.next_fenced_command(
                &held_lease.lease,
                held_lease.token,
                window.fraction,
                &self.config,
            )
        });
        if let Some(command) = next_command {
            self.propose_shift_step(now, held_lease.token, command);
        }
        fenced_command
    }

    /// Proposes one step, unless another step under the same grant is pending.
    fn propose_shift_step(&mut self, now: Millis, token: FencingToken, command: WindowCommand) {
        if self.has_pending(|pending| is_shift_step(pending, token)) {
            return;
        }
        let command = Command::Window { token: Some(token), command };
        self.propose(now, command, ProposalOrigin::Background, PROPOSAL_TIMEOUT_MS);
    }
}

/// The number and contents of a site's window to work on: one that already takes traffic away, or else the
/// open one that starts first.
fn current_window(state: &State, site: &str) -> Option<(u64, Window)> {
    let windows = state.windows().all().iter();
    let open_windows = windows.filter(|(_, window)| window.plan.site == site && !window.stage.is_final());
    let (number, window) =
        open_windows.min_by_key(|(_, window)| (!window.stage.takes_traffic_away(), window.plan.starts_at))?;
    Some((*number, window.clone()))
}

/// Whether a command is a step of a window, proposed by the lease holder with this token.
fn is_shift_step(command: &Command, holder_token: FencingToken) -> bool {
    match command {
        Command::Window { token, command } => {
            *token == Some(holder_token) && !matches!(command, WindowCommand::Plan(_))
        }
        _ => false,
    }
}

/// Why a window must not continue: its change permit has ended, or an incident in another scope, major or
/// critical, is active. `None` if it may continue.
// The texts are stored in the window's reason and replicated, so they stay as they are.
fn shift_blocker(freeze: &FreezeState, window: &Window, site: &str) -> Option<String> {
    let change = window.change.and_then(|change| freeze.changes().get(&change));
    let is_in_flight = change.is_some_and(|change| change.status == ChangeStatus::InFlight);
    if window.change.is_some() && !is_in_flight {
        return Some("its permit is over".into());
    }
    let own_scope = Scope::Site(site.to_owned());
    // An incident at the site itself does not block the window, which takes traffic off the site for work
    // there.
    let mut incidents = freeze.incidents().iter();
    let (number, incident) = incidents.find(|(_, incident)| {
        !incident.cooling_down && incident.scope != own_scope && incident.severity >= Severity::Major
    })?;
    Some(format!("incident {number} at {}: {}", incident.scope, incident.evidence))
}
