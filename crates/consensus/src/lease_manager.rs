//! The leases of one instance: those it competes for or holds, the fenced commands that it sends under them, and the
//! fencing checks that each command must pass before it is applied here.

use crate::audit::AuditEvent;
use crate::config::NodeConfig;
use crate::state::{shift_lease, Outcome, COORDINATOR_LEASE};
use hillstall_lease::fencing::{FencedCommand, FencingChecks, FencingError, MinimumToken};
use hillstall_lease::session::LeaseSession;
use hillstall_lease::table::{LeaseCommand, LeaseTable};
use hillstall_lease::timing::LeaseTiming;
use hillstall_lease::{FencingToken, Instance, LeaseName, Millis};
use hillstall_maintenance::traffic::TrafficRamp;
use hillstall_maintenance::{TrafficFraction, FULL_TRAFFIC};
use std::collections::BTreeMap;

/// How long an instance does not compete for a lease after it has released it.
const REACQUIRE_DELAY_MS: Millis = 5_000;
/// A site's fraction is reported again once it has changed by this much, or has reached 0 or 1.
const MIN_FRACTION_CHANGE: f64 = 0.005;

/// A lease that this instance may act under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The lease's name.
    pub lease: LeaseName,
    /// The fencing token of the grant.
    pub token: FencingToken,
    /// The site, for a shift lease.
    pub site: Option<String>,
}

/// A lease that this instance competes for.
struct ManagedLease {
    session: LeaseSession,
    site: Option<String>,
    /// The candidate's rank: a lower one is preferred.
    rank: u8,
    /// The token in the last audit event.
    audited_token: Option<FencingToken>,
    /// The sequence number of the last command sent under the lease.
    last_sequence: u64,
    /// From when on this instance competes for the lease.
    competes_from: Millis,
    /// Whether the lease was released for good.
    is_released: bool,
}

impl ManagedLease {
    fn new(lease: LeaseName, site: Option<String>, config: &NodeConfig, now: Millis) -> ManagedLease {
        // An instance that goes down with its site couldn't bring the traffic back, so others are preferred.
        let rank = u8::from(site.as_deref() == Some(&config.site));
        ManagedLease {
            session: LeaseSession::new(lease, config.instance, rank, config.lease_timing, now),
            site,
            rank,
            audited_token: None,
            last_sequence: 0,
            competes_from: 0,
            is_released: false,
        }
    }
}

/// The traffic fraction of one site.
struct SiteTraffic {
    ramp: TrafficRamp,
    /// The fraction that was reported last.
    reported: f64,
}

/// The leases, fenced commands and fencing checks of one instance.
pub struct LeaseManager {
    instance: Instance,
    timing: LeaseTiming,
    /// The leases that this instance competes for; none on a follower.
    managed: BTreeMap<LeaseName, ManagedLease>,
    /// The site of each shift lease.
    shift_sites: BTreeMap<LeaseName, String>,
    fencing: FencingChecks<TrafficFraction>,
    /// Whether a linearizable read has shown which commands are stale.
    knows_minimum_tokens: bool,
    releasing_all: bool,
    traffic: BTreeMap<String, SiteTraffic>,
    /// The token and value of the command applied last, by lease.
    last_applied: BTreeMap<LeaseName, (FencingToken, TrafficFraction)>,
}

impl LeaseManager {
    /// The manager of an instance that starts at `now`. Replicas compete for all leases of the fleet; a site's shift
    /// lease prefers an instance at another site.
    pub fn new(config: &NodeConfig, now: Millis) -> LeaseManager {
        let shift_sites: BTreeMap<LeaseName, String> =
            config.sites.iter().filter_map(|site| Some((shift_lease(site)?, site.clone()))).collect();
        let managed = match config.slot {
            Some(_) => managed_leases(config, &shift_sites, now),
            None => BTreeMap::new(),
        };
        let full_traffic =
            || SiteTraffic { ramp: TrafficRamp::full(now, config.pacing.ramp_duration), reported: 1.0 };
        LeaseManager {
            instance: config.instance,
            timing: config.lease_timing,
            managed,
            traffic: config.sites.iter().map(|site| (site.clone(), full_traffic())).collect(),
            shift_sites,
            fencing: FencingChecks::default(),
            knows_minimum_tokens: false,
            releasing_all: false,
            last_applied: BTreeMap::new(),
        }
    }

