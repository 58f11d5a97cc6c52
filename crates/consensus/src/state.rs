//! The replicated state: leases, maintenance windows, incidents and change permits. All replicas apply the same commands in
//! the same order. A command that comes twice acts once.
//!
//! State and commands are encoded by `postcard`, so the order of variants and fields must not change.

use hillstall_change_freeze::state::{self as freeze, FreezeState, Requester};
use hillstall_lease::table::{self, Grant, LeaseTable};
use hillstall_lease::{FencingToken, Instance, LeaseName};
use hillstall_maintenance::windows::{self as window, Windows};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The number of latest outcomes stored for each instance, to answer commands that come once more.
const MAX_OUTCOMES_PER_INSTANCE: usize = 32;
/// The number of instances whose outcomes are stored; the one whose last command is oldest goes first.
const MAX_INSTANCES_WITH_OUTCOMES: usize = 1_024;

/// The name of the coordinator's lease: its holder opens and resolves incidents by rule.
pub const COORDINATOR_LEASE: &str = "freeze/coordinator";

/// The name of a site's shift lease: its holder shifts the site's traffic. `None` if the site's name doesn't fit into one.
pub fn shift_lease(site: &str) -> Option<LeaseName> {
    LeaseName::new(&format!("shift/{}", site.to_lowercase())).ok()
}

/// The unique id of a proposal; a retry has the same.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The instance that proposes.
    pub instance: Instance,
    /// Its number at the instance; later proposals have higher ones.
    pub number: u64,
}

/// A command to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// About a lease's holder and candidates.
    Lease(table::LeaseCommand),
    /// About incidents and changes.
    Freeze(freeze::FreezeCommand),
    /// About a site's maintenance window, by the holder of the site's shift lease or by a person.
    Window {
        /// The holder's fencing token; `None` for what a person may do.
        token: Option<FencingToken>,
        /// The command.
        command: window::WindowCommand,
    },
}

/// A command and the id under which it is proposed.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The id.
    pub id: ProposalId,
    /// The command.
    pub command: Command,
}

/// The outcome of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The lease's grant after the command.
    Lease(Option<Grant>),
    /// The command was made under a grant that has ended.
    GrantEnded {
        /// The lease's highest token.
        newest: FencingToken,
    },
    /// The response to a command about incidents and changes.
    Freeze(freeze::Response),
    /// The window is in the stage that the command leads to.
    Window,
    /// The command was rejected, with the reason.
    Rejected(String),
    /// The command came so late that it is unknown whether it came before. It has no effect.
    TooLate,
}

/// The latest outcomes of one instance's proposals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct AnsweredProposals {
    /// Proposals with a lower number are too late.
    min_number: u64,
    /// Numbers and outcomes, in the order in which they were applied.
    outcomes: VecDeque<(u64, Outcome)>,
    /// The index of the instance's last proposal.
    last_index: u64,
}

impl AnsweredProposals {
    fn outcome(&self, number: u64) -> Option<&Outcome> {
        self.outcomes.iter().find(|(known, _)| *known == number).map(|(_, outcome)| outcome)
    }

    fn insert(&mut self, number: u64, outcome: Outcome) {
        self.outcomes.push_back((number, outcome));
        if self.outcomes.len() > MAX_OUTCOMES_PER_INSTANCE {
            // Any proposal with a lower number than the dropped one may have been applied and dropped as well.
            let min_number = self.outcomes.pop_front().map_or(0, |(dropped, _)| dropped + 1);
            self.min_number = self.min_number.max(min_number);
        }
    }
}

/// The replicated state.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    index: u64,
    leases: LeaseTable,
    freeze: FreezeState,
    windows: Windows,
    answered: BTreeMap<Instance, AnsweredProposals>,
}

impl State {
    /// Applies the proposal of the log's entry at `index`, and returns its outcome. One that was applied before only gets
    /// the same outcome again.
    pub fn apply(&mut self, index: u64, proposal: &Proposal) -> Outcome {
        let ProposalId { instance, number } = proposal.id;
        self.index = self.index.max(index);
        let answered = self.answered.entry(instance).or_default();
        answered.last_index = index;
        if let Some(outcome) = answered.outcome(number) {
            return outcome.clone();
        }
        if number < answered.min_number {
            return Outcome::TooLate;
        }
        let outcome = self.execute(&proposal.command);
        self.answered.entry(instance).or_default().insert(number, outcome.clone());
        self.evict_oldest_instance();
        outcome
    }

