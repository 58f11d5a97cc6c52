//! Every order of commands that two coordinators, a person and a change may propose, complete for stated bounds: a permit
//! never stands beside an incident that bars it, two that meet are never in flight, and what a coordinator that was
//! followed by another says has no effect.

use hillstall_change_freeze::rules::{ChangeKind, Reaction, Severity};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{ChangeRequest, FreezeCommand as Freeze, Requester};
use hillstall_consensus::state::{Command, Outcome, Proposal, ProposalId, State, COORDINATOR_LEASE};
use hillstall_lease::table::LeaseCommand as Lease;
use hillstall_lease::{FencingToken, Instance, LeaseName};
use stateright::{Checker, Model, Property};

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// What a coordinator says is taken whatever its token.
    AnyToken,
    /// A permit is given whatever incident is open.
    NoIncidents,
    /// Incidents are known to their coordinator alone, and go with it.
    Forgets,
}

const STEPS: u8 = 6;

struct Permits(Fault);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Now {
    state: State,
    steps: u8,
    /// Something that must not be has happened.
    wrong: bool,
    opened: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    /// The first or the second coordinator, by whatever token it had, opens an incident or says that it is over.
    Opens(u8),
    Resolves(u8),
    /// The duty goes to the other.
    Lapses,
    Asks(u8),
    Ends(u64),
    /// What waits has waited long enough.
    RunsOut(u64),
    Cools(u64),
}

fn duty() -> LeaseName {
    LeaseName::new(COORDINATOR_LEASE).expect("a name")
}

fn copy(rank: u8) -> Instance {
    Instance { rank: u32::from(rank), life: 1 }
}

/// `nth` command of a step: each has a name of its own, as one that comes twice acts once.
fn apply(now: &mut Now, nth: u64, command: Command) -> Outcome {
    let number = 100 * u64::from(now.steps) + nth;
    let id = ProposalId { instance: copy(9), number };
    now.state.apply(number, &Proposal { id, command })
}

impl Permits {
    fn site(n: u8) -> Scope {
        Scope::Site(["north", "south"][usize::from(n % 2)].into())
    }

    /// The token that a coordinator believes in: its own, newest or not.
    fn token(state: &State, by: u8) -> FencingToken {
        let newest = state.leases().highest_token(&duty());
        match state.leases().grant(&duty()) {
            Some(grant) if grant.holder == copy(by) => grant.token,
            _ => FencingToken(newest.0.saturating_sub(1)),
        }
    }
}

impl Model for Permits {
    type State = Now;
    type Action = Act;

    fn init_states(&self) -> Vec<Now> {
        let mut now = Now { state: State::default(), steps: 0, wrong: false, opened: false };
        for rank in 0..2 {
            let id = ProposalId { instance: copy(rank), number: 1 };
            let command = Command::Lease(Lease::Acquire { lease: duty(), instance: copy(rank), rank: 0 });
            now.state.apply(u64::from(rank) + 1, &Proposal { id, command });
        }
        vec![now]
    }

    fn actions(&self, now: &Now, actions: &mut Vec<Act>) {
        if now.steps >= STEPS || now.wrong {
            return;
        }
        actions.extend([Act::Opens(0), Act::Opens(1), Act::Resolves(0), Act::Resolves(1), Act::Lapses]);
        actions.extend([Act::Asks(0), Act::Asks(1)]);
        actions.extend(now.state.freeze().changes().keys().flat_map(|n| [Act::Ends(*n), Act::RunsOut(*n)]));
        actions.extend(now.state.freeze().incidents().keys().map(|n| Act::Cools(*n)));
    }

