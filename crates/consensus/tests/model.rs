//! Model checking of the replicated state: every order of the commands that two coordinators, a person and a
//! change may propose, and of the timers that may run out, up to [`MAX_STEPS`] steps. No change is in flight
//! that an active incident blocks, two conflicting changes are never in flight at once, and the command of a
//! coordinator whose grant has ended has no effect.

use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{ChangeRequest, ChangeStatus, FreezeCommand, Requester};
use hillstall_consensus::state::{Command, Outcome, Proposal, ProposalId, State, COORDINATOR_LEASE};
use hillstall_lease::table::LeaseCommand;
use hillstall_lease::{FencingToken, Instance, LeaseName};
use stateright::{Checker, Model, Property};

/// A fault planted in the model, which the model checker must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedFault {
    None,
    /// A coordinator's command carries the current token, even if its grant has ended.
    AnyToken,
    /// A change is permitted although an open incident blocks it.
    IgnoredIncidents,
    /// Incidents are lost when the coordinator changes.
    ForgottenIncidents,
}

const MAX_STEPS: u8 = 6;
/// The rank of the instance that proposes most commands. The two coordinators have the ranks 0 and 1.
const PROPOSER_RANK: u8 = 9;

struct PermitModel(PlantedFault);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct ModelState {
    state: State,
    steps: u8,
    /// Whether a command of a coordinator without a current grant had an effect.
    stale_coordinator_acted: bool,
    /// Whether an incident was opened.
    opened: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Action {
    /// A coordinator, by rank, opens an incident with the token that it knows.
    OpenIncident { coordinator: u8 },
    /// A coordinator, by rank, resolves an incident with the token that it knows.
    ResolveIncident { coordinator: u8 },
    /// The coordinator lease expires, and is granted to the other instance.
    ExpireLease,
    /// A person requests a change at a site.
    RequestChange { site: u8 },
    /// The change with this number is finished.
    FinishChange(u64),
    /// The timer of the change with this number runs out.
    ExpireChange(u64),
    /// The cooldown of the incident with this number ends.
    EndCooldown(u64),
}

fn coordinator_lease() -> LeaseName {
    LeaseName::new(COORDINATOR_LEASE).expect("a lease name")
}

fn instance(rank: u8) -> Instance {
    Instance { rank: u32::from(rank), incarnation: 1 }
}

fn site(number: u8) -> Scope {
    Scope::Site(["north", "south"][usize::from(number % 2)].into())
}

impl ModelState {
    /// Applies a command; `number_in_step` distinguishes the commands of one step.
    fn apply(&mut self, number_in_step: u64, command: Command) -> Outcome {
        // Each command needs another proposal id: it would be taken for a retry otherwise.
        let number = 100 * u64::from(self.steps) + number_in_step;
        let id = ProposalId { instance: instance(PROPOSER_RANK), number };
        self.state.apply(number, &Proposal { id, command })
    }

    fn apply_freeze(&mut self, number_in_step: u64, command: FreezeCommand) -> Outcome {
        self.apply(number_in_step, Command::Freeze(command))
    }

    /// The token that a coordinator believes to be current: that of its grant, or the one before the newest.
    fn token_known_to(&self, coordinator: u8) -> FencingToken {
        let newest = self.state.leases().highest_token(&coordinator_lease());
        match self.state.leases().grant(&coordinator_lease()) {
            Some(grant) if grant.holder == instance(coordinator) => grant.token,
            _ => FencingToken(newest.0.saturating_sub(1)),
        }
    }
}

impl PermitModel {
    /// The requester in a command of a coordinator, with the token that it believes to be current.
    fn requester(&self, before: &ModelState, coordinator: u8) -> Requester {
        let token = match self.0 {
            PlantedFault::AnyToken => before.state.leases().highest_token(&coordinator_lease()),
            _ => before.token_known_to(coordinator),
        };
        Requester::Coordinator(token.0)
    }

    /// Applies a coordinator's command. Returns whether it had an effect.
    fn act_as_coordinator(&self, next: &mut ModelState, coordinator: u8, command: FreezeCommand) -> bool {
        let holder = next.state.leases().grant(&coordinator_lease()).map(|grant| grant.holder);
        let freeze_before = next.state.freeze().clone();
        let outcome = next.apply_freeze(0, command);
        let is_stale = holder != Some(instance(coordinator));
        let had_effect = *next.state.freeze() != freeze_before;
        let was_rejected = matches!(outcome, Outcome::GrantEnded { .. });
        next.stale_coordinator_acted |= is_stale && had_effect && !was_rejected;
        had_effect
    }

    /// Expires the grant of the coordinator lease; the previous holder becomes a candidate again.
    fn expire_lease(&self, next: &mut ModelState) -> Option<()> {
        let grant = next.state.leases().grant(&coordinator_lease())?;
        let expire =
            LeaseCommand::Expire { lease: coordinator_lease(), token: grant.token, renewals: grant.renewals };
        next.apply(0, Command::Lease(expire));
        let acquire = LeaseCommand::Acquire { lease: coordinator_lease(), instance: grant.holder, rank: 0 };
        let id = ProposalId { instance: grant.holder, number: u64::from(next.steps) + 1_000 };
        next.state.apply(1, &Proposal { id, command: Command::Lease(acquire) });
        if self.0 == PlantedFault::ForgottenIncidents {
            forget_incidents(next);
        }
        Some(())
    }

