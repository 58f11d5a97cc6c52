//! A sequence of proposals whose resulting state has entries in each part of the replicated state. The texts
//! and numbers in the proposals are part of the encoding in the fixtures.

use super::freeze::{request, site};
use super::lease::{instance, lease_name};
use super::maintenance::plan;
use hillstall_change_freeze::rules::{ChangeKind, Severity};
use hillstall_change_freeze::scope::Scope;
use hillstall_change_freeze::state::{FreezeCommand as Freeze, Requester, Response, SequenceNumber};
use hillstall_consensus::state::{Command, Outcome, Proposal, ProposalId, State};
use hillstall_lease::table::LeaseCommand as Lease;
use hillstall_lease::FencingToken;
use hillstall_maintenance::windows::{OverrunPolicy, WindowCommand as Window};
use std::collections::BTreeMap;

/// A proposal that was applied, with its outcome.
#[derive(Clone, Debug, PartialEq)]
pub struct Applied {
    /// The index of the proposal's log entry.
    pub index: u64,
    pub proposal: Proposal,
    pub outcome: Outcome,
}

/// A state, and the proposals that were applied to it.
#[derive(Default)]
pub struct History {
    /// The state after the last applied proposal.
    pub state: State,
    /// In the order in which they were applied.
    pub applied: Vec<Applied>,
    /// The index of the last log entry.
    index: u64,
    /// The number of the last proposal of each instance, by rank.
    numbers: BTreeMap<u32, u64>,
}

impl History {
    /// Applies an instance's next proposal.
    fn propose(&mut self, rank: u32, command: Command) -> Outcome {
        let number = self.numbers.entry(rank).or_insert(0);
        *number += 1;
        let id = ProposalId { instance: instance(rank), number: *number };
        self.apply(Proposal { id, command })
    }

    fn apply(&mut self, proposal: Proposal) -> Outcome {
        // The indexes of proposals have gaps, as a new leader begins its term with an entry without a
        // proposal.
        self.index += 1 + u64::from(self.applied.len().is_multiple_of(10));
        let outcome = self.state.apply(self.index, &proposal);
        self.applied.push(Applied { index: self.index, proposal, outcome: outcome.clone() });
        outcome
    }

    fn lease(&mut self, command: Lease) -> Outcome {
        let rank = match &command {
            Lease::Acquire { instance, .. }
            | Lease::Renew { instance, .. }
            | Lease::Release { instance, .. } => instance.rank,
            Lease::Expire { .. } | Lease::RemoveCandidate { .. } => 0,
        };
        self.propose(rank, Command::Lease(command))
    }

    fn acquire(&mut self, name: &str, rank: u32, site_rank: u8) -> Outcome {
        self.lease(Lease::Acquire { lease: lease_name(name), instance: instance(rank), rank: site_rank })
    }

    fn renew(&mut self, name: &str, rank: u32, token: u64, known_renewals: u64) -> Outcome {
        self.lease(Lease::Renew {
            lease: lease_name(name),
            instance: instance(rank),
            token: FencingToken(token),
            known_renewals,
        })
    }

    /// Returns the number of the incident or change in the outcome; 0 if there is none.
    fn freeze(&mut self, command: Freeze) -> SequenceNumber {
        match self.propose(9, Command::Freeze(command)) {
            Outcome::Freeze(
                Response::Accepted(number)
                | Response::Permitted(number)
                | Response::AwaitingSecondApproval(number),
            ) => number,
            Outcome::Freeze(Response::Queued { change, .. } | Response::Blocked { change, .. }) => change,
            _ => 0,
        }
    }

    fn open(&mut self, severity: Severity, scope: Scope, evidence: &str, by: Requester) -> SequenceNumber {
        self.freeze(Freeze::OpenIncident { severity, scope, evidence: evidence.into(), opened_by: by })
    }

    fn window(&mut self, token: Option<u64>, command: Window) -> Outcome {
        let rank = if token.is_some() { 10 } else { 11 };
        self.propose(rank, Command::Window { token: token.map(FencingToken), command })
    }

    /// Leases that are acquired, renewed, released and expired, with candidates that wait and that are
    /// removed.
    fn leases(&mut self) {
        self.acquire("freeze/coordinator", 1, 0);
        self.renew("freeze/coordinator", 1, 1, 0);
        // A second renewal by a holder that has not observed the first one: it is rejected.
        self.renew("freeze/coordinator", 1, 1, 0);
        self.acquire("freeze/coordinator", 2, 1);
        self.acquire("shift/north", 2, 1);
        self.acquire("shift/north", 3, 200);
        self.acquire("shift/north", 4, 3);
        self.acquire("shift/north", 4, 3);
        self.acquire("shift/north", 5, 4);
        self.lease(Lease::RemoveCandidate {
            lease: lease_name("shift/north"),
            instance: instance(5),
            heartbeats: 0,
        });
        self.acquire("shift/south", 3, 1);
        self.lease(Lease::Expire { lease: lease_name("shift/south"), token: FencingToken(3), renewals: 0 });
        self.acquire("shift/south", 4, 2);
        self.acquire("shift/south", 2, 1);
        self.lease(Lease::Release { lease: lease_name("shift/south"), instance: instance(4) });
        // The grant has ended, so the renewal is rejected.
        self.renew("shift/south", 4, 4, 0);
        self.acquire("shift/east", 3, 7);
        self.acquire("shift/west", 5, 8);
        self.lease(Lease::Release { lease: lease_name("shift/west"), instance: instance(5) });
    }

