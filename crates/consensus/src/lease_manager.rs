//! The duties of one copy: those it stands for or holds, the orders it gives by them, and the gates through which orders
//! come to be carried out.

use crate::node::{AuditEvent, NodeConfig};
use crate::state::{shift_lease, Outcome, COORDINATOR_LEASE};
use hillstall_lease::fencing::{FencedCommand, FencingChecks, MinimumToken};
use hillstall_lease::session::LeaseSession;
use hillstall_lease::table::{LeaseCommand, LeaseTable};
use hillstall_lease::{FencingToken, Instance, LeaseName, Millis};
use hillstall_maintenance::traffic::TrafficRamp;
use hillstall_maintenance::{TrafficFraction, FULL_TRAFFIC};
use std::collections::BTreeMap;

/// How long a copy that was asked to hand a duty over does not stand for it.
const STANDS_BACK: Millis = 5_000;

/// A duty that this copy may act by.
pub struct HeldLease {
    /// Which.
    pub lease: LeaseName,
    /// By which token.
    pub token: FencingToken,
    /// The site, if it is the shift of one.
    pub site: Option<String>,
}

struct Mine {
    hold: LeaseSession,
    site: Option<String>,
    rank: u8,
    /// The token that was told last.
    told: Option<FencingToken>,
    orders: u64,
    stands_from: Millis,
    /// It was given up for good.
    gone: bool,
}

/// See the module's text.
pub struct LeaseManager {
    copy: Instance,
    terms: hillstall_lease::timing::LeaseTiming,
    mine: BTreeMap<LeaseName, Mine>,
    sites: BTreeMap<LeaseName, String>,
    gates: FencingChecks<TrafficFraction>,
    open: bool,
    leaving: bool,
    parts: BTreeMap<String, (TrafficRamp, f64)>,
    /// What was carried out last, and by which token.
    done: BTreeMap<LeaseName, (FencingToken, TrafficFraction)>,
    did: Vec<AuditEvent>,
}

impl LeaseManager {
    /// Keepers stand for all duties of the fleet; a site's shift is held by a copy elsewhere if there is one.
    pub fn new(setup: &NodeConfig, now: Millis) -> LeaseManager {
        let sites: BTreeMap<LeaseName, String> =
            setup.sites.iter().filter_map(|site| Some((shift_lease(site)?, site.clone()))).collect();
        let mut mine = BTreeMap::new();
        if setup.slot.is_some() {
            let coordinator = LeaseName::new(COORDINATOR_LEASE).ok().map(|duty| (duty, None));
            let shifts = sites.iter().map(|(duty, site)| (duty.clone(), Some(site.clone())));
            for (duty, site) in shifts.chain(coordinator) {
                // One that goes down with its site could not bring the traffic back.
                let rank = u8::from(site.as_deref() == Some(&setup.site));
                let hold = LeaseSession::new(duty.clone(), setup.instance, rank, setup.lease_timing, now);
                mine.insert(
                    duty,
                    Mine { hold, site, rank, told: None, orders: 0, stands_from: 0, gone: false },
                );
            }
        }
        let whole = |site: &String| (site.clone(), (TrafficRamp::full(now, setup.ramp_duration), 1.0));
        LeaseManager {
            copy: setup.instance,
            terms: setup.lease_timing,
            mine,
            parts: setup.sites.iter().map(whole).collect(),
            sites,
            gates: FencingChecks::default(),
            open: false,
            leaving: false,
            done: BTreeMap::new(),
            did: Vec::new(),
        }
    }

    // ---- holding ----

    /// What to propose about leases now.
    pub fn ask(&mut self, now: Millis, random: f64) -> Vec<LeaseCommand> {
        let due = self.mine.values_mut().filter(|mine| !mine.gone && now >= mine.stands_from);
        due.filter_map(|mine| mine.hold.acquire(now, random)).collect()
    }

    /// The book as it is known now.
    pub fn heard(&mut self, now: Millis, book: &LeaseTable) {
        for (duty, mine) in &mut self.mine {
            mine.hold.on_update(now, book.grant(duty));
        }
    }

    /// What the keepers said to a question asked at `asked_at`.
    pub fn answered(
        &mut self,
        now: Millis,
        asked_at: Millis,
        command: &LeaseCommand,
        renewed: Option<FencingToken>,
        outcome: &Outcome,
    ) {
        let Some(mine) = self.mine.get_mut(command.lease()) else { return };
        if let LeaseCommand::Release { lease: duty, .. } = command {
            // It stands for the duty again later, as one that was never asked to hand it over.
            mine.gone = self.leaving;
            mine.stands_from = now + STANDS_BACK;
            mine.hold = LeaseSession::new(duty.clone(), self.copy, mine.rank, self.terms, mine.stands_from);
            return;
        }
        match (outcome, renewed) {
            (Outcome::GrantEnded { newest }, _) => mine.hold.on_rejected(*newest),
            (Outcome::Lease(grant), Some(token)) => {
                mine.hold.on_renewed(now, asked_at, token);
                mine.hold.on_update(now, *grant);
            }
            (Outcome::Lease(grant), None) if mine.stands_from <= now => mine.hold.on_update(now, *grant),
            _ => {}
        }
    }

