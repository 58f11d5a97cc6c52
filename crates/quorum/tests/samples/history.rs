//! A history of proposals that leaves something in every part of the replicated state.

use super::freeze::{request, site};
use super::lease::{instance, lease_name};
use super::maintenance::plan;
use hillstall_freeze::register::{Answer, By, Command as Freeze, Number};
use hillstall_freeze::rules::{Kind, Severity};
use hillstall_freeze::scope::Scope;
use hillstall_lease::book::Command as Lease;
use hillstall_lease::Token;
use hillstall_maintenance::machine::{Command as Window, Overrun};
use hillstall_quorum::state::{Command, Id, Outcome, Proposal, State};
use std::collections::BTreeMap;

/// A proposal, the index of its entry, and what became of it.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The index of its entry in the log.
    pub index: u64,
    /// What was proposed.
    pub proposal: Proposal,
    /// What became of it.
    pub outcome: Outcome,
}

/// A state, and what was applied to it.
#[derive(Default)]
pub struct History {
    /// The state after all that was applied.
    pub state: State,
    /// In order.
    pub applied: Vec<Applied>,
    index: u64,
    numbers: BTreeMap<u32, u64>,
}

impl History {
    /// Applies an instance's next proposal.
    fn propose(&mut self, rank: u32, command: Command) -> Outcome {
        let number = self.numbers.entry(rank).or_insert(0);
        *number += 1;
        let id = Id { copy: instance(rank), number: *number };
        self.apply(Proposal { id, command })
    }

    fn apply(&mut self, proposal: Proposal) -> Outcome {
        // An entry of a new leader carries no proposal, so that indexes have gaps.
        self.index += 1 + u64::from(self.applied.len().is_multiple_of(10));
        let outcome = self.state.apply(self.index, &proposal);
        self.applied.push(Applied { index: self.index, proposal, outcome: outcome.clone() });
        outcome
    }

    fn lease(&mut self, command: Lease) -> Outcome {
        let rank = match &command {
            Lease::Stand { copy, .. } | Lease::Renew { copy, .. } | Lease::Leave { copy, .. } => copy.rank,
            Lease::Lapse { .. } | Lease::Gone { .. } => 0,
        };
        self.propose(rank, Command::Lease(command))
    }

    fn acquire(&mut self, name: &str, rank: u32, site_rank: u8) -> Outcome {
        self.lease(Lease::Stand { duty: lease_name(name), copy: instance(rank), rank: site_rank })
    }

    fn renew(&mut self, name: &str, rank: u32, token: u64, heard: u64) -> Outcome {
        let (duty, copy) = (lease_name(name), instance(rank));
        self.lease(Lease::Renew { duty, copy, token: Token(token), heard })
    }

    /// Gives the number of the incident or change that it is about.
    fn freeze(&mut self, command: Freeze) -> Number {
        match self.propose(9, Command::Freeze(command)) {
            Outcome::Freeze(Answer::Done(number) | Answer::Permit(number) | Answer::Half(number)) => number,
            Outcome::Freeze(Answer::Waits { change, .. } | Answer::Barred { change, .. }) => change,
            _ => 0,
        }
    }

    fn open(&mut self, severity: Severity, scope: Scope, evidence: &str, by: By) -> Number {
        self.freeze(Freeze::Open { severity, scope, evidence: evidence.into(), by })
    }

    fn window(&mut self, token: Option<u64>, command: Window) -> Outcome {
        let rank = if token.is_some() { 10 } else { 11 };
        self.propose(rank, Command::Window { token: token.map(Token), command })
    }

    /// Leases that are held, waited for, renewed, handed over and lost.
    fn leases(&mut self) {
        self.acquire("freeze/coordinator", 1, 0);
        self.renew("freeze/coordinator", 1, 1, 0);
        // It has not heard of its renewal, and says so once more.
        self.renew("freeze/coordinator", 1, 1, 0);
        self.acquire("freeze/coordinator", 2, 1);
        self.acquire("shift/north", 2, 1);
        self.acquire("shift/north", 3, 200);
        self.acquire("shift/north", 4, 3);
        self.acquire("shift/north", 4, 3);
        self.acquire("shift/north", 5, 4);
        self.lease(Lease::Gone { duty: lease_name("shift/north"), copy: instance(5), signs: 0 });
        self.acquire("shift/south", 3, 1);
        self.lease(Lease::Lapse { duty: lease_name("shift/south"), token: Token(3), renewals: 0 });
        self.acquire("shift/south", 4, 2);
        self.acquire("shift/south", 2, 1);
        self.lease(Lease::Leave { duty: lease_name("shift/south"), copy: instance(4) });
        // Its grant is over.
        self.renew("shift/south", 4, 4, 0);
        self.acquire("shift/east", 3, 7);
        self.acquire("shift/west", 5, 8);
        self.lease(Lease::Leave { duty: lease_name("shift/west"), copy: instance(5) });
    }