    // ---- Leases ----

    /// The lease commands to propose now. `random`, from 0 to 1, spreads the attempts of competing instances.
    pub fn due_commands(&mut self, now: Millis, random: f64) -> Vec<LeaseCommand> {
        let competes = |managed: &&mut ManagedLease| !managed.is_released && now >= managed.competes_from;
        let competing = self.managed.values_mut().filter(competes);
        competing.filter_map(|managed| managed.session.due_command(now, random)).collect()
    }

    /// Takes the lease table as it is known at `now`.
    pub fn on_table_update(&mut self, now: Millis, table: &LeaseTable) {
        for (lease, managed) in &mut self.managed {
            managed.session.on_update(now, table.grant(lease));
        }
    }

    /// Takes the outcome of a lease command that was proposed at `proposed_at`; with the token of the grant if the command
    /// was to renew it.
    pub fn on_outcome(
        &mut self,
        now: Millis,
        proposed_at: Millis,
        command: &LeaseCommand,
        renewed_token: Option<FencingToken>,
        outcome: &Outcome,
    ) {
        if let LeaseCommand::Release { lease, .. } = command {
            return self.on_released(now, lease);
        }
        let Some(managed) = self.managed.get_mut(command.lease()) else { return };
        match (outcome, renewed_token) {
            (Outcome::GrantEnded { newest }, _) => managed.session.on_rejected(*newest),
            (Outcome::Lease(grant), Some(token)) => {
                managed.session.on_renewed(now, proposed_at, token);
                managed.session.on_update(now, *grant);
            }
            (Outcome::Lease(grant), None) if managed.competes_from <= now => {
                managed.session.on_update(now, *grant);
            }
            _ => {}
        }
    }

    /// Starts a new session after a release, which competes for the lease after a pause.
    fn on_released(&mut self, now: Millis, lease: &LeaseName) {
        let Some(managed) = self.managed.get_mut(lease) else { return };
        managed.is_released = self.releasing_all;
        managed.competes_from = now + REACQUIRE_DELAY_MS;
        managed.session =
            LeaseSession::new(lease.clone(), self.instance, managed.rank, self.timing, managed.competes_from);
    }

    /// Releases all leases for good.
    pub fn release_all(&mut self, now: Millis) {
        self.releasing_all = true;
        for managed in self.managed.values_mut() {
            managed.competes_from = 0;
            managed.session.release(now);
        }
    }

    /// Whether the replicas have acknowledged the release of all leases.
    pub fn has_released_all(&self) -> bool {
        self.releasing_all && self.managed.values().all(|managed| managed.is_released)
    }

    /// Releases one lease, and competes for it again after a pause. Returns false if it is not held.
    pub fn hand_over(&mut self, now: Millis, lease: &LeaseName) -> bool {
        let Some(managed) = self.managed.get_mut(lease) else { return false };
        let is_held = managed.session.token(now).is_some();
        if is_held {
            managed.session.release(now);
        }
        is_held
    }

    /// The leases that this instance may act under at `now`, with their tokens.
    pub fn held_tokens(&self, now: Millis) -> Vec<(LeaseName, FencingToken)> {
        self.held_leases(now).into_iter().map(|held| (held.lease, held.token)).collect()
    }

    /// The leases that this instance may act under at `now`.
    pub fn held_leases(&self, now: Millis) -> Vec<HeldLease> {
        let held = self.managed.iter().filter_map(|(lease, managed)| {
            let token = managed.session.token(now)?;
            Some(HeldLease { lease: lease.clone(), token, site: managed.site.clone() })
        });
        held.collect()
    }

    /// Takes the audit events about leases that were acquired or lost since the last call.
    pub fn take_audit_events(&mut self, now: Millis) -> Vec<AuditEvent> {
        let mut events = Vec::new();
        for (lease, managed) in &mut self.managed {
            let token = managed.session.token(now);
            let audited_token = std::mem::replace(&mut managed.audited_token, token);
            if token != audited_token {
                events.extend(audited_token.map(|token| AuditEvent::LeaseLost(lease.clone(), token)));
                events.extend(token.map(|token| AuditEvent::LeaseAcquired(lease.clone(), token)));
            }
        }
        events
    }

