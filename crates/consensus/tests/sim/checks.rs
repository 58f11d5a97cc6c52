//! The invariants that are checked after each event, and the checks at the end of a run.

use super::storage::MemoryStorage;
use super::{Sim, REPLICAS};
use hillstall_change_freeze::state::Incident;
use hillstall_consensus::node::Node;
use hillstall_consensus::replica::Replica;
use hillstall_consensus::state::{State, COORDINATOR_LEASE};
use hillstall_lease::{FencingToken, LeaseName};
use hillstall_maintenance::windows::{Stage, Window};
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};

/// At the end, the replicas' applied indexes may differ by at most this.
const MAX_FINAL_LAG: u64 = 40;

impl Sim {
    fn nodes(&self) -> impl Iterator<Item = &Node<MemoryStorage>> {
        self.instances.iter().filter_map(|instance| instance.node.as_ref())
    }

    /// Checks the invariants that hold after each event.
    pub(super) fn check_invariants(&mut self) {
        self.check_single_holders();
        for rank in 0..REPLICAS {
            self.check_replica(rank);
        }
    }

    /// Checks that no lease is held by two instances at once.
    fn check_single_holders(&mut self) {
        let mut holders: BTreeMap<LeaseName, usize> = BTreeMap::new();
        for instance in &self.instances {
            let Some(node) = &instance.node else { continue };
            for (lease, _) in node.held_leases(instance.clock.monotonic(self.now)) {
                *holders.entry(lease).or_default() += 1;
            }
        }
        if let Some((lease, count)) = holders.iter().find(|(_, count)| **count > 1) {
            self.violations.push(format!("{}: {count} instances hold {lease}", self.now));
        }
    }

    /// Checks that a replica's state is consistent, and equal to those of other replicas at the same index.
    fn check_replica(&mut self, rank: usize) {
        let now = self.now;
        let replica = self.instances[rank].node.as_ref().and_then(|node| node.replica());
        let Some(state) = replica.map(Replica::state) else { return };
        let index = state.index();
        // To save time, a state at a known index is checked after one in 16 events only.
        if self.state_hashes.contains_key(&index) && !self.events.is_multiple_of(16) {
            return;
        }
        let violation = state.freeze().check_invariants().or(state.windows().check_invariants());
        let mut hasher = DefaultHasher::new();
        state.hash(&mut hasher);
        let hash = hasher.finish();
        if *self.state_hashes.entry(index).or_insert(hash) != hash {
            self.violations.push(format!("{now}: replica {rank} differs from another at index {index}"));
        }
        self.violations.extend(violation.map(|violation| format!("{now}: {violation}")));
    }

    /// Checks the invariants that hold at the end of a run, 20 s after the last fault.
    pub(super) fn check_end(&mut self) {
        for rank in 0..self.instances.len() {
            let violations = self.final_violations_of(rank);
            self.violations.extend(violations);
        }
        self.check_one_coordinator();
        self.check_final_lag();
        self.check_same_leases_and_incidents();
    }

    fn final_violations_of(&self, rank: usize) -> Vec<String> {
        let Some(node) = &self.instances[rank].node else {
            return vec![format!("instance {rank} is not running at the end")];
        };
        let mut violations = Vec::new();
        let lost = self.acknowledged.iter().find(|number| !remembers(node.state(), **number));
        if let Some(lost) = lost {
            violations.push(format!("instance {rank} lacks the acknowledged incident or change {lost}"));
        }
        if !node.accepts_commands() {
            violations.push(format!("instance {rank} accepts no fenced commands at the end"));
        }
        violations
    }

    fn check_one_coordinator(&mut self) {
        let coordinator = LeaseName::new(COORDINATOR_LEASE).expect("a lease name");
        let mut coordinators = 0;
        for instance in &self.instances {
            let Some(node) = &instance.node else { continue };
            let held = node.held_leases(instance.clock.monotonic(self.now));
            coordinators += held.iter().filter(|(lease, _)| *lease == coordinator).count();
        }
        if coordinators != 1 {
            self.violations
                .push(format!("{coordinators} coordinators 20 s after the last fault, expected 1"));
        }
    }

    fn check_final_lag(&mut self) {
        let replicas = self.instances[..REPLICAS].iter().filter_map(|instance| instance.node.as_ref());
        let indexes: Vec<u64> = replicas.map(|node| node.state().index()).collect();
        let lowest = indexes.iter().min().copied().unwrap_or(0);
        let highest = indexes.iter().max().copied().unwrap_or(0);
        if highest - lowest > MAX_FINAL_LAG {
            self.violations.push(format!(
                "the replicas' indexes differ by more than {MAX_FINAL_LAG}: {lowest} and {highest}"
            ));
        }
    }

    /// Checks that all instances know the same holders and incidents. Their whole states may differ, as
    /// followers do not receive the numbers of heartbeats.
    fn check_same_leases_and_incidents(&mut self) {
        let known: Vec<_> = self.nodes().map(|node| leases_and_incidents(node.state())).collect();
        if known.windows(2).any(|pair| pair[0] != pair[1]) {
            self.violations.push(format!("instances know different holders or incidents: {known:?}"));
        }
    }

    /// The highest index that any instance has applied.
    pub fn max_applied_index(&self) -> u64 {
        self.nodes().map(|node| node.state().index()).max().unwrap_or(0)
    }

    /// The number of windows that have taken traffic away.
    pub fn windows_begun(&self) -> usize {
        let has_begun = |window: &&Window| {
            let is_done = window.stage == Stage::Done && window.reason.is_empty();
            window.fraction < 1_000 || is_done
        };
        let state = self.instances[0].node.as_ref().map(|node| node.state());
        state.map_or(0, |state| state.windows().all().values().filter(has_begun).count())
    }
}

/// Whether a state has the incident with this number, or an audit record of the incident or change.
fn remembers(state: &State, number: u64) -> bool {
    let freeze = state.freeze();
    freeze.incidents().contains_key(&number)
        || freeze.audit_log().iter().any(|record| record.subject == number)
}

type LeasesAndIncidents = (Vec<(LeaseName, Option<FencingToken>)>, BTreeMap<u64, Incident>);

/// The token of each lease's current grant, and the incidents.
fn leases_and_incidents(state: &State) -> LeasesAndIncidents {
    let leases = state.leases().leases();
    let tokens = leases.map(|(lease, grant, _)| (lease.clone(), grant.map(|grant| grant.token)));
    (tokens.collect(), state.freeze().incidents().clone())
}