    /// Gives up all duties for good.
    pub fn leave(&mut self, now: Millis) {
        self.leaving = true;
        self.mine.values_mut().for_each(|mine| {
            mine.stands_from = 0;
            mine.hold.release(now);
        });
    }

    /// Whether the keepers know that all were given up.
    pub fn has_left(&self) -> bool {
        self.leaving && self.mine.values().all(|mine| mine.gone)
    }

    /// Gives up one, and stands for it again after a while; false if it is not held.
    pub fn hand_over(&mut self, now: Millis, duty: &LeaseName) -> bool {
        let Some(mine) = self.mine.get_mut(duty) else { return false };
        let held = mine.hold.token(now).is_some();
        if held {
            mine.hold.release(now);
        }
        held
    }

    /// The duties that may be acted by now.
    pub fn held(&self, now: Millis) -> Vec<(LeaseName, FencingToken)> {
        self.owned(now).into_iter().map(|owned| (owned.lease, owned.token)).collect()
    }

    /// The same, with what they are about.
    pub fn owned(&self, now: Millis) -> Vec<HeldLease> {
        let owned = self.mine.iter().filter_map(|(duty, mine)| {
            let token = mine.hold.token(now)?;
            Some(HeldLease { lease: duty.clone(), token, site: mine.site.clone() })
        });
        owned.collect()
    }

    /// The next order of a grant.
    pub fn order(
        &mut self,
        duty: &LeaseName,
        token: FencingToken,
        part: TrafficFraction,
        setup: &NodeConfig,
    ) -> FencedCommand<TrafficFraction> {
        let number = self.mine.get_mut(duty).map_or(0, |mine| {
            mine.orders += 1;
            mine.orders
        });
        let (duty, holds_for) = (duty.clone(), setup.command_ttl);
        FencedCommand {
            lease: duty,
            token,
            sequence: number,
            valid_for: holds_for,
            value: part,
            fallback: FULL_TRAFFIC,
        }
    }

    // ---- carrying out ----

    /// A true read has told which orders are old.
    pub fn open(&mut self, book: &LeaseTable) {
        for duty in self.sites.keys() {
            self.gates.raise_minimum(duty, MinimumToken { token: book.highest_token(duty), sequence: None });
        }
        self.open = true;
    }

    /// Whether that has happened.
    pub fn is_open(&self) -> bool {
        self.open || self.sites.is_empty()
    }

    /// Carries out an order, if the gate lets it through. Gives what is worth writing down.
    pub fn carry_out(&mut self, now: Millis, order: FencedCommand<TrafficFraction>) -> Option<AuditEvent> {
        let site = self.sites.get(&order.lease)?;
        let before = self.gates.effective_value(&order.lease, now).copied();
        match self.gates.accept(now, order.clone()) {
            Ok(()) => {
                if let Some((part, _)) = self.parts.get_mut(site) {
                    part.set(now, order.value);
                }
                // The same once more, by the same owner, is no news.
                let known = self.done.insert(order.lease.clone(), (order.token, order.value));
                let news = before != Some(order.value) || known != Some((order.token, order.value));
                news.then_some(AuditEvent::CommandApplied(order))
            }
            Err(hillstall_lease::fencing::FencingError::StaleSequence { .. }) => None,
            Err(why) => Some(AuditEvent::CommandRejected(order, why.to_string())),
        }
    }

    /// What changed since this was last asked: orders run out, and sites come back by themselves.
    pub fn run_out(&mut self, now: Millis) -> Vec<(String, f64)> {
        let mut changed = Vec::new();
        for (duty, site) in &self.sites {
            let Some((part, told)) = self.parts.get_mut(site) else { continue };
            if let Some(holds) = self.gates.effective_value(duty, now) {
                part.set(now, *holds);
            }
            let read = part.fraction(now);
            if (read - *told).abs() >= 0.005 || (read != *told && (read == 0.0 || read == 1.0)) {
                *told = read;
                changed.push((site.clone(), read));
            }
        }
        changed
    }

    /// The part that a site gets here.
    pub fn part(&self, site: &str, now: Millis) -> f64 {
        self.parts.get(site).map_or(1.0, |(part, _)| part.fraction(now))
    }

    /// What is worth writing down since this was last asked.
    pub fn did(&mut self, now: Millis) -> Vec<AuditEvent> {
        for (duty, mine) in &mut self.mine {
            let token = mine.hold.token(now);
            if token != mine.told {
                self.did.extend(mine.told.map(|token| AuditEvent::LeaseLost(duty.clone(), token)));
                self.did.extend(token.map(|token| AuditEvent::LeaseAcquired(duty.clone(), token)));
                mine.told = token;
            }
        }
        std::mem::take(&mut self.did)
    }
}