    // ---- Fenced commands ----

    /// The next command to send under a lease: a site gets `fraction` of its usual traffic.
    pub fn next_fenced_command(
        &mut self,
        lease: &LeaseName,
        token: FencingToken,
        fraction: TrafficFraction,
        config: &NodeConfig,
    ) -> FencedCommand<TrafficFraction> {
        let sequence = self.managed.get_mut(lease).map_or(0, |managed| {
            managed.last_sequence += 1;
            managed.last_sequence
        });
        FencedCommand {
            lease: lease.clone(),
            token,
            sequence,
            valid_for: config.command_ttl,
            value: fraction,
            fallback: FULL_TRAFFIC,
        }
    }

    /// Accepts commands from now on. The table comes from a linearizable read, so it shows the lowest valid tokens.
    pub fn start_accepting_commands(&mut self, table: &LeaseTable) {
        for lease in self.shift_sites.keys() {
            let minimum = MinimumToken { token: table.highest_token(lease), sequence: None };
            self.fencing.raise_minimum(lease, minimum);
        }
        self.knows_minimum_tokens = true;
    }

    /// Whether commands are accepted, or there is no site that one could be about.
    pub fn accepts_commands(&self) -> bool {
        self.knows_minimum_tokens || self.shift_sites.is_empty()
    }

    /// Applies a command if it passes the fencing check. Returns what to write to the audit log: nothing for a command
    /// that only repeats the last one, or arrives after a later one.
    pub fn apply_command(
        &mut self,
        now: Millis,
        command: FencedCommand<TrafficFraction>,
    ) -> Option<AuditEvent> {
        let site = self.shift_sites.get(&command.lease)?;
        let value_before = self.fencing.effective_value(&command.lease, now).copied();
        match self.fencing.accept(now, command.clone()) {
            Ok(()) => {
                if let Some(traffic) = self.traffic.get_mut(site) {
                    traffic.ramp.set(now, command.value);
                }
                let applied = (command.token, command.value);
                let last_applied = self.last_applied.insert(command.lease.clone(), applied);
                let is_repeated = value_before == Some(command.value) && last_applied == Some(applied);
                (!is_repeated).then_some(AuditEvent::CommandApplied(command))
            }
            Err(FencingError::StaleSequence { .. }) => None,
            Err(error) => Some(AuditEvent::CommandRejected(command, error.to_string())),
        }
    }

    /// Takes the sites whose fraction has changed since the last call. Commands expire, and then the traffic of their
    /// sites returns gradually.
    pub fn take_changed_fractions(&mut self, now: Millis) -> Vec<(String, f64)> {
        let mut changed = Vec::new();
        for (lease, site) in &self.shift_sites {
            let Some(traffic) = self.traffic.get_mut(site) else { continue };
            if let Some(value) = self.fencing.effective_value(lease, now) {
                traffic.ramp.set(now, *value);
            }
            let fraction = traffic.ramp.fraction(now);
            let is_at_end = fraction == 0.0 || fraction == 1.0;
            let has_moved = (fraction - traffic.reported).abs() >= MIN_FRACTION_CHANGE;
            if has_moved || (is_at_end && fraction != traffic.reported) {
                traffic.reported = fraction;
                changed.push((site.clone(), fraction));
            }
        }
        changed
    }

    /// The fraction of its usual traffic, from 0 to 1, that this instance sends to a site.
    pub fn site_fraction(&self, site: &str, now: Millis) -> f64 {
        self.traffic.get(site).map_or(1.0, |traffic| traffic.ramp.fraction(now))
    }
}

/// The leases that a replica competes for: each site's shift lease and the coordinator's.
fn managed_leases(
    config: &NodeConfig,
    shift_sites: &BTreeMap<LeaseName, String>,
    now: Millis,
) -> BTreeMap<LeaseName, ManagedLease> {
    let shifts = shift_sites.iter().map(|(lease, site)| (lease.clone(), Some(site.clone())));
    let coordinator = LeaseName::new(COORDINATOR_LEASE).ok().map(|lease| (lease, None));
    let leases = shifts.chain(coordinator);
    leases.map(|(lease, site)| (lease.clone(), ManagedLease::new(lease, site, config, now))).collect()
}