    fn next_state(&self, before: &Now, act: Act) -> Option<Now> {
        let mut now = before.clone();
        now.steps += 1;
        let owner = before.state.leases().grant(&duty()).map(|grant| grant.holder);
        match act {
            Act::Opens(by) | Act::Resolves(by) => {
                let newest = before.state.leases().highest_token(&duty());
                let own = Permits::token(&before.state, by);
                let token = if self.0 == Fault::AnyToken { newest } else { own };
                let by_rule = Requester::Rule(token.0);
                let command = match act {
                    Act::Opens(_) => Freeze::OpenIncident {
                        severity: Severity::Major,
                        scope: Permits::site(0),
                        evidence: "lost".into(),
                        opened_by: by_rule,
                    },
                    _ => Freeze::ResolveIncident {
                        incident: *before.state.freeze().incidents().keys().next()?,
                        resolved_by: by_rule,
                    },
                };
                let outcome = apply(&mut now, 0, Command::Freeze(command));
                let old = owner != Some(copy(by));
                let took = now.state.freeze() != before.state.freeze();
                now.wrong |= old && took && !matches!(outcome, Outcome::GrantEnded { .. });
                now.opened |= matches!(act, Act::Opens(_)) && took;
            }
            Act::Lapses => {
                let grant = before.state.leases().grant(&duty())?;
                let (token, renewals) = (grant.token, grant.renewals);
                apply(&mut now, 0, Command::Lease(Lease::Expire { lease: duty(), token, renewals }));
                let stand = Lease::Acquire { lease: duty(), instance: grant.holder, rank: 0 };
                let id = ProposalId { instance: grant.holder, number: u64::from(now.steps) + 1_000 };
                now.state.apply(1, &Proposal { id, command: Command::Lease(stand) });
                if self.0 == Fault::Forgets {
                    let incidents: Vec<u64> = now.state.freeze().incidents().keys().copied().collect();
                    for incident in incidents {
                        let by = Requester::Person("nobody".into());
                        apply(
                            &mut now,
                            1,
                            Command::Freeze(Freeze::ResolveIncident { incident, resolved_by: by }),
                        );
                        let version = now.state.freeze().incidents()[&incident].version;
                        apply(&mut now, 2, Command::Freeze(Freeze::CooldownElapsed { incident, version }));
                    }
                }
            }
            Act::Asks(n) => {
                let wish = ChangeRequest {
                    kind: ChangeKind::Drain,
                    scope: Permits::site(n),
                    requested_by: "tom".into(),
                    priority: 1,
                    max_duration: 1_000,
                    reaction: Reaction::Undo,
                };
                let bars = before.state.freeze().blocking_incident(ChangeKind::Drain, &wish.scope).is_some();
                let command = match self.0 == Fault::NoIncidents && bars {
                    // As if nobody looked: two people are made up, and it passes.
                    true => {
                        apply(&mut now, 1, Command::Freeze(Freeze::RequestEmergencyChange(wish.clone())));
                        Freeze::RequestEmergencyChange(ChangeRequest { requested_by: "ann".into(), ..wish })
                    }
                    false => Freeze::RequestChange(wish),
                };
                apply(&mut now, 0, Command::Freeze(command));
            }
            Act::Ends(change) => {
                apply(&mut now, 0, Command::Freeze(Freeze::FinishChange { change }));
            }
            Act::RunsOut(change) => {
                let version = before.state.freeze().changes()[&change].version;
                apply(&mut now, 0, Command::Freeze(Freeze::ExpireChange { change, version }));
            }
            Act::Cools(incident) => {
                let version = before.state.freeze().incidents()[&incident].version;
                apply(&mut now, 0, Command::Freeze(Freeze::CooldownElapsed { incident, version }));
            }
        }
        Some(now)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no two that meet, none that an incident bars", |_, now: &Now| {
                let register = now.state.freeze();
                let barred = register.changes().values().any(|c| {
                    c.status == hillstall_change_freeze::state::ChangeStatus::InFlight
                        && register.blocking_incident(c.request.kind, &c.request.scope).is_some()
                });
                register.check_invariants().is_none() && !barred
            }),
            Property::always("an old coordinator has no effect", |_, now: &Now| !now.wrong),
            Property::always(
                "an incident goes only once it was resolved and has cooled down",
                |_, now: &Now| {
                    let lines = || now.state.freeze().audit_log().iter();
                    let over = lines().filter(|line| line.description == "over").count();
                    let resolved =
                        lines().filter(|line| line.description.starts_with("resolved by Rule")).count();
                    !now.opened || over <= resolved
                },
            ),
        ]
    }
}

#[test]
fn permits_and_incidents_hold_whatever_two_coordinators_do() {
    let checker = Permits(Fault::None).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    println!("{} states, {} unique, {STEPS} steps", checker.state_count(), checker.unique_state_count());
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [Fault::AnyToken, Fault::NoIncidents, Fault::Forgets] {
        let checker = Permits(fault).checker().threads(2).spawn_bfs().join();
        assert!(!checker.discoveries().is_empty(), "{fault:?} is not found");
    }
}
