//! The one state that the keepers agree on: duties, windows, incidents and permits. Commands come in the same order to
//! each keeper; one that comes twice acts once.

use hillstall_change_freeze::state::{self as freeze, FreezeState, Requester};
use hillstall_lease::table::{self, Grant, LeaseTable};
use hillstall_lease::{FencingToken, Instance, LeaseName};
use hillstall_maintenance::windows::{self as window, Windows};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// How many of a copy's latest commands are known again when they come once more.
const MAX_OUTCOMES_PER_INSTANCE: usize = 32;
/// Of how many copies that is remembered; the ones not heard of for longest go first.
const MAX_REMEMBERED_INSTANCES: usize = 1_024;

/// The duty of the one who opens and closes incidents by rule.
pub const COORDINATOR_LEASE: &str = "freeze/coordinator";

/// The duty of shifting a site's traffic.
pub fn shift_lease(site: &str) -> Option<LeaseName> {
    LeaseName::new(&format!("shift/{}", site.to_lowercase())).ok()
}

/// Names one command for ever.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ProposalId {
    /// Who proposes it.
    pub instance: Instance,
    /// Its number there.
    pub number: u64,
}

/// A command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Command {
    /// About who holds a duty.
    Lease(table::LeaseCommand),
    /// About incidents and changes.
    Freeze(freeze::FreezeCommand),
    /// About a site's window, by whoever holds the duty of its shift, or by a person.
    Window {
        /// The token it goes by; none for what people may do.
        token: Option<FencingToken>,
        /// What.
        command: window::WindowCommand,
    },
}

/// A command, and who wants it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Proposal {
    /// Its name.
    pub id: ProposalId,
    /// What.
    pub command: Command,
}

/// What became of a command.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Outcome {
    /// The duty's grant as it is then.
    Lease(Option<Grant>),
    /// It went by a grant that is over.
    GrantEnded {
        /// The duty's newest token.
        newest: FencingToken,
    },
    /// See there.
    Freeze(freeze::Response),
    /// The window is where the command leads.
    Window,
    /// Nothing came of it.
    Rejected(String),
    /// It came so late that it is not known any more whether it came before: it does nothing.
    TooLate,
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
struct AnsweredProposals {
    /// Numbers below this one are too old.
    from: u64,
    outcomes: VecDeque<(u64, Outcome)>,
    at: u64,
}

/// See the module's text.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct State {
    index: u64,
    leases: LeaseTable,
    freeze: FreezeState,
    windows: Windows,
    answered: BTreeMap<Instance, AnsweredProposals>,
}

impl State {
    /// Applies the log's entry at `index`. What was applied before is passed over.
    pub fn apply(&mut self, index: u64, proposal: &Proposal) -> Outcome {
        let ProposalId { instance: copy, number } = proposal.id;
        self.index = self.index.max(index);
        let known = self.answered.entry(copy).or_default();
        known.at = index;
        if let Some((_, outcome)) = known.outcomes.iter().find(|(n, _)| *n == number) {
            return outcome.clone();
        }
        if number < known.from {
            return Outcome::TooLate;
        }
        let outcome = self.execute(&proposal.command);
        let known = self.answered.entry(copy).or_default();
        known.outcomes.push_back((number, outcome.clone()));
        if known.outcomes.len() > MAX_OUTCOMES_PER_INSTANCE {
            // Whatever has a lower number than the one that is forgotten may have come as well.
            let gone = known.outcomes.pop_front().map_or(0, |(n, _)| n + 1);
            known.from = known.from.max(gone);
        }
        if self.answered.len() > MAX_REMEMBERED_INSTANCES {
            let oldest = self.answered.iter().min_by_key(|(_, known)| known.at).map(|(copy, _)| *copy);
            oldest.map(|copy| self.answered.remove(&copy));
        }
        outcome
    }

    /// Whether a token is the newest of a duty that is held.
    fn check_token(&self, duty: &LeaseName, token: FencingToken) -> Result<(), Outcome> {
        match self.leases.grant(duty) {
            Some(grant) if grant.token == token => Ok(()),
            _ => Err(Outcome::GrantEnded { newest: self.leases.highest_token(duty) }),
        }
    }

    fn execute(&mut self, command: &Command) -> Outcome {
        match command {
            Command::Lease(command) => match self.leases.apply(command) {
                Ok(grant) => Outcome::Lease(grant),
                Err(table::LeaseError::GrantEnded { newest }) => Outcome::GrantEnded { newest },
                Err(why) => Outcome::Rejected(why.to_string()),
            },
            Command::Freeze(command) => {
                // A coordinator that was followed by another says nothing any more.
                let by = match command {
                    freeze::FreezeCommand::OpenIncident { opened_by: by, .. }
                    | freeze::FreezeCommand::ResolveIncident { resolved_by: by, .. } => Some(by),
                    _ => None,
                };
                if let Some(Requester::Rule(token)) = by {
                    let checked = LeaseName::new(COORDINATOR_LEASE)
                        .map(|duty| self.check_token(&duty, FencingToken(*token)));
                    if let Ok(Err(over)) = checked {
                        return over;
                    }
                }
                Outcome::Freeze(self.freeze.apply(command))
            }
            Command::Window { token, command } => self.window(*token, command),
        }
    }

    fn window(&mut self, token: Option<FencingToken>, command: &window::WindowCommand) -> Outcome {
        if command.requires_lease() {
            let duty = self.windows.site_of(command).and_then(shift_lease);
            let Some((duty, token)) = duty.zip(token) else {
                return Outcome::Rejected("no such window, or no token".into());
            };
            if let Err(over) = self.check_token(&duty, token) {
                return over;
            }
        }
        match self.windows.apply(command, &mut self.freeze) {
            Ok(()) => Outcome::Window,
            Err(why) => Outcome::Rejected(why.to_string()),
        }
    }

    /// Takes over what a keeper has of a duty at `index`: followers are told the outcome, not each renewal.
    pub fn set_lease(&mut self, index: u64, duty: &LeaseName, entry: table::LeaseRecord) {
        self.index = self.index.max(index);
        self.leases.set_record(duty, entry);
    }

    /// The index of the last entry that was applied.
    pub fn index(&self) -> u64 {
        self.index
    }

    /// Who holds what.
    pub fn leases(&self) -> &LeaseTable {
        &self.leases
    }

    /// Incidents and changes.
    pub fn freeze(&self) -> &FreezeState {
        &self.freeze
    }

    /// Windows.
    pub fn windows(&self) -> &Windows {
        &self.windows
    }

    /// For a snapshot.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default()
    }

    /// From a snapshot.
    pub fn from_bytes(bytes: &[u8]) -> Result<State, postcard::Error> {
        postcard::from_bytes(bytes)
    }
}