    /// Incidents that are taken on, remedied, resolved and over, and those that a rule must not touch.
    fn incidents(&mut self) {
        let person = |name: &str| By::Person(name.into());
        // The lease of that coordinator is not the newest one.
        self.open(Severity::Critical, Scope::Fleet, "nobody holds that lease", By::Rule(77));
        let major = self.open(Severity::Major, Scope::Class("bulk".into()), "it is slow", person("mira"));
        self.freeze(Freeze::Take { incident: major, person: "tom".into() });
        self.freeze(Freeze::Resolve { incident: major, by: By::Rule(1) });
        let remedy = self.freeze(Freeze::Ask(request(Kind::Settings, Scope::Class("bulk".into()), "ben")));
        self.freeze(Freeze::Name { incident: major, change: remedy, person: "ida".into() });
        self.freeze(Freeze::Done { change: remedy });
        self.freeze(Freeze::Resolve { incident: major, by: person("tom") });
        self.freeze(Freeze::Cooled { incident: major, version: 2 });
        let over = self.open(Severity::Major, Scope::Tenant("acme".into()), "over soon", By::Rule(1));
        self.freeze(Freeze::Resolve { incident: over, by: By::Rule(1) });
        self.freeze(Freeze::Cooled { incident: over, version: 0 });
        self.freeze(Freeze::Cooled { incident: over, version: 1 });
    }

    /// Changes that get their permit, wait for one, run out, and take two people.
    fn changes(&mut self) {
        let minor = self.open(Severity::Minor, site("east"), "Lost at 0.61, limit 0.50", By::Rule(1));
        let short = self.freeze(Freeze::Ask(request(Kind::Settings, Scope::Class("video".into()), "uli")));
        self.freeze(Freeze::Lapse { change: short, version: 1 });
        let ended = self.freeze(Freeze::Ask(request(Kind::Drain, Scope::Class("audio".into()), "pia")));
        self.freeze(Freeze::Done { change: ended });
        self.freeze(Freeze::Clear { change: ended, person: "pia".into() });
        let copy = Scope::Copy { site: "east".into(), rank: 7 };
        self.freeze(Freeze::Ask(request(Kind::Upgrade, copy, "kai")));
        let file = self.freeze(Freeze::Ask(request(Kind::OperatorFile, site("east"), "eva")));
        self.freeze(Freeze::Ask(request(Kind::Settings, site("east"), "leo")));
        self.freeze(Freeze::Emergency(request(Kind::Drain, site("west"), "zoe")));
        for who in ["ana", "ana", "ivo"] {
            self.freeze(Freeze::Emergency(request(Kind::Keeper, Scope::Keepers, who)));
        }
        self.freeze(Freeze::Signal { what: "terminated at 12".into() });
        self.window_that_is_blocked(file);
        self.freeze(Freeze::Resolve { incident: minor, by: By::Person("nia".into()) });
    }

    /// First a change goes before it, then an incident.
    fn window_that_is_blocked(&mut self, change: Number) {
        self.window(None, Window::Plan(plan("east", 1_777_600_000_000, Overrun::Return)));
        self.window(Some(6), Window::Admit { window: 1, usual: 1 });
        self.freeze(Freeze::Done { change });
        let next = self.state.register().changes().iter().find(|(_, c)| c.wish.who == "leo");
        let next = next.map(|(number, _)| *number).expect("it has moved up");
        self.freeze(Freeze::Clear { change: next, person: "leo".into() });
        self.window(Some(6), Window::Admit { window: 1, usual: 1 });
    }

    /// A window whose change has to react and does not, and which comes back.
    fn window_that_is_aborted(&mut self) {
        self.window(None, Window::Plan(plan("north", 1_777_680_000_123, Overrun::Return)));
        self.window(None, Window::Plan(plan("south", 1_777_690_000_456, Overrun::Hold)));
        self.window(Some(2), Window::Admit { window: 2, usual: 120_001 });
        self.window(Some(5), Window::Admit { window: 3, usual: 130_002 });
        self.window(Some(2), Window::Step { window: 2, part: 875 });
        self.window(Some(2), Window::Step { window: 2, part: 875 });
        let change = self.state.windows().all()[&2].change.expect("it has a permit");
        let by = By::Person("mira".into());
        let incident = self.open(Severity::Major, site("north"), "it burns", by.clone());
        self.window(Some(2), Window::Step { window: 2, part: 750 });
        self.freeze(Freeze::Lapse { change, version: 2 });
        self.window(Some(2), Window::Step { window: 2, part: 750 });
        self.window(Some(2), Window::Return { window: 2, part: 875, why: Some("it burns".into()) });
        self.window(Some(2), Window::Return { window: 2, part: 1_000, why: None });
        self.window(Some(2), Window::Finish { window: 2 });
        self.freeze(Freeze::Resolve { incident, by });
        self.freeze(Freeze::Cooled { incident, version: 1 });
    }

