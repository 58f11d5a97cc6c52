//! All that can happen, in every order, to a few owners, one place that carries out, and messages that come late, twice or
//! never: a model check of grants and gates, complete for the bounds stated below. Each planted fault must be found.

use hillstall_lease::fencing::{FencedCommand, FencingChecks, MinimumToken};
use hillstall_lease::table::{LeaseCommand, LeaseTable};
use hillstall_lease::{FencingToken, Instance, LeaseName};
use stateright::{Checker, Model, Property};

/// Owners, grants at the most, and starts of the place that carries out.
const OWNERS: u32 = 3;
const GRANTS: u64 = 3;
const STARTS: u8 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// Orders are carried out whatever their token.
    NoCheck,
    /// A start opens the gates before a floor was told.
    OpenAtStart,
    /// The floor is what some keeper had, and not a true read.
    StaleFloor,
}

struct Fleet(Fault);

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct State {
    book: LeaseTable,
    /// The book as a keeper had it that was left behind.
    behind: LeaseTable,
    /// What each owner last heard that it holds: it may be long over, as owners are stopped and go on.
    believes: Vec<Option<FencingToken>>,
    /// Orders under way; they stay, so that each may come late, twice, or never.
    sent: Vec<FencedCommand<u64>>,
    gates: FencingChecks<u64>,
    starts: u8,
    /// The highest token that was ever carried out here, over all starts, and whether one below it was later.
    highest: FencingToken,
    fell: bool,
}

#[derive(Clone, Debug, PartialEq)]
enum Act {
    Stand(u32),
    Hear(u32),
    Lapse,
    Send(u32),
    Deliver(usize),
    Restart,
    Read,
}

fn duty() -> LeaseName {
    LeaseName::new("shift/north").expect("a name")
}

fn owner(rank: u32) -> Instance {
    Instance { rank, life: 0 }
}

impl Model for Fleet {
    type State = State;
    type Action = Act;

    fn init_states(&self) -> Vec<State> {
        vec![State {
            book: LeaseTable::default(),
            behind: LeaseTable::default(),
            believes: vec![None; OWNERS as usize],
            sent: Vec::new(),
            gates: FencingChecks::default(),
            starts: 1,
            highest: FencingToken(0),
            fell: false,
        }]
    }

    fn actions(&self, state: &State, acts: &mut Vec<Act>) {
        let newest = state.book.highest_token(&duty());
        for rank in 0..OWNERS {
            if newest.0 < GRANTS {
                acts.push(Act::Stand(rank));
            }
            acts.push(Act::Hear(rank));
            acts.push(Act::Send(rank));
        }
        if newest.0 < GRANTS {
            acts.push(Act::Lapse);
        }
        acts.extend((0..state.sent.len()).map(Act::Deliver));
        if state.starts < STARTS {
            acts.push(Act::Restart);
        }
        acts.push(Act::Read);
    }

    fn next_state(&self, last: &State, act: Act) -> Option<State> {
        let mut state = last.clone();
        let grant = state.book.grant(&duty());
        match act {
            Act::Stand(rank) => {
                let signs = state.book.leases().flat_map(|(_, _, standing)| standing);
                if signs.into_iter().any(|one| one.instance == owner(rank)) {
                    return None;
                }
                state.behind = state.book.clone();
                state
                    .book
                    .apply(&LeaseCommand::Acquire { lease: duty(), instance: owner(rank), rank: 0 })
                    .ok()?;
            }
            // At any time, also while the holder is well: that stands for clocks that run apart without bound.
            Act::Lapse => {
                let grant = grant?;
                state.behind = state.book.clone();
                let lapse =
                    LeaseCommand::Expire { lease: duty(), token: grant.token, renewals: grant.renewals };
                state.book.apply(&lapse).ok()?;
            }
            Act::Hear(rank) => {
                let grant = grant.filter(|grant| grant.holder == owner(rank))?;
                state.believes[rank as usize] = Some(grant.token);
            }
            Act::Send(rank) => {
                let token = state.believes[rank as usize]?;
                let order = FencedCommand {
                    lease: duty(),
                    token,
                    sequence: 0,
                    valid_for: 1,
                    value: token.0,
                    fallback: 0,
                };
                if state.sent.contains(&order) {
                    return None;
                }
                state.sent.push(order);
                state.sent.sort_by_key(|order| order.token);
            }
            Act::Deliver(i) => {
                let order = state.sent[i].clone();
                let token = order.token;
                if self.0 != Fault::NoCheck {
                    state.gates.accept(0, order).ok()?;
                }
                state.fell |= token < state.highest;
                state.highest = state.highest.max(token);
            }
            Act::Restart => {
                state.starts += 1;
                state.gates = FencingChecks::default();
                if self.0 == Fault::OpenAtStart {
                    state.gates.raise_minimum(&duty(), MinimumToken::default());
                }
            }
            Act::Read => {
                let from = if self.0 == Fault::StaleFloor { &state.behind } else { &state.book };
                state.gates.raise_minimum(
                    &duty(),
                    MinimumToken { token: from.highest_token(&duty()), sequence: None },
                );
            }
        }
        Some(state).filter(|state| state != last)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no order has an effect after one of a later owner", |_, s: &State| !s.fell),
            Property::sometimes("the last grant is carried out after a restart", |_, s: &State| {
                s.highest == FencingToken(GRANTS) && s.starts == STARTS
            }),
        ]
    }
}

#[test]
fn no_order_has_an_effect_after_one_of_a_later_owner() {
    let checker = Fleet(Fault::None).checker().threads(2).spawn_bfs().join();
    checker.assert_properties();
    assert!(checker.is_done());
    println!("{} states, {} unique", checker.state_count(), checker.unique_state_count());
}

#[test]
fn each_planted_fault_is_found() {
    for fault in [Fault::NoCheck, Fault::OpenAtStart, Fault::StaleFloor] {
        let checker = Fleet(fault).checker().threads(2).spawn_bfs().join();
        let found = checker.discovery("no order has an effect after one of a later owner");
        assert!(found.is_some(), "{fault:?} was not found");
    }
}