    /// Drops the outcomes of the instance whose last proposal is oldest, if there are too many instances.
    fn evict_oldest_instance(&mut self) {
        if self.answered.len() <= MAX_INSTANCES_WITH_OUTCOMES {
            return;
        }
        let oldest = self.answered.iter().min_by_key(|(_, answered)| answered.last_index);
        if let Some(instance) = oldest.map(|(instance, _)| *instance) {
            self.answered.remove(&instance);
        }
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Lease(command) => self.execute_lease_command(command),
            Command::Freeze(command) => self.execute_freeze_command(command),
            Command::Window { token, command } => self.execute_window_command(*token, command),
        }
    }

    fn execute_lease_command(&mut self, command: &table::LeaseCommand) -> Outcome {
        match self.leases.apply(command) {
            Ok(grant) => Outcome::Lease(grant),
            Err(table::LeaseError::GrantEnded { newest }) => Outcome::GrantEnded { newest },
            Err(error) => Outcome::Rejected(error.to_string()),
        }
    }

    /// Executes a command about incidents and changes. One of a coordinator that has been succeeded is rejected.
    fn execute_freeze_command(&mut self, command: &freeze::FreezeCommand) -> Outcome {
        if let (Some(token), Ok(lease)) = (coordinator_token(command), LeaseName::new(COORDINATOR_LEASE)) {
            if let Some(grant_ended) = self.check_token(&lease, token) {
                return grant_ended;
            }
        }
        Outcome::Freeze(self.freeze.apply(command))
    }

    fn execute_window_command(
        &mut self,
        token: Option<FencingToken>,
        command: &window::WindowCommand,
    ) -> Outcome {
        if command.requires_lease() {
            let lease = self.windows.site_of(command).and_then(shift_lease);
            let Some((lease, token)) = lease.zip(token) else {
                return Outcome::Rejected("no such window, or no token".into());
            };
            if let Some(grant_ended) = self.check_token(&lease, token) {
                return grant_ended;
            }
        }
        match self.windows.apply(command, &mut self.freeze) {
            Ok(()) => Outcome::Window,
            Err(error) => Outcome::Rejected(error.to_string()),
        }
    }

    /// Checks that a token is that of a lease's present grant. Returns the outcome to give if it isn't.
    fn check_token(&self, lease: &LeaseName, token: FencingToken) -> Option<Outcome> {
        let is_current = self.leases.grant(lease).is_some_and(|grant| grant.token == token);
        (!is_current).then(|| Outcome::GrantEnded { newest: self.leases.highest_token(lease) })
    }

    /// Takes a lease over as a replica has it at `index`, in place of the commands that lead there.
    pub fn set_lease(&mut self, index: u64, lease: &LeaseName, record: table::LeaseRecord) {
        self.index = self.index.max(index);
        self.leases.set_record(lease, record);
    }

    /// The index of the last entry that was applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The leases, with their holders and candidates.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Incidents and changes.
    pub fn freeze(&self) -> &FreezeState {
        &self.freeze
    }

    /// The maintenance windows.
    pub fn windows(&self) -> &Windows {
        &self.windows
    }

    /// Encodes the state for a snapshot or a follower.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// Decodes a state.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a state of this version.
    pub fn from_bytes(bytes: &[u8]) -> Result<State, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// The coordinator's token in a command about incidents; `None` for a person's command or one about changes.
fn coordinator_token(command: &freeze::FreezeCommand) -> Option<FencingToken> {
    let requester = match command {
        freeze::FreezeCommand::OpenIncident { opened_by, .. } => opened_by,
        freeze::FreezeCommand::ResolveIncident { resolved_by, .. } => resolved_by,
        _ => return None,
    };
    match requester {
        Requester::Coordinator(token) => Some(FencingToken(*token)),
        Requester::Person(_) => None,
    }
}
