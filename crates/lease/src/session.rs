//! The client side of one lease, on an instance that is a candidate for it or holds it.
//!
//! A grant alone does not let an instance act: the replicas' term starts when they grant the lease, and the instance may
//! learn of that much later. It first renews the grant and acts on the response; the renewal was applied after the
//! request was sent, so counting from the sending is safe.

use crate::table::{Grant, LeaseCommand};
use crate::timing::LeaseTiming;
use crate::{FencingToken, Instance, LeaseName, Millis};

/// The part of the renew interval by which requests are spread at random.
const REQUEST_JITTER: f64 = 0.2;

/// A grant that was renewed in time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConfirmedGrant {
    token: FencingToken,
    valid_until: Millis,
}

/// What one instance knows of one lease, and when it sends which request.
#[derive(Clone, Debug)]
pub struct LeaseSession {
    lease: LeaseName,
    instance: Instance,
    rank: u8,
    timing: LeaseTiming,
    confirmed: Option<ConfirmedGrant>,
    /// Granted to this instance and not renewed yet.
    unconfirmed: Option<FencingToken>,
    /// The number of renewals of its grant that it has observed.
    renewals: u64,
    /// Grants with this token or a lower one are over, whatever a late response says.
    ended_up_to: FencingToken,
    next_request_at: Millis,
    releasing: bool,
}

impl LeaseSession {
    /// Creates the session of an instance that is a candidate from `now` on. Candidates with a lower `rank` are preferred.
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
            renewals: 0,
            ended_up_to: FencingToken::default(),
            next_request_at: now,
            releasing: false,
        }
    }

    /// The token to act with at `now`; `None` if this instance must not act. To be asked right before each act.
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        self.confirmed.filter(|grant| now < grant.valid_until).map(|grant| grant.token)
    }

    /// The command to propose to the replicas, if one is due. The caller remembers `now` and passes it with the response to
    /// [`LeaseSession::on_renewed`]. `random`, from 0 to 1, spreads the requests of several instances.
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
        let jitter = (interval as f64 * REQUEST_JITTER * random.clamp(0.0, 1.0)) as Millis;
        interval - jitter
    }

    fn next_command(&self) -> LeaseCommand {
        let (lease, instance) = (self.lease.clone(), self.instance);
        if self.releasing {
            return LeaseCommand::Release { lease, instance };
        }
        match self.confirmed.map(|grant| grant.token).or(self.unconfirmed) {
            Some(token) => LeaseCommand::Renew { lease, instance, token, known_renewals: self.renewals },
            None => LeaseCommand::Acquire { lease, instance, rank: self.rank },
        }
    }

    /// Handles the lease's current grant, from a response or from a notification of the replicas.
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
            self.renewals = grant.renewals;
        } else if known == Some(grant.token) {
            self.renewals = self.renewals.max(grant.renewals);
        }
        if self.confirmed.is_none() && self.unconfirmed.is_none_or(|known| known < grant.token) {
            self.unconfirmed = Some(grant.token);
            self.next_request_at = now;
        }
    }

    /// A newer grant to another instance ends this instance's grants. One with a lower token is old news.
    fn on_other_grant(&mut self, token: FencingToken) {
        if self.confirmed.is_some_and(|confirmed| token > confirmed.token) {
            self.end_confirmed_grant();
        }
        self.unconfirmed = self.unconfirmed.filter(|unconfirmed| *unconfirmed > token);
    }

    /// Handles the response to a renewal of the grant with this token that was sent at `sent_at`.
    pub fn on_renewed(&mut self, now: Millis, sent_at: Millis, token: FencingToken) {
        self.expire(now);
        if token <= self.ended_up_to || self.releasing {
            return;
        }
        let valid_until = sent_at.saturating_add(self.timing.hold_duration());
        match &mut self.confirmed {
            // A late response to an older request must not shorten what a newer one gave.
            Some(grant) if grant.token == token => grant.valid_until = grant.valid_until.max(valid_until),
            Some(grant) if grant.token > token => {}
            confirmed => *confirmed = Some(ConfirmedGrant { token, valid_until }),
        }
        self.unconfirmed = None;
        self.expire(now);
    }

    /// Handles a rejection: all grants up to the lease's `newest` token are over.
    pub fn on_rejected(&mut self, newest: FencingToken) {
        if self.confirmed.is_some_and(|grant| newest >= grant.token) {
            self.end_confirmed_grant();
        }
        self.unconfirmed = self.unconfirmed.filter(|token| *token > newest);
    }

    /// Gives up the lease or the candidacy: this instance stops acting at once and asks the replicas to grant the lease to
    /// the next candidate.
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

    /// An expired grant may still be valid in the replicas' table: it has to be renewed before this instance acts again.
    fn expire(&mut self, now: Millis) {
        if let Some(grant) = self.confirmed.filter(|grant| now >= grant.valid_until) {
            self.confirmed = None;
            self.unconfirmed = Some(grant.token);
        }
    }
}
