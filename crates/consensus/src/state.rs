//! The replicated state: leases, maintenance windows, incidents and change permits. All replicas apply the
//! same proposals in the same order. A proposal that is committed twice is executed once.
//!
//! State and commands are encoded by `postcard`, which writes no names: variants and fields may be renamed,
//! but their order and types must not change.

use hillstall_change_freeze::state::{self as freeze, FreezeState, Requester};
use hillstall_lease::table::{self, Grant, LeaseTable};
use hillstall_lease::{FencingToken, Instance, LeaseName};
use hillstall_maintenance::windows::{self as window, Windows};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The number of latest outcomes stored for each instance, to answer retried proposals.
const MAX_OUTCOMES_PER_INSTANCE: usize = 32;
/// The number of instances whose outcomes are stored; beyond it the instance whose last proposal is oldest is
/// evicted.
const MAX_INSTANCES_WITH_OUTCOMES: usize = 1_024;

/// The name of the coordinator lease, whose holder opens and resolves incidents by rule.
pub const COORDINATOR_LEASE: &str = "freeze/coordinator";

/// The name of a site's shift lease, whose holder shifts the site's traffic. `None` if the site's name has
/// characters or a length that a lease name can't have.
pub fn shift_lease(site: &str) -> Option<LeaseName> {
    LeaseName::new(&format!("shift/{}", site.to_lowercase())).ok()
}

/// The unique id of a proposal. All retries of a proposal have the same id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// The instance that proposes.
    pub instance: Instance,
    /// Increases with each proposal of the instance.
    pub number: u64,
}

/// A command to the replicated state.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// Changes a lease's holder or candidates.
    Lease(table::LeaseCommand),
    /// Changes incidents, changes or their permits.
    Freeze(freeze::FreezeCommand),
    /// Changes a site's maintenance window, on behalf of the holder of the site's shift lease or of a person.
    Window {
        /// The fencing token of the shift lease's holder; `None` for a command of a person.
        token: Option<FencingToken>,
        /// The change of the window.
        command: window::WindowCommand,
    },
}

/// A command with the id by which retries are recognized.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// The same for all retries of the proposal.
    pub id: ProposalId,
    /// The command to execute once the proposal is committed.
    pub command: Command,
}

/// The outcome of a committed proposal.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The lease's grant after the command; `None` if nobody holds the lease.
    Lease(Option<Grant>),
    /// The command has no effect, as its grant has ended.
    GrantEnded {
        /// The lease's highest token.
        newest: FencingToken,
    },
    /// The response to a [`Command::Freeze`].
    Freeze(freeze::Response),
    /// A [`Command::Window`] was executed, or its window was in the resulting stage before.
    Window,
    /// The command was rejected, for this reason. The text is stored and replicated with the outcome.
    Rejected(String),
    /// The proposal has no effect: it is so old that its outcome may have been evicted, so it is unknown
    /// whether it was executed before.
    TooLate,
}

/// The latest outcomes of one instance's proposals.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct AnsweredProposals {
    /// Proposals with a lower number are too late, unless their outcome is stored.
    min_number: u64,
    /// The numbers and outcomes of proposals, in the order in which they were applied.
    outcomes: VecDeque<(u64, Outcome)>,
    /// The log index of the instance's last proposal.
    last_index: u64,
}

impl AnsweredProposals {
    fn outcome(&self, number: u64) -> Option<&Outcome> {
        self.outcomes.iter().find(|(known, _)| *known == number).map(|(_, outcome)| outcome)
    }

    fn insert(&mut self, number: u64, outcome: Outcome) {
        self.outcomes.push_back((number, outcome));
        if self.outcomes.len() > MAX_OUTCOMES_PER_INSTANCE {
            // A proposal with a lower number than the evicted one may have been applied and evicted as well.
            let min_number = self.outcomes.pop_front().map_or(0, |(evicted, _)| evicted + 1);
            self.min_number = self.min_number.max(min_number);
        }
    }
}

/// The replicated state machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    /// The index of the last log entry that was applied.
    index: u64,
    leases: LeaseTable,
    freeze: FreezeState,
    windows: Windows,
    answered: BTreeMap<Instance, AnsweredProposals>,
}

impl State {
    /// Applies the proposal in the log entry at `index`, and returns its outcome. A proposal that was applied
    /// before is not executed again; the stored outcome is returned.
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

    /// Evicts the outcomes of the instance whose last proposal is oldest, if outcomes of too many instances
    /// are stored.
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

    /// Executes a command about incidents and changes. The command of a coordinator is rejected if its grant
    /// has ended.
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
                // The text is stored and replicated with the outcome, so it stays as it is.
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

    /// Checks that a token is that of the lease's current grant. Returns the outcome of the command if it is
    /// not.
    fn check_token(&self, lease: &LeaseName, token: FencingToken) -> Option<Outcome> {
        let is_current = self.leases.grant(lease).is_some_and(|grant| grant.token == token);
        (!is_current).then(|| Outcome::GrantEnded { newest: self.leases.highest_token(lease) })
    }

    /// Replaces a lease's record by the one that a replica has at `index`, instead of applying the commands
    /// up to there.
    pub fn set_lease(&mut self, index: u64, lease: &LeaseName, record: table::LeaseRecord) {
        self.index = self.index.max(index);
        self.leases.set_record(lease, record);
    }

    /// The index of the last log entry that was applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// The table of leases. On a follower the numbers of renewals and heartbeats in it may lag behind.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// The incidents, changes and change permits, with their audit log.
    pub fn freeze(&self) -> &FreezeState {
        &self.freeze
    }

    /// The maintenance windows of all sites.
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
    /// Fails if the bytes are not the encoding of a state as this version knows it.
    pub fn from_bytes(bytes: &[u8]) -> Result<State, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}

/// The coordinator's token in a command that opens or resolves an incident; `None` for all other commands.
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