    /// Incidents that are assigned, linked to a remedy, resolved and ended, and one that a rule must not
    /// resolve.
    fn incidents(&mut self) {
        let person = |name: &str| Requester::Person(name.into());
        // The token is not that of the coordinator's current grant, so the command is rejected.
        self.open(Severity::Critical, Scope::Fleet, "nobody holds that lease", Requester::Coordinator(77));
        let major = self.open(Severity::Major, Scope::Class("bulk".into()), "it is slow", person("mira"));
        self.freeze(Freeze::AssignIncident { incident: major, person: "tom".into() });
        self.freeze(Freeze::ResolveIncident { incident: major, resolved_by: Requester::Coordinator(1) });
        let remedy = self.freeze(Freeze::RequestChange(request(
            ChangeKind::Settings,
            Scope::Class("bulk".into()),
            "ben",
        )));
        self.freeze(Freeze::LinkRemedy { incident: major, change: remedy, person: "ida".into() });
        self.freeze(Freeze::FinishChange { change: remedy });
        self.freeze(Freeze::ResolveIncident { incident: major, resolved_by: person("tom") });
        self.freeze(Freeze::CooldownElapsed { incident: major, version: 2 });
        let over =
            self.open(Severity::Major, Scope::Tenant("acme".into()), "over soon", Requester::Coordinator(1));
        self.freeze(Freeze::ResolveIncident { incident: over, resolved_by: Requester::Coordinator(1) });
        self.freeze(Freeze::CooldownElapsed { incident: over, version: 0 });
        self.freeze(Freeze::CooldownElapsed { incident: over, version: 1 });
    }

    /// Changes that get a permit, wait in the queue, are blocked by an incident or expire, and emergency
    /// changes.
    fn changes(&mut self) {
        let minor =
            self.open(Severity::Minor, site("east"), "Lost at 0.61, limit 0.50", Requester::Coordinator(1));
        let short = self.freeze(Freeze::RequestChange(request(
            ChangeKind::Settings,
            Scope::Class("video".into()),
            "uli",
        )));
        self.freeze(Freeze::ExpireChange { change: short, version: 1 });
        let ended = self.freeze(Freeze::RequestChange(request(
            ChangeKind::Drain,
            Scope::Class("audio".into()),
            "pia",
        )));
        self.freeze(Freeze::FinishChange { change: ended });
        self.freeze(Freeze::ClearOverdueChange { change: ended, person: "pia".into() });
        let scope = Scope::Instance { site: "east".into(), rank: 7 };
        self.freeze(Freeze::RequestChange(request(ChangeKind::Upgrade, scope, "kai")));
        let file = self.freeze(Freeze::RequestChange(request(ChangeKind::OperatorFile, site("east"), "eva")));
        self.freeze(Freeze::RequestChange(request(ChangeKind::Settings, site("east"), "leo")));
        self.freeze(Freeze::RequestEmergencyChange(request(ChangeKind::Drain, site("west"), "zoe")));
        for who in ["ana", "ana", "ivo"] {
            self.freeze(Freeze::RequestEmergencyChange(request(ChangeKind::Replica, Scope::Replicas, who)));
        }
        self.freeze(Freeze::RecordSignal { description: "terminated at 12".into() });
        self.window_that_is_blocked(file);
        self.freeze(Freeze::ResolveIncident {
            incident: minor,
            resolved_by: Requester::Person("nia".into()),
        });
    }

    /// A window that is not admitted, first because of another change, then because of an incident.
    fn window_that_is_blocked(&mut self, change: SequenceNumber) {
        self.window(None, Window::Plan(plan("east", 1_777_600_000_000, OverrunPolicy::Return)));
        self.window(Some(6), Window::Admit { window: 1, baseline_rate: 1 });
        self.freeze(Freeze::FinishChange { change });
        let next = self.state.freeze().changes().iter().find(|(_, c)| c.request.requested_by == "leo");
        let next = next.map(|(number, _)| *number).expect("the queued change of leo");
        self.freeze(Freeze::ClearOverdueChange { change: next, person: "leo".into() });
        self.window(Some(6), Window::Admit { window: 1, baseline_rate: 1 });
    }