    /// A window whose permit runs out before its first step.
    fn window_that_is_postponed(&mut self) {
        self.window(None, Window::Plan(plan("north", 1_777_700_000_789, Overrun::Return)));
        self.window(Some(2), Window::Admit { window: 4, usual: 140_003 });
        let change = self.state.windows().all()[&4].change.expect("it has a permit");
        self.freeze(Freeze::Lapse { change, version: 1 });
        self.window(Some(2), Window::Step { window: 4, part: 875 });
        self.window(Some(2), Window::Postpone { window: 4, why: "no time is left".into() });
    }

    /// Windows that are cancelled, ended by a person, rejected, and one at which people work too long.
    fn other_windows(&mut self) {
        self.window(None, Window::Plan(plan("north", 1_777_710_000_111, Overrun::Return)));
        self.window(None, Window::Cancel { window: 5 });
        self.window(None, Window::Plan(plan("west", 1_777_720_000_222, Overrun::Hold)));
        self.window(None, Window::Plan(plan("west", 1_777_720_000_222, Overrun::Hold)));
        let mut impossible = plan("west", 1_777_730_000_333, Overrun::Hold);
        impossible.reserve = 91;
        self.window(None, Window::Plan(impossible));
        self.window(None, Window::Cancel { window: 99 });
        self.window(Some(5), Window::Admit { window: 3, usual: 150_004 });
        self.window(Some(5), Window::Step { window: 3, part: 0 });
        self.window(Some(5), Window::Emptied { window: 3 });
        self.window(Some(5), Window::Begin { window: 3 });
        self.window(Some(5), Window::Overran { window: 3 });
        // Only a holder of the site's lease may say that.
        self.window(Some(2), Window::Begin { window: 3 });
        self.window(None, Window::Begin { window: 3 });
    }

    /// An incident that is open at the end, with a change that would remedy it.
    fn open_incident(&mut self) {
        let by = By::Person("mira".into());
        let incident = self.open(Severity::Minor, Scope::Keepers, "one of three is slow", by);
        self.freeze(Freeze::Take { incident, person: "tom".into() });
        let waiting = self.state.register().changes().iter().find(|(_, c)| c.wish.who == "kai");
        let change = waiting.map(|(number, _)| *number).expect("it still waits");
        self.freeze(Freeze::Name { incident, change, person: "ida".into() });
    }

    /// The same proposal twice, and one that is too old to be known.
    fn repeated_and_late(&mut self) {
        let first = self.applied[0].proposal.clone();
        self.apply(first);
        for _ in 0..33 {
            self.propose(12, Command::Freeze(Freeze::Done { change: 9_999 }));
        }
        let id = Id { copy: instance(12), number: 1 };
        self.apply(Proposal { id, command: Command::Freeze(Freeze::Done { change: 9_999 }) });
    }
}

/// The whole history.
pub fn whole() -> History {
    let mut history = History::default();
    history.leases();
    history.incidents();
    history.changes();
    history.window_that_is_aborted();
    history.window_that_is_postponed();
    history.other_windows();
    history.open_incident();
    history.repeated_and_late();
    history
}

/// A state with a lease and an incident.
pub fn small() -> State {
    let mut history = History::default();
    history.acquire("freeze/coordinator", 1, 0);
    history.open(Severity::Minor, site("east"), "it is slow", By::Rule(1));
    history.state
}

/// What became of a window when there were as many changes as may be.
pub fn window_while_full() -> Outcome {
    let mut history = History::default();
    history.acquire("shift/north", 2, 1);
    history.window(None, Window::Plan(plan("north", 1_777_680_000_123, Overrun::Return)));
    for number in 0..hillstall_freeze::register::CHANGES_MOST {
        history.freeze(Freeze::Ask(request(Kind::Settings, Scope::Class(format!("class-{number}")), "mira")));
    }
    history.window(Some(1), Window::Admit { window: 1, usual: 1 })
}
