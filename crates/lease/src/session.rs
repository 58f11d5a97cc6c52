//! The client side of one lease, on an instance that is a candidate for it or holds it.
//!
//! An instance must not act on a grant before it has renewed it: the replicas' term starts when they grant
//! the lease, and the instance may learn of that much later. A renewal is applied after its request was sent,
//! so it is safe to count the time of a renewed grant from the sending of the request.

use crate::table::{Grant, LeaseCommand};
use crate::timing::LeaseTiming;
use crate::{FencingToken, Instance, LeaseName, Millis};

/// The largest part of the renew interval by which a request is sent earlier, at random.
const REQUEST_JITTER_FRACTION: f64 = 0.2;

/// A grant that this instance has renewed and may act on until `valid_until`, by its own clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConfirmedGrant {
    token: FencingToken,
    valid_until: Millis,
}

/// One instance's view of one lease: whether the instance may act, and which request it sends next.
#[derive(Clone, Debug)]
pub struct LeaseSession {
    lease: LeaseName,
    instance: Instance,
    rank: u8,
    timing: LeaseTiming,
    confirmed: Option<ConfirmedGrant>,
    /// The token of a grant to this instance that has to be renewed before the instance may act on it.
    unconfirmed: Option<FencingToken>,
    /// The number of renewals of this instance's grant that it has observed.
    known_renewals: u64,
    /// Grants to this instance with this token or a lower one have ended, even if a late response states
    /// otherwise.
    ended_up_to: FencingToken,
    next_request_at: Millis,
    releasing: bool,
}

impl LeaseSession {
    /// Creates the session of an instance that is a candidate from `now` on. Candidates with a lower `rank`
    /// are preferred.
    pub fn new(
        lease: LeaseName,
        instance: Instance,
        rank: u8,
        timing: LeaseTiming,
        now: Millis,
    ) -> LeaseSession {
        LeaseSession {
            lease,
            instance,
            rank,
            timing,
            confirmed: None,
            unconfirmed: None,
            known_renewals: 0,
            ended_up_to: FencingToken::default(),
            next_request_at: now,
            releasing: false,
        }
    }

    /// The token to act with at `now`; `None` if this instance must not act. The caller has to ask right
    /// before each act, as the lease may end at any time.
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        self.confirmed.filter(|grant| now < grant.valid_until).map(|grant| grant.token)
    }

    /// The command to propose to the replicas now, if one is due: to acquire, renew or release the lease. For
    /// a renewal the caller has to pass this `now` to [`LeaseSession::on_renewed`] with the response.
    /// `random`, from 0 to 1, spreads the requests of several instances.
    pub fn due_command(&mut self, now: Millis, random: f64) -> Option<LeaseCommand> {
        self.expire(now);
        if now < self.next_request_at {
            return None;
        }
        self.next_request_at = now.saturating_add(self.request_interval(random));
        Some(self.next_command())
    }

    fn request_interval(&self, random: f64) -> Millis {
        let interval = self.timing.renew_interval();
        let jitter = (interval as f64 * REQUEST_JITTER_FRACTION * random.clamp(0.0, 1.0)) as Millis;
        interval - jitter
    }

    fn next_command(&self) -> LeaseCommand {
        let (lease, instance) = (self.lease.clone(), self.instance);
        if self.releasing {
            return LeaseCommand::Release { lease, instance };
        }
        match self.confirmed.map(|grant| grant.token).or(self.unconfirmed) {
            Some(token) => {
                LeaseCommand::Renew { lease, instance, token, known_renewals: self.known_renewals }
            }
            None => LeaseCommand::Acquire { lease, instance, rank: self.rank },
        }
    }

    /// Handles the lease's current grant, as learned from a response or from the replicated state.
    pub fn on_update(&mut self, now: Millis, grant: Option<Grant>) {
        self.expire(now);
        let Some(grant) = grant else { return };
        if grant.holder == self.instance && grant.token > self.ended_up_to && !self.releasing {
            self.on_own_grant(now, grant);
        } else {
            self.on_other_grant(grant.token);
        }
    }

    fn on_own_grant(&mut self, now: Millis, grant: Grant) {
        let known = self.confirmed.map(|confirmed| confirmed.token).max(self.unconfirmed);
        if known.is_none_or(|known| known < grant.token) {
            self.known_renewals = grant.renewals;
        } else if known == Some(grant.token) {
            self.known_renewals = self.known_renewals.max(grant.renewals);
        }
        if self.confirmed.is_none() && self.unconfirmed.is_none_or(|known| known < grant.token) {
            self.unconfirmed = Some(grant.token);
            self.next_request_at = now;
        }
    }

    /// Ends this instance's grants if the grant to another instance is newer; an older one is late
    /// information.
    fn on_other_grant(&mut self, token: FencingToken) {
        if self.confirmed.is_some_and(|confirmed| token > confirmed.token) {
            self.end_confirmed_grant();
        }
        self.unconfirmed = self.unconfirmed.filter(|unconfirmed| *unconfirmed > token);
    }

    /// Handles the successful response to a renewal, which was requested at `sent_at`, of the grant with this
    /// token.
    pub fn on_renewed(&mut self, now: Millis, sent_at: Millis, token: FencingToken) {
        self.expire(now);
        if token <= self.ended_up_to || self.releasing {
            return;
        }
        let valid_until = sent_at.saturating_add(self.timing.hold_duration());
        match &mut self.confirmed {
            // A late response to an older request must not shorten the validity from a newer one.
            Some(grant) if grant.token == token => grant.valid_until = grant.valid_until.max(valid_until),
            Some(grant) if grant.token > token => {}
            confirmed => *confirmed = Some(ConfirmedGrant { token, valid_until }),
        }
        self.unconfirmed = None;
        self.expire(now);
    }

    /// Handles the rejection of a command: all grants to this instance up to the lease's `newest` token have
    /// ended.
    pub fn on_rejected(&mut self, newest: FencingToken) {
        if self.confirmed.is_some_and(|grant| newest >= grant.token) {
            self.end_confirmed_grant();
        }
        self.unconfirmed = self.unconfirmed.filter(|token| *token > newest);
    }

    /// Gives up the lease or the candidacy: this instance must not act any more, and proposes
    /// [`LeaseCommand::Release`] until the caller drops the session.
    pub fn release(&mut self, now: Millis) {
        self.releasing = true;
        self.end_confirmed_grant();
        self.unconfirmed = None;
        self.next_request_at = now;
    }

    fn end_confirmed_grant(&mut self) {
        if let Some(grant) = self.confirmed.take() {
            self.ended_up_to = self.ended_up_to.max(grant.token);
        }
    }

    /// Marks an expired grant as unconfirmed: it may still be valid in the replicas' table, but has to be
    /// renewed before this instance acts again.
    fn expire(&mut self, now: Millis) {
        if let Some(grant) = self.confirmed.filter(|grant| now >= grant.valid_until) {
            self.confirmed = None;
            self.unconfirmed = Some(grant.token);
        }
    }
}