    /// A window whose change has to react to an incident and does not, so that the traffic is restored.
    fn window_that_is_aborted(&mut self) {
        self.window(None, Window::Plan(plan("north", 1_777_680_000_123, OverrunPolicy::Return)));
        self.window(None, Window::Plan(plan("south", 1_777_690_000_456, OverrunPolicy::Hold)));
        self.window(Some(2), Window::Admit { window: 2, baseline_rate: 120_001 });
        self.window(Some(5), Window::Admit { window: 3, baseline_rate: 130_002 });
        self.window(Some(2), Window::ReduceTraffic { window: 2, fraction: 875 });
        self.window(Some(2), Window::ReduceTraffic { window: 2, fraction: 875 });
        let change = self.state.windows().all()[&2].change.expect("the window has a permit");
        let by = Requester::Person("mira".into());
        let incident = self.open(Severity::Major, site("north"), "it burns", by.clone());
        self.window(Some(2), Window::ReduceTraffic { window: 2, fraction: 750 });
        self.freeze(Freeze::ExpireChange { change, version: 2 });
        self.window(Some(2), Window::ReduceTraffic { window: 2, fraction: 750 });
        self.window(
            Some(2),
            Window::RestoreTraffic { window: 2, fraction: 875, reason: Some("it burns".into()) },
        );
        self.window(Some(2), Window::RestoreTraffic { window: 2, fraction: 1_000, reason: None });
        self.window(Some(2), Window::Finish { window: 2 });
        self.freeze(Freeze::ResolveIncident { incident, resolved_by: by });
        self.freeze(Freeze::CooldownElapsed { incident, version: 1 });
    }

    /// A window whose permit expires before its first step.
    fn window_that_is_postponed(&mut self) {
        self.window(None, Window::Plan(plan("north", 1_777_700_000_789, OverrunPolicy::Return)));
        self.window(Some(2), Window::Admit { window: 4, baseline_rate: 140_003 });
        let change = self.state.windows().all()[&4].change.expect("the window has a permit");
        self.freeze(Freeze::ExpireChange { change, version: 1 });
        self.window(Some(2), Window::ReduceTraffic { window: 4, fraction: 875 });
        self.window(Some(2), Window::Postpone { window: 4, reason: "no time is left".into() });
    }

    /// Windows that are cancelled or rejected, and one that overruns.
    fn other_windows(&mut self) {
        self.window(None, Window::Plan(plan("north", 1_777_710_000_111, OverrunPolicy::Return)));
        self.window(None, Window::Cancel { window: 5 });
        self.window(None, Window::Plan(plan("west", 1_777_720_000_222, OverrunPolicy::Hold)));
        self.window(None, Window::Plan(plan("west", 1_777_720_000_222, OverrunPolicy::Hold)));
        let mut impossible = plan("west", 1_777_730_000_333, OverrunPolicy::Hold);
        impossible.reserve_percent = 91;
        self.window(None, Window::Plan(impossible));
        self.window(None, Window::Cancel { window: 99 });
        self.window(Some(5), Window::Admit { window: 3, baseline_rate: 150_004 });
        self.window(Some(5), Window::ReduceTraffic { window: 3, fraction: 0 });
        self.window(Some(5), Window::MarkEmpty { window: 3 });
        self.window(Some(5), Window::Begin { window: 3 });
        self.window(Some(5), Window::MarkOverrun { window: 3 });
        // Rejected: the first token is of another site's lease, the second command has none.
        self.window(Some(2), Window::Begin { window: 3 });
        self.window(None, Window::Begin { window: 3 });
    }

    /// An incident that stays open, with a waiting change as its remedy.
    fn open_incident(&mut self) {
        let by = Requester::Person("mira".into());
        let incident = self.open(Severity::Minor, Scope::Replicas, "one of three is slow", by);
        self.freeze(Freeze::AssignIncident { incident, person: "tom".into() });
        let waiting = self.state.freeze().changes().iter().find(|(_, c)| c.request.requested_by == "kai");
        let change = waiting.map(|(number, _)| *number).expect("the waiting change of kai");
        self.freeze(Freeze::LinkRemedy { incident, change, person: "ida".into() });
    }

    /// A proposal that is applied twice, and one that is too late: its outcome was evicted.
    fn repeated_and_late(&mut self) {
        let first = self.applied[0].proposal.clone();
        self.apply(first);
        for _ in 0..33 {
            self.propose(12, Command::Freeze(Freeze::FinishChange { change: 9_999 }));
        }
        let id = ProposalId { instance: instance(12), number: 1 };
        self.apply(Proposal { id, command: Command::Freeze(Freeze::FinishChange { change: 9_999 }) });
    }
}

/// The history in `fixtures/history.txt`, with the state in `fixtures/snapshot.txt`.
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
    history.open(Severity::Minor, site("east"), "it is slow", Requester::Coordinator(1));
    history.state
}

/// The outcome of admitting a window when the number of open changes is at its limit.
pub fn window_while_full() -> Outcome {
    let mut history = History::default();
    history.acquire("shift/north", 2, 1);
    history.window(None, Window::Plan(plan("north", 1_777_680_000_123, OverrunPolicy::Return)));
    for number in 0..hillstall_change_freeze::state::MAX_CHANGES {
        history.freeze(Freeze::RequestChange(request(
            ChangeKind::Settings,
            Scope::Class(format!("class-{number}")),
            "mira",
        )));
    }
    history.window(Some(1), Window::Admit { window: 1, baseline_rate: 1 })
}
