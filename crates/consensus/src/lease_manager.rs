//! The leases of one instance: the leases that it competes for or holds, the fenced commands that it sends
//! under them, and the fencing checks of the commands that it receives.

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

/// How long an instance does not compete for a lease that it has released, so that another instance can
/// acquire it.
const REACQUIRE_DELAY_MS: Millis = 5_000;
/// A site's traffic fraction is output again once it has changed by this much, or has reached 0 or 1.
const MIN_FRACTION_CHANGE: f64 = 0.005;

/// A lease that this instance may act under.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeldLease {
    /// The name of the held lease.
    pub lease: LeaseName,
    /// The fencing token of this instance's grant.
    pub token: FencingToken,
    /// The site of a shift lease; `None` for the coordinator lease.
    pub site: Option<String>,
}

/// A lease that this instance competes for.
struct ManagedLease {
    session: LeaseSession,
    /// The site of a shift lease; `None` for the coordinator lease.
    site: Option<String>,
    /// This instance's rank as a candidate; a lower rank is preferred.
    rank: u8,
    /// The token that this instance could act with at the last call of [`LeaseManager::take_audit_events`].
    audited_token: Option<FencingToken>,
    /// The sequence number of the last command sent under the lease.
    last_sequence: u64,
    /// This instance does not compete for the lease before this time.
    competes_from: Millis,
    /// Whether the lease was released for good, before a shutdown.
    is_released: bool,
}

impl ManagedLease {
    fn new(lease: LeaseName, site: Option<String>, config: &NodeConfig, now: Millis) -> ManagedLease {
        // Instances at other sites are preferred: one that fails together with the site could not restore its
        // traffic.
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
    /// The fraction that was output last.
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
    /// Whether a linearizable read has returned the minimum token of each lease.
    knows_minimum_tokens: bool,
    /// Whether all leases are being released for good, before a shutdown.
    releasing_all: bool,
    traffic: BTreeMap<String, SiteTraffic>,
    /// The token and value of the last applied command, by lease.
    last_applied: BTreeMap<LeaseName, (FencingToken, TrafficFraction)>,
}

impl LeaseManager {
    /// Creates the manager of an instance that starts at `now`. An instance with a replica competes for all
    /// leases of the fleet, a follower for none. For a site's shift lease, instances at other sites are
    /// preferred.
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

    /// The lease commands to propose now. `random`, from 0 to 1, spreads the requests of competing instances.
    pub fn due_commands(&mut self, now: Millis, random: f64) -> Vec<LeaseCommand> {
        let competes = |managed: &&mut ManagedLease| !managed.is_released && now >= managed.competes_from;
        let competing = self.managed.values_mut().filter(competes);
        competing.filter_map(|managed| managed.session.due_command(now, random)).collect()
    }

    /// Updates the sessions from the lease table as it is known at `now`.
    pub fn on_table_update(&mut self, now: Millis, table: &LeaseTable) {
        for (lease, managed) in &mut self.managed {
            managed.session.on_update(now, table.grant(lease));
        }
    }

    /// Handles the outcome of a lease command that was proposed at `proposed_at`. `renewed_token` is the
    /// token in a renewal, and `None` for other commands.
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

    /// Replaces the session of a released lease by a new one, which competes for the lease after a pause.
    fn on_released(&mut self, now: Millis, lease: &LeaseName) {
        let Some(managed) = self.managed.get_mut(lease) else { return };
        managed.is_released = self.releasing_all;
        managed.competes_from = now + REACQUIRE_DELAY_MS;
        managed.session =
            LeaseSession::new(lease.clone(), self.instance, managed.rank, self.timing, managed.competes_from);
    }

    /// Releases all leases for good, before a shutdown.
    pub fn release_all(&mut self, now: Millis) {
        self.releasing_all = true;
        for managed in self.managed.values_mut() {
            managed.competes_from = 0;
            managed.session.release(now);
        }
    }

    /// Whether the replicas have acknowledged the release of all leases after [`LeaseManager::release_all`].
    pub fn has_released_all(&self) -> bool {
        self.releasing_all && self.managed.values().all(|managed| managed.is_released)
    }

    /// Releases one lease, and competes for it again after a pause. Returns false if this instance does not
    /// hold it.
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

    /// Returns the audit events about leases that were acquired or lost since the last call.
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

    /// The next command to send under a shift lease, which sets the site's traffic to `fraction` of the usual
    /// one.
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

    /// Starts to accept commands. `table` must be from a linearizable read, so that commands below its tokens
    /// are stale.
    pub fn start_accepting_commands(&mut self, table: &LeaseTable) {
        for lease in self.shift_sites.keys() {
            let minimum = MinimumToken { token: table.highest_token(lease), sequence: None };
            self.fencing.raise_minimum(lease, minimum);
        }
        self.knows_minimum_tokens = true;
    }

    /// Whether commands are accepted; also true if there are no sites, so that there are no commands.
    pub fn accepts_commands(&self) -> bool {
        self.knows_minimum_tokens || self.shift_sites.is_empty()
    }

    /// Applies a command if it passes the fencing check. Returns the audit event; `None` for a command that
    /// repeats the last one, or that arrives after a newer one under the same grant.
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

    /// Returns the sites whose traffic fraction has changed since the last call, with their fractions. Also
    /// lets the traffic of a site return gradually once the last command for it has expired.
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

/// The leases that an instance with a replica competes for: each site's shift lease and the coordinator
/// lease.
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