    fn request_change(&self, next: &mut ModelState, site_number: u8) {
        let request = ChangeRequest {
            kind: ChangeKind::Drain,
            scope: site(site_number),
            requested_by: "tom".into(),
            priority: 1,
            max_duration: 1_000,
            reaction: Reaction::Undo,
        };
        let is_blocked = next.state.freeze().blocking_incident(ChangeKind::Drain, &request.scope).is_some();
        if self.0 == PlantedFault::IgnoredIncidents && is_blocked {
            // Two people request it as an emergency change, so that it passes as if there were no incident.
            next.apply_freeze(1, FreezeCommand::RequestEmergencyChange(request.clone()));
            let second = ChangeRequest { requested_by: "ann".into(), ..request };
            next.apply_freeze(0, FreezeCommand::RequestEmergencyChange(second));
        } else {
            next.apply_freeze(0, FreezeCommand::RequestChange(request));
        }
    }
}

/// Ends all incidents, as if they were lost.
fn forget_incidents(next: &mut ModelState) {
    let incidents: Vec<u64> = next.state.freeze().incidents().keys().copied().collect();
    for incident in incidents {
        let resolved_by = Requester::Person("nobody".into());
        next.apply_freeze(1, FreezeCommand::ResolveIncident { incident, resolved_by });
        let version = next.state.freeze().incidents()[&incident].version;
        next.apply_freeze(2, FreezeCommand::CooldownElapsed { incident, version });
    }
}

impl Model for PermitModel {
    type State = ModelState;
    type Action = Action;

    fn init_states(&self) -> Vec<ModelState> {
        let mut state = State::default();
        for rank in 0..2 {
            let id = ProposalId { instance: instance(rank), number: 1 };
            let acquire =
                LeaseCommand::Acquire { lease: coordinator_lease(), instance: instance(rank), rank: 0 };
            state.apply(u64::from(rank) + 1, &Proposal { id, command: Command::Lease(acquire) });
        }
        vec![ModelState { state, steps: 0, stale_coordinator_acted: false, opened: false }]
    }

    fn actions(&self, model: &ModelState, actions: &mut Vec<Action>) {
        if model.steps >= MAX_STEPS || model.stale_coordinator_acted {
            return;
        }
        let freeze = model.state.freeze();
        actions.extend((0..2).map(|coordinator| Action::OpenIncident { coordinator }));
        actions.extend((0..2).map(|coordinator| Action::ResolveIncident { coordinator }));
        actions.push(Action::ExpireLease);
        actions.extend((0..2).map(|site| Action::RequestChange { site }));
        for change in freeze.changes().keys() {
            actions.extend([Action::FinishChange(*change), Action::ExpireChange(*change)]);
        }
        actions.extend(freeze.incidents().keys().map(|incident| Action::EndCooldown(*incident)));
    }

    fn next_state(&self, before: &ModelState, action: Action) -> Option<ModelState> {
        let mut next = before.clone();
        next.steps += 1;
        match action {
            Action::OpenIncident { coordinator } => {
                let command = FreezeCommand::OpenIncident {
                    severity: Severity::Major,
                    scope: site(0),
                    evidence: "lost".into(),
                    opened_by: self.requester(before, coordinator),
                };
                next.opened |= self.act_as_coordinator(&mut next, coordinator, command);
            }
            Action::ResolveIncident { coordinator } => {
                let command = FreezeCommand::ResolveIncident {
                    incident: *before.state.freeze().incidents().keys().next()?,
                    resolved_by: self.requester(before, coordinator),
                };
                self.act_as_coordinator(&mut next, coordinator, command);
            }
            Action::ExpireLease => self.expire_lease(&mut next)?,
            Action::RequestChange { site } => self.request_change(&mut next, site),
            Action::FinishChange(change) => {
                next.apply_freeze(0, FreezeCommand::FinishChange { change });
            }
            Action::ExpireChange(change) => {
                let version = before.state.freeze().changes()[&change].version;
                next.apply_freeze(0, FreezeCommand::ExpireChange { change, version });
            }
            Action::EndCooldown(incident) => {
                let version = before.state.freeze().incidents()[&incident].version;
                next.apply_freeze(0, FreezeCommand::CooldownElapsed { incident, version });
            }
        }
        Some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no conflicting changes, and none that an incident blocks", |_, model| {
                has_no_conflicts(model)
            }),
            Property::always("a stale coordinator has no effect", |_, model: &ModelState| {
                !model.stale_coordinator_acted
            }),
            Property::always(
                "an incident ends only once it was resolved and has cooled down",
                |_, model: &ModelState| !model.opened || ended_incidents_were_resolved(model),
            ),
        ]
    }
}

fn has_no_conflicts(model: &ModelState) -> bool {
    let freeze = model.state.freeze();
    let is_blocked_in_flight = freeze.changes().values().any(|change| {
        change.status == ChangeStatus::InFlight
            && freeze.blocking_incident(change.request.kind, &change.request.scope).is_some()
    });
    freeze.check_invariants().is_none() && !is_blocked_in_flight
}

fn ended_incidents_were_resolved(model: &ModelState) -> bool {
    let descriptions = || model.state.freeze().audit_log().iter().map(|record| &record.description);
    let ended = descriptions().filter(|description| *description == "over").count();
    let resolved = descriptions().filter(|description| description.starts_with("resolved by Rule")).count();
    ended <= resolved
}

#[test]
fn no_order_of_commands_violates_the_rules_of_permits_and_incidents() {
    let checker = PermitModel(PlantedFault::None).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states, {} unique, {MAX_STEPS} steps", checker.state_count(), checker.unique_state_count());
}

#[test]
fn each_planted_fault_is_found() {
    let faults = [PlantedFault::AnyToken, PlantedFault::IgnoredIncidents, PlantedFault::ForgottenIncidents];
    for fault in faults {
        let checker = PermitModel(fault).checker().threads(2).spawn_bfs().join();
        assert!(!checker.discoveries().is_empty(), "{fault:?} is not found");
    }
}
