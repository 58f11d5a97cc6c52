//! What a copy knows of one duty that it stands for or holds.
//!
//! To be given a duty is not to hold it: the keepers' wait begins when they give it, and this copy may hear of that much
//! later. It first renews the grant, and acts from the answer on; that answer cannot be older than its own question.

use crate::table::{Grant, LeaseCommand};
use crate::timing::LeaseTiming;
use crate::{FencingToken, Instance, LeaseName, Millis};

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ConfirmedGrant {
    token: FencingToken,
    until: Millis,
}

/// See the module's text.
#[derive(Clone, Debug)]
pub struct LeaseSession {
    lease: LeaseName,
    instance: Instance,
    rank: u8,
    timing: LeaseTiming,
    held: Option<ConfirmedGrant>,
    /// Given to this copy, and not renewed yet.
    unconfirmed: Option<FencingToken>,
    /// The renewals of its grant that it has heard of.
    renewals: u64,
    /// Grants up to this one are over, whatever a late answer says.
    ended_up_to: FencingToken,
    next_request_at: Millis,
    releasing: bool,
}

impl LeaseSession {
    /// A copy that stands for a duty from `now` on. `rank`: lower ones come first.
    pub fn new(duty: LeaseName, copy: Instance, rank: u8, terms: LeaseTiming, now: Millis) -> LeaseSession {
        LeaseSession {
            lease: duty,
            instance: copy,
            rank,
            timing: terms,
            held: None,
            unconfirmed: None,
            renewals: 0,
            ended_up_to: FencingToken::default(),
            next_request_at: now,
            releasing: false,
        }
    }

    /// The token to act by at `now`; `None` if this copy may not act. Asked right before each act.
    pub fn token(&self, now: Millis) -> Option<FencingToken> {
        self.held.filter(|held| now < held.until).map(|held| held.token)
    }

    /// What to propose to the keepers, if it is time, and when it was asked for: the answer is to be given back with
    /// that. `random` is from 0 to 1; it spreads the copies that stand, so that they do not all ask at once.
    pub fn acquire(&mut self, now: Millis, random: f64) -> Option<LeaseCommand> {
        self.expire(now);
        if now < self.next_request_at {
            return None;
        }
        let wait = self.timing.renew_interval();
        let spread = (wait as f64 * 0.2 * random.clamp(0.0, 1.0)) as Millis;
        self.next_request_at = now.saturating_add(wait - spread);
        let (duty, copy) = (self.lease.clone(), self.instance);
        Some(match self.held {
            _ if self.releasing => LeaseCommand::Release { lease: duty, instance: copy },
            Some(held) => LeaseCommand::Renew {
                lease: duty,
                instance: copy,
                token: held.token,
                known_renewals: self.renewals,
            },
            None => match self.unconfirmed {
                Some(token) => {
                    LeaseCommand::Renew { lease: duty, instance: copy, token, known_renewals: self.renewals }
                }
                None => LeaseCommand::Acquire { lease: duty, instance: copy, rank: self.rank },
            },
        })
    }

    /// The duty's grant as the keepers have it, by an answer or by what they tell all copies.
    pub fn on_update(&mut self, now: Millis, grant: Option<Grant>) {
        self.expire(now);
        match grant {
            Some(grant)
                if grant.holder == self.instance && grant.token > self.ended_up_to && !self.releasing =>
            {
                let known = self.held.map(|held| held.token).max(self.unconfirmed);
                if known.is_none_or(|known| known < grant.token) {
                    self.renewals = grant.renewals;
                } else if known == Some(grant.token) {
                    self.renewals = self.renewals.max(grant.renewals);
                }
                if self.held.is_none() && self.unconfirmed.is_none_or(|found| found < grant.token) {
                    self.unconfirmed = Some(grant.token);
                    self.next_request_at = now;
                }
            }
            // Somebody else has it: what this copy was given before is over. News of older grants says nothing.
            Some(grant) => {
                if self.held.is_some_and(|held| grant.token > held.token) {
                    self.give_up();
                }
                self.unconfirmed = self.unconfirmed.filter(|found| *found > grant.token);
            }
            None => {}
        }
    }

    /// The keepers have renewed the grant of this token, as was asked at `asked_at`.
    pub fn on_renewed(&mut self, now: Millis, asked_at: Millis, token: FencingToken) {
        self.expire(now);
        if token <= self.ended_up_to || self.releasing {
            return;
        }
        let until = asked_at.saturating_add(self.timing.hold_duration());
        match &mut self.held {
            // An older answer that comes late must not shorten what a newer one gave.
            Some(held) if held.token == token => held.until = held.until.max(until),
            Some(held) if held.token > token => {}
            held => *held = Some(ConfirmedGrant { token, until }),
        }
        self.unconfirmed = None;
        self.expire(now);
    }

    /// The keepers say that the grant is over.
    pub fn on_rejected(&mut self, newest: FencingToken) {
        if self.held.is_some_and(|held| newest >= held.token) {
            self.give_up();
        }
        self.unconfirmed = self.unconfirmed.filter(|found| *found > newest);
    }

    /// This copy ends: it acts no more from now on, and tells the keepers, who give the duty to the next in line.
    pub fn release(&mut self, now: Millis) {
        self.releasing = true;
        self.give_up();
        self.unconfirmed = None;
        self.next_request_at = now;
    }

    fn give_up(&mut self) {
        if let Some(held) = self.held.take() {
            self.ended_up_to = self.ended_up_to.max(held.token);
        }
    }

    /// A grant that ran out may still stand in the keepers' book: it is asked for anew, and acted by only once renewed.
    fn expire(&mut self, now: Millis) {
        if let Some(held) = self.held.filter(|held| now >= held.until) {
            self.held = None;
            self.unconfirmed = Some(held.token);
        }
    }
}
