//! Model checking of grants and fencing, exhaustive within the bounds below.
//!
//! The model has a few lease holders and one instance that executes their commands. Messages arrive late,
//! twice or never, in every order. The model is also checked with planted faults, each of which must be
//! found.

mod common;

use common::lease_name;
use hillstall_lease::fencing::{FencedCommand, FencingChecks, MinimumToken};
use hillstall_lease::table::{LeaseCommand, LeaseTable};
use hillstall_lease::{FencingToken, Instance};
use stateright::{Checker, Model, Property};

const HOLDERS: u32 = 3;
const MAX_GRANTS: u64 = 3;
/// How often the instance that executes commands is started.
const MAX_STARTS: u8 = 3;
const NO_STALE_COMMAND: &str = "no command is executed after one of a later holder";

#[derive(Clone, Copy, Debug, PartialEq)]
enum PlantedFault {
    None,
    /// Commands are executed without a check of their token.
    NoFencingCheck,
    /// A restarted instance accepts commands before it knows a minimum token.
    AcceptAtStart,
    /// The minimum token is read from a replica that lags behind, instead of by a linearizable read.
    StaleRead,
}

struct FleetModel(PlantedFault);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    table: LeaseTable,
    /// The table of a replica that lags behind by one command.
    stale_table: LeaseTable,
    /// The token of the last grant that each holder has learned of. The grant may have ended long ago, as a
    /// holder may be suspended at any time.
    known_tokens: Vec<Option<FencingToken>>,
    /// All commands ever sent. Delivered ones stay, so that each may arrive late, twice or never.
    sent: Vec<FencedCommand<u64>>,
    fencing: FencingChecks<u64>,
    starts: u8,
    /// The highest token of an executed command, over all starts.
    highest_accepted: FencingToken,
    /// Whether a command was executed after one with a higher token.
    stale_accepted: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Action {
    Acquire(u32),
    LearnGrant(u32),
    Expire,
    Send(u32),
    Deliver(usize),
    Restart,
    ReadMinimum,
}

fn holder(rank: u32) -> Instance {
    Instance { rank, incarnation: 0 }
}

impl State {
    fn is_candidate(&self, instance: Instance) -> bool {
        let mut candidates = self.table.leases().flat_map(|(_, _, candidates)| candidates);
        candidates.any(|candidate| candidate.instance == instance)
    }

    fn acquire(&mut self, rank: u32) -> Option<()> {
        if self.is_candidate(holder(rank)) {
            return None;
        }
        self.apply(&LeaseCommand::Acquire { lease: lease_name(), instance: holder(rank), rank: 0 })
    }

    /// A grant may expire at any time, also while its holder is alive: that covers clocks that drift without
    /// bound.
    fn expire(&mut self) -> Option<()> {
        let grant = self.table.grant(&lease_name())?;
        let (token, renewals) = (grant.token, grant.renewals);
        self.apply(&LeaseCommand::Expire { lease: lease_name(), token, renewals })
    }

    fn apply(&mut self, command: &LeaseCommand) -> Option<()> {
        self.stale_table = self.table.clone();
        self.table.apply(command).ok()?;
        Some(())
    }

    fn learn_grant(&mut self, rank: u32) -> Option<()> {
        let grant = self.table.grant(&lease_name()).filter(|grant| grant.holder == holder(rank))?;
        self.known_tokens[rank as usize] = Some(grant.token);
        Some(())
    }

    fn send(&mut self, rank: u32) -> Option<()> {
        let token = self.known_tokens[rank as usize]?;
        let command = FencedCommand {
            lease: lease_name(),
            token,
            sequence: 0,
            valid_for: 1,
            value: token.0,
            fallback: 0,
        };
        if self.sent.contains(&command) {
            return None;
        }
        self.sent.push(command);
        self.sent.sort_by_key(|command| command.token);
        Some(())
    }

    fn deliver(&mut self, index: usize, fault: PlantedFault) -> Option<()> {
        let command = self.sent[index].clone();
        let token = command.token;
        if fault != PlantedFault::NoFencingCheck {
            self.fencing.accept(0, command).ok()?;
        }
        self.stale_accepted |= token < self.highest_accepted;
        self.highest_accepted = self.highest_accepted.max(token);
        Some(())
    }

    fn restart(&mut self, fault: PlantedFault) {
        self.starts += 1;
        self.fencing = FencingChecks::default();
        if fault == PlantedFault::AcceptAtStart {
            self.fencing.raise_minimum(&lease_name(), MinimumToken::default());
        }
    }

    fn read_minimum(&mut self, fault: PlantedFault) {
        let table = if fault == PlantedFault::StaleRead { &self.stale_table } else { &self.table };
        let minimum = MinimumToken { token: table.highest_token(&lease_name()), sequence: None };
        self.fencing.raise_minimum(&lease_name(), minimum);
    }
}

impl Model for FleetModel {
    type State = State;
    type Action = Action;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            table: LeaseTable::default(),
            stale_table: LeaseTable::default(),
            known_tokens: vec![None; HOLDERS as usize],
            sent: Vec::new(),
            fencing: FencingChecks::default(),
            starts: 1,
            highest_accepted: FencingToken(0),
            stale_accepted: false,
        }]
    }

    fn actions(&self, state: &State, actions: &mut Vec<Action>) {
        let can_grant = state.table.highest_token(&lease_name()).0 < MAX_GRANTS;
        for rank in 0..HOLDERS {
            if can_grant {
                actions.push(Action::Acquire(rank));
            }
            actions.push(Action::LearnGrant(rank));
            actions.push(Action::Send(rank));
        }
        if can_grant {
            actions.push(Action::Expire);
        }
        actions.extend((0..state.sent.len()).map(Action::Deliver));
        if state.starts < MAX_STARTS {
            actions.push(Action::Restart);
        }
        actions.push(Action::ReadMinimum);
    }

    fn next_state(&self, last: &State, action: Action) -> Option<State> {
        let mut state = last.clone();
        match action {
            Action::Acquire(rank) => state.acquire(rank)?,
            Action::Expire => state.expire()?,
            Action::LearnGrant(rank) => state.learn_grant(rank)?,
            Action::Send(rank) => state.send(rank)?,
            Action::Deliver(index) => state.deliver(index, self.0)?,
            Action::Restart => state.restart(self.0),
            Action::ReadMinimum => state.read_minimum(self.0),
        }
        Some(state).filter(|state| state != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(NO_STALE_COMMAND, |_, state: &State| !state.stale_accepted),
            Property::sometimes(
                "a command of the last grant is executed after a restart",
                |_, state: &State| {
                    state.highest_accepted == FencingToken(MAX_GRANTS) && state.starts == MAX_STARTS
                },
            ),
        ]
    }
}

#[test]
fn no_command_is_executed_after_one_of_a_later_holder() {
    let checker = FleetModel(PlantedFault::None).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [PlantedFault::NoFencingCheck, PlantedFault::AcceptAtStart, PlantedFault::StaleRead] {
        let checker = FleetModel(fault).checker().threads(2).spawn_bfs().join();
        assert!(checker.discovery(NO_STALE_COMMAND).is_some(), "{fault:?} was not found");
    }
}
